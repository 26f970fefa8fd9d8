"""Status queries and cancellation of tasks."""

import concurrent.futures
import dataclasses
import functools
import typing

from returns import result

from dandeliondrum import consensus
from dandeliondrum.controller import _context
from dandeliondrum.controller import _pending
from dandeliondrum.controller import _queueing
from dandeliondrum.controller import _state
from dandeliondrum import messages
from dandeliondrum import rules as rules_lib
from dandeliondrum import utils

# Number of tasks that may be recorded as cancelled before their submission.
EARLY_CANCELS_MAX = 100_000


class Queries:
    """Answers status queries and cancellations on behalf of the leader."""

    def __init__(
        self, context: _context.Context, queueing: _queueing.Queueing
    ) -> None:
        self._context = context
        self._queueing = queueing

    def query(
        self, call: messages.QueryTasks
    ) -> concurrent.futures.Future[typing.Any]:
        """Return the status of tasks after confirming leadership."""
        refused = self._check_key(call.team_id, call.key)
        if refused is not None:
            return utils.completed_future(refused)

        def answer(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> typing.Any:
            if isinstance(outcome, result.Success):
                return self._find_statuses(call)
            return messages.CallFailed(
                'this controller is no longer the leader', True
            )

        return utils.map_future(
            self._context.node.confirm_leadership(), answer
        )

    def _check_key(
        self, team_id: messages.TeamId, key: str
    ) -> messages.CallFailed | None:
        """Return a refusal unless the key belongs to the team.

        The check names no queue, so that an open queue, which needs no key,
        does not grant access here.
        """
        with self._context.state.lock:
            rules = self._context.state.rules
        no_queue = messages.QueueName('')
        allowed = rules_lib.authorize(rules, team_id, no_queue, key)
        if isinstance(allowed, result.Failure):
            return messages.CallFailed(allowed.failure().value, True)
        return None

    def _find_statuses(
        self, call: messages.QueryTasks
    ) -> messages.TaskStatuses:
        context = self._context
        with context.lock, context.state.lock:
            statuses = tuple(
                self._status_of(task_id, call.team_id)
                for task_id in call.task_ids
            )
        return messages.TaskStatuses(statuses)

    def _status_of(
        self, task_id: messages.TaskId, team_id: messages.TeamId
    ) -> messages.TaskStatus:
        context = self._context
        task = context.state.tasks.get(task_id)
        if task is not None and task.spec.team_id == team_id:
            status = task.status()
            if status.state is messages.TaskState.QUEUED:
                unfit = context.planner.unfit_reason(task_id)
                return dataclasses.replace(
                    status, detail=unfit or status.detail
                )
            return status
        if task_id in context.pending:
            return messages.TaskStatus(
                task_id,
                messages.TaskState.QUEUED,
                detail=context.planner.unfit_reason(task_id),
            )
        return messages.TaskStatus(task_id, messages.TaskState.UNKNOWN)

    def cancel(
        self, call: messages.CancelCall
    ) -> concurrent.futures.Future[typing.Any]:
        """Cancel tasks; one call may name thousands of them."""
        context = self._context
        refused = self._check_key(call.team_id, call.key)
        if refused is not None:
            return utils.completed_future(refused)
        prefix = f'{call.team_id}/'
        own_ids = tuple(
            task_id for task_id in call.task_ids if task_id.startswith(prefix)
        )
        if not self._may_record(own_ids):
            return utils.completed_future(
                messages.CallFailed('too many unknown tasks', True)
            )
        with context.lock:
            dropped = self._drop_pending(own_ids)
        committed = context.propose(
            messages.CancelTasks(context.now_ms(), own_ids, call.team_id)
        )
        return utils.map_future(
            committed, functools.partial(self._on_cancelled, dropped)
        )

    def _may_record(self, task_ids: tuple[messages.TaskId, ...]) -> bool:
        """Return whether there is place for the unknown ones of the ids."""
        state = self._context.state
        with state.lock:
            unknown_count = sum(one not in state.tasks for one in task_ids)
            count = state.early_cancels_count + unknown_count
        return not unknown_count or count <= EARLY_CANCELS_MAX

    def _drop_pending(
        self, task_ids: tuple[messages.TaskId, ...]
    ) -> list[_pending.PendingEntry]:
        context = self._context
        entries = [context.pending.get(task_id) for task_id in task_ids]
        return [
            entry
            for entry in entries
            if entry is not None and context.drop_pending(entry.spec.task_id)
        ]

    def _on_cancelled(
        self,
        dropped: list[_pending.PendingEntry],
        outcome: result.Result[typing.Any, consensus.ProposeError],
    ) -> typing.Any:
        if isinstance(outcome, result.Failure):
            # A task that was cancelled after all is not assigned.
            self._queueing.requeue(dropped)
            return messages.CallFailed(outcome.failure().failure.value, False)
        statuses = outcome.unwrap()
        with self._context.lock:
            for status in statuses:
                if status.state in _state.ENDED_STATES:
                    self._context.sessions.notify_ended(status)
        return messages.TaskStatuses(statuses)
