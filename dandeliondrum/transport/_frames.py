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


def read(
    stream: socket.socket, length_max: int = FRAME_MAX_BYTES
) -> tuple[FrameKind, int, bytes] | None:
    """Read one frame; return None at the end of the stream.

    Raises FrameError for invalid frames, and OSError (TimeoutError among
    them) as the socket does.
    """
    header = _read_exactly(stream, _LENGTH.size)
    if header is None:
        return None
    (length_bytes,) = _LENGTH.unpack(header)
    if length_bytes > length_max:
        raise FrameError(
            f'frame of {length_bytes} bytes exceeds the limit of '
            f'{length_max} bytes'
        )
    envelope = _read_exactly(stream, length_bytes)
    if envelope is None:
        return None
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
