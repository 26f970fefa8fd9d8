"""Snapshot files of the replicated state.

A file holds a checksum of the rest, a header with the index and term of the
last included entry and the membership at that entry, and the data of the state
machine. The same bytes are sent to followers in parts.
"""

import contextlib
import dataclasses
import pathlib
import struct
import zlib

from returns import result

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _messages
from dandeliondrum import messages

FILE_NAME_PREFIX = 'snapshot-'
INCOMING_FILE_NAME = 'incoming-snapshot'

_LENGTHS = struct.Struct('>II')
_CHECKSUM_BYTES = 4


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotHead:
    """Index and term of the last included entry, and its membership."""

    index: int
    term: int
    membership: _messages.Membership


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A complete snapshot: its header and the state machine's data."""

    head: SnapshotHead
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotFile:
    """Path of a snapshot file, and the index of its last entry."""

    index: int
    path: pathlib.Path


class SnapshotStore:
    """Snapshot files of a data folder; only the newest one is used."""

    def __init__(self, files: _files.Files, folder: pathlib.Path) -> None:
        self._files = files
        self._folder = folder

    def newest(self) -> SnapshotFile | None:
        """Return the newest snapshot file, None when there is none."""
        paths = self._paths()
        if not paths:
            return None
        index = int(paths[-1].name.removeprefix(FILE_NAME_PREFIX))
        return SnapshotFile(index, paths[-1])

    def load(self) -> Snapshot | None:
        """Load the newest snapshot, None when there is none.

        Raises StorageError when it is damaged.
        """
        newest = self.newest()
        if newest is None:
            return None
        path = newest.path
        snapshot = unpack(path.read_bytes())
        if snapshot is None:
            raise _errors.StorageError(
                _errors.StartError(
                    'the snapshot is damaged', str(path), is_damage=True
                )
            )
        return snapshot

    def save(self, snapshot: Snapshot) -> None:
        """Write a snapshot and delete older ones.

        Raises OSError when the write fails.
        """
        path = self._path(snapshot.head.index)
        self._files.replace(path, pack(snapshot))
        self._delete_older_than(path)

    def write_part(self, offset_bytes: int, data: bytes) -> None:
        """Write and sync a received part of a snapshot.

        The part at offset 0 starts a new file. Raises OSError when the write
        fails.
        """
        path = self._folder / INCOMING_FILE_NAME
        descriptor = self._files.open_for_write(
            path, keeps_data=offset_bytes > 0
        )
        try:
            self._files.seek(descriptor, offset_bytes)
            self._files.write(descriptor, data)
            self._files.sync(descriptor)
        finally:
            self._files.close(descriptor)

    def install_received(self) -> Snapshot | None:
        """Install the received file as the newest snapshot.

        Returns the snapshot. Deletes the file and returns None when it is
        damaged.
        """
        path = self._folder / INCOMING_FILE_NAME
        snapshot = unpack(path.read_bytes())
        if snapshot is None:
            self._files.remove(path)
            return None
        target = self._path(snapshot.head.index)
        self._files.rename(path, target)
        self._files.sync_folder(self._folder)
        self._delete_older_than(target)
        return snapshot

    def _path(self, index: int) -> pathlib.Path:
        return self._folder / f'{FILE_NAME_PREFIX}{index:020}'

    def _paths(self) -> list[pathlib.Path]:
        return sorted(
            path
            for path in self._folder.glob(FILE_NAME_PREFIX + '*')
            if path.name.removeprefix(FILE_NAME_PREFIX).isdigit()
        )

    def _delete_older_than(self, kept: pathlib.Path) -> None:
        for path in self._paths():
            if path < kept:
                with contextlib.suppress(OSError):
                    self._files.remove(path)


def pack(snapshot: Snapshot) -> bytes:
    """Return the contents of a snapshot file."""
    head = messages.encode(snapshot.head)
    lengths = _LENGTHS.pack(len(head), len(snapshot.data))
    body = lengths + head + snapshot.data
    return zlib.crc32(body).to_bytes(_CHECKSUM_BYTES, 'big') + body


def unpack(data: bytes) -> Snapshot | None:
    """Parse the contents of a snapshot file, None when it is damaged."""
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
