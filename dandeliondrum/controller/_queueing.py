"""Tasks on record that wait, and refusals of what waited."""

import collections.abc
import concurrent.futures

from returns import result

from dandeliondrum.controller import _context
from dandeliondrum.controller import _pending
from dandeliondrum.controller import _records
from dandeliondrum.controller import _state
from dandeliondrum.controller import _task_outcomes
from dandeliondrum import messages
from dandeliondrum import utils

StatusFuture = concurrent.futures.Future[messages.TaskStatus]


class Queueing:
    """The leader's part that lets tasks wait, and wait no more."""

    def __init__(self, context: _context.Context) -> None:
        self._context = context

    def refuse(self, refusals: list[messages.Refusal]) -> list[StatusFuture]:
        context = self._context
        for one in refusals:
            context.metrics.refused.labels(one.reason.value).inc()
        command = messages.RefuseTasks(context.now_ms(), tuple(refusals))
        committed = context.propose(command)
        return [
            utils.then(
                committed,
                _task_outcomes.pick_status(position, refusal.task_id),
            )
            for position, refusal in enumerate(refusals)
        ]

    def enqueue_recorded(
        self, task_ids: collections.abc.Iterable[messages.TaskId]
    ) -> None:
        """Give the planner durable tasks that are on record and wait."""
        context = self._context
        with context.lock, context.state.lock:
            for task_id in task_ids:
                task = context.state.tasks.get(task_id)
                if task is None or task_id in context.pending:
                    continue
                if task.state is not messages.TaskState.QUEUED:
                    continue
                self._enqueue(task)

    def _enqueue(self, task: _records.TaskRecord) -> None:
        context = self._context
        spec = task.spec
        waited_for = context.sessions.waiters(spec.task_id)
        if not spec.durable and not waited_for:
            context.unwanted[spec.task_id] = task.deadline_ms
            return
        entry = _pending.PendingEntry(
            spec,
            task.deadline_ms,
            frozenset(task.failed_workers),
            is_retry=task.attempts_count > 0,
        )
        outcome = context.add_pending(entry)
        if isinstance(outcome, result.Failure):
            self.refuse_pending(
                [
                    _task_outcomes.refusal(
                        spec,
                        messages.RefusalReason.NEVER_FITS,
                        outcome.failure().detail,
                    )
                ]
            )

    def refuse_withdrawn(self) -> None:
        """Refuse what waits under a key that the rules hold no more."""
        context = self._context
        refusals = []
        with context.lock, context.state.lock:
            keys = context.state.rules.keys
            for entry in context.pending.without_key(keys):
                if context.drop_pending(entry.spec.task_id):
                    refusals.append(
                        _task_outcomes.refusal(
                            entry.spec,
                            messages.RefusalReason.BAD_KEY,
                            'the key was withdrawn while the task waited',
                        )
                    )
        if refusals:
            self.refuse_pending(refusals)

    def refuse_pending(self, refusals: list[messages.Refusal]) -> None:
        """Refuse tasks that waited; notify those who wait for them."""
        for future in self.refuse(refusals):
            future.add_done_callback(self._notify)

    def _notify(self, done: StatusFuture) -> None:
        status = done.result()
        if status.state in _state.ENDED_STATES:
            with self._context.lock:
                self._context.sessions.end(status)
