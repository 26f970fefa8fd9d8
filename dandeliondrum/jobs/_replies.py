"""Replies of the leader to calls whose command was not committed."""

import typing

from dandeliondrum import consensus
from dandeliondrum.jobs import _admission
from dandeliondrum import messages


def failure_reply(error: consensus.ProposeError) -> typing.Any:
    """Return a reply that tells whether the command may still be applied.

    NotLeader closes the stream to the caller, so it is returned only if
    leadership is lost, not if the log is full or the command too large.
    """
    reason = str(error.failure.value)
    match error.failure:
        case consensus.ProposeFailure.OVERLOADED:
            return messages.CallFailed(
                reason,
                error.never_committed,
                _admission.RETRY_AFTER_MIN_MS,
            )
        case (
            consensus.ProposeFailure.STORAGE_FULL
            | consensus.ProposeFailure.TOO_LARGE
        ):
            # Another leader may have space, so the call may be repeated at
            # once.
            return messages.CallFailed(reason, error.never_committed)
    if error.never_committed:
        return messages.NotLeader()
    return messages.CallFailed(reason, False)
