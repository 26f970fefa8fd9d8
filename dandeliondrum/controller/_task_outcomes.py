"""What callers see: statuses and refusals, each in one place."""

import collections.abc
import typing

from returns import result

from dandeliondrum import consensus
from dandeliondrum.controller import _records
from dandeliondrum import messages

RETRY_AFTER_MS = 1_000


def not_allowed(
    task_id: messages.TaskId,
    task: _records.TaskRecord | None,
    reason: messages.RefusalReason,
) -> messages.TaskStatus:
    """Turn a key away without claiming more than is known.

    The id may have been run when its key still held.
    """
    may_have_run = task is not None and task.attempts_count > 0
    state = messages.TaskState.REFUSED
    if may_have_run:
        state = messages.TaskState.IN_DOUBT
    return messages.TaskStatus(task_id, state, reason, 'key not accepted')


def conflict(task_id: messages.TaskId) -> messages.TaskStatus:
    """Turn away an id that was used with another body."""
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
    """Return a refusal of a task, for the log."""
    return messages.Refusal(
        spec.task_id,
        spec.team_id,
        spec.body_digest,
        reason,
        detail,
        retry_after_ms,
    )


def unless_failed(
    status: messages.TaskStatus,
    outcome: result.Result[typing.Any, consensus.ProposeError],
) -> messages.TaskStatus:
    """Return the status if the outcome is a success."""
    if isinstance(outcome, result.Success):
        return status
    return messages.TaskStatus(
        status.task_id,
        messages.TaskState.UNKNOWN,
        detail='the leader was deposed',
    )


def storage_full(
    task_id: messages.TaskId, error: consensus.ProposeError
) -> messages.TaskStatus:
    """Refuse without a record, as there is no room for one.

    The log vouches that it holds nothing of the task.
    """
    state = messages.TaskState.UNKNOWN
    if error.not_done:
        state = messages.TaskState.REFUSED
    return messages.TaskStatus(
        task_id,
        state,
        messages.RefusalReason.STORAGE_FULL,
        'the controllers have no room left on their disks',
        RETRY_AFTER_MS,
    )


def pick_status(
    position: int, task_id: messages.TaskId
) -> collections.abc.Callable[[typing.Any], messages.TaskStatus]:
    """Return what picks one status out of what applying a command gave."""

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
