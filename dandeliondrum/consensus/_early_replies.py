"""Replies to heartbeats that do not wait for the disk."""

from dandeliondrum.consensus import _interfaces
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _state


def reply_to_heartbeat(
    state: _state.NodeState, message: _messages.AppendEntries
) -> _messages.AppendReply | None:
    """Return the reply to a heartbeat that arrives during work on files.

    Returns None if the writer thread has to reply. The reply confirms that
    this node follows the leader, and nothing about the log. The writer enters
    no later term meanwhile, so a vote that it has granted shows in the term,
    and the next one is refused because of this heartbeat. The caller holds
    the lock and has recorded the contact with the leader.
    """
    if not state.has_disk_work() or message.records:
        return None
    if state.disk_work_exceeds(_state.FOLLOWER_DISK_FACTOR):
        return None
    if state.role is not _interfaces.Role.FOLLOWER:
        return None
    if (message.term, message.disk_id) != (state.term, state.disk_id):
        return None
    return _messages.AppendReply(
        state.term,
        _messages.Outcome.STORED,
        match_index=0,
        # The leader knows of no later entry that is stored here.
        last_index=message.previous_index,
        disk_id=state.disk_id,
        storage_full=state.storage_full,
    )
