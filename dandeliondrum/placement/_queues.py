"""Queues of pending tasks by bin and team, and the selection of the next.

A bin is active until no worker of its region has room for its first task;
then it is blocked until a worker may have. Teams are kept in order of their
usage, and the next group is found by going through the teams and comparing
two bit masks for each.
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

# Tasks dropped from a group stay in its heap until they outnumber the pending
# ones by more than this; then the heap is rebuilt.
DROPPED_COUNT_MAX = 64
# Entries of the cache of levels by resources; it is cleared when full.
NEEDS_COUNT_MAX = 10_000

# Bins without tasks are kept for reuse up to this number.
EMPTY_BINS_COUNT_MAX = 2_048


class Queues:
    """All bins and the teams with pending tasks in them."""

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
        self._needs: dict[messages.Resources, _index.CapacityLevels] = {}
        self._groups: dict[messages.TaskId, _bins.Group] = {}

    def bind(self, ledger: _ledger.Ledger) -> None:
        """Set the ledger with the pending tasks and the accounts."""
        self._ledger = ledger

    @property
    def active(self) -> int:
        """Mask of the bins for which there may be room."""
        return ~self.blocked

    def waiting_bins(self) -> int:
        """Return the bins with tasks that are within their team's limits."""
        mask = 0
        for team in self._teams.values():
            mask |= team.mask
        return mask

    def need(self, resources: messages.Resources) -> _index.CapacityLevels:
        """Return the levels that a task requires, from a cache."""
        need = self._needs.get(resources)
        if need is None:
            if len(self._needs) > NEEDS_COUNT_MAX:
                self._needs.clear()
            need = _index.required_levels(resources)
            self._needs[resources] = need
        return need

    def add(self, task: _tasks.PendingTask) -> None:
        """Add a pending task."""
        group = self._get_or_create_group(task)
        self._groups[task.task_id] = group
        entry = task.submitted_ms, next(self._numbers), task
        heapq.heappush(group.heap, entry)
        group.count += 1
        if group.heap[0] is entry:
            team = self._teams[task.team_id]
            self._unpark(team, group.bin.bit)
            team.insert_group(group, task)
        unfit = group.bin.unfit
        if unfit is not None and not unfit.fits_in(task.resources):
            self.unblock(group.bin.bit)

    def drop(self, task: _tasks.PendingTask) -> None:
        """Remove a task that is no longer pending."""
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
                entry for entry in group.heap if self._is_pending(entry[2])
            ]
            heapq.heapify(group.heap)

    def block(self, bin_: _bins.Bin, task: _tasks.PendingTask) -> None:
        """Block a bin because no worker of its region has room for a task."""
        self.blocked |= bin_.bit
        bin_.unfit = task.resources

    def unblock(self, bin_mask: int) -> None:
        """Make these bins active again."""
        for bit in _bins.bits(bin_mask & self.blocked):
            self.masks.by_bit[bit].unfit = None
        self.blocked &= ~bin_mask

    def note_usage(self, team_id: messages.TeamId, decreased: bool) -> None:
        """Reorder a team whose usage has changed.

        If it has ``decreased``, tasks that were over the team's limits are
        considered again.
        """
        team = self._teams.get(team_id)
        if team is None:
            return
        if decreased:
            team.mask |= team.parked
            team.parked = 0
        self._order.remove(team)
        self._order.insert(team)

    def note_all_usage(self) -> None:
        """Reorder all teams after a change of the grants or the fleet."""
        for team in self._teams.values():
            self.note_usage(team.account.team_id, True)

    def note_placed(self, task: _tasks.PendingTask, now_ms: int) -> None:
        """Record the placement of a queued task, before it is dropped."""
        group = self._groups.get(task.task_id)
        if group is not None:
            group.bin.placed_ms = now_ms
            self.aged.note_attempt(group.number, now_ms)
            self.aged.accrue(task)

    def pop_aged(self, now_ms: int) -> list[_tasks.PendingTask]:
        """Return the first task of each aged group that is due now."""
        found = []
        for number, group in self.aged.due(now_ms):
            self.aged.note_attempt(number, now_ms)
            task = self.head(group, now_ms)
            if task is not None and group.account.allows(task.resources):
                found.append(task)
        return found

    def group_of(self, task: _tasks.PendingTask) -> _bins.Group | None:
        """Return the group of a queued task, None if it isn't queued."""
        return self._groups.get(task.task_id)

    def select(
        self, bin_mask: int, now_ms: int, first_rank_only: bool = False
    ) -> _bins.Group | None:
        """Return the next group in order among these bins.

        Groups of the first rank (see ``Ranking``) precede the others. Teams
        at their upper limit are skipped until their usage decreases.
        """
        classes = self.masks.by_class
        limit = self._ranking.first_rank_limit()
        prioritized = (
            (
                self._order.by_urgent,
                bin_mask & classes[messages.TaskClass.URGENT],
            ),
            (
                self._order.by_share,
                bin_mask & classes[messages.TaskClass.SERVICE],
            ),
        )
        best: tuple[float, _bins.Group] | None = None
        for order, mask in prioritized:
            found = (
                self._first_group(order, mask, limit, now_ms) if mask else None
            )
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        if best is None and not first_rank_only:
            best = self._first_group(
                self._order.by_share, bin_mask, None, now_ms
            )
        return None if best is None else best[1]

    def urgent_groups(
        self, bin_mask: int, now_ms: int
    ) -> collections.abc.Iterator[_bins.Group]:
        """Yield groups of urgent tasks of the first rank, in order."""
        limit = self._ranking.first_rank_limit()
        mask = bin_mask & self.masks.by_class[messages.TaskClass.URGENT]
        if not mask:
            return
        for key, _, team in self._order.by_urgent:
            if key > limit:
                return
            for bit in _bins.bits(team.mask & mask):
                group = team.groups[bit]
                if self.head(group, now_ms) is not None:
                    yield group

    def least_served(
        self, bin_mask: int, teams_max: int, now_ms: int
    ) -> collections.abc.Iterator[_bins.Group]:
        """Yield the first group of each of the teams that use least.

        At most ``teams_max`` teams are examined.
        """
        for _, _, team in self._order.by_share[:teams_max]:
            group = self._first_group_of_team(
                team, team.mask & bin_mask, now_ms
            )
            if group is not None:
                yield group

    def next_task(
        self, bin_: _bins.Bin, now_ms: int
    ) -> _tasks.PendingTask | None:
        """Return the next task in one bin."""
        found = self._first_group(self._order.by_share, bin_.bit, None, now_ms)
        return None if found is None else self.head(found[1], now_ms)

    def head(
        self, group: _bins.Group, now_ms: int
    ) -> _tasks.PendingTask | None:
        """Return the oldest pending task whose deadline has not passed."""
        heap = group.heap
        while heap:
            task = heap[0][2]
            if self._is_pending(task) and (
                task.deadline_ms is None or task.deadline_ms > now_ms
            ):
                return task
            heapq.heappop(heap)
        return None

    def _first_group(
        self,
        order: _team_order.SortedTeams,
        bin_mask: int,
        limit: float | None,
        now_ms: int,
    ) -> tuple[float, _bins.Group] | None:
        """Return the first group among these bins and its team's key.

        Teams with a key above ``limit`` are not considered.
        """
        for key, _, team in order:
            if limit is not None and key > limit:
                return None
            mask = team.mask & bin_mask
            if mask:
                group = self._first_group_of_team(team, mask, now_ms)
                if group is not None:
                    return key, group
        return None

    def _first_group_of_team(
        self, team: _bins.TeamQueue, mask: int, now_ms: int
    ) -> _bins.Group | None:
        """Return the team's first group by class, then by age.

        It also corrects stale entries of the team's order and parks bins
        whose first task is over the team's limits.
        """
        position = 0
        while mask and position < len(team.order):
            bit = team.order[position][2]
            if not bit & mask:
                position += 1
                continue
            group = team.groups[bit]
            task = self.head(group, now_ms)
            if task is None:
                team.remove_group(group)
                team.mask &= ~bit
                mask &= ~bit
            elif task.submitted_ms != team.order[position][1]:
                team.insert_group(group, task)
            elif not team.account.allows(task.resources):
                team.mask &= ~bit
                team.parked |= bit
                mask &= ~bit
            else:
                return group
        return None

    def _is_pending(self, task: _tasks.PendingTask) -> bool:
        return self._ledger.pending.get(task.task_id) is task

    def _unpark(self, team: _bins.TeamQueue, bit: int) -> None:
        team.mask |= bit
        team.parked &= ~bit

    def _get_or_create_group(self, task: _tasks.PendingTask) -> _bins.Group:
        key = _bins.BinKey(
            task.task_class,
            task.region,
            self.need(task.resources),
            task.excluded_workers,
            task.isolated,
        )
        bin_ = self.bins.get(key)
        if bin_ is None:
            bin_ = self.masks.new_bin(key, task.submitted_ms)
            self.bins[key] = bin_
        elif not bin_.groups:
            bin_.placed_ms = task.submitted_ms
            self._empty_count -= 1
        group = bin_.groups.get(task.team_id)
        if group is None:
            team = self._get_or_create_team(task.team_id)
            group = _bins.Group(team.account, bin_, next(self._numbers))
            bin_.groups[task.team_id] = group
            team.groups[bin_.bit] = group
            self.aged.add(group.number, group, task.submitted_ms)
        return group

    def _get_or_create_team(self, team_id: messages.TeamId) -> _bins.TeamQueue:
        team = self._teams.get(team_id)
        if team is None:
            account = self._ledger.teams.account(team_id)
            team = _bins.TeamQueue(account, next(self._numbers))
            self._teams[team_id] = team
            self._order.insert(team)
        return team

    def _remove(self, group: _bins.Group) -> None:
        bin_ = group.bin
        team = self._teams[group.account.team_id]
        self.aged.remove(group.number)
        team.remove_group(group)
        del bin_.groups[group.account.team_id]
        del team.groups[bin_.bit]
        team.mask &= ~bin_.bit
        team.parked &= ~bin_.bit
        if not team.groups:
            self._order.remove(team)
            del self._teams[group.account.team_id]
        if not bin_.groups:
            self._empty_count += 1
            if self._empty_count > EMPTY_BINS_COUNT_MAX:
                self._remove_empty_bins()

    def _remove_empty_bins(self) -> None:
        for bin_ in list(self.bins.values()):
            if not bin_.groups:
                self.unblock(bin_.bit)
                self.masks.remove(bin_)
                del self.bins[bin_.key]
        self._empty_count = 0
