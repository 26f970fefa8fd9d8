"""State shared by the threads of a node, protected by one lock.

All methods are called with ``lock`` held unless stated otherwise. Only the
writer thread modifies the log, the term and the vote.
"""

import collections
import collections.abc
import concurrent.futures
import contextlib
import queue
import random
import threading
import time
import typing

from returns import result
import structlog

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _interfaces
from dandeliondrum.consensus import _log
from dandeliondrum.consensus import _membership
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _metrics
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus import _work_items
from dandeliondrum import messages
from dandeliondrum import utils

# A leader that is followed by another one before this multiple of
# ``election_max_ms`` was brief.
BRIEF_LEADER_FACTOR = 8
# A leader whose disk takes longer than this multiple of ``election_max_ms``
# to write or sync entries steps down, since it can't commit anything.
LEADER_DISK_FACTOR = 2
# The same for a compaction, which delays commits no longer than an election
# would.
LEADER_COMPACTION_FACTOR = 4
# A follower whose disk takes longer than this multiple of ``election_max_ms``
# no longer counts as reachable.
FOLLOWER_DISK_FACTOR = 4
# Each brief leader doubles the election timeouts up to this multiple.
ELECTION_BACKOFF_MAX = 4

_logger = structlog.get_logger()


class NodeState:
    """Role, term, log indexes, peers and pending futures of one node."""

    def __init__(
        self,
        options: _options.Options,
        disk_id: str,
        log: _log.Log,
        history: _membership.MembershipHistory,
        metrics: _metrics.Metrics,
    ) -> None:
        self.options = options
        self.node_id = options.controller_id
        self.disk_id = disk_id
        self.log = log
        self.history = history
        self.metrics = metrics
        self.lock = threading.RLock()
        self.writer_condition = threading.Condition(self.lock)
        self.applier_condition = threading.Condition(self.lock)
        self._peer_conditions: dict[
            messages.ControllerId, threading.Condition
        ] = {}
        self.election_condition = threading.Condition(self.lock)
        self.membership_condition = threading.Condition(self.lock)
        self.work_queue: collections.deque[_work_items.WorkItem] = (
            collections.deque()
        )
        self.queued_proposals_count = 0
        self.writer_busy = False
        self._disk_work_since_ns: int | None = None
        self._leader_disk_factor = LEADER_DISK_FACTOR
        self.role_events: queue.Queue[_work_items.RoleEvent | None] = (
            queue.Queue()
        )
        self.resolutions: queue.Queue[_work_items.Resolution | None] = (
            queue.Queue()
        )
        self.closing = False
        self.storage_failed = False
        self.storage_full = False
        self.role = _interfaces.Role.FOLLOWER
        self.term = 0
        self.voted_for = ''
        self.leader_id: messages.ControllerId | None = None
        self.leader_contact_ns = time.monotonic_ns()
        if options.started_ns is not None:
            self.leader_contact_ns = options.started_ns
        self.election_deadline_ns = 0
        self.election_backoff = 1
        self._reported_membership = _messages.Membership()
        # Term of the newest election that a leader has requested.
        self.transfer_term = 0
        self._led_term = 0
        self._led_since_ns = 0
        self.election_requested = False
        self.ballot: _progress.Ballot | None = None
        self.synced_index = log.last_index
        self.commit_index = 0
        self.applied_index = 0
        self.snapshot_index = 0
        self.snapshot_to_restore: _snapshot.Snapshot | None = None
        self.term_start_index = 0
        self.elected_ns = 0
        self.deposed_ns = 0
        self.heartbeat_requested_ns = 0
        self.leadership_reported = False
        self.transfer_target: messages.ControllerId | None = None
        self.transfer_deadline_ns = 0
        self.transfer_future: _work_items.ChangeFuture | None = None
        self.timeout_now_sent = False
        self.progress: dict[messages.ControllerId, _progress.Progress] = {}
        self.pending: dict[int, _progress.PendingProposal] = {}
        self.confirmations: list[_progress.Confirmation] = []
        self.reset_election_timer(self.leader_contact_ns)

    def enqueue_work(self, work: _work_items.WorkItem) -> None:
        """Queue work for the writer thread; acquires the lock itself."""
        with self.lock:
            self.work_queue.append(work)
            self.writer_condition.notify()

    def add_peer(self, member_id: messages.ControllerId) -> None:
        """Add the condition on which the thread of a peer waits."""
        self._peer_conditions[member_id] = threading.Condition(self.lock)

    def remove_peer(self, member_id: messages.ControllerId) -> None:
        """Remove the condition of a peer whose thread has ended."""
        self._peer_conditions.pop(member_id, None)

    def wait_as_peer(
        self, member_id: messages.ControllerId, timeout_s: float | None
    ) -> bool:
        """Wait in the thread of a peer; return False after the timeout."""
        return self._peer_conditions[member_id].wait(timeout_s)

    def wake_peer(self, member_id: messages.ControllerId) -> None:
        """Wake the thread of one peer."""
        condition = self._peer_conditions.get(member_id)
        if condition is not None:
            condition.notify()

    def wake_peers(self) -> None:
        """Wake the threads of all peers."""
        for condition in self._peer_conditions.values():
            condition.notify()

    def notify_all_threads(self) -> None:
        """Wake all threads so that they check the state again."""
        self.writer_condition.notify_all()
        self.applier_condition.notify_all()
        self.wake_peers()
        self.election_condition.notify_all()
        self.membership_condition.notify_all()

    def reset_election_timer(self, since_ns: int | None = None) -> None:
        """Set a new random election deadline.

        The timeout is counted from ``since_ns``, by default from now.
        """
        wait_ms = self.election_backoff * random.uniform(
            self.options.election_min_ms, self.options.election_max_ms
        )
        if since_ns is None:
            since_ns = time.monotonic_ns()
        self.election_deadline_ns = since_ns + int(
            wait_ms * _progress.NS_PER_MS
        )

    def yield_to_candidate(self, candidate_id: messages.ControllerId) -> None:
        """Postpone this node's election while another candidate's may run.

        Two simultaneous candidates split the votes, and both have to wait for
        another election timeout. Of two simultaneous pre-votes, the node with
        the lower id therefore cancels its own. A candidate that can't win
        does not block others for longer, since the delay is shorter than the
        interval between its attempts.
        """
        asks = self.ballot is not None and self.ballot.pre_vote
        if asks and candidate_id > self.node_id:
            self.ballot = None
            self.election_condition.notify()
        ballot_ms = self.options.election_min_ms // 2
        self.election_deadline_ns = max(
            self.election_deadline_ns,
            time.monotonic_ns() + ballot_ms * _progress.NS_PER_MS,
        )

    def ballot_timeout_ms(self, ballot: _progress.Ballot) -> int:
        """Return how long to wait for the answers to a ballot.

        A voter writes its vote to the disk before it answers. A candidate
        that gave up before would have to write a new term, and so would its
        voters, again and again.
        """
        if ballot.pre_vote:
            return self.options.election_min_ms
        return self.vote_timeout_ms()

    def vote_timeout_ms(self) -> int:
        """Return how long votes may take, with the writes to the disks."""
        return 2 * self.options.election_max_ms

    def record_leader_contact(self, leader_id: messages.ControllerId) -> None:
        """Record a message of the leader and restart the election timer.

        A pre-vote in progress is cancelled.
        """
        self.leader_id = leader_id
        self.leader_contact_ns = time.monotonic_ns()
        self.update_election_backoff()
        self.reset_election_timer()
        if self.ballot is not None and self.ballot.pre_vote:
            self.ballot = None
            self.election_condition.notify()

    def update_election_backoff(self) -> None:
        """Lengthen the election timeouts while leaders follow each other.

        A leader that is short of processor time sends late. Its successor
        takes over the same load, so it would be deposed in turn, and nothing
        would be served between the elections. A leader that lasts ends this,
        for itself as for its followers. A leader that transferred its
        leadership was not deposed.
        """
        now_ns = time.monotonic_ns()
        brief_ns = (
            BRIEF_LEADER_FACTOR
            * self.options.election_max_ms
            * _progress.NS_PER_MS
        )
        is_brief = now_ns - self._led_since_ns < brief_ns
        if self.term != self._led_term:
            if not self._led_term or not is_brief:
                self.election_backoff = 1
            elif self.term != self.transfer_term:
                self.election_backoff = min(
                    2 * self.election_backoff, ELECTION_BACKOFF_MAX
                )
            self._led_term, self._led_since_ns = self.term, now_ns
        elif not is_brief:
            self.election_backoff = 1

    def is_voter(self) -> bool:
        """Return whether this node is a voter with its current disk."""
        own = _membership.voter(self.history.current, self.node_id)
        return own is not None and own.disk_id == self.disk_id

    def has_recent_leader(self) -> bool:
        """Return whether a leader was heard within an election timeout.

        No vote may be granted then, since the leader may still count this
        node's last reply towards the quorum that keeps it in its role. The
        leader counts a reply for ``election_min_ms``, which is never longer
        than this timeout.
        """
        silent_ns = time.monotonic_ns() - self.leader_contact_ns
        timeout_ms = self.election_backoff * self.options.election_min_ms
        return silent_ns < timeout_ms * _progress.NS_PER_MS

    def is_leader(self) -> bool:
        """Return whether the role is leader, even without a recent quorum."""
        return self.role is _interfaces.Role.LEADER

    def has_recent_quorum(self) -> bool:
        """Return whether this leader was confirmed within ``election_min_ms``.

        A quorum must have answered a request sent within that time.
        """
        if not self.is_leader() or self.storage_failed:
            return False
        if self.transfer_target is not None and self.timeout_now_sent:
            # In a transfer the voters do not wait for the election timeout,
            # so that the successor may already lead.
            return False
        silent_ns = time.monotonic_ns() - self.quorum_contact_ns()
        return silent_ns < self.options.election_min_ms * _progress.NS_PER_MS

    def quorum_contact_ns(self) -> int:
        """Return the latest time at which a quorum followed this leader.

        It is the sending time of requests that a quorum has answered, in
        monotonic nanoseconds, or 0 when there are none.
        """
        times = []
        for voter in self.history.current.voters:
            if voter.controller_id == self.node_id:
                times.append(time.monotonic_ns())
            else:
                progress = self._quorum_progress(voter.controller_id)
                times.append(progress.answered_ns if progress else 0)
        return self._quorum_value(times)

    def advance_commit(self) -> None:
        """Commit entries that a quorum has synced.

        Only entries of the current term are committed by counting replicas;
        earlier ones are committed along with them.
        """
        if not self.is_leader():
            return
        indexes = []
        for voter in self.history.current.voters:
            if voter.controller_id == self.node_id:
                indexes.append(self.synced_index)
            else:
                progress = self._quorum_progress(voter.controller_id)
                indexes.append(progress.match_index if progress else 0)
        index = self._quorum_value(indexes)
        if index <= self.commit_index:
            return
        if self.log.term_at(index) == self.term:
            self.commit_index = index
            self.applier_condition.notify()

    def _quorum_progress(
        self, controller_id: messages.ControllerId
    ) -> _progress.Progress | None:
        progress = self.progress.get(controller_id)
        if progress is None or progress.readmission_disk_id:
            return None
        return progress

    def _quorum_value(self, values: list[int]) -> int:
        quorum = _membership.quorum_count(self.history.current)
        if len(values) < quorum:
            return 0
        return sorted(values, reverse=True)[quorum - 1]

    @contextlib.contextmanager
    def disk_work(
        self, leader_factor: int = LEADER_DISK_FACTOR
    ) -> collections.abc.Iterator[None]:
        """Mark that the writer thread works on files, and on nothing else.

        No later term may be entered within, and no vote granted in one:
        heartbeats of the current term are answered meanwhile. A leader steps
        down after ``leader_factor`` times the longest election timeout.
        Acquires the lock itself, and does not hold it during the work.
        """
        with self.lock:
            self._leader_disk_factor = leader_factor
            self._disk_work_since_ns = time.monotonic_ns()
        try:
            yield
        finally:
            with self.lock:
                self._disk_work_since_ns = None

    def has_disk_work(self) -> bool:
        """Return whether the writer thread works on files only."""
        return self._disk_work_since_ns is not None

    def is_leader_disk_stalled(self) -> bool:
        """Return whether work on files takes too long for a leader."""
        return self.disk_work_exceeds(self._leader_disk_factor)

    def disk_work_exceeds(self, factor: int) -> bool:
        """Return whether work on files takes longer than expected.

        That is ``factor`` times the longest election timeout.
        """
        since_ns = self._disk_work_since_ns
        if since_ns is None:
            return False
        timeout_ms = self.election_backoff * self.options.election_max_ms
        limit_ns = factor * timeout_ms * _progress.NS_PER_MS
        return time.monotonic_ns() - since_ns > limit_ns

    def become_follower(self) -> None:
        """Step down as leader or candidate."""
        was_leader = self.is_leader()
        self.role = _interfaces.Role.FOLLOWER
        self.ballot = None
        done = self.timeout_now_sent and self.transfer_target is not None
        self.end_transfer(None if done else _errors.ChangeFailure.NOT_LEADING)
        if was_leader:
            self.deposed_ns = time.monotonic_ns()
            self.leader_id = None
            self.reset_election_timer()
        if self.leadership_reported:
            self.leadership_reported = False
            self.role_events.put(_work_items.StoppedLeading())
        self._fail_confirmations()
        self.notify_all_threads()

    def become_leader(self) -> None:
        """Become the leader of the current term.

        The caller has to queue the first entry of the term for the writer, or
        append it.
        """
        self.role = _interfaces.Role.LEADER
        self.ballot = None
        self.leader_id = self.node_id
        self.elected_ns = time.monotonic_ns()
        self.update_election_backoff()
        self.term_start_index = 0
        self.progress = {}
        self.update_peers()
        self.notify_all_threads()

    def update_peers(self) -> None:
        """Update the progress of the peers after a membership change."""
        current = self.history.current
        for member in current.voters + current.learners:
            if member.controller_id == self.node_id:
                continue
            known = self.progress.get(member.controller_id)
            readmitted = (
                known is not None
                and known.readmission_disk_id
                and member in current.learners
            )
            if known is None or known.disk_id != member.disk_id or readmitted:
                progress = _progress.Progress(
                    member.disk_id, self.log.last_index + 1
                )
                if member in current.learners:
                    # It has just sent the id of its disk. Only the answers
                    # of voters count towards a quorum.
                    progress.answered_ns = time.monotonic_ns()
                self.progress[member.controller_id] = progress
        for controller_id in list(self.progress):
            if _membership.member(current, controller_id) is None:
                del self.progress[controller_id]
        self.membership_condition.notify()
        self.report_membership()

    def report_membership(self) -> None:
        """Log the membership in effect if it differs from the last one."""
        current = self.history.current
        if current == self._reported_membership:
            return
        self._reported_membership = current
        _logger.info(
            'membership changed',
            index=self.history.index,
            term=self.term,
            voters=[one.controller_id for one in current.voters],
            learners=[one.controller_id for one in current.learners],
            votes_here=self.is_voter(),
        )

    def missing_voters(self) -> list[messages.ControllerId]:
        """Return the voters that don't count towards a quorum at present.

        They have not answered within the shortest election timeout, or have
        lost entries that they had acknowledged. Only the leader knows them.
        """
        oldest_ns = (
            time.monotonic_ns()
            - self.options.election_min_ms * _progress.NS_PER_MS
        )
        missing = []
        for voter in self.history.current.voters:
            if voter.controller_id == self.node_id:
                continue
            progress = self._quorum_progress(voter.controller_id)
            if progress is None or progress.answered_ns < oldest_ns:
                missing.append(voter.controller_id)
        return missing

    def take_ready_confirmations(self) -> list[_progress.Confirmation]:
        """Remove and return the confirmations that can succeed now.

        The caller resolves them after releasing the lock.
        """
        if not self.is_leader() or not self.confirmations:
            return []
        if not 0 < self.term_start_index <= self.applied_index:
            return []
        answered_ns = self.quorum_contact_ns()
        done: list[_progress.Confirmation] = []
        waiting: list[_progress.Confirmation] = []
        for one in self.confirmations:
            ready = (
                one.requested_ns < answered_ns
                and one.applied_index <= self.applied_index
            )
            (done if ready else waiting).append(one)
        self.confirmations = waiting
        return done

    def _fail_confirmations(self) -> None:
        failed = self.confirmations
        self.confirmations = []
        error = self.make_propose_error(
            _errors.ProposeFailure.DEPOSED, never_committed=True
        )
        for one in failed:
            self.resolve_later(one.future, result.Failure(error))

    def has_no_open_proposals(self) -> bool:
        """Return whether no proposal is queued, being written or pending."""
        busy = self.writer_busy or self.queued_proposals_count or self.pending
        return not busy

    def make_propose_error(
        self, failure: _errors.ProposeFailure, never_committed: bool
    ) -> _errors.ProposeError:
        """Return an error with the current leader, if it is known."""
        leader_id = self.leader_id if self.leader_id != self.node_id else None
        return _errors.ProposeError(failure, never_committed, leader_id)

    def fail_pending_proposals(self) -> None:
        """Fail all pending proposals with an unknown outcome."""
        failure = _errors.ProposeFailure.DEPOSED
        if self.closing:
            failure = _errors.ProposeFailure.CLOSED
        error = self.make_propose_error(failure, never_committed=False)
        for pending in self.pending.values():
            self.resolve_later(pending.future, result.Failure(error))
        self.pending.clear()

    def end_transfer(self, failure: _errors.ChangeFailure | None) -> None:
        """End the current transfer, if any, and resolve its future."""
        future = self.transfer_future
        self.transfer_future = None
        self.transfer_target = None
        if future is None:
            return
        if failure is None:
            self.resolve_later(future, result.Success(None))
        else:
            error = _errors.ChangeError(failure)
            self.resolve_later(future, result.Failure(error))

    def resolve_later(
        self, future: concurrent.futures.Future[typing.Any], value: typing.Any
    ) -> None:
        """Queue a future to be resolved by a thread without the lock."""
        self.resolutions.put(_work_items.Resolution(future, value))

    def check_invariant(self, holds: bool, what: str) -> None:
        """Raise InvariantError unless the condition holds."""
        if not holds:
            raise utils.InvariantError(f'{self.node_id}: {what}')
