"""Selection of batch tasks to preempt, and the preemption budget."""

import collections.abc
import dataclasses
import heapq
import itertools
import random

from dandeliondrum import messages
from dandeliondrum.placement import _fleet
from dandeliondrum.placement import _ledger
from dandeliondrum.placement import _ranking
from dandeliondrum.placement import _tasks

# Fraction of the fleet's slots that may be preempted per second, and in one
# burst after a time without preemptions.
REFILL_FRACTION_PER_SECOND = 0.04
BURST_FRACTION = 0.04
BURST_COUNT_MIN = 4

# How many teams, and running tasks of each, are examined in one search.
TEAMS_SAMPLED_COUNT = 8
VICTIMS_TRIED_COUNT = 8
# How many tasks of one worker may be preempted for one task.
VICTIMS_PER_WORKER_MAX = 4


class PreemptionBudget:
    """A token bucket that limits preemptions.

    Its time is the ``now_ms`` of the plans.
    """

    def __init__(self) -> None:
        self._tokens: float | None = None
        self._filled_ms = 0

    def fill(self, now_ms: int, slots_count: int) -> None:
        """Add the tokens for the time since the last call."""
        burst = max(BURST_COUNT_MIN, slots_count * BURST_FRACTION)
        if self._tokens is None:
            self._tokens = burst
        else:
            passed_ms = max(0, now_ms - self._filled_ms)
            rate = max(1.0, slots_count * REFILL_FRACTION_PER_SECOND)
            self._tokens = min(burst, self._tokens + rate * passed_ms / 1_000)
        self._filled_ms = max(now_ms, self._filled_ms)

    @property
    def available_count(self) -> int:
        """Number of tasks that may be preempted now."""
        return int(self._tokens or 0)

    def spend(self, count: int) -> None:
        """Remove ``count`` tokens."""
        self._tokens = (self._tokens or 0) - count


_Region = messages.Region | None
_Entry = tuple[int, int, _tasks.RunningTask]


@dataclasses.dataclass(slots=True)
class Victims:
    """Tasks of one worker that have to be preempted together."""

    worker: _fleet.Worker
    running: list[_tasks.RunningTask]


class VictimIndex:
    """Index of preemptible running tasks by region and team.

    The tasks submitted last are preempted first. So the oldest keep running
    and every task can finish at some time.
    """

    def __init__(self, ranking: _ranking.Ranking, seed: int) -> None:
        self._ranking = ranking
        self._random = random.Random(seed)
        self._ledger = _ledger.Ledger()
        self._numbers = itertools.count()
        self._preempted: set[messages.TaskId] = set()
        self._indexed: set[messages.TaskId] = set()
        self._heaps: dict[
            _Region,
            dict[messages.TeamId, list[_Entry]],
        ] = {}

    def bind(self, ledger: _ledger.Ledger) -> None:
        """Set the ledger with the running tasks."""
        self._ledger = ledger

    def add(self, running: _tasks.RunningTask) -> None:
        """Add a running task if it may be preempted.

        A task whose worker is not known yet is skipped; it has to be added
        again when the worker is.
        """
        task_id = running.task.task_id
        if task_id in self._indexed:
            return
        if running.task.task_class is not messages.TaskClass.BATCH:
            return
        if not running.task.preemptible:
            return
        if running.task.gang_id is not None:
            return
        worker = self._ledger.fleet.workers[running.worker_id]
        if worker.facts is None:
            return
        self._indexed.add(task_id)
        entry = -running.task.submitted_ms, next(self._numbers), running
        team_id = running.task.team_id
        for region in (None, worker.facts.region):
            teams = self._heaps.setdefault(region, {})
            heap = teams.setdefault(team_id, [])
            heapq.heappush(heap, entry)
            account = self._ledger.teams.account(team_id)
            if len(heap) > 2 * account.running_count + 64:
                heap[:] = [one for one in heap if self._is_candidate(one[2])]
                heapq.heapify(heap)

    def ended(self, task_id: messages.TaskId) -> None:
        """Remove a task that has ended."""
        self._preempted.discard(task_id)
        self._indexed.discard(task_id)

    def is_preempted(self, task_id: messages.TaskId) -> bool:
        """Return whether the task was preempted and has not ended yet."""
        return task_id in self._preempted

    def find(
        self,
        task: _tasks.PendingTask,
        region: _Region,
        above_share: float | None,
        count_max: int,
        now_ms: int,
    ) -> Victims | None:
        """Return at most ``count_max`` tasks that make room for this one.

        With ``above_share``, only tasks of teams are considered whose
        dominant share exceeds this multiple of their fair share. Tasks that
        were started at ``now_ms`` are not preempted, and none for an isolated
        task, which would need all tasks of a worker to end.
        """
        if task.isolated:
            return None
        for team_id in self._teams(region, above_share):
            heap = self._heaps[region][team_id]
            kept: list[_Entry] = []
            found = None
            while heap and len(kept) < VICTIMS_TRIED_COUNT:
                entry = heapq.heappop(heap)
                if not self._is_candidate(entry[2]):
                    continue
                kept.append(entry)
                if entry[2].started_ms >= now_ms:
                    continue
                found = self._victims_on_worker(
                    task, entry[2], count_max, now_ms
                )
                if found is not None:
                    break
            for entry in kept:
                heapq.heappush(heap, entry)
            if found is not None:
                return found
        return None

    def mark(self, victims: Victims) -> None:
        """Mark these tasks as preempted."""
        for running in victims.running:
            self._preempted.add(running.task.task_id)

    def _teams(
        self, region: _Region, above_share: float | None
    ) -> list[messages.TeamId]:
        """Return a sample of teams, those most above their share first."""
        teams = self._heaps.get(region, {})
        names = [name for name, heap in teams.items() if heap]
        if len(names) > TEAMS_SAMPLED_COUNT:
            names = self._random.sample(names, TEAMS_SAMPLED_COUNT)
        ratios = []
        for name in names:
            account = self._ledger.teams.account(name)
            ratio = self._ranking.dominant_share(
                account
            ) / self._ranking.fair_share(account)
            if above_share is None or ratio > above_share:
                ratios.append((-ratio, name))
        return [name for _, name in sorted(ratios)]

    def _victims_on_worker(
        self,
        task: _tasks.PendingTask,
        first: _tasks.RunningTask,
        count_max: int,
        now_ms: int,
    ) -> Victims | None:
        worker = self._ledger.fleet.workers[first.worker_id]
        if not worker.eligible or worker.worker_id in task.excluded_workers:
            return None
        missing = _MissingCapacity(worker, task.resources)
        victims = [first]
        missing.add(first)
        others = self._other_candidates(worker, first, now_ms)
        while not missing.is_covered:
            if not others or len(victims) >= min(
                count_max, VICTIMS_PER_WORKER_MAX
            ):
                return None
            running = others.pop()
            missing.add(running)
            victims.append(running)
        return Victims(worker, victims)

    def _other_candidates(
        self,
        worker: _fleet.Worker,
        first: _tasks.RunningTask,
        now_ms: int,
    ) -> list[_tasks.RunningTask]:
        """Return the worker's other preemptible tasks, youngest last."""
        found = [
            running
            for running in worker.running.values()
            if running is not first
            and running.started_ms < now_ms
            and running.task.task_class is messages.TaskClass.BATCH
            and running.task.gang_id is None
            and running.task.preemptible
            and running.task.task_id not in self._preempted
        ]
        return sorted(found, key=lambda one: one.task.submitted_ms)

    def _is_candidate(self, running: _tasks.RunningTask) -> bool:
        task_id = running.task.task_id
        return (
            self._ledger.running.get(task_id) is running
            and task_id not in self._preempted
        )


class _MissingCapacity:
    """The capacity that a worker still lacks for one task."""

    def __init__(
        self, worker: _fleet.Worker, resources: messages.Resources
    ) -> None:
        self._cpu = (
            resources.cpu_millicores
            - worker.cpu_millicores
            + worker.held_cpu_millicores
        )
        self._memory = (
            resources.memory_mb - worker.memory_mb + worker.held_memory_mb
        )
        self._accelerators = (
            resources.accelerators_count
            - worker.accelerators_count
            + worker.held_accelerators_count
        )
        self._slots = 1 - worker.slots_count + worker.held_slots_count

    def add(self, running: _tasks.RunningTask) -> None:
        """Subtract what the preemption of a task frees."""
        resources = running.task.resources
        self._cpu -= resources.cpu_millicores
        self._memory -= resources.memory_mb
        self._accelerators -= resources.accelerators_count
        self._slots -= 1

    @property
    def is_covered(self) -> bool:
        """Whether nothing is missing any more."""
        return (
            self._cpu <= 0
            and self._memory <= 0
            and self._accelerators <= 0
            and self._slots <= 0
        )


def preemptions(
    victims: Victims, reason: str
) -> collections.abc.Iterator[_tasks.Preemption]:
    """Yield the preemption of each victim."""
    for running in victims.running:
        yield _tasks.Preemption(
            running.task.task_id, running.worker_id, reason
        )
