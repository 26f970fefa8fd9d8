"""The task for one peer: asks for its vote, or sends it the log."""

import contextlib
import dataclasses
import threading
import time
import typing
import zlib

from returns import result
import structlog

from dandeliondrum.consensus import _link
from dandeliondrum.consensus import _membership
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _replies
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


_Step = _AskVote | _Replicate | _SendSnapshot | _HandOver


class Peer:
    """Speaks with one other member, one call at a time."""

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
        self._sent = state.metrics.sent_bytes.labels(member_id)
        self._sent_raw = state.metrics.sent_raw_bytes.labels(member_id)

    def run(self, stopping: threading.Event) -> None:
        """Serve the peer until it is no member or the node closes."""
        with contextlib.closing(self._link):
            while not stopping.is_set():
                with self._state.lock:
                    member = self._member()
                    if member is None:
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
            timeout_s = max(0.0, (due_ns - time.monotonic_ns()) / 1e9)
        self._state.peers_wake.wait(timeout_s)

    def _heartbeat_ns(self) -> int:
        return self._state.options.heartbeat_ms * _progress.NS_PER_MS

    def _next_step(self, member: _messages.Member) -> _Step | None:
        state = self._state
        if state.closing or state.storage_failed:
            return None
        ballot = state.ballot
        if ballot is not None and self._id not in ballot.asked:
            return self._ask_vote(member, ballot)
        progress = state.progress.get(self._id)
        if not state.leads() or progress is None:
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
                return self._send(address, message, entries)
            case _SendSnapshot(term):
                return self._snapshots.send(address, member.disk_id, term)
            case _HandOver(message):
                outcome = self._link.call(address, message)
                return self._end_handing(outcome)

    def _send(
        self,
        address: str,
        message: _messages.AppendEntries,
        entries: list[_records.Entry],
    ) -> bool:
        records = b''.join([entry.record for entry in entries])
        raw_bytes = len(records)
        if raw_bytes >= _options.COMPRESS_FROM_BYTES:
            records = zlib.compress(records, _options.COMPRESSION_LEVEL)
            message = dataclasses.replace(
                message, records=records, compressed=True
            )
        elif records:
            message = dataclasses.replace(message, records=records)
        self._sent.inc(len(records))
        self._sent_raw.inc(raw_bytes)
        sent_ns = time.monotonic_ns()
        outcome = self._link.call(address, message, len(records))
        match outcome:
            case result.Success(_messages.AppendReply() as reply):
                return self._take_reply(message.term, sent_ns, reply)
        with self._state.lock:
            progress = self._state.progress.get(self._id)
            if progress is not None:
                progress.up = False
        return False

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

    def _take_reply(
        self, term: int, sent_ns: int, reply: _messages.AppendReply
    ) -> bool:
        state = self._state
        with state.lock:
            if reply.term > state.term:
                state.put(_works.ObserveTerm(reply.term))
            progress = state.progress.get(self._id)
            if reply.term > term or state.term != term:
                return True
            if not state.leads() or progress is None:
                return True
            progress.up = True
            going_on = _replies.note_append(state, progress, sent_ns, reply)
            confirmed = state.settle_confirmations()
        for confirmation in confirmed:
            _works.settle(confirmation.future, result.Success(None))
        return going_on
