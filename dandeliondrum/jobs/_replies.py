"""Replies of the leader to calls that the log has refused."""

import typing

from dandeliondrum import consensus
from dandeliondrum.jobs import _admission
from dandeliondrum import messages


def heartbeat_refusal(error: consensus.ProposeError) -> typing.Any:
    """Return the reply to a heartbeat that a quorum has not confirmed.

    A leader whose log accepts nothing for now may still lead, so the gateway
    keeps its stream and sends the next heartbeat later.
    """
    match error.failure:
        case (
            consensus.ProposeFailure.OVERLOADED
            | consensus.ProposeFailure.STORAGE_FULL
        ):
            return messages.CallFailed(
                str(error.failure.value),
                True,
                _admission.RETRY_AFTER_MIN_MS,
            )
    return failure_reply(error)


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
