"""Tests of torn, damaged, missing and foreign files, and of full disks."""

import errno
import os

import psutil
import pytest
import structlog

from dandeliondrum import consensus
from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _hard_state
from dandeliondrum.consensus import _log
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _recovery
from dandeliondrum.consensus import _segment
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus.tests import harness

# What precedes the first record of a batch.
BATCH_HEAD_BYTES = _segment.HEADER_BYTES + _segment.MARKER_BYTES


class LimitedDisk(_files.Files):
    """Disk that is full after ``writable_bytes``; None is no limit."""

    def __init__(self):
        self.writable_bytes = None
        self.reported_free_bytes = 1 << 40

    def free_bytes(self, folder):
        return self.reported_free_bytes

    def write(self, descriptor, data):
        if self.writable_bytes is None or len(data) <= self.writable_bytes:
            super().write(descriptor, data)
            return
        super().write(descriptor, data[: self.writable_bytes])
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


class RefusingDisk(_files.Files):
    """Disk that refuses an operation on files of the log, while ``left``."""

    def __init__(self, operation, number, left=1 << 30):
        self.operation = operation
        self.error = OSError(number, os.strerror(number))
        self.left = left

    def _pass(self, operation):
        if operation == self.operation and self.left:
            self.left -= 1
            raise self.error

    def truncate(self, descriptor, size_bytes):
        self._pass('truncate')
        super().truncate(descriptor, size_bytes)

    def sync(self, descriptor):
        self._pass('sync')
        super().sync(descriptor)

    def remove(self, path):
        if path.name.startswith(_segment.FILE_NAME_PREFIX):
            self._pass('remove')
        super().remove(path)


def make_entries(first, last, term=1):
    return [
        _records.make(
            index, term, _records.EntryKind.COMMAND, b'command %d' % index
        )
        for index in range(first, last + 1)
    ]


def write_batches(folder, *batches):
    log = _log.Log(_files.Files(), folder)
    for batch in batches:
        log.append(batch)
        log.sync()
    log.close()


def write_old_batches(folder, *batches):
    """Write a log in the format of earlier versions."""
    with (folder / 'log-00000000000000000001').open('wb') as file:
        for batch in batches:
            for position, entry in enumerate(batch):
                file.write(b'\xd7DDi' if position else b'\xd7DDb')
                file.write(entry.record)


def reopen(folder):
    log = _log.Log(_files.Files(), folder)
    log.close()
    return log


def newest_file(folder):
    return sorted(folder.glob('log-*'))[-1]


def flip_byte(path, offset):
    data = bytearray(path.read_bytes())
    data[offset] ^= 0xFF
    path.write_bytes(data)


def test_entries_are_loaded_after_a_restart(tmp_path):
    entries = make_entries(1, 9)
    write_batches(tmp_path, entries[:4], entries[4:])
    assert reopen(tmp_path).read(1, 100, 1 << 20) == entries


@pytest.mark.parametrize('cut_bytes', [1, 30, 37])
def test_a_torn_tail_is_cut(tmp_path, cut_bytes):
    entries = make_entries(1, 3)
    write_batches(tmp_path, entries[:2], entries[2:])
    path = newest_file(tmp_path)
    os.truncate(path, path.stat().st_size - cut_bytes)
    assert reopen(tmp_path).read(1, 100, 1 << 20) == entries[:2]
    # The torn tail is also removed from the file.
    write_batches(tmp_path, make_entries(3, 3, term=2))
    assert reopen(tmp_path).last_term == 2


def test_a_batch_with_only_its_end_written_is_a_torn_tail(tmp_path):
    entries = make_entries(1, 6)
    write_batches(tmp_path, entries[:2], entries[2:])
    path = newest_file(tmp_path)
    third = path.read_bytes().index(entries[2].record)
    flip_byte(path, third + 20)
    assert reopen(tmp_path).last_index == 2


def test_damage_before_a_later_batch_is_refused(tmp_path):
    entries = make_entries(1, 6)
    write_batches(tmp_path, entries[:2], entries[2:4], entries[4:])
    path = newest_file(tmp_path)
    fourth = path.read_bytes().index(entries[3].record)
    flip_byte(path, fourth + 30)
    with pytest.raises(_errors.StorageError) as caught:
        reopen(tmp_path)
    assert caught.value.error.file == str(path)
    assert caught.value.error.offset_bytes == fourth - 4


def test_a_refused_log_tells_what_surrounds_the_damage(tmp_path):
    entries = make_entries(1, 6)
    write_batches(tmp_path, entries[:2], entries[2:4], entries[4:])
    path = newest_file(tmp_path)
    data = bytearray(path.read_bytes())
    second, third = (
        data.index(entries[position].record) - BATCH_HEAD_BYTES
        for position in (2, 4)
    )
    data[second:third] = bytes(third - second)
    path.write_bytes(data)
    with structlog.testing.capture_logs() as lines:
        with pytest.raises(_errors.StorageError):
            reopen(tmp_path)
    (line,) = [line for line in lines if line['event'] == 'log damaged']
    assert line['offset_bytes'] == second
    assert line['last_index'] == 2
    assert line['zero_bytes'] == third - second
    assert line['later_batches'] == 1
    assert line['next_batch_bytes'] == third
    assert line['synced_bytes'] == third


def test_damage_below_a_sync_is_refused_whatever_follows(tmp_path):
    """Only the last header that can be read tells of the sync."""
    entries = make_entries(1, 8)
    write_batches(tmp_path, *(entries[at : at + 2] for at in (0, 2, 4)))
    with_unsynced = _log.Log(_files.Files(), tmp_path)
    with_unsynced.append(entries[6:7])
    with_unsynced.append(entries[7:])
    with_unsynced.close()
    path = newest_file(tmp_path)
    data = path.read_bytes()
    flip_byte(path, data.index(entries[2].record))
    flip_byte(path, data.index(entries[4].record) - BATCH_HEAD_BYTES)
    flip_byte(path, data.index(entries[6].record))
    with pytest.raises(_errors.StorageError):
        reopen(tmp_path)


def test_a_command_with_the_bytes_of_a_batch_is_no_later_batch(tmp_path):
    """A log would be refused after a loss of power for what a caller sent."""
    (forged,) = make_entries(9, 9)
    entries = make_entries(1, 2)
    for index in (3, 4):
        entries.append(
            _records.make(
                index,
                1,
                _records.EntryKind.COMMAND,
                _segment.BATCH_MARKER + forged.record,
            )
        )
    write_batches(tmp_path, entries[:2], entries[2:3], entries[3:])
    path = newest_file(tmp_path)
    data = path.read_bytes()
    os.truncate(path, len(data) - 1)
    assert reopen(tmp_path).last_index == 3
    flip_byte(path, path.read_bytes().index(entries[2].record))
    assert reopen(tmp_path).last_index == 2


def test_a_log_of_an_earlier_version_is_loaded_and_continued(tmp_path):
    entries = make_entries(1, 9)
    write_old_batches(tmp_path, entries[:3], entries[3:4])
    write_batches(tmp_path, entries[4:6], entries[6:])
    assert reopen(tmp_path).read(1, 100, 1 << 20) == entries


def test_a_torn_tail_of_an_earlier_version_is_cut(tmp_path):
    entries = make_entries(1, 6)
    write_old_batches(tmp_path, entries[:2], entries[2:])
    path = newest_file(tmp_path)
    flip_byte(path, path.read_bytes().index(entries[3].record))
    assert reopen(tmp_path).last_index == 3


@pytest.mark.parametrize('later', ['earlier version', 'this version'])
def test_damage_in_a_log_of_an_earlier_version_is_refused(tmp_path, later):
    entries = make_entries(1, 6)
    if later == 'this version':
        write_old_batches(tmp_path, entries[:2], entries[2:4])
        write_batches(tmp_path, entries[4:])
    else:
        write_old_batches(tmp_path, entries[:2], entries[2:4], entries[4:])
    path = newest_file(tmp_path)
    flip_byte(path, path.read_bytes().index(entries[2].record))
    with pytest.raises(_errors.StorageError):
        reopen(tmp_path)


def read_as_earlier_version(data, first_index):
    """Return the index of the first entry that an earlier version refuses.

    It cuts the file at the first unreadable record unless a later record
    with the marker of a batch can be read.
    """
    offset = 0
    index = first_index
    while offset < len(data):
        assert data[offset : offset + 4] in (b'\xd7DDb', b'\xd7DDi'), 'cut'
        entry = _records.parse(data, offset + 4)
        if entry.index != index:
            return index
        index += 1
        offset += 4 + len(entry.record)
    return None


@pytest.mark.parametrize('old_count', [0, 3])
def test_an_earlier_version_refuses_a_log_of_this_one(tmp_path, old_count):
    """It would cut the log, and the node forget what it has acknowledged."""
    entries = make_entries(1, 9)
    if old_count:
        write_old_batches(tmp_path, entries[:old_count])
    write_batches(tmp_path, entries[old_count:])
    data = newest_file(tmp_path).read_bytes()
    assert read_as_earlier_version(data, 1) == old_count + 1


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (None, 'none'),
        (b'', 'unknown'),
        (b'closed', 'closed'),
        (b'of another boot', 'rebooted'),
        ('as it was', 'killed'),
    ],
)
def test_the_end_of_the_previous_process_is_logged(tmp_path, text, expected):
    files = _files.Files()
    path = tmp_path / _recovery.LOCK_FILE_NAME
    with _recovery.lock_folder(files, tmp_path):
        as_it_was = path.read_bytes()
    path.unlink()
    if text is not None:
        path.write_bytes(as_it_was if text == 'as it was' else text)
    with structlog.testing.capture_logs() as lines:
        with _recovery.lock_folder(files, tmp_path):
            pass
    (line,) = [line for line in lines if line['event'] == 'data folder opened']
    assert line['previous_end'] == expected
    assert path.read_bytes() == b'closed'


def test_a_refused_start_does_not_hide_the_end_of_the_previous_process(
    tmp_path,
):
    cluster = make_stopped_cluster(tmp_path)
    path = tmp_path / 'c1' / _recovery.LOCK_FILE_NAME
    path.write_bytes(b'of another boot')
    flip_byte(tmp_path / 'c1' / _hard_state.STATE_FILE_NAME, 5)
    for _ in range(2):
        with structlog.testing.capture_logs() as lines:
            assert cluster.launch('c1').failure().is_damage
        opened = [
            line for line in lines if line['event'] == 'data folder opened'
        ]
        assert [line['previous_end'] for line in opened] == ['rebooted']


def test_damage_at_the_end_of_an_older_file_is_refused(tmp_path, monkeypatch):
    monkeypatch.setattr(_options, 'SEGMENT_BYTES_MAX', 1)
    write_batches(tmp_path, make_entries(1, 2), make_entries(3, 4))
    oldest = sorted(tmp_path.glob('log-*'))[0]
    os.truncate(oldest, oldest.stat().st_size - 1)
    with pytest.raises(_errors.StorageError):
        reopen(tmp_path)


def test_a_missing_file_in_the_middle_is_refused(tmp_path, monkeypatch):
    monkeypatch.setattr(_options, 'SEGMENT_BYTES_MAX', 1)
    batches = [make_entries(index, index) for index in (1, 2, 3)]
    write_batches(tmp_path, *batches)
    sorted(tmp_path.glob('log-*'))[1].unlink()
    with pytest.raises(_errors.StorageError):
        reopen(tmp_path)


def test_a_full_disk_leaves_the_log_unchanged(tmp_path):
    disk = LimitedDisk()
    log = _log.Log(disk, tmp_path)
    log.append(make_entries(1, 2))
    log.sync()
    size_bytes = newest_file(tmp_path).stat().st_size
    disk.writable_bytes = 60
    with pytest.raises(OSError, match='No space'):
        log.append(make_entries(3, 9))
    assert newest_file(tmp_path).stat().st_size == size_bytes
    disk.writable_bytes = None
    log.append(make_entries(3, 3, term=2))
    log.sync()
    log.close()
    assert reopen(tmp_path).read(1, 9, 1 << 20) == [
        *make_entries(1, 2),
        *make_entries(3, 3, term=2),
    ]


def test_truncated_entries_are_not_loaded_again(tmp_path, monkeypatch):
    monkeypatch.setattr(_options, 'SEGMENT_BYTES_MAX', 200)
    log = _log.Log(_files.Files(), tmp_path)
    for index in range(1, 20):
        log.append(make_entries(index, index))
    log.truncate_from(3)
    log.append(make_entries(3, 5, term=2))
    log.sync()
    log.close()
    assert [entry.term for entry in reopen(tmp_path).read(1, 99, 1 << 20)] == [
        1,
        1,
        2,
        2,
        2,
    ]


def test_compaction_keeps_entries_after_the_index(tmp_path):
    log = _log.Log(_files.Files(), tmp_path)
    log.append(make_entries(1, 10))
    log.compact(0)
    log.append(make_entries(11, 20))
    log.compact(10)
    log.close()
    reopened = reopen(tmp_path)
    assert (reopened.first_index, reopened.last_index) == (11, 20)


def make_stopped_cluster(folder):
    """Return a stopped cluster of one node with two commands."""
    cluster = harness.Cluster(folder, 1)
    name = cluster.bootstrap()
    for command in (b'one', b'two'):
        cluster.propose(name, command).unwrap()
    cluster.stop(name)
    return cluster


@pytest.mark.parametrize(
    ('name', 'offset'),
    [(_hard_state.STATE_FILE_NAME, 5), (_hard_state.IDENTITY_FILE_NAME, 5)],
)
def test_start_fails_with_a_damaged_state_or_identity_file(
    tmp_path, name, offset
):
    cluster = make_stopped_cluster(tmp_path)
    path = tmp_path / 'c1' / name
    flip_byte(path, offset)
    error = cluster.launch('c1').failure()
    assert error.file == str(path)
    assert error.is_damage


@pytest.mark.parametrize(
    'name', [_hard_state.STATE_FILE_NAME, _hard_state.IDENTITY_FILE_NAME]
)
def test_start_fails_with_a_missing_state_or_identity_file(tmp_path, name):
    cluster = make_stopped_cluster(tmp_path)
    (tmp_path / 'c1' / name).unlink()
    assert name in cluster.launch('c1').failure().file


def test_start_fails_with_a_damaged_snapshot(tmp_path):
    cluster = harness.Cluster(tmp_path, 1, snapshot_every_entries=10)
    name = cluster.bootstrap()
    for number in range(30):
        cluster.propose(name, b'%d' % number).unwrap()
    harness.wait_for(lambda: cluster.node(name).status().snapshot_index)
    cluster.stop(name)
    (path,) = (tmp_path / 'c1').glob('snapshot-*')
    flip_byte(path, 60)
    assert cluster.launch('c1').failure().file == str(path)


def tear_tail(folder):
    """Cut the log in a record that no sync has covered."""
    path = newest_file(folder)
    os.truncate(path, path.stat().st_size - 1)


def replace_log_by_snapshot(folder):
    """Leave a log that ends before the entry that a snapshot ends with."""
    membership = _messages.Membership()
    head = _snapshot.SnapshotHead(90, 9, membership)
    _hard_state.save(
        _files.Files(),
        folder / _hard_state.STATE_FILE_NAME,
        _hard_state.HardState(9),
    )
    store = _snapshot.SnapshotStore(_files.Files(), folder)
    store.save(_snapshot.Snapshot(head, b''))


PREPARE_FOR = {'truncate': tear_tail, 'remove': replace_log_by_snapshot}


@pytest.mark.parametrize('operation', PREPARE_FOR)
@pytest.mark.parametrize('number', [errno.EIO, errno.ENOSPC])
def test_a_refused_change_of_a_file_may_pass_at_a_start(
    tmp_path, operation, number
):
    """A start must wait for the disk instead of ending the process."""
    with make_stopped_cluster(tmp_path) as cluster:
        PREPARE_FOR[operation](tmp_path / 'c1')
        cluster.files['c1'] = RefusingDisk(operation, number, left=3)
        for _ in range(3):
            error = cluster.launch('c1').failure()
            assert error.detail.startswith(f'{operation}: ')
            assert error.may_pass
            assert not error.is_damage
        cluster.launch('c1').unwrap()


@pytest.mark.parametrize('operation', PREPARE_FOR)
def test_a_change_of_a_file_that_is_not_permitted_ends_a_start(
    tmp_path, operation
):
    cluster = make_stopped_cluster(tmp_path)
    PREPARE_FOR[operation](tmp_path / 'c1')
    cluster.files['c1'] = RefusingDisk(operation, errno.EROFS)
    error = cluster.launch('c1').failure()
    assert error.detail.startswith(f'{operation}: ')
    assert not error.may_pass


def test_a_failed_sync_of_a_loaded_log_does_not_pass(tmp_path):
    """A later sync that succeeds doesn't show that the entries are stored."""
    cluster = make_stopped_cluster(tmp_path)
    for prepare in (lambda _folder: None, tear_tail):
        prepare(tmp_path / 'c1')
        cluster.files['c1'] = RefusingDisk('sync', errno.EIO)
        error = cluster.launch('c1').failure()
        assert error.detail.startswith('sync: ')
        assert not error.may_pass


def test_damage_is_no_error_that_may_pass(tmp_path):
    """The disk refuses the cut, too, but damage must not be cut at all."""
    cluster = make_stopped_cluster(tmp_path)
    path = newest_file(tmp_path / 'c1')
    flip_byte(path, BATCH_HEAD_BYTES + 20)
    cluster.files['c1'] = RefusingDisk('truncate', errno.EIO)
    data = path.read_bytes()
    error = cluster.launch('c1').failure()
    assert error.is_damage
    assert not error.may_pass
    assert path.read_bytes() == data


def test_a_start_that_is_tried_again_keeps_no_files_open(tmp_path):
    """The descriptors of a process would run out while a start waits."""
    cluster = make_stopped_cluster(tmp_path)
    tear_tail(tmp_path / 'c1')
    cluster.files['c1'] = RefusingDisk('truncate', errno.EIO)
    process = psutil.Process()
    files_count = process.num_fds()
    for _ in range(5):
        assert 'truncate' in cluster.launch('c1').failure().detail
    assert process.num_fds() == files_count


def test_start_fails_with_a_folder_in_use(tmp_path):
    with harness.Cluster(tmp_path, 1) as cluster:
        cluster.start()
        error = cluster.launch('c1').failure()
        assert 'another process' in error.detail
        assert not error.is_damage
        kept = consensus.move_damaged_files(tmp_path / 'c1')
        assert 'another process' in kept.failure().detail


def test_start_fails_with_a_folder_of_another_controller(tmp_path):
    cluster = make_stopped_cluster(tmp_path)
    (tmp_path / 'c1').rename(tmp_path / 'c2')
    cluster.names = ['c2']
    assert 'belongs to controller c1' in cluster.launch('c2').failure().detail


def test_a_leader_with_a_full_disk_transfers_leadership_without_loss(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        cluster.files = {name: LimitedDisk() for name in cluster.names}
        leader = cluster.bootstrap()
        cluster.propose(leader, b'before').unwrap()
        cluster.files[leader].writable_bytes = 10
        error = cluster.propose(leader, b'refused').failure()
        assert error.failure is consensus.ProposeFailure.STORAGE_FULL
        assert error.never_committed
        successor = cluster.leader(among=cluster.others(leader))
        cluster.propose(successor, b'after').unwrap()
        cluster.files[leader].writable_bytes = None
        cluster.wait_applied([b'before', b'after'])


def test_with_all_disks_full_the_leader_refuses_until_space_is_free(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        cluster.files = {name: LimitedDisk() for name in cluster.names}
        leader = cluster.bootstrap()
        cluster.propose(leader, b'before').unwrap()
        cluster.wait_applied([b'before'])
        for disk in cluster.files.values():
            disk.writable_bytes = 10
        refusals = [
            cluster.propose(leader, b'refused %d' % number).failure()
            for number in range(3)
        ]
        assert all(error.never_committed for error in refusals)
        for disk in cluster.files.values():
            disk.writable_bytes = None

        def accepted():
            for name in cluster.leaders():
                outcome = cluster.propose(name, b'after')
                if outcome.value_or(None):
                    return True
            return False

        harness.wait_for(accepted)
        cluster.wait_applied([b'before', b'after'])


def test_a_leader_low_on_space_transfers_before_the_disk_is_full(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        cluster.files = {name: LimitedDisk() for name in cluster.names}
        leader = cluster.bootstrap()
        cluster.files[leader].reported_free_bytes = 0
        successor = cluster.leader(among=cluster.others(leader))
        cluster.propose(successor, b'after').unwrap()
        cluster.wait_applied([b'after'])


def test_with_all_disks_low_on_space_the_leader_stays_and_refuses(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        cluster.files = {name: LimitedDisk() for name in cluster.names}
        leader = cluster.bootstrap()
        for name in [*cluster.others(leader), leader]:
            cluster.files[name].reported_free_bytes = 0
            harness.wait_for(lambda name=name: reports_full(cluster, name))
        error = cluster.propose(leader, b'refused').failure()
        assert error.failure is consensus.ProposeFailure.STORAGE_FULL
        assert error.never_committed
        assert cluster.leaders() == [leader]
        for disk in cluster.files.values():
            disk.reported_free_bytes = 1 << 40

        def accepted():
            return cluster.propose(leader, b'after').value_or(None)

        harness.wait_for(accepted)
        cluster.wait_applied([b'after'])


def reports_full(cluster, name):
    """Return whether the leader reports the node's storage as full."""
    (leader,) = cluster.leaders()
    status = cluster.node(leader).status()
    return {one.controller_id: one.storage_full for one in status.members}[
        name
    ]


def test_a_failed_sync_gives_an_unknown_outcome_and_a_new_leader(
    tmp_path,
):
    class FailingSync(_files.Files):
        failing = False

        def sync(self, descriptor):
            if self.failing:
                raise OSError(errno.EIO, os.strerror(errno.EIO))
            super().sync(descriptor)

    with harness.Cluster(tmp_path) as cluster:
        disk = FailingSync()
        cluster.files = {cluster.names[0]: disk}
        leader = cluster.bootstrap()
        assert leader == cluster.names[0]
        disk.failing = True
        error = cluster.propose(leader, b'unknown').failure()
        assert error.failure is consensus.ProposeFailure.STORAGE_FAILED
        assert not error.never_committed
        assert not cluster.node(leader).is_leading()
        successor = cluster.leader(among=cluster.others(leader))
        assert cluster.propose(successor, b'after').unwrap()


class HiddenParents(_files.Files):
    """Can't sync the folders above the data folder."""

    def __init__(self, root, error_number):
        self._root = root
        self._error_number = error_number

    def sync_folder(self, folder):
        if folder in self._root.parents:
            raise OSError(self._error_number, 'no such folder here')
        super().sync_folder(folder)


@pytest.mark.parametrize(
    'error_number', (errno.ENOENT, errno.EINVAL, errno.EACCES)
)
def test_a_folder_above_that_cannot_be_synced_refuses_no_start(
    tmp_path, error_number
):
    folder = tmp_path / 'data'
    folder.mkdir()
    files = HiddenParents(folder, error_number)
    with _recovery.lock_folder(files, folder):
        assert (folder / _recovery.LOCK_FILE_NAME).exists()


def test_a_created_folder_that_cannot_be_synced_refuses_the_start(tmp_path):
    folder = tmp_path / 'data'
    files = HiddenParents(folder, errno.EINVAL)
    with pytest.raises(OSError, match='no such folder'):
        with _recovery.lock_folder(files, folder):
            pass
