"""Carries out changes of the membership, one voter at a time.

Runs in the steward's thread. A member begins as a learner and votes once it
has caught up; a voter that lost what it had acknowledged becomes a learner
again, by itself, with the disk that it has now. A change is begun only when
the one before it is committed, and only while the voters that are up make a
quorum of the new membership.
"""

import collections
import concurrent.futures
import contextlib
import dataclasses
import time

from returns import result
import structlog

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _link
from dandeliondrum.consensus import _membership
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _works
from dandeliondrum import messages

# A learner may vote once it lacks no more entries than this.
PROMOTION_LAG_ENTRIES = 1_000

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class AddMember:
    """Take in a controller; the future resolves once it votes."""

    controller_id: messages.ControllerId
    address: str
    future: _works.ChangeFuture


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class RemoveMember:
    """Take a controller out; the future resolves once that is committed."""

    controller_id: messages.ControllerId
    future: _works.ChangeFuture


Change = AddMember | RemoveMember


class Changes:
    """Changes that were asked for, and those that the state calls for."""

    def __init__(self, state: _state.NodeState) -> None:
        self._state = state
        self._asked: collections.deque[Change] = collections.deque()
        self._waiting: list[Change] = []
        self._in_flight: _works.ProposeFuture | None = None

    def ask(self, change: Change) -> None:
        """Queue a change; called from any thread."""
        state = self._state
        with state.lock:
            self._asked.append(change)
            state.steward_wakes.notify()

    def step(self) -> None:
        """Do what can be done now; called from the steward's thread."""
        state = self._state
        with state.lock:
            if not state.leads() or state.closing:
                self._refuse_all()
                return
            if not self._settled():
                return
            self._resolve_waiting()
            membership = self._due()
            if membership is not None:
                self._propose(membership)
                return
            change = self._asked.popleft() if self._asked else None
        if change is not None:
            self._begin(change)

    def _settled(self) -> bool:
        """Whether the newest membership and the own term are committed.

        A membership that is still queued would be lost by another one that
        was made without it.
        """
        state = self._state
        if self._in_flight is not None and not self._in_flight.done():
            return False
        started = 0 < state.term_start_index <= state.commit_index
        return started and state.history.index <= state.commit_index

    def _due(self) -> _messages.Membership | None:
        """Return the membership that the state of the members calls for."""
        state = self._state
        current = state.history.current
        for member in current.voters:
            progress = state.progress.get(member.controller_id)
            if progress is not None and progress.lost_disk_id:
                fresh = dataclasses.replace(
                    member, disk_id=progress.lost_disk_id
                )
                changed = _membership.with_learner(current, fresh)
                if self._keeps_quorum(changed):
                    _logger.warning(
                        'voter readmitted as learner',
                        member=member.controller_id,
                    )
                    return changed
        for member in current.learners:
            promoted = self._after_learner(current, member)
            if promoted is not None:
                return promoted
        return None

    def _after_learner(
        self, current: _messages.Membership, member: _messages.Member
    ) -> _messages.Membership | None:
        state = self._state
        progress = state.progress.get(member.controller_id)
        if progress is None:
            return None
        if progress.lost_disk_id:
            fresh = dataclasses.replace(member, disk_id=progress.lost_disk_id)
            return _membership.with_learner(current, fresh)
        lacking = state.log.last_index - progress.match_index
        if lacking > PROMOTION_LAG_ENTRIES or progress.match_index == 0:
            return None
        changed = _membership.with_voter(current, member)
        return changed if self._keeps_quorum(changed) else None

    def _keeps_quorum(self, changed: _messages.Membership) -> bool:
        """Whether the voters that are up make a quorum of a membership."""
        state = self._state
        now_ns = time.monotonic_ns()
        limit_ns = state.options.election_min_ms * _progress.NS_PER_MS
        up_count = 0
        for member in changed.voters:
            progress = state.progress.get(member.controller_id)
            if member.controller_id == state.me:
                up_count += 1
            elif progress is not None and not progress.lost_disk_id:
                up_count += now_ns - progress.answered_ns < limit_ns
        return up_count >= _membership.quorum_count(changed)

    def _propose(
        self, membership: _messages.Membership
    ) -> _works.ProposeFuture:
        """Queue the entry; the caller holds the lock."""
        state = self._state
        future: _works.ProposeFuture = concurrent.futures.Future()
        state.works.append(
            _works.Proposal(
                _records.EntryKind.MEMBERSHIP,
                messages.encode(membership),
                future,
            )
        )
        state.proposals_waiting += 1
        state.writer_wakes.notify()
        self._in_flight = future
        future.add_done_callback(self._wake)
        return future

    def _wake(self, _future: _works.ProposeFuture) -> None:
        with self._state.lock:
            self._state.steward_wakes.notify()

    def _begin(self, change: Change) -> None:
        refusal = self._refusal(change)
        if refusal is not None:
            self._state.resolve(change.future, result.Failure(refusal))
            return
        member: _messages.Member | None = None
        if isinstance(change, AddMember):
            member = self._identify(change)
            if member is None:
                self._fail(change, _errors.ChangeFailure.UNREACHABLE)
                return
        state = self._state
        with state.lock:
            if not state.leads() or not self._settled():
                self._fail(change, _errors.ChangeFailure.NOT_LEADING)
                return
            current = state.history.current
            if member is not None:
                changed = _membership.with_learner(current, member)
            else:
                changed = _membership.without(current, change.controller_id)
            self._waiting.append(change)
            future = self._propose(changed)
        future.add_done_callback(
            lambda done: self._proposal_ended(change, done.result())
        )

    def _proposal_ended(
        self, change: Change, outcome: _works.ProposeResult
    ) -> None:
        if isinstance(outcome, result.Success):
            return
        with self._state.lock:
            if change in self._waiting:
                self._waiting.remove(change)
                self._fail(change, _errors.ChangeFailure.REFUSED)

    def _fail(self, change: Change, failure: _errors.ChangeFailure) -> None:
        error = _errors.ChangeError(failure, change.controller_id)
        self._state.resolve(change.future, result.Failure(error))

    def _refusal(self, change: Change) -> _errors.ChangeError | None:
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
                    elif change.controller_id == state.me:
                        failure = _errors.ChangeFailure.IS_LEADER
                    elif not self._keeps_quorum(rest):
                        failure = _errors.ChangeFailure.LOSES_QUORUM
        if failure is None:
            return None
        return _errors.ChangeError(failure, change.controller_id)

    def _identify(self, change: AddMember) -> _messages.Member | None:
        options = self._state.options
        address = options.addresses.get(change.controller_id, change.address)
        with contextlib.closing(_link.Link(options)) as link:
            reply = link.call(address, _messages.IdentifyDisk())
        match reply:
            case result.Success(_messages.DiskIdentity(disk_id)):
                return _messages.Member(
                    change.controller_id, change.address, disk_id
                )
        return None

    def _resolve_waiting(self) -> None:
        state = self._state
        current = state.history.current
        waiting = []
        for change in self._waiting:
            match change:
                case AddMember():
                    voter = _membership.voter(current, change.controller_id)
                    done = voter is not None
                case RemoveMember():
                    known = _membership.member(current, change.controller_id)
                    done = known is None
            if done:
                state.resolve(change.future, result.Success(None))
            else:
                waiting.append(change)
        self._waiting = waiting

    def _refuse_all(self) -> None:
        state = self._state
        failure = _errors.ChangeFailure.NOT_LEADING
        if state.closing:
            failure = _errors.ChangeFailure.CLOSED
        for change in [*self._asked, *self._waiting]:
            detail = 'unknown' if change in self._waiting else 'not begun'
            error = _errors.ChangeError(failure, detail)
            state.resolve(change.future, result.Failure(error))
        self._asked.clear()
        self._waiting.clear()
