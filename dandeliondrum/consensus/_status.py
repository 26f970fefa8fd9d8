"""Status of a node for monitoring."""

import time

from dandeliondrum.consensus import _interfaces
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _state
from dandeliondrum import messages


def read(state: _state.NodeState) -> _interfaces.NodeStatus:
    """Return the status; the caller holds the lock.

    The members are those of the last committed membership.
    """
    current = state.history.as_of(state.commit_index)
    members = [_member(state, member, True) for member in current.voters]
    members += [_member(state, member, False) for member in current.learners]
    return _interfaces.NodeStatus(
        controller_id=state.node_id,
        role=state.role,
        term=messages.Term(state.term),
        leader_id=state.leader_id,
        leading=state.has_recent_quorum(),
        last_index=messages.LogIndex(state.log.last_index),
        commit_index=messages.LogIndex(state.commit_index),
        applied_index=messages.LogIndex(state.applied_index),
        snapshot_index=messages.LogIndex(state.snapshot_index),
        disk_id=state.disk_id,
        members=tuple(members),
        grants_founding=state.options.grants_founding,
    )


def _member(
    state: _state.NodeState, member: _messages.Member, voter: bool
) -> _interfaces.MemberStatus:
    match_index = -1
    silent_ms = -1
    storage_full = False
    progress = state.progress.get(member.controller_id)
    if member.controller_id == state.node_id:
        match_index = state.synced_index
        silent_ms = 0
        storage_full = state.storage_full
    elif state.is_leader() and progress is not None:
        match_index = progress.match_index
        storage_full = progress.storage_full
        if progress.answered_ns:
            silent_ns = time.monotonic_ns() - progress.answered_ns
            silent_ms = silent_ns // _progress.NS_PER_MS
    return _interfaces.MemberStatus(
        member.controller_id,
        member.address,
        member.disk_id,
        voter,
        match_index,
        silent_ms,
        storage_full,
    )
