"""Refuses what could not be started in time."""

from dandeliondrum.controller import _context
from dandeliondrum.controller import _queueing
from dandeliondrum import messages

CHECK_EVERY_MS = 100


class Deadlines:
    """The leader's part that ends waiting at its deadline.

    The refusal goes into the log; the state machine turns it into a doubt
    where an earlier attempt may have run.
    """

    def __init__(
        self, context: _context.Context, queueing: _queueing.Queueing
    ) -> None:
        self._context = context
        self._queueing = queueing

    def check(self) -> None:
        """Refuse what is overdue, also where no gateway waits any more."""
        context = self._context
        now_ms = context.now_ms()
        with context.lock:
            refusals = self._overdue(now_ms) + self._unwanted(now_ms)
        if refusals:
            self._queueing.refuse_pending(refusals)

    def _overdue(self, now_ms: int) -> list[messages.Refusal]:
        context = self._context
        refusals = []
        for entry in context.pending.overdue(now_ms):
            why = context.planner.explain(entry.spec.task_id)
            if context.drop_pending(entry.spec.task_id):
                detail = f'no worker before the deadline: {why}'
                refusals.append(_refusal(entry.spec, detail))
        return refusals

    def _unwanted(self, now_ms: int) -> list[messages.Refusal]:
        """Return refusals of tasks on record that nobody asked for again."""
        context = self._context
        due = [
            task_id
            for task_id, until_ms in context.unwanted.items()
            if until_ms <= now_ms
        ]
        refusals = []
        for task_id in due:
            del context.unwanted[task_id]
            with context.state.lock:
                task = context.state.tasks.get(task_id)
            if task is None or task_id in context.pending:
                continue
            if task.state is messages.TaskState.QUEUED:
                detail = 'its callers waited no more'
                refusals.append(_refusal(task.spec, detail))
        return refusals


def _refusal(spec: messages.TaskSpec, detail: str) -> messages.Refusal:
    return messages.Refusal(
        spec.task_id,
        spec.team_id,
        spec.body_digest,
        messages.RefusalReason.DEADLINE_PASSED,
        detail,
    )
