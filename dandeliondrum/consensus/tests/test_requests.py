"""Tests of a follower's replies to entries and snapshots."""

import zlib

import pytest

from dandeliondrum import consensus
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _recovery
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus import _writer
from dandeliondrum.consensus.tests import harness
from dandeliondrum import messages
from dandeliondrum import utils

LEADER = messages.ControllerId('c2')


@pytest.fixture(name='follower')
def make_follower(tmp_path):
    options = consensus.Options(
        messages.ControllerId('c1'), harness.CELL_ID, tmp_path
    )
    opened = _recovery.open_files(options, _files.Files())
    return _writer.Writer(
        opened.state, _files.Files(), opened.snapshots, tmp_path
    )


def state_of(follower):
    return follower._state


def send(follower, terms, term=9, previous=(0, 0), commit=0, **fields):
    """Send entries with these terms after the previous index and term."""
    index, previous_term = previous
    records = b''.join(
        _records.make(
            index + position, entry_term, _records.EntryKind.COMMAND, b'c'
        ).record
        for position, entry_term in enumerate(terms, 1)
    )
    request = {
        'term': term,
        'leader_id': LEADER,
        'disk_id': state_of(follower).disk_id,
        'previous_index': index,
        'previous_term': previous_term,
        'commit_index': commit,
        'records': records,
        **fields,
    }
    return follower.handle(_messages.AppendEntries(**request))


def stored_terms(follower):
    entries = state_of(follower).log.read(1, 100, 1 << 20)
    return [entry.term for entry in entries]


def test_entries_for_another_disk_are_refused(follower):
    reply = send(follower, [1], disk_id='former')
    assert reply.outcome is _messages.Outcome.WRONG_DISK
    assert reply.disk_id == state_of(follower).disk_id
    assert stored_terms(follower) == []
    assert state_of(follower).leader_id is None


def test_entries_of_an_old_term_are_refused(follower):
    send(follower, [1])
    reply = send(follower, [1], term=8, previous=(1, 1))
    assert (reply.outcome, reply.term) == (_messages.Outcome.OLD_TERM, 9)
    assert stored_terms(follower) == [1]


def test_the_same_entries_twice_are_stored_once(follower):
    send(follower, [1, 2, 2])
    reply = send(follower, [1, 2])
    assert (reply.match_index, reply.last_index) == (2, 3)
    assert stored_terms(follower) == [1, 2, 2]


def test_conflicting_entries_and_later_ones_are_replaced(follower):
    send(follower, [1, 2, 2, 2])
    assert send(follower, [3], previous=(2, 2)).match_index == 3
    assert stored_terms(follower) == [1, 2, 3]


def test_a_gap_is_a_mismatch_with_the_last_index(follower):
    send(follower, [1, 1])
    reply = send(follower, [2], previous=(7, 2))
    assert reply.outcome is _messages.Outcome.MISMATCH
    assert reply.match_index == 2


def test_a_mismatch_skips_the_whole_conflicting_term(follower):
    send(follower, [1, 2, 2, 2])
    reply = send(follower, [3], previous=(4, 3))
    assert reply.outcome is _messages.Outcome.MISMATCH
    assert reply.match_index == 1


def test_committed_entries_are_never_replaced(follower):
    send(follower, [1, 2], commit=2)
    with pytest.raises(utils.InvariantError):
        send(follower, [3], previous=(1, 1))


def test_only_matching_entries_are_committed(follower):
    send(follower, [1, 2, 2])
    send(follower, [1], commit=3)
    assert state_of(follower).commit_index == 1


@pytest.mark.parametrize(
    'fields',
    [
        {'records': b'no record'},
        {'records': b'not deflated', 'compressed': True},
        {'records': zlib.compress(b'no record'), 'compressed': True},
    ],
)
def test_damaged_entries_are_not_stored(follower, fields):
    reply = send(follower, [], **fields)
    assert reply.outcome is _messages.Outcome.MISMATCH
    assert stored_terms(follower) == []


def send_snapshot(follower, data, **fields):
    request = {
        'term': 9,
        'leader_id': LEADER,
        'disk_id': state_of(follower).disk_id,
        'index': 5,
        'offset_bytes': 0,
        'length_bytes': len(data),
        'data': data,
        **fields,
    }
    return follower.handle(_messages.InstallSnapshot(**request))


def test_a_snapshot_for_another_disk_or_of_an_old_term_is_refused(follower):
    data = _snapshot.pack(
        _snapshot.Snapshot(
            _snapshot.SnapshotHead(5, 2, _messages.Membership()), b'state'
        )
    )
    reply = send_snapshot(follower, data, disk_id='former')
    assert reply.outcome is _messages.Outcome.WRONG_DISK
    send(follower, [1])
    reply = send_snapshot(follower, data, term=8)
    assert reply.outcome is _messages.Outcome.OLD_TERM
    assert state_of(follower).commit_index == 0
    reply = send_snapshot(follower, data)
    assert reply.outcome is _messages.Outcome.STORED
    assert state_of(follower).commit_index == 5


def test_a_damaged_snapshot_is_requested_again(follower):
    reply = send_snapshot(follower, b'no snapshot')
    assert reply.outcome is _messages.Outcome.MISMATCH
    assert reply.received_bytes == 0
    assert state_of(follower).commit_index == 0


def test_a_part_of_a_snapshot_out_of_order_is_refused(follower):
    reply = send_snapshot(follower, b'part', offset_bytes=100)
    assert reply.outcome is _messages.Outcome.MISMATCH


def test_a_snapshot_does_not_count_entries_that_are_not_synced(follower):
    state = state_of(follower)
    send(follower, [1, 1, 1])
    packed = _snapshot.pack(
        _snapshot.Snapshot(
            _snapshot.SnapshotHead(2, 1, _messages.Membership()), b'state'
        )
    )
    send_snapshot(follower, packed, index=2)
    assert state.snapshot_index == 2
    assert state.log.last_index == 3
    assert state.synced_index == 2
