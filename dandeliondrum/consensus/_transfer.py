"""Hands the lead to another voter.

The leader takes no more proposals, finishes those that it has, and asks the
successor to stand for election at once. All functions are called with the
state's lock held.
"""

import time

from dandeliondrum.consensus import _membership
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _state
from dandeliondrum import messages


def begin(state: _state.NodeState, target: messages.ControllerId) -> None:
    """Take no more proposals and let this voter lead, within a time."""
    limit_ns = state.options.election_max_ms * _progress.NS_PER_MS
    state.transfer_until_ns = time.monotonic_ns() + limit_ns
    state.transfer_target = target
    state.handed_over = False
    state.peers_wake.notify_all()


def begin_if_full(state: _state.NodeState) -> None:
    """Let a voter lead whose disk has room, if one is up."""
    best = best_successor(state)
    if best is not None and state.leads() and not state.transfer_target:
        begin(state, best)


def best_successor(
    state: _state.NodeState,
) -> messages.ControllerId | None:
    """Return the voter that is up, has room and the longest log."""
    now_ns = time.monotonic_ns()
    limit_ns = state.options.election_min_ms * _progress.NS_PER_MS
    found = [
        (progress.match_index, controller_id)
        for controller_id, progress in state.progress.items()
        if _membership.voter(state.history.current, controller_id)
        and not progress.lost_disk_id
        and not progress.storage_full
        and now_ns - progress.answered_ns < limit_ns
    ]
    return max(found)[1] if found else None
