"""Membership changes, which are made one member at a time.

They run in the thread of the membership manager. A new member starts as a
learner and becomes a voter once it has caught up. A voter that lost
acknowledged entries is demoted automatically to a learner with its current
disk. A change starts only after the previous one is committed. Unless it adds
or readmits a learner, the reachable voters must also form a quorum of the new
membership.
"""

import collections
import concurrent.futures
import contextlib
import dataclasses
import time

from returns import result
import structlog

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _membership
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _peer_connection
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _work_items
from dandeliondrum import messages

# A learner is promoted once it is behind by no more entries than this.
PROMOTION_LAG_ENTRIES = 1_000
# Why a learner is no voter yet is logged after this time, when the reason
# changes, and then once in the next one.
LEARNER_LOG_DELAY_NS = 1_000_000_000
LEARNER_LOG_INTERVAL_NS = 5_000_000_000

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class AddMember:
    """Add a controller; the future resolves once it is a voter.

    Without ``until_voter`` it resolves once the controller is a learner.
    """

    controller_id: messages.ControllerId
    address: str
    future: _work_items.ChangeFuture
    until_voter: bool = True


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class RemoveMember:
    """Remove a controller; the future resolves once that is committed."""

    controller_id: messages.ControllerId
    future: _work_items.ChangeFuture


Change = AddMember | RemoveMember


@dataclasses.dataclass(slots=True)
class _Wait:
    """Since when a learner waits, and what was logged about it."""

    since_ns: int
    logged_why: str = ''
    logged_ns: int = 0


class MembershipChanges:
    """Processes requested changes, and promotions and demotions."""

    def __init__(self, state: _state.NodeState) -> None:
        self._state = state
        self._queued: collections.deque[Change] = collections.deque()
        self._in_progress: list[Change] = []
        self._last_proposal: _work_items.ProposeFuture | None = None
        # By the id of a learner and that of its disk.
        self._waits: dict[tuple[messages.ControllerId, str], _Wait] = {}

    def submit(self, change: Change) -> None:
        """Queue a change; may be called from any thread."""
        state = self._state
        with state.lock:
            self._queued.append(change)
            state.membership_condition.notify()

    def process(self) -> None:
        """Advance the changes as far as possible.

        Resolves completed changes, and then proposes a due demotion or
        promotion, or else starts the next queued change. Fails all changes
        when this node doesn't lead or is closing.

        Called from the membership manager's thread, and once when the node
        closes.
        """
        state = self._state
        with state.lock:
            if not state.is_leader() or state.closing:
                self._fail_all()
                self._waits.clear()
                return
            self._report_learners()
            if not self._can_change():
                return
            self._resolve_completed()
            membership = self._required_membership()
            if membership is not None:
                self._propose(membership)
                return
            change = self._queued.popleft() if self._queued else None
        if change is not None:
            self._start_change(change)

    def _can_change(self) -> bool:
        """Return whether a new membership may be proposed.

        The newest membership and an entry of the current term must be
        committed, and no membership may be queued: the next one would be
        derived without it and undo it.
        """
        state = self._state
        if self._last_proposal is not None and not self._last_proposal.done():
            return False
        started = 0 < state.term_start_index <= state.commit_index
        return started and state.history.index <= state.commit_index

    def _required_membership(self) -> _messages.Membership | None:
        """Return a membership with a demotion or promotion that is due.

        Returns None when the state of the members requires no change.
        """
        state = self._state
        current = state.history.current
        for member in current.voters:
            progress = state.progress.get(member.controller_id)
            if progress is not None and progress.readmission_disk_id:
                readmitted = dataclasses.replace(
                    member, disk_id=progress.readmission_disk_id
                )
                changed = _membership.with_learner(current, readmitted)
                if self._keeps_quorum(changed):
                    _logger.warning(
                        'voter readmitted as learner',
                        member=member.controller_id,
                    )
                    return changed
        for member in current.learners:
            promoted = self._update_learner(current, member)
            if promoted is not None:
                return promoted
        return None

    def _update_learner(
        self, current: _messages.Membership, member: _messages.Member
    ) -> _messages.Membership | None:
        state = self._state
        progress = state.progress.get(member.controller_id)
        if progress is None:
            return None
        if progress.readmission_disk_id:
            readmitted = dataclasses.replace(
                member, disk_id=progress.readmission_disk_id
            )
            return _membership.with_learner(current, readmitted)
        if self._find_obstacle(current, member, progress):
            return None
        _logger.info(
            'learner promoted',
            member=member.controller_id,
            lag_entries=state.log.last_index - progress.match_index,
        )
        return _membership.with_voter(current, member)

    def _find_obstacle(
        self,
        current: _messages.Membership,
        member: _messages.Member,
        progress: _progress.Progress,
    ) -> str:
        """Return why a learner can't be a voter now, or an empty text."""
        state = self._state
        if progress.match_index == 0:
            return 'nothing stored'
        lag_entries = state.log.last_index - progress.match_index
        if lag_entries > PROMOTION_LAG_ENTRIES:
            return 'behind'
        voters_max = state.options.voters_max
        if voters_max is not None and len(current.voters) >= voters_max:
            return 'no room'
        if not self._keeps_quorum(_membership.with_voter(current, member)):
            return 'no quorum'
        return ''

    def _report_learners(self) -> None:
        """Log the learners that have waited for long, and why they wait."""
        state = self._state
        current = state.history.current
        now_ns = time.monotonic_ns()
        waits = self._waits
        self._waits = {}
        for member in current.learners:
            progress = state.progress.get(member.controller_id)
            if progress is None:
                continue
            key = (member.controller_id, member.disk_id)
            wait = self._waits[key] = waits.get(key, _Wait(now_ns))
            if now_ns - wait.since_ns < LEARNER_LOG_DELAY_NS:
                continue
            why = self._find_obstacle(current, member, progress)
            if not why and not self._can_change():
                why = 'earlier change'
            is_known = why == wait.logged_why
            is_due = now_ns - wait.logged_ns >= (
                LEARNER_LOG_INTERVAL_NS if is_known else LEARNER_LOG_DELAY_NS
            )
            # One that has no room may stay a learner for good.
            if not why or not is_due or (is_known and why == 'no room'):
                continue
            wait.logged_why, wait.logged_ns = why, now_ns
            self._log_learner(member, progress, why, now_ns - wait.since_ns)

    def _log_learner(
        self,
        member: _messages.Member,
        progress: _progress.Progress,
        why: str,
        waited_ns: int,
    ) -> None:
        state = self._state
        silent_ns = time.monotonic_ns() - progress.answered_ns
        _logger.info(
            'learner not promoted',
            member=member.controller_id,
            why=why,
            waited_ms=waited_ns // _progress.NS_PER_MS,
            silent_ms=silent_ns // _progress.NS_PER_MS,
            is_reachable=progress.is_reachable,
            disk_changed=bool(progress.readmission_disk_id),
            match_index=progress.match_index,
            next_index=progress.next_index,
            last_index=state.log.last_index,
            commit_index=state.commit_index,
            membership_index=state.history.index,
        )

    def _keeps_quorum(self, changed: _messages.Membership) -> bool:
        """Return whether the reachable voters form a quorum of ``changed``."""
        state = self._state
        now_ns = time.monotonic_ns()
        limit_ns = state.options.election_min_ms * _progress.NS_PER_MS
        reachable_count = 0
        for member in changed.voters:
            progress = state.progress.get(member.controller_id)
            if member.controller_id == state.node_id:
                reachable_count += 1
            elif progress is not None and not progress.readmission_disk_id:
                reachable_count += now_ns - progress.answered_ns < limit_ns
        return reachable_count >= _membership.quorum_count(changed)

    def _propose(
        self, membership: _messages.Membership
    ) -> _work_items.ProposeFuture:
        """Queue a membership entry; the caller holds the lock."""
        state = self._state
        future: _work_items.ProposeFuture = concurrent.futures.Future()
        state.work_queue.append(
            _work_items.Proposal(
                _records.EntryKind.MEMBERSHIP,
                messages.encode(membership),
                future,
            )
        )
        state.queued_proposals_count += 1
        state.writer_condition.notify()
        self._last_proposal = future
        future.add_done_callback(self._on_proposal_resolved)
        return future

    def _on_proposal_resolved(
        self, _future: _work_items.ProposeFuture
    ) -> None:
        with self._state.lock:
            self._state.membership_condition.notify()

    def _start_change(self, change: Change) -> None:
        error = self._validate(change)
        if error is not None:
            self._state.resolve_later(change.future, result.Failure(error))
            return
        member: _messages.Member | None = None
        if isinstance(change, AddMember):
            member = self._fetch_member(change)
            if member is None:
                self._fail(change, _errors.ChangeFailure.UNREACHABLE)
                return
        state = self._state
        with state.lock:
            if not state.is_leader() or not self._can_change():
                self._fail(change, _errors.ChangeFailure.NOT_LEADING)
                return
            current = state.history.current
            if member is not None:
                changed = _membership.with_learner(current, member)
            else:
                changed = _membership.without(current, change.controller_id)
            self._in_progress.append(change)
            future = self._propose(changed)
        future.add_done_callback(
            lambda done: self._on_change_proposed(change, done.result())
        )

    def _on_change_proposed(
        self, change: Change, outcome: _work_items.ProposeResult
    ) -> None:
        if isinstance(outcome, result.Success):
            return
        with self._state.lock:
            if change in self._in_progress:
                self._in_progress.remove(change)
                self._fail(change, _errors.ChangeFailure.REFUSED)

    def _fail(self, change: Change, failure: _errors.ChangeFailure) -> None:
        error = _errors.ChangeError(failure, change.controller_id)
        self._state.resolve_later(change.future, result.Failure(error))

    def _validate(self, change: Change) -> _errors.ChangeError | None:
        state = self._state
        with state.lock:
            current = state.history.current
            known = _membership.member(current, change.controller_id)
            failure = None
            match change:
                case AddMember():
                    if known is not None:
                        failure = _errors.ChangeFailure.ALREADY_MEMBER
                case RemoveMember():
                    rest = _membership.without(current, change.controller_id)
                    if known is None:
                        failure = _errors.ChangeFailure.UNKNOWN_MEMBER
                    elif change.controller_id == state.node_id:
                        failure = _errors.ChangeFailure.IS_LEADER
                    elif not self._keeps_quorum(rest):
                        failure = _errors.ChangeFailure.LOSES_QUORUM
        if failure is None:
            return None
        return _errors.ChangeError(failure, change.controller_id)

    def _fetch_member(self, change: AddMember) -> _messages.Member | None:
        options = self._state.options
        address = options.addresses.get(change.controller_id, change.address)
        with contextlib.closing(
            _peer_connection.PeerConnection(options)
        ) as connection:
            reply = connection.call(address, _messages.IdentifyDisk())
        match reply:
            case result.Success(_messages.DiskIdentity(disk_id)):
                return _messages.Member(
                    change.controller_id, change.address, disk_id
                )
        return None

    def _resolve_completed(self) -> None:
        state = self._state
        current = state.history.current
        waiting = []
        for change in self._in_progress:
            match change:
                case AddMember(until_voter=until_voter):
                    find = (
                        _membership.voter
                        if until_voter
                        else _membership.member
                    )
                    done = find(current, change.controller_id) is not None
                case RemoveMember():
                    known = _membership.member(current, change.controller_id)
                    done = known is None
            if done:
                state.resolve_later(change.future, result.Success(None))
            else:
                waiting.append(change)
        self._in_progress = waiting

    def _fail_all(self) -> None:
        state = self._state
        failure = _errors.ChangeFailure.NOT_LEADING
        if state.closing:
            failure = _errors.ChangeFailure.CLOSED
        for change in [*self._queued, *self._in_progress]:
            detail = (
                'outcome unknown'
                if change in self._in_progress
                else 'not started'
            )
            error = _errors.ChangeError(failure, detail)
            state.resolve_later(change.future, result.Failure(error))
        self._queued.clear()
        self._in_progress.clear()
