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
# At most one worker in this number is reserved.
RESERVED_PART = 3


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
class WorkerRoom:
    """A usable worker and its free resources.

    ``suspicion`` is higher for slow workers and for workers that failed tasks
    recently; they are chosen last. A ``reserved`` worker is kept for an
    earlier demand.
    """

    worker_id: messages.WorkerId
    pool: str
    rack: messages.Rack
    labels: frozenset[str]
    free: messages.Resources
    capacity: messages.Resources
    suspicion: int = 0
    reserved: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Placement of one task on a worker."""

    task: _specs.TaskKey
    worker_id: messages.WorkerId
    ticket: str = ''


class Obstacle(enum.Enum):
    """Reason why a due task is not placed."""

    NO_WORKER = 'no worker of the pool is usable'
    NO_GRANT = 'no usable worker is granted'
    KEPT = 'all granted workers are kept free for other work'
    NO_ROOM = 'no granted worker has room'
    TEAM_LIMIT = 'the team is at its limit'
    GANG = 'the gang does not fit as a whole'


def order_of(demand: Demand) -> tuple[int, int, str]:
    """Return the sort key of a demand: by queue priority, then by age."""
    return (demand.priority, demand.submitted_ms, demand.job_id)


def plan(
    demands: collections.abc.Iterable[Demand],
    workers: collections.abc.Iterable[WorkerRoom],
    team_room: collections.abc.MutableMapping[
        messages.TeamId, messages.Resources
    ],
    preemption: _preemption.Preemption | None = None,
) -> list[tuple[Placement, ...]]:
    """Return groups of placements; each group is assigned as a whole.

    ``team_room`` holds the resources that each limited team may still use;
    teams that are not in it have no limit. It and the free resources of the
    workers are reduced by what is placed. ``preemption`` collects the runs to
    stop for demands that have waited; without it nothing is stopped.
    """
    preemption = preemption or _preemption.Preemption()
    by_pool: dict[str, list[WorkerRoom]] = {}
    for worker in workers:
        by_pool.setdefault(worker.pool, []).append(worker)
    groups: list[tuple[Placement, ...]] = []
    placed_count = 0
    for demand in sorted(demands, key=order_of):
        if placed_count >= PLACEMENTS_MAX:
            break
        pool = by_pool.get(demand.pool, [])
        attempt = _Attempt(demand, pool, team_room)
        chosen = attempt.run()
        groups += chosen
        count = sum(len(group) for group in chosen)
        placed_count += count
        left_count = len(demand.indexes) - count
        if left_count and demand.waited_ms >= RESERVE_AFTER_MS:
            if attempt.make_room(left_count, preemption):
                preemption.served.add((demand.job_id, demand.step))
            else:
                attempt.reserve(left_count, len(pool) // RESERVED_PART)
    return groups


def obstacle(
    demand: Demand,
    workers: collections.abc.Iterable[WorkerRoom],
    team_room: collections.abc.Mapping[messages.TeamId, messages.Resources],
) -> Obstacle:
    """Return why a demand is still waiting after a planning round."""
    pool = [one for one in workers if one.pool == demand.pool]
    if not pool:
        return Obstacle.NO_WORKER
    attempt = _Attempt(demand, pool, dict(team_room))
    if not attempt.candidates_count():
        unkept = [dataclasses.replace(one, reserved=False) for one in pool]
        others = _Attempt(demand, unkept, dict(team_room))
        return (
            Obstacle.KEPT if others.candidates_count() else Obstacle.NO_GRANT
        )
    if not attempt.team_has_room():
        return Obstacle.TEAM_LIMIT
    return Obstacle.GANG if attempt.one_fits() else Obstacle.NO_ROOM


class _Attempt:
    """Placement of one demand on the resources that are left."""

    def __init__(
        self,
        demand: Demand,
        workers: list[WorkerRoom],
        team_room: collections.abc.MutableMapping[
            messages.TeamId, messages.Resources
        ],
    ) -> None:
        self._demand = demand
        self._team_room = team_room
        self._charge = demand.spec.charged()
        self._counts = dict(demand.per_worker_counts)
        # Workers whose ticket has to be renewed can be reserved as well.
        self._able = [one for one in workers if self._may_run(one)]
        self._workers = [one for one in self._able if self._may_start(one)]

    def run(self) -> list[tuple[Placement, ...]]:
        demand = self._demand
        if not demand.spec.gang:
            groups: list[tuple[Placement, ...]] = []
            for index in demand.indexes:
                worker = self._take() if self.team_has_room() else None
                if worker is None:
                    break
                groups.append((self._placement(index, worker),))
            return groups
        return self._run_gang() if self.team_has_room() else []

    def reserve(self, tasks_count: int, reserved_max: int) -> None:
        """Reserve workers until the remaining tasks would fit on them.

        Otherwise small tasks would take every core that becomes free, and a
        large task or a gang would never start. The workers with the most free
        CPU come first, so the next round reserves the same ones.
        """
        for worker in self._emptiest()[:reserved_max]:
            if tasks_count <= 0:
                return
            worker.reserved = True
            tasks_count -= _specs.tasks_that_fit(self._charge, worker.capacity)

    def make_room(
        self, tasks_count: int, preemption: _preemption.Preemption
    ) -> bool:
        """Preempt less urgent runs and reserve the workers they run on.

        Returns whether any worker was reserved.
        """
        most = self._demand.spec.per_worker_max
        places = [
            _preemption.Place(
                one.worker_id,
                one.free,
                most - self._counts.get(one.worker_id, 0) if most else None,
            )
            for one in self._emptiest()
        ]
        kept = preemption.make_room(
            places,
            self._charge,
            self._demand.priority,
            tasks_count,
            self._demand.spec.gang,
        )
        for worker in self._able:
            worker.reserved = worker.reserved or worker.worker_id in kept
        return bool(kept)

    def _emptiest(self) -> list[WorkerRoom]:
        """Return the workers that could run a task, most free CPU first."""
        if not self.team_has_room():
            # Reserved resources would stay idle.
            return []
        able = [
            one for one in self._able if self._charge.fits_in(one.capacity)
        ]
        able.sort(key=lambda one: -one.free.cpu_millicores)
        return able

    def candidates_count(self) -> int:
        """Return how many workers may start the demand now."""
        return len(self._workers)

    def one_fits(self) -> bool:
        """Return whether a single task would fit on any worker."""
        return any(self._fits(one) for one in self._workers)

    def _run_gang(self) -> list[tuple[Placement, ...]]:
        taken: list[WorkerRoom] = []
        for _ in self._demand.indexes:
            worker = self._take()
            if worker is None:
                for one in taken:
                    self._give_back(one)
                return []
            taken.append(worker)
        pairs = zip(self._demand.indexes, taken, strict=True)
        return [tuple(self._placement(index, one) for index, one in pairs)]

    def _may_run(self, worker: WorkerRoom) -> bool:
        demand = self._demand
        if worker.reserved:
            return False
        label = demand.spec.required_label
        if label and label not in worker.labels:
            return False
        return demand.granted is None or worker.worker_id in demand.granted

    def _may_start(self, worker: WorkerRoom) -> bool:
        tickets = self._demand.tickets
        return tickets is None or worker.worker_id in tickets

    def _take(self) -> WorkerRoom | None:
        fitting = [one for one in self._workers if self._fits(one)]
        if not fitting:
            return None
        worker = min(fitting, key=self._rank)
        worker.free -= self._charge
        self._count(worker, 1)
        self._change_team_room(self._demand.spec.resources, taken=True)
        return worker

    def _give_back(self, worker: WorkerRoom) -> None:
        worker.free += self._charge
        self._count(worker, -1)
        self._change_team_room(self._demand.spec.resources, taken=False)

    def _count(self, worker: WorkerRoom, change: int) -> None:
        counts = self._counts
        counts[worker.worker_id] = counts.get(worker.worker_id, 0) + change

    def _fits(self, worker: WorkerRoom) -> bool:
        most = self._demand.spec.per_worker_max
        if most and self._counts.get(worker.worker_id, 0) >= most:
            return False
        return self._charge.fits_in(worker.free)

    def _rank(self, worker: WorkerRoom) -> tuple[bool, int, bool, int]:
        """Return the sort key of a worker; the lowest is chosen.

        Prefers reliable workers, then the required rack, then best fit.
        """
        spec = self._demand.spec
        return (
            worker.worker_id in self._demand.avoided,
            worker.suspicion,
            bool(spec.near_rack) and worker.rack != spec.near_rack,
            worker.free.cpu_millicores,
        )

    def team_has_room(self) -> bool:
        """Return whether the team's limit allows a task, or the whole gang."""
        demand = self._demand
        room = self._team_room.get(demand.team_id)
        if room is None:
            return True
        least_count = len(demand.indexes) if demand.spec.gang else 1
        fit_count = _specs.tasks_that_fit(demand.spec.resources, room)
        return fit_count >= least_count

    def _change_team_room(
        self, amount: messages.Resources, taken: bool
    ) -> None:
        room = self._team_room.get(self._demand.team_id)
        if room is not None:
            changed = room - amount if taken else room + amount
            self._team_room[self._demand.team_id] = changed

    def _placement(self, index: int, worker: WorkerRoom) -> Placement:
        demand = self._demand
        tickets = demand.tickets or {}
        return Placement(
            _specs.TaskKey(demand.job_id, demand.step, index),
            worker.worker_id,
            tickets.get(worker.worker_id, ''),
        )
