"""Opens the files of a node and checks that they belong together."""

import dataclasses
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
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus import _state

LOCK_NAME = 'lock'

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class Opened:
    """The files of a node, open, and the state that they hold."""

    state: _state.NodeState
    log: _log.Log
    snapshots: _snapshot.SnapshotStore
    snapshot: _snapshot.Snapshot | None


def lock_folder(folder: pathlib.Path) -> int:
    """Take the data folder for this process; return the open lock file.

    Raises StorageError when another process has it, and OSError when the
    folder can't be made.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / LOCK_NAME
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o640)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(descriptor)
        raise _errors.StorageError(
            _errors.StartError('another process uses the folder', str(path))
        ) from error
    return descriptor


def open_files(
    options: _options.Options,
    files: _files.Files,
    metrics: _metrics.Metrics | None = None,
) -> Opened:
    """Open the log, the snapshot, the term and vote, and the identity.

    Raises StorageError for damage or files of another node, and OSError.
    """
    folder = options.data_folder
    log = _log.Log(files, folder)
    try:
        return _open_rest(options, files, log, metrics or _metrics.Metrics())
    except Exception:
        log.close()
        raise


def _open_rest(
    options: _options.Options,
    files: _files.Files,
    log: _log.Log,
    metrics: _metrics.Metrics,
) -> Opened:
    snapshots = _snapshot.SnapshotStore(files, options.data_folder)
    snapshot = snapshots.load()
    used = log.last_index > 0 or snapshot is not None
    disk_id = _open_identity(options, files, used)
    hard_state = _open_hard_state(options.data_folder)
    history = _membership.MembershipHistory(0, _messages.Membership())
    if snapshot is not None:
        _join(log, snapshot.head, options.data_folder)
        history = _membership.MembershipHistory(
            snapshot.head.index, snapshot.head.membership
        )
    elif log.first_index > 1:
        raise _errors.StorageError(
            _errors.StartError(
                f'the log begins at entry {log.first_index} and there is no '
                'snapshot of what was before',
                str(options.data_folder),
            )
        )
    state = _state.NodeState(options, disk_id, log, history, metrics)
    _fill_in(state, log, snapshot, hard_state)
    return Opened(state, log, snapshots, snapshot)


def _open_identity(
    options: _options.Options, files: _files.Files, used: bool
) -> str:
    path = options.data_folder / _hard_state.IDENTITY_NAME
    identity = _hard_state.load_identity(path)
    if identity is None:
        if used:
            raise _errors.StorageError(
                _errors.StartError('there is a log but no identity', str(path))
            )
        identity = _hard_state.new_identity(
            options.cell_id, options.controller_id
        )
        # The term and vote come first: an identity without them is damage.
        state_path = options.data_folder / _hard_state.STATE_NAME
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


def _open_hard_state(folder: pathlib.Path) -> _hard_state.HardState:
    path = folder / _hard_state.STATE_NAME
    hard_state = _hard_state.load_state(path)
    if hard_state is None:
        raise _errors.StorageError(
            _errors.StartError('the term and vote are missing', str(path))
        )
    return hard_state


def _join(
    log: _log.Log, head: _snapshot.SnapshotHead, folder: pathlib.Path
) -> None:
    """Let the log go on where the snapshot ends."""
    if log.last_index and log.first_index > head.index + 1:
        raise _errors.StorageError(
            _errors.StartError(
                f'entries {head.index + 1} to {log.first_index - 1} are '
                'neither in the snapshot nor in the log',
                str(folder),
            )
        )
    log.know_base(head.index, head.term)
    if log.term_at(head.index) != head.term:
        # The process ended between taking over a leader's snapshot and
        # dropping the entries that it replaced.
        _logger.warning('log replaced by snapshot', index=head.index)
        log.reset(head.index, head.term)


def _fill_in(
    state: _state.NodeState,
    log: _log.Log,
    snapshot: _snapshot.Snapshot | None,
    hard_state: _hard_state.HardState,
) -> None:
    if log.last_term > hard_state.term:
        raise _errors.StorageError(
            _errors.StartError(
                f'the log is in term {log.last_term}, the vote in term '
                f'{hard_state.term}',
                str(state.options.data_folder / _hard_state.STATE_NAME),
            )
        )
    state.term = hard_state.term
    state.voted_for = hard_state.voted_for
    if snapshot is not None:
        state.commit_index = snapshot.head.index
        state.applied_index = snapshot.head.index
        state.snapshot_index = snapshot.head.index
    later = log.read(state.commit_index + 1, log.last_index, 1 << 62)
    state.history.add(later)
