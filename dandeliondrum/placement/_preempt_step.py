"""The step of a plan that makes room by preemption."""

from dandeliondrum import messages
from dandeliondrum.placement import _bins
from dandeliondrum.placement import _preemption
from dandeliondrum.placement import _ranking
from dandeliondrum.placement import _regions
from dandeliondrum.placement import _state
from dandeliondrum.placement import _tasks

# A team below this part of its share may take lent share back from teams
# above theirs once a task has waited for so long.
TAKE_BACK_WAIT_MS = 5_000
TAKE_BACK_BELOW = 0.8
TAKE_BACK_ABOVE = 1.1
RETRY_MS = 100
# All blocked bins are looked at, so not at every plan.
LOOK_EVERY_MS = 10


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
        for home in list(self._state.queues):
            if not home.blocked or now_ms < home.make_room_ms:
                continue
            if home.key.task_class is messages.TaskClass.URGENT:
                self._for_urgent(home, now_ms, found)
            else:
                self._take_back(home, now_ms, found)
        return found

    def _for_urgent(
        self,
        home: _bins.Bin,
        now_ms: int,
        found: list[_tasks.Preemption],
    ) -> None:
        first = self._state.queues.first(home, now_ms)
        if first is None or first[0][0] != _ranking.FIRST_RANK:
            return
        task = first[1]
        wanted = self._state.queues.group_count(home, task.team_id)
        while wanted > home.awaited_count and self._budget.left_count > 0:
            why = f'room for urgent tasks of team {task.team_id}'
            if not self._preempt(home, task, now_ms, None, why, found):
                home.make_room_ms = now_ms + RETRY_MS
                return

    def _take_back(
        self,
        home: _bins.Bin,
        now_ms: int,
        found: list[_tasks.Preemption],
    ) -> None:
        home.make_room_ms = now_ms + RETRY_MS
        slots_count = self._state.ledger.fleet.totals.slots_count
        kept_for_urgent = max(
            _preemption.BURST_COUNT_MIN,
            slots_count * _preemption.BURST_PORTION,
        )
        if self._budget.left_count <= kept_for_urgent / 2:
            return
        first = self._state.queues.first(home, now_ms)
        if first is None:
            return
        task = first[1]
        if now_ms - task.submitted_ms < TAKE_BACK_WAIT_MS:
            return
        account = self._state.ledger.teams.account(task.team_id)
        ranking = self._state.ranking
        dominant = ranking.dominant_share(account)
        if dominant >= TAKE_BACK_BELOW * ranking.fair_share(account):
            return
        wanted = self._state.queues.group_count(home, task.team_id)
        if wanted > home.awaited_count:
            why = f'lent share goes back to team {task.team_id}'
            self._preempt(home, task, now_ms, TAKE_BACK_ABOVE, why, found)

    def _preempt(
        self,
        home: _bins.Bin,
        task: _tasks.PendingTask,
        now_ms: int,
        above_share: float | None,
        why: str,
        found: list[_tasks.Preemption],
    ) -> bool:
        victims = None
        for region in _regions.allowed(task, now_ms):
            victims = self._state.victims.find(
                task,
                region,
                above_share,
                self._budget.left_count,
                now_ms,
            )
            if victims is not None:
                break
        if victims is None:
            return False
        self._state.victims.mark(victims)
        self._budget.spend(len(victims.running))
        home.awaited_count += 1
        self._state.awaited[victims.running[0].task.task_id] = home
        found.extend(_preemption.preemptions(victims, why))
        return True
