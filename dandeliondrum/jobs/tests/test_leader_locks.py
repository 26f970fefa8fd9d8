"""Use of the leader's locks by heartbeats."""

import concurrent.futures
import threading
from unittest import mock

import pytest
from returns import result

from dandeliondrum import jobs
from dandeliondrum.jobs import _leadership
from dandeliondrum.jobs import _metrics
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages
from dandeliondrum import utils

TIMEOUT_S = 5
OPTIONS = jobs.LeaderOptions(
    messages.ControllerId('c1'), 1_000, 1_500, 60_000, 3
)


class Node:
    """A log whose proposals are applied at once."""

    def __init__(self, machine):
        self._machine = machine

    def is_leading(self):
        return True

    def propose(self, command):
        self._machine.index += 1
        value = self._machine.state.apply(self._machine.index, command)
        return utils.completed_future(result.Success(value))

    def status(self):
        return mock.Mock(addresses=lambda: ())


@pytest.fixture
def machine():
    return helpers.Machine(('w1', 'w2'))


def test_a_heartbeat_is_answered_while_the_locks_are_held(machine):
    leadership = _leadership.Leadership(
        OPTIONS,
        messages.Term(1),
        machine.state,
        Node(machine),
        None,
        None,
        _metrics.Metrics(),
        utils.TimerService(),
    )
    heartbeat = messages.GatewayHeartbeat(messages.RulesVersion(1))
    answered = threading.Event()

    def beat():
        reply = leadership.handle(None, heartbeat)
        answered.set()
        return reply

    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        with machine.state.lock:
            replied = executor.submit(beat)
            in_time = answered.wait(TIMEOUT_S)
        assert in_time
        assert replied.result().rules_version == 1
