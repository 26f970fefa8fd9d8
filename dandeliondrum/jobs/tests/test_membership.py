"""Which of the founders founds the cell, and whom the others ask."""

import dataclasses
import threading

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
SEEDS = tuple(
    (messages.ControllerId(f'c{number}'), f'10.0.0.{number}:2')
    for number in range(6, 8)
)


class FakeNode:
    """Node whose attempts to found a cell fail; it records them."""

    def __init__(self):
        self.attempts = []
        self.founders = []
        self.current = EMPTY
        self.failure = consensus.ChangeFailure.UNREACHABLE

    def bootstrap(self, members, by_majority):
        self.attempts.append(by_majority)
        self.founders.append(members)
        return result.Failure(consensus.ChangeError(self.failure))

    def status(self):
        return self.current


class FakeCalls:
    """Calls to a leader, and the controllers among which it is sought."""

    def __init__(self):
        self.calls = []
        self.link = self
        self.controllers = ()

    def set_controllers(self, controllers):
        self.controllers = tuple(controllers)

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


class OneRound(threading.Event):
    """Event that is set after the first wait."""

    def wait(self, timeout=None):
        self.set()
        return True


def _member(controller_id, address):
    return consensus.MemberStatus(
        controller_id, address, 'd', True, -1, -1, False
    )


def test_a_controller_that_is_no_member_asks_the_new_seeds_first(now_ms):
    """Guards against seeds that are read only at the start."""
    member = _membership_of(0, may_found=False)
    member._node.current = dataclasses.replace(
        EMPTY, members=(_member('c6', 'old:1'), _member('c9', '10.0.0.9:1'))
    )
    member.set_seeds(SEEDS)
    member.run(OneRound())
    assert member._calls.controllers == (
        *SEEDS,
        ('c9', '10.0.0.9:1'),
        *FOUNDERS,
    )
    assert len(member._calls.calls) == 1


def test_a_member_asks_the_members_before_the_new_seeds(now_ms):
    """Guards against outdated seeds that displace the log's membership."""
    member = _membership_of(1)
    members = (FOUNDERS[1], ('c7', '10.0.0.7:1'))
    member._node.current = dataclasses.replace(
        EMPTY, members=tuple(_member(*one) for one in members)
    )
    member.set_seeds(SEEDS)
    member.run(OneRound())
    assert member._calls.controllers == (
        *members,
        SEEDS[0],
        FOUNDERS[0],
        FOUNDERS[2],
    )


def test_new_seeds_replace_those_that_came_before(now_ms):
    member = _membership_of(0, may_found=False)
    member.set_seeds(SEEDS)
    member.set_seeds(SEEDS[1:])
    member.run(OneRound())
    assert member._calls.controllers == (SEEDS[1], *FOUNDERS)


def test_changed_seeds_found_no_cell(now_ms):
    """Guards against a second cell, founded by those that new seeds name."""
    other = _membership.Membership(
        _membership.MembershipOptions(*SEEDS[0], FOUNDERS, True),
        FakeNode(),
        FakeCalls(),
    )
    other.set_seeds(SEEDS)
    now_ms[0] += 60_000
    other.run(OneRound())
    assert not other._node.founders
    assert len(other._calls.calls) == 1


def test_a_founder_founds_with_the_founders_of_its_start(now_ms):
    """Guards against a cell that is founded with changed seeds."""
    member = _membership_of(0)
    member.set_seeds(SEEDS)
    member.run(OneRound())
    assert member._node.founders == [FOUNDERS]
