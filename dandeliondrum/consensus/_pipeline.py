"""Pipelined AppendEntries calls to one peer.

Several calls may be in flight at once, so that replication to a remote peer
takes one round trip and not two. Replies are processed in the order of the
calls. After a failed call the remaining ones are abandoned and their entries
sent again.
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
        self._sent_bytes = state.metrics.sent_bytes.labels(member_id)
        self._sent_raw_bytes = state.metrics.sent_raw_bytes.labels(member_id)

    def has_capacity(self) -> bool:
        """Return whether another call may be sent now."""
        return len(self._in_flight) < _options.IN_FLIGHT_CALLS_MAX

    def has_finished_call(self) -> bool:
        """Return whether the oldest call is answered or has timed out."""
        if not self._in_flight:
            return False
        oldest = self._in_flight[0]
        return oldest.reply.done() or time.monotonic_ns() >= oldest.deadline_ns

    def deadline_ns(self) -> int | None:
        """Return when the oldest call times out, None without any call."""
        return self._in_flight[0].deadline_ns if self._in_flight else None

    def send(
        self,
        address: str,
        message: _messages.AppendEntries,
        entries: list[_records.Entry],
    ) -> bool:
        """Send entries or a heartbeat; False when the peer is unreachable."""
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
        self._in_flight.append(
            _InFlightCall(message, sent_ns, sent_ns + limit_ns, reply)
        )
        reply.add_done_callback(self._on_reply)
        return True

    def collect_replies(self) -> bool:
        """Process the replies that have arrived.

        Returns False after a failure, to ask for a pause.
        """
        while self.has_finished_call():
            call = self._in_flight.popleft()
            reply = None
            if call.reply.done():
                reply = call.reply.result().value_or(None)
            if not isinstance(reply, _messages.AppendReply):
                self.abort()
                return False
            if not self._handle_reply(call, reply):
                self._clear_in_flight()
                return False
        return True

    def abort(self) -> None:
        """Abandon all calls in flight and close the connection.

        Their entries are sent again on a new connection.
        """
        self._peer_connection.close()
        with self._state.lock:
            progress = self._state.progress.get(self._member_id)
            if progress is not None:
                progress.is_reachable = False
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
        term = call.message.term
        with state.lock:
            if reply.term > state.term:
                state.enqueue_work(_work_items.ObserveTerm(reply.term))
            progress = state.progress.get(self._member_id)
            if reply.term > term or state.term != term:
                return True
            if not state.is_leader() or progress is None:
                return True
            progress.is_reachable = True
            if reply.outcome is _messages.Outcome.MISMATCH:
                # Later entries in flight follow this one, so that they will
                # not match either.
                self._in_flight.clear()
            keep_sending = _append_replies.handle_append_reply(
                state, progress, call.message, call.sent_ns, reply
            )
            # Callbacks may wait for locks of the state machine, and this
            # thread has to send heartbeats meanwhile.
            for confirmation in state.take_ready_confirmations():
                state.resolve_later(confirmation.future, result.Success(None))
        return keep_sending


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
