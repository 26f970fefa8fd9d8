"""Receives requests of one connection without blocking."""

import contextlib
import enum
import io
import os
import re
import socket

from cheroot import makefile

from dandeliondrum.http_server import _budget
from dandeliondrum.http_server import _limits

RECEIVE_BYTES = 256 * 1024
# Reads of one connection before the next connection has its turn.
RECEIVES_MAX = 4
# A handler copies the body out of the buffer.
BODY_COPIES = 2
CHUNK_LINE_BYTES_MAX = 256
# Six bytes on the wire for each byte of a body sent in chunks of one byte.
CHUNKED_BYTES_PER_BYTE = 6
# The server library reads lines in pieces of this size, and refuses a head
# when it has read more than the limit.
HEAD_PIECE_BYTES = 256

# Far more than any limit has.
LENGTH_DIGITS_MAX = 18

_FRAMING = re.compile(
    rb'\r\n(content-length|transfer-encoding|expect)[ \t]*:[ \t]*([^\r\n]*)',
    re.IGNORECASE,
)
_BARE_NEWLINE = re.compile(rb'(?<!\r)\n')


class State(enum.Enum):
    """State of a request that is being received."""

    PARTIAL = 'partial'
    # To be served, or to be refused by what is in the attributes.
    READY = 'ready'
    CLOSED = 'closed'


class _MalformedError(ValueError):
    """A chunked body is not well-formed."""


class Arrival(io.RawIOBase):
    """Receiver of the requests of one connection.

    As a stream it ends with the current request. ``overloaded`` says that the
    budget did not suffice for its body, ``too_large`` that its body exceeds
    the limit of the server; such a body was not received.
    """

    def __init__(
        self,
        stream: socket.socket,
        limits: _limits.Limits,
        budget: _budget.ByteBudget,
    ) -> None:
        self.reservation = budget.open()
        self._stream = stream
        self._limits = limits
        self._buffer = bytearray()
        self._reset()

    def _reset(self) -> None:
        self.overloaded = False
        self.too_large = False
        self.is_whole = False
        self._at_end = False
        self._left_bytes = 0
        self._scanned_bytes = 0
        self._head_bytes = 0
        # Length of the request; 0 while it is unknown.
        self._request_bytes = 0
        self._chunk_at: int | None = None
        self._chunked_bytes = 0
        self._in_trailers = False

    @property
    def has_data(self) -> bool:
        """Return whether a part of a request has arrived."""
        return bool(self._buffer)

    @property
    def has_head(self) -> bool:
        """Return whether the head of the request has arrived completely."""
        return self._head_bytes > 0

    def receive(self) -> State:
        """Receive what has arrived and return what is there of a request."""
        for _ in range(RECEIVES_MAX):
            if self._buffer and self._examine():
                return self._ready()
            try:
                # The descriptor doesn't block; ``recv`` waits on a socket
                # with a timeout, also with MSG_DONTWAIT.
                piece = os.read(self._stream.fileno(), self._missing_bytes())
            except (BlockingIOError, InterruptedError):
                return State.PARTIAL
            except OSError:
                return State.CLOSED
            if not piece:
                self._at_end = True
                return self.give_up() if self._buffer else State.CLOSED
            self._buffer += piece
        if self._examine():
            return self._ready()
        return State.PARTIAL

    def give_up(self) -> State:
        """Pass on what has arrived, although the request is not complete."""
        self._left_bytes = len(self._buffer)
        return State.READY

    def next_request(self) -> None:
        """Discard what is left of the request and give back its bytes."""
        del self._buffer[: self._left_bytes]
        self._reset()
        self.reservation.release()

    def discard(self) -> None:
        """Discard everything that has arrived."""
        self._buffer.clear()
        self.reservation.release()

    def readable(self) -> bool:
        return True

    def readinto(self, target) -> int:  # type: ignore[no-untyped-def]
        count = min(len(target), self._left_bytes, len(self._buffer))
        target[:count] = self._buffer[:count]
        del self._buffer[:count]
        self._left_bytes -= count
        return count

    def close(self) -> None:
        """Stay open: each request has a reader of its own."""

    def _ready(self) -> State:
        self.is_whole = not (self.overloaded or self.too_large)
        wanted = self._request_bytes if self.is_whole else self._head_bytes
        self._left_bytes = min(wanted or len(self._buffer), len(self._buffer))
        return State.READY

    def _missing_bytes(self) -> int:
        if not self._head_bytes:
            return self._limits.header_bytes_max + HEAD_PIECE_BYTES
        if self._request_bytes:
            missing_bytes = self._request_bytes - len(self._buffer)
            return min(RECEIVE_BYTES, missing_bytes)
        return RECEIVE_BYTES

    def _examine(self) -> bool:
        """Return whether the request can be passed on."""
        if not self._head_bytes and not self._find_head():
            # The server library answers heads that it can't read.
            is_malformed = _BARE_NEWLINE.search(self._buffer) is not None
            return is_malformed or len(self._buffer) > (
                self._limits.header_bytes_max + HEAD_PIECE_BYTES
            )
        if self.overloaded or self.too_large:
            return True
        if self._chunk_at is not None and not self._request_bytes:
            return self._examine_chunks()
        return len(self._buffer) >= self._request_bytes

    def _find_head(self) -> bool:
        position = self._buffer.find(b'\r\n\r\n', self._scanned_bytes)
        if position < 0:
            self._scanned_bytes = max(0, len(self._buffer) - 3)
            return False
        self._head_bytes = position + 4
        fields = {
            name.lower(): value.strip()
            for name, value in _FRAMING.findall(
                bytes(self._buffer[: self._head_bytes])
            )
        }
        if b'chunked' in fields.get(b'transfer-encoding', b'').lower():
            self._chunk_at = self._head_bytes
        else:
            self._expect_body(fields.get(b'content-length', b'0'))
        awaited = len(self._buffer) <= self._head_bytes
        is_refused = self.overloaded or self.too_large
        has_body = self._request_bytes != self._head_bytes
        if b'expect' in fields and awaited and has_body and not is_refused:
            with contextlib.suppress(OSError):
                os.write(
                    self._stream.fileno(), b'HTTP/1.1 100 Continue\r\n\r\n'
                )
        return True

    def _expect_body(self, declared: bytes) -> None:
        # The server library refuses what is not a number.
        digits = declared[:LENGTH_DIGITS_MAX]
        body_bytes = int(digits) if digits.isdigit() else 0
        self._request_bytes = self._head_bytes + body_bytes
        if body_bytes > self._limits.body_bytes_max:
            self.too_large = True
        elif not self.reservation.grow(BODY_COPIES * body_bytes):
            self.overloaded = True

    def _examine_chunks(self) -> bool:
        body_bytes = len(self._buffer) - self._head_bytes
        # What the next receive may add is reserved before it arrives.
        size_bytes = BODY_COPIES * (body_bytes + RECEIVE_BYTES)
        if body_bytes > CHUNKED_BYTES_PER_BYTE * self._limits.body_bytes_max:
            self.too_large = True
            return True
        try:
            if self._find_last_chunk():
                return True
        except ValueError:
            # The server library answers bodies that it can't read.
            self._request_bytes = len(self._buffer)
            return True
        if not self.too_large and not self.reservation.grow_to(size_bytes):
            self.overloaded = True
        return self.too_large or self.overloaded

    def _find_last_chunk(self) -> bool:
        """Follow the chunks; return whether the last one has arrived."""
        while self._chunk_at is not None and self._chunk_at < len(
            self._buffer
        ):
            end = self._buffer.find(
                b'\r\n', self._chunk_at, self._chunk_at + CHUNK_LINE_BYTES_MAX
            )
            if end < 0:
                if len(self._buffer) - self._chunk_at >= CHUNK_LINE_BYTES_MAX:
                    raise _MalformedError('a line is too long')
                return False
            if self._in_trailers:
                is_last = end == self._chunk_at
                self._chunk_at = end + 2
                if is_last:
                    self._request_bytes = end + 2
                    return True
            else:
                self._enter_chunk(end)
        return False

    def _enter_chunk(self, line_end: int) -> None:
        line = bytes(self._buffer[self._chunk_at : line_end])
        size_bytes = int(line.partition(b';')[0], 16)
        if size_bytes < 0:
            raise _MalformedError('negative length')
        self._chunked_bytes += size_bytes
        if self._chunked_bytes > self._limits.body_bytes_max:
            self.too_large = True
        self._in_trailers = size_bytes == 0
        self._chunk_at = line_end + 2 + (size_bytes + 2 if size_bytes else 0)


class Reader(makefile.StreamReader):
    """Buffered reader of one request."""

    def __init__(self, arrival: Arrival) -> None:
        # The constructor of the base class wants a socket.
        super(makefile.StreamReader, self).__init__(arrival)
        self.bytes_read = 0
        self._arrival = arrival

    def has_data(self) -> bool:
        """Return whether a part of the next request has arrived."""
        return self._arrival.has_data
