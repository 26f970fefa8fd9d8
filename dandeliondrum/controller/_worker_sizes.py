"""The distinct worker sizes of the fleet, updated incrementally."""

import collections

from dandeliondrum import messages


class WorkerSizes:
    """Counts workers by size.

    The cost of an update depends on the number of distinct sizes and not on
    that of workers. Not thread-safe; the owner's lock protects it.

    Example::

        if sizes.update(facts.worker_id, facts.resources):
            observations.set_worker_sizes(sizes.all())
    """

    def __init__(self) -> None:
        self._by_worker: dict[messages.WorkerId, messages.Resources] = {}
        self._counts: collections.Counter[messages.Resources] = (
            collections.Counter()
        )

    def all(self) -> list[messages.Resources]:
        """Return the distinct sizes of all workers."""
        return list(self._counts)

    def update(
        self, worker_id: messages.WorkerId, size: messages.Resources | None
    ) -> bool:
        """Set the size of a worker, or remove the worker if it is None.

        Return whether the set of distinct sizes has changed.
        """
        previous_size = self._by_worker.pop(worker_id, None)
        if size is not None:
            self._by_worker[worker_id] = size
        if previous_size == size:
            return False
        previous_sizes = set(self._counts)
        if previous_size is not None:
            self._counts[previous_size] -= 1
        if size is not None:
            self._counts[size] += 1
        self._counts = +self._counts
        return previous_sizes != self._counts.keys()
