"""Tests of when entries are committed and replies are counted."""

import concurrent.futures
import time

from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _pipeline
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _recovery
from dandeliondrum.consensus.tests import harness
from dandeliondrum import messages

MEMBERS = tuple(
    _messages.Member(messages.ControllerId(name), 'unused:1', f'disk {name}')
    for name in ('c1', 'c2', 'c3')
)


def open_leader(folder):
    """Return a leader in term 2 whose log has one entry of term 1."""
    options = consensus.Options(
        messages.ControllerId('c1'), harness.CELL_ID, folder
    )
    opened = _recovery.open_files(options, _files.Files())
    state = opened.state
    state.disk_id = MEMBERS[0].disk_id
    membership = messages.encode(_messages.Membership(MEMBERS))
    append(state, 1, _records.EntryKind.MEMBERSHIP, membership)
    with state.lock:
        state.term = 2
        state.become_leader()
    return opened


def append(state, term, kind, payload=b''):
    index = state.log.last_index + 1
    entry = _records.make(index, term, kind, payload)
    state.log.append([entry])
    state.history.add([entry])
    state.synced_index = index


def test_an_entry_of_an_earlier_term_is_committed_only_with_a_current_one(
    tmp_path,
):
    state = open_leader(tmp_path).state
    with state.lock:
        state.progress['c2'].match_index = 1
        state.advance_commit()
        assert state.commit_index == 0
        append(state, 2, _records.EntryKind.EMPTY)
        state.progress['c2'].match_index = 2
        state.advance_commit()
        assert state.commit_index == 2


def test_an_entry_on_one_of_three_voters_is_not_committed(tmp_path):
    state = open_leader(tmp_path).state
    with state.lock:
        append(state, 2, _records.EntryKind.EMPTY)
        state.advance_commit()
        assert state.commit_index == 0
        # A voter whose disk was replaced does not count for the quorum.
        state.progress['c2'].match_index = 2
        state.progress['c2'].readmission_disk_id = 'another'
        state.advance_commit()
        assert state.commit_index == 0


def test_a_reply_counts_from_the_time_its_request_was_sent(tmp_path):
    opened = open_leader(tmp_path)
    state = opened.state
    began_ns = []

    class SlowLink:
        def call_async(self, _address, message):
            began_ns.append(time.monotonic_ns())
            time.sleep(0.05)
            reply = _messages.AppendReply(
                2, _messages.Outcome.STORED, 1, 1, MEMBERS[1].disk_id
            )
            future = concurrent.futures.Future()
            future.set_result(result.Success(reply))
            return future

        def timeout_ms(self, _size_bytes):
            return harness.TIMEOUT_S * 1000

    pipeline = _pipeline.Pipeline(state, SlowLink(), MEMBERS[1].controller_id)
    heartbeat = _messages.AppendEntries(2, 'c1', MEMBERS[1].disk_id, 1, 1, 0)
    assert pipeline.send('unused:1', heartbeat, [])
    assert pipeline.collect_replies()
    assert 0 < state.progress['c2'].answered_ns <= began_ns[0]


class IdleLink:
    """A link whose calls are answered by the test."""

    def __init__(self):
        self.replies = []

    def call_async(self, _address, _message):
        self.replies.append(concurrent.futures.Future())
        return self.replies[-1]

    def timeout_ms(self, _size_bytes):
        return harness.TIMEOUT_S * 1000


def test_a_reply_wakes_only_the_thread_of_its_peer(tmp_path):
    state = open_leader(tmp_path).state
    names = [member.controller_id for member in MEMBERS[1:]]
    waiting = []

    def wait(name):
        with state.lock:
            waiting.append(name)
            return state.wait_as_peer(name, 1)

    def all_wait():
        # A thread gives up the lock only to wait for its condition.
        with state.lock:
            return len(waiting) == len(names)

    for name in names:
        state.add_peer(name)
    link = IdleLink()
    pipeline = _pipeline.Pipeline(state, link, names[0])
    heartbeat = _messages.AppendEntries(2, 'c1', MEMBERS[1].disk_id, 1, 1, 0)
    assert pipeline.send('unused:1', heartbeat, [])
    with concurrent.futures.ThreadPoolExecutor(2) as threads:
        woken = [threads.submit(wait, name) for name in names]
        harness.wait_for(all_wait)
        link.replies[0].set_result(result.Failure(None))
        assert [future.result(harness.TIMEOUT_S) for future in woken] == [
            True,
            False,
        ]


def test_an_entry_counts_only_once_it_is_synced(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        cluster.files = {
            name: harness.BlockingSync() for name in cluster.names
        }
        leader = cluster.bootstrap()
        cluster.propose(leader, b'before').unwrap()
        down, slow = cluster.others(leader)
        cluster.stop(down)
        for disk in (cluster.files[slow], cluster.files[leader]):
            disk.released.clear()
            future = cluster.node(leader).propose(b'waits')
            assert disk.waiting.wait(harness.TIMEOUT_S)
            time.sleep(2 * harness.HEARTBEAT_MS / 1000)
            assert not future.done()
            disk.released.set()
            assert future.result(harness.TIMEOUT_S).unwrap()


def test_a_transfer_waits_for_earlier_proposals(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        cluster.files = {
            name: harness.BlockingSync() for name in cluster.names
        }
        leader = cluster.bootstrap()
        node = cluster.node(leader)
        disk = cluster.files[leader]
        disk.released.clear()
        first = node.propose(b'first')
        assert disk.waiting.wait(harness.TIMEOUT_S)
        # The followers have the whole log, but the second proposal is still
        # queued.
        second = node.propose(b'second')
        transfer = node.transfer_leadership()
        time.sleep(2 * harness.HEARTBEAT_MS / 1000)
        disk.released.set()
        for future in (first, second, transfer):
            future.result(harness.TIMEOUT_S).unwrap()
        cluster.wait_applied([b'first', b'second'])


def test_a_batch_that_the_disk_holds_up_is_reported(tmp_path):
    """Regression test for issue 44: a write of 3 s was not logged."""
    disk = harness.SlowSync()
    with harness.Cluster(tmp_path, 1) as cluster:
        cluster.files = {'c1': disk}
        leader = cluster.bootstrap()
        disk.delay_ms = 2 * harness.ELECTION_MIN_MS
        with structlog.testing.capture_logs() as lines:

            def find_reports():
                # An earlier slow batch may have been reported just before.
                cluster.propose(leader, b'late').unwrap()
                return [one for one in lines if one['event'] == 'slow batch']

            line = harness.wait_for(find_reports, 'the report')[0]
        disk.delay_ms = 0
    assert line['took_ms'] >= line['sync_ms'] >= 2 * harness.ELECTION_MIN_MS
    assert line['works'] == {'Proposal': 1}
