"""Thread that starts elections, and steps down when quorum is lost."""

import concurrent.futures
import threading
import time

import structlog

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _membership
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _transfer
from dandeliondrum.consensus import _work_items
from dandeliondrum import messages

# How long a candidate waits until its new term is stored on its own disk.
TERM_WRITE_TIMEOUT_S = 10

# A lost ballot is logged when its outcome changes, and once in this time.
LOST_BALLOT_LOG_INTERVAL_NS = 5_000_000_000

_logger = structlog.get_logger()


class Election:
    """Starts an election when the leader is silent.

    On the leader it checks the contact with the quorum instead.
    """

    def __init__(self, state: _state.NodeState) -> None:
        self._state = state
        # Until when messages may be unhandled because this process was late,
        # and the last contact when that was noticed.
        self._late_until_ns = 0
        self._late_contact_ns = 0
        self._missing_voters: list[messages.ControllerId] = []
        self._lost_ballot_outcome: object = None
        self._lost_ballot_logged_ns = 0

    def run(self, stopping: threading.Event) -> None:
        """Run the election timer and quorum checks until the node closes."""
        while not stopping.is_set():
            self._step()

    def _step(self) -> None:
        state = self._state
        with state.lock:
            self._expire_pending_proposals()
            if state.is_leader():
                self._check_quorum()
            self._report_missing_voters()
            election_due = self._is_election_due()
            transfer = state.election_requested
            if not election_due:
                self._wait(self._wait_timeout_s())
        if election_due:
            self._run_election(transfer)

    def _wait(self, timeout_s: float) -> None:
        """Wait and notice if this thread is woken late.

        Then the threads that handle messages may be late, too: what seems to
        be the silence of the others may be this process's own. They get as
        long as this thread was late to handle what has arrived, at most the
        shortest election timeout. A process that is always late gets that
        once for each silence, so that a lost leader is still missed.
        """
        options = self._state.options
        due_ns = time.monotonic_ns() + int(timeout_s * 1e9)
        self._state.election_condition.wait(timeout_s)
        now_ns = time.monotonic_ns()
        late_ns = now_ns - due_ns
        contact_ns = self._contact_ns()
        if contact_ns == self._late_contact_ns:
            return
        if late_ns >= options.heartbeat_ms * _progress.NS_PER_MS:
            limit_ns = options.election_min_ms * _progress.NS_PER_MS
            self._late_until_ns = now_ns + min(late_ns, limit_ns)
            self._late_contact_ns = contact_ns

    def _contact_ns(self) -> int:
        """Return when the leader, or its quorum, was last heard."""
        state = self._state
        if state.is_leader():
            return max(state.quorum_contact_ns(), state.elected_ns)
        return state.leader_contact_ns

    def _may_have_unhandled(self) -> bool:
        return time.monotonic_ns() < self._late_until_ns

    def _wait_timeout_s(self) -> float:
        state = self._state
        if state.is_leader() or state.pending:
            return state.options.heartbeat_ms / 1000
        wait_s = (state.election_deadline_ns - time.monotonic_ns()) / 1e9
        return max(wait_s, state.options.heartbeat_ms / 1000)

    def _is_election_due(self) -> bool:
        state = self._state
        if state.is_leader() or state.closing or state.storage_failed:
            return False
        if not state.is_voter():
            return False
        if state.election_requested:
            return True
        if self._may_have_unhandled():
            return False
        if state.disk_work_exceeds(_state.LEADER_DISK_FACTOR):
            return False
        return time.monotonic_ns() >= state.election_deadline_ns

    def _check_quorum(self) -> None:
        """Step down after the longest election timeout without a quorum.

        Also steps down if the own disk stalls, and ends a leadership transfer
        that has timed out.
        """
        state = self._state
        state.update_election_backoff()
        now_ns = time.monotonic_ns()
        limit_ns = (
            state.election_backoff
            * state.options.election_max_ms
            * _progress.NS_PER_MS
        )
        silent_ns = now_ns - self._contact_ns()
        is_silent = silent_ns > limit_ns and not self._may_have_unhandled()
        is_stalled = state.is_leader_disk_stalled()
        if is_silent or is_stalled:
            why = 'disk stalled' if is_stalled else 'no quorum answers'
            _logger.warning(why, term=state.term)
            state.end_transfer(_errors.ChangeFailure.NOT_LEADING)
            state.become_follower()
            return
        if _transfer.has_timed_out(state):
            _logger.warning(
                'leadership transfer timed out', member=state.transfer_target
            )
            state.end_transfer(_errors.ChangeFailure.TIMEOUT)
            if state.timeout_now_sent:
                # The target may still start an election, and its voters do
                # not wait until this leader's lease has run out.
                state.become_follower()

    def _report_missing_voters(self) -> None:
        """Log and count the voters that a leader does not reach."""
        state = self._state
        missing = state.missing_voters() if state.is_leader() else []
        voters_count = len(state.history.current.voters)
        state.metrics.voters.set(voters_count)
        state.metrics.voters_missing.set(len(missing))
        if missing == self._missing_voters:
            return
        self._missing_voters = missing
        if state.is_leader():
            quorum = _membership.quorum_count(state.history.current)
            _logger.info(
                'missing voters changed',
                missing=missing,
                voters_count=voters_count,
                losses_left=voters_count - len(missing) - quorum,
            )

    def _expire_pending_proposals(self) -> None:
        state = self._state
        if state.is_leader() or not state.pending:
            return
        limit_ns = 2 * state.options.election_max_ms * _progress.NS_PER_MS
        if time.monotonic_ns() - state.deposed_ns > limit_ns:
            state.fail_pending_proposals()

    def _run_election(self, transfer: bool) -> None:
        state = self._state
        with state.lock:
            state.election_requested = False
            state.reset_election_timer()
            term = state.term
            silent_ns = time.monotonic_ns() - state.leader_contact_ns
        _logger.info(
            'leader missed',
            member=state.node_id,
            term=term,
            silent_ms=silent_ns // _progress.NS_PER_MS,
            transfer=transfer,
        )
        if not transfer and not self._collect_votes(
            _progress.Ballot(term + 1, pre_vote=True, transfer=False)
        ):
            return
        entered_term: concurrent.futures.Future[int | None]
        entered_term = concurrent.futures.Future()
        state.enqueue_work(
            _work_items.StartElection(term, transfer, entered_term)
        )
        new_term = entered_term.result(TERM_WRITE_TIMEOUT_S)
        if new_term is None:
            return
        if transfer:
            with state.lock:
                state.transfer_term = new_term
        ballot = _progress.Ballot(new_term, False, transfer)
        if self._collect_votes(ballot):
            self._become_leader(new_term)

    def _collect_votes(self, ballot: _progress.Ballot) -> bool:
        """Request votes for a ballot and wait; True when it is won."""
        state = self._state
        limit_ns = state.ballot_timeout_ms(ballot) * _progress.NS_PER_MS
        end_ns = time.monotonic_ns() + limit_ns
        expected_term = ballot.term - 1 if ballot.pre_vote else ballot.term
        with state.lock:
            if state.term != expected_term or state.is_leader():
                return False
            state.ballot = ballot
            state.wake_peers()
            while state.ballot is ballot and not state.closing:
                wait_ns = end_ns - time.monotonic_ns()
                if self._is_won(ballot):
                    state.ballot = None
                    return state.term == expected_term
                if wait_ns <= 0 or self._is_lost(ballot):
                    break
                state.election_condition.wait(wait_ns / 1e9)
            if state.ballot is ballot:
                state.ballot = None
                self._log_lost_ballot(ballot)
            return False

    def _log_lost_ballot(self, ballot: _progress.Ballot) -> None:
        """Log who did not vote for this node, and why."""
        state = self._state
        current = state.history.current
        refusals = {
            voter.controller_id: ballot.refused.get(
                voter.controller_id, _messages.VoteRefusal.NO_REPLY
            ).value
            for voter in current.voters
            if voter.controller_id != state.node_id
            and voter.controller_id not in ballot.granted
        }
        now_ns = time.monotonic_ns()
        outcome = (ballot.pre_vote, state.history.index, refusals)
        logged_ago_ns = now_ns - self._lost_ballot_logged_ns
        if (
            outcome == self._lost_ballot_outcome
            and logged_ago_ns < LOST_BALLOT_LOG_INTERVAL_NS
        ):
            return
        self._lost_ballot_outcome = outcome
        self._lost_ballot_logged_ns = now_ns
        _logger.info(
            'votes missing',
            term=ballot.term,
            pre_vote=ballot.pre_vote,
            granted=sorted(ballot.granted),
            refusals=refusals,
            failures={
                member_id: ballot.failures.get(member_id, 'timeout')
                for member_id, why in refusals.items()
                if why == _messages.VoteRefusal.NO_REPLY.value
            },
            quorum=_membership.quorum_count(current),
            membership_index=state.history.index,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
        )

    def _is_won(self, ballot: _progress.Ballot) -> bool:
        voters = self._state.history.current.voters
        granted = [
            voter
            for voter in voters
            if voter.controller_id == self._state.node_id
            or voter.controller_id in ballot.granted
        ]
        quorum = _membership.quorum_count(self._state.history.current)
        return len(granted) >= quorum

    def _is_lost(self, ballot: _progress.Ballot) -> bool:
        voters = self._state.history.current.voters
        quorum = _membership.quorum_count(self._state.history.current)
        return len(voters) - len(ballot.refused) < quorum

    def _become_leader(self, term: int) -> None:
        state = self._state
        empty = _work_items.Proposal(
            _records.EntryKind.EMPTY, b'', concurrent.futures.Future()
        )
        with state.lock:
            if state.term != term or state.is_leader() or state.closing:
                return
            if not state.is_voter():
                return
            state.become_leader()
            state.work_queue.appendleft(empty)
            state.queued_proposals_count += 1
            state.writer_condition.notify()
        state.metrics.elections_won.inc()
        _logger.info('leading', term=term, member=state.node_id)
