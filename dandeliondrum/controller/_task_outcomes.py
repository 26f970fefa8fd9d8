"""Statuses and refusals that are sent to callers."""

import collections.abc
import typing

from returns import result

from dandeliondrum import consensus
from dandeliondrum.controller import _records
from dandeliondrum import messages

RETRY_AFTER_MS = 1_000


def unauthorized(
    task_id: messages.TaskId,
    task: _records.TaskRecord | None,
    reason: messages.RefusalReason,
) -> messages.TaskStatus:
    """Return the status of a task whose key is not accepted.

    The status is in doubt if the task has had an attempt, which may have
    run while the key was valid.
    """
    may_have_run = task is not None and task.attempts_count > 0
    state = messages.TaskState.REFUSED
    if may_have_run:
        state = messages.TaskState.IN_DOUBT
    return messages.TaskStatus(task_id, state, reason, 'key not accepted')


def id_conflict(task_id: messages.TaskId) -> messages.TaskStatus:
    """Return the status of a task whose id was used with another body."""
    return messages.TaskStatus(
        task_id,
        messages.TaskState.REFUSED,
        messages.RefusalReason.ID_CONFLICT,
        'this id was used with another body',
    )


def refusal(
    spec: messages.TaskSpec,
    reason: messages.RefusalReason,
    detail: str,
    retry_after_ms: int = 0,
) -> messages.Refusal:
    """Build a refusal that can be committed to the log."""
    return messages.Refusal(
        spec.task_id,
        spec.team_id,
        spec.body_digest,
        reason,
        detail,
        retry_after_ms,
    )


def status_if_confirmed(
    status: messages.TaskStatus,
    outcome: result.Result[typing.Any, consensus.ProposeError],
) -> messages.TaskStatus:
    """Return the status if leadership is confirmed, else an unknown one."""
    if isinstance(outcome, result.Success):
        return status
    return messages.TaskStatus(
        status.task_id,
        messages.TaskState.UNKNOWN,
        detail='this controller is no longer the leader',
    )


def storage_full(
    task_id: messages.TaskId, error: consensus.ProposeError
) -> messages.TaskStatus:
    """Return the status of a task not recorded for lack of disk space.

    It is refused if the log guarantees that the command was not stored
    (``never_committed``), and unknown otherwise.
    """
    state = messages.TaskState.UNKNOWN
    if error.never_committed:
        state = messages.TaskState.REFUSED
    return messages.TaskStatus(
        task_id,
        state,
        messages.RefusalReason.STORAGE_FULL,
        'the controllers have no free disk space left',
        RETRY_AFTER_MS,
    )


def status_picker(
    position: int, task_id: messages.TaskId
) -> collections.abc.Callable[[typing.Any], messages.TaskStatus]:
    """Return a function that extracts one status from a command's outcome."""

    def pick(
        outcome: result.Result[typing.Any, consensus.ProposeError],
    ) -> messages.TaskStatus:
        if isinstance(outcome, result.Success):
            return outcome.unwrap()[position]
        error = outcome.failure()
        if error.failure is consensus.ProposeFailure.STORAGE_FULL:
            return storage_full(task_id, error)
        return messages.TaskStatus(
            task_id,
            messages.TaskState.UNKNOWN,
            detail=error.failure.value,
        )

    return pick
