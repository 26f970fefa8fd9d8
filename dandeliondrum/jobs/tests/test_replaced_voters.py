"""Replacement of lost and leaving voters, with changes that take some time."""

import pytest

from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _voters
from dandeliondrum.jobs.tests import voting_node
from dandeliondrum import messages

VOTERS_COUNT = 5
NO_LIMIT = 99
LOST_MS = 60_000
JOIN_INTERVAL_MS = 250
FIVE = dict.fromkeys(['c1', 'c2', 'c3', 'c4', 'c5'], 0)


@pytest.fixture
def now_ms(monkeypatch):
    clock = [1_000]
    monkeypatch.setattr(_clock, 'elapsed_ms', lambda: clock[0])
    return clock


def _request(name):
    return _calls.JoinRequest(messages.ControllerId(name), f'{name}:1')


def _leave(voters, name):
    return voters.leave(_calls.LeaveRequest(messages.ControllerId(name)))


def _ask_for(voters, node, names, now_ms, rounds=20):
    """Let controllers ask to join while changes are completed slowly."""
    for _ in range(rounds):
        for name in names:
            voters.join(_request(name))
            node.complete_change()
        now_ms[0] += JOIN_INTERVAL_MS


def test_two_lost_voters_with_two_successors_are_both_replaced(now_ms):
    """Regression test for issue 44: a lost voter stayed as the sixth one."""
    node = voting_node.SlowNode(FIVE, NO_LIMIT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    node.silences_ms['c4'] = node.silences_ms['c5'] = LOST_MS
    _ask_for(voters, node, ['c6', 'c7'], now_ms)
    assert sorted(node.voters) == ['c1', 'c2', 'c3', 'c6', 'c7']


def test_a_lost_voter_in_excess_is_removed(now_ms):
    """An earlier version left six voters, of which four had to answer."""
    node = voting_node.SlowNode({**FIVE, 'c6': LOST_MS}, VOTERS_COUNT)
    node.settle(_voters.Voters(node, VOTERS_COUNT))
    assert node.voters == list(FIVE)


def test_a_successor_has_the_state_before_the_silence_is_too_long(now_ms):
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    node.silences_ms['c5'] = _voters.SUSPICION_MS + 1
    voters.join(_request('c6'))
    node.settle(voters)
    assert (node.voters, node.learners) == (list(FIVE), ['c6'])
    node.silences_ms['c5'] = _voters.SILENCE_MAX_MS + 1
    node.settle(voters)
    assert node.voters == ['c1', 'c2', 'c3', 'c4', 'c6']


def test_a_voter_is_kept_while_its_successor_lacks_the_state(now_ms):
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    node.silences_ms['c5'] = LOST_MS
    node.last_index = 5_000
    _ask_for(voters, node, ['c6'], now_ms)
    assert (node.voters, node.learners) == (list(FIVE), ['c6'])


def test_a_lost_successor_is_replaced_in_turn(now_ms):
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    node.silences_ms['c5'] = _voters.SUSPICION_MS + 1
    voters.join(_request('c6'))
    node.settle(voters)
    node.silences_ms['c5'] = node.silences_ms['c6'] = LOST_MS
    _ask_for(voters, node, ['c7'], now_ms)
    assert node.voters == ['c1', 'c2', 'c3', 'c4', 'c7']
    assert not node.learners


def test_a_candidate_that_asks_no_more_is_not_added(now_ms):
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    voters.join(_request('c6'))
    now_ms[0] += _voters.CANDIDATE_EXPIRY_MS + 1
    node.silences_ms['c5'] = LOST_MS
    node.settle(voters)
    assert list(node.silences_ms) == list(FIVE)


def test_two_voters_are_not_removed_for_one_successor(now_ms):
    """The other four would bear one loss less than five of which two fail."""
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    node.silences_ms['c4'] = node.silences_ms['c5'] = LOST_MS
    _ask_for(voters, node, ['c6'], now_ms)
    assert len(node.voters) == VOTERS_COUNT
    assert 'c6' in node.voters


def test_no_voter_is_removed_for_a_learner_that_fills_a_free_place(now_ms):
    """A voter whose disk was lost is a learner until it has the state."""
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    node.learners.append('c4')
    node.silences_ms['c5'] = LOST_MS
    node.settle(voters)
    assert 'c5' in node.voters


def test_a_candidate_that_is_not_reached_does_not_hold_up_others(now_ms):
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    node.unreachable.append('c6')
    node.silences_ms['c5'] = LOST_MS
    _ask_for(voters, node, ['c6', 'c7'], now_ms)
    assert node.voters == ['c1', 'c2', 'c3', 'c4', 'c7']


def test_a_controller_that_has_left_is_not_added_by_a_late_request(now_ms):
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    voters.join(_request('c6'))
    _leave(voters, 'c5')
    node.settle(voters)
    node.silences_ms['c4'] = _voters.SUSPICION_MS + 1
    voters.join(_request('c5'))
    node.settle(voters)
    assert 'c5' not in node.silences_ms


def test_of_two_leaving_voters_with_one_successor_one_is_replaced(now_ms):
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    voters.join(_request('c6'))
    left = [_leave(voters, name) for name in ('c4', 'c5')]
    node.settle(voters)
    answers = sorted(one.result(0).has_successor for one in left)
    assert answers == [False, True]
    assert len(node.voters) == VOTERS_COUNT


def test_operators_are_answered_once_a_lost_voter_is_replaced(now_ms):
    """Before, an acknowledged document did not survive two more losses."""
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    node.silences_ms['c5'] = _voters.SUSPICION_MS + 1
    voters.join(_request('c6'))
    waiting = voters.wait_for_replacements()
    node.settle(voters)
    assert not waiting.done()
    node.silences_ms['c5'] = _voters.SILENCE_MAX_MS + 1
    node.settle(voters)
    assert waiting.done()


def test_operators_wait_until_a_learner_fills_a_free_place(now_ms):
    """Four voters and one that gets the state bear one loss less."""
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    node.learners.append('c5')
    waiting = voters.wait_for_replacements()
    assert not waiting.done()
    node.learners.clear()
    voters.check()
    assert waiting.done()


def test_operators_wait_no_longer_than_the_limit(now_ms):
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    node.silences_ms['c5'] = LOST_MS
    voters.join(_request('c6'))
    waiting = voters.wait_for_replacements()
    now_ms[0] += _voters.ACKNOWLEDGEMENT_DELAY_MAX_MS + 1
    voters.check()
    assert waiting.done()


def test_operators_do_not_wait_if_nobody_can_replace_a_lost_voter(now_ms):
    node = voting_node.SlowNode({**FIVE, 'c5': LOST_MS}, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    assert voters.wait_for_replacements().done()


def test_a_leaving_voter_is_replaced_before_it_stops(now_ms):
    """A removed VM no longer counts as soon as its process has ended."""
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    voters.join(_request('c6'))
    left = _leave(voters, 'c5')
    assert not left.done()
    node.settle(voters)
    assert left.result(0) == _calls.LeaveReply(True)
    assert node.voters == ['c1', 'c2', 'c3', 'c4', 'c6']


def test_a_leaving_voter_waits_while_its_successor_gets_the_state(now_ms):
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    voters.join(_request('c6'))
    node.last_index = 5_000
    left = _leave(voters, 'c5')
    node.settle(voters)
    assert not left.done()
    node.last_index = 1
    node.settle(voters)
    assert left.result(0) == _calls.LeaveReply(True)


def test_all_that_wait_are_answered_when_the_leader_leads_no_more(now_ms):
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    voters.join(_request('c6'))
    left = _leave(voters, 'c5')
    waiting = voters.wait_for_replacements()
    assert not left.done() and not waiting.done()
    voters.close()
    assert left.result(0).not_done
    assert waiting.done()
    assert _leave(voters, 'c4').result(0).not_done
    assert voters.wait_for_replacements().done()


def test_a_leaving_voter_does_not_wait_if_nobody_can_take_over(now_ms):
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    assert _leave(voters, 'c5').result(0) == _calls.LeaveReply(False)
    assert node.voters == list(FIVE)


def test_a_leaving_voter_waits_no_longer_than_the_limit(now_ms):
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    voters.join(_request('c6'))
    left = _leave(voters, 'c5')
    now_ms[0] += _voters.LEAVE_TIMEOUT_MS + 1
    voters.join(_request('c6'))
    assert isinstance(left.result(0), messages.CallFailed)


def test_a_leaving_leader_waits_until_its_successor_is_ready(now_ms):
    """The next leader replaces it, which need not know who asks to join."""
    node = voting_node.SlowNode(FIVE, VOTERS_COUNT)
    voters = _voters.Voters(node, VOTERS_COUNT)
    voters.join(_request('c6'))
    left = _leave(voters, 'c1')
    assert not left.done()
    node.settle(voters)
    assert left.result(0) == _calls.LeaveReply(True)
    assert (node.voters, node.learners) == (list(FIVE), ['c6'])
