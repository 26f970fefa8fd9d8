"""The step of a plan that makes room by preemption."""

import itertools

from dandeliondrum.placement import _bins
from dandeliondrum.placement import _preemption
from dandeliondrum.placement import _regions
from dandeliondrum.placement import _state
from dandeliondrum.placement import _tasks

# A team below this part of its share may take lent share back from teams
# above theirs once a task has waited for so long.
TAKE_BACK_WAIT_MS = 5_000
TAKE_BACK_BELOW = 0.8
TAKE_BACK_ABOVE = 1.1
RETRY_MS = 100
LOOK_EVERY_MS = 10
# How many groups of urgent tasks are looked at each time.
GROUPS_COUNT = 32
# How many of the teams with least share may take back at a time.
TEAMS_COUNT = 8


class PreemptStep:
    """Preempts batch tasks for urgent ones and for teams below share."""

    def __init__(self, state: _state.State) -> None:
        self._state = state
        self._budget = _preemption.Budget()
        self._next_ms = 0

    def run(self, now_ms: int) -> list[_tasks.Preemption]:
        """Return what has to leave, within the budget."""
        slots_count = self._state.ledger.fleet.totals.slots_count
        self._budget.fill(now_ms, slots_count)
        found: list[_tasks.Preemption] = []
        if now_ms < self._next_ms:
            return found
        self._next_ms = now_ms + LOOK_EVERY_MS
        queues = self._state.queues
        urgent = itertools.islice(
            queues.urgent(queues.blocked, now_ms), GROUPS_COUNT
        )
        for group in list(urgent):
            if self._budget.left_count <= 0:
                return found
            self._for_urgent(group, now_ms, found)
        for group in queues.poorest(queues.blocked, TEAMS_COUNT, now_ms):
            self._take_back(group, now_ms, found)
        return found

    def _for_urgent(
        self,
        group: _bins.Group,
        now_ms: int,
        found: list[_tasks.Preemption],
    ) -> None:
        why = f'room for urgent tasks of team {group.account.team_id}'
        while (
            group.count > group.awaited_count and self._budget.left_count > 0
        ):
            if not self._preempt(group, now_ms, None, why, found):
                return

    def _take_back(
        self,
        group: _bins.Group,
        now_ms: int,
        found: list[_tasks.Preemption],
    ) -> None:
        slots_count = self._state.ledger.fleet.totals.slots_count
        kept_for_urgent = max(
            _preemption.BURST_COUNT_MIN,
            slots_count * _preemption.BURST_PORTION,
        )
        if self._budget.left_count <= kept_for_urgent / 2:
            return
        task = self._state.queues.head(group, now_ms)
        if task is None or now_ms - task.submitted_ms < TAKE_BACK_WAIT_MS:
            return
        ranking = self._state.ranking
        dominant = ranking.dominant_share(group.account)
        if dominant >= TAKE_BACK_BELOW * ranking.fair_share(group.account):
            return
        if group.count > group.awaited_count:
            why = f'lent share goes back to team {task.team_id}'
            self._preempt(group, now_ms, TAKE_BACK_ABOVE, why, found)

    def _preempt(
        self,
        group: _bins.Group,
        now_ms: int,
        above_share: float | None,
        why: str,
        found: list[_tasks.Preemption],
    ) -> bool:
        """Preempt for the first task of a group, if anything can leave."""
        task = self._state.queues.head(group, now_ms)
        if task is None or now_ms < group.make_room_ms:
            return False
        victims = None
        for region in _regions.allowed(task, now_ms):
            victims = self._state.victims.find(
                task, region, above_share, self._budget.left_count, now_ms
            )
            if victims is not None:
                break
        if victims is None:
            group.make_room_ms = now_ms + RETRY_MS
            return False
        self._state.victims.mark(victims)
        self._budget.spend(len(victims.running))
        group.awaited_count += 1
        self._state.awaited[victims.running[0].task.task_id] = group
        found.extend(_preemption.preemptions(victims, why))
        return True
