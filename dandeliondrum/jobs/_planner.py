"""Placement of waiting tasks on workers.

Designed for a nearly full fleet with tasks of many sizes, gangs whose tasks
start together, and tasks that only a few workers may run. The planner works
on plain values without side effects on the cell, so that tests can simulate
any load.
"""

import collections.abc
import dataclasses
import enum
import itertools

from dandeliondrum.jobs import _preemption
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import queueing
from dandeliondrum import messages

StepKey = tuple[_specs.JobId, _specs.StepIndex]

PLACEMENTS_MAX = 256
# A leader that is short of processor time carries out about so many starts
# between two rounds. Once a round has placed so many tasks of demands that
# can't wait for as long as below, those that can are left to later rounds:
# their starts would delay the others.
PRESSING_MAX = 96
PRESSING_SLACK_MS = 2_000
# Workers are reserved for a demand that has waited for this long.
RESERVE_AFTER_MS = 400
# Without preemption, at most the number of workers in the pool divided by this
# is reserved, so that waiting demands don't leave the whole pool idle.
RESERVED_DIVISOR = 3
# At most the number of workers in the pool divided by this, but at least one,
# is kept for tasks that are run apart from other jobs. With the workers that
# don't answer since such a task was started, it is at most twice that number.
ISOLATED_DIVISOR = 4
# An isolated demand that has waited for this long may use a worker that runs
# something; the second value applies after more than one crash.
ISOLATION_WAIT_MS = 3_000
ISOLATION_LONG_WAIT_MS = 10_000


@dataclasses.dataclass(slots=True)
class Demand:
    """The waiting tasks of one due step.

    ``granted`` holds the workers that may run the step, and ``tickets`` maps
    the workers on which it may start now to their tickets; both are None if
    any worker may run it. ``avoided`` holds the workers on which a task of
    the step failed before. ``per_worker_counts`` is the number of tasks of
    the step on each worker. ``waited_ms`` is how long the step has been due.
    ``slack_ms`` is how long after the submission its tasks may start for the
    job to meet its latency objective, and ``objective_ms`` when the job should
    have ended; both are None if there is none. ``latest_start_ms`` is the
    former on this process's clock, or the time of submission if there is no
    objective; ``urgency`` is what the job can still achieve.
    ``left_core_ms`` is the work of the job that has not started, in ms of a
    core, and ``value`` what the job is worth to its callers, 1 for an average
    job of its queue. ``amount`` is what all tasks use together.
    ``standing`` is what :func:`queueing.order` has found.
    The planner does not change a demand; ``tickets``, ``granted``,
    ``avoided``, ``waited_ms``, ``latest_start_ms``, ``urgency`` and
    ``standing`` are set anew for each round, and so is ``slack_left_ms``, the
    time until the latest start, None without an objective. If
    ``crashes_count`` is not 0, the tasks are suspected of crashing workers and
    run apart from other jobs; it is the least number of crashes under a task.
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
    slack_ms: int | None = None
    objective_ms: int | None = None
    latest_start_ms: int = 0
    urgency: queueing.Urgency = queueing.Urgency.IN_TIME
    left_core_ms: float = 0.0
    value: float = 1.0
    slack_left_ms: int | None = None
    standing: queueing.Standing = queueing.NEUTRAL
    crashes_count: int = 0
    amount: messages.Resources = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.amount = _multiply(self.spec.charged(), len(self.indexes))

    @property
    def is_late(self) -> bool:
        """Whether the objective of the job can't be met any more."""
        return self.urgency is not queueing.Urgency.IN_TIME

    @property
    def least_speed(self) -> float:
        """The speed of a worker on which the demand meets its objective.

        It is at most 1, and 0 if any worker will do: the demand has no
        objective or has missed it, or its tasks are isolated.
        """
        left_ms, run_ms = self.slack_left_ms, self.spec.expected_run_ms
        if left_ms is None or left_ms < 0 or not run_ms or self.isolated:
            return 0.0
        return run_ms / (run_ms + left_ms)

    @property
    def can_wait(self) -> bool:
        """Whether some more rounds don't make the demand late."""
        left_ms = self.slack_left_ms
        return left_ms is not None and left_ms >= PRESSING_SLACK_MS

    @property
    def isolated(self) -> bool:
        """Whether the tasks are run apart from other jobs."""
        return self.crashes_count > 0

    @property
    def may_share(self) -> bool:
        """Whether an isolated demand has waited long for an empty worker."""
        if self.crashes_count > 1:
            return self.waited_ms >= ISOLATION_LONG_WAIT_MS
        return self.waited_ms >= ISOLATION_WAIT_MS


@dataclasses.dataclass(slots=True)
class AvailableWorker:
    """A usable worker and its free resources.

    ``speed`` is that of the worker's tier, and 1.0 is the median of the pool;
    all workers of an even pool have 1.0. ``penalty`` is higher for slow
    workers and for workers that failed tasks recently; they are chosen last.
    A ``reserved`` worker is kept for an earlier demand. A worker with
    ``is_empty`` runs nothing. ``endless_used`` is what endless tasks use;
    nobody knows when it becomes free. What is or will become free is
    ``obtainable``.
    """

    worker_id: messages.WorkerId
    pool: str
    rack: messages.Rack
    labels: frozenset[str]
    free: messages.Resources
    capacity: messages.Resources
    penalty: int = 0
    reserved: bool = False
    is_empty: bool = True
    started_ms: int = 0
    endless_used: messages.Resources = messages.Resources(0, 0)
    speed: float = 1.0
    obtainable: messages.Resources = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.obtainable = self.capacity - self.endless_used


@dataclasses.dataclass(frozen=True, slots=True)
class Isolation:
    """Numbers of workers of each pool that are kept for isolated tasks.

    These workers are not among those to plan with. Those that don't answer
    have possibly crashed.
    """

    answering_counts: collections.abc.Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    silent_counts: collections.abc.Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Placement of one task on a worker."""

    task: _specs.TaskKey
    worker_id: messages.WorkerId
    ticket: str = ''


class WaitReason(enum.Enum):
    """Reason why a due task is not placed."""

    UNFIT = 'the usable workers could not run it if they were empty'
    NO_WORKER = 'no worker of the pool is usable'
    NO_GRANT = 'no usable worker is granted'
    RESERVED = 'all granted workers are kept free for other work'
    NO_ROOM = 'no granted worker has room'
    TEAM_LIMIT = 'the team is at its limit'
    GANG = 'the gang does not fit as a whole'
    ISOLATION = 'no worker is free to run the task apart from other jobs'
    TOO_SLOW = 'the workers with room are too slow for the objective'


def plan(
    demands: collections.abc.Iterable[Demand],
    workers: collections.abc.Iterable[AvailableWorker],
    team_available: collections.abc.MutableMapping[
        messages.TeamId, messages.Resources
    ],
    preemption: _preemption.Preemption | None = None,
    isolation: Isolation | None = None,
) -> list[tuple[Placement, ...]]:
    """Return groups of placements; each group is assigned as a whole.

    ``team_available`` holds the resources that each limited team may still
    use; teams that are not in it have no limit. It and the free resources of
    the workers are reduced by what is placed. ``preemption`` collects the runs
    to stop for demands that have waited; without it nothing is stopped.
    ``isolation`` counts the workers that are not among ``workers`` because
    they are kept for isolated tasks.
    """
    preemption = preemption or _preemption.Preemption()
    pools = _make_pools(workers)
    reservable_counts = {
        name: len(pool.workers) // RESERVED_DIVISOR
        for name, pool in pools.items()
    }
    isolable_counts = _isolable_counts(pools, isolation or Isolation())
    groups: list[tuple[Placement, ...]] = []
    placed_count = pressing_count = 0
    for demand in _in_order(demands):
        if placed_count >= PLACEMENTS_MAX:
            break
        if pressing_count >= PRESSING_MAX and demand.can_wait:
            continue
        pool = pools.get(demand.pool, _NO_WORKERS)
        placement = _DemandPlacement(demand, pool, team_available)
        if demand.isolated:
            if isolable_counts.get(demand.pool, 0) <= 0:
                continue
            chosen = placement.place_isolated()
        else:
            chosen = placement.place()
        groups += chosen
        count = sum(len(group) for group in chosen)
        placed_count += count
        if not demand.can_wait:
            pressing_count += count
        if demand.isolated:
            if count or (
                demand.waited_ms >= RESERVE_AFTER_MS
                and placement.reserve(1, reservable_counts[demand.pool])
            ):
                isolable_counts[demand.pool] -= 1
            continue
        left_count = min(
            len(demand.indexes) - count,
            _team_allows_count(demand, team_available),
        )
        if left_count and demand.waited_ms >= RESERVE_AFTER_MS:
            # A late demand must not stop runs that may still be in time.
            if not demand.is_late and placement.preempt(
                left_count, preemption
            ):
                preemption.steps_with_capacity.add(
                    (demand.job_id, demand.step)
                )
            elif demand.pool in pools:
                reservable_counts[demand.pool] -= placement.reserve(
                    left_count, reservable_counts[demand.pool]
                )
    return groups


def _in_order(
    demands: collections.abc.Iterable[Demand],
) -> list[Demand]:
    """Return the demands in scheduling order.

    The isolated ones change places among themselves, so that those under
    which the fewest workers have crashed come first.
    """
    ordered = sorted(demands, key=queueing.sort_key)
    isolated = iter(
        sorted(
            (demand for demand in ordered if demand.isolated),
            key=lambda demand: demand.crashes_count,
        )
    )
    return [
        next(isolated) if demand.isolated else demand for demand in ordered
    ]


def _isolable_counts(
    pools: collections.abc.Mapping[str, '_Pool'], isolation: Isolation
) -> dict[str, int]:
    """Return how many workers of each pool may be kept for isolated tasks."""
    counts = {}
    for name, pool in pools.items():
        answering_count = isolation.answering_counts.get(name, 0)
        silent_count = isolation.silent_counts.get(name, 0)
        total_count = len(pool.workers) + answering_count + silent_count
        kept_max = max(1, total_count // ISOLATED_DIVISOR)
        counts[name] = min(
            kept_max - answering_count,
            2 * kept_max - answering_count - silent_count,
        )
    return counts


def wait_reason(
    demand: Demand,
    workers: collections.abc.Iterable[AvailableWorker],
    team_available: collections.abc.Mapping[
        messages.TeamId, messages.Resources
    ],
) -> WaitReason:
    """Return why a demand is still waiting after a planning round."""
    pool = _make_pools(workers).get(demand.pool)
    if pool is None:
        return WaitReason.NO_WORKER
    placement = _DemandPlacement(demand, pool, dict(team_available))
    least_count = len(demand.indexes) if demand.spec.gang else 1
    if placement.count_fits(pool.workers, least_count) < least_count:
        return WaitReason.UNFIT
    if not placement.single_task_fits() and placement.slow_worker_fits():
        return WaitReason.TOO_SLOW
    if not placement.candidates_count():
        others_count = placement.candidates_count(include_reserved=True)
        return WaitReason.RESERVED if others_count else WaitReason.NO_GRANT
    if not team_allows(demand, team_available):
        return WaitReason.TEAM_LIMIT
    if demand.isolated and placement.single_task_fits():
        return WaitReason.ISOLATION
    return (
        WaitReason.GANG if placement.single_task_fits() else WaitReason.NO_ROOM
    )


def unfit_reasons(
    demands: collections.abc.Iterable[Demand],
    workers: collections.abc.Iterable[AvailableWorker],
    team_limits: collections.abc.Mapping[messages.TeamId, messages.Resources],
) -> dict[StepKey, str]:
    """Return the steps that can't run even if nothing else does, and why.

    That depends on the workers that are usable now, so it may change. Nothing
    is known of a pool without usable workers. Grants are not considered, as
    more of them may be asked for.
    """
    pools = _make_pools(workers)
    reasons = {}
    for demand in demands:
        reason = _unfit_reason(demand, pools, team_limits)
        if reason:
            reasons[demand.job_id, demand.step] = reason
    return reasons


def _unfit_reason(
    demand: Demand,
    pools: collections.abc.Mapping[str, '_Pool'],
    team_limits: collections.abc.Mapping[messages.TeamId, messages.Resources],
) -> str:
    least_count = len(demand.indexes) if demand.spec.gang else 1
    if _team_allows_count(demand, team_limits) < least_count:
        return (
            f'step {demand.step}: the limit of the team is below what '
            f'{least_count} of its tasks need'
        )
    pool = pools.get(demand.pool)
    if pool is None:
        return ''
    placement = _DemandPlacement(demand, pool, {})
    fit_count = placement.count_fits(pool.workers, least_count)
    if fit_count >= least_count:
        return ''
    if not fit_count:
        return f'step {demand.step}: no usable worker can run a task of it'
    return (
        f'step {demand.step}: the usable workers have room for {fit_count} '
        f'of the {least_count} tasks that start together'
    )


def team_allows(
    demand: Demand,
    team_available: collections.abc.Mapping[
        messages.TeamId, messages.Resources
    ],
) -> bool:
    """Return whether the team's limit allows a task, or the whole gang."""
    least_count = len(demand.indexes) if demand.spec.gang else 1
    return _team_allows_count(demand, team_available) >= least_count


def _team_allows_count(
    demand: Demand,
    team_available: collections.abc.Mapping[
        messages.TeamId, messages.Resources
    ],
) -> int:
    """Return how many tasks the team's limit allows."""
    available = team_available.get(demand.team_id)
    if available is None:
        return _specs.ANY_NUMBER
    return _specs.tasks_that_fit(demand.spec.resources, available)


def workers_with_capacity_count(
    demand: Demand, workers: collections.abc.Iterable[AvailableWorker]
) -> int:
    """Return on how many workers a task would fit if all were granted."""
    charge = demand.spec.charged()
    label = demand.spec.required_label
    return sum(
        charge.fits_in(worker.free)
        for worker in workers
        if worker.pool == demand.pool and (not label or label in worker.labels)
    )


class _Pool:
    """The usable workers of one pool, and their positions by id.

    ``speed_min`` is the speed of the slowest one, at most 1.
    """

    def __init__(self) -> None:
        self.workers: list[AvailableWorker] = []
        self.positions: dict[messages.WorkerId, int] = {}
        self.speed_min = 1.0

    def add(self, worker: AvailableWorker) -> None:
        if worker.speed < self.speed_min:
            self.speed_min = worker.speed
        self.positions[worker.worker_id] = len(self.workers)
        self.workers.append(worker)

    def in_any_order(
        self, worker_ids: collections.abc.Collection[messages.WorkerId] | None
    ) -> collections.abc.Iterable[AvailableWorker]:
        """Return what select does, for callers that need only a few."""
        if worker_ids is None:
            return self.workers
        positions = self.positions
        return (
            self.workers[positions[worker_id]]
            for worker_id in worker_ids
            if worker_id in positions
        )

    def select(
        self, worker_ids: collections.abc.Collection[messages.WorkerId] | None
    ) -> list[AvailableWorker]:
        """Return the workers with these ids, all if None, in pool order."""
        if worker_ids is None:
            return self.workers
        positions = self.positions
        return [
            self.workers[position]
            for position in sorted(
                positions[worker_id]
                for worker_id in worker_ids
                if worker_id in positions
            )
        ]


_NO_WORKERS = _Pool()


def _make_pools(
    workers: collections.abc.Iterable[AvailableWorker],
) -> dict[str, _Pool]:
    pools: dict[str, _Pool] = {}
    for worker in workers:
        pool = pools.get(worker.pool)
        if pool is None:
            pool = pools[worker.pool] = _Pool()
        pool.add(worker)
    return pools


class _DemandPlacement:
    """Placement of one demand on the resources that are left."""

    def __init__(
        self,
        demand: Demand,
        pool: _Pool,
        team_available: collections.abc.MutableMapping[
            messages.TeamId, messages.Resources
        ],
    ) -> None:
        self._demand = demand
        self._pool = pool
        self._team_available = team_available
        self._charge = demand.spec.charged()
        self._counts = dict(demand.per_worker_counts)
        self._speed_min = 0.0
        if pool.speed_min < 1:
            self._speed_min = self._find_speed_min()

    def _find_speed_min(self) -> float:
        """Return the least speed of workers on which the demand may start.

        On a slower one it would miss its objective, but it may still meet it
        on a faster one that becomes free before its latest start. Then, or if
        the faster workers could never run it, any worker is used.
        """
        demand = self._demand
        speed_min = demand.least_speed
        if speed_min <= self._pool.speed_min:
            return 0.0
        fast_enough = (
            worker
            for worker in self._pool.in_any_order(demand.granted)
            if worker.speed >= speed_min
        )
        least_count = len(demand.indexes) if demand.spec.gang else 1
        if self.count_fits(fast_enough, least_count) < least_count:
            return 0.0
        return speed_min

    def place(self) -> list[tuple[Placement, ...]]:
        demand = self._demand
        allowed_count = _team_allows_count(demand, self._team_available)
        wanted_count = len(demand.indexes)
        if not demand.spec.gang:
            allocation = self._allocate(min(wanted_count, allowed_count))
            return [(one,) for one in self._take(allocation)]
        if allowed_count < wanted_count:
            return []
        allocation = self._allocate_gang(wanted_count)
        return [tuple(self._take(allocation))] if allocation else []

    def place_isolated(self) -> list[tuple[Placement, ...]]:
        """Place tasks on one worker, on which nothing else is placed.

        Among empty workers, the one that has been up longest is chosen.
        """
        demand = self._demand
        allowed_count = _team_allows_count(demand, self._team_available)
        candidates = [
            worker
            for worker in self._startable()
            if (worker.is_empty or demand.may_share)
            and self._charge.fits_in(worker.free)
            and self._room(worker) > 0
        ]
        if not candidates or allowed_count <= 0:
            return []
        worker = min(candidates, key=self._rank_isolated)
        count = min(self._room(worker), len(demand.indexes), allowed_count)
        placements = self._take([(worker, count)])
        worker.reserved = True
        return [(one,) for one in placements]

    def _rank_isolated(
        self, worker: AvailableWorker
    ) -> tuple[bool, bool, int, int]:
        """Return the sort key of a worker; the lowest is chosen."""
        return (
            not worker.is_empty,
            worker.worker_id in self._demand.avoided,
            0 if worker.is_empty else -worker.free.cpu_millicores,
            worker.started_ms,
        )

    def reserve(self, tasks_count: int, reserved_max: int) -> int:
        """Reserve workers until the remaining tasks would fit on them.

        Returns the number of workers reserved, 0 for a gang that the workers
        can't run at once.

        Otherwise small tasks would take every core that becomes free, and a
        large task or a gang would never start. The workers with the most free
        CPU come first, so the next round reserves the same ones.
        """
        reserved_count = 0
        if not self.may_fit():
            return 0
        for worker in self._by_free_cpu()[:reserved_max]:
            if tasks_count <= 0:
                break
            worker.reserved = True
            reserved_count += 1
            tasks_count -= self._obtainable_room(worker)
        return reserved_count

    def may_fit(self) -> bool:
        """Return whether a task, or the whole gang, fits on the workers.

        What runs there now is left out, except for endless tasks.
        """
        least_count = 1
        if self._demand.spec.gang:
            least_count = len(self._demand.indexes)
        granted = self._pool.select(self._demand.granted)
        return self.count_fits(granted, least_count) >= least_count

    def count_fits(
        self,
        workers: collections.abc.Iterable[AvailableWorker],
        wanted_count: int,
    ) -> int:
        """Return how many tasks fit at once; at least ``wanted_count`` if so.

        What runs on the workers now is left out, except for endless tasks.
        """
        demand = self._demand
        # The other tasks of the step end, unless they are endless.
        per_worker_max = demand.spec.per_worker_max or _specs.ANY_NUMBER
        count = 0
        for worker in workers:
            if count >= wanted_count:
                break
            if not self._may_run(worker, include_reserved=True):
                continue
            used_count = 0
            if demand.spec.endless:
                used_count = self._counts.get(worker.worker_id, 0)
            fit_count = _specs.tasks_that_fit(self._charge, worker.obtainable)
            count += max(0, min(fit_count, per_worker_max - used_count))
        return count

    def _obtainable_room(self, worker: AvailableWorker) -> int:
        """Return how many more tasks fit once runs that end have ended."""
        count = _specs.tasks_that_fit(self._charge, worker.obtainable)
        per_worker_max = self._demand.spec.per_worker_max
        if per_worker_max:
            used_count = self._counts.get(worker.worker_id, 0)
            count = min(count, per_worker_max - used_count)
        return count

    def preempt(
        self, tasks_count: int, preemption: _preemption.Preemption
    ) -> bool:
        """Reserve workers for the tasks, and preempt less urgent runs there.

        Workers on which tasks fit without stopping a run are reserved too.
        Returns whether any worker was reserved.
        """
        per_worker_max = self._demand.spec.per_worker_max
        candidates = (
            _preemption.CandidateWorker(
                worker.worker_id,
                worker.free,
                per_worker_max - self._counts.get(worker.worker_id, 0)
                if per_worker_max
                else None,
            )
            for worker in self._by_free_cpu()
        )
        reserved_ids = preemption.select_runs(
            candidates,
            self._charge,
            self._demand.priority,
            tasks_count,
            self._demand.spec.gang,
        )
        for worker in self._pool.select(reserved_ids):
            worker.reserved = True
        return bool(reserved_ids)

    def _by_free_cpu(self) -> list[AvailableWorker]:
        """Return the workers that could run a task, most free CPU first."""
        if not team_allows(self._demand, self._team_available):
            # Reserved resources would stay idle.
            return []
        # Workers whose ticket has to be renewed can be reserved as well.
        charge = self._charge
        eligible = [
            worker
            for worker in self._fast_enough(
                self._pool.select(self._demand.granted)
            )
            if self._may_run(worker) and charge.fits_in(worker.obtainable)
        ]
        if self._demand.spec.per_worker_max:
            eligible = [
                worker
                for worker in eligible
                if self._obtainable_room(worker) > 0
            ]
        eligible.sort(key=lambda worker: -worker.free.cpu_millicores)
        return eligible

    def candidates_count(self, include_reserved: bool = False) -> int:
        """Return how many workers may start the demand now."""
        return len(self._startable(include_reserved))

    def slow_worker_fits(self) -> bool:
        """Return whether a task would fit on workers that are too slow."""
        if not self._speed_min:
            return False
        others = _DemandPlacement(
            dataclasses.replace(self._demand, slack_left_ms=None),
            self._pool,
            self._team_available,
        )
        return others.single_task_fits()

    def single_task_fits(self) -> bool:
        """Return whether a single task would fit on any worker."""
        return any(
            self._charge.fits_in(worker.free) and self._room(worker) > 0
            for worker in self._startable()
        )

    def _may_run(
        self, worker: AvailableWorker, include_reserved: bool = False
    ) -> bool:
        if worker.reserved and not include_reserved:
            return False
        label = self._demand.spec.required_label
        return not label or label in worker.labels

    def _startable(
        self, include_reserved: bool = False
    ) -> list[AvailableWorker]:
        """Return the workers on which a task may start now."""
        tickets, granted = self._demand.tickets, self._demand.granted
        startable = [
            worker
            for worker in self._pool.select(
                granted if tickets is None else tickets
            )
            if self._may_run(worker, include_reserved)
            and (granted is None or worker.worker_id in granted)
        ]
        return self._fast_enough(startable)

    def _fast_enough(
        self, workers: list[AvailableWorker]
    ) -> list[AvailableWorker]:
        """Return the workers that are not too slow for the demand."""
        speed_min = self._speed_min
        if not speed_min:
            return workers
        return [worker for worker in workers if worker.speed >= speed_min]

    def _room(self, worker: AvailableWorker) -> int:
        """Return how many more tasks fit on a worker with room for one."""
        count = _specs.tasks_that_fit(self._charge, worker.free)
        per_worker_max = self._demand.spec.per_worker_max
        if per_worker_max:
            used_count = self._counts.get(worker.worker_id, 0)
            count = min(count, per_worker_max - used_count)
        return count

    def _allocate(
        self, wanted_count: int
    ) -> list[tuple[AvailableWorker, int]]:
        """Return the best workers, each with a number of tasks to place.

        A worker that got a task ranks before all others that ranked after it,
        so it is filled up before the next one is used.
        """
        if wanted_count <= 0:
            return []
        return self._fill(self._ranked(), wanted_count)

    def _allocate_gang(
        self, wanted_count: int
    ) -> list[tuple[AvailableWorker, int]]:
        """Return the best workers for a whole gang, none if it does not fit.

        A gang with members on fast and on slow workers is as slow as one on
        slow workers only, so the fast ones are left to others if the gang
        fits on equally reliable ones of the slowest speed.
        """
        ranked = self._ranked()
        allocation = self._fill(ranked, wanted_count)
        if sum(count for _, count in allocation) < wanted_count:
            return []
        slowest = min(worker.speed for worker, _ in allocation)
        if all(worker.speed == slowest for worker, _ in allocation):
            return allocation
        used = max(self._reliability(worker) for worker, _ in allocation)
        alike = self._fill(
            [
                worker
                for worker in ranked
                if worker.speed == slowest
                and self._reliability(worker) <= used
            ],
            wanted_count,
        )
        if sum(count for _, count in alike) < wanted_count:
            return allocation
        return alike

    def _ranked(self) -> list[AvailableWorker]:
        """Return the workers with room for a task, the best first."""
        charge = self._charge
        ranked = [
            (self._rank(worker), position, worker)
            for position, worker in enumerate(self._startable())
            if charge.fits_in(worker.free)
        ]
        ranked.sort()
        return [worker for _, _, worker in ranked]

    def _fill(
        self,
        ranked: collections.abc.Iterable[AvailableWorker],
        wanted_count: int,
    ) -> list[tuple[AvailableWorker, int]]:
        allocation = []
        for worker in ranked:
            if wanted_count <= 0:
                break
            count = min(wanted_count, self._room(worker))
            if count > 0:
                allocation.append((worker, count))
                wanted_count -= count
        return allocation

    def _take(
        self, allocation: list[tuple[AvailableWorker, int]]
    ) -> list[Placement]:
        """Take an allocation's resources from the workers and the team."""
        spec = self._demand.spec
        placements = []
        indexes = iter(self._demand.indexes)
        for worker, count in allocation:
            worker.free -= _multiply(self._charge, count)
            worker.is_empty = False
            worker_id = worker.worker_id
            self._counts[worker_id] = self._counts.get(worker_id, 0) + count
            placements += [
                self._placement(index, worker)
                for index in itertools.islice(indexes, count)
            ]
        team_id = self._demand.team_id
        available = self._team_available.get(team_id)
        if available is not None:
            self._team_available[team_id] = available - _multiply(
                spec.resources, len(placements)
            )
        return placements

    def _reliability(self, worker: AvailableWorker) -> tuple[bool, int]:
        """Return a sort key; the lowest is the most reliable."""
        return worker.worker_id in self._demand.avoided, worker.penalty

    def _rank(
        self, worker: AvailableWorker
    ) -> tuple[bool, int, float, bool, int]:
        """Return the sort key of a worker; the lowest is chosen.

        Prefers reliable workers, then faster ones, then the rack near the
        data, then the worker with the least free CPU, so that full workers
        are filled up.
        """
        spec = self._demand.spec
        return (
            worker.worker_id in self._demand.avoided,
            worker.penalty,
            -worker.speed,
            bool(spec.near_rack) and worker.rack != spec.near_rack,
            worker.free.cpu_millicores,
        )

    def _placement(self, index: int, worker: AvailableWorker) -> Placement:
        demand = self._demand
        tickets = demand.tickets or {}
        return Placement(
            _specs.TaskKey(demand.job_id, demand.step, index),
            worker.worker_id,
            tickets.get(worker.worker_id, ''),
        )


def _multiply(amount: messages.Resources, count: int) -> messages.Resources:
    if count == 1:
        return amount
    return messages.Resources(
        amount.cpu_millicores * count,
        amount.memory_mb * count,
        amount.accelerators_count * count,
    )
