"""Handling of the replies to AppendEntries on the leader."""

import structlog

from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _state

_logger = structlog.get_logger()


def handle_append_reply(
    state: _state.NodeState,
    progress: _progress.Progress,
    request: _messages.AppendEntries,
    sent_ns: int,
    reply: _messages.AppendReply,
) -> bool:
    """Update a follower's progress; False asks the caller to back off.

    ``sent_ns`` is the monotonic time in nanoseconds at which the request was
    sent. The caller holds the lock and has checked that the reply belongs to
    the term in which this node leads.
    """
    entries_lost = (
        reply.outcome is _messages.Outcome.WRONG_DISK
        or reply.last_index < progress.match_index
    )
    if entries_lost:
        if not progress.readmission_disk_id:
            _logger.warning(
                'member lost acknowledged entries', disk_id=reply.disk_id
            )
        progress.readmission_disk_id = reply.disk_id
        state.membership_condition.notify()
        return False
    match reply.outcome:
        case _messages.Outcome.STORED:
            progress.record_answer(sent_ns)
            progress.storage_full = reply.storage_full
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(
                progress.next_index, progress.match_index + 1
            )
            state.advance_commit()
            if state.history.current.learners:
                # A learner may have caught up, or a quorum be reachable now.
                state.membership_condition.notify()
            return True
        case _messages.Outcome.MISMATCH:
            progress.record_answer(sent_ns)
            progress.next_index = (
                max(progress.match_index, reply.match_index) + 1
            )
            return progress.next_index != request.previous_index + 1
        case _messages.Outcome.STORAGE_FULL:
            progress.record_answer(sent_ns)
            progress.storage_full = True
            return False
    return False
