"""The sizes that the workers of the fleet have, kept as workers change."""

import collections

from dandeliondrum import messages


class WorkerSizes:
    """Counts workers by size; one change costs the same in any fleet.

    The owner's lock protects it.

    Example::

        if sizes.note(facts.worker_id, facts.resources):
            observations.set_worker_sizes(sizes.all())
    """

    def __init__(self) -> None:
        self._by_worker: dict[messages.WorkerId, messages.Resources] = {}
        self._counts: collections.Counter[messages.Resources] = (
            collections.Counter()
        )

    def all(self) -> list[messages.Resources]:
        """Return each size that some worker has, once."""
        return list(self._counts)

    def note(
        self, worker_id: messages.WorkerId, size: messages.Resources | None
    ) -> bool:
        """Set a worker's size, None once it is gone; True if news."""
        before = self._by_worker.pop(worker_id, None)
        if size is not None:
            self._by_worker[worker_id] = size
        if before == size:
            return False
        known = set(self._counts)
        if before is not None:
            self._counts[before] -= 1
        if size is not None:
            self._counts[size] += 1
        self._counts = +self._counts
        return known != self._counts.keys()
