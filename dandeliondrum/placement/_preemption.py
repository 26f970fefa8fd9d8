"""Which batch tasks make room, and how many at most."""

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

# Part of the fleet's slots that may be preempted in a second, and at once
# after a quiet time.
RATE_PER_SECOND = 0.04
BURST_PORTION = 0.04
BURST_COUNT_MIN = 4

TEAMS_SAMPLED_COUNT = 8
VICTIMS_TRIED_COUNT = 8
# Tasks that may have to leave one worker for one task.
VICTIMS_TOGETHER_MAX = 4


class Budget:
    """A token bucket over the virtual time of the plans."""

    def __init__(self) -> None:
        self._tokens: float | None = None
        self._filled_ms = 0

    def fill(self, now_ms: int, slots_count: int) -> None:
        """Add what the time since the last call allows."""
        burst = max(BURST_COUNT_MIN, slots_count * BURST_PORTION)
        if self._tokens is None:
            self._tokens = burst
        else:
            passed_ms = max(0, now_ms - self._filled_ms)
            rate = max(1.0, slots_count * RATE_PER_SECOND)
            self._tokens = min(burst, self._tokens + rate * passed_ms / 1_000)
        self._filled_ms = max(now_ms, self._filled_ms)

    @property
    def left_count(self) -> int:
        """Return how many tasks may be preempted now."""
        return int(self._tokens or 0)

    def spend(self, count: int) -> None:
        """Take so many from the budget."""
        self._tokens = (self._tokens or 0) - count


_Region = messages.Region | None
_Entry = tuple[int, int, _tasks.RunningTask]


@dataclasses.dataclass(slots=True)
class Victims:
    """Tasks that have to leave one worker together."""

    worker: _fleet.Worker
    running: list[_tasks.RunningTask]


class VictimBook:
    """Running batch tasks by region and team, the youngest first.

    The youngest by submission leave first, so the oldest keep running and
    every batch gets to its end.
    """

    def __init__(self, ranking: _ranking.Ranking, seed: int) -> None:
        self._ranking = ranking
        self._random = random.Random(seed)
        self._ledger = _ledger.Ledger()
        self._numbers = itertools.count()
        self._leaving: set[messages.TaskId] = set()
        self._listed: set[messages.TaskId] = set()
        self._heaps: dict[
            _Region,
            dict[messages.TeamId, list[_Entry]],
        ] = {}

    def bind(self, ledger: _ledger.Ledger) -> None:
        """Read running tasks from this ledger."""
        self._ledger = ledger

    def add(self, running: _tasks.RunningTask) -> None:
        """Take a task that has started, if it may be preempted.

        One whose worker is not known yet has to be added again when it is.
        """
        task_id = running.task.task_id
        if task_id in self._listed:
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
        self._listed.add(task_id)
        entry = -running.task.submitted_ms, next(self._numbers), running
        team_id = running.task.team_id
        for region in (None, worker.facts.region):
            teams = self._heaps.setdefault(region, {})
            heap = teams.setdefault(team_id, [])
            heapq.heappush(heap, entry)
            account = self._ledger.teams.account(team_id)
            if len(heap) > 2 * account.running_count + 64:
                heap[:] = [one for one in heap if self._runs(one[2])]
                heapq.heapify(heap)

    def ended(self, task_id: messages.TaskId) -> None:
        """Forget a task that has left."""
        self._leaving.discard(task_id)
        self._listed.discard(task_id)

    def is_leaving(self, task_id: messages.TaskId) -> bool:
        """Return whether the task was preempted already."""
        return task_id in self._leaving

    def find(
        self,
        task: _tasks.PendingTask,
        region: _Region,
        above_share: float | None,
        count_max: int,
        now_ms: int,
    ) -> Victims | None:
        """Find tasks whose leaving makes room for this one.

        With ``above_share``, only tasks of teams whose dominant share is
        more than this many times what was granted to them. What has started
        only now stays.
        """
        for team_id in self._teams(region, above_share):
            heap = self._heaps[region][team_id]
            kept: list[_Entry] = []
            found = None
            while heap and len(kept) < VICTIMS_TRIED_COUNT:
                entry = heapq.heappop(heap)
                if not self._runs(entry[2]):
                    continue
                kept.append(entry)
                if entry[2].started_ms >= now_ms:
                    continue
                found = self._together(task, entry[2], count_max, now_ms)
                if found is not None:
                    break
            for entry in kept:
                heapq.heappush(heap, entry)
            if found is not None:
                return found
        return None

    def mark(self, victims: Victims) -> None:
        """Note that these tasks were asked to leave."""
        for running in victims.running:
            self._leaving.add(running.task.task_id)

    def _teams(
        self, region: _Region, above_share: float | None
    ) -> list[messages.TeamId]:
        """Return a few teams, those most above their share first."""
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

    def _together(
        self,
        task: _tasks.PendingTask,
        first: _tasks.RunningTask,
        count_max: int,
        now_ms: int,
    ) -> Victims | None:
        worker = self._ledger.fleet.workers[first.worker_id]
        if not worker.eligible or worker.worker_id in task.excluded_workers:
            return None
        room = _Room(worker, task.resources)
        leaving = [first]
        room.add(first)
        others = self._others(worker, first, now_ms)
        while not room.enough:
            if not others or len(leaving) >= min(
                count_max, VICTIMS_TOGETHER_MAX
            ):
                return None
            running = others.pop()
            room.add(running)
            leaving.append(running)
        return Victims(worker, leaving)

    def _others(
        self,
        worker: _fleet.Worker,
        first: _tasks.RunningTask,
        now_ms: int,
    ) -> list[_tasks.RunningTask]:
        """Return other tasks that may leave the worker, youngest last."""
        found = [
            running
            for running in worker.running.values()
            if running is not first
            and running.started_ms < now_ms
            and running.task.task_class is messages.TaskClass.BATCH
            and running.task.gang_id is None
            and running.task.preemptible
            and running.task.task_id not in self._leaving
        ]
        return sorted(found, key=lambda one: one.task.submitted_ms)

    def _runs(self, running: _tasks.RunningTask) -> bool:
        task_id = running.task.task_id
        return (
            self._ledger.running.get(task_id) is running
            and task_id not in self._leaving
        )


class _Room:
    """What is still missing on a worker for one task."""

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
        """Count a task as gone."""
        resources = running.task.resources
        self._cpu -= resources.cpu_millicores
        self._memory -= resources.memory_mb
        self._accelerators -= resources.accelerators_count
        self._slots -= 1

    @property
    def enough(self) -> bool:
        """Return whether nothing is missing any more."""
        return (
            self._cpu <= 0
            and self._memory <= 0
            and self._accelerators <= 0
            and self._slots <= 0
        )


def preemptions(
    victims: Victims, why: str
) -> collections.abc.Iterator[_tasks.Preemption]:
    """Return what the caller has to do about these tasks."""
    for running in victims.running:
        yield _tasks.Preemption(running.task.task_id, running.worker_id, why)
