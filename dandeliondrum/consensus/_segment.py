"""Segment files of the log.

A marker precedes each record. The first record of a batch, which is synced as
a whole, has a different marker, so that a torn write can be told from damage.
An unreadable record is part of a torn write if no later batch follows, since a
batch is written only after the previous one has been synced.
"""

import contextlib
import logging
import pathlib

import structlog

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _records

BATCH_MARKER = b'\xd7DDb'
INNER_RECORD_MARKER = b'\xd7DDi'
MARKER_BYTES = 4
FILE_NAME_PREFIX = 'log-'

_logger = structlog.get_logger()


class Segment:
    """A file of consecutive entries, open for appending."""

    def __init__(
        self, files: _files.Files, folder: pathlib.Path, first_index: int
    ) -> None:
        self.first_index = first_index
        self.path = folder / f'{FILE_NAME_PREFIX}{first_index:020}'
        self.size_bytes = 0
        self._files = files
        self._offsets: list[int] = []
        self._descriptor = files.open_for_append(self.path)

    @property
    def last_index(self) -> int:
        """The index of the last entry; ``first_index - 1`` when empty."""
        return self.first_index + len(self._offsets) - 1

    def append(self, entries: list[_records.Entry]) -> None:
        """Append a batch without syncing it.

        Raises OSError when the write fails, after a partial write has been
        truncated and synced. Raises StorageError when that fails too; the
        file must then no longer be used.
        """
        parts = []
        offsets = []
        size_bytes = self.size_bytes
        for position, entry in enumerate(entries):
            parts.append(INNER_RECORD_MARKER if position else BATCH_MARKER)
            parts.append(entry.record)
            offsets.append(size_bytes)
            size_bytes += MARKER_BYTES + len(entry.record)
        try:
            self._files.write(self._descriptor, b''.join(parts))
        except OSError:
            self._truncate_file(self.size_bytes)
            raise
        self._offsets += offsets
        self.size_bytes = size_bytes

    def sync(self) -> None:
        """Flush all appended entries to the disk and wait for it."""
        self._files.sync(self._descriptor)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all entries after it."""
        position = index - self.first_index
        self._truncate_file(self._offsets[position])
        self.size_bytes = self._offsets[position]
        del self._offsets[position:]

    def close(self) -> None:
        """Close the file."""
        self._files.close(self._descriptor)

    def load(self, newest: bool) -> list[_records.Entry]:
        """Read the entries and return them.

        A torn write at the end is truncated when this is the newest segment.
        Raises StorageError for any other damage.
        """
        data = self.path.read_bytes()
        entries: list[_records.Entry] = []
        while self.size_bytes < len(data):
            try:
                entry = _parse_record(data, self.size_bytes)
            except _records.RecordError as error:
                self._cut_torn_tail(data, newest, str(error))
                break
            if entry.index != self.last_index + 1:
                raise self._make_damage_error(
                    f'entry {entry.index} is out of order'
                )
            entries.append(entry)
            self._offsets.append(self.size_bytes)
            self.size_bytes += MARKER_BYTES + len(entry.record)
        return entries

    def _cut_torn_tail(self, data: bytes, newest: bool, why: str) -> None:
        later_offsets = _later_batches(data, self.size_bytes + 1)
        is_damage = not newest or bool(later_offsets)
        tail = data[self.size_bytes :]
        _logger.log(
            logging.ERROR if is_damage else logging.WARNING,
            'log damaged' if is_damage else 'torn tail cut',
            file=str(self.path),
            offset_bytes=self.size_bytes,
            last_index=self.last_index,
            why=why,
            cut_bytes=0 if is_damage else len(tail),
            tail_bytes=len(tail),
            zero_bytes=len(tail) - len(tail.lstrip(b'\0')),
            later_batches=len(later_offsets),
            next_batch_bytes=later_offsets[0] if later_offsets else None,
            is_newest=newest,
        )
        if is_damage:
            raise self._make_damage_error(f'damaged record: {why}')
        self._truncate_file(self.size_bytes)

    def _make_damage_error(self, detail: str) -> _errors.StorageError:
        return _errors.StorageError(
            _errors.StartError(detail, str(self.path), self.size_bytes)
        )

    def _truncate_file(self, size_bytes: int) -> None:
        try:
            self._files.truncate(self._descriptor, size_bytes)
            self._files.sync(self._descriptor)
        except OSError as error:
            raise _errors.StorageError(
                _errors.StartError(
                    f'truncate: {error}', str(self.path), size_bytes
                )
            ) from error


def segment_files(folder: pathlib.Path) -> list[tuple[int, pathlib.Path]]:
    """Return the first index and path of each segment file, in order."""
    found = []
    for path in folder.glob(FILE_NAME_PREFIX + '*'):
        with contextlib.suppress(ValueError):
            found.append((int(path.name.removeprefix(FILE_NAME_PREFIX)), path))
    return sorted(found)


def _parse_record(data: bytes, offset: int) -> _records.Entry:
    marker = data[offset : offset + MARKER_BYTES]
    if marker not in (BATCH_MARKER, INNER_RECORD_MARKER):
        raise _records.RecordError('missing record marker')
    return _records.parse(data, offset + MARKER_BYTES)


def _later_batches(data: bytes, offset: int) -> list[int]:
    """Return the offsets of the readable batches from ``offset`` on."""
    found = []
    while (offset := data.find(BATCH_MARKER, offset)) >= 0:
        with contextlib.suppress(_records.RecordError):
            _records.parse(data, offset + MARKER_BYTES)
            found.append(offset)
        offset += 1
    return found
