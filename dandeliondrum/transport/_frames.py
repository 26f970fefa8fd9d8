"""Frames on a stream: a length, then a msgpack envelope.

The envelope is ``[kind, call_id, payload]``. A frame that is too long or is
no envelope ends the stream with :class:`FrameError`.
"""

import enum
import socket
import struct

import msgpack

LONGEST_FRAME_BYTES = 64 * 1024 * 1024

_LENGTH = struct.Struct('>I')


class FrameKind(enum.IntEnum):
    """What a frame carries."""

    CALL = 0
    REPLY = 1
    PUSH = 2
    PING = 3
    PONG = 4


class FrameError(Exception):
    """The other end sent something that is not a frame."""


def pack(kind: FrameKind, call_id: int, payload: bytes) -> bytes:
    """Return the bytes of one frame."""
    envelope = msgpack.packb([int(kind), call_id, payload])
    return _LENGTH.pack(len(envelope)) + envelope


def read(stream: socket.socket) -> tuple[FrameKind, int, bytes] | None:
    """Read one frame; None at the end of the stream."""
    head = _read_exactly(stream, _LENGTH.size)
    if head is None:
        return None
    (length_bytes,) = _LENGTH.unpack(head)
    if length_bytes > LONGEST_FRAME_BYTES:
        raise FrameError(f'frame of {length_bytes} bytes is too long')
    envelope = _read_exactly(stream, length_bytes)
    if envelope is None:
        return None
    try:
        kind, call_id, payload = msgpack.unpackb(envelope)
        return FrameKind(kind), int(call_id), bytes(payload)
    except Exception as error:
        raise FrameError(f'not an envelope: {error}') from error


def _read_exactly(stream: socket.socket, length_bytes: int) -> bytes | None:
    chunks = bytearray()
    while len(chunks) < length_bytes:
        chunk = stream.recv(min(length_bytes - len(chunks), 1 << 18))
        if not chunk:
            return None
        chunks += chunk
    return bytes(chunks)
