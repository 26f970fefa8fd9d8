"""Tests of the disk that loses power."""

import random

import pytest

from dandeliondrum.testing import _power_loss

SEEDS = range(200)


def outcomes(root, files):
    """Return the contents that any of many losses of power leaves."""
    found = []
    for seed in SEEDS:
        left = files.disk.survivors(random.Random(seed))
        if left not in found:
            found.append(left)
    return found


def write_file(files, path, data, *, synced):
    descriptor = files.open_for_append(path)
    files.write(descriptor, data)
    if synced:
        files.sync(descriptor)
    files.close(descriptor)


@pytest.fixture
def files(tmp_path):
    return _power_loss.RecordingFiles(tmp_path)


def test_synced_data_with_a_synced_name_survives(tmp_path, files):
    write_file(files, tmp_path / 'a', b'data', synced=True)
    files.sync_folder(tmp_path)
    assert outcomes(tmp_path, files) == [{'a': b'data'}]


def test_a_name_is_lost_without_a_sync_of_its_folder(tmp_path, files):
    write_file(files, tmp_path / 'a', b'data', synced=True)
    found = outcomes(tmp_path, files)
    assert {} in found
    assert {'a': b'data'} in found


def test_unsynced_writes_survive_each_by_itself(tmp_path, files):
    write_file(files, tmp_path / 'a', b'', synced=True)
    files.sync_folder(tmp_path)
    write_file(files, tmp_path / 'a', b'xx', synced=False)
    write_file(files, tmp_path / 'a', b'yy', synced=False)
    found = [left['a'] for left in outcomes(tmp_path, files)]
    for expected in (b'', b'xx', b'xxyy', b'\0\0yy'):
        assert expected in found


def test_a_chosen_loss_takes_the_write_before_the_last(tmp_path, files):
    write_file(files, tmp_path / 'a', b'', synced=True)
    files.sync_folder(tmp_path)
    for data in (b'xx', b'yy', b'zz'):
        write_file(files, tmp_path / 'a', data, synced=False)
    left = files.disk.survivors(random.Random(1), keeps_last_write=True)
    assert left == {'a': b'xx\0\0zz'}


def test_a_write_is_torn_in_blocks(tmp_path, files):
    block_bytes = _power_loss.BLOCK_BYTES
    write_file(files, tmp_path / 'a', b'', synced=True)
    files.sync_folder(tmp_path)
    write_file(files, tmp_path / 'a', b'x' * 3 * block_bytes, synced=False)
    found = [left['a'] for left in outcomes(tmp_path, files)]
    assert any(data[:block_bytes] == bytes(block_bytes) for data in found)


def test_a_rename_without_a_sync_leaves_one_name(tmp_path, files):
    write_file(files, tmp_path / 'a', b'old', synced=True)
    write_file(files, tmp_path / 'b', b'new', synced=True)
    files.sync_folder(tmp_path)
    files.rename(tmp_path / 'b', tmp_path / 'a')
    found = outcomes(tmp_path, files)
    assert found == [{'a': b'new'}, {'a': b'old', 'b': b'new'}] or found == [
        {'a': b'old', 'b': b'new'},
        {'a': b'new'},
    ]


def test_nothing_is_written_after_the_power_was_cut(tmp_path, files):
    files.cut_power()
    with pytest.raises(_power_loss.PowerLost):
        files.open_for_append(tmp_path / 'a')
    files.lose_power(random.Random(1))
    write_file(files, tmp_path / 'a', b'data', synced=True)
    assert files.disk.contents() == {'a': b'data'}


def test_a_killed_process_leaves_its_changes_unsynced(tmp_path):
    root = tmp_path / 'root'
    root.mkdir()
    journal = tmp_path / 'journal'
    first = _power_loss.RecordingFiles(root, journal)
    write_file(first, root / 'a', b'kept', synced=True)
    first.sync_folder(root)
    write_file(first, root / 'a', b'lost', synced=False)
    journal.write_bytes(journal.read_bytes() + b'\x94')
    # The next process sees the data, and no sync covers it.
    second = _power_loss.RecordingFiles(root, journal)
    assert second.disk.contents() == {'a': b'keptlost'}
    found = [left['a'] for left in outcomes(root, second)]
    assert b'kept' in found
    unsynced = _power_loss.lose_power(root, journal, random.Random(3))
    assert unsynced == (1, 1)
    left = (root / 'a').read_bytes()
    assert left.startswith(b'kept')
    # What a loss of power has left is durable.
    third = _power_loss.RecordingFiles(root, journal)
    assert outcomes(root, third) == [{'a': left}]
    unsynced = _power_loss.lose_power(root, journal, random.Random(3))
    assert unsynced == (0, 0)


def test_an_operation_that_a_kill_left_unrecorded_is_found(tmp_path):
    root = tmp_path / 'root'
    root.mkdir()
    journal = tmp_path / 'journal'
    first = _power_loss.RecordingFiles(root, journal)
    write_file(first, root / 'a', b'data', synced=True)
    (root / 'a').write_bytes(b'data and more')
    second = _power_loss.RecordingFiles(root, journal)
    assert second.disk.contents() == {'a': b'data and more'}


def test_synced_data_survives_after_an_unrecorded_operation(tmp_path):
    root = tmp_path / 'root'
    root.mkdir()
    journal = tmp_path / 'journal'
    first = _power_loss.RecordingFiles(root, journal)
    write_file(first, root / 'a', b'synced', synced=True)
    first.sync_folder(root)
    (root / 'a').write_bytes(b'synced and more')
    second = _power_loss.RecordingFiles(root, journal)
    found = [left['a'] for left in outcomes(root, second)]
    assert b'synced' in found
    assert all(data.startswith(b'synced') for data in found)
