"""Tests of heartbeats that arrive while a node works on its files."""

import concurrent.futures
import time

import pytest

from dandeliondrum import consensus
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus.tests import harness
from dandeliondrum import messages

CANDIDATE = messages.ControllerId('c2')
LEADER = messages.ControllerId('c3')
ELECTION_MIN_MS = 1_000


class Voter:
    """A node whose disk can block, and the requests of two others to it."""

    def __init__(self, folder, disk=None):
        self.disk = disk or harness.BlockingSync()
        self.node = consensus.Node(
            consensus.Options(
                messages.ControllerId('c1'),
                harness.CELL_ID,
                folder,
                election_min_ms=ELECTION_MIN_MS,
                election_max_ms=2 * ELECTION_MIN_MS,
            ),
            harness.Machine(),
            harness.Listener(),
            files=self.disk,
        )
        self.node.start().unwrap()
        # The last contact with a leader is counted from the start.
        self.silence()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.disk.released.set()
        self.node.close()

    def silence(self):
        time.sleep(1.1 * ELECTION_MIN_MS / 1000)

    def append(self, term, entry_terms=()):
        """Send entries from the first one on, or a heartbeat."""
        records = [
            _records.make(index, entry_term, _records.EntryKind.COMMAND, b'c')
            for index, entry_term in enumerate(entry_terms, 1)
        ]
        return self.node.handle(
            None,
            _messages.AppendEntries(
                term,
                LEADER,
                self.node.status().disk_id,
                0,
                0,
                0,
                b''.join(one.record for one in records),
            ),
        )

    def heartbeat(self, term):
        return self.append(term)

    def install(self, term, data):
        return self.node.handle(
            None,
            _messages.InstallSnapshot(
                term,
                LEADER,
                self.node.status().disk_id,
                5,
                0,
                len(data),
                data,
            ),
        )

    def vote(self, term, last_term=0):
        return self.node.handle(
            None,
            _messages.RequestVote(
                term, CANDIDATE, self.node.status().disk_id, 0, last_term
            ),
        )


@pytest.mark.parametrize('last_term', [0, -1])
def test_no_heartbeat_is_confirmed_while_a_later_term_is_stored(
    tmp_path, last_term
):
    """Otherwise two leaders could have a quorum at the same time.

    With ``last_term`` -1 the vote is refused, and the term stored alone.
    """
    with Voter(tmp_path) as voter:
        voter.heartbeat(1).result(harness.TIMEOUT_S)
        voter.silence()
        voter.disk.released.clear()
        vote = voter.vote(2, last_term)
        assert voter.disk.waiting.wait(harness.TIMEOUT_S)
        contacts = [voter.heartbeat(1), voter.heartbeat(2)]
        assert not any(contact.done() for contact in contacts)
        voter.disk.released.set()
        assert vote.result(harness.TIMEOUT_S).granted == (last_term == 0)
        former, current = [
            contact.result(harness.TIMEOUT_S) for contact in contacts
        ]
    assert (former.term, former.outcome) == (2, _messages.Outcome.OLD_TERM)
    assert (current.term, current.outcome) == (2, _messages.Outcome.STORED)


def test_heartbeats_are_confirmed_while_a_vote_in_their_term_is_stored(
    tmp_path,
):
    with Voter(tmp_path) as voter:
        # The term is entered without a vote.
        assert not voter.vote(2, -1).result(harness.TIMEOUT_S).granted
        voter.disk.released.clear()
        vote = voter.vote(2)
        assert voter.disk.waiting.wait(harness.TIMEOUT_S)
        reply = voter.heartbeat(2).result(harness.TIMEOUT_S)
        assert (reply.term, reply.outcome) == (2, _messages.Outcome.STORED)
        assert reply.match_index == 0
        later = voter.vote(3)
        voter.disk.released.set()
        assert vote.result(harness.TIMEOUT_S).granted
        refusal = later.result(harness.TIMEOUT_S).refusal
    assert refusal is _messages.VoteRefusal.LEADER_KNOWN


def test_a_vote_for_a_later_term_is_refused_after_work_on_files(tmp_path):
    """A heartbeat confirmed during the work keeps its leader in office."""
    with Voter(tmp_path) as voter:
        voter.heartbeat(1).result(harness.TIMEOUT_S)
        voter.silence()
        voter.disk.released.clear()
        stored = voter.append(1, [1])
        assert voter.disk.waiting.wait(harness.TIMEOUT_S)
        vote = voter.vote(2, 1)
        voter.silence()
        contact = voter.heartbeat(1).result(harness.TIMEOUT_S)
        assert contact.outcome is _messages.Outcome.STORED
        voter.disk.released.set()
        refusal = vote.result(harness.TIMEOUT_S).refusal
        assert refusal is _messages.VoteRefusal.LEADER_KNOWN
        assert stored.result(harness.TIMEOUT_S).match_index == 1


def truncate(voter):
    voter.append(1, [1, 1]).result(harness.TIMEOUT_S)
    voter.heartbeat(2).result(harness.TIMEOUT_S)
    voter.disk.released.clear()
    return voter.append(2, [2])


def receive_snapshot(voter):
    voter.append(1, [1, 1]).result(harness.TIMEOUT_S)
    voter.heartbeat(2).result(harness.TIMEOUT_S)
    head = _snapshot.SnapshotHead(5, 2, _messages.Membership())
    data = _snapshot.pack(_snapshot.Snapshot(head, b'state'))
    voter.disk.released.clear()
    return voter.install(2, data)


REMOVAL = ('remove', 'log-')


@pytest.mark.parametrize(
    ('work', 'disk'),
    [
        (truncate, harness.BlockingSync()),
        (receive_snapshot, harness.BlockingSync()),
        (receive_snapshot, harness.StallingFiles(REMOVAL)),
    ],
    ids=['truncation', 'part of a snapshot', 'removal of the log'],
)
def test_heartbeats_are_confirmed_while_the_log_is_replaced(
    tmp_path, work, disk
):
    """Regression test: the lock was held, or no heartbeat answered."""
    with (
        Voter(tmp_path, disk) as voter,
        concurrent.futures.ThreadPoolExecutor(1) as executor,
    ):
        reply = work(voter)
        assert voter.disk.waiting.wait(harness.TIMEOUT_S)
        try:
            calling = executor.submit(voter.heartbeat, 2)
            contact = calling.result(2).result(2)
        finally:
            voter.disk.released.set()
        assert contact.outcome is _messages.Outcome.STORED
        assert contact.match_index == 0
        outcome = reply.result(harness.TIMEOUT_S).outcome
        assert outcome is _messages.Outcome.STORED
