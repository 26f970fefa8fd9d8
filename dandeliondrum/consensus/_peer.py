"""The task for one peer: asks for its vote, or sends it the log."""

import contextlib
import dataclasses
import threading
import time
import typing

from returns import result
import structlog

from dandeliondrum.consensus import _link
from dandeliondrum.consensus import _membership
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _pipeline
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus import _snapshot_sender
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _works
from dandeliondrum import messages
from dandeliondrum import transport

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class _AskVote:
    """Ask for a vote on a ballot."""

    ballot: _progress.Ballot
    message: _messages.RequestVote


@dataclasses.dataclass(frozen=True, slots=True)
class _Replicate:
    """Send entries, or a heartbeat when there are none."""

    message: _messages.AppendEntries
    entries: list[_records.Entry]


@dataclasses.dataclass(frozen=True, slots=True)
class _SendSnapshot:
    """Send the newest snapshot, since the log begins too late."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class _HandOver:
    """Ask the peer to stand for election at once."""

    message: _messages.TimeoutNow


@dataclasses.dataclass(frozen=True, slots=True)
class _Collect:
    """Take the answers that have arrived."""


_Step = _AskVote | _Replicate | _SendSnapshot | _HandOver | _Collect


class Peer:
    """Speaks with one other member, in a task of its own."""

    def __init__(
        self,
        state: _state.NodeState,
        snapshots: _snapshot.SnapshotStore,
        member_id: messages.ControllerId,
    ) -> None:
        self._state = state
        self._id = member_id
        self._link = _link.Link(state.options)
        self._snapshots = _snapshot_sender.SnapshotSender(
            state, snapshots, self._link, member_id
        )
        self._pipeline = _pipeline.Pipeline(state, self._link, member_id)

    def run(self, stopping: threading.Event) -> None:
        """Serve the peer until it is no member or the node closes."""
        with contextlib.closing(self._link):
            while not stopping.is_set():
                with self._state.lock:
                    member = self._member()
                    # Asked under the lock, or the last wake could be missed.
                    if member is None or stopping.is_set():
                        return
                    step = self._next_step(member)
                    if step is None:
                        self._wait()
                        continue
                if not self._carry_out(member, step):
                    stopping.wait(self._state.options.heartbeat_ms / 1000)

    def close(self) -> None:
        """Give up a call that waits."""
        self._link.close()

    def _member(self) -> _messages.Member | None:
        return _membership.member(self._state.history.current, self._id)

    def _wait(self) -> None:
        timeout_s = None
        progress = self._state.progress.get(self._id)
        if self._state.leads() and progress is not None:
            due_ns = progress.sent_ns + self._heartbeat_ns()
            overdue_ns = self._pipeline.deadline_ns()
            if not self._pipeline.has_room() and overdue_ns is not None:
                due_ns = overdue_ns
            elif overdue_ns is not None:
                due_ns = min(due_ns, overdue_ns)
            timeout_s = max(0.0, (due_ns - time.monotonic_ns()) / 1e9)
        self._state.peers_wake.wait(timeout_s)

    def _heartbeat_ns(self) -> int:
        return self._state.options.heartbeat_ms * _progress.NS_PER_MS

    def _next_step(self, member: _messages.Member) -> _Step | None:
        state = self._state
        if state.closing or state.storage_failed:
            return None
        if self._pipeline.has_news():
            return _Collect()
        ballot = state.ballot
        if ballot is not None and self._id not in ballot.asked:
            return self._ask_vote(member, ballot)
        progress = state.progress.get(self._id)
        if not state.leads() or progress is None:
            return None
        if not self._pipeline.has_room():
            return None
        last_index = state.log.last_index
        if state.transfer_target == self._id and not state.handed_over:
            ready = progress.match_index >= last_index and progress.up
            if ready and state.is_quiet():
                state.handed_over = True
                return _HandOver(_messages.TimeoutNow(state.term, state.me))
        now_ns = time.monotonic_ns()
        due = (
            last_index >= progress.next_index
            or progress.sent_ns < state.hurry_ns
            or now_ns - progress.sent_ns >= self._heartbeat_ns()
        )
        if not due:
            return None
        progress.sent_ns = now_ns
        return self._replicate(member, progress)

    def _ask_vote(
        self, member: _messages.Member, ballot: _progress.Ballot
    ) -> _AskVote | None:
        state = self._state
        ballot.asked.add(self._id)
        if _membership.voter(state.history.current, self._id) is None:
            return None
        request = _messages.RequestVote(
            ballot.term,
            state.me,
            member.disk_id,
            state.log.last_index,
            state.log.last_term,
            ballot.pre_vote,
            ballot.transfer,
        )
        return _AskVote(ballot, request)

    def _replicate(
        self, member: _messages.Member, progress: _progress.Progress
    ) -> _Replicate | _SendSnapshot:
        state = self._state
        previous_index = progress.next_index - 1
        previous_term = state.log.term_at(previous_index)
        if previous_term is None:
            return _SendSnapshot(state.term)
        entries: list[_records.Entry] = []
        if not progress.lost_disk_id:
            entries = state.log.read(
                progress.next_index,
                _options.APPEND_ENTRIES_MAX,
                _options.APPEND_BYTES_MAX,
            )
            progress.next_index += len(entries)
        message = _messages.AppendEntries(
            state.term,
            state.me,
            member.disk_id,
            previous_index,
            previous_term,
            state.commit_index,
        )
        return _Replicate(message, entries)

    def _carry_out(self, member: _messages.Member, step: _Step) -> bool:
        """Do one step; False asks for a pause before the next."""
        address = self._state.options.addresses.get(self._id, member.address)
        match step:
            case _AskVote(ballot, message):
                outcome = self._link.call(address, message)
                return self._count_vote(ballot, outcome)
            case _Replicate(message, entries):
                return self._pipeline.send(address, message, entries)
            case _Collect():
                return self._pipeline.collect()
            case _SendSnapshot(term):
                self._pipeline.give_up()
                return self._snapshots.send(address, member.disk_id, term)
            case _HandOver(message):
                outcome = self._link.call(address, message)
                return self._end_handing(outcome)

    def _end_handing(
        self, outcome: result.Result[typing.Any, transport.CallError]
    ) -> bool:
        match outcome:
            case result.Failure(
                transport.CallError(transport.CallFailure.NOT_SENT)
            ):
                with self._state.lock:
                    if self._state.transfer_target == self._id:
                        self._state.handed_over = False
                return False
        return isinstance(outcome, result.Success)

    def _count_vote(
        self,
        ballot: _progress.Ballot,
        outcome: result.Result[typing.Any, object],
    ) -> bool:
        reply = outcome.value_or(None)
        with self._state.lock:
            if not isinstance(reply, _messages.VoteReply):
                ballot.refused.add(self._id)
            elif reply.granted:
                ballot.granted.add(self._id)
            else:
                ballot.refused.add(self._id)
                if reply.term > self._state.term:
                    self._state.put(_works.ObserveTerm(reply.term))
            self._state.election_wakes.notify()
        return True
