"""The search for the leader."""

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


def test_a_hint_to_the_leader_that_was_just_lost_is_not_followed(controllers):
    """A follower names the frozen leader until the next one is elected."""
    lost, follower, successor = controllers
    successor.not_leader = messages.NotLeader()
    follower.not_leader = messages.NotLeader(
        messages.ControllerId('c1'), lost.address
    )
    link = _leader_link.LeaderLink(
        fakes.options(*(one.address for one in controllers)),
        _leader_link.LinkEvents(lambda: None, lambda _: None, lambda _: None),
        _rules.RulesInForce(),
    )
    stopping = threading.Event()
    task = threading.Thread(target=link.run, args=(stopping,))
    task.start()
    try:
        fakes.until(link.is_up)
        lost.frozen = True
        asked_count = len(successor.received)
        fakes.until(lambda: len(successor.received) > asked_count)
        began_s = time.monotonic()
        time.sleep(ELECTION_S)
        successor.not_leader = None
        fakes.until(
            lambda: any(
                isinstance(one, messages.GatewayHeartbeat)
                for one in list(successor.received)
            )
        )
        assert time.monotonic() - began_s < FOUND_WITHIN_S
    finally:
        stopping.set()
        link.close()
        task.join()
