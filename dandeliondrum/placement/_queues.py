"""Pending tasks in bins, and the bins in lines by whose turn it is.

A bin is active until no worker of its region has room for its first task;
then it is blocked until one has. Blocked bins are in lines by region, so a
worker with new room is offered to those of its region.
"""

import collections.abc
import heapq
import itertools

from dandeliondrum import messages
from dandeliondrum.placement import _aging
from dandeliondrum.placement import _bins
from dandeliondrum.placement import _index
from dandeliondrum.placement import _ledger
from dandeliondrum.placement import _ranking
from dandeliondrum.placement import _tasks

# A heap is rebuilt without its dropped tasks once they outnumber the others
# and are more than this.
DROPPED_COUNT_MAX = 64

Turn = tuple[_ranking.Key, _bins.Bin, _tasks.PendingTask]


class Queues:
    """All bins; finds the group whose turn it is in each."""

    def __init__(self, ranking: _ranking.Ranking) -> None:
        self.bins: dict[_bins.BinKey, _bins.Bin] = {}
        self.aged: _aging.AgedGroups[_bins.Group] = _aging.AgedGroups()
        self._ranking = ranking
        self._ledger = _ledger.Ledger()
        self._numbers = itertools.count()
        self._by_team: dict[messages.TeamId, dict[int, _bins.Group]] = {}
        self._needs: dict[messages.Resources, _index.Need] = {}
        self._groups: dict[messages.TaskId, _bins.Group] = {}
        # Batch tasks wait apart, since a reserve may keep them back.
        self._active = _bins.Line()
        self._active_batch = _bins.Line()
        self._blocked: dict[messages.Region | None, _bins.Line] = {}

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

    def push(self, group: _bins.Group) -> None:
        """Give a group its turn anew, where it now belongs."""
        if not group.heap:
            return
        group.version += 1
        key = self._ranking.key(group.account, group.bin.key.task_class)
        heapq.heappush(
            group.bin.heap,
            (key, group.heap[0][0], group.number, group.version, group),
        )
        home = group.bin
        if home.turn is None or key < home.turn:
            self._put(home, key)

    def push_team(self, team_id: messages.TeamId) -> None:
        """Give all groups of a team their turn anew."""
        for group in self._by_team.get(team_id, {}).values():
            self.push(group)

    def push_all(self) -> None:
        """Give all groups their turn anew, in a new order."""
        for team_id in self._by_team:
            self.push_team(team_id)

    def next_active(self, now_ms: int, batch_may: bool) -> Turn | None:
        """Return the first turn among the bins that may have room."""
        turn = self._line_first(self._active, now_ms)
        if not batch_may:
            return turn
        other = self._line_first(self._active_batch, now_ms)
        if turn is None or (other is not None and other[0] < turn[0]):
            return other
        return turn

    def blocked_turns(
        self, region: messages.Region | None
    ) -> list[tuple[_ranking.Key, int, _bins.Bin]]:
        """Return blocked bins of a region in order; keys may be late."""
        line = self._blocked.get(region)
        return [] if line is None else line.entries

    def blocked_regions(
        self,
    ) -> list[messages.Region | None]:
        """Return the regions of blocked bins."""
        return [name for name, line in self._blocked.items() if line.entries]

    def set_blocked(self, home: _bins.Bin, blocked: bool) -> None:
        """Note that there is no room for a bin, or that there may be."""
        home.blocked = blocked
        if home.turn is not None:
            self._put(home, home.turn)

    def settle(self, home: _bins.Bin, now_ms: int) -> Turn | None:
        """Return the first turn of a bin, put where it belongs now."""
        first = self.first(home, now_ms)
        if first is None:
            _bins.Line.remove(home)
            return None
        if home.turn != first[0]:
            self._put(home, first[0])
        return first[0], home, first[1]

    def _line_first(self, line: _bins.Line, now_ms: int) -> Turn | None:
        while line.entries:
            turn, _, home = line.entries[0]
            found = self.settle(home, now_ms)
            if found is not None and found[0] <= turn:
                return found
        return None

    def _put(self, home: _bins.Bin, turn: _ranking.Key) -> None:
        _bins.Line.remove(home)
        if home.blocked:
            region = home.key.region
            line = self._blocked.setdefault(region, _bins.Line())
        elif home.key.task_class is messages.TaskClass.BATCH:
            line = self._active_batch
        else:
            line = self._active
        line.add(home, turn)

    def first(
        self, home: _bins.Bin, now_ms: int
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

    def group_count(self, home: _bins.Bin, team_id: messages.TeamId) -> int:
        """Return how many tasks of a team wait in a bin."""
        group = home.groups.get(team_id)
        return 0 if group is None else group.count

    def of(self, task: _tasks.PendingTask) -> _bins.Bin | None:
        """Return the bin of a queued task."""
        group = self._groups.get(task.task_id)
        return None if group is None else group.bin

    def __iter__(self) -> collections.abc.Iterator[_bins.Bin]:
        return iter(self.bins.values())

    def _head(
        self, group: _bins.Group, now_ms: int
    ) -> _tasks.PendingTask | None:
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

    def _key(self, task: _tasks.PendingTask) -> _bins.BinKey:
        return _bins.BinKey(
            task.task_class,
            task.region,
            self.need(task.resources),
            task.excluded_workers,
        )

    def _group(self, task: _tasks.PendingTask) -> _bins.Group:
        key = self._key(task)
        home = self.bins.get(key)
        if home is None:
            home = _bins.Bin(key, next(self._numbers))
            self.bins[key] = home
        group = home.groups.get(task.team_id)
        if group is None:
            account = self._ledger.teams.account(task.team_id)
            group = _bins.Group(account, home, next(self._numbers))
            home.groups[task.team_id] = group
            teams = self._by_team.setdefault(task.team_id, {})
            teams[group.number] = group
            self.aged.add(group.number, group, task.submitted_ms)
        return group

    def _remove(self, group: _bins.Group) -> None:
        group.version += 1
        self.aged.remove(group.number)
        team_id = group.account.team_id
        del group.bin.groups[team_id]
        del self._by_team[team_id][group.number]
        if not self._by_team[team_id]:
            del self._by_team[team_id]
        if not group.bin.groups:
            _bins.Line.remove(group.bin)
            del self.bins[group.bin.key]
