"""Inputs of the planner, derived from the replicated state.

These are the demands of waiting steps, the free resources of workers and of
teams, and the runs that can be preempted.
"""

import collections
import collections.abc
import dataclasses
import types

from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _crashes
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _policy
from dandeliondrum.jobs import _preemption
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _run_ends
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import _state
from dandeliondrum.jobs import queueing
from dandeliondrum import messages

# Replaces an amount for which a team has no limit.
UNLIMITED = 1 << 50
# A suspect under which many workers have crashed is run apart from other jobs
# until it has been listed for this long.
LONG_PROBATION_MS = 5_000

_OpenDemand = tuple[_planner.Demand, _policy.QueuePolicy]


def waiting_indexes(job: _records.JobRecord, step: int) -> tuple[int, ...]:
    """Return the indexes of the tasks of a step that may be started now.

    The members of a gang wait until all members of the earlier run have
    ended.
    """
    record, spec = job.steps[step], job.spec.steps[step]
    if record.finished or (spec.gang and not record.idle()):
        return ()
    return tuple(
        index
        for index, task in enumerate(record.tasks)
        if task.phase is _records.TaskPhase.WAITING
    )


def open_demands(
    state: _state.JobsState,
) -> collections.abc.Iterator[_OpenDemand]:
    """Yield a demand for each due step; the caller holds the state's lock."""
    means = queueing.KindMeans()
    for job in state.open_jobs.values():
        yield from _job_demands(state, job, means)


class DemandCache:
    """Demands of due steps, computed again only for jobs that have changed.

    Not thread-safe: only the scheduler's thread uses it.
    """

    def __init__(self) -> None:
        self._policy: _policy.Policy | None = None
        self._means = queueing.KindMeans()
        self._by_job: dict[
            _specs.JobId, tuple[_records.JobRecord, int, list[_OpenDemand]]
        ] = {}

    def read_new(
        self, state: _state.JobsState, job_id: _specs.JobId
    ) -> list[_OpenDemand]:
        """Return the demands of a job if it was not read before.

        None are returned before the first round, nor after a change of the
        policy until the next one. The caller holds the lock of the state.
        """
        job = state.open_jobs.get(job_id)
        if (
            job is None
            or job_id in self._by_job
            or state.policy is not self._policy
        ):
            return []
        return list(_job_demands(state, job, self._means))

    def read(self, state: _state.JobsState) -> list[_OpenDemand]:
        """Return what open_demands yields; the caller holds its lock.

        The demands are those of the last call where nothing has changed.
        """
        before = self._by_job if state.policy is self._policy else {}
        self._policy = state.policy
        self._by_job = {}
        found: list[_OpenDemand] = []
        for job_id, job in state.open_jobs.items():
            known = before.get(job_id)
            if (
                known is None
                or known[0] is not job
                or known[1] != job.changes_count
            ):
                if known is None:
                    self._means.record(job.spec)
                demands = list(_job_demands(state, job, self._means))
                known = (job, job.changes_count, demands)
            self._by_job[job_id] = known
            found += known[2]
        return found


def _job_demands(
    state: _state.JobsState,
    job: _records.JobRecord,
    means: queueing.KindMeans,
) -> collections.abc.Iterator[_OpenDemand]:
    queue = state.queue_of(job)
    if queue is None:
        return
    steps = job.spec.steps
    waiting = [waiting_indexes(job, step) for step in range(len(steps))]
    if not any(waiting):
        return
    slack_ms = queueing.slack_ms(steps, queue)
    objective_ms = queueing.objective_ms(steps, queue)
    left_core_ms = queueing.work_core_ms(steps, map(len, waiting))
    value = means.value(job.spec)
    for step, spec in enumerate(steps):
        indexes = waiting[step]
        if not indexes or not job.step_is_due(step):
            continue
        indexes, crashes_count = _isolate(job.steps[step], spec, indexes)
        yield (
            _planner.Demand(
                job.spec.job_id,
                _specs.StepIndex(step),
                spec,
                job.spec.team_id,
                queue.pool,
                queue.priority,
                job.spec.submitted_ms,
                indexes,
                per_worker_counts=_counts(job, step),
                slack_ms=slack_ms[step],
                objective_ms=None if spec.endless else objective_ms,
                left_core_ms=left_core_ms,
                value=value,
                crashes_count=crashes_count,
            ),
            queue,
        )


def _isolate(
    record: _records.StepRecord,
    spec: _specs.StepSpec,
    indexes: tuple[int, ...],
) -> tuple[tuple[int, ...], int]:
    """Return the tasks to place first, and their crashes if they are isolated.

    Tasks that are suspected of crashing workers come last. A gang is placed
    as a whole, beside others.
    """
    if spec.gang:
        return indexes, 0
    others = tuple(
        index for index in indexes if not record.tasks[index].is_suspect
    )
    if others:
        return others, 0
    return indexes, min(record.tasks[index].crashes_count for index in indexes)


def isolating_workers(
    state: _state.JobsState,
    order_books: collections.abc.Mapping[messages.WorkerId, _orders.OrderBook],
    now_ms: int,
) -> set[messages.WorkerId]:
    """Return the workers that are given nothing else beside a suspect.

    A suspect is isolated until it has been listed for a while, and for longer
    if many workers have crashed under it. The caller holds the lock of the
    state.
    """
    found = set()
    for key in state.suspects:
        job = state.open_jobs[key.job_id]
        task = job.steps[key.step].tasks[key.index]
        if task.worker_id is None or job.spec.steps[key.step].gang:
            continue
        orders = order_books.get(task.worker_id)
        listed_ms = (
            orders.listed_ms(key, task.run, now_ms)
            if orders is not None
            else None
        )
        probation_ms = (
            LONG_PROBATION_MS
            if task.crashes_count >= _run_ends.CRASHES_MAX
            else _crashes.STARTING_MS
        )
        if listed_ms is None or listed_ms < probation_ms:
            found.add(task.worker_id)
    return found


class WorkerCache:
    """Inputs of the planner for workers, made anew only where one changed.

    Not thread-safe: only the scheduler's thread uses it.
    """

    def __init__(self) -> None:
        self._before: dict[messages.WorkerId, _CachedWorker] = {}

    def read(
        self,
        workers: collections.abc.Iterable[tuple[_records.WorkerRecord, int]],
        speeds: collections.abc.Mapping[messages.WorkerId, float] = (
            types.MappingProxyType({})
        ),
    ) -> list[_planner.AvailableWorker]:
        """Return the given workers, each with its penalty, for one round.

        ``speeds`` holds the relative speeds of workers that are not 1.0.
        The results are those of the last call with other free resources, so
        they must not be used after the next call.
        """
        current: dict[messages.WorkerId, _CachedWorker] = {}
        found = []
        for worker, penalty in workers:
            facts = worker.facts
            known = self._before.get(facts.worker_id)
            if (
                known is None
                or known.facts is not facts
                or known.used is not worker.used
            ):
                free = facts.capacity - worker.used
                available = _planner.AvailableWorker(
                    facts.worker_id,
                    facts.pool,
                    facts.rack,
                    frozenset(facts.labels),
                    free,
                    facts.capacity,
                    started_ms=facts.started_ms,
                    endless_used=worker.endless_used,
                )
                known = _CachedWorker(facts, worker.used, free, available)
            available = known.available
            available.free = known.free
            available.penalty = penalty
            available.speed = speeds.get(facts.worker_id, 1.0)
            available.reserved = False
            available.is_empty = not worker.runs
            current[facts.worker_id] = known
            found.append(available)
        self._before = current
        return found


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedWorker:
    """A worker with what its input was computed from."""

    facts: _commands.WorkerFacts
    used: messages.Resources
    free: messages.Resources
    available: _planner.AvailableWorker


def running_work(
    state: _state.JobsState,
    order_books: collections.abc.Mapping[messages.WorkerId, _orders.OrderBook],
    now_ms: int,
) -> dict[str, queueing.Running]:
    """Return by pool what runs on the workers and when it should end.

    A run that has just been assigned takes as long as declared. One that
    takes longer than declared is expected to take an eighth of that more;
    estimates are off by up to a half. Ends are rounded down to tenths of a
    second, so that there are few of them. The caller holds the state's lock.
    """
    found: dict[str, queueing.Running] = {}
    for worker_id, orders in order_books.items():
        worker = state.workers.get(worker_id)
        if worker is None:
            # It was removed after the workers had been read.
            continue
        running = found.setdefault(worker.facts.pool, queueing.Running())
        for key, run in worker.runs.items():
            job = state.jobs[key.job_id]
            queue = state.queue_of(job)
            if queue is None:
                continue
            spec = job.spec.steps[key.step]
            ends_in_ms = None
            if not spec.endless:
                run_ms = spec.expected_run_ms
                elapsed_ms = orders.listed_ms(key, run, now_ms) or 0
                left_ms = max(run_ms - elapsed_ms, run_ms // 8)
                ends_in_ms = left_ms // 100 * 100
            running.add(
                job.spec.team_id, queue.priority, spec.charged(), ends_in_ms
            )
    return found


def free_cpu_share(
    workers: collections.abc.Iterable[_planner.AvailableWorker],
) -> float:
    """Return the free part of the workers' CPU, 0 without workers."""
    free = capacity = 0
    for worker in workers:
        # A worker that has shrunk may run more than it has.
        free += max(0, worker.free.cpu_millicores)
        capacity += worker.capacity.cpu_millicores
    return free / capacity if capacity else 0.0


def preemptible_runs(
    state: _state.JobsState,
    worker_id: messages.WorkerId,
    orders: _orders.OrderBook,
) -> list[_preemption.PreemptibleRun]:
    """Return the runs of a worker that can be stopped without losing work.

    Runs whose start is not confirmed by the worker are left out. Runs that
    are being stopped already are included, since their resources become free
    soon.
    """
    worker = state.workers.get(worker_id)
    found = []
    for key, run in worker.runs.items() if worker is not None else ():
        job = state.jobs.get(key.job_id)
        queue = state.queue_of(job) if job is not None else None
        if job is None or queue is None:
            continue
        spec = job.spec.steps[key.step]
        stopping = orders.is_stopping(key, run)
        saves_progress = (
            spec.checkpointing and not spec.gang and not spec.endless
        )
        is_preemptible = saves_progress and orders.is_listed(key, run)
        if stopping or (
            is_preemptible and run <= _preemption.PREEMPTIBLE_RUN_NUMBER_MAX
        ):
            found.append(
                _preemption.PreemptibleRun(
                    key,
                    run,
                    worker_id,
                    spec.charged(),
                    queue.priority,
                    stopping,
                    spec.expected_run_ms,
                )
            )
    return found


def team_available(
    state: _state.JobsState,
) -> dict[messages.TeamId, messages.Resources]:
    """Return the resources that each limited team may still use."""
    return {
        team_id: limit - state.team_usage(team_id)
        for team_id, limit in team_limits(state).items()
    }


def team_limits(
    state: _state.JobsState,
) -> dict[messages.TeamId, messages.Resources]:
    """Return the upper limit of each limited team."""
    limits = {}
    for team in state.policy.teams:
        limit = team.limit
        if not any(
            (
                limit.cpu_millicores,
                limit.memory_mb,
                limit.accelerators_count,
            )
        ):
            continue
        limits[team.team_id] = messages.Resources(
            limit.cpu_millicores or UNLIMITED,
            limit.memory_mb or UNLIMITED,
            limit.accelerators_count or UNLIMITED,
        )
    return limits


def assignments(
    state: _state.JobsState,
    groups: collections.abc.Sequence[tuple[_planner.Placement, ...]],
) -> tuple[tuple[_commands.RunAssignment, ...], ...]:
    """Assign run numbers to planned groups; members share a number."""
    numbered = []
    for group in groups:
        tasks = [
            state.jobs[placement.task.job_id].steps[placement.task.step].tasks
            for placement in group
        ]
        run = 1 + max(
            tasks_of_step[placement.task.index].run
            for placement, tasks_of_step in zip(group, tasks, strict=True)
        )
        numbered.append(
            tuple(
                _commands.RunAssignment(
                    placement.task, run, placement.worker_id
                )
                for placement in group
            )
        )
    return tuple(numbered)


def _counts(
    job: _records.JobRecord, step: int
) -> collections.abc.Mapping[messages.WorkerId, int]:
    if not job.spec.steps[step].per_worker_max:
        return {}
    return collections.Counter(
        task.worker_id
        for task in job.steps[step].tasks
        if task.worker_id is not None
    )
