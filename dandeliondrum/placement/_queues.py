"""Pending tasks in bins, and whose turn it is among bins and teams.

A bin is active until no worker of its region has room for its first task;
then it is blocked until one has. Teams stand in order of their shares, so a
turn is found by walking along the teams and comparing two masks for each.
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
from dandeliondrum.placement import _team_order

# A heap is rebuilt without its dropped tasks once they outnumber the others
# and are more than this.
DROPPED_COUNT_MAX = 64
NEEDS_COUNT_MAX = 10_000

# Bins in which nothing waits are kept for the next task up to this number.
EMPTY_BINS_COUNT_MAX = 2_048


class Queues:
    """All bins and the teams that wait in them."""

    def __init__(self, ranking: _ranking.Ranking) -> None:
        self.bins: dict[_bins.BinKey, _bins.Bin] = {}
        self.masks = _bins.BinMasks()
        self.blocked = 0
        self._empty_count = 0
        self.aged: _aging.AgedGroups[_bins.Group] = _aging.AgedGroups()
        self._ranking = ranking
        self._ledger = _ledger.Ledger()
        self._numbers = itertools.count()
        self._teams: dict[messages.TeamId, _bins.TeamQueue] = {}
        self._order = _team_order.TeamOrder(ranking)
        self._needs: dict[messages.Resources, _index.Need] = {}
        self._groups: dict[messages.TaskId, _bins.Group] = {}

    def bind(self, ledger: _ledger.Ledger) -> None:
        """Read pending tasks and accounts from this ledger."""
        self._ledger = ledger

    @property
    def active(self) -> int:
        """Return the bins for which there may be room."""
        return ~self.blocked

    def waiting(self) -> int:
        """Return the bins with tasks that no limit keeps back."""
        mask = 0
        for team in self._teams.values():
            mask |= team.mask
        return mask

    def need(self, resources: messages.Resources) -> _index.Need:
        """Return the levels of what a task needs."""
        need = self._needs.get(resources)
        if need is None:
            if len(self._needs) > NEEDS_COUNT_MAX:
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
            team = self._teams[task.team_id]
            self._unpark(team, group.bin.bit)
            team.place(group, task)
        unfit = group.bin.unfit
        if unfit is not None and not unfit.fits_in(task.resources):
            self.unblock(group.bin.bit)

    def drop(self, task: _tasks.PendingTask) -> None:
        """Note that a queued task is pending no more."""
        group = self._groups.pop(task.task_id, None)
        if group is None:
            return
        group.count -= 1
        if group.count <= 0:
            self._remove(group)
            return
        team = self._teams[task.team_id]
        if team.parked & group.bin.bit:
            self._unpark(team, group.bin.bit)
        if len(group.heap) > 2 * group.count + DROPPED_COUNT_MAX:
            group.heap = [
                entry for entry in group.heap if self._waits(entry[2])
            ]
            heapq.heapify(group.heap)

    def block(self, home: _bins.Bin, task: _tasks.PendingTask) -> None:
        """Note that no worker of its region has room for a task."""
        self.blocked |= home.bit
        home.unfit = task.resources

    def unblock(self, among: int) -> None:
        """Let these bins be searched for again."""
        for bit in _bins.bits(among & self.blocked):
            self.masks.by_bit[bit].unfit = None
        self.blocked &= ~among

    def note_usage(self, team_id: messages.TeamId, less: bool) -> None:
        """Put a team whose usage has changed where it now belongs."""
        team = self._teams.get(team_id)
        if team is None:
            return
        if less:
            team.mask |= team.parked
            team.parked = 0
        self._order.leave(team)
        self._order.enter(team)

    def note_all_usage(self) -> None:
        """Put all teams where they belong: grants or the fleet changed."""
        for team in self._teams.values():
            self.note_usage(team.account.team_id, True)

    def note_placed(self, task: _tasks.PendingTask, now_ms: int) -> None:
        """Note that a queued task is about to be placed."""
        group = self._groups.get(task.task_id)
        if group is not None:
            group.bin.placed_ms = now_ms
            self.aged.note_turn(group.number, now_ms)
            self.aged.earn(task)

    def pop_aged(self, now_ms: int) -> list[_tasks.PendingTask]:
        """Return tasks whose group had no placement for long."""
        found = []
        for number, group in self.aged.due(now_ms):
            self.aged.note_turn(number, now_ms)
            task = self.head(group, now_ms)
            if task is not None and group.account.allows(task.resources):
                found.append(task)
        return found

    def of(self, task: _tasks.PendingTask) -> _bins.Group | None:
        """Return the group of a queued task."""
        return self._groups.get(task.task_id)

    def select(
        self, among: int, now_ms: int, first_rank_only: bool = False
    ) -> _bins.Group | None:
        """Return the group whose turn it is among these bins.

        Teams at their upper limit are passed over until they use less.
        """
        classes = self.masks.classes
        limit = self._ranking.first_rank_limit()
        firsts = (
            (
                self._order.by_urgent,
                among & classes[messages.TaskClass.URGENT],
            ),
            (
                self._order.by_share,
                among & classes[messages.TaskClass.SERVICE],
            ),
        )
        best: tuple[float, _bins.Group] | None = None
        for order, mask in firsts:
            found = self._walk(order, mask, limit, now_ms) if mask else None
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        if best is None and not first_rank_only:
            best = self._walk(self._order.by_share, among, None, now_ms)
        return None if best is None else best[1]

    def urgent(
        self, among: int, now_ms: int
    ) -> collections.abc.Iterator[_bins.Group]:
        """Yield groups of urgent tasks within share, in order."""
        limit = self._ranking.first_rank_limit()
        mask = among & self.masks.classes[messages.TaskClass.URGENT]
        if not mask:
            return
        for key, _, team in self._order.by_urgent:
            if key > limit:
                return
            for bit in _bins.bits(team.mask & mask):
                group = team.groups[bit]
                if self.head(group, now_ms) is not None:
                    yield group

    def poorest(
        self, among: int, teams_max: int, now_ms: int
    ) -> collections.abc.Iterator[_bins.Group]:
        """Yield the first group of each of the teams with least share."""
        for _, _, team in self._order.by_share[:teams_max]:
            group = self._pick(team, team.mask & among, now_ms)
            if group is not None:
                yield group

    def first(self, home: _bins.Bin, now_ms: int) -> _tasks.PendingTask | None:
        """Return the task whose turn it is in one bin."""
        found = self._walk(self._order.by_share, home.bit, None, now_ms)
        return None if found is None else self.head(found[1], now_ms)

    def head(
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

    def _walk(
        self,
        order: _team_order.Teams,
        among: int,
        limit: float | None,
        now_ms: int,
    ) -> tuple[float, _bins.Group] | None:
        """Return the first team's group among these bins, and its key."""
        for key, _, team in order:
            if limit is not None and key > limit:
                return None
            mask = team.mask & among
            if mask:
                group = self._pick(team, mask, now_ms)
                if group is not None:
                    return key, group
        return None

    def _pick(
        self, team: _bins.TeamQueue, mask: int, now_ms: int
    ) -> _bins.Group | None:
        """Return the team's first group, by class, then by age."""
        position = 0
        while mask and position < len(team.order):
            bit = team.order[position][2]
            if not bit & mask:
                position += 1
                continue
            group = team.groups[bit]
            task = self.head(group, now_ms)
            if task is None:
                team.displace(group)
                team.mask &= ~bit
                mask &= ~bit
            elif task.submitted_ms != team.order[position][1]:
                team.place(group, task)
            elif not team.account.allows(task.resources):
                team.mask &= ~bit
                team.parked |= bit
                mask &= ~bit
            else:
                return group
        return None

    def _waits(self, task: _tasks.PendingTask) -> bool:
        return self._ledger.pending.get(task.task_id) is task

    def _unpark(self, team: _bins.TeamQueue, bit: int) -> None:
        team.mask |= bit
        team.parked &= ~bit

    def _group(self, task: _tasks.PendingTask) -> _bins.Group:
        key = _bins.BinKey(
            task.task_class,
            task.region,
            self.need(task.resources),
            task.excluded_workers,
        )
        home = self.bins.get(key)
        if home is None:
            home = self.masks.new_bin(key, task.submitted_ms)
            self.bins[key] = home
        elif not home.groups:
            home.placed_ms = task.submitted_ms
            self._empty_count -= 1
        group = home.groups.get(task.team_id)
        if group is None:
            team = self._team(task.team_id)
            group = _bins.Group(team.account, home, next(self._numbers))
            home.groups[task.team_id] = group
            team.groups[home.bit] = group
            self.aged.add(group.number, group, task.submitted_ms)
        return group

    def _team(self, team_id: messages.TeamId) -> _bins.TeamQueue:
        team = self._teams.get(team_id)
        if team is None:
            account = self._ledger.teams.account(team_id)
            team = _bins.TeamQueue(account, next(self._numbers))
            self._teams[team_id] = team
            self._order.enter(team)
        return team

    def _remove(self, group: _bins.Group) -> None:
        home = group.bin
        team = self._teams[group.account.team_id]
        self.aged.remove(group.number)
        team.displace(group)
        del home.groups[group.account.team_id]
        del team.groups[home.bit]
        team.mask &= ~home.bit
        team.parked &= ~home.bit
        if not team.groups:
            self._order.leave(team)
            del self._teams[group.account.team_id]
        if not home.groups:
            self._empty_count += 1
            if self._empty_count > EMPTY_BINS_COUNT_MAX:
                self._remove_empty_bins()

    def _remove_empty_bins(self) -> None:
        for home in list(self.bins.values()):
            if not home.groups:
                self.unblock(home.bit)
                self.masks.remove(home)
                del self.bins[home.key]
        self._empty_count = 0
