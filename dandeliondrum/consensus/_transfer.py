"""Leadership transfer to another voter.

The leader refuses new proposals, completes pending ones, and asks the
successor to start an election immediately. All functions are called with the
state's lock held.
"""

import time

from dandeliondrum.consensus import _membership
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _state
from dandeliondrum import messages


def begin(state: _state.NodeState, target: messages.ControllerId) -> None:
    """Start a transfer to ``target``.

    The target has to catch up within ``election_max_ms``, and then to win the
    election within the time that votes may take.
    """
    limit_ns = state.options.election_max_ms * _progress.NS_PER_MS
    state.transfer_deadline_ns = time.monotonic_ns() + limit_ns
    state.transfer_target = target
    state.timeout_now_sent = False
    state.wake_peers()


def begin_if_full(state: _state.NodeState) -> None:
    """Start a transfer to a reachable voter with enough disk space, if any."""
    best = best_successor(state)
    if best is not None and state.is_leader() and not state.transfer_target:
        begin(state, best)


def has_timed_out(state: _state.NodeState) -> bool:
    """Return whether a transfer is under way and takes too long."""
    if state.transfer_target is None:
        return False
    deadline_ns = state.transfer_deadline_ns
    if state.timeout_now_sent:
        deadline_ns += state.vote_timeout_ms() * _progress.NS_PER_MS
    return time.monotonic_ns() > deadline_ns


def best_successor(
    state: _state.NodeState,
) -> messages.ControllerId | None:
    """Return the best voter to lead, None when there is none.

    It is the reachable voter with enough disk space and the highest match
    index.
    """
    now_ns = time.monotonic_ns()
    limit_ns = state.options.election_min_ms * _progress.NS_PER_MS
    candidates = [
        (progress.match_index, controller_id)
        for controller_id, progress in state.progress.items()
        if _membership.voter(state.history.current, controller_id)
        and not progress.readmission_disk_id
        and not progress.storage_full
        and now_ns - progress.answered_ns < limit_ns
    ]
    return max(candidates)[1] if candidates else None
