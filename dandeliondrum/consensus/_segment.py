"""Segment files of the log.

Each append writes a batch: a header and its entries, each a record after a
marker. The header states up to which offset the file was synced when the batch
was written. After a loss of power the writes since the last sync are present,
missing or torn, each by itself. So unreadable bytes are damage only below an
offset that a header states; above it, the file is cut at them.

Batches of earlier versions have no header, and the marker of a batch before
their first entry. They were written only after the previous ones had been
synced. An earlier version refuses a header as an entry that is out of order.
"""

import contextlib
import logging
import pathlib
import struct

import structlog

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _records

BATCH_MARKER = b'\xd7DDb'
INNER_RECORD_MARKER = b'\xd7DDi'
MARKER_BYTES = 4
# The index of no entry marks the record of a header. Its payload is its own
# offset in the file, and the synced bytes.
_HEADER_INDEX = 0
_HEADER_PAYLOAD = struct.Struct('>QQ')
HEADER_BYTES = MARKER_BYTES + _records.HEADER_BYTES + _HEADER_PAYLOAD.size
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
        self._synced_bytes = 0
        self._has_headers = False
        # An entry that begins a batch begins at the header.
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
        parts = [_pack_header(self.size_bytes, self._synced_bytes)]
        offsets = []
        end_bytes = self.size_bytes
        size_bytes = end_bytes + HEADER_BYTES
        for entry in entries:
            parts += [INNER_RECORD_MARKER, entry.record]
            offsets.append(end_bytes)
            size_bytes += MARKER_BYTES + len(entry.record)
            end_bytes = size_bytes
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
        self._synced_bytes = self.size_bytes

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

        In the newest segment, what no sync has covered is cut from the first
        unreadable entry on. Raises StorageError for any other damage.
        """
        data = self.path.read_bytes()
        entries: list[_records.Entry] = []
        while self.size_bytes < len(data):
            try:
                entry, end_bytes = _parse_entry(data, self.size_bytes)
            except _records.RecordError as error:
                self._cut_unsynced(data, newest, str(error))
                break
            if entry.index != self.last_index + 1:
                raise self._make_damage_error(
                    f'entry {entry.index} is out of order'
                )
            entries.append(entry)
            self._has_headers = self._has_headers or _has_header(
                data, self.size_bytes
            )
            self._offsets.append(self.size_bytes)
            self.size_bytes = end_bytes
        return entries

    def _cut_unsynced(self, data: bytes, newest: bool, why: str) -> None:
        later = _later_batches(data, self.size_bytes + 1, self._has_headers)
        synced_bytes = max(later.values(), default=0)
        is_damage = not newest or synced_bytes > self.size_bytes
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
            later_batches=len(later),
            next_batch_bytes=min(later, default=None),
            synced_bytes=synced_bytes,
            is_newest=newest,
        )
        if is_damage:
            raise self._make_damage_error(f'damaged record: {why}')
        self._truncate_file(self.size_bytes)

    def _make_damage_error(self, detail: str) -> _errors.StorageError:
        return _errors.StorageError(
            _errors.StartError(
                detail, str(self.path), self.size_bytes, is_damage=True
            )
        )

    def _truncate_file(self, size_bytes: int) -> None:
        try:
            self._files.truncate(self._descriptor, size_bytes)
        except OSError as error:
            raise _errors.make_disk_error(
                'truncate', error, str(self.path), size_bytes
            ) from error
        try:
            self._files.sync(self._descriptor)
        except OSError as error:
            # Not retried, as in Log.sync.
            raise _errors.StorageError(
                _errors.StartError(
                    f'sync: {error}', str(self.path), size_bytes
                )
            ) from error
        self._synced_bytes = size_bytes


def segment_files(folder: pathlib.Path) -> list[tuple[int, pathlib.Path]]:
    """Return the first index and path of each segment file, in order."""
    found = []
    for path in folder.glob(FILE_NAME_PREFIX + '*'):
        with contextlib.suppress(ValueError):
            found.append((int(path.name.removeprefix(FILE_NAME_PREFIX)), path))
    return sorted(found)


def _pack_header(offset_bytes: int, synced_bytes: int) -> bytes:
    payload = _HEADER_PAYLOAD.pack(offset_bytes, synced_bytes)
    header = _records.make(_HEADER_INDEX, 0, _records.EntryKind.EMPTY, payload)
    return BATCH_MARKER + header.record


def _parse_batch(data: bytes, offset: int) -> tuple[int, int]:
    """Return the offset of a batch's first record, and its synced bytes.

    Raises RecordError for bytes that are not the beginning of a batch at this
    offset, such as the same bytes in a command.
    """
    if not data.startswith(BATCH_MARKER, offset):
        raise _records.RecordError('missing record marker')
    record = _records.parse(data, offset + MARKER_BYTES)
    if record.index != _HEADER_INDEX:
        return offset, offset
    if len(record.payload) != _HEADER_PAYLOAD.size:
        raise _records.RecordError('invalid batch header')
    own_offset, synced_bytes = _HEADER_PAYLOAD.unpack(record.payload)
    if own_offset != offset:
        raise _records.RecordError('batch header of another offset')
    return offset + HEADER_BYTES, synced_bytes


def _parse_entry(data: bytes, offset: int) -> tuple[_records.Entry, int]:
    """Return the entry at an offset, and the offset after it."""
    marker = INNER_RECORD_MARKER
    if data.startswith(BATCH_MARKER, offset):
        start = offset
        offset, _ = _parse_batch(data, start)
        if offset == start:
            marker = BATCH_MARKER
    if not data.startswith(marker, offset):
        raise _records.RecordError('missing record marker')
    entry = _records.parse(data, offset + MARKER_BYTES)
    return entry, offset + MARKER_BYTES + len(entry.record)


def _has_header(data: bytes, offset: int) -> bool:
    """Return whether a readable entry begins with the header of a batch."""
    if not data.startswith(BATCH_MARKER, offset):
        return False
    records_offset, _ = _parse_batch(data, offset)
    return records_offset > offset


def _later_batches(
    data: bytes, offset: int, has_headers: bool
) -> dict[int, int]:
    """Return the offsets of batches, and the synced bytes that each states.

    After a header there are no batches without one, but a command may contain
    the same bytes.
    """
    found = {}
    while (offset := data.find(BATCH_MARKER, offset)) >= 0:
        with contextlib.suppress(_records.RecordError):
            records_offset, synced_bytes = _parse_batch(data, offset)
            if records_offset > offset or not has_headers:
                found[offset] = synced_bytes
        offset += 1
    return found
