"""Pipelined AppendEntries calls to one peer.

Several calls may be in flight at once, so that replication to a remote peer
takes one round trip and not two. Replies are processed in the order of the
calls. After a failed call the remaining ones are abandoned and their entries
sent again. Heartbeats that are sent beside as many calls as may be in flight
are the exception: their replies only show that the peer follows, and are
processed in any order.
"""

import collections
import dataclasses
import time
import zlib

from returns import result

from dandeliondrum.consensus import _append_replies
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _peer_connection
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _work_items
from dandeliondrum import messages
from dandeliondrum import transport


# Outcomes of a peer that follows the leader.
_FOLLOWING = (
    _messages.Outcome.STORED,
    _messages.Outcome.MISMATCH,
    _messages.Outcome.STORAGE_FULL,
)


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _InFlightCall:
    """A request that was sent and whose reply is not yet processed."""

    message: _messages.AppendEntries
    sent_ns: int
    deadline_ns: int
    reply: transport.CallFuture


class Pipeline:
    """The calls in flight to one peer; used by the peer's thread only."""

    def __init__(
        self,
        state: _state.NodeState,
        link: _peer_connection.PeerConnection,
        member_id: messages.ControllerId,
    ) -> None:
        self._state = state
        self._peer_connection = link
        self._member_id = member_id
        self._in_flight: collections.deque[_InFlightCall] = collections.deque()
        # Heartbeats beside the calls in flight, and the time until which the
        # last answer to one of them proves that the connection works.
        self._heartbeats: collections.deque[_InFlightCall] = (
            collections.deque()
        )
        self._working_until_ns = 0
        self._sent_bytes = state.metrics.sent_bytes.labels(member_id)
        self._sent_raw_bytes = state.metrics.sent_raw_bytes.labels(member_id)

    def has_capacity(self) -> bool:
        """Return whether another call may be sent now."""
        return len(self._in_flight) < _options.IN_FLIGHT_CALLS_MAX

    def has_finished_call(self) -> bool:
        """Return whether an oldest call is answered or has timed out."""
        return (
            _has_answer(self._in_flight)
            or any(call.reply.done() for call in self._heartbeats)
            or self._has_timed_out()
        )

    def _has_timed_out(self) -> bool:
        deadline_ns = self.deadline_ns()
        return deadline_ns is not None and time.monotonic_ns() >= deadline_ns

    def deadline_ns(self) -> int | None:
        """Return when an oldest call times out, None without any call."""
        deadlines_ns = []
        if self._in_flight:
            deadline_ns = self._in_flight[0].deadline_ns
            deadlines_ns.append(max(deadline_ns, self._working_until_ns))
        if self._heartbeats:
            deadlines_ns.append(self._heartbeats[0].deadline_ns)
        return min(deadlines_ns, default=None)

    def send(
        self,
        address: str,
        message: _messages.AppendEntries,
        entries: list[_records.Entry],
    ) -> bool:
        """Send entries or a heartbeat; False when the peer is unreachable.

        Without capacity only a heartbeat may be sent.
        """
        message, raw_bytes = _encode_records(message, entries)
        size_bytes = len(message.records)
        self._sent_bytes.inc(size_bytes)
        self._sent_raw_bytes.inc(raw_bytes)
        sent_ns = time.monotonic_ns()
        reply = self._peer_connection.call_async(address, message)
        if reply is None:
            self.abort()
            return False
        limit_ns = (
            self._peer_connection.timeout_ms(size_bytes) * _progress.NS_PER_MS
        )
        calls = self._in_flight if self.has_capacity() else self._heartbeats
        calls.append(
            _InFlightCall(message, sent_ns, sent_ns + limit_ns, reply)
        )
        reply.add_done_callback(self._on_reply)
        return True

    def collect_replies(self) -> bool:
        """Process the replies that have arrived.

        Returns False after a failure, to ask for a pause.
        """
        while self.has_finished_call():
            if _has_answer(self._in_flight):
                call, handle = self._in_flight.popleft(), self._handle_reply
            elif (answered := self._pop_heartbeat()) is not None:
                call, handle = answered, self._handle_contact
            else:
                self.abort()
                return False
            reply = call.reply.result().value_or(None)
            if not isinstance(reply, _messages.AppendReply):
                self.abort()
                return False
            if not handle(call, reply):
                self._clear_in_flight()
                return False
        return True

    def _pop_heartbeat(self) -> _InFlightCall | None:
        """Remove and return the newest heartbeat that is answered.

        Earlier ones are removed as well: their answers tell no more, and may
        come late, if they reached the peer's writer before it was busy.
        """
        answered = None
        while any(call.reply.done() for call in self._heartbeats):
            answered = self._heartbeats.popleft()
        return answered

    def abort(self) -> None:
        """Abandon all calls in flight and close the connection.

        Their entries are sent again on a new connection.
        """
        self._peer_connection.close()
        with self._state.lock:
            progress = self._state.progress.get(self._member_id)
            if progress is not None:
                progress.is_reachable = False
        self._heartbeats.clear()
        self._clear_in_flight()

    def _clear_in_flight(self) -> None:
        self._in_flight.clear()
        with self._state.lock:
            progress = self._state.progress.get(self._member_id)
            if progress is not None:
                progress.rewind()

    def _on_reply(self, _reply: transport.CallFuture) -> None:
        with self._state.lock:
            self._state.wake_peer(self._member_id)

    def _handle_reply(
        self, call: _InFlightCall, reply: _messages.AppendReply
    ) -> bool:
        state = self._state
        with state.lock:
            progress = self._current_progress(call, reply)
            if progress is None:
                return True
            if reply.outcome is _messages.Outcome.MISMATCH:
                # Later entries in flight follow this one, so that they will
                # not match either.
                self._in_flight.clear()
            keep_sending = _append_replies.handle_append_reply(
                state, progress, call.message, call.sent_ns, reply
            )
            self._resolve_confirmations()
        return keep_sending

    def _handle_contact(
        self, call: _InFlightCall, reply: _messages.AppendReply
    ) -> bool:
        """Record that the peer follows; earlier replies may be outstanding."""
        with self._state.lock:
            progress = self._current_progress(call, reply)
            if progress is not None and reply.outcome in _FOLLOWING:
                progress.record_answer(call.sent_ns)
                self._working_until_ns = call.deadline_ns
                self._resolve_confirmations()
        return True

    def _current_progress(
        self, call: _InFlightCall, reply: _messages.AppendReply
    ) -> _progress.Progress | None:
        """Return the peer's progress if the reply is of the leader's term."""
        state = self._state
        term = call.message.term
        if reply.term > state.term:
            state.enqueue_work(_work_items.ObserveTerm(reply.term))
        progress = state.progress.get(self._member_id)
        if reply.term > term or state.term != term:
            return None
        if not state.is_leader() or progress is None:
            return None
        progress.is_reachable = True
        return progress

    def _resolve_confirmations(self) -> None:
        # Callbacks may wait for locks of the state machine, and this thread
        # has to send heartbeats meanwhile.
        for confirmation in self._state.take_ready_confirmations():
            self._state.resolve_later(
                confirmation.future, result.Success(None)
            )


def _has_answer(calls: collections.deque[_InFlightCall]) -> bool:
    return bool(calls) and calls[0].reply.done()


def _encode_records(
    message: _messages.AppendEntries, entries: list[_records.Entry]
) -> tuple[_messages.AppendEntries, int]:
    """Return the message with its records, and their uncompressed size."""
    records = b''.join([entry.record for entry in entries])
    raw_bytes = len(records)
    compressed = raw_bytes >= _options.COMPRESSION_MIN_BYTES
    if compressed:
        records = zlib.compress(records, _options.COMPRESSION_LEVEL)
    packed = dataclasses.replace(
        message, records=records, compressed=compressed
    )
    return packed, raw_bytes
