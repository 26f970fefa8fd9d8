"""Addition of controllers and replacement of lost ones.

The leader compares the members with the controllers that ask to join, and
makes one change at a time:

* Beside a voter that is silent or about to stop, one of those that ask is
  added as a learner, so that it has the state when it has to vote.
* Once the silence is too long, the voter is removed, and the learner is
  promoted, as there are never more than ``voters_count`` voters.

A lost voter is thus removed before its successor votes. If the successor is
lost as well, no more voters are missing than before. A voter is removed only
for a learner that is not needed to fill another place: with fewer voters, of
which some are lost, the cell would bear fewer losses.
"""

import collections.abc
import concurrent.futures
import dataclasses
import functools
import threading
import typing

from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _clock
from dandeliondrum import messages

CHECK_INTERVAL_MS = 100
# A successor is taken in as a learner beside a voter that was silent for this
# long. It exceeds the longest election timeout.
SUSPICION_MS = 700
# A voter that was silent for this long is replaced by a controller that asks
# to join. A restart takes less time, and the successor of a lost VM must vote
# 4 s after its start.
SILENCE_MAX_MS = 1_500
# A controller that has not asked to join for this long is no successor.
# Controllers that are no members ask every 250 ms.
CANDIDATE_EXPIRY_MS = 1_500
# A controller that stops waits this long for its successor.
LEAVE_TIMEOUT_MS = 1_500
# A request to join may arrive this long after its sender has left: it is
# repeated for JOIN_TIMEOUT_MS of the module ``_membership``.
LATE_JOIN_MS = 1_000
# An acknowledgement to an operator waits this long at most until the voters
# bear the losses that they are meant to bear.
ACKNOWLEDGEMENT_DELAY_MAX_MS = 1_500
# After the founding, controllers have this time to join before something is
# acknowledged without them.
FIRST_JOINS_MS = 3_000
# A learner that lags behind by no more entries may replace a voter.
READY_LAG_ENTRIES = 1_000

_logger = structlog.get_logger()

_NO_LONGER_LEADING = messages.CallFailed('no longer the leader', True)


@dataclasses.dataclass(slots=True)
class _Candidate:
    """A controller that is no member and asks to join."""

    address: str
    first_asked_ms: int
    last_asked_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Add:
    """Add a learner."""

    controller_id: messages.ControllerId
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Remove:
    """Remove a member that is lost or stops."""

    controller_id: messages.ControllerId
    silent_ms: int
    is_leaving: bool


_Change = _Add | _Remove


class Voters:
    """Manages the voting members; the leader creates one per term."""

    def __init__(self, node: consensus.Node, voters_count: int) -> None:
        self._node = node
        self._voters_count = voters_count
        self._term_started_ms = _clock.elapsed_ms()
        self._lock = threading.Lock()
        self._candidates: dict[messages.ControllerId, _Candidate] = {}
        # Futures of controllers that wait for a successor before they stop,
        # and the end of their wait.
        self._leaving: dict[
            messages.ControllerId,
            tuple[int, concurrent.futures.Future[typing.Any]],
        ] = {}
        # When this leader first saw a member with its current disk.
        self._seen_ms: dict[tuple[messages.ControllerId, str], int] = {}
        # When controllers that asked to be replaced were answered.
        self._left_ms: dict[messages.ControllerId, int] = {}
        self._is_changing = False
        self._is_closed = False
        # Futures that resolve once no voter has to be replaced, and the ends
        # of their waits.
        self._waiting: list[tuple[int, concurrent.futures.Future[None]]] = []

    def may_begin(self) -> bool:
        """Return whether a cell that holds nothing may acknowledge something.

        Only with all its voters it bears the losses that it is meant to bear.
        Those that do not join in time are lost already.
        """
        members = self._node.status().members
        voters_count = sum(member.voter for member in members)
        waited_ms = _clock.elapsed_ms() - self._term_started_ms
        return voters_count >= self._voters_count or waited_ms > FIRST_JOINS_MS

    def join(self, request: _calls.JoinRequest) -> typing.Any:
        """Note a controller that asks to join, and add it if it is needed.

        The change continues in the background; the controller repeats its
        request until it is a member.
        """
        now_ms = _clock.elapsed_ms()
        controller_id = request.controller_id
        with self._lock:
            left_ms = self._left_ms.get(controller_id)
            if left_ms is None or now_ms - left_ms > LATE_JOIN_MS:
                known = self._candidates.setdefault(
                    controller_id, _Candidate(request.address, now_ms, now_ms)
                )
                known.address = request.address
                known.last_asked_ms = now_ms
        self.check()
        if controller_id in self._member_ids():
            return messages.Done()
        return messages.CallFailed('the cell has all its voters', True)

    def leave(
        self, request: _calls.LeaveRequest
    ) -> 'concurrent.futures.Future[typing.Any]':
        """Replace a controller that stops, if another one can take over.

        The future holds a LeaveReply, or CallFailed if the time is up.
        """
        future: concurrent.futures.Future[typing.Any]
        future = concurrent.futures.Future()
        deadline_ms = _clock.elapsed_ms() + LEAVE_TIMEOUT_MS
        with self._lock:
            is_closed = self._is_closed
            if not is_closed:
                self._candidates.pop(request.controller_id, None)
                _, future = self._leaving.setdefault(
                    request.controller_id, (deadline_ms, future)
                )
        if is_closed:
            future.set_result(_NO_LONGER_LEADING)
        else:
            self.check()
        return future

    def wait_for_replacements(self) -> 'concurrent.futures.Future[None]':
        """Return a future that resolves when no voter is being replaced.

        Until then a further loss may be one too many. It resolves after
        ACKNOWLEDGEMENT_DELAY_MAX_MS at the latest, and at once if nobody is
        there to replace a lost voter.
        """
        future: concurrent.futures.Future[None] = concurrent.futures.Future()
        deadline_ms = _clock.elapsed_ms() + ACKNOWLEDGEMENT_DELAY_MAX_MS
        with self._lock:
            is_closed = self._is_closed
            if not is_closed:
                self._waiting.append((deadline_ms, future))
        if is_closed:
            future.set_result(None)
        else:
            self.check()
        return future

    def check(self) -> None:
        """Start the next change that is due, and answer those that wait."""
        with self._lock:
            status = self._node.status()
            self._forget_old(status)
            answers = self._take_answers(status)
            waiting = self._take_waiting(status)
            change = None if self._is_changing else self._next_change(status)
            self._is_changing = self._is_changing or change is not None
        for future, answer in answers:
            future.set_result(answer)
        for one in waiting:
            one.set_result(None)
        if change is not None:
            self._start(change)

    def close(self) -> None:
        """Answer all that wait, when this controller leads no more.

        What operators wait for has been applied.
        """
        with self._lock:
            self._is_closed = True
            leaving = list(self._leaving.values())
            self._leaving.clear()
            waiting, self._waiting = self._waiting, []
        for _, future in leaving:
            future.set_result(_NO_LONGER_LEADING)
        for _, applied in waiting:
            applied.set_result(None)

    def _member_ids(self) -> set[messages.ControllerId]:
        members = self._node.status().members
        return {member.controller_id for member in members}

    def _forget_old(self, status: consensus.NodeStatus) -> None:
        now_ms = _clock.elapsed_ms()
        members = {member.controller_id for member in status.members}
        for controller_id, candidate in list(self._candidates.items()):
            is_old = now_ms - candidate.last_asked_ms > CANDIDATE_EXPIRY_MS
            if is_old or controller_id in members:
                del self._candidates[controller_id]
        present = {
            (member.controller_id, member.disk_id) for member in status.members
        }
        for key in present:
            self._seen_ms.setdefault(key, now_ms)
        for key in self._seen_ms.keys() - present:
            del self._seen_ms[key]

    def _silent_ms(self, member: consensus.MemberStatus) -> int:
        """Return the minimum time for which a member has been silent.

        A member that this leader has never heard from has been silent since
        the term began, or since it is a member with its current disk.
        """
        if member.silent_ms >= 0:
            return member.silent_ms
        key = (member.controller_id, member.disk_id)
        return _clock.elapsed_ms() - self._seen_ms[key]

    def _take_answers(
        self, status: consensus.NodeStatus
    ) -> list[tuple[concurrent.futures.Future[typing.Any], typing.Any]]:
        """Remove the waits of controllers that need not wait any longer."""
        now_ms = _clock.elapsed_ms()
        answers = []
        for controller_id, (deadline_ms, future) in list(
            self._leaving.items()
        ):
            answer = self._answer_to_leaving(controller_id, status)
            if answer is None and now_ms > deadline_ms:
                answer = messages.CallFailed('not replaced in time', False)
            if answer is not None:
                del self._leaving[controller_id]
                self._left_ms[controller_id] = now_ms
                answers.append((future, answer))
        return answers

    def _answer_to_leaving(
        self,
        controller_id: messages.ControllerId,
        status: consensus.NodeStatus,
    ) -> typing.Any:
        """Return the answer to a controller that stops, None for none yet."""
        voters = [one.controller_id for one in status.members if one.voter]
        has_successor = self._has_successor(status)
        if controller_id in voters:
            if not has_successor:
                return _calls.LeaveReply(False)
            if controller_id != status.controller_id:
                return None
            is_ready = bool(self._spare_learners(status))
            return _calls.LeaveReply(True) if is_ready else None
        is_complete = len(voters) >= self._voters_count
        return _calls.LeaveReply(True) if is_complete else None

    def _take_waiting(
        self, status: consensus.NodeStatus
    ) -> list[concurrent.futures.Future[None]]:
        """Remove the waits for replacements that are over."""
        now_ms = _clock.elapsed_ms()
        is_replacing = self._is_replacing(status)
        over = [
            future
            for deadline_ms, future in self._waiting
            if not is_replacing or now_ms > deadline_ms
        ]
        if over and is_replacing:
            _logger.warning(
                'acknowledging while a voter is missing', count=len(over)
            )
        self._waiting = [one for one in self._waiting if one[1] not in over]
        return over

    def _is_replacing(self, status: consensus.NodeStatus) -> bool:
        """Return whether a voter is missing that another one can replace."""
        if self._is_changing:
            return True
        if self._free_count(status):
            return bool(self._candidates) or self._live_learners(status) > 0
        voters = [member for member in status.members if member.voter]
        lost = self._lost(voters, SUSPICION_MS)
        return bool(lost) and self._has_successor(status)

    def _has_successor(self, status: consensus.NodeStatus) -> bool:
        """Return whether a controller may take the place of a voter.

        A learner that fills a place which is free already does not count.
        """
        spare_count = self._live_learners(status) - self._free_count(status)
        return bool(self._candidates) or spare_count > 0

    def _live_learners(self, status: consensus.NodeStatus) -> int:
        """Return the number of learners that are not lost."""
        learners = [member for member in status.members if not member.voter]
        return len(learners) - len(self._lost(learners, SILENCE_MAX_MS))

    def _free_count(self, status: consensus.NodeStatus) -> int:
        """Return how many voters there are too few."""
        voters_count = sum(member.voter for member in status.members)
        return max(0, self._voters_count - voters_count)

    def _spare_learners(
        self, status: consensus.NodeStatus
    ) -> list[consensus.MemberStatus]:
        """Return ready learners beyond those that fill a free place."""
        return self._ready_learners(status)[self._free_count(status) :]

    def _ready_learners(
        self, status: consensus.NodeStatus
    ) -> list[consensus.MemberStatus]:
        return [
            member
            for member in status.members
            if not member.voter
            and member.controller_id not in self._leaving
            and self._silent_ms(member) < SUSPICION_MS
            and member.match_index > 0
            and status.last_index - member.match_index <= READY_LAG_ENTRIES
        ]

    def _next_change(self, status: consensus.NodeStatus) -> _Change | None:
        """Return the next change that is due; the caller holds the lock."""
        voters = [member for member in status.members if member.voter]
        learners = [member for member in status.members if not member.voter]
        lost = self._lost(voters, SILENCE_MAX_MS)
        removable = [
            one for one in lost if one.controller_id != status.controller_id
        ]
        excess_count = len(voters) - self._voters_count
        if removable and (excess_count > 0 or self._spare_learners(status)):
            return self._removal(removable)
        candidates = [
            (candidate.first_asked_ms, controller_id)
            for controller_id, candidate in self._candidates.items()
            if controller_id not in self._leaving
        ]
        lost_learners = self._lost(learners, SILENCE_MAX_MS)
        if lost_learners and candidates:
            return self._removal(lost_learners)
        needed_count = (
            self._voters_count
            - (len(voters) - len(self._lost(voters, SUSPICION_MS)))
            - (len(learners) - len(lost_learners))
        )
        if needed_count <= 0 or not candidates:
            return None
        controller_id = min(candidates)[1]
        return _Add(controller_id, self._candidates[controller_id].address)

    def _lost(
        self,
        members: collections.abc.Iterable[consensus.MemberStatus],
        silence_ms: int,
    ) -> list[consensus.MemberStatus]:
        """Return the members that are silent for longer or are stopping."""
        return [
            member
            for member in members
            if member.controller_id in self._leaving
            or self._silent_ms(member) > silence_ms
        ]

    def _removal(
        self, members: collections.abc.Iterable[consensus.MemberStatus]
    ) -> _Remove:
        """Return the removal of the member that is silent for longest."""
        lost = max(members, key=self._silent_ms)
        return _Remove(
            lost.controller_id,
            self._silent_ms(lost),
            lost.controller_id in self._leaving,
        )

    def _start(self, change: _Change) -> None:
        match change:
            case _Add(controller_id, address):
                _logger.info('adding controller', controller=controller_id)
                done = self._node.add_member(
                    controller_id, address, until_voter=False
                )
            case _Remove(controller_id, silent_ms, is_leaving):
                _logger.warning(
                    'removing controller',
                    controller=controller_id,
                    why='it stops' if is_leaving else 'it is silent',
                    silent_ms=silent_ms,
                )
                done = self._node.remove_member(controller_id)
        done.add_done_callback(functools.partial(self._on_changed, change))

    def _on_changed(self, change: _Change, done: typing.Any) -> None:
        outcome = done.result()
        with self._lock:
            self._is_changing = False
            if isinstance(outcome, result.Failure):
                # Another one is tried before this one.
                self._candidates.pop(change.controller_id, None)
        if isinstance(outcome, result.Failure):
            # The next check tries again.
            _logger.info('membership not changed', why=str(outcome.failure()))
            return
        self.check()
