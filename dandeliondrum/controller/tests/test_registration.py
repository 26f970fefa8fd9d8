"""Registrations of gateways at the leader, whose reply needs a quorum."""

import concurrent.futures
import threading
from unittest import mock

import pytest
from returns import result

from dandeliondrum import consensus
from dandeliondrum.controller.tests import builders
from dandeliondrum.controller.tests import test_worker_sizes
from dandeliondrum import messages
from dandeliondrum import utils

GATEWAY = messages.GatewayId('g1')


class FakeConnection:
    """Connection of which only the end matters."""

    def __init__(self):
        self.closed = threading.Event()

    def close(self):
        self.closed.set()


class UnconfirmedLog(test_worker_sizes.ImmediateLog):
    """Fake log that confirms leadership when the test says so."""

    def __init__(self, state):
        super().__init__(state)
        self.confirmation = concurrent.futures.Future()

    def confirm_leadership(self):
        return self.confirmation


@pytest.fixture
def leader():
    leader = test_worker_sizes.Leader()
    leader.context.node = UnconfirmedLog(leader.state)
    return leader


def register(leader, connection):
    return leader.leadership.handle_call(
        connection,
        messages.RegisterGateway(
            GATEWAY,
            messages.Region('gulf'),
            messages.FailureDomain('d1'),
            messages.RulesVersion(0),
        ),
    )


def test_a_gateway_that_left_before_its_confirmation_is_given_no_tasks(
    leader,
):
    connection = FakeConnection()
    reply = register(leader, connection)
    connection.close()
    leader.leadership.on_close(connection)
    leader.context.node.confirmation.set_result(result.Success(None))
    assert reply.result(0) == messages.NotLeader()
    sessions = leader.context.sessions
    durable = builders.spec('one', durable=True)
    assert sessions.choose_gateway(durable, None) is None
    assert sessions.all() == ()


def test_a_leader_that_has_closed_keeps_no_late_registration(leader):
    connection = FakeConnection()
    reply = register(leader, connection)
    leader.leadership.close()
    leader.context.node.confirmation.set_result(result.Success(None))
    assert reply.result(0) == messages.NotLeader()
    assert leader.context.sessions.by_connection(connection) is None


def test_a_newer_registration_closes_the_older_connection(leader):
    first, second = FakeConnection(), FakeConnection()
    leader.context.node.confirmation.set_result(result.Success(None))
    register(leader, first)
    register(leader, second)
    assert first.closed.is_set()
    session = leader.context.sessions.by_gateway(GATEWAY)
    assert session.connection is second


def _registered(leader):
    connection = FakeConnection()
    leader.context.node.confirmation.set_result(result.Success(None))
    register(leader, connection)
    return connection


HEARTBEAT = messages.GatewayHeartbeat(messages.RulesVersion(0))


def test_a_heartbeat_is_answered_while_a_plan_holds_the_lock(
    leader, monkeypatch
):
    connection = _registered(leader)
    node = leader.context.node
    monkeypatch.setattr(node, 'is_leading', lambda: False, raising=False)
    handled = threading.Event()

    def heartbeat():
        leader.leadership.handle_call(connection, HEARTBEAT)
        handled.set()

    thread = threading.Thread(target=heartbeat, daemon=True)
    with leader.context.lock:
        thread.start()
        in_time = handled.wait(3)
    thread.join()
    assert in_time


def test_a_leader_briefly_out_of_touch_does_not_refuse_a_heartbeat(
    leader, monkeypatch
):
    connection = _registered(leader)
    node = leader.context.node
    monkeypatch.setattr(node, 'is_leading', lambda: False, raising=False)
    node.confirmation = concurrent.futures.Future()
    reply = leader.leadership.handle_call(connection, HEARTBEAT)
    assert not isinstance(reply, messages.NotLeader)
    assert not reply.done()
    monkeypatch.setattr(
        node, 'status', lambda: mock.Mock(addresses=lambda: ()), raising=False
    )
    node.confirmation.set_result(result.Success(None))
    assert isinstance(reply.result(0), messages.GatewayHeartbeatReply)


@pytest.mark.parametrize(
    'failure',
    [
        consensus.ProposeFailure.OVERLOADED,
        consensus.ProposeFailure.STORAGE_FULL,
    ],
)
def test_a_leader_with_a_full_log_refuses_a_heartbeat_only_for_now(
    leader, monkeypatch, failure
):
    """Otherwise the gateway closes its stream and searches for a leader."""
    connection = _registered(leader)
    node = leader.context.node
    monkeypatch.setattr(node, 'is_leading', lambda: False, raising=False)
    error = consensus.ProposeError(failure, never_committed=True)
    node.confirmation = utils.completed_future(result.Failure(error))
    reply = leader.leadership.handle_call(connection, HEARTBEAT).result(0)
    assert isinstance(reply, messages.CallFailed)
    assert reply.not_done and reply.retry_after_ms


def test_a_deposed_leader_refuses_a_heartbeat_of_a_gateway(
    leader, monkeypatch
):
    connection = _registered(leader)
    node = leader.context.node
    monkeypatch.setattr(node, 'is_leading', lambda: False, raising=False)
    node.confirmation = concurrent.futures.Future()
    reply = leader.leadership.handle_call(connection, HEARTBEAT)
    error = consensus.ProposeError(
        consensus.ProposeFailure.DEPOSED, never_committed=True
    )
    node.confirmation.set_result(result.Failure(error))
    assert reply.result(0) == messages.NotLeader()
