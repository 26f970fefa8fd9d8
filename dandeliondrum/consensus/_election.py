"""The task that stands for election, and leaves office without a quorum."""

import concurrent.futures
import threading
import time

import structlog

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _membership
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _works

# How long a candidate waits for its own disk.
STAND_TIMEOUT_S = 10

_logger = structlog.get_logger()


class Election:
    """Watches the leader, or, in office, the quorum."""

    def __init__(self, state: _state.NodeState) -> None:
        self._state = state

    def run(self, stopping: threading.Event) -> None:
        """Watch until the node closes."""
        state = self._state
        while not stopping.is_set():
            with state.lock:
                self._expire_pending()
                if state.leads():
                    self._watch_quorum()
                standing = self._is_due()
                transfer = state.stand_at_once
                if not standing:
                    state.election_wakes.wait(self._pause_s())
            if standing:
                self._stand(transfer)

    def _pause_s(self) -> float:
        state = self._state
        if state.leads() or state.pending:
            return state.options.heartbeat_ms / 1000
        wait_s = (state.deadline_ns - time.monotonic_ns()) / 1e9
        return max(wait_s, state.options.heartbeat_ms / 1000)

    def _is_due(self) -> bool:
        state = self._state
        if state.leads() or state.closing or state.storage_failed:
            return False
        if not state.is_voter():
            return False
        return state.stand_at_once or time.monotonic_ns() >= state.deadline_ns

    def _watch_quorum(self) -> None:
        """Leave office when no quorum has answered for long enough."""
        state = self._state
        now_ns = time.monotonic_ns()
        limit_ns = state.options.election_max_ms * _progress.NS_PER_MS
        answered_ns = max(state.quorum_answered_ns(), state.office_ns)
        if now_ns - answered_ns > limit_ns:
            _logger.warning('no quorum answers', term=state.term)
            state.end_transfer(_errors.ChangeFailure.NOT_LEADING)
            state.become_follower()
            return
        target = state.transfer_target
        if target is not None and now_ns > state.transfer_until_ns:
            _logger.warning('leadership not taken over', member=target)
            state.end_transfer(_errors.ChangeFailure.TIMEOUT)
            if state.handed_over:
                # It may still stand, and nobody would wait for this node.
                state.become_follower()

    def _expire_pending(self) -> None:
        state = self._state
        if state.leads() or not state.pending:
            return
        limit_ns = 2 * state.options.election_max_ms * _progress.NS_PER_MS
        if time.monotonic_ns() - state.deposed_ns > limit_ns:
            state.give_up_pending()

    def _stand(self, transfer: bool) -> None:
        state = self._state
        with state.lock:
            state.stand_at_once = False
            state.put_off_election()
            term = state.term
            silent_ns = time.monotonic_ns() - state.heard_ns
        _logger.info(
            'leader missed',
            member=state.me,
            term=term,
            silent_ms=silent_ns // _progress.NS_PER_MS,
            transfer=transfer,
        )
        if not transfer and not self._ask(
            _progress.Ballot(term + 1, pre_vote=True, transfer=False)
        ):
            return
        entered: concurrent.futures.Future[int | None]
        entered = concurrent.futures.Future()
        state.put(_works.Stand(term, entered))
        standing_term = entered.result(STAND_TIMEOUT_S)
        if standing_term is None:
            return
        ballot = _progress.Ballot(standing_term, False, transfer)
        if self._ask(ballot):
            self._become_leader(standing_term)

    def _ask(self, ballot: _progress.Ballot) -> bool:
        """Open a ballot and wait; True when it is won."""
        state = self._state
        limit_ms = state.options.election_min_ms
        end_ns = time.monotonic_ns() + limit_ms * _progress.NS_PER_MS
        expected_term = ballot.term - 1 if ballot.pre_vote else ballot.term
        with state.lock:
            if state.term != expected_term or state.leads():
                return False
            state.ballot = ballot
            state.peers_wake.notify_all()
            while state.ballot is ballot and not state.closing:
                wait_ns = end_ns - time.monotonic_ns()
                if self._won(ballot):
                    state.ballot = None
                    return state.term == expected_term
                if wait_ns <= 0 or self._lost(ballot):
                    break
                state.election_wakes.wait(wait_ns / 1e9)
            if state.ballot is ballot:
                state.ballot = None
            return False

    def _won(self, ballot: _progress.Ballot) -> bool:
        voters = self._state.history.current.voters
        granted = [
            voter
            for voter in voters
            if voter.controller_id == self._state.me
            or voter.controller_id in ballot.granted
        ]
        quorum = _membership.quorum_count(self._state.history.current)
        return len(granted) >= quorum

    def _lost(self, ballot: _progress.Ballot) -> bool:
        voters = self._state.history.current.voters
        quorum = _membership.quorum_count(self._state.history.current)
        return len(voters) - len(ballot.refused) < quorum

    def _become_leader(self, term: int) -> None:
        state = self._state
        empty = _works.Proposal(
            _records.EntryKind.EMPTY, b'', concurrent.futures.Future()
        )
        with state.lock:
            if state.term != term or state.leads() or state.closing:
                return
            if not state.is_voter():
                return
            state.become_leader()
            state.works.appendleft(empty)
            state.proposals_waiting += 1
            state.writer_wakes.notify()
        state.metrics.elections_won.inc()
        _logger.info('leading', term=term, member=state.me)
