"""Queueing of recorded tasks and refusal of waiting ones."""

import collections.abc
import concurrent.futures
import functools

from returns import result

from dandeliondrum.controller import _context
from dandeliondrum.controller import _crashes
from dandeliondrum.controller import _pending
from dandeliondrum.controller import _records
from dandeliondrum.controller import _state
from dandeliondrum.controller import _task_outcomes
from dandeliondrum import messages
from dandeliondrum import utils

StatusFuture = concurrent.futures.Future[messages.TaskStatus]


class Queueing:
    """Queues and refuses tasks on behalf of the leader."""

    def __init__(self, context: _context.Context) -> None:
        self._context = context

    def refuse(self, refusals: list[messages.Refusal]) -> list[StatusFuture]:
        """Commit refusals; each future holds the status of one task."""
        context = self._context
        for refusal in refusals:
            context.metrics.refused.labels(refusal.reason.value).inc()
        command = messages.RefuseTasks(context.now_ms(), tuple(refusals))
        committed = context.propose(command)
        return [
            utils.map_future(
                committed,
                _task_outcomes.status_picker(position, refusal.task_id),
            )
            for position, refusal in enumerate(refusals)
        ]

    def enqueue_recorded(
        self, task_ids: collections.abc.Iterable[messages.TaskId]
    ) -> None:
        """Add recorded tasks that are queued to the planner."""
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
        waiters = context.sessions.waiters(spec.task_id)
        if not spec.durable and not waiters:
            context.abandoned_deadlines_ms[spec.task_id] = task.deadline_ms
            return
        entry = _pending.PendingEntry(
            spec,
            task.deadline_ms,
            frozenset(task.failed_workers),
            is_retry=task.attempts_count > 0,
            isolated=_crashes.is_suspect(task),
        )
        self._add(entry)

    def requeue(
        self, entries: collections.abc.Iterable[_pending.PendingEntry]
    ) -> None:
        """Add tasks that were dropped for a command that was not applied."""
        with self._context.lock:
            for entry in entries:
                if entry.spec.task_id not in self._context.pending:
                    self._add(entry)

    def _add(self, entry: _pending.PendingEntry) -> None:
        outcome = self._context.add_pending(entry)
        if isinstance(outcome, result.Failure):
            self.refuse_pending(
                [
                    _task_outcomes.refusal(
                        entry.spec,
                        messages.RefusalReason.NEVER_FITS,
                        outcome.failure().detail,
                    )
                ]
            )

    def refuse_withdrawn_keys(self) -> None:
        """Refuse waiting tasks whose key is no longer in the rules."""
        context = self._context
        refusals = []
        with context.lock, context.state.lock:
            key_ids = context.state.rules.keys
            for entry in context.pending.with_key_not_in(key_ids):
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
        """Refuse waiting tasks and notify the gateways that wait for them."""
        futures = self.refuse(refusals)
        for refusal, future in zip(refusals, futures, strict=True):
            future.add_done_callback(functools.partial(self._notify, refusal))

    def _notify(self, refusal: messages.Refusal, done: StatusFuture) -> None:
        context = self._context
        status = done.result()
        with context.lock:
            if status.state in _state.ENDED_STATES:
                context.sessions.notify_ended(status)
            elif status.state is messages.TaskState.UNKNOWN:
                # The task is no longer pending, so nothing else would refuse
                # or run it.
                context.unrecorded_refusals.append(refusal)
