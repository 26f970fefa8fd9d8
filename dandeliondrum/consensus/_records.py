"""Log entries and their binary records.

A record is a header (checksum, length, term, index, kind) and the payload.
The leader creates it once. The same bytes are sent to the followers and stored
on every disk, so that the checksum protects an entry end to end.
"""

import collections.abc
import dataclasses
import enum
import struct
import zlib

_HEADER = struct.Struct('>IIQQB')
_CHECKSUM = struct.Struct('>I')
HEADER_BYTES = _HEADER.size


class EntryKind(enum.IntEnum):
    """Type of the payload of an entry."""

    EMPTY = 0
    COMMAND = 1
    MEMBERSHIP = 2


class RecordError(Exception):
    """Raised for bytes that are not a complete, undamaged record."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A log entry and the bytes of its record."""

    index: int
    term: int
    kind: EntryKind
    record: bytes

    @property
    def payload(self) -> bytes:
        """The encoded command or membership of the entry."""
        return self.record[HEADER_BYTES:]


def make(index: int, term: int, kind: EntryKind, payload: bytes) -> Entry:
    """Create an entry and its record."""
    head = _HEADER.pack(0, len(payload), term, index, kind)
    checksum = zlib.crc32(payload, zlib.crc32(head[_CHECKSUM.size :]))
    record = _CHECKSUM.pack(checksum) + head[_CHECKSUM.size :] + payload
    return Entry(index, term, kind, record)


def parse(data: bytes, offset: int) -> Entry:
    """Return the entry whose record begins at ``offset`` in bytes.

    Raises RecordError when the record is incomplete or damaged.
    """
    if len(data) - offset < HEADER_BYTES:
        raise RecordError('incomplete header')
    checksum, length_bytes, term, index, kind = _HEADER.unpack_from(
        data, offset
    )
    end = offset + HEADER_BYTES + length_bytes
    if end > len(data):
        raise RecordError('incomplete payload')
    record = bytes(data[offset:end])
    if zlib.crc32(record[_CHECKSUM.size :]) != checksum:
        raise RecordError('checksum does not match')
    try:
        return Entry(index, term, EntryKind(kind), record)
    except ValueError as error:
        raise RecordError(str(error)) from error


def parse_all(data: bytes) -> collections.abc.Iterator[Entry]:
    """Yield the entries of consecutive records.

    Raises RecordError at the first incomplete or damaged record.
    """
    offset = 0
    while offset < len(data):
        entry = parse(data, offset)
        yield entry
        offset += len(entry.record)
