"""The full policy against the baseline, in virtual time."""

import collections
import dataclasses
import heapq
import itertools
import random
import statistics

from benchmarks import _placement_world

from dandeliondrum import messages
from dandeliondrum import placement

PLAN_EVERY_MS = 20
CHECKPOINT_MS = 200
SAMPLE_EVERY_MS = 500
WARM_UP_MS = 20_000
# Waiting tasks of a team and class beyond which more are turned away.
QUEUED_MAX = 300
SHARES = (40, 20, 15, 10, 10, 5)
# Parts of the offered processor time, and mean times of a run.
URGENT_PART = 0.05
GANG_PART = 0.1
URGENT_MS = (200, 1_000)
BATCH_MS = (2_000, 20_000)
GANG_MS = (2_000, 8_000)
GANG_SIZES = (4, 8, 16)


@dataclasses.dataclass(frozen=True)
class Waits:
    """Waiting of one class; those never started count until the end."""

    started_count: int
    never_started_count: int
    p50_ms: float
    p99_ms: float


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What one policy made of one workload."""

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
class _Live:
    task: placement.PendingTask
    left_ms: int
    first_start_ms: int | None = None
    start_ms: int = 0
    start_number: int = 0


class VirtualRun:
    """A tiny event loop: arrivals, plans, ends and checkpoints."""

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
        self._chance = random.Random(seed)
        self._shape = _placement_world.Shape(24, len(SHARES), 2, 3)
        self._planner = placement.Planner(policy)
        self._teams = _placement_world.team_ids(self._shape)
        self._planner.set_teams(
            {
                team_id: placement.TeamGrant(share)
                for team_id, share in zip(self._teams, SHARES)
            }
        )
        self._facts = _placement_world.workers(self._shape)
        for facts in self._facts:
            self._planner.put_worker(facts, eligible=True)
        self._numbers = itertools.count()
        self._events: list[tuple[int, int, str, int]] = []
        self._live: dict[str, _Live] = {}
        self._waits: dict[str, list[int]] = collections.defaultdict(list)
        self._errors: collections.Counter[str] = collections.Counter()
        self._samples: list[tuple[float, int]] = []
        self._waiting: collections.Counter[
            tuple[messages.TeamId, messages.TaskClass]
        ] = collections.Counter()
        self._preemptions_count = 0
        self._ended_count = 0

    def run(self) -> Outcome:
        """Run to the end of the virtual time."""
        arrivals = self._arrivals()
        next_arrival = next(arrivals)
        for now_ms in range(0, self._end_ms, PLAN_EVERY_MS):
            while next_arrival[0] <= now_ms:
                self._arrive(next_arrival[1])
                next_arrival = next(arrivals)
            while self._events and self._events[0][0] <= now_ms:
                self._end(*heapq.heappop(self._events))
            self._plan(now_ms)
            if now_ms >= WARM_UP_MS and not now_ms % SAMPLE_EVERY_MS:
                self._sample()
        return self._outcome()

    def _arrivals(self):
        """Yield arrival times and tasks at the load, by processor time."""
        capacity = self._shape.workers_count * self._shape.cpu_millicores
        now_ms = 0.0
        while True:
            tasks = self._make(int(now_ms))
            yield int(now_ms), tasks
            work = sum(
                one.resources.cpu_millicores * one.expected_run_ms
                for one in tasks
            )
            now_ms += (
                work / (capacity * self._load) * self._chance.expovariate(1)
            )

    def _make(self, now_ms: int) -> list[placement.PendingTask]:
        chance = self._chance
        classes = messages.TaskClass
        weights = [
            URGENT_PART / sum(URGENT_MS),
            GANG_PART / sum(GANG_MS) / statistics.fmean(GANG_SIZES),
            (1 - URGENT_PART - GANG_PART) / sum(BATCH_MS),
        ]
        kinds = (classes.URGENT, classes.GANG, classes.BATCH)
        kind = chance.choices(kinds, weights)[0]
        if self._batch_only:
            kind = classes.BATCH
        if kind is classes.URGENT:
            return [self._task(now_ms, kind, URGENT_MS)]
        if kind is classes.BATCH:
            return [self._task(now_ms, kind, BATCH_MS)]
        size = chance.choice(GANG_SIZES)
        first = self._task(now_ms, classes.GANG, GANG_MS)
        name = messages.GangId(f'g{next(self._numbers)}')
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
        chance = self._chance
        return placement.PendingTask(
            task_id=messages.TaskId(f't{next(self._numbers)}'),
            team_id=chance.choice(self._teams),
            queue=messages.QueueName('q'),
            task_class=task_class,
            resources=messages.Resources(
                chance.choice([2_000, 4_000, 6_000]),
                chance.choice([2_000, 4_000, 8_000, 16_000]),
            ),
            submitted_ms=now_ms,
            deadline_ms=None,
            expected_run_ms=chance.randint(*run_ms),
        )

    def _arrive(self, tasks: list[placement.PendingTask]) -> None:
        """Hand tasks in, unless their team has too many waiting."""
        kind = tasks[0].team_id, tasks[0].task_class
        if self._waiting[kind] >= QUEUED_MAX:
            return
        self._waiting[kind] += len(tasks)
        for task in tasks:
            self._planner.add(task)
            self._live[task.task_id] = _Live(task, task.expected_run_ms)

    def _plan(self, now_ms: int) -> None:
        plan = self._planner.plan(now_ms, 1_000)
        for group in plan.groups:
            for one in group:
                self._start(self._live[one.task_id], now_ms)
        for preemption in plan.preemptions:
            self._preemptions_count += 1
            live = self._live[preemption.task_id]
            self._push(now_ms + CHECKPOINT_MS, 'stop', live)

    def _start(self, live: _Live, now_ms: int) -> None:
        if live.first_start_ms is None:
            live.first_start_ms = now_ms
            self._waiting[live.task.team_id, live.task.task_class] -= 1
            if live.task.submitted_ms >= WARM_UP_MS:
                waited_ms = now_ms - live.task.submitted_ms
                self._waits[live.task.task_class.value].append(waited_ms)
        live.start_ms = now_ms
        live.start_number += 1
        self._push(now_ms + live.left_ms, 'end', live)

    def _push(self, at_ms: int, kind: str, live: _Live) -> None:
        heapq.heappush(
            self._events,
            (at_ms, live.start_number, f'{kind} {live.task.task_id}', 0),
        )

    def _end(self, at_ms: int, start_number: int, what: str, _: int) -> None:
        kind, task_id = what.split(' ')
        live = self._live.get(task_id)
        if live is None or live.start_number != start_number:
            return
        self._planner.ended(task_id)
        if kind == 'end':
            self._ended_count += 1
            del self._live[task_id]
            return
        live.left_ms = max(1, live.left_ms - (at_ms - live.start_ms))
        live.start_number += 1
        self._planner.add(live.task)

    def _sample(self) -> None:
        """Note what each team holds and how full the workers are."""
        held = [self._planner.reserved(f.worker_id) for f in self._facts]
        cpu = sum(one.cpu_millicores for one in held)
        memory = sum(one.memory_mb for one in held)
        counts = [self._planner.running_count(one) for one in self._teams]
        slots = sum(counts)
        shape = self._shape
        used = max(
            cpu / (shape.workers_count * shape.cpu_millicores),
            memory / (shape.workers_count * shape.memory_mb),
            slots / (shape.workers_count * _placement_world.SLOTS_COUNT),
        )
        empty_count = sum(1 for one in held if not one.cpu_millicores)
        self._samples.append((used, empty_count))
        for team_id, count in zip(self._teams, counts):
            self._errors[team_id] += count

    def _outcome(self) -> Outcome:
        total = sum(self._errors.values()) or 1
        errors = [
            abs(100 * self._errors[team_id] / total - share)
            for team_id, share in zip(self._teams, SHARES)
        ]
        return Outcome(
            policy=type(self._policy).__name__,
            load=self._load,
            batch_only=self._batch_only,
            waits=self._all_waits(),
            share_error_points=max(errors),
            packing=statistics.fmean(used for used, _ in self._samples),
            empty_workers=statistics.fmean(n for _, n in self._samples),
            preemptions_count=self._preemptions_count,
            ended_count=self._ended_count,
        )

    def _all_waits(self) -> dict[str, Waits]:
        never: dict[str, list[int]] = collections.defaultdict(list)
        for live in self._live.values():
            submitted_ms = live.task.submitted_ms
            if live.first_start_ms is None and submitted_ms >= WARM_UP_MS:
                never[live.task.task_class.value].append(
                    self._end_ms - submitted_ms
                )
        found = {}
        for name in sorted(set(self._waits) | set(never)):
            times = sorted(self._waits[name] + never[name])
            found[name] = Waits(
                started_count=len(self._waits[name]),
                never_started_count=len(never[name]),
                p50_ms=times[len(times) // 2],
                p99_ms=times[len(times) * 99 // 100],
            )
        return found
