"""Pending tasks grouped by team and by what they need.

Tasks of the same class, region, size and exclusions share a ``Bin``, and
those of one team in it a ``Group``. Whether there is room anywhere is a
question of the bin, whose turn it is one of the group, so neither depends on
how many tasks wait.
"""

import collections.abc
import dataclasses
import heapq
import itertools

from dandeliondrum import messages
from dandeliondrum.placement import _aging
from dandeliondrum.placement import _index
from dandeliondrum.placement import _ledger
from dandeliondrum.placement import _ranking
from dandeliondrum.placement import _shares
from dandeliondrum.placement import _tasks

# A heap is rebuilt without its dropped tasks once they outnumber the others
# and are more than this.
DROPPED_COUNT_MAX = 64


@dataclasses.dataclass(frozen=True, slots=True)
class BinKey:
    """What the tasks of a bin have in common."""

    task_class: messages.TaskClass
    region: messages.Region | None
    need: _index.Need
    excluded_workers: frozenset[messages.WorkerId]


class Group:
    """The waiting tasks of one team in one bin, oldest first."""

    __slots__ = ('account', 'bin', 'number', 'heap', 'version', 'count')

    def __init__(
        self, account: _shares.TeamAccount, home: 'Bin', number: int
    ) -> None:
        self.account = account
        self.bin = home
        self.number = number
        self.heap: list[tuple[int, int, _tasks.PendingTask]] = []
        # Entries of the bin's heap with another version are void.
        self.version = 0
        self.count = 0


class Bin:
    """Groups of teams whose tasks fit the same workers."""

    __slots__ = (
        'key',
        'groups',
        'heap',
        'blocked_at_home',
        'blocked_everywhere',
        'awaited_count',
        'make_room_ms',
        'placed_ms',
    )

    def __init__(self, key: BinKey) -> None:
        self.key = key
        self.groups: dict[messages.TeamId, Group] = {}
        self.heap: list[tuple[_ranking.Key, int, int, int, Group]] = []
        self.blocked_at_home = False
        self.blocked_everywhere = False
        # Preemptions on their way for tasks of this bin.
        self.awaited_count = 0
        # When to look for tasks to preempt again.
        self.make_room_ms = 0
        # When a task of this bin was placed last; None if none was.
        self.placed_ms: int | None = None


class Queues:
    """All bins; finds the group whose turn it is in each."""

    def __init__(self, ranking: _ranking.Ranking) -> None:
        self.bins: dict[BinKey, Bin] = {}
        self.aged: _aging.AgedGroups[Group] = _aging.AgedGroups()
        self._ranking = ranking
        self._ledger = _ledger.Ledger()
        self._numbers = itertools.count()
        self._by_team: dict[messages.TeamId, dict[int, Group]] = {}
        self._needs: dict[messages.Resources, _index.Need] = {}
        self._groups: dict[messages.TaskId, Group] = {}

    def bind(self, ledger: _ledger.Ledger) -> None:
        """Read pending tasks and accounts from this ledger."""
        self._ledger = ledger

    def need(self, resources: messages.Resources) -> _index.Need:
        """Return the levels of what a task needs."""
        need = self._needs.get(resources)
        if need is None:
            if len(self._needs) > 10_000:
                self._needs.clear()
            need = _index.need_of(resources)
            self._needs[resources] = need
        return need

    def add(self, task: _tasks.PendingTask) -> None:
        """Queue a pending task."""
        group = self._group(task)
        self._groups[task.task_id] = group
        entry = task.submitted_ms, next(self._numbers), task
        heapq.heappush(group.heap, entry)
        group.count += 1
        if group.heap[0] is entry:
            self.push(group)

    def drop(self, task: _tasks.PendingTask) -> None:
        """Note that a queued task is pending no more."""
        group = self._groups.pop(task.task_id, None)
        if group is None:
            return
        group.count -= 1
        if group.count <= 0:
            self._remove(group)
        elif len(group.heap) > 2 * group.count + DROPPED_COUNT_MAX:
            group.heap = [
                entry for entry in group.heap if self._waits(entry[2])
            ]
            heapq.heapify(group.heap)

    def push(self, group: Group) -> None:
        """Give a group its turn anew, where it now belongs."""
        if not group.heap:
            return
        group.version += 1
        key = self._ranking.key(group.account, group.bin.key.task_class)
        heapq.heappush(
            group.bin.heap,
            (key, group.heap[0][0], group.number, group.version, group),
        )

    def push_team(self, team_id: messages.TeamId) -> None:
        """Give all groups of a team their turn anew."""
        for group in self._by_team.get(team_id, {}).values():
            self.push(group)

    def push_all(self) -> None:
        """Give all groups their turn anew, in a new order."""
        for team_id in self._by_team:
            self.push_team(team_id)

    def first(
        self, home: Bin, now_ms: int
    ) -> tuple[_ranking.Key, _tasks.PendingTask] | None:
        """Return the task whose turn it is in a bin, and its key.

        A group whose team is at its upper limit is passed over until
        ``push_team`` brings it back.
        """
        heap = home.heap
        while heap:
            key, submitted_ms, number, version, group = heap[0]
            if version != group.version:
                heapq.heappop(heap)
                continue
            task = self._head(group, now_ms)
            if task is None or not group.account.allows(task.resources):
                heapq.heappop(heap)
                continue
            now_key = self._ranking.key(group.account, home.key.task_class)
            if now_key > key or task.submitted_ms > submitted_ms:
                heapq.heapreplace(
                    heap, (now_key, task.submitted_ms, number, version, group)
                )
                continue
            return key, task
        return None

    def note_placed(self, task: _tasks.PendingTask, now_ms: int) -> None:
        """Note that a queued task is about to be placed."""
        group = self._groups.get(task.task_id)
        if group is not None:
            group.bin.placed_ms = now_ms
            self.aged.note_turn(group.number, now_ms)
            self.aged.count_placement()

    def pop_aged(self, now_ms: int) -> list[_tasks.PendingTask]:
        """Return tasks whose group had no placement for long."""
        found = []
        for number, group in self.aged.due(now_ms):
            self.aged.note_turn(number, now_ms)
            task = self._head(group, now_ms)
            if task is not None and group.account.allows(task.resources):
                found.append(task)
        return found

    def group_count(self, home: Bin, team_id: messages.TeamId) -> int:
        """Return how many tasks of a team wait in a bin."""
        group = home.groups.get(team_id)
        return 0 if group is None else group.count

    def of(self, task: _tasks.PendingTask) -> Bin | None:
        """Return the bin of a queued task."""
        group = self._groups.get(task.task_id)
        return None if group is None else group.bin

    def __iter__(self) -> collections.abc.Iterator[Bin]:
        return iter(self.bins.values())

    def _head(self, group: Group, now_ms: int) -> _tasks.PendingTask | None:
        """Return the oldest task that can still meet its deadline."""
        heap = group.heap
        while heap:
            task = heap[0][2]
            if self._waits(task) and (
                task.deadline_ms is None or task.deadline_ms > now_ms
            ):
                return task
            heapq.heappop(heap)
        return None

    def _waits(self, task: _tasks.PendingTask) -> bool:
        return self._ledger.pending.get(task.task_id) is task

    def _key(self, task: _tasks.PendingTask) -> BinKey:
        return BinKey(
            task.task_class,
            task.region,
            self.need(task.resources),
            task.excluded_workers,
        )

    def _group(self, task: _tasks.PendingTask) -> Group:
        key = self._key(task)
        home = self.bins.get(key)
        if home is None:
            home = Bin(key)
            self.bins[key] = home
        group = home.groups.get(task.team_id)
        if group is None:
            account = self._ledger.teams.account(task.team_id)
            group = Group(account, home, next(self._numbers))
            home.groups[task.team_id] = group
            teams = self._by_team.setdefault(task.team_id, {})
            teams[group.number] = group
            self.aged.add(group.number, group, task.submitted_ms)
        return group

    def _remove(self, group: Group) -> None:
        group.version += 1
        self.aged.remove(group.number)
        team_id = group.account.team_id
        del group.bin.groups[team_id]
        del self._by_team[team_id][group.number]
        if not self._by_team[team_id]:
            del self._by_team[team_id]
        if not group.bin.groups:
            del self.bins[group.bin.key]
