"""Snapshots of the replicated state in files.

A file holds a checksum over the rest, a head with the last entry that the
state contains and the membership as of then, and the machine's own data. The
followers receive these same bytes in parts.
"""

import contextlib
import dataclasses
import os
import pathlib
import struct
import zlib

from returns import result

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _messages
from dandeliondrum import messages

NAME_PREFIX = 'snapshot-'
INCOMING_NAME = 'incoming-snapshot'

_LENGTHS = struct.Struct('>II')
_CHECKSUM_BYTES = 4


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotHead:
    """Which entry a snapshot ends with, and the membership there."""

    index: int
    term: int
    membership: _messages.Membership


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A snapshot as a whole."""

    head: SnapshotHead
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotFile:
    """Where a snapshot is, and which entry it ends with."""

    index: int
    path: pathlib.Path


class SnapshotStore:
    """The snapshots in a folder, of which the newest counts."""

    def __init__(self, files: _files.Files, folder: pathlib.Path) -> None:
        self._files = files
        self._folder = folder

    def newest(self) -> SnapshotFile | None:
        """Return the file of the newest snapshot."""
        paths = self._paths()
        if not paths:
            return None
        index = int(paths[-1].name.removeprefix(NAME_PREFIX))
        return SnapshotFile(index, paths[-1])

    def load(self) -> Snapshot | None:
        """Return the newest snapshot, None when there is none.

        Raises StorageError when it is damaged.
        """
        newest = self.newest()
        if newest is None:
            return None
        path = newest.path
        snapshot = unpack(path.read_bytes())
        if snapshot is None:
            raise _errors.StorageError(
                _errors.StartError('the snapshot is damaged', str(path))
            )
        return snapshot

    def save(self, snapshot: Snapshot) -> None:
        """Write a snapshot and drop older ones; OSError when it can't."""
        path = self._path(snapshot.head.index)
        self._files.replace(path, pack(snapshot))
        self._drop_before(path)

    def receive(self, offset_bytes: int, data: bytes) -> None:
        """Write a part of a snapshot that arrives."""
        path = self._folder / INCOMING_NAME
        flags = os.O_WRONLY | os.O_CREAT
        if offset_bytes == 0:
            flags |= os.O_TRUNC
        descriptor = os.open(path, flags, 0o640)
        try:
            os.lseek(descriptor, offset_bytes, os.SEEK_SET)
            self._files.write(descriptor, data)
            self._files.sync(descriptor)
        finally:
            os.close(descriptor)

    def take_received(self) -> Snapshot | None:
        """Make the received file the newest; None when it is damaged."""
        path = self._folder / INCOMING_NAME
        snapshot = unpack(path.read_bytes())
        if snapshot is None:
            path.unlink()
            return None
        target = self._path(snapshot.head.index)
        path.replace(target)
        self._files.sync_folder(self._folder)
        self._drop_before(target)
        return snapshot

    def _path(self, index: int) -> pathlib.Path:
        return self._folder / f'{NAME_PREFIX}{index:020}'

    def _paths(self) -> list[pathlib.Path]:
        return sorted(
            path
            for path in self._folder.glob(NAME_PREFIX + '*')
            if path.name.removeprefix(NAME_PREFIX).isdigit()
        )

    def _drop_before(self, kept: pathlib.Path) -> None:
        for path in self._paths():
            if path < kept:
                with contextlib.suppress(OSError):
                    path.unlink()


def pack(snapshot: Snapshot) -> bytes:
    """Return the bytes of a snapshot's file."""
    head = messages.encode(snapshot.head)
    lengths = _LENGTHS.pack(len(head), len(snapshot.data))
    body = lengths + head + snapshot.data
    return zlib.crc32(body).to_bytes(_CHECKSUM_BYTES, 'big') + body


def unpack(data: bytes) -> Snapshot | None:
    """Return the snapshot in a file's bytes, None when it is not whole."""
    body = data[_CHECKSUM_BYTES:]
    checksum = int.from_bytes(data[:_CHECKSUM_BYTES], 'big')
    if len(body) < _LENGTHS.size or zlib.crc32(body) != checksum:
        return None
    head_bytes, data_bytes = _LENGTHS.unpack_from(body)
    head_end = _LENGTHS.size + head_bytes
    if len(body) != head_end + data_bytes:
        return None
    match messages.decode(body[_LENGTHS.size : head_end]):
        case result.Success(head) if isinstance(head, SnapshotHead):
            return Snapshot(head, body[head_end:])
    return None
