"""Whether a leader may act after its VM or process was suspended."""

import concurrent.futures
import types

import pytest
from returns import result

from dandeliondrum import consensus
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _term
from dandeliondrum.jobs.tests import helpers

SUSPENDED_MS = 5_000


class _Node(helpers.LocalNode):
    """Node that leads by its own clock and is asked for a confirmation."""

    def __init__(self):
        super().__init__(helpers.Machine())
        self.leads = True
        self.confirmation = concurrent.futures.Future()
        self.asked_count = 0

    def is_leading(self):
        return self.leads

    def confirm_leadership(self):
        self.asked_count += 1
        return self.confirmation


@pytest.fixture
def offset_ms(monkeypatch):
    """The difference between the boot-time and the monotonic clock."""
    offset = {'ms': 0}
    monkeypatch.setattr(_clock, '_offset_ms', lambda: offset['ms'])
    return offset


@pytest.fixture
def node():
    return _Node()


@pytest.fixture
def term(node, offset_ms):
    return helpers.new_term(node)


def test_a_leader_that_was_not_suspended_asks_nobody(term, node):
    assert term.may_act()
    assert not node.asked_count


def test_a_suspended_leader_acts_again_once_a_quorum_has_confirmed_it(
    term, node, offset_ms
):
    offset_ms['ms'] += SUSPENDED_MS
    node.confirmation.set_result(result.Success(None))
    assert term.may_act()
    assert term.may_act()
    assert node.asked_count == 1


def test_a_suspended_leader_that_was_replaced_does_not_act(
    term, node, offset_ms
):
    offset_ms['ms'] += SUSPENDED_MS
    node.confirmation.set_result(
        result.Failure(
            consensus.ProposeError(
                consensus.ProposeFailure.DEPOSED, never_committed=True
            )
        )
    )
    assert not term.may_act()
    assert not term.may_act()
    assert node.asked_count == 2


def test_a_suspended_leader_does_not_act_while_no_quorum_answers(
    term, offset_ms, monkeypatch
):
    monkeypatch.setattr(_term, 'CONFIRM_TIMEOUT_MS', 10)
    offset_ms['ms'] += SUSPENDED_MS
    assert not term.may_act()


def test_a_leader_that_is_suspended_twice_is_confirmed_twice(
    term, node, offset_ms
):
    node.confirmation.set_result(result.Success(None))
    for _ in range(2):
        offset_ms['ms'] += SUSPENDED_MS
        assert term.may_act()
    assert node.asked_count == 2


def test_a_node_that_does_not_lead_never_acts(term, node):
    node.leads = False
    assert not term.may_act()


def test_workers_of_one_label_are_not_all_left_out(term):
    """Regression test for review/10: a lasting task did not run (LOST)."""
    for number in range(8):
        kind, rack = 'b' if number < 2 else 'a', f'r{number}'
        facts = helpers.facts(f'w{number}', labels=(kind, rack), rack=rack)
        term.peers[facts.worker_id] = types.SimpleNamespace(facts=facts)
    for worker_id in ('w0', 'w1', 'w2'):
        term.health.suspend(worker_id, 0)
    assert term.health.suspended('w0', 100)
    assert not term.health.suspended('w1', 100)
    assert term.health.suspended('w2', 100)
