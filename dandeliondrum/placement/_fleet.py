"""Workers and what is left on each of them."""

import collections.abc
import dataclasses

from dandeliondrum import messages
from dandeliondrum.placement import _tasks


class Worker:
    """What one worker has, what is reserved on it, what is held back.

    A worker is known by its reservations even before it announced itself
    (``facts`` is None then), so that a new leader can restore running tasks
    in any order. ``held_*`` is capacity that a reserved gang waits for.
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
        'running',
    )

    def __init__(self, worker_id: messages.WorkerId) -> None:
        self.worker_id = worker_id
        self.facts: messages.WorkerFacts | None = None
        self.eligible = False
        # Free amounts; negative while more is reserved than the worker has,
        # which a worker that announces itself anew and smaller can cause.
        self.cpu_millicores = 0
        self.memory_mb = 0
        self.accelerators_count = 0
        self.slots_count = 0
        self.held_cpu_millicores = 0
        self.held_memory_mb = 0
        self.held_accelerators_count = 0
        self.held_slots_count = 0
        self.running: dict[messages.TaskId, _tasks.RunningTask] = {}

    def set_facts(
        self, facts: messages.WorkerFacts | None, eligible: bool
    ) -> None:
        """Take over what the worker announced; None when it is gone."""
        old = self.facts
        if old is not None:
            self._add_capacity(old.resources, old.slots_count, -1)
        if facts is not None:
            self._add_capacity(facts.resources, facts.slots_count, 1)
        self.facts = facts
        self.eligible = eligible and facts is not None

    def take(self, running: _tasks.RunningTask) -> None:
        """Reserve what a task needs."""
        self.running[running.task.task_id] = running
        self._add_capacity(running.task.resources, 1, -1)

    def give_back(self, running: _tasks.RunningTask) -> None:
        """Free what a task had reserved."""
        del self.running[running.task.task_id]
        self._add_capacity(running.task.resources, 1, 1)

    def hold(self, resources: messages.Resources, sign: int) -> None:
        """Hold room for one gang member back (1) or let it go (-1)."""
        self.held_cpu_millicores += sign * resources.cpu_millicores
        self.held_memory_mb += sign * resources.memory_mb
        self.held_accelerators_count += sign * resources.accelerators_count
        self.held_slots_count += sign

    def has_room(self, resources: messages.Resources) -> bool:
        """Return whether the task fits in what is neither taken nor held."""
        return (
            self.eligible
            and self.slots_count - self.held_slots_count >= 1
            and resources.cpu_millicores
            <= self.cpu_millicores - self.held_cpu_millicores
            and resources.memory_mb <= self.memory_mb - self.held_memory_mb
            and resources.accelerators_count
            <= self.accelerators_count - self.held_accelerators_count
        )

    def has_room_for_held(self) -> bool:
        """Return whether all that is held on this worker is free by now."""
        return (
            self.eligible
            and self.slots_count >= self.held_slots_count
            and self.cpu_millicores >= self.held_cpu_millicores
            and self.memory_mb >= self.held_memory_mb
            and self.accelerators_count >= self.held_accelerators_count
        )

    def reserved(self) -> messages.Resources:
        """Return the sum of what its tasks have reserved."""
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
    """Sums over the workers that may be given tasks."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators_count: int = 0
    slots_count: int = 0

    def add(self, facts: messages.WorkerFacts, sign: int) -> None:
        """Count a worker in (1) or out (-1)."""
        self.cpu_millicores += sign * facts.resources.cpu_millicores
        self.memory_mb += sign * facts.resources.memory_mb
        self.accelerators_count += sign * facts.resources.accelerators_count
        self.slots_count += sign * facts.slots_count


class Fleet:
    """All workers, by id, and the sums over them."""

    def __init__(self) -> None:
        self.workers: dict[messages.WorkerId, Worker] = {}
        self.totals = Totals()
        self._sizes: dict[messages.Resources, int] = {}

    def put(self, facts: messages.WorkerFacts, eligible: bool) -> Worker:
        """Add a worker or change what is known of it."""
        worker = self.worker(facts.worker_id)
        self._count(worker, -1)
        worker.set_facts(facts, eligible)
        self._count(worker, 1)
        return worker

    def remove(self, worker_id: messages.WorkerId) -> Worker | None:
        """Forget a worker; reservations on it stay until they are freed."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return None
        self._count(worker, -1)
        worker.set_facts(None, False)
        self.forget_if_unused(worker)
        return worker

    def worker(self, worker_id: messages.WorkerId) -> Worker:
        """Return the worker, made known if it isn't."""
        worker = self.workers.get(worker_id)
        if worker is None:
            worker = Worker(worker_id)
            self.workers[worker_id] = worker
        return worker

    def forget_if_unused(self, worker: Worker) -> None:
        """Drop a worker that is gone and has no reservation left."""
        if worker.facts is None and not worker.running:
            self.workers.pop(worker.worker_id, None)

    def sizes(self) -> collections.abc.Iterable[messages.Resources]:
        """Return the different sizes of the workers known."""
        return self._sizes

    def _count(self, worker: Worker, sign: int) -> None:
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
