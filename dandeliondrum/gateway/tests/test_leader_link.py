"""The search for the leader."""

import contextlib
import threading
import time

import pytest

from dandeliondrum.gateway import _leader_link
from dandeliondrum.gateway import _rules
from dandeliondrum.gateway.tests import fakes
from dandeliondrum import messages
from dandeliondrum import transport

# The successor is elected after the first round of the search.
ELECTION_S = 0.15
# The pause of the search and one call to the lost leader that gets no answer.
FOUND_WITHIN_S = 0.8


class FreezableLeader(fakes.Leader):
    """Takes connections and answers nothing once it is frozen."""

    frozen = False

    def _on_call(self, connection, message):
        if self.frozen:
            self.received.append(message)
            return transport.CallFuture()
        return super()._on_call(connection, message)


@pytest.fixture
def controllers():
    made = [FreezableLeader(f'c{number}') for number in (1, 2, 3)]
    yield made
    for one in made:
        one.close()


@contextlib.contextmanager
def searching(*addresses):
    """A link whose search runs, with these controllers configured."""
    link = _leader_link.LeaderLink(
        fakes.options(*addresses),
        _leader_link.LinkEvents(lambda: None, lambda _: None, lambda _: None),
        _rules.RulesInForce(),
    )
    stopping = threading.Event()
    task = threading.Thread(target=link.run, args=(stopping,))
    task.start()
    try:
        yield link
    finally:
        stopping.set()
        link.close()
        task.join()


def test_a_hint_to_the_leader_that_was_just_lost_is_not_followed(controllers):
    """A follower names the frozen leader until the next one is elected."""
    lost, follower, successor = controllers
    successor.not_leader = messages.NotLeader()
    follower.not_leader = messages.NotLeader(
        messages.ControllerId('c1'), lost.address
    )
    with searching(*(one.address for one in controllers)) as link:
        fakes.until(link.is_up)
        lost.frozen = True
        asked_count = len(successor.received)
        fakes.until(lambda: len(successor.received) > asked_count)
        began_s = time.monotonic()
        time.sleep(ELECTION_S)
        successor.not_leader = None
        fakes.until(lambda: heartbeats_of(successor))
        assert time.monotonic() - began_s < FOUND_WITHIN_S


def rounds_count(leader):
    return len(leader.of(messages.RegisterGateway))


def heartbeats_of(leader):
    return leader.of(messages.GatewayHeartbeat)


def test_a_leader_that_was_never_configured_is_found(controllers):
    """All configured controllers were replaced and are gone."""
    first, added, _ = controllers
    first.members = tuple(
        (messages.ControllerId(one.name), one.address)
        for one in (first, added)
    )
    with searching(first.address):
        # The second one is sent after the reply to the first was read.
        fakes.until(lambda: len(heartbeats_of(first)) > 1)
        first.close()
        fakes.until(lambda: heartbeats_of(added), timeout_s=5)


def test_a_configured_address_goes_before_the_one_that_is_named(controllers):
    """A proxy may stand before a controller; it must not be passed by."""
    first, behind, passed_by = controllers
    first.members = (
        (messages.ControllerId('c1'), first.address),
        (messages.ControllerId('c2'), passed_by.address),
    )
    with searching(first.address, behind.address):
        # The second one is sent after the reply to the first was read.
        fakes.until(lambda: len(heartbeats_of(first)) > 1)
        first.close()
        fakes.until(lambda: heartbeats_of(behind), timeout_s=5)
    assert not passed_by.received


def test_a_silent_controller_does_not_hold_up_each_round(controllers):
    """Seen as gateways that found the new leader 0.5 s after the others.

    The lost leader is frozen and another controller is down, too.
    """
    follower, *_ = controllers
    follower.not_leader = messages.NotLeader()
    with contextlib.closing(fakes.MutePort()) as mute:
        with searching(mute.address, follower.address):
            fakes.until(lambda: rounds_count(follower) > 8)
            assert 2 * len(mute.accepted) < rounds_count(follower)
