"""Sends entries to one peer without waiting for each answer.

A few calls may be under way at once, so that a peer far away costs one round
trip and not two. The answers are taken in the order of the calls; after one
that failed, the rest is given up and sent anew.
"""

import collections
import dataclasses
import time
import zlib

from returns import result

from dandeliondrum.consensus import _link
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _replies
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _works
from dandeliondrum import messages
from dandeliondrum import transport


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _UnderWay:
    """A call that was sent and is not yet answered."""

    message: _messages.AppendEntries
    sent_ns: int
    deadline_ns: int
    reply: transport.CallFuture


class Pipeline:
    """The calls under way to one peer; used by the peer's task alone."""

    def __init__(
        self,
        state: _state.NodeState,
        link: _link.Link,
        member_id: messages.ControllerId,
    ) -> None:
        self._state = state
        self._link = link
        self._id = member_id
        self._under_way: collections.deque[_UnderWay] = collections.deque()
        self._sent = state.metrics.sent_bytes.labels(member_id)
        self._sent_raw = state.metrics.sent_raw_bytes.labels(member_id)

    def has_room(self) -> bool:
        """Whether another call may be sent now."""
        return len(self._under_way) < _options.CALLS_UNDER_WAY_MAX

    def has_news(self) -> bool:
        """Whether the oldest call is answered or overdue."""
        if not self._under_way:
            return False
        oldest = self._under_way[0]
        return oldest.reply.done() or time.monotonic_ns() >= oldest.deadline_ns

    def deadline_ns(self) -> int | None:
        """When the oldest call becomes overdue, None without any."""
        return self._under_way[0].deadline_ns if self._under_way else None

    def send(
        self,
        address: str,
        message: _messages.AppendEntries,
        entries: list[_records.Entry],
    ) -> bool:
        """Send entries, or a heartbeat; False when that is not possible."""
        message, raw_bytes = _pack(message, entries)
        size_bytes = len(message.records)
        self._sent.inc(size_bytes)
        self._sent_raw.inc(raw_bytes)
        sent_ns = time.monotonic_ns()
        reply = self._link.start(address, message)
        if reply is None:
            self.give_up()
            return False
        limit_ns = self._link.timeout_ms(size_bytes) * _progress.NS_PER_MS
        self._under_way.append(
            _UnderWay(message, sent_ns, sent_ns + limit_ns, reply)
        )
        reply.add_done_callback(self._wake)
        return True

    def collect(self) -> bool:
        """Take the answers that have arrived; False asks for a pause."""
        while self.has_news():
            call = self._under_way.popleft()
            reply = None
            if call.reply.done():
                reply = call.reply.result().value_or(None)
            if not isinstance(reply, _messages.AppendReply):
                self.give_up()
                return False
            if not self._take(call, reply):
                self._forget()
                return False
        return True

    def give_up(self) -> None:
        """Send all that is not answered anew, on another stream."""
        self._link.close()
        with self._state.lock:
            progress = self._state.progress.get(self._id)
            if progress is not None:
                progress.up = False
        self._forget()

    def _forget(self) -> None:
        self._under_way.clear()
        with self._state.lock:
            progress = self._state.progress.get(self._id)
            if progress is not None:
                progress.rewind()

    def _wake(self, _reply: transport.CallFuture) -> None:
        with self._state.lock:
            self._state.peers_wake.notify_all()

    def _take(self, call: _UnderWay, reply: _messages.AppendReply) -> bool:
        state = self._state
        term = call.message.term
        with state.lock:
            if reply.term > state.term:
                state.put(_works.ObserveTerm(reply.term))
            progress = state.progress.get(self._id)
            if reply.term > term or state.term != term:
                return True
            if not state.leads() or progress is None:
                return True
            progress.up = True
            if reply.outcome is _messages.Outcome.MISMATCH:
                # What was sent after it does not match either.
                self._under_way.clear()
            going_on = _replies.note_append(
                state, progress, call.message, call.sent_ns, reply
            )
            confirmed = state.settle_confirmations()
        for confirmation in confirmed:
            _works.settle(confirmation.future, result.Success(None))
        return going_on


def _pack(
    message: _messages.AppendEntries, entries: list[_records.Entry]
) -> tuple[_messages.AppendEntries, int]:
    """Return the message with its records, and their original size."""
    records = b''.join([entry.record for entry in entries])
    raw_bytes = len(records)
    compressed = raw_bytes >= _options.COMPRESS_FROM_BYTES
    if compressed:
        records = zlib.compress(records, _options.COMPRESSION_LEVEL)
    packed = dataclasses.replace(
        message, records=records, compressed=compressed
    )
    return packed, raw_bytes
