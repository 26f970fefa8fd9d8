"""One file of the log.

Before each record stands a marker. The first record of a batch that was
synced together has one of its own, which separates a torn tail from damage: an
unreadable record is a torn tail when no later batch follows, since a batch
is only begun after the one before it is synced.
"""

import contextlib
import os
import pathlib

import structlog

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _records

BATCH_MARKER = b'\xd7DDb'
INNER_MARKER = b'\xd7DDi'
MARKER_BYTES = 4
NAME_PREFIX = 'log-'

_logger = structlog.get_logger()


class Segment:
    """A file with consecutive entries, open for appending."""

    def __init__(
        self, files: _files.Files, folder: pathlib.Path, first_index: int
    ) -> None:
        self.first_index = first_index
        self.path = folder / f'{NAME_PREFIX}{first_index:020}'
        self.size_bytes = 0
        self._files = files
        self._offsets: list[int] = []
        self._descriptor = os.open(
            self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o640
        )

    @property
    def last_index(self) -> int:
        """The index of the last entry; one before the first when empty."""
        return self.first_index + len(self._offsets) - 1

    def append(self, entries: list[_records.Entry]) -> None:
        """Write a batch, without syncing it.

        Raises OSError when the disk refuses. The part that was written is
        then cut off again, also on the disk; StorageError says that this
        failed as well, and that the file must not be used any more.
        """
        parts = []
        offsets = []
        size_bytes = self.size_bytes
        for position, entry in enumerate(entries):
            parts.append(INNER_MARKER if position else BATCH_MARKER)
            parts.append(entry.record)
            offsets.append(size_bytes)
            size_bytes += MARKER_BYTES + len(entry.record)
        try:
            self._files.write(self._descriptor, b''.join(parts))
        except OSError:
            self._cut(self.size_bytes)
            raise
        self._offsets += offsets
        self.size_bytes = size_bytes

    def sync(self) -> None:
        """Return when all that was appended is on the disk."""
        self._files.sync(self._descriptor)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at this index and all after it."""
        position = index - self.first_index
        self._cut(self._offsets[position])
        self.size_bytes = self._offsets[position]
        del self._offsets[position:]

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    def load(self, newest: bool) -> list[_records.Entry]:
        """Read the entries; cut a torn tail when this is the newest file.

        Raises StorageError for damage that is no torn tail.
        """
        data = self.path.read_bytes()
        entries: list[_records.Entry] = []
        while self.size_bytes < len(data):
            try:
                entry = _parse_marked(data, self.size_bytes)
            except _records.RecordError as error:
                self._judge(data, newest, str(error))
                break
            if entry.index != self.last_index + 1:
                raise self._damage(f'entry {entry.index} out of order')
            entries.append(entry)
            self._offsets.append(self.size_bytes)
            self.size_bytes += MARKER_BYTES + len(entry.record)
        return entries

    def _judge(self, data: bytes, newest: bool, why: str) -> None:
        if not newest or _batch_follows(data, self.size_bytes + 1):
            raise self._damage(f'damaged record: {why}')
        _logger.warning(
            'torn tail cut',
            file=str(self.path),
            offset_bytes=self.size_bytes,
            cut_bytes=len(data) - self.size_bytes,
            why=why,
        )
        self._cut(self.size_bytes)

    def _damage(self, detail: str) -> _errors.StorageError:
        return _errors.StorageError(
            _errors.StartError(detail, str(self.path), self.size_bytes)
        )

    def _cut(self, size_bytes: int) -> None:
        try:
            os.ftruncate(self._descriptor, size_bytes)
            self._files.sync(self._descriptor)
        except OSError as error:
            raise _errors.StorageError(
                _errors.StartError(
                    f'cut failed: {error}', str(self.path), size_bytes
                )
            ) from error


def segment_files(folder: pathlib.Path) -> list[tuple[int, pathlib.Path]]:
    """Return the first indexes and paths of the files of a log, in order."""
    found = []
    for path in folder.glob(NAME_PREFIX + '*'):
        with contextlib.suppress(ValueError):
            found.append((int(path.name.removeprefix(NAME_PREFIX)), path))
    return sorted(found)


def _parse_marked(data: bytes, offset: int) -> _records.Entry:
    marker = data[offset : offset + MARKER_BYTES]
    if marker not in (BATCH_MARKER, INNER_MARKER):
        raise _records.RecordError('no marker')
    return _records.parse(data, offset + MARKER_BYTES)


def _batch_follows(data: bytes, offset: int) -> bool:
    while True:
        offset = data.find(BATCH_MARKER, offset)
        if offset < 0:
            return False
        with contextlib.suppress(_records.RecordError):
            _records.parse(data, offset + MARKER_BYTES)
            return True
        offset += 1
