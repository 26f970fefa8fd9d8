"""Entries of the log and their records.

A record is a header (checksum, length, term, index, kind) and the payload.
It is made once, by the leader; the same bytes go to the followers and onto
every disk, so the checksum guards an entry on its whole way.
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
    """What the payload of an entry is."""

    EMPTY = 0
    COMMAND = 1
    MEMBERSHIP = 2


class RecordError(Exception):
    """Bytes that are no whole record."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One entry and the bytes of its record."""

    index: int
    term: int
    kind: EntryKind
    record: bytes

    @property
    def payload(self) -> bytes:
        """The command or membership that the entry holds."""
        return self.record[HEADER_BYTES:]


def make(index: int, term: int, kind: EntryKind, payload: bytes) -> Entry:
    """Return an entry with its record."""
    head = _HEADER.pack(0, len(payload), term, index, kind)
    checksum = zlib.crc32(payload, zlib.crc32(head[_CHECKSUM.size :]))
    record = _CHECKSUM.pack(checksum) + head[_CHECKSUM.size :] + payload
    return Entry(index, term, kind, record)


def parse(data: bytes, offset: int) -> Entry:
    """Return the entry whose record begins at the offset.

    Raises RecordError when there is no whole record.
    """
    if len(data) - offset < HEADER_BYTES:
        raise RecordError('cut within the header')
    checksum, length_bytes, term, index, kind = _HEADER.unpack_from(
        data, offset
    )
    end = offset + HEADER_BYTES + length_bytes
    if end > len(data):
        raise RecordError('cut within the payload')
    record = bytes(data[offset:end])
    if zlib.crc32(record[_CHECKSUM.size :]) != checksum:
        raise RecordError('checksum does not match')
    try:
        return Entry(index, term, EntryKind(kind), record)
    except ValueError as error:
        raise RecordError(str(error)) from error


def parse_all(data: bytes) -> collections.abc.Iterator[Entry]:
    """Yield the entries of records that stand one after the other.

    Raises RecordError at the first that is not whole.
    """
    offset = 0
    while offset < len(data):
        entry = parse(data, offset)
        yield entry
        offset += len(entry.record)
