"""Questions about tasks, and their cancellation."""

import concurrent.futures
import typing

from returns import result

from dandeliondrum import consensus
from dandeliondrum.controller import _context
from dandeliondrum.controller import _state
from dandeliondrum import messages
from dandeliondrum import rules as rules_lib
from dandeliondrum import utils


class Queries:
    """The leader's part that reports to callers where their tasks stand."""

    def __init__(self, context: _context.Context) -> None:
        self._context = context

    def query(
        self, call: messages.QueryTasks
    ) -> concurrent.futures.Future[typing.Any]:
        """Return where tasks stand, after making sure to be the leader."""
        refused = self._key_refused(call.team_id, call.key)
        if refused is not None:
            return utils.resolved(refused)

        def answer(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> typing.Any:
            if isinstance(outcome, result.Success):
                return self._look(call)
            return messages.CallFailed('not the leader any more', True)

        return utils.then(self._context.node.confirm(), answer)

    def _key_refused(
        self, team_id: messages.TeamId, key: str
    ) -> messages.CallFailed | None:
        """Return a refusal unless the key is the team's.

        No queue is named, so that an open queue opens nothing here.
        """
        with self._context.state.lock:
            rules = self._context.state.rules
        no_queue = messages.QueueName('')
        allowed = rules_lib.authorize(rules, team_id, no_queue, key)
        if isinstance(allowed, result.Failure):
            return messages.CallFailed(allowed.failure().value, True)
        return None

    def _look(self, call: messages.QueryTasks) -> messages.TaskStatuses:
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
        task = self._context.state.tasks.get(task_id)
        if task is not None and task.spec.team_id == team_id:
            return task.status()
        if task_id in self._context.pending:
            return messages.TaskStatus(task_id, messages.TaskState.QUEUED)
        return messages.TaskStatus(task_id, messages.TaskState.UNKNOWN)

    def cancel(
        self, call: messages.CancelCall
    ) -> concurrent.futures.Future[typing.Any]:
        """Cancel tasks, thousands in one call if need be."""
        context = self._context
        refused = self._key_refused(call.team_id, call.key)
        if refused is not None:
            return utils.resolved(refused)
        prefix = f'{call.team_id}/'
        own = tuple(one for one in call.task_ids if one.startswith(prefix))
        with context.lock:
            for task_id in own:
                context.drop_pending(task_id)
        committed = context.propose(
            messages.CancelTasks(context.now_ms(), own, call.team_id)
        )
        return utils.then(committed, self._cancelled)

    def _cancelled(
        self, outcome: result.Result[typing.Any, consensus.ProposeError]
    ) -> typing.Any:
        if isinstance(outcome, result.Failure):
            return messages.CallFailed(outcome.failure().failure.value, False)
        statuses = outcome.unwrap()
        with self._context.lock:
            for status in statuses:
                if status.state in _state.ENDED_STATES:
                    self._context.sessions.end(status)
        return messages.TaskStatuses(statuses)
