"""The planning step that preempts tasks."""

import itertools

from dandeliondrum.placement import _bins
from dandeliondrum.placement import _preemption
from dandeliondrum.placement import _regions
from dandeliondrum.placement import _state
from dandeliondrum.placement import _tasks

# A team below RECLAIM_BELOW times its fair share reclaims capacity from teams
# above RECLAIM_ABOVE times theirs, once a task has waited this long.
RECLAIM_WAIT_MS = 5_000
RECLAIM_BELOW = 0.8
RECLAIM_ABOVE = 1.1
# How long a group for which no victims were found is skipped.
RETRY_MS = 100
# Shortest time between two searches for victims.
SEARCH_INTERVAL_MS = 10
# How many groups of urgent tasks are considered in one search.
URGENT_GROUPS_COUNT = 32
# How many of the teams that use least are considered in one search.
RECLAIMING_TEAMS_COUNT = 8


class PreemptStep:
    """Preempts batch tasks for urgent tasks and for teams below share."""

    def __init__(self, state: _state.State) -> None:
        self._state = state
        self._budget = _preemption.PreemptionBudget()
        self._next_ms = 0

    def run(self, now_ms: int) -> list[_tasks.Preemption]:
        """Return the tasks to preempt now, within the budget."""
        slots_count = self._state.ledger.fleet.totals.slots_count
        self._budget.fill(now_ms, slots_count)
        found: list[_tasks.Preemption] = []
        if now_ms < self._next_ms:
            return found
        self._next_ms = now_ms + SEARCH_INTERVAL_MS
        queues = self._state.queues
        urgent = itertools.islice(
            queues.urgent_groups(queues.blocked, now_ms), URGENT_GROUPS_COUNT
        )
        for group in list(urgent):
            if self._budget.available_count <= 0:
                return found
            self._preempt_for_urgent(group, now_ms, found)
        for group in queues.least_served(
            queues.blocked, RECLAIMING_TEAMS_COUNT, now_ms
        ):
            self._reclaim_share(group, now_ms, found)
        return found

    def _preempt_for_urgent(
        self,
        group: _bins.Group,
        now_ms: int,
        found: list[_tasks.Preemption],
    ) -> None:
        reason = f'preempted for urgent tasks of team {group.account.team_id}'
        while (
            group.count > group.awaited_count
            and self._budget.available_count > 0
        ):
            if not self._preempt(group, now_ms, None, reason, found):
                return

    def _reclaim_share(
        self,
        group: _bins.Group,
        now_ms: int,
        found: list[_tasks.Preemption],
    ) -> None:
        slots_count = self._state.ledger.fleet.totals.slots_count
        kept_for_urgent = max(
            _preemption.BURST_COUNT_MIN,
            slots_count * _preemption.BURST_FRACTION,
        )
        if self._budget.available_count <= kept_for_urgent / 2:
            return
        task = self._state.queues.head(group, now_ms)
        if task is None or now_ms - task.submitted_ms < RECLAIM_WAIT_MS:
            return
        ranking = self._state.ranking
        dominant = ranking.dominant_share(group.account)
        if dominant >= RECLAIM_BELOW * ranking.fair_share(group.account):
            return
        if group.count > group.awaited_count:
            reason = f'borrowed share is reclaimed by team {task.team_id}'
            self._preempt(group, now_ms, RECLAIM_ABOVE, reason, found)

    def _preempt(
        self,
        group: _bins.Group,
        now_ms: int,
        above_share: float | None,
        reason: str,
        found: list[_tasks.Preemption],
    ) -> bool:
        """Preempt for the first task of a group; False without victims.

        With ``above_share``, only teams above this multiple of their fair
        share lose tasks.
        """
        task = self._state.queues.head(group, now_ms)
        if task is None or now_ms < group.make_room_ms:
            return False
        victims = None
        for region in _regions.regions_to_try(task, now_ms):
            victims = self._state.victims.find(
                task, region, above_share, self._budget.available_count, now_ms
            )
            if victims is not None:
                break
        if victims is None:
            group.make_room_ms = now_ms + RETRY_MS
            return False
        self._state.victims.mark(victims)
        self._budget.spend(len(victims.running))
        group.awaited_count += 1
        self._state.preempted_for[victims.running[0].task.task_id] = group
        found.extend(_preemption.preemptions(victims, reason))
        return True
