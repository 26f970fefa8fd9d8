"""Simulates a workload under a placement policy, in virtual time."""

import collections
import dataclasses
import heapq
import itertools
import random
import statistics

from benchmarks import _synthetic_fleet

from dandeliondrum import messages
from dandeliondrum import placement

PLAN_EVERY_MS = 20
CHECKPOINT_MS = 200
SAMPLE_EVERY_MS = 500
WARM_UP_MS = 20_000
# Limit of the waiting tasks per team and class; more arrivals are dropped.
QUEUED_MAX = 300
SHARES = (40, 20, 15, 10, 10, 5)
# Portions of the offered processor time of urgent tasks and gangs (the rest is
# batch), and the ranges of run times.
URGENT_PORTION = 0.05
GANG_PORTION = 0.1
URGENT_MS = (200, 1_000)
BATCH_MS = (2_000, 20_000)
GANG_MS = (2_000, 8_000)
GANG_SIZES = (4, 8, 16)


@dataclasses.dataclass(frozen=True)
class Waits:
    """Waiting times of one class; tasks never started wait until the end."""

    started_count: int
    never_started_count: int
    p50_ms: float
    p99_ms: float


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The results of one policy under one workload."""

    policy: str
    load: float
    batch_only: bool
    waits: dict[str, Waits]
    share_error_points: float
    packing: float
    empty_workers: float
    preemptions_count: int
    ended_count: int


@dataclasses.dataclass
class _ActiveTask:
    task: placement.PendingTask
    left_ms: int
    first_start_ms: int | None = None
    start_ms: int = 0
    start_number: int = 0


class Simulation:
    """Discrete-event simulation of arrivals, plans, ends and preemptions."""

    def __init__(
        self,
        policy: placement.Policy,
        load: float,
        seconds: int,
        seed: int,
        batch_only: bool = False,
    ) -> None:
        self._batch_only = batch_only
        self._policy = policy
        self._load = load
        self._end_ms = seconds * 1_000
        self._rng = random.Random(seed)
        self._shape = _synthetic_fleet.FleetShape(24, len(SHARES), 2, 3)
        self._planner = placement.Planner(policy)
        self._teams = _synthetic_fleet.team_ids(self._shape)
        self._planner.set_teams(
            {
                team_id: placement.TeamGrant(share)
                for team_id, share in zip(self._teams, SHARES)
            }
        )
        self._facts = _synthetic_fleet.workers(self._shape)
        for facts in self._facts:
            self._planner.put_worker(facts, eligible=True)
        self._serials = itertools.count()
        self._events: list[tuple[int, int, str, int]] = []
        self._active: dict[str, _ActiveTask] = {}
        self._waits: dict[str, list[int]] = collections.defaultdict(list)
        self._running_sums: collections.Counter[str] = collections.Counter()
        self._samples: list[tuple[float, int]] = []
        self._waiting: collections.Counter[
            tuple[messages.TeamId, messages.TaskClass]
        ] = collections.Counter()
        self._preemptions_count = 0
        self._ended_count = 0

    def run(self) -> Outcome:
        """Run until the end of the virtual time and return the results."""
        arrivals = self._arrivals()
        next_arrival = next(arrivals)
        for now_ms in range(0, self._end_ms, PLAN_EVERY_MS):
            while next_arrival[0] <= now_ms:
                self._submit(next_arrival[1])
                next_arrival = next(arrivals)
            while self._events and self._events[0][0] <= now_ms:
                self._handle_event(*heapq.heappop(self._events))
            self._plan(now_ms)
            if now_ms >= WARM_UP_MS and not now_ms % SAMPLE_EVERY_MS:
                self._sample()
        return self._outcome()

    def _arrivals(self):
        """Yield arrival times and tasks.

        Their processor time is on average the load times the capacity.
        """
        capacity = self._shape.workers_count * self._shape.cpu_millicores
        now_ms = 0.0
        while True:
            tasks = self._make_tasks(int(now_ms))
            yield int(now_ms), tasks
            work = sum(
                one.resources.cpu_millicores * one.expected_run_ms
                for one in tasks
            )
            now_ms += work / (capacity * self._load) * self._rng.expovariate(1)

    def _make_tasks(self, now_ms: int) -> list[placement.PendingTask]:
        rng = self._rng
        classes = messages.TaskClass
        weights = [
            URGENT_PORTION / sum(URGENT_MS),
            GANG_PORTION / sum(GANG_MS) / statistics.fmean(GANG_SIZES),
            (1 - URGENT_PORTION - GANG_PORTION) / sum(BATCH_MS),
        ]
        kinds = (classes.URGENT, classes.GANG, classes.BATCH)
        kind = rng.choices(kinds, weights)[0]
        if self._batch_only:
            kind = classes.BATCH
        if kind is classes.URGENT:
            return [self._task(now_ms, kind, URGENT_MS)]
        if kind is classes.BATCH:
            return [self._task(now_ms, kind, BATCH_MS)]
        size = rng.choice(GANG_SIZES)
        first = self._task(now_ms, classes.GANG, GANG_MS)
        name = messages.GangId(f'g{next(self._serials)}')
        return [
            dataclasses.replace(
                first,
                task_id=messages.TaskId(f'{name}.{number}'),
                gang_id=name,
                gang_size=size,
            )
            for number in range(size)
        ]

    def _task(
        self,
        now_ms: int,
        task_class: messages.TaskClass,
        run_ms: tuple[int, int],
    ) -> placement.PendingTask:
        rng = self._rng
        return placement.PendingTask(
            task_id=messages.TaskId(f't{next(self._serials)}'),
            team_id=rng.choice(self._teams),
            queue=messages.QueueName('q'),
            task_class=task_class,
            resources=messages.Resources(
                rng.choice([2_000, 4_000, 6_000]),
                rng.choice([2_000, 4_000, 8_000, 16_000]),
            ),
            submitted_ms=now_ms,
            deadline_ms=None,
            expected_run_ms=rng.randint(*run_ms),
        )

    def _submit(self, tasks: list[placement.PendingTask]) -> None:
        """Submit tasks unless their team and class has too many waiting."""
        kind = tasks[0].team_id, tasks[0].task_class
        if self._waiting[kind] >= QUEUED_MAX:
            return
        self._waiting[kind] += len(tasks)
        for task in tasks:
            self._planner.add(task)
            self._active[task.task_id] = _ActiveTask(
                task, task.expected_run_ms
            )

    def _plan(self, now_ms: int) -> None:
        plan = self._planner.plan(now_ms, 1_000)
        for group in plan.groups:
            for one in group:
                self._start(self._active[one.task_id], now_ms)
        for preemption in plan.preemptions:
            self._preemptions_count += 1
            active = self._active[preemption.task_id]
            self._schedule(now_ms + CHECKPOINT_MS, 'stop', active)

    def _start(self, active: _ActiveTask, now_ms: int) -> None:
        if active.first_start_ms is None:
            active.first_start_ms = now_ms
            self._waiting[active.task.team_id, active.task.task_class] -= 1
            if active.task.submitted_ms >= WARM_UP_MS:
                waited_ms = now_ms - active.task.submitted_ms
                self._waits[active.task.task_class.value].append(waited_ms)
        active.start_ms = now_ms
        active.start_number += 1
        self._schedule(now_ms + active.left_ms, 'end', active)

    def _schedule(self, at_ms: int, kind: str, active: _ActiveTask) -> None:
        heapq.heappush(
            self._events,
            (at_ms, active.start_number, f'{kind} {active.task.task_id}', 0),
        )

    def _handle_event(
        self, at_ms: int, start_number: int, event: str, _: int
    ) -> None:
        kind, task_id = event.split(' ')
        active = self._active.get(task_id)
        if active is None or active.start_number != start_number:
            return
        self._planner.release(task_id)
        if kind == 'end':
            self._ended_count += 1
            del self._active[task_id]
            return
        active.left_ms = max(1, active.left_ms - (at_ms - active.start_ms))
        active.start_number += 1
        self._planner.add(active.task)

    def _sample(self) -> None:
        """Record the running tasks of each team and the use of the fleet."""
        held = [self._planner.reserved(f.worker_id) for f in self._facts]
        cpu = sum(one.cpu_millicores for one in held)
        memory = sum(one.memory_mb for one in held)
        counts = [self._planner.running_count(one) for one in self._teams]
        slots = sum(counts)
        shape = self._shape
        used = max(
            cpu / (shape.workers_count * shape.cpu_millicores),
            memory / (shape.workers_count * shape.memory_mb),
            slots / (shape.workers_count * _synthetic_fleet.SLOTS_COUNT),
        )
        empty_count = sum(1 for one in held if not one.cpu_millicores)
        self._samples.append((used, empty_count))
        for team_id, count in zip(self._teams, counts):
            self._running_sums[team_id] += count

    def _outcome(self) -> Outcome:
        total = sum(self._running_sums.values()) or 1
        errors = [
            abs(100 * self._running_sums[team_id] / total - share)
            for team_id, share in zip(self._teams, SHARES)
        ]
        return Outcome(
            policy=type(self._policy).__name__,
            load=self._load,
            batch_only=self._batch_only,
            waits=self._waits_by_class(),
            share_error_points=max(errors),
            packing=statistics.fmean(used for used, _ in self._samples),
            empty_workers=statistics.fmean(n for _, n in self._samples),
            preemptions_count=self._preemptions_count,
            ended_count=self._ended_count,
        )

    def _waits_by_class(self) -> dict[str, Waits]:
        never: dict[str, list[int]] = collections.defaultdict(list)
        for active in self._active.values():
            submitted_ms = active.task.submitted_ms
            if active.first_start_ms is None and submitted_ms >= WARM_UP_MS:
                never[active.task.task_class.value].append(
                    self._end_ms - submitted_ms
                )
        results = {}
        for name in sorted(set(self._waits) | set(never)):
            times = sorted(self._waits[name] + never[name])
            results[name] = Waits(
                started_count=len(self._waits[name]),
                never_started_count=len(never[name]),
                p50_ms=times[len(times) // 2],
                p99_ms=times[len(times) * 99 // 100],
            )
        return results
