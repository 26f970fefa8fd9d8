"""What the leader learns from the answers to entries."""

import structlog

from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _state

_logger = structlog.get_logger()


def note_append(
    state: _state.NodeState,
    progress: _progress.Progress,
    request: _messages.AppendEntries,
    sent_ns: int,
    reply: _messages.AppendReply,
) -> bool:
    """Take in what a follower did; False asks for a pause.

    ``sent_ns`` is when the entries were sent. The caller holds the lock and
    has seen that the reply is of the term in which this node leads.
    """
    lost = (
        reply.outcome is _messages.Outcome.WRONG_DISK
        or reply.last_index < progress.match_index
    )
    if lost:
        if not progress.lost_disk_id:
            _logger.warning('disk of a member replaced', disk_id=reply.disk_id)
        progress.lost_disk_id = reply.disk_id
        state.steward_wakes.notify()
        return False
    match reply.outcome:
        case _messages.Outcome.STORED:
            progress.answered_ns = sent_ns
            progress.storage_full = reply.storage_full
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(
                progress.next_index, progress.match_index + 1
            )
            state.advance_commit()
            state.steward_wakes.notify()
            return True
        case _messages.Outcome.MISMATCH:
            progress.answered_ns = sent_ns
            progress.next_index = (
                max(progress.match_index, reply.match_index) + 1
            )
            return progress.next_index != request.previous_index + 1
        case _messages.Outcome.STORAGE_FULL:
            progress.answered_ns = sent_ns
            progress.storage_full = True
            return False
    return False
