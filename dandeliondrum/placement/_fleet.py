"""The workers of the fleet and the free capacity of each."""

import collections.abc
import dataclasses

from dandeliondrum import messages
from dandeliondrum.placement import _tasks


class Worker:
    """The free, reserved and held capacity of one worker.

    A worker can have reservations before it has announced itself (``facts``
    is None then), so that a new leader can restore running tasks in any
    order. The ``held_*`` amounts are held for the tasks of the current
    ``_reservation.Reservation``.
    """

    __slots__ = (
        'worker_id',
        'facts',
        'eligible',
        'cpu_millicores',
        'memory_mb',
        'accelerators_count',
        'slots_count',
        'held_cpu_millicores',
        'held_memory_mb',
        'held_accelerators_count',
        'held_slots_count',
        'held_isolated_count',
        'isolated_count',
        'running',
    )

    def __init__(self, worker_id: messages.WorkerId) -> None:
        self.worker_id = worker_id
        self.facts: messages.WorkerFacts | None = None
        self.eligible = False
        # Free amounts. They are negative while more is reserved than the
        # worker has, for example after it has announced a smaller size.
        self.cpu_millicores = 0
        self.memory_mb = 0
        self.accelerators_count = 0
        self.slots_count = 0
        self.held_cpu_millicores = 0
        self.held_memory_mb = 0
        self.held_accelerators_count = 0
        self.held_slots_count = 0
        self.held_isolated_count = 0
        self.isolated_count = 0
        self.running: dict[messages.TaskId, _tasks.RunningTask] = {}

    def set_facts(
        self, facts: messages.WorkerFacts | None, eligible: bool
    ) -> None:
        """Set what the worker announced; None for a removed worker."""
        old = self.facts
        if old is not None:
            self._add_capacity(old.resources, old.slots_count, -1)
        if facts is not None:
            self._add_capacity(facts.resources, facts.slots_count, 1)
        self.facts = facts
        self.eligible = eligible and facts is not None

    def reserve(self, running: _tasks.RunningTask) -> None:
        """Reserve the resources and one slot for a task."""
        self.running[running.task.task_id] = running
        self.isolated_count += running.task.isolated
        self._add_capacity(running.task.resources, 1, -1)

    def release(self, running: _tasks.RunningTask) -> None:
        """Free the resources and the slot of a task."""
        del self.running[running.task.task_id]
        self.isolated_count -= running.task.isolated
        self._add_capacity(running.task.resources, 1, 1)

    def hold(self, task: _tasks.PendingTask, sign: int) -> None:
        """Hold capacity for one reserved task (1) or release it (-1)."""
        resources = task.resources
        self.held_isolated_count += sign * task.isolated
        self.held_cpu_millicores += sign * resources.cpu_millicores
        self.held_memory_mb += sign * resources.memory_mb
        self.held_accelerators_count += sign * resources.accelerators_count
        self.held_slots_count += sign

    def is_idle(self) -> bool:
        """Return whether nothing is reserved or held."""
        return not self.running and not self.held_slots_count

    def is_closed(self) -> bool:
        """Return whether an isolated task keeps all others away."""
        return self.isolated_count > 0 or self.held_isolated_count > 0

    def allows(self, task: _tasks.PendingTask) -> bool:
        """Return whether the task may be placed on this worker at present."""
        return (
            self.worker_id not in task.excluded_workers
            and (self.is_idle() or not task.isolated)
            and self.has_room(task.resources)
        )

    def has_room(self, resources: messages.Resources) -> bool:
        """Return whether a task fits in what is neither reserved nor held."""
        return (
            self.eligible
            and not self.is_closed()
            and self.slots_count - self.held_slots_count >= 1
            and resources.cpu_millicores
            <= self.cpu_millicores - self.held_cpu_millicores
            and resources.memory_mb <= self.memory_mb - self.held_memory_mb
            and resources.accelerators_count
            <= self.accelerators_count - self.held_accelerators_count
        )

    def has_room_for_held(self) -> bool:
        """Return whether everything held on this worker is free."""
        if self.isolated_count or (self.held_isolated_count and self.running):
            return False
        return (
            self.eligible
            and self.slots_count >= self.held_slots_count
            and self.cpu_millicores >= self.held_cpu_millicores
            and self.memory_mb >= self.held_memory_mb
            and self.accelerators_count >= self.held_accelerators_count
        )

    def reserved(self) -> messages.Resources:
        """Return the sum of the reservations of its tasks."""
        total = messages.Resources(0, 0, 0)
        for running in self.running.values():
            total = total + running.task.resources
        return total

    def _add_capacity(
        self, resources: messages.Resources, slots_count: int, sign: int
    ) -> None:
        self.cpu_millicores += sign * resources.cpu_millicores
        self.memory_mb += sign * resources.memory_mb
        self.accelerators_count += sign * resources.accelerators_count
        self.slots_count += sign * slots_count


@dataclasses.dataclass(slots=True)
class Totals:
    """Total capacity of the workers that are eligible for new tasks."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators_count: int = 0
    slots_count: int = 0

    def add(self, facts: messages.WorkerFacts, sign: int) -> None:
        """Add (1) or subtract (-1) the capacity of a worker."""
        self.cpu_millicores += sign * facts.resources.cpu_millicores
        self.memory_mb += sign * facts.resources.memory_mb
        self.accelerators_count += sign * facts.resources.accelerators_count
        self.slots_count += sign * facts.slots_count


class Fleet:
    """All workers by id, and their total capacity."""

    def __init__(self) -> None:
        self.workers: dict[messages.WorkerId, Worker] = {}
        self.totals = Totals()
        self._sizes: dict[messages.Resources, int] = {}

    def put(self, facts: messages.WorkerFacts, eligible: bool) -> Worker:
        """Add a worker or update it."""
        worker = self.get_or_add(facts.worker_id)
        self._update_totals(worker, -1)
        worker.set_facts(facts, eligible)
        self._update_totals(worker, 1)
        return worker

    def remove(self, worker_id: messages.WorkerId) -> Worker | None:
        """Remove a worker; its reservations stay until they are released."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return None
        self._update_totals(worker, -1)
        worker.set_facts(None, False)
        self.remove_if_unused(worker)
        return worker

    def get_or_add(self, worker_id: messages.WorkerId) -> Worker:
        """Return the worker, adding it without facts if it is unknown."""
        worker = self.workers.get(worker_id)
        if worker is None:
            worker = Worker(worker_id)
            self.workers[worker_id] = worker
        return worker

    def remove_if_unused(self, worker: Worker) -> None:
        """Delete a worker that has neither facts nor reservations."""
        if worker.facts is None and not worker.running:
            self.workers.pop(worker.worker_id, None)

    def sizes(self) -> collections.abc.Iterable[messages.Resources]:
        """Return the distinct sizes of the known workers."""
        return self._sizes

    def _update_totals(self, worker: Worker, sign: int) -> None:
        if worker.facts is None:
            return
        size = worker.facts.resources
        count = self._sizes.get(size, 0) + sign
        if count:
            self._sizes[size] = count
        else:
            del self._sizes[size]
        if worker.eligible:
            self.totals.add(worker.facts, sign)
