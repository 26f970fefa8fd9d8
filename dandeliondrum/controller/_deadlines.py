"""Refuses tasks that were not started before their deadline."""

from dandeliondrum.controller import _context
from dandeliondrum.controller import _queueing
from dandeliondrum import messages

CHECK_EVERY_MS = 100


class Deadlines:
    """Refuses waiting tasks at their deadline on behalf of the leader.

    Refusals are committed to the log. The state machine records a task as
    in doubt instead if an earlier attempt may have run.
    """

    def __init__(
        self, context: _context.Context, queueing: _queueing.Queueing
    ) -> None:
        self._context = context
        self._queueing = queueing

    def check(self) -> None:
        """Refuse overdue tasks, including those that no gateway waits for."""
        context = self._context
        now_ms = context.now_ms()
        with context.lock:
            refusals = (
                self._overdue(now_ms)
                + self._abandoned(now_ms)
                + self._unrecorded()
            )
        if refusals:
            self._queueing.refuse_pending(refusals)

    def _overdue(self, now_ms: int) -> list[messages.Refusal]:
        context = self._context
        refusals = []
        for entry in context.pending.overdue(now_ms):
            reason = context.planner.explain(entry.spec.task_id)
            if context.drop_pending(entry.spec.task_id):
                detail = f'no worker before the deadline: {reason}'
                refusals.append(_refusal(entry.spec, detail))
        return refusals

    def _unrecorded(self) -> list[messages.Refusal]:
        """Return refusals that could not be committed, to try again."""
        context = self._context
        refusals = context.unrecorded_refusals
        context.unrecorded_refusals = []
        return [
            refusal
            for refusal in refusals
            if refusal.task_id not in context.pending
        ]

    def _abandoned(self, now_ms: int) -> list[messages.Refusal]:
        """Return refusals of tasks that no gateway asked for in time."""
        context = self._context
        expired = [
            task_id
            for task_id, deadline_ms in context.abandoned_deadlines_ms.items()
            if deadline_ms <= now_ms
        ]
        refusals = []
        for task_id in expired:
            del context.abandoned_deadlines_ms[task_id]
            with context.state.lock:
                task = context.state.tasks.get(task_id)
            if task is None or task_id in context.pending:
                continue
            if task.state is messages.TaskState.QUEUED:
                detail = 'no caller waits for the task any more'
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
