"""The state that the threads of a node share, under one lock.

Every method is called with ``lock`` held unless it says otherwise. The
writer thread alone changes the log, the term and the vote.
"""

import collections
import concurrent.futures
import queue
import random
import threading
import time
import typing

from returns import result

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _interfaces
from dandeliondrum.consensus import _log
from dandeliondrum.consensus import _membership
from dandeliondrum.consensus import _metrics
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus import _works
from dandeliondrum import messages
from dandeliondrum import utils


class NodeState:
    """Role, term, indexes, peers and waiting futures of one node."""

    def __init__(
        self,
        options: _options.Options,
        disk_id: str,
        log: _log.Log,
        history: _membership.MembershipHistory,
        metrics: _metrics.Metrics,
    ) -> None:
        self.options = options
        self.me = options.controller_id
        self.disk_id = disk_id
        self.log = log
        self.history = history
        self.metrics = metrics
        self.lock = threading.RLock()
        self.writer_wakes = threading.Condition(self.lock)
        self.applier_wakes = threading.Condition(self.lock)
        self.peers_wake = threading.Condition(self.lock)
        self.election_wakes = threading.Condition(self.lock)
        self.steward_wakes = threading.Condition(self.lock)
        self.works: collections.deque[_works.Work] = collections.deque()
        self.proposals_waiting = 0
        self.writing = False
        self.events: queue.Queue[_works.Event | None] = queue.Queue()
        self.outcomes: queue.Queue[_works.Outcome | None] = queue.Queue()
        self.closing = False
        self.storage_failed = False
        self.storage_full = False
        self.role = _interfaces.Role.FOLLOWER
        self.term = 0
        self.voted_for = ''
        self.leader_id: messages.ControllerId | None = None
        self.heard_ns = time.monotonic_ns()
        if options.started_ns is not None:
            self.heard_ns = options.started_ns
        self.deadline_ns = 0
        self.stand_at_once = False
        self.ballot: _progress.Ballot | None = None
        self.synced_index = log.last_index
        self.commit_index = 0
        self.applied_index = 0
        self.snapshot_index = 0
        self.restore: _snapshot.Snapshot | None = None
        self.term_start_index = 0
        self.office_ns = 0
        self.deposed_ns = 0
        self.hurry_ns = 0
        self.reported_leading = False
        self.transfer_target: messages.ControllerId | None = None
        self.transfer_until_ns = 0
        self.transfer_future: _works.ChangeFuture | None = None
        self.handed_over = False
        self.progress: dict[messages.ControllerId, _progress.Progress] = {}
        self.pending: dict[int, _progress.Pending] = {}
        self.confirmations: list[_progress.Confirmation] = []
        self.put_off_election(self.heard_ns)

    def put(self, work: _works.Work) -> None:
        """Hand work to the writer thread; takes the lock itself."""
        with self.lock:
            self.works.append(work)
            self.writer_wakes.notify()

    def wake_all(self) -> None:
        """Let every thread look at the state again."""
        self.writer_wakes.notify_all()
        self.applier_wakes.notify_all()
        self.peers_wake.notify_all()
        self.election_wakes.notify_all()
        self.steward_wakes.notify_all()

    def put_off_election(self, since_ns: int | None = None) -> None:
        """Draw anew how long to wait for a leader, from now if not given."""
        wait_ms = random.uniform(
            self.options.election_min_ms, self.options.election_max_ms
        )
        if since_ns is None:
            since_ns = time.monotonic_ns()
        self.deadline_ns = since_ns + int(wait_ms * _progress.NS_PER_MS)

    def make_way(self, candidate_id: messages.ControllerId) -> None:
        """Stand no sooner than another one has had time for a ballot.

        Two that stand at the same time take votes from each other, and both
        wait again. So of two that ask at once the one with the lower id ends
        its pre-vote. One that asks and can't win holds up nobody for longer,
        as it asks less often than this.
        """
        asks = self.ballot is not None and self.ballot.pre_vote
        if asks and candidate_id > self.me:
            self.ballot = None
            self.election_wakes.notify()
        ballot_ms = self.options.election_min_ms // 2
        self.deadline_ns = max(
            self.deadline_ns,
            time.monotonic_ns() + ballot_ms * _progress.NS_PER_MS,
        )

    def hear_leader(self, leader_id: messages.ControllerId) -> None:
        """Note a sign of life of the leader of this term."""
        self.leader_id = leader_id
        self.heard_ns = time.monotonic_ns()
        self.put_off_election()
        if self.ballot is not None and self.ballot.pre_vote:
            self.ballot = None
            self.election_wakes.notify()

    def is_voter(self) -> bool:
        """Whether this node, with this disk, has a vote."""
        own = _membership.voter(self.history.current, self.me)
        return own is not None and own.disk_id == self.disk_id

    def heard_recently(self) -> bool:
        """Whether a leader was heard so lately that no vote may be given."""
        silent_ns = time.monotonic_ns() - self.heard_ns
        return silent_ns < self.options.election_min_ms * _progress.NS_PER_MS

    def leads(self) -> bool:
        """Whether the role is that of the leader."""
        return self.role is _interfaces.Role.LEADER

    def quorum_is_fresh(self) -> bool:
        """Whether a quorum answered a call sent within the last while."""
        if not self.leads() or self.storage_failed:
            return False
        if self.transfer_target is not None and self.handed_over:
            # The successor's voters don't wait until they miss this node.
            return False
        silent_ns = time.monotonic_ns() - self.quorum_answered_ns()
        return silent_ns < self.options.election_min_ms * _progress.NS_PER_MS

    def quorum_answered_ns(self) -> int:
        """Return the time of sending that a quorum has answered by now."""
        times = []
        for voter in self.history.current.voters:
            if voter.controller_id == self.me:
                times.append(time.monotonic_ns())
            else:
                progress = self._counted(voter.controller_id)
                times.append(progress.answered_ns if progress else 0)
        return self._quorum_value(times)

    def advance_commit(self) -> None:
        """Commit what a quorum has synced, if it is of the own term."""
        if not self.leads():
            return
        indexes = []
        for voter in self.history.current.voters:
            if voter.controller_id == self.me:
                indexes.append(self.synced_index)
            else:
                progress = self._counted(voter.controller_id)
                indexes.append(progress.match_index if progress else 0)
        index = self._quorum_value(indexes)
        if index <= self.commit_index:
            return
        if self.log.term_at(index) == self.term:
            self.commit_index = index
            self.applier_wakes.notify()

    def _counted(
        self, controller_id: messages.ControllerId
    ) -> _progress.Progress | None:
        progress = self.progress.get(controller_id)
        if progress is None or progress.lost_disk_id:
            return None
        return progress

    def _quorum_value(self, values: list[int]) -> int:
        quorum = _membership.quorum_count(self.history.current)
        if len(values) < quorum:
            return 0
        return sorted(values, reverse=True)[quorum - 1]

    def become_follower(self) -> None:
        """Leave office or a candidature."""
        was_leader = self.leads()
        self.role = _interfaces.Role.FOLLOWER
        self.ballot = None
        done = self.handed_over and self.transfer_target is not None
        self.end_transfer(None if done else _errors.ChangeFailure.NOT_LEADING)
        if was_leader:
            self.deposed_ns = time.monotonic_ns()
            self.leader_id = None
            self.put_off_election()
        if self.reported_leading:
            self.reported_leading = False
            self.events.put(_works.Following())
        self._fail_confirmations()
        self.wake_all()

    def become_leader(self) -> None:
        """Lead in this term; the caller sees that an entry is proposed."""
        self.role = _interfaces.Role.LEADER
        self.ballot = None
        self.leader_id = self.me
        self.office_ns = time.monotonic_ns()
        self.term_start_index = 0
        self.progress = {}
        self.update_peers()
        self.wake_all()

    def update_peers(self) -> None:
        """Keep a progress for each other member, after a change."""
        current = self.history.current
        for member in current.voters + current.learners:
            if member.controller_id == self.me:
                continue
            known = self.progress.get(member.controller_id)
            readmitted = (
                known is not None
                and known.lost_disk_id
                and member in current.learners
            )
            if known is None or known.disk_id != member.disk_id or readmitted:
                self.progress[member.controller_id] = _progress.Progress(
                    member.disk_id, self.log.last_index + 1
                )
        for controller_id in list(self.progress):
            if _membership.member(current, controller_id) is None:
                del self.progress[controller_id]

    def settle_confirmations(self) -> list[_progress.Confirmation]:
        """Return those that are fulfilled now, to be resolved without lock."""
        if not self.leads() or not self.confirmations:
            return []
        if not 0 < self.term_start_index <= self.applied_index:
            return []
        answered_ns = self.quorum_answered_ns()
        done: list[_progress.Confirmation] = []
        waiting: list[_progress.Confirmation] = []
        for one in self.confirmations:
            ready = (
                one.asked_ns < answered_ns
                and one.applied_index <= self.applied_index
            )
            (done if ready else waiting).append(one)
        self.confirmations = waiting
        return done

    def _fail_confirmations(self) -> None:
        failed = self.confirmations
        self.confirmations = []
        error = self.error(_errors.ProposeFailure.DEPOSED, not_done=True)
        for one in failed:
            self.resolve(one.future, result.Failure(error))

    def is_quiet(self) -> bool:
        """Whether nobody waits for a proposal any more."""
        busy = self.writing or self.proposals_waiting or self.pending
        return not busy

    def error(
        self, failure: _errors.ProposeFailure, not_done: bool
    ) -> _errors.ProposeError:
        """Return an error that names the leader, if it is known."""
        leader_id = self.leader_id if self.leader_id != self.me else None
        return _errors.ProposeError(failure, not_done, leader_id)

    def give_up_pending(self) -> None:
        """Resolve what still waits: the fate is unknown."""
        failure = _errors.ProposeFailure.DEPOSED
        if self.closing:
            failure = _errors.ProposeFailure.CLOSED
        error = self.error(failure, not_done=False)
        for pending in self.pending.values():
            self.resolve(pending.future, result.Failure(error))
        self.pending.clear()

    def end_transfer(self, failure: _errors.ChangeFailure | None) -> None:
        """End the transfer, if there is one, and answer who asked for it."""
        future = self.transfer_future
        self.transfer_future = None
        self.transfer_target = None
        if future is None:
            return
        if failure is None:
            self.resolve(future, result.Success(None))
        else:
            error = _errors.ChangeError(failure)
            self.resolve(future, result.Failure(error))

    def resolve(
        self, future: concurrent.futures.Future[typing.Any], value: typing.Any
    ) -> None:
        """Have a future resolved by a thread that holds no lock."""
        self.outcomes.put(_works.Outcome(future, value))

    def require(self, holds: bool, what: str) -> None:
        """Raise InvariantError unless it holds."""
        if not holds:
            raise utils.InvariantError(f'{self.me}: {what}')
