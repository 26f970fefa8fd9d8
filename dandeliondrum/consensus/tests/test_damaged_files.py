"""Damaged files that are moved, so that a node starts without them."""

import contextlib
import random

import pytest

from dandeliondrum import consensus
from dandeliondrum.consensus import _damaged_files
from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _hard_state
from dandeliondrum.consensus import _log
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _recovery
from dandeliondrum.consensus.tests import harness
from dandeliondrum.testing import _power_loss

SEEDS = range(15)


class ProcessEnded(Exception):
    """Raised in place of an operation when the process ends before it."""


def open_node(folder, files):
    """Open and close all files; return the id of the disk."""
    with _recovery.lock_folder(files, folder):
        options = consensus.Options(
            controller_id='c1', cell_id='test', data_folder=folder
        )
        opened = _recovery.open_files(options, files)
        opened.log.close()
    return opened.state.disk_id


def make_damaged_node(folder):
    """Write files with damage in the middle of the log; return the disk id."""
    files = _files.Files()
    disk_id = open_node(folder, files)
    path = folder / _hard_state.STATE_FILE_NAME
    _hard_state.save(files, path, _hard_state.HardState(1, 'c1'))
    log = _log.Log(files, folder)
    for index in range(1, 5):
        log.append(
            [_records.make(index, 1, _records.EntryKind.COMMAND, b'command')]
        )
        log.sync()
    log.close()
    (path,) = folder.glob('log-*')
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 0xFF
    path.write_bytes(data)
    return disk_id


def test_files_are_moved_within_the_data_folder(tmp_path):
    """A process may not be able to write next to it."""
    folder = tmp_path / 'c1'
    disk_id = make_damaged_node(folder)
    before = _power_loss.read_contents(folder)
    del before[_recovery.LOCK_FILE_NAME]
    target = consensus.move_damaged_files(folder).unwrap()
    assert target == folder / 'damaged-1'
    assert _power_loss.read_contents(target) == before
    assert [path.name for path in tmp_path.iterdir()] == ['c1']
    assert open_node(folder, _files.Files()) != disk_id


def test_files_are_moved_a_few_times_only(tmp_path):
    for number in range(1, _damaged_files.FOLDERS_MAX + 1):
        make_damaged_node(tmp_path)
        target = consensus.move_damaged_files(tmp_path).unwrap()
        assert target.name == f'damaged-{number}'
    make_damaged_node(tmp_path)
    before = _power_loss.read_contents(tmp_path)
    error = consensus.move_damaged_files(tmp_path).failure()
    assert 'kept already' in error.detail
    assert _power_loss.read_contents(tmp_path) == before


def test_a_node_whose_files_were_moved_founds_no_cell(tmp_path):
    """The cell that it has forgotten may serve others at the same time."""
    with harness.Cluster(tmp_path) as cluster:
        make_damaged_node(tmp_path / 'c2')
        assert cluster.launch('c2').failure().is_damage
        consensus.move_damaged_files(tmp_path / 'c2').unwrap()
        cluster.start('c1', 'c2')
        assert cluster.node('c1').status().grants_founding
        assert not cluster.node('c2').status().grants_founding
        members = [(name, 'unused:1') for name in ('c1', 'c2')]
        for name in ('c1', 'c2'):
            outcome = cluster.node(name).bootstrap(members, True)
            refused = consensus.ChangeFailure.REFUSED
            assert outcome.failure().failure is refused


@pytest.mark.parametrize('operations_count', range(1, 20))
def test_an_interrupted_move_leaves_no_intact_looking_files(
    tmp_path, operations_count
):
    """The identity would be that of a voter, with fewer entries."""
    folder = tmp_path / 'disk' / 'c1'
    disk_id = make_damaged_node(folder)
    files = _power_loss.RecordingFiles(folder.parent)
    left_count = operations_count

    def count_down(_operation):
        nonlocal left_count
        left_count -= 1
        if not left_count:
            raise ProcessEnded

    files.before = count_down
    with contextlib.suppress(ProcessEnded):
        _damaged_files.move(files, folder)
    disk = files.disk
    for seed in SEEDS:
        left = disk.survivors(random.Random(seed))
        _power_loss.write_contents(folder.parent, left)
        files = _power_loss.RecordingFiles(folder.parent)
        for _ in range(2):
            try:
                assert open_node(folder, files) != disk_id
            except _errors.StorageError as error:
                assert error.error.is_damage
                _damaged_files.move(files, folder)
            else:
                break
        assert _damaged_files.exist(folder)
