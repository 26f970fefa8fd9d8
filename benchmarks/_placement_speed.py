"""Measures how long a placement decision takes, by fleet size."""

import dataclasses
import gc
import random
import time

from benchmarks import _synthetic_fleet

from dandeliondrum import placement

# The target: 54,000 running tasks on 9,500 workers.
RUNNING_PER_WORKER = 54_000 / 9_500
BACKLOG_COUNT = 10_000
BULK_COUNT = 64


@dataclasses.dataclass(frozen=True)
class SpeedResult:
    """Times of a decision: one task ends, one arrives, one plan is made.

    In bulk, ``BULK_COUNT`` tasks end and arrive before each plan.
    """

    workers_count: int
    teams_count: int
    running_count: int
    waiting_count: int
    regime: str
    decisions_per_s: float
    bulk_decisions_per_s: float
    p50_us: float
    p99_us: float
    max_us: float
    collector_max_us: float
    placed_count: int


class _CollectorTimer:
    """Measures the longest pause of the garbage collector."""

    def __init__(self) -> None:
        self.max_ns = 0
        self._started_ns = 0

    def __call__(self, phase: str, info: dict[str, int]) -> None:
        if phase == 'start':
            self._started_ns = time.perf_counter_ns()
            return
        pause_ns = time.perf_counter_ns() - self._started_ns
        self.max_ns = max(self.max_ns, pause_ns)


class SpeedRun:
    """Times decisions on a fleet with a steady number of running tasks.

    With ``full``, the fleet is filled until nothing more fits and at least
    ``BACKLOG_COUNT`` tasks wait.
    """

    def __init__(
        self, workers_count: int, teams_count: int, full: bool, seed: int
    ) -> None:
        self._full = full
        self._rng = random.Random(seed)
        self._shape = _synthetic_fleet.shape_for(workers_count, teams_count)
        self._generator = _synthetic_fleet.TaskGenerator(
            self._shape, self._rng
        )
        self._planner = placement.Planner(placement.FairSharePolicy(seed))
        self._planner.set_teams(
            _synthetic_fleet.grants(self._shape, self._rng)
        )
        for facts in _synthetic_fleet.workers(self._shape):
            self._planner.put_worker(facts, eligible=True)
        self._running: list[str] = []
        self._now_ms = 0

    def run(self, decisions_count: int) -> SpeedResult:
        """Fill the fleet, then time ``decisions_count`` decisions."""
        self._fill()
        for _ in range(decisions_count // 5):
            self._cycle()
        collector_timer = _CollectorTimer()
        gc.callbacks.append(collector_timer)
        times_ns = []
        placed_count = 0
        spent_ns = 0
        for _ in range(decisions_count):
            cycle_ns, placed = self._cycle()
            times_ns.append(cycle_ns)
            spent_ns += cycle_ns
            placed_count += placed
        gc.callbacks.remove(collector_timer)
        bulk_per_s = self._bulk(decisions_count)
        times_ns.sort()
        return SpeedResult(
            workers_count=self._shape.workers_count,
            teams_count=self._shape.teams_count,
            running_count=len(self._running),
            waiting_count=self._planner.pending_count(),
            regime='full' if self._full else 'part',
            decisions_per_s=placed_count / (spent_ns / 1e9),
            bulk_decisions_per_s=bulk_per_s,
            p50_us=times_ns[len(times_ns) // 2] / 1_000,
            p99_us=times_ns[len(times_ns) * 99 // 100] / 1_000,
            max_us=times_ns[-1] / 1_000,
            collector_max_us=collector_timer.max_ns / 1_000,
            placed_count=placed_count,
        )

    def _fill(self) -> None:
        wanted = int(self._shape.workers_count * RUNNING_PER_WORKER)
        while self._full or len(self._running) < wanted:
            for _ in range(500):
                self._planner.add(self._generator.make(self._now_ms))
            placed = self._plan(wanted - len(self._running))
            waiting_count = self._planner.pending_count()
            if self._full and not placed and waiting_count >= BACKLOG_COUNT:
                return
            if not self._full and len(self._running) >= wanted:
                return

    def _plan(self, placements_max: int) -> int:
        if self._full:
            placements_max = 10_000
        plan = self._planner.plan(self._now_ms, placements_max)
        placed = [one.task_id for group in plan.groups for one in group]
        self._running.extend(placed)
        return len(placed)

    def _end_one(self) -> str:
        index = self._rng.randrange(len(self._running))
        self._running[index], self._running[-1] = (
            self._running[-1],
            self._running[index],
        )
        return self._running.pop()

    def _bulk(self, decisions_count: int) -> float:
        """Return placements per second, with ``BULK_COUNT`` tasks a plan."""
        placed_count = 0
        spent_ns = 0
        for _ in range(decisions_count // BULK_COUNT):
            self._now_ms += BULK_COUNT // 4
            ended = [self._end_one() for _ in range(BULK_COUNT)]
            tasks = [
                self._generator.make(self._now_ms) for _ in range(BULK_COUNT)
            ]
            started_ns = time.perf_counter_ns()
            for task_id in ended:
                self._planner.release(task_id)
            for task in tasks:
                self._planner.add(task)
            plan = self._planner.plan(self._now_ms, BULK_COUNT)
            spent_ns += time.perf_counter_ns() - started_ns
            placed = [one.task_id for group in plan.groups for one in group]
            self._running.extend(placed)
            placed_count += len(placed)
        return placed_count / (spent_ns / 1e9)

    def _cycle(self) -> tuple[int, int]:
        """End a task, add one and plan one.

        Returns the time of the three in nanoseconds, and how many tasks were
        placed.
        """
        self._now_ms += 1
        ended = self._end_one()
        task = self._generator.make(self._now_ms)
        started_ns = time.perf_counter_ns()
        self._planner.release(ended)
        self._planner.add(task)
        plan = self._planner.plan(self._now_ms, 1)
        cycle_ns = time.perf_counter_ns() - started_ns
        placed = [one.task_id for group in plan.groups for one in group]
        self._running.extend(placed)
        return cycle_ns, len(placed)
