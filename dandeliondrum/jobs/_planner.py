"""Placement of waiting tasks on workers.

Designed for a nearly full fleet with tasks of many sizes, gangs whose tasks
start together, and tasks that only a few workers may run. The planner works
on plain values without side effects on the cell, so that tests can simulate
any load.
"""

import collections.abc
import dataclasses
import enum

from dandeliondrum.jobs import _preemption
from dandeliondrum.jobs import _specs
from dandeliondrum import messages

PLACEMENTS_MAX = 256
# Workers are reserved for a demand that has waited for this long.
RESERVE_AFTER_MS = 400
# Without preemption, at most the number of workers in the pool divided by this
# is reserved, so that waiting demands don't leave the whole pool idle.
RESERVED_DIVISOR = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """The waiting tasks of one due step.

    ``granted`` holds the workers that may run the step, and ``tickets`` maps
    the workers on which it may start now to their tickets; both are None if
    any worker may run it. ``avoided`` holds the workers on which a task of
    the step failed before. ``per_worker_counts`` is the number of tasks of
    the step on each worker. ``waited_ms`` is how long the step has been due.
    """

    job_id: _specs.JobId
    step: _specs.StepIndex
    spec: _specs.StepSpec
    team_id: messages.TeamId
    pool: str
    priority: int
    submitted_ms: int
    indexes: tuple[int, ...]
    tickets: collections.abc.Mapping[messages.WorkerId, str] | None = None
    granted: collections.abc.Set[messages.WorkerId] | None = None
    avoided: frozenset[messages.WorkerId] = frozenset()
    per_worker_counts: collections.abc.Mapping[messages.WorkerId, int] = (
        dataclasses.field(default_factory=dict)
    )
    waited_ms: int = 0


@dataclasses.dataclass(slots=True)
class AvailableWorker:
    """A usable worker and its free resources.

    ``penalty`` is higher for slow workers and for workers that failed tasks
    recently; they are chosen last. A ``reserved`` worker is kept for an
    earlier demand.
    """

    worker_id: messages.WorkerId
    pool: str
    rack: messages.Rack
    labels: frozenset[str]
    free: messages.Resources
    capacity: messages.Resources
    penalty: int = 0
    reserved: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Placement of one task on a worker."""

    task: _specs.TaskKey
    worker_id: messages.WorkerId
    ticket: str = ''


class WaitReason(enum.Enum):
    """Reason why a due task is not placed."""

    NO_WORKER = 'no worker of the pool is usable'
    NO_GRANT = 'no usable worker is granted'
    RESERVED = 'all granted workers are kept free for other work'
    NO_ROOM = 'no granted worker has room'
    TEAM_LIMIT = 'the team is at its limit'
    GANG = 'the gang does not fit as a whole'


def priority_key(demand: Demand) -> tuple[int, int, str]:
    """Return the sort key of a demand: by queue priority, then by age."""
    return (demand.priority, demand.submitted_ms, demand.job_id)


def plan(
    demands: collections.abc.Iterable[Demand],
    workers: collections.abc.Iterable[AvailableWorker],
    team_available: collections.abc.MutableMapping[
        messages.TeamId, messages.Resources
    ],
    preemption: _preemption.Preemption | None = None,
) -> list[tuple[Placement, ...]]:
    """Return groups of placements; each group is assigned as a whole.

    ``team_available`` holds the resources that each limited team may still
    use; teams that are not in it have no limit. It and the free resources of
    the workers are reduced by what is placed. ``preemption`` collects the runs
    to stop for demands that have waited; without it nothing is stopped.
    """
    preemption = preemption or _preemption.Preemption()
    by_pool: dict[str, list[AvailableWorker]] = {}
    for worker in workers:
        by_pool.setdefault(worker.pool, []).append(worker)
    reservable_counts = {
        name: len(pool) // RESERVED_DIVISOR for name, pool in by_pool.items()
    }
    groups: list[tuple[Placement, ...]] = []
    placed_count = 0
    for demand in sorted(demands, key=priority_key):
        if placed_count >= PLACEMENTS_MAX:
            break
        pool = by_pool.get(demand.pool, [])
        placement = _DemandPlacement(demand, pool, team_available)
        chosen = placement.place()
        groups += chosen
        count = sum(len(group) for group in chosen)
        placed_count += count
        left_count = len(demand.indexes) - count
        if left_count and demand.waited_ms >= RESERVE_AFTER_MS:
            if placement.preempt(left_count, preemption):
                preemption.steps_with_capacity.add(
                    (demand.job_id, demand.step)
                )
            elif pool:
                reservable_counts[demand.pool] -= placement.reserve(
                    left_count, reservable_counts[demand.pool]
                )
    return groups


def wait_reason(
    demand: Demand,
    workers: collections.abc.Iterable[AvailableWorker],
    team_available: collections.abc.Mapping[
        messages.TeamId, messages.Resources
    ],
) -> WaitReason:
    """Return why a demand is still waiting after a planning round."""
    pool = [worker for worker in workers if worker.pool == demand.pool]
    if not pool:
        return WaitReason.NO_WORKER
    placement = _DemandPlacement(demand, pool, dict(team_available))
    if not placement.candidates_count():
        unreserved = [
            dataclasses.replace(worker, reserved=False) for worker in pool
        ]
        others = _DemandPlacement(demand, unreserved, dict(team_available))
        return (
            WaitReason.RESERVED
            if others.candidates_count()
            else WaitReason.NO_GRANT
        )
    if not placement.team_allows():
        return WaitReason.TEAM_LIMIT
    return (
        WaitReason.GANG if placement.single_task_fits() else WaitReason.NO_ROOM
    )


class _DemandPlacement:
    """Placement of one demand on the resources that are left."""

    def __init__(
        self,
        demand: Demand,
        workers: list[AvailableWorker],
        team_available: collections.abc.MutableMapping[
            messages.TeamId, messages.Resources
        ],
    ) -> None:
        self._demand = demand
        self._team_available = team_available
        self._charge = demand.spec.charged()
        self._counts = dict(demand.per_worker_counts)
        # Workers whose ticket has to be renewed can be reserved as well.
        self._eligible = [
            worker for worker in workers if self._may_run(worker)
        ]
        self._workers = [
            worker for worker in self._eligible if self._may_start(worker)
        ]

    def place(self) -> list[tuple[Placement, ...]]:
        demand = self._demand
        if not demand.spec.gang:
            groups: list[tuple[Placement, ...]] = []
            for index in demand.indexes:
                worker = self._allocate() if self.team_allows() else None
                if worker is None:
                    break
                groups.append((self._placement(index, worker),))
            return groups
        return self._place_gang() if self.team_allows() else []

    def reserve(self, tasks_count: int, reserved_max: int) -> int:
        """Reserve workers until the remaining tasks would fit on them.

        Returns the number of workers reserved.

        Otherwise small tasks would take every core that becomes free, and a
        large task or a gang would never start. The workers with the most free
        CPU come first, so the next round reserves the same ones.
        """
        reserved_count = 0
        for worker in self._by_free_cpu()[:reserved_max]:
            if tasks_count <= 0:
                break
            worker.reserved = True
            reserved_count += 1
            tasks_count -= _specs.tasks_that_fit(self._charge, worker.capacity)
        return reserved_count

    def preempt(
        self, tasks_count: int, preemption: _preemption.Preemption
    ) -> bool:
        """Reserve workers for the tasks, and preempt less urgent runs there.

        Workers on which tasks fit without stopping a run are reserved too.
        Returns whether any worker was reserved.
        """
        per_worker_max = self._demand.spec.per_worker_max
        candidates = [
            _preemption.CandidateWorker(
                worker.worker_id,
                worker.free,
                per_worker_max - self._counts.get(worker.worker_id, 0)
                if per_worker_max
                else None,
            )
            for worker in self._by_free_cpu()
        ]
        reserved_ids = preemption.select_runs(
            candidates,
            self._charge,
            self._demand.priority,
            tasks_count,
            self._demand.spec.gang,
        )
        for worker in self._eligible:
            worker.reserved = (
                worker.reserved or worker.worker_id in reserved_ids
            )
        return bool(reserved_ids)

    def _by_free_cpu(self) -> list[AvailableWorker]:
        """Return the workers that could run a task, most free CPU first."""
        if not self.team_allows():
            # Reserved resources would stay idle.
            return []
        eligible = [
            worker
            for worker in self._eligible
            if self._charge.fits_in(worker.capacity)
        ]
        eligible.sort(key=lambda worker: -worker.free.cpu_millicores)
        return eligible

    def candidates_count(self) -> int:
        """Return how many workers may start the demand now."""
        return len(self._workers)

    def single_task_fits(self) -> bool:
        """Return whether a single task would fit on any worker."""
        return any(self._fits(worker) for worker in self._workers)

    def _place_gang(self) -> list[tuple[Placement, ...]]:
        taken: list[AvailableWorker] = []
        for _ in self._demand.indexes:
            worker = self._allocate()
            if worker is None:
                for allocated in taken:
                    self._deallocate(allocated)
                return []
            taken.append(worker)
        pairs = zip(self._demand.indexes, taken, strict=True)
        return [
            tuple(self._placement(index, worker) for index, worker in pairs)
        ]

    def _may_run(self, worker: AvailableWorker) -> bool:
        demand = self._demand
        if worker.reserved:
            return False
        label = demand.spec.required_label
        if label and label not in worker.labels:
            return False
        return demand.granted is None or worker.worker_id in demand.granted

    def _may_start(self, worker: AvailableWorker) -> bool:
        tickets = self._demand.tickets
        return tickets is None or worker.worker_id in tickets

    def _allocate(self) -> AvailableWorker | None:
        fitting = [worker for worker in self._workers if self._fits(worker)]
        if not fitting:
            return None
        worker = min(fitting, key=self._rank)
        worker.free -= self._charge
        self._count(worker, 1)
        self._update_team_available(self._demand.spec.resources, taken=True)
        return worker

    def _deallocate(self, worker: AvailableWorker) -> None:
        worker.free += self._charge
        self._count(worker, -1)
        self._update_team_available(self._demand.spec.resources, taken=False)

    def _count(self, worker: AvailableWorker, change: int) -> None:
        counts = self._counts
        counts[worker.worker_id] = counts.get(worker.worker_id, 0) + change

    def _fits(self, worker: AvailableWorker) -> bool:
        per_worker_max = self._demand.spec.per_worker_max
        if (
            per_worker_max
            and self._counts.get(worker.worker_id, 0) >= per_worker_max
        ):
            return False
        return self._charge.fits_in(worker.free)

    def _rank(self, worker: AvailableWorker) -> tuple[bool, int, bool, int]:
        """Return the sort key of a worker; the lowest is chosen.

        Prefers reliable workers, then the rack near the data, then the
        worker with the least free CPU, so that full workers are filled up.
        """
        spec = self._demand.spec
        return (
            worker.worker_id in self._demand.avoided,
            worker.penalty,
            bool(spec.near_rack) and worker.rack != spec.near_rack,
            worker.free.cpu_millicores,
        )

    def team_allows(self) -> bool:
        """Return whether the team's limit allows a task, or the whole gang."""
        demand = self._demand
        available = self._team_available.get(demand.team_id)
        if available is None:
            return True
        least_count = len(demand.indexes) if demand.spec.gang else 1
        fit_count = _specs.tasks_that_fit(demand.spec.resources, available)
        return fit_count >= least_count

    def _update_team_available(
        self, amount: messages.Resources, taken: bool
    ) -> None:
        available = self._team_available.get(self._demand.team_id)
        if available is not None:
            changed = available - amount if taken else available + amount
            self._team_available[self._demand.team_id] = changed

    def _placement(self, index: int, worker: AvailableWorker) -> Placement:
        demand = self._demand
        tickets = demand.tickets or {}
        return Placement(
            _specs.TaskKey(demand.job_id, demand.step, index),
            worker.worker_id,
            tickets.get(worker.worker_id, ''),
        )
