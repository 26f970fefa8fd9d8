"""Unit tests of the steps of an election."""

import concurrent.futures
import math
import pathlib
import random
import threading
import time

import pytest
from returns import result

from dandeliondrum import consensus
from dandeliondrum.consensus import _election
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _hard_state
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _recovery
from dandeliondrum.consensus import _work_items
from dandeliondrum.consensus import _writer
from dandeliondrum.consensus.tests import harness
from dandeliondrum import messages
from dandeliondrum import testing

CANDIDATE = messages.ControllerId('c2')


def open_state(folder: pathlib.Path):
    options = consensus.Options(
        messages.ControllerId('c1'), harness.CELL_ID, folder
    )
    return _recovery.open_files(options, _files.Files())


def make_writer(opened, folder):
    return _writer.Writer(
        opened.state, _files.Files(), opened.snapshots, folder
    )


def test_a_voter_gives_the_candidate_time_to_win(tmp_path):
    # Regression: the voter's election timer was not reset together with the
    # change of the term but only later, with the vote. Its own election
    # started in between and deposed the winner at once.
    opened = open_state(tmp_path)
    writer = make_writer(opened, tmp_path)
    opened.state.election_deadline_ns = 0
    writer.enter_term(5, CANDIDATE)
    assert opened.state.election_deadline_ns > time.monotonic_ns()


def queued_election(opened, folder, transfer=False):
    """Return the term that an election enters after the leader was heard."""
    entered = concurrent.futures.Future()
    with opened.state.lock:
        opened.state.record_leader_contact(CANDIDATE)
    make_writer(opened, folder)._process_batch(
        [_work_items.StartElection(opened.state.term, transfer, entered)]
    )
    return entered.result(0)


def test_a_leader_heard_while_an_election_is_queued_is_not_deposed(tmp_path):
    opened = open_state(tmp_path)
    assert queued_election(opened, tmp_path) is None
    assert opened.state.term == 0


def test_a_transfer_is_not_held_up_by_the_leader_that_is_heard(tmp_path):
    opened = open_state(tmp_path)
    assert queued_election(opened, tmp_path, transfer=True) == 1


def test_a_leader_that_is_heard_ends_a_pre_vote(tmp_path):
    state = open_state(tmp_path).state
    state.ballot = _progress.Ballot(1, pre_vote=True, transfer=False)
    with state.lock:
        state.record_leader_contact(CANDIDATE)
    assert state.ballot is None


def vote(opened, folder, **fields):
    """Return the reply to a vote request of a candidate with an empty log."""
    request = {
        'term': 1,
        'candidate_id': CANDIDATE,
        'disk_id': opened.state.disk_id,
        'last_index': 0,
        'last_term': 0,
        **fields,
    }
    writer = make_writer(opened, folder)
    return writer.handle(_messages.RequestVote(**request))


def test_one_vote_in_a_term_also_after_a_restart(tmp_path):
    opened = open_state(tmp_path)
    opened.state.leader_contact_ns = 0
    assert vote(opened, tmp_path).granted
    reopened = open_state(tmp_path)
    reopened.state.leader_contact_ns = 0
    other = messages.ControllerId('c3')
    assert not vote(reopened, tmp_path, candidate_id=other).granted
    assert vote(reopened, tmp_path).granted


def test_a_vote_in_a_later_term_is_written_once(tmp_path, monkeypatch):
    opened = open_state(tmp_path)
    opened.state.leader_contact_ns = 0
    written = []
    monkeypatch.setattr(
        _hard_state, 'save', lambda _files, _path, saved: written.append(saved)
    )
    assert vote(opened, tmp_path, term=7).granted
    assert written == [_hard_state.HardState(7, CANDIDATE)]


def test_no_vote_for_another_disk_or_while_a_leader_is_heard(tmp_path):
    opened = open_state(tmp_path)
    # The node has just started, so a leader may still count its last reply
    # towards the quorum that keeps it in its role.
    assert not vote(opened, tmp_path).granted
    assert vote(opened, tmp_path, transfer=True).granted
    opened.state.leader_contact_ns = 0
    assert not vote(opened, tmp_path, term=2, disk_id='former').granted
    assert opened.state.term == 1


def test_a_pre_vote_changes_nothing(tmp_path):
    opened = open_state(tmp_path)
    opened.state.leader_contact_ns = 0
    assert vote(opened, tmp_path, term=7, pre_vote=True).granted
    assert (opened.state.term, opened.state.voted_for) == (0, '')


def test_a_voter_makes_way_for_one_that_stands(tmp_path):
    """A voter that grants a pre-vote delays its own election.

    Regression: two candidates of the same term split the votes, which took
    0.7 s more without a leader.
    """
    opened = open_state(tmp_path)
    opened.state.election_deadline_ns = 0
    assert not vote(opened, tmp_path, term=7, pre_vote=True).granted
    assert opened.state.election_deadline_ns == 0
    opened.state.leader_contact_ns = 0
    assert vote(opened, tmp_path, term=7, pre_vote=True).granted
    made_way_ns = opened.state.election_deadline_ns
    assert made_way_ns > time.monotonic_ns()
    # The delay is shorter than the interval until the candidate retries.
    least_ms = opened.state.options.election_min_ms
    assert made_way_ns < time.monotonic_ns() + least_ms * _progress.NS_PER_MS


def test_of_two_that_ask_at_once_one_ends_its_pre_vote(tmp_path):
    """Of two simultaneous pre-votes, the node with the lower id cancels its.

    Regression: with three voters left, whose votes were all needed, two
    simultaneous pre-votes took 0.65 s more without a leader.
    """
    opened = open_state(tmp_path)
    opened.state.leader_contact_ns = 0
    own = _progress.Ballot(1, pre_vote=True, transfer=False)
    opened.state.ballot = own
    lower = messages.ControllerId('c0')
    assert vote(opened, tmp_path, pre_vote=True, candidate_id=lower).granted
    assert opened.state.ballot is own
    assert vote(opened, tmp_path, pre_vote=True).granted
    assert opened.state.ballot is None
    # A real election in progress is not cancelled.
    opened.state.ballot = _progress.Ballot(1, pre_vote=False, transfer=False)
    assert vote(opened, tmp_path, pre_vote=True).granted
    assert opened.state.ballot is not None


@pytest.fixture
def clock(monkeypatch):
    """Let the test set the monotonic clock, in milliseconds."""
    clock = Clock()
    monkeypatch.setattr(
        time, 'monotonic_ns', lambda: clock.now_ms * _progress.NS_PER_MS
    )
    return clock


class Clock:
    def __init__(self):
        self.now_ms = 1_000_000


def follow(state, term):
    """Let the node hear the leader of a term."""
    with state.lock:
        state.term = term
        state.record_leader_contact(CANDIDATE)


def shortest_timeout_ms(state):
    with state.lock:
        now_ns = time.monotonic_ns()
        state.reset_election_timer(now_ns)
        return (state.election_deadline_ns - now_ns) / _progress.NS_PER_MS


def test_leaders_that_follow_each_other_are_given_longer_to_be_heard(
    tmp_path, clock
):
    state = open_state(tmp_path).state
    least_ms = state.options.election_min_ms
    long_ms = 20 * state.options.election_max_ms
    follow(state, 1)
    clock.now_ms += long_ms
    follow(state, 2)
    assert shortest_timeout_ms(state) < 2 * least_ms
    for term, factor in ((3, 2), (4, 4), (5, 4)):
        clock.now_ms += least_ms
        follow(state, term)
        assert shortest_timeout_ms(state) >= factor * least_ms
        assert state.has_recent_leader()
    clock.now_ms += long_ms
    follow(state, 5)
    assert shortest_timeout_ms(state) <= state.options.election_max_ms


def test_no_vote_while_a_slow_leader_may_still_be_heard(tmp_path, clock):
    opened = open_state(tmp_path)
    for term in (1, 2, 3):
        follow(opened.state, term)
    silent_ms = 2 * opened.state.options.election_min_ms
    clock.now_ms += silent_ms
    assert not vote(opened, tmp_path, term=4, pre_vote=True).granted
    clock.now_ms += 2 * silent_ms
    assert vote(opened, tmp_path, term=4, pre_vote=True).granted


def test_a_leader_that_lasts_steps_down_as_fast_as_before(tmp_path, clock):
    state = open_state(tmp_path).state
    for term in (1, 2):
        follow(state, term)
    with state.lock:
        state.term = 3
        state.become_leader()
    clock.now_ms += 20 * state.options.election_max_ms
    with state.lock:
        _election.Election(state)._check_quorum()
    assert state.election_backoff == 1


def test_a_transfer_soon_after_an_election_keeps_the_timeouts(tmp_path, clock):
    opened = open_state(tmp_path)
    follow(opened.state, 1)
    assert vote(opened, tmp_path, term=2, transfer=True).granted
    follow(opened.state, 2)
    assert opened.state.election_backoff == 1
    follow(opened.state, 3)
    assert opened.state.election_backoff == 2


def test_the_successor_in_a_transfer_keeps_its_timeouts(
    tmp_path, clock, monkeypatch
):
    state = open_state(tmp_path).state
    follow(state, 1)

    def enter_term(work):
        state.term = 2
        work.entered_term.set_result(2)

    election = _election.Election(state)
    monkeypatch.setattr(election, '_collect_votes', lambda _: True)
    monkeypatch.setattr(state, 'enqueue_work', enter_term)
    monkeypatch.setattr(state, 'is_voter', lambda: True)
    election._run_election(True)
    assert state.is_leader()
    assert state.election_backoff == 1


class LateCondition:
    """Condition whose waits end late by the given times, in milliseconds."""

    def __init__(self, clock, late_ms, stopping):
        self._clock = clock
        self._late_ms = list(late_ms)
        self._stopping = stopping

    def wait(self, timeout_s):
        if not self._late_ms:
            self._stopping.set()
            return
        waited_ms = math.ceil(timeout_s * 1_000)
        self._clock.now_ms += waited_ms + self._late_ms.pop(0)


@pytest.fixture
def starts_election(tmp_path, clock, monkeypatch):
    """Return a function that runs a voter whose waits end late.

    It returns whether the voter has started an election by then.
    """
    state = open_state(tmp_path).state
    members = (
        _messages.Member(state.node_id, 'unused:1', state.disk_id),
        _messages.Member(CANDIDATE, 'unused:1', 'disk'),
    )
    membership = messages.encode(_messages.Membership(members))
    state.history.add(
        [_records.make(1, 1, _records.EntryKind.MEMBERSHIP, membership)]
    )

    def run(*late_ms):
        follow(state, 1)
        stopping, started = threading.Event(), threading.Event()
        state.election_condition = LateCondition(clock, late_ms, stopping)

        def run_election(_transfer):
            started.set()
            stopping.set()

        election = _election.Election(state)
        monkeypatch.setattr(election, '_run_election', run_election)
        election.run(stopping)
        return started.is_set()

    return run


def test_a_late_voter_handles_what_has_arrived_before_an_election(
    starts_election,
):
    assert not starts_election(500)


def test_a_late_voter_misses_a_lost_leader_in_the_end(starts_election):
    assert starts_election(500, 0, 0, 0, 0, 0, 0)
    assert starts_election(*[500] * 7)


def test_a_voter_that_is_always_late_misses_a_lost_leader_in_time(
    starts_election, clock
):
    began_ms, late_ms = clock.now_ms, 110
    assert starts_election(*[late_ms] * 100)
    election_max_ms = consensus.Options.election_max_ms
    assert clock.now_ms - began_ms <= election_max_ms + 4 * late_ms


def test_a_voter_that_is_not_late_misses_a_lost_leader_at_once(
    starts_election,
):
    assert starts_election(0)


def test_a_large_command_on_a_link_between_regions_deposes_no_leader(tmp_path):
    options = {
        'heartbeat_ms': 100,
        'election_min_ms': 600,
        'election_max_ms': 1_200,
    }
    with harness.Cluster(tmp_path, **options) as cluster:
        leader = cluster.bootstrap()
        term = cluster.node(leader).status().term
        pacer = testing.Pacer(15_000_000 // 8)
        for other in cluster.others(leader):
            cluster.forwarder(leader, other).pacer = pacer
        command = random.Random(1).randbytes(2 * 1024 * 1024)
        assert isinstance(cluster.propose(leader, command), result.Success)
        assert cluster.node(leader).status().term == term
