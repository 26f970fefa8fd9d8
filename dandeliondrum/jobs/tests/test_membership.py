"""Which of the founders founds the cell, and when."""

import dataclasses

import pytest
from returns import result

from dandeliondrum import consensus
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _membership
from dandeliondrum import messages

FOUNDERS = tuple(
    (messages.ControllerId(f'c{number}'), f'10.0.0.{number}:1')
    for number in range(3)
)
EMPTY = consensus.NodeStatus(
    'c1', consensus.Role.FOLLOWER, 0, None, False, 0, 0, 0, 0, 'd', ()
)


class FakeNode:
    """Node whose attempts to found a cell fail; it records them."""

    def __init__(self):
        self.attempts = []
        self.failure = consensus.ChangeFailure.UNREACHABLE

    def bootstrap(self, members, by_majority):
        self.attempts.append(by_majority)
        return result.Failure(consensus.ChangeError(self.failure))


class FakeCalls:
    """Calls to a leader, which nobody answers."""

    def __init__(self):
        self.calls = []

    def call(self, message, timeout_ms):
        self.calls.append(message)
        return result.Success(messages.Done())


@pytest.fixture
def now_ms(monkeypatch):
    clock = [1_000]
    monkeypatch.setattr(_clock, 'elapsed_ms', lambda: clock[0])
    return clock


def _membership_of(position, may_found=True):
    controller_id, address = FOUNDERS[position]
    return _membership.Membership(
        _membership.MembershipOptions(
            controller_id, address, FOUNDERS, may_found
        ),
        FakeNode(),
        FakeCalls(),
    )


@pytest.mark.parametrize('position', [0, 1, 2])
def test_founders_take_turns(position, now_ms):
    """Regression test for review/9: only the first one founded a cell."""
    member = _membership_of(position)
    turn_ms = position * _membership.FOUNDER_TIMEOUT_MS
    assert member._should_found(EMPTY) == (position == 0)
    now_ms[0] += turn_ms - 1
    assert member._should_found(EMPTY) == (position == 0 and turn_ms > 0)
    now_ms[0] += 1
    assert member._should_found(EMPTY)


def test_a_controller_that_starts_again_founds_nothing(now_ms):
    member = _membership_of(0, may_found=False)
    now_ms[0] += 60_000
    assert not member._should_found(EMPTY)


def test_a_controller_whose_files_were_moved_founds_nothing(now_ms):
    member = _membership_of(0)
    status = dataclasses.replace(EMPTY, grants_founding=False)
    assert not member._should_found(status)


def test_a_founder_waits_for_all_of_them_before_a_majority_suffices(now_ms):
    member = _membership_of(0)
    member._found_cell()
    now_ms[0] += _membership.ALL_FOUNDERS_TIMEOUT_MS
    member._found_cell()
    now_ms[0] += 1
    member._found_cell()
    assert member._node.attempts == [False, False, True]
    assert not member._calls.calls


def test_a_founder_asks_to_join_once_there_is_a_cell(now_ms):
    member = _membership_of(0)
    member._node.failure = consensus.ChangeFailure.HAS_LOG
    member._found_cell()
    assert len(member._calls.calls) == 1
