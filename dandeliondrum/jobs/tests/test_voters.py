"""Addition of controllers and replacement of lost ones."""

import pytest

from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _voters
from dandeliondrum.jobs.tests import voting_node
from dandeliondrum import messages

NEW = _calls.JoinRequest(messages.ControllerId('new'), '10.0.0.9:1')


@pytest.fixture
def now_ms(monkeypatch):
    clock = [1_000]
    monkeypatch.setattr(_clock, 'elapsed_ms', lambda: clock[0])
    return clock


def test_a_controller_is_added_while_there_are_too_few(now_ms):
    node = voting_node.SlowNode({'c1': 0, 'c2': 0}, 3)
    voters = _voters.Voters(node, 3)
    voters.join(NEW)
    node.settle(voters)
    assert node.voters == ['c1', 'c2', 'new']


def test_a_silent_voter_is_replaced(now_ms):
    node = voting_node.SlowNode({'c1': 0, 'c2': 3_000, 'c3': 100}, 3)
    voters = _voters.Voters(node, 3)
    voters.join(NEW)
    node.settle(voters)
    assert node.voters == ['c1', 'c3', 'new']


def test_a_voter_that_was_lost_before_the_term_is_replaced(now_ms):
    """Its silence is counted from the start of the leader's term."""
    node = voting_node.SlowNode({'c1': 0, 'c2': -1, 'c3': 100}, 3)
    voters = _voters.Voters(node, 3)
    voters.join(NEW)
    node.settle(voters)
    assert node.voters == ['c1', 'c2', 'c3']
    now_ms[0] += _voters.SILENCE_MAX_MS + 1
    voters.join(NEW)
    node.settle(voters)
    assert node.voters == ['c1', 'c3', 'new']


def test_no_voter_is_replaced_while_all_respond(now_ms):
    node = voting_node.SlowNode({'c1': 0, 'c2': 200, 'c3': 100}, 3)
    voters = _voters.Voters(node, 3)
    reply = voters.join(NEW)
    node.settle(voters)
    assert list(node.silences_ms) == ['c1', 'c2', 'c3']
    assert reply.not_done


def test_a_cell_begins_once_it_has_all_its_voters(now_ms):
    """Regression test for review/8: the loss of two disks ended the cell."""
    node = voting_node.SlowNode({'c1': 0, 'c2': 0}, 3)
    voters = _voters.Voters(node, 3)
    assert not voters.may_begin()
    node.silences_ms['c3'] = 0
    assert voters.may_begin()


def test_a_cell_begins_without_voters_that_do_not_join(now_ms):
    voters = _voters.Voters(voting_node.SlowNode({'c1': 0, 'c2': 0}, 3), 3)
    now_ms[0] += _voters.FIRST_JOINS_MS + 1
    assert voters.may_begin()
