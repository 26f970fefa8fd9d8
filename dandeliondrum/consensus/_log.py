"""Log of a node: consecutive entries in segment files and in memory.

Only the node's writer thread modifies it. Other threads may read it at any
time.
"""

import bisect
import pathlib
import threading

import structlog

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _segment

_logger = structlog.get_logger()


class Log:
    """Entries from ``first_index`` to ``last_index``, without gaps.

    The constructor loads the files, and syncs what a killed process may have
    written without a sync. It raises StorageError when they are damaged.
    """

    def __init__(self, files: _files.Files, folder: pathlib.Path) -> None:
        self._files = files
        self._folder = folder
        self._lock = threading.Lock()
        self._segments: list[_segment.Segment] = []
        self._entries: list[_records.Entry] = []
        self._base_index = 0
        self._base_term: int | None = 0
        self._has_unsynced = False
        self._start_segment_next = False
        try:
            self._load()
        except Exception:
            # The start may be attempted again in the same process.
            self.close()
            raise

    @property
    def first_index(self) -> int:
        """The index of the oldest entry that has not been compacted."""
        return self._base_index + 1

    @property
    def last_index(self) -> int:
        """The index of the newest entry; ``first_index - 1`` when empty."""
        with self._lock:
            return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the newest entry.

        In a log without entries it is the term of the snapshot that the log
        continues, or 0 if there is none or its term is unknown.
        """
        return self.term_at(self.last_index) or 0

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None when the log doesn't know it."""
        with self._lock:
            position = index - self._base_index - 1
            if position == -1:
                return self._base_term
            if 0 <= position < len(self._entries):
                return self._entries[position].term
            return None

    def read(
        self, index: int, entries_max: int, bytes_max: int
    ) -> list[_records.Entry]:
        """Return entries from ``index`` on, within both limits.

        The first entry is returned even when it is larger than
        ``bytes_max``. The list is empty for a compacted index.
        """
        with self._lock:
            position = index - self._base_index - 1
            if position < 0:
                return []
            found = self._entries[position : position + entries_max]
        size_bytes = 0
        for count, entry in enumerate(found):
            size_bytes += len(entry.record)
            if count and size_bytes > bytes_max:
                return found[:count]
        return found

    def append(self, entries: list[_records.Entry]) -> None:
        """Append entries that follow the last one, without syncing them.

        Raises OSError when the write fails; the log is then unchanged.
        """
        segment = self._segment_for_append()
        segment.append(entries)
        self._has_unsynced = True
        with self._lock:
            self._entries += entries

    def sync(self) -> None:
        """Sync all entries to the disk.

        Raises StorageError on failure. The sync is not retried: the
        operating system may have dropped the dirty pages, so a later success
        would not prove that the entries are on the disk.
        """
        if self._has_unsynced and self._segments:
            self._sync_segment(self._segments[-1])
        self._has_unsynced = False

    def _sync_segment(self, segment: _segment.Segment) -> None:
        try:
            segment.sync()
        except OSError as error:
            raise _errors.StorageError(
                _errors.StartError(f'sync: {error}', str(segment.path))
            ) from error

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all entries after it."""
        with self._lock:
            del self._entries[index - self._base_index - 1 :]
        while self._segments and self._segments[-1].first_index > index:
            self._remove_segment(self._segments.pop())
        if self._segments and self._segments[-1].last_index >= index:
            self._segments[-1].truncate_from(index)

    def compact(self, index: int) -> None:
        """Delete segment files with no entry after ``index``.

        A snapshot must cover all entries up to the index. The next entry
        starts a new segment, so that the current one can be deleted later.
        """
        self._start_segment_next = True
        while len(self._segments) > 1:
            segment = self._segments[0]
            if segment.last_index > index:
                return
            with self._lock:
                count = segment.last_index - self._base_index
                self._base_term = self._entries[count - 1].term
                self._base_index += count
                del self._entries[:count]
            self._remove_segment(self._segments.pop(0))

    def reset(self, index: int, term: int) -> None:
        """Drop all entries and continue after a snapshot at ``index``."""
        while self._segments:
            self._remove_segment(self._segments.pop())
        with self._lock:
            self._entries = []
            self._base_index = index
            self._base_term = term
        self._has_unsynced = False

    def set_base_term(self, index: int, term: int) -> None:
        """Set the term of the entry before the first one, from a snapshot.

        Does nothing when the snapshot ends at another index.
        """
        if index == self._base_index:
            self._base_term = term

    def close(self) -> None:
        """Close all segment files."""
        for segment in self._segments:
            segment.close()

    def _segment_for_append(self) -> _segment.Segment:
        newest = self._segments[-1] if self._segments else None
        if newest is not None:
            full = newest.size_bytes >= _options.SEGMENT_BYTES_MAX
            if not full and not (
                self._start_segment_next and newest.size_bytes
            ):
                return newest
            self.sync()
        segment = _segment.Segment(
            self._files, self._folder, self.last_index + 1
        )
        try:
            self._files.sync_folder(self._folder)
        except OSError:
            # The next segment may begin at another entry.
            self._remove_segment(segment)
            raise
        self._start_segment_next = False
        self._segments.append(segment)
        return segment

    def _remove_segment(self, segment: _segment.Segment) -> None:
        segment.close()
        try:
            self._files.remove(segment.path)
            self._files.sync_folder(self._folder)
        except OSError as error:
            raise _errors.make_disk_error(
                'remove', error, str(segment.path)
            ) from error

    def _load(self) -> None:
        segment_files = _segment.segment_files(self._folder)
        for position, (first_index, path) in enumerate(segment_files):
            if position and first_index != self.last_index + 1:
                raise _errors.StorageError(
                    _errors.StartError(
                        f'entry {self.last_index + 1} is missing',
                        str(path),
                        is_damage=True,
                    )
                )
            if not position:
                self._base_index = first_index - 1
                self._base_term = None if self._base_index else 0
            segment = _segment.Segment(self._files, self._folder, first_index)
            self._segments.append(segment)
            self._entries += segment.load(position == len(segment_files) - 1)
        self._check_terms()
        self._sync_loaded()
        _logger.info(
            'log loaded',
            first_index=self.first_index,
            last_index=self.last_index,
            last_term=self.last_term,
            files=len(self._segments),
        )

    def _sync_loaded(self) -> None:
        # An earlier version may have begun a segment before it had synced
        # the entries that a killed process left in the one before.
        for segment in self._segments:
            self._sync_segment(segment)

    def _check_terms(self) -> None:
        terms = [entry.term for entry in self._entries]
        for position in range(1, len(terms)):
            if terms[position] < terms[position - 1]:
                index = self.first_index + position
                segment_count = bisect.bisect_right(
                    [segment.first_index for segment in self._segments], index
                )
                path = self._segments[segment_count - 1].path
                raise _errors.StorageError(
                    _errors.StartError(
                        f'the term decreases at entry {index}',
                        str(path),
                        is_damage=True,
                    )
                )
