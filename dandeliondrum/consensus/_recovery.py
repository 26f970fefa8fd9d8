"""Recovery of a node's state from its files, with consistency checks."""

import collections.abc
import contextlib
import dataclasses
import errno
import fcntl
import os
import pathlib

import structlog

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _hard_state
from dandeliondrum.consensus import _log
from dandeliondrum.consensus import _membership
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _metrics
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _previous_run
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus import _state

LOCK_FILE_NAME = 'lock'
_UNSYNCABLE = frozenset(
    {
        errno.EACCES,
        errno.EINVAL,
        errno.ENOENT,
        errno.ENOTSUP,
        errno.EPERM,
        errno.EROFS,
    }
)

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class RecoveredNode:
    """The open files of a node, and the state loaded from them."""

    state: _state.NodeState
    log: _log.Log
    snapshots: _snapshot.SnapshotStore
    snapshot: _snapshot.Snapshot | None


@contextlib.contextmanager
def lock_folder(
    files: _files.Files, folder: pathlib.Path
) -> collections.abc.Iterator[None]:
    """Create the data folder if needed, and lock it for this process.

    Raises StorageError when another process holds the lock, and OSError when
    the folder can't be created.
    """
    _make_folder(files, folder)
    path = folder / LOCK_FILE_NAME
    is_new = not path.exists()
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT, _files.FILE_MODE)
    try:
        _lock(descriptor, path)
        # A killed process may have left names that were not synced.
        files.sync_folder(folder)
        with _previous_run.record(descriptor, is_new=is_new) as previous_end:
            _logger.info(
                'data folder opened',
                folder=str(folder),
                previous_end=previous_end.value,
            )
            yield
    finally:
        os.close(descriptor)


def _make_folder(files: _files.Files, folder: pathlib.Path) -> None:
    """Create a folder with its parents, and sync their names.

    The names are synced until the folder has an identity, which is stored
    after them.
    """
    path = folder.absolute()
    created = [one for one in (path, *path.parents) if not one.is_dir()]
    for one in reversed(created):
        files.make_folder(one)
    if (path / _hard_state.IDENTITY_FILE_NAME).exists():
        return
    for one in (path, *path.parents):
        if os.path.ismount(one):
            return
        try:
            files.sync_folder(one.parent)
        except OSError as error:
            # An older folder above may be hidden from this process, or be of
            # a file system that syncs no folders.
            if one in created or error.errno not in _UNSYNCABLE:
                raise
            _logger.debug('folder not synced', why=str(error))
            return


def _lock(descriptor: int, path: pathlib.Path) -> None:
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        raise _errors.StorageError(
            _errors.StartError(
                'another process uses the folder', str(path), may_pass=True
            )
        ) from error


def open_files(
    options: _options.Options,
    files: _files.Files,
    metrics: _metrics.Metrics | None = None,
) -> RecoveredNode:
    """Open the log, the snapshot, the term and vote, and the identity.

    Raises StorageError when files are damaged, inconsistent or belong to
    another node, and OSError when they can't be read or written.
    """
    folder = options.data_folder
    log = _log.Log(files, folder)
    try:
        return _recover(options, files, log, metrics or _metrics.Metrics())
    except Exception:
        log.close()
        raise


def _recover(
    options: _options.Options,
    files: _files.Files,
    log: _log.Log,
    metrics: _metrics.Metrics,
) -> RecoveredNode:
    snapshots = _snapshot.SnapshotStore(files, options.data_folder)
    snapshot = snapshots.load()
    has_data = log.last_index > 0 or snapshot is not None
    disk_id = _load_or_create_identity(options, files, has_data)
    hard_state = _load_hard_state(options.data_folder)
    history = _membership.MembershipHistory(0, _messages.Membership())
    if snapshot is not None:
        _align_log_with_snapshot(log, snapshot.head, options.data_folder)
        history = _membership.MembershipHistory(
            snapshot.head.index, snapshot.head.membership
        )
    elif log.first_index > 1:
        raise _errors.StorageError(
            _errors.StartError(
                f'the log begins at entry {log.first_index} and there is no '
                'snapshot of the earlier entries',
                str(options.data_folder),
                is_damage=True,
            )
        )
    state = _state.NodeState(options, disk_id, log, history, metrics)
    _restore_state(state, log, snapshot, hard_state)
    return RecoveredNode(state, log, snapshots, snapshot)


def _load_or_create_identity(
    options: _options.Options, files: _files.Files, has_data: bool
) -> str:
    path = options.data_folder / _hard_state.IDENTITY_FILE_NAME
    identity = _hard_state.load_identity(path)
    if identity is None:
        if has_data:
            raise _errors.StorageError(
                _errors.StartError(
                    'log without an identity file', str(path), is_damage=True
                )
            )
        identity = _hard_state.new_identity(
            options.cell_id, options.controller_id
        )
        # The term and vote are written first, since an identity without them
        # is treated as damage.
        state_path = options.data_folder / _hard_state.STATE_FILE_NAME
        _hard_state.save(files, state_path, _hard_state.HardState())
        _hard_state.save(files, path, identity)
    owner = (identity.cell_id, identity.controller_id)
    if owner != (options.cell_id, options.controller_id):
        raise _errors.StorageError(
            _errors.StartError(
                f'the folder belongs to controller {identity.controller_id} '
                f'of cell {identity.cell_id}',
                str(path),
            )
        )
    return identity.disk_id


def _load_hard_state(folder: pathlib.Path) -> _hard_state.HardState:
    path = folder / _hard_state.STATE_FILE_NAME
    hard_state = _hard_state.load_state(path)
    if hard_state is None:
        raise _errors.StorageError(
            _errors.StartError(
                'term and vote file is missing', str(path), is_damage=True
            )
        )
    return hard_state


def _align_log_with_snapshot(
    log: _log.Log, head: _snapshot.SnapshotHead, folder: pathlib.Path
) -> None:
    """Make the log continue at the end of the snapshot.

    Raises StorageError when entries are missing between the two.
    """
    if log.last_index and log.first_index > head.index + 1:
        raise _errors.StorageError(
            _errors.StartError(
                f'entries {head.index + 1} to {log.first_index - 1} are '
                'neither in the snapshot nor in the log',
                str(folder),
                is_damage=True,
            )
        )
    log.set_base_term(head.index, head.term)
    if log.term_at(head.index) != head.term:
        # The process ended after it had installed a leader's snapshot and
        # before it removed the entries that the snapshot replaced.
        _logger.warning('log replaced by snapshot', index=head.index)
        log.reset(head.index, head.term)


def _restore_state(
    state: _state.NodeState,
    log: _log.Log,
    snapshot: _snapshot.Snapshot | None,
    hard_state: _hard_state.HardState,
) -> None:
    if log.last_term > hard_state.term:
        raise _errors.StorageError(
            _errors.StartError(
                f'the last log entry has term {log.last_term}, but the '
                f'stored term is {hard_state.term}',
                str(state.options.data_folder / _hard_state.STATE_FILE_NAME),
                is_damage=True,
            )
        )
    state.term = hard_state.term
    state.voted_for = hard_state.voted_for
    if snapshot is not None:
        state.commit_index = snapshot.head.index
        state.applied_index = snapshot.head.index
        state.snapshot_index = snapshot.head.index
    uncommitted = log.read(state.commit_index + 1, log.last_index, 1 << 62)
    state.history.add(uncommitted)
    state.report_membership()
