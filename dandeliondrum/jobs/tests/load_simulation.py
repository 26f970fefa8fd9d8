"""Simulation of a fleet that a planner fills, without a network.

Jobs of several classes arrive at random, each step may run on a random part
of the workers, and the planner is called at short intervals. Runs take as
long as their jobs' true durations, which differ from what callers estimated.
"""

import collections
import dataclasses
import enum
import random

from dandeliondrum import jobs
from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _preemption
from dandeliondrum.jobs import queueing
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages

TICK_MS = 50
WORKER_CPU = 16_000
WORKER_MEMORY_MB = 32_000
GRANTED_SHARE = 0.35
# A job that takes more than this times its objective is of no use.
USEFUL_OBJECTIVES_MAX = 3


class Order(enum.Enum):
    """Fields of the demands on which the planner may base its order.

    ``AGE``: nothing but priority and age. ``LATENESS``: also whether the
    objective can still be met and the time left, as before the order knew
    what late work is of use. ``CURRENT``: all that the scheduler sets.
    """

    AGE = enum.auto()
    LATENESS = enum.auto()
    CURRENT = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class JobClass:
    """Jobs that are alike; ``rate`` is the number of arrivals per second.

    ``bursts`` holds times from and to, in ms, and the factor of the rate.
    """

    name: str
    rate: float
    steps_mean: float
    tasks_count: int
    run_ms: int
    cpu: int
    priority: int
    stretch: float
    target_ms: int
    bursts: tuple[tuple[int, int, float], ...] = ()
    gang_share: float = 0.0
    team: str = helpers.TEAM

    def of_team(self, team, bursts=()):
        """Return these jobs as those of a team."""
        return dataclasses.replace(self, team=team, bursts=bursts)


@dataclasses.dataclass(slots=True)
class SimulatedJob:
    """One job; ``waiting`` and ``running`` are of the current step."""

    name: str
    kind: JobClass
    arrived_ms: int
    steps_count: int
    true_run_ms: int
    estimated_run_ms: int
    gang: bool
    objective_ms: int
    step: int = 0
    waiting: int = 0
    running: int = 0
    due_since_ms: int = 0
    granted: tuple[str, ...] = ()
    ended_ms: int | None = None

    def in_time(self):
        """Return whether the job met its objective."""
        return (
            self.ended_ms is not None
            and self.ended_ms - self.arrived_ms <= self.objective_ms
        )

    def value(self):
        """Return what the job was worth to its callers, at most 1."""
        return 1.0 if self.in_time() else 0.2 * self.useful()

    def late(self):
        """Return whether the job ended late, but was of use."""
        return self.useful() and not self.in_time()

    def useful(self):
        """Return whether the job ended before it was of no use."""
        limit_ms = USEFUL_OBJECTIVES_MAX * self.objective_ms
        return (
            self.ended_ms is not None
            and self.ended_ms - self.arrived_ms <= limit_ms
        )


class Simulation:
    """One play of a load in a given order of the demands."""

    def __init__(
        self, classes, workers_count, seed, order=Order.CURRENT, weights=None
    ):
        self._classes = classes
        self._rng = random.Random(seed)
        # Arrivals are the same in each order of the demands.
        self._grants_rng = random.Random(seed)
        self._order = order
        self._weights = weights or {}
        self._workers = {
            f'w{number}': messages.Resources(WORKER_CPU, WORKER_MEMORY_MB)
            for number in range(workers_count)
        }
        self._ends = collections.defaultdict(list)
        self._open = []
        self.jobs = []

    def run(self, traffic_ms, end_ms):
        """Play the traffic and wait for the rest until ``end_ms``."""
        for now_ms in range(0, end_ms, TICK_MS):
            self._end_runs(now_ms)
            if now_ms < traffic_ms:
                self._arrive(now_ms)
            self._plan(now_ms)
        return self

    def jobs_of(self, name):
        """Return the jobs of a class."""
        return [job for job in self.jobs if job.kind.name == name]

    def _arrive(self, now_ms):
        for kind in self._classes:
            rate = kind.rate
            for from_ms, to_ms, factor in kind.bursts:
                if from_ms <= now_ms < to_ms:
                    rate *= factor
            expected = rate * TICK_MS / 1000
            while self._rng.random() < expected:
                expected -= 1
                self._add_job(kind, now_ms)

    def _add_job(self, kind, now_ms):
        rng = self._rng
        steps_count = 1 + (rng.random() < kind.steps_mean - 1)
        true_run_ms = int(kind.run_ms * rng.uniform(0.6, 1.4))
        chain_ms = true_run_ms * steps_count
        job = SimulatedJob(
            f'{len(self.jobs):05}',
            kind,
            now_ms,
            steps_count,
            true_run_ms,
            int(true_run_ms * rng.uniform(0.7, 1.4)),
            rng.random() < kind.gang_share,
            int(kind.stretch * chain_ms) + kind.target_ms,
        )
        self.jobs.append(job)
        self._open.append(job)
        self._begin_step(job, now_ms)

    def _begin_step(self, job, now_ms):
        count = max(1, int(len(self._workers) * GRANTED_SHARE))
        job.granted = tuple(
            self._grants_rng.sample(sorted(self._workers), count)
        )
        job.waiting = job.kind.tasks_count
        job.due_since_ms = now_ms

    def _end_runs(self, now_ms):
        for job, worker_id, _ in self._ends.pop(now_ms, ()):
            self._workers[worker_id] += self._charge(job)
            job.running -= 1
            if job.waiting or job.running:
                continue
            job.step += 1
            if job.step < job.steps_count:
                self._begin_step(job, now_ms)
            else:
                job.ended_ms = now_ms
                self._open.remove(job)

    def _plan(self, now_ms):
        demands = [
            self._demand(job, now_ms) for job in self._open if job.waiting
        ]
        workers = [
            self._available(worker_id, free, now_ms)
            for worker_id, free in self._workers.items()
        ]
        if self._order is Order.CURRENT:
            queueing.order(
                demands, self._contention(demands, workers, now_ms), now_ms
            )
        groups = _planner.plan(demands, workers, {}, _preemption.Preemption())
        by_name = {job.name: job for job in self._open}
        for group in groups:
            job = by_name[group[0].task.job_id]
            ticks = -(-self._run_ms(job, group) // TICK_MS)
            for placement in group:
                self._workers[placement.worker_id] -= self._charge(job)
                job.waiting -= 1
                job.running += 1
                self._ends[now_ms + ticks * TICK_MS].append(
                    (job, placement.worker_id, now_ms)
                )

    def _available(self, worker_id, free, now_ms):
        """Return a worker as the planner knows it."""
        return helpers.available_worker(
            worker_id,
            free=free,
            capacity=messages.Resources(WORKER_CPU, WORKER_MEMORY_MB),
        )

    def _run_ms(self, job, group):
        """Return how long the runs of a group take."""
        return job.true_run_ms

    def _contention(self, demands, workers, now_ms):
        contended = queueing.contended_pools(
            demands, queueing.pool_rooms(workers)
        )
        running = queueing.Running()
        for runs in self._ends.values():
            for job, _, started_ms in runs:
                # It is expected to take as long as its caller estimated.
                left_ms = started_ms + job.estimated_run_ms - now_ms
                running.add(
                    job.kind.team,
                    job.kind.priority,
                    self._charge(job),
                    max(TICK_MS, left_ms),
                )
        return queueing.Contention(
            contended, dict.fromkeys(contended, running), self._weights
        )

    def _demand(self, job, now_ms):
        spec = jobs.StepSpec(
            job.kind.tasks_count,
            self._charge(job),
            job.estimated_run_ms,
            gang=job.gang,
        )
        return helpers.demand(
            job.name,
            spec,
            tuple(range(job.waiting)),
            team_id=job.kind.team,
            priority=job.kind.priority,
            submitted_ms=job.arrived_ms,
            granted=frozenset(job.granted),
            tickets=dict.fromkeys(job.granted, 't'),
            waited_ms=now_ms - job.due_since_ms,
            **self._objective_fields(job, spec, now_ms),
        )

    def _objective_fields(self, job, spec, now_ms):
        """Return what the order depends on beside priority and age."""
        if self._order is Order.AGE:
            return {}
        steps = [
            dataclasses.replace(spec, after=(step - 1,) if step else ())
            for step in range(job.steps_count)
        ]
        queue = helpers.queue(job.kind.stretch, job.kind.target_ms)
        latest_start_ms = (
            job.arrived_ms + queueing.slack_ms(steps, queue)[job.step]
        )
        objective_ms = queueing.objective_ms(steps, queue)
        urgency = queueing.urgency_at(now_ms, latest_start_ms, objective_ms)
        fields = {
            'slack_ms': latest_start_ms - job.arrived_ms,
            'objective_ms': objective_ms,
            'latest_start_ms': latest_start_ms,
            'slack_left_ms': latest_start_ms - now_ms,
            'urgency': urgency,
        }
        if self._order is Order.LATENESS:
            late = queueing.Urgency.LATE
            return fields | {
                'urgency': min(urgency, late),
                # Late demands then go by the time of their latest start.
                'left_core_ms': latest_start_ms,
            }
        counts = [job.kind.tasks_count] * job.steps_count
        counts[: job.step + 1] = [0] * job.step + [job.waiting]
        return fields | {'left_core_ms': queueing.work_core_ms(steps, counts)}

    def _charge(self, job):
        return messages.Resources(job.kind.cpu, 100)
