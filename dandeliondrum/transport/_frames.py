"""Framing of messages: a 4-byte big-endian length and a msgpack envelope.

The envelope is the array ``[kind, call_id, payload]``. Reading a frame that
is too long or is not such an envelope raises :class:`FrameError`, upon which
the connection is closed.
"""

import enum
import select
import socket
import struct

import msgpack

FRAME_MAX_BYTES = 64 * 1024 * 1024
RECEIVE_BYTES = 64 * 1024

_LENGTH = struct.Struct('>I')


class FrameKind(enum.IntEnum):
    """Kind of the message in a frame."""

    CALL = 0
    REPLY = 1
    PUSH = 2
    PING = 3
    PONG = 4


class FrameError(Exception):
    """The peer sent bytes that are not a valid frame."""


def pack(kind: FrameKind, call_id: int, payload: bytes) -> bytes:
    """Encode one frame."""
    envelope = msgpack.packb([int(kind), call_id, payload])
    return _LENGTH.pack(len(envelope)) + envelope


def read(stream: socket.socket) -> tuple[FrameKind, int, bytes] | None:
    """Read one frame; return None at the end of the stream.

    Raises FrameError for invalid frames, and OSError (TimeoutError among
    them) as the socket does. No byte after the frame is read.
    """
    header = _read_exactly(stream, _LENGTH.size)
    if header is None:
        return None
    envelope = _read_exactly(stream, _envelope_bytes(header))
    return None if envelope is None else _unpack(envelope)


class FrameReader:
    """Reads all frames of a non-blocking stream.

    It receives whatever has arrived, so that several short frames cost one
    system call. Used by one thread.
    """

    def __init__(self, stream: socket.socket, silence_ms: int) -> None:
        self._stream = stream
        self._silence_ms = silence_ms
        self._received = bytearray()
        self._poll = select.poll()
        self._poll.register(stream, select.POLLIN)

    def read(self) -> tuple[FrameKind, int, bytes] | None:
        """Return the next frame, None at the end of the stream.

        Raises TimeoutError if nothing arrives for ``silence_ms``, and other
        errors as :func:`read` does.
        """
        while (envelope := self._take_envelope()) is None:
            if not self._poll.poll(self._silence_ms):
                raise TimeoutError
            try:
                chunk = self._stream.recv(RECEIVE_BYTES)
            except BlockingIOError:
                continue
            if not chunk:
                return None
            self._received += chunk
        return _unpack(envelope)

    def _take_envelope(self) -> bytes | None:
        received = self._received
        if len(received) < _LENGTH.size:
            return None
        end = _LENGTH.size + _envelope_bytes(received)
        if len(received) < end:
            return None
        envelope = bytes(received[_LENGTH.size : end])
        del received[:end]
        return envelope


def _envelope_bytes(header: bytes | bytearray) -> int:
    (length_bytes,) = _LENGTH.unpack_from(header)
    if length_bytes > FRAME_MAX_BYTES:
        raise FrameError(
            f'frame of {length_bytes} bytes exceeds the limit of '
            f'{FRAME_MAX_BYTES} bytes'
        )
    return length_bytes


def _unpack(envelope: bytes) -> tuple[FrameKind, int, bytes]:
    try:
        kind, call_id, payload = msgpack.unpackb(envelope)
        return FrameKind(kind), int(call_id), bytes(payload)
    except Exception as error:
        raise FrameError(f'invalid envelope: {error}') from error


def _read_exactly(stream: socket.socket, length_bytes: int) -> bytes | None:
    chunks = bytearray()
    while len(chunks) < length_bytes:
        chunk = stream.recv(min(length_bytes - len(chunks), 1 << 18))
        if not chunk:
            return None
        chunks += chunk
    return bytes(chunks)
