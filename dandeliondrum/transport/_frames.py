"""Framing of messages: a 4-byte big-endian length and a msgpack envelope.

The envelope is the array ``[kind, call_id, payload]``. Reading a frame that
is too long or is not such an envelope raises :class:`FrameError`, upon which
the connection is closed.
"""

import enum
import socket
import struct

import msgpack

FRAME_MAX_BYTES = 64 * 1024 * 1024

_LENGTH = struct.Struct('>I')
# Bytes to ask a stream for; more of a frame that is known to be longer, since
# Python allocates them for each read.
_READ_BYTES = 32 * 1024
_READ_MAX_BYTES = 256 * 1024


class FrameKind(enum.IntEnum):
    """Kind of the message in a frame."""

    CALL = 0
    REPLY = 1
    PUSH = 2
    PING = 3
    PONG = 4


Frame = tuple[FrameKind, int, bytes]


class FrameError(Exception):
    """The peer sent bytes that are not a valid frame."""


def pack(kind: FrameKind, call_id: int, payload: bytes) -> bytes:
    """Encode one frame."""
    envelope = msgpack.packb([int(kind), call_id, payload])
    return _LENGTH.pack(len(envelope)) + envelope


def read(
    stream: socket.socket, length_max: int = FRAME_MAX_BYTES
) -> Frame | None:
    """Read one frame and nothing behind it; None at the end of the stream.

    Raises FrameError for invalid frames, and OSError (TimeoutError among
    them) as the socket does.
    """
    header = _read_exactly(stream, _LENGTH.size)
    if header is None:
        return None
    length_bytes = _frame_length(header, length_max)
    envelope = _read_exactly(stream, length_bytes)
    if envelope is None:
        return None
    return _unpack(envelope)


class Reader:
    """Reads frames of a stream, several with one system call if possible.

    A read takes the interpreter's lock anew, for which it waits while other
    threads are busy.

    Example::

        reader = Reader(stream)
        while (frame := reader.read()) is not None:
            ...
    """

    def __init__(self, stream: socket.socket) -> None:
        self._stream = stream
        self._buffer = bytearray()

    def read(self) -> Frame | None:
        """Read one frame; raises what :func:`read` does."""
        if not self._fill(_LENGTH.size):
            return None
        length_bytes = _frame_length(self._buffer, FRAME_MAX_BYTES)
        end = _LENGTH.size + length_bytes
        if not self._fill(end):
            return None
        envelope = bytes(self._buffer[_LENGTH.size : end])
        del self._buffer[:end]
        return _unpack(envelope)

    def _fill(self, length_bytes: int) -> bool:
        """Read until the buffer is that long; return False at the end."""
        while (missing := length_bytes - len(self._buffer)) > 0:
            chunk = self._stream.recv(
                max(_READ_BYTES, min(missing, _READ_MAX_BYTES))
            )
            if not chunk:
                return False
            self._buffer += chunk
        return True


def _frame_length(header: bytes | bytearray, length_max: int) -> int:
    (length_bytes,) = _LENGTH.unpack_from(header)
    if length_bytes > length_max:
        raise FrameError(
            f'frame of {length_bytes} bytes exceeds the limit of '
            f'{length_max} bytes'
        )
    return int(length_bytes)


def _unpack(envelope: bytes) -> Frame:
    try:
        kind, call_id, payload = msgpack.unpackb(envelope)
        return FrameKind(kind), int(call_id), bytes(payload)
    except Exception as error:
        raise FrameError(f'invalid envelope: {error}') from error


def _read_exactly(stream: socket.socket, length_bytes: int) -> bytes | None:
    chunks = bytearray()
    while len(chunks) < length_bytes:
        chunk = stream.recv(min(length_bytes - len(chunks), _READ_MAX_BYTES))
        if not chunk:
            return None
        chunks += chunk
    return bytes(chunks)
