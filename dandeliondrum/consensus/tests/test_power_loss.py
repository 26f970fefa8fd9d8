"""Tests of single losses of power, with all that the disk may keep."""

import contextlib
import random

import pytest

from dandeliondrum import consensus
from dandeliondrum.consensus import _hard_state
from dandeliondrum.consensus import _log
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _recovery
from dandeliondrum.testing import _power_loss

# The changes of a test are few, so that these draw each combination of them.
SEEDS = range(60)
FOLDER = 'data/controller'


def make_entries(first, last, term=1, size_bytes=700):
    return [
        _records.make(
            index, term, _records.EntryKind.COMMAND, bytes(size_bytes)
        )
        for index in range(first, last + 1)
    ]


class Disk:
    """A data folder on a disk that loses power."""

    def __init__(self, root):
        self.root = root
        self.folder = root / FOLDER
        self.files = _power_loss.RecordingFiles(root)

    def outcomes(self):
        """Yield once for each loss of power, with its files in the folder."""
        disk = self.files.disk
        before = self.files.disk.contents()
        for seed in SEEDS:
            left = disk.survivors(random.Random(seed))
            _power_loss.write_contents(self.root, left)
            yield _power_loss.RecordingFiles(self.root)
        _power_loss.write_contents(self.root, before)

    @contextlib.contextmanager
    def open_log(self, files=None):
        files = files or self.files
        with _recovery.lock_folder(files, self.folder):
            log = _log.Log(files, self.folder)
            yield log
            log.close()

    def open_node(self, files=None):
        """Open and close all files of a node; return its disk's id."""
        files = files or self.files
        with _recovery.lock_folder(files, self.folder):
            options = consensus.Options(
                controller_id='c1', cell_id='test', data_folder=self.folder
            )
            opened = _recovery.open_files(options, files)
            opened.log.close()
        return opened.state.disk_id


@pytest.fixture
def disk(tmp_path):
    return Disk(tmp_path)


def test_a_log_is_not_refused_for_two_appends_without_a_sync(disk):
    with disk.open_log() as log:
        log.append(make_entries(1, 2))
        log.sync()
        log.append(make_entries(3, 4))
        log.append(make_entries(5, 6))
    for files in disk.outcomes():
        with disk.open_log(files) as log:
            assert 2 <= log.last_index <= 6


def test_a_log_is_not_refused_for_an_append_after_a_kill(disk):
    with disk.open_log() as log:
        log.append(make_entries(1, 2))
        log.sync()
        log.append(make_entries(3, 4))
    with disk.open_log() as log:
        log.append(make_entries(5, 6))
    for files in disk.outcomes():
        with disk.open_log(files) as log:
            assert 2 <= log.last_index <= 6


def test_entries_of_a_killed_process_are_synced_before_they_count(disk):
    with disk.open_log() as log:
        log.append(make_entries(1, 2))
        log.sync()
        log.append(make_entries(3, 4))
    with disk.open_log() as log:
        loaded_index = log.last_index
        log.sync()
    for files in disk.outcomes():
        with disk.open_log(files) as log:
            assert log.last_index == loaded_index


def test_entries_of_a_killed_process_are_synced_in_each_file(disk):
    """An earlier version began another file without a sync of the first."""
    with disk.open_log() as log:
        log.append(make_entries(1, 2))
        log.sync()
        log.append(make_entries(3, 4))
        log.compact(0)
        sync, disk.files.sync = disk.files.sync, lambda _descriptor: None
        log.append(make_entries(5, 6))
        disk.files.sync = sync
    with disk.open_log():
        pass
    for files in disk.outcomes():
        with disk.open_log(files) as log:
            assert log.last_index == 6


def test_a_synced_entry_survives_in_a_file_that_a_killed_process_made(disk):
    with disk.open_log():
        # The process is killed before it syncs the name.
        path = disk.folder / 'log-00000000000000000001'
        disk.files.close(disk.files.open_for_append(path))
    with disk.open_log() as log:
        log.append(make_entries(1, 2))
        log.sync()
    for files in disk.outcomes():
        with disk.open_log(files) as log:
            assert log.last_index == 2


def test_a_folder_survives_a_loss_of_power_after_its_first_start(disk):
    disk_id = disk.open_node()
    for files in disk.outcomes():
        assert disk.open_node(files) == disk_id


def test_a_start_fails_while_the_name_of_its_folder_cannot_be_synced(disk):
    """A killed process has created the folder."""
    disk.folder.mkdir(parents=True)
    files = _power_loss.RecordingFiles(disk.root)
    sync_folder = files.sync_folder

    def fail_above(folder):
        if folder != disk.folder:
            raise OSError('no space')
        sync_folder(folder)

    files.sync_folder = fail_above
    with pytest.raises(OSError, match='no space'):
        disk.open_node(files)


def test_a_term_that_a_killed_process_stored_is_not_lost_later(disk):
    """Entries of the term would then be newer than the stored term."""
    disk.open_node()
    path = disk.folder / _hard_state.STATE_FILE_NAME

    def kill(operation):
        if operation == 'sync_folder':
            raise OSError('killed')

    disk.files.before = kill
    with pytest.raises(OSError, match='killed'):
        _hard_state.save(disk.files, path, _hard_state.HardState(2, 'c1'))
    disk.files.before = str
    with disk.open_log() as log:
        assert _hard_state.load_state(path).term == 2
        log.append(make_entries(1, 2, term=2))
        log.sync()
    for files in disk.outcomes():
        disk.open_node(files)
        assert _hard_state.load_state(path).term == 2


def test_a_log_is_not_refused_for_a_file_whose_name_was_not_synced(disk):
    """The next entries go to a file that begins before it."""

    def fail_once(operation):
        if operation == 'sync_folder':
            disk.files.before = str
            raise OSError('no space')

    with disk.open_log() as log:
        log.append(make_entries(1, 2))
        log.sync()
        log.compact(2)
        disk.files.before = fail_once
        with pytest.raises(OSError, match='no space'):
            log.append(make_entries(3, 3))
        log.truncate_from(2)
        log.append(make_entries(2, 4))
        log.sync()
    for files in disk.outcomes():
        with disk.open_log(files) as log:
            assert log.last_index == 4
