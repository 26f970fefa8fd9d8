"""Addition of controllers and replacement of lost ones."""

import pytest
from returns import result

from dandeliondrum import consensus
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _voters
from dandeliondrum import messages
from dandeliondrum import utils

NEW = _calls.JoinRequest(messages.ControllerId('new'), '10.0.0.9:1')


class FakeNode:
    """Consensus node that records membership changes, which all succeed."""

    def __init__(self, silences_ms):
        self.silences_ms = silences_ms
        self.changes = []

    def status(self):
        members = tuple(
            consensus.MemberStatus(name, name, 'disk', True, 1, ms, False)
            for name, ms in self.silences_ms.items()
        )
        return consensus.NodeStatus(
            'c1',
            consensus.Role.LEADER,
            1,
            'c1',
            True,
            1,
            1,
            1,
            0,
            'd',
            members,
        )

    def add_member(self, controller_id, address):
        self.changes.append(('add', controller_id))
        return utils.completed_future(result.Success(None))

    def remove_member(self, controller_id):
        self.changes.append(('remove', controller_id))
        return utils.completed_future(result.Success(None))


@pytest.fixture
def now_ms(monkeypatch):
    clock = [1_000]
    monkeypatch.setattr(_clock, 'elapsed_ms', lambda: clock[0])
    return clock


def test_a_controller_is_added_while_there_are_too_few(now_ms):
    node = FakeNode({'c1': 0, 'c2': 0})
    _voters.Voters(node, 3).join(NEW)
    assert node.changes == [('add', 'new')]


def test_a_silent_voter_is_replaced(now_ms):
    node = FakeNode({'c1': 0, 'c2': 3_000, 'c3': 100})
    _voters.Voters(node, 3).join(NEW)
    assert node.changes == [('remove', 'c2'), ('add', 'new')]


def test_a_voter_that_was_lost_before_the_term_is_replaced(now_ms):
    """Its silence is counted from the start of the leader's term."""
    node = FakeNode({'c1': 0, 'c2': -1, 'c3': 100})
    voters = _voters.Voters(node, 3)
    voters.join(NEW)
    assert node.changes == []
    now_ms[0] += _voters.SILENCE_MAX_MS + 1
    voters.join(NEW)
    assert node.changes == [('remove', 'c2'), ('add', 'new')]


def test_no_voter_is_replaced_while_all_respond(now_ms):
    node = FakeNode({'c1': 0, 'c2': 200, 'c3': 100})
    reply = _voters.Voters(node, 3).join(NEW)
    assert node.changes == []
    assert reply.not_done


def test_a_cell_begins_once_it_has_all_its_voters(now_ms):
    """Regression test for review/8: the loss of two disks ended the cell."""
    node = FakeNode({'c1': 0, 'c2': 0})
    voters = _voters.Voters(node, 3)
    assert not voters.may_begin()
    node.silences_ms['c3'] = 0
    assert voters.may_begin()


def test_a_cell_begins_without_voters_that_do_not_join(now_ms):
    voters = _voters.Voters(FakeNode({'c1': 0, 'c2': 0}), 3)
    now_ms[0] += _voters.FIRST_JOINS_MS + 1
    assert voters.may_begin()
