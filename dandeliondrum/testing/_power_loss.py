"""Disk that loses power: what a data folder may hold after a power failure.

After a loss of power every change since the last sync is present, missing or
torn, each by itself. A write is torn in blocks of :data:`BLOCK_BYTES`. A sync
of a file covers its contents and not its name; a sync of a folder covers the
names in it.

:class:`RecordingFiles` carries out the operations of a node on a real folder
and records them. :meth:`RecordingFiles.lose_power` then replaces the folder by
what a loss of power may have left of it.
"""

import collections.abc
import contextlib
import dataclasses
import os
import pathlib
import random
import shutil
import threading
import typing

import msgpack

from dandeliondrum.consensus import _files

BLOCK_BYTES = 512

# Probability of each outcome of a change that was not synced.
_PRESENT = 0.5
_TORN = 0.2

Contents = dict[str, bytes | None]

# A change that is kept, and the source of randomness that tears it.
_Choice = tuple[tuple, random.Random | None]


class Unsynced(typing.NamedTuple):
    """How many changes had not been synced, and writes to one file."""

    changes_count: int
    writes_count_max: int


class PowerLost(OSError):
    """Raised for operations after the power has been cut."""


@dataclasses.dataclass
class _File:
    """A file or folder: its durable state, and the changes since its sync."""

    is_folder: bool = False
    data: bytearray = dataclasses.field(default_factory=bytearray)
    names: dict[str, int] = dataclasses.field(default_factory=dict)
    changes: list[tuple] = dataclasses.field(default_factory=list)


class Disk:
    """Model of a file system with unsynced changes, kept by inode.

    ``apply`` takes the records of :class:`RecordingFiles`. The root folder
    itself is durable. Paths are relative to it.
    """

    def __init__(self) -> None:
        self._files: dict[int, _File] = {0: _File(is_folder=True)}
        self._next_inode = 1

    def apply(self, operation: str, *arguments: typing.Any) -> None:
        """Apply one recorded operation."""
        getattr(self, f'_apply_{operation}')(*arguments)

    def load(self, contents: Contents) -> None:
        """Replace everything by durable contents."""
        self._files = {0: _File(is_folder=True)}
        for path in sorted(contents):
            data = contents[path]
            folder, name = self._split(path)
            made = _File(data is None, bytearray(data or b''))
            self._files[self._next_inode] = made
            folder.names[name] = self._next_inode
            self._next_inode += 1

    _apply_load = load

    def changes_count(self) -> int:
        """Return how many changes have not been synced."""
        return sum(len(file.changes) for file in self._files.values())

    def writes_count_max(self) -> int:
        """Return the most writes to one file that have not been synced."""
        return max(
            sum(change[0] == 'write' for change in file.changes)
            for file in self._files.values()
        )

    def contents(self) -> Contents:
        """Return what a process reads now."""
        return self._walk(lambda changes: [(c, None) for c in changes])

    def differences(self, contents: Contents) -> list[tuple]:
        """Return the operations that lead from here to ``contents``.

        A process that is killed within an operation may leave it unrecorded.
        """
        now = self.contents()
        found: list[tuple] = []
        for path in sorted(contents):
            data = contents[path]
            if path not in now:
                found.append(('create', path, data is None))
            before = now.get(path) or b''
            if data is None or data == before:
                continue
            # What is as before may have been synced.
            kept = os.path.commonprefix([before, data])
            if len(kept) < len(before):
                found.append(('truncate', path, len(kept)))
            if len(kept) < len(data):
                found.append(('write', path, len(kept), data[len(kept) :]))
        gone = sorted(now.keys() - contents.keys(), reverse=True)
        return found + [('remove', path) for path in gone]

    def survivors(
        self, rng: random.Random, *, keeps_last_write: bool = False
    ) -> Contents:
        """Return what a loss of power may leave.

        With ``keeps_last_write``, the last of several writes to a file is
        present, and the one before it is not.
        """
        policy = rng.choice((0.0, _PRESENT, _PRESENT, 1.0))

        def choose(changes: list[tuple]) -> list[_Choice]:
            writes = [one for one in changes if one[0] == 'write']
            if keeps_last_write and len(writes) > 1:
                return [(c, None) for c in changes if c is not writes[-2]]
            kept: list[_Choice] = []
            for change in changes:
                if rng.random() < policy:
                    kept.append((change, None))
                elif change[0] == 'write' and rng.random() < _TORN:
                    kept.append((change, rng))
            return kept

        return self._walk(choose)

    def _walk(
        self, choose: collections.abc.Callable[[list[tuple]], list[_Choice]]
    ) -> Contents:
        found: Contents = {}
        pending = [(0, '')]
        while pending:
            inode, prefix = pending.pop()
            names = dict(self._files[inode].names)
            for change, _torn in choose(self._files[inode].changes):
                _change_names(names, change)
            for name, target in sorted(names.items()):
                file = self._files[target]
                if file.is_folder:
                    found[prefix + name] = None
                    pending.append((target, f'{prefix}{name}/'))
                    continue
                data = bytearray(file.data)
                for change, torn in choose(file.changes):
                    _change_data(data, change, torn)
                found[prefix + name] = bytes(data)
        return found

    def _split(self, path: str) -> tuple[_File, str]:
        folder, _, name = path.rpartition('/')
        return self._files[self._find(folder)], name

    def _find(self, path: str) -> int:
        inode = 0
        for name in path.split('/') if path else ():
            inode = self._names_now(self._files[inode])[name]
        return inode

    @staticmethod
    def _names_now(folder: _File) -> dict[str, int]:
        names = dict(folder.names)
        for change in folder.changes:
            _change_names(names, change)
        return names

    def _apply_create(self, path: str, is_folder: bool) -> None:
        folder, name = self._split(path)
        if name in self._names_now(folder):
            return
        self._files[self._next_inode] = _File(is_folder)
        folder.changes.append(('names', {name: self._next_inode}))
        self._next_inode += 1

    def _apply_write(self, path: str, offset: int, data: bytes) -> None:
        self._files[self._find(path)].changes.append(('write', offset, data))

    def _apply_truncate(self, path: str, size: int) -> None:
        self._files[self._find(path)].changes.append(('truncate', size))

    def _apply_sync(self, path: str) -> None:
        file = self._files[self._find(path)]
        for change in file.changes:
            _change_data(file.data, change, None)
        file.changes.clear()

    def _apply_sync_folder(self, path: str) -> None:
        folder = self._files[self._find(path)]
        folder.names = self._names_now(folder)
        folder.changes.clear()

    def _apply_rename(self, path: str, target: str) -> None:
        """Rename a file; within one folder both names change together."""
        folder, name = self._split(path)
        inode = self._names_now(folder)[name]
        other_folder, other = self._split(target)
        if other_folder is folder:
            folder.changes.append(('names', {other: inode, name: None}))
        else:
            other_folder.changes.append(('names', {other: inode}))
            folder.changes.append(('names', {name: None}))

    def _apply_remove(self, path: str) -> None:
        folder, name = self._split(path)
        folder.changes.append(('names', {name: None}))


def _change_names(names: dict[str, int], change: tuple) -> None:
    for name, inode in change[1].items():
        if inode is None:
            names.pop(name, None)
        else:
            names[name] = inode


def _change_data(
    data: bytearray, change: tuple, torn: random.Random | None
) -> None:
    """Apply a write or truncation; a torn write keeps some blocks only."""
    match change:
        case ('truncate', size):
            del data[size:]
            data.extend(bytes(size - len(data)))
        case ('write', offset, written):
            end = offset + len(written)
            before = bytes(data[offset:end])
            data.extend(bytes(max(0, end - len(data))))
            position = offset
            while position < end:
                block_end = (position // BLOCK_BYTES + 1) * BLOCK_BYTES
                block_end = min(block_end, end)
                if torn is None or torn.random() < _PRESENT:
                    part = written[position - offset : block_end - offset]
                    data[position:block_end] = part
                position = block_end
            if torn is not None and torn.random() < _PRESENT:
                # The new size of the file was not written.
                size = max(offset + len(before), torn.randint(offset, end))
                del data[size:]


class RecordingFiles(_files.Files):
    """Files of a folder that can lose power.

    With ``journal`` each operation is also written to that file, so that
    :func:`lose_power` can be called after the process was killed, and the
    next process knows which changes have not been synced.
    ``before`` is called with the name of each operation before it starts.
    """

    def __init__(
        self, root: pathlib.Path, journal: pathlib.Path | None = None
    ) -> None:
        self.disk = Disk()
        self.before: collections.abc.Callable[[str], object] = str
        self._root = root.absolute()
        self._lock = threading.RLock()
        self._paths: dict[int, str] = {}
        self._is_cut = False
        self._sync_condition = threading.Condition(self._lock)
        self._syncs_count = 0
        self._journal: typing.BinaryIO | None = None
        if journal is None:
            self.disk.load(read_contents(self._root))
            return
        self.disk = _replay(journal)
        self._journal = journal.open('ab', buffering=0)
        for operation in self.disk.differences(read_contents(self._root)):
            self._record(*operation)

    def cut_power(self) -> None:
        """Let all later operations fail with PowerLost."""
        with self._lock:
            self._is_cut = True
            self._sync_condition.notify_all()

    def lose_power(self, rng: random.Random) -> None:
        """Replace the folder by what a loss of power may have left.

        No process may use the folder. Operations are possible again.
        """
        with self._lock:
            left = self.disk.survivors(rng)
            write_contents(self._root, left)
            self.disk.load(left)
            self._paths.clear()
            self._is_cut = False

    def writes_count_max(self) -> int:
        """Return the most writes to one file that have not been synced."""
        with self._lock:
            return self.disk.writes_count_max()

    def wait_for_sync(self, timeout_s: float) -> bool:
        """Wait for the end of the next sync of a file."""
        with self._lock:
            count = self._syncs_count
            self._sync_condition.wait_for(
                lambda: self._syncs_count > count or self._is_cut, timeout_s
            )
            return self._syncs_count > count

    @contextlib.contextmanager
    def _operation(self, name: str) -> collections.abc.Iterator[None]:
        self.before(name)
        with self._lock:
            if self._is_cut:
                raise PowerLost('power lost')
            yield

    def _record(self, operation: str, *arguments: typing.Any) -> None:
        if self._journal is not None:
            self._journal.write(msgpack.packb((operation, *arguments)))
        self.disk.apply(operation, *arguments)

    def _relative(self, path: pathlib.Path) -> str:
        found = path.absolute().relative_to(self._root).as_posix()
        return '' if found == '.' else found

    def _is_inside(self, path: pathlib.Path) -> bool:
        return path.absolute().is_relative_to(self._root)

    def open_for_append(self, path: pathlib.Path) -> int:
        """See Files."""
        with self._operation('open_for_append'):
            descriptor = super().open_for_append(path)
            self._paths[descriptor] = self._relative(path)
            self._record('create', self._relative(path), False)
            return descriptor

    def open_for_write(self, path: pathlib.Path, *, keeps_data: bool) -> int:
        """See Files."""
        with self._operation('open_for_write'):
            descriptor = super().open_for_write(path, keeps_data=keeps_data)
            self._paths[descriptor] = self._relative(path)
            self._record('create', self._relative(path), False)
            if not keeps_data:
                self._record('truncate', self._relative(path), 0)
            return descriptor

    def close(self, descriptor: int) -> None:
        """See Files; possible without power."""
        with self._lock:
            self._paths.pop(descriptor, None)
            super().close(descriptor)

    def write(self, descriptor: int, data: bytes) -> None:
        """See Files."""
        with self._operation('write'):
            path = self._paths[descriptor]
            super().write(descriptor, data)
            # An appending descriptor has its position at the end, too.
            end = os.lseek(descriptor, 0, os.SEEK_CUR)
            self._record('write', path, end - len(data), bytes(data))

    def truncate(self, descriptor: int, size_bytes: int) -> None:
        """See Files."""
        with self._operation('truncate'):
            super().truncate(descriptor, size_bytes)
            self._record('truncate', self._paths[descriptor], size_bytes)

    def sync(self, descriptor: int) -> None:
        """See Files."""
        with self._operation('sync'):
            self._record('sync', self._paths[descriptor])
            self._syncs_count += 1
            self._sync_condition.notify_all()

    def make_folder(self, folder: pathlib.Path) -> None:
        """See Files."""
        with self._operation('make_folder'):
            super().make_folder(folder)
            if self._is_inside(folder):
                self._record('create', self._relative(folder), True)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """See Files."""
        with self._operation('sync_folder'):
            if self._is_inside(folder):
                self._record('sync_folder', self._relative(folder))

    def rename(self, path: pathlib.Path, target: pathlib.Path) -> None:
        """See Files."""
        with self._operation('rename'):
            super().rename(path, target)
            self._record(
                'rename', self._relative(path), self._relative(target)
            )

    def remove(self, path: pathlib.Path) -> None:
        """See Files."""
        with self._operation('remove'):
            super().remove(path)
            self._record('remove', self._relative(path))


def lose_power(
    root: pathlib.Path,
    journal: pathlib.Path,
    rng: random.Random,
    *,
    keeps_last_write: bool = False,
) -> Unsynced:
    """Replace a folder by what a loss of power may have left of it.

    ``journal`` is that of the RecordingFiles of a process that has ended; it
    is replaced, too. ``keeps_last_write`` is that of ``Disk.survivors``.
    Returns what had not been synced.
    """
    disk = _replay(journal)
    left = disk.survivors(rng, keeps_last_write=keeps_last_write)
    write_contents(root, left)
    journal.write_bytes(msgpack.packb(('load', left)))
    return Unsynced(disk.changes_count(), disk.writes_count_max())


def _replay(journal: pathlib.Path) -> Disk:
    """Apply a journal and cut the record that a kill left incomplete."""
    disk = Disk()
    journal.touch()
    complete_bytes = 0
    with journal.open('r+b') as records:
        unpacker = msgpack.Unpacker(records, max_buffer_size=0)
        for operation, *arguments in unpacker:
            disk.apply(operation, *arguments)
            complete_bytes = unpacker.tell()
        records.truncate(complete_bytes)
    return disk


def read_contents(root: pathlib.Path) -> Contents:
    """Return the files (bytes) and folders (None) by their relative paths."""
    return {
        path.relative_to(root).as_posix(): (
            None if path.is_dir() else path.read_bytes()
        )
        for path in root.rglob('*')
    }


def write_contents(root: pathlib.Path, contents: Contents) -> None:
    """Replace everything in a folder."""
    for path in root.iterdir():
        if path.is_dir():
            shutil.rmtree(path)
        else:
            path.unlink()
    for name in sorted(contents):
        data = contents[name]
        if data is None:
            (root / name).mkdir()
        else:
            (root / name).write_bytes(data)
