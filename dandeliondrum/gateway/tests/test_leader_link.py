"""Tests of the search for the leader."""

import contextlib
import threading
import time

import pytest
from returns import result

from dandeliondrum.gateway import _active_rules
from dandeliondrum.gateway import _leader_link
from dandeliondrum.gateway.tests import fakes
from dandeliondrum import messages
from dandeliondrum import transport

# The successor is elected after the first round of the search.
ELECTION_S = 0.15
# One pause of the search and one call to the lost leader that times out.
FOUND_WITHIN_S = 0.8
# Longer than the timeout of a registration.
REGISTRATION_S = 0.6


class FreezableLeader(fakes.Leader):
    """Leader that accepts connections but does not answer while frozen."""

    def __init__(self, name):
        super().__init__(name)
        self.frozen = False
        self._unanswered = []

    def answer_late(self):
        """Answer the calls that arrived while frozen, and all later ones."""
        self.frozen = False
        for connection, message, reply in self._unanswered:
            reply.set_result(super()._on_call(connection, message))

    def _on_call(self, connection, message):
        if self.frozen:
            self.received.append(message)
            reply = transport.CallFuture()
            self._unanswered.append((connection, message, reply))
            return reply
        return super()._on_call(connection, message)


@pytest.fixture
def controllers():
    made = [FreezableLeader(f'c{number}') for number in (1, 2, 3)]
    yield made
    for one in made:
        one.close()


@contextlib.contextmanager
def running_link(*addresses, on_leader_found=lambda: None):
    """Run a link with these controllers configured."""
    link = _leader_link.LeaderLink(
        fakes.options(*addresses),
        _leader_link.LinkEvents(
            on_leader_found, lambda _: None, lambda _: None
        ),
        _active_rules.ActiveRules(),
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
    with running_link(*(one.address for one in controllers)) as link:
        fakes.wait_until(link.is_up)
        lost.frozen = True
        asked_count = len(successor.received)
        fakes.wait_until(lambda: len(successor.received) > asked_count)
        began_s = time.monotonic()
        time.sleep(ELECTION_S)
        successor.not_leader = None
        fakes.wait_until(lambda: heartbeats_of(successor))
        assert time.monotonic() - began_s < FOUND_WITHIN_S


def test_a_silent_leader_is_asked_again_if_no_other_controller_answers(
    controllers, monkeypatch
):
    lost, successor, _ = controllers
    successor.not_leader = messages.NotLeader()
    with running_link(lost.address, successor.address) as link:
        fakes.wait_until(link.is_up)
        monkeypatch.setattr(_leader_link, 'UNRESPONSIVE_SKIP_MS', 60_000)
        counts = [registrations_count(one) for one in (lost, successor)]
        successor.frozen = lost.frozen = True
        fakes.wait_until(lambda: registrations_count(lost) > counts[0])
        # Once or twice while the answer of the lost leader may be late, and
        # once more before the lost leader.
        assert 2 <= registrations_count(successor) - counts[1] <= 3


def registrations_count(leader):
    return len(leader.received_of(messages.RegisterGateway))


def heartbeats_of(leader):
    return leader.received_of(messages.GatewayHeartbeat)


def submit(link):
    """Return the future of a submission without tasks."""
    return link.call_async(messages.SubmitTasks((), (), ''))


def test_a_leader_that_answers_late_is_not_given_up(controllers, monkeypatch):
    """The calls that it has received are answered, none is sent again."""
    monkeypatch.setattr(_leader_link, 'UNRESPONSIVE_SKIP_MS', 20_000)
    leader, follower, _ = controllers
    follower.not_leader = messages.NotLeader(messages.ControllerId('c1'))
    with running_link(leader.address, follower.address) as link:
        fakes.wait_until(link.is_up)
        leader.frozen = True
        submitted = submit(link)
        fakes.wait_until(lambda: not link.is_up())
        # Meanwhile the link looks for a successor and sends no more calls.
        fakes.wait_until(lambda: registrations_count(follower) > 1)
        unsent = submit(link).result(fakes.WAIT_S).failure()
        assert unsent.failure is transport.CallFailure.NOT_SENT
        leader.answer_late()
        fakes.wait_until(link.is_answering)
        assert isinstance(submitted.result(fakes.WAIT_S), result.Success)
        assert isinstance(submit(link).result(fakes.WAIT_S), result.Success)
    assert registrations_count(leader) == 1


def test_a_leader_that_does_not_answer_at_all_is_given_up(
    controllers, monkeypatch
):
    monkeypatch.setattr(_leader_link, 'UNRESPONSIVE_SKIP_MS', 50)
    leader, *_ = controllers
    with running_link(leader.address) as link:
        fakes.wait_until(link.is_up)
        leader.silent = True
        fakes.wait_until(lambda: registrations_count(leader) > 1)
        leader.silent = False
        fakes.wait_until(link.is_answering)


def test_calls_to_a_late_leader_fail_once_its_successor_is_found(
    controllers, monkeypatch
):
    """They are then sent again to the successor."""
    monkeypatch.setattr(_leader_link, 'UNRESPONSIVE_SKIP_MS', 20_000)
    leader, successor, _ = controllers
    with running_link(leader.address, successor.address) as link:
        fakes.wait_until(link.is_up)
        leader.frozen = True
        submitted = submit(link)
        fakes.wait_until(lambda: heartbeats_of(successor))
        failure = submitted.result(fakes.WAIT_S).failure()
        assert failure.failure is transport.CallFailure.CLOSED


class BusyLeader(fakes.Leader):
    """Leader that answers registrations only after ``REGISTRATION_S``."""

    def __init__(self, name):
        super().__init__(name)
        self.refusals = []

    def _on_call(self, connection, message):
        reply = super()._on_call(connection, message)
        if not isinstance(message, messages.RegisterGateway):
            return reply
        if self.refusals:
            reply = self.refusals.pop()
        future = transport.CallFuture()
        threading.Timer(REGISTRATION_S, future.set_result, (reply,)).start()
        return future


def test_a_leader_that_confirms_registrations_late_is_registered_with_once():
    """Each registration was given up after 400 ms and sent again, for good."""
    with contextlib.closing(BusyLeader('c1')) as leader:
        with running_link(leader.address) as link:
            fakes.wait_until(link.is_answering)
            assert isinstance(
                submit(link).result(fakes.WAIT_S), result.Success
            )
        assert registrations_count(leader) == 1


def test_a_registration_that_is_refused_late_is_sent_again():
    with contextlib.closing(BusyLeader('c1')) as leader:
        leader.refusals.append(messages.CallFailed('overloaded', True, 20))
        with running_link(leader.address) as link:
            fakes.wait_until(link.is_answering)
        assert registrations_count(leader) == 2


def refuse_heartbeats(leader, refusal):
    """Refuse all heartbeats until the leader has got three more calls."""
    leader.heartbeat_refusal = refusal
    count = len(leader.received)
    fakes.wait_until(lambda: len(leader.received) >= count + 3)
    leader.heartbeat_refusal = None


def test_a_leader_that_refuses_heartbeats_for_now_is_not_given_up(controllers):
    """The log of the leader is full, so it can't confirm that it leads."""
    leader, *_ = controllers
    with running_link(leader.address) as link:
        fakes.wait_until(link.is_up)
        refuse_heartbeats(leader, messages.CallFailed('overloaded', True, 20))
        count = len(heartbeats_of(leader))
        fakes.wait_until(lambda: len(heartbeats_of(leader)) > count + 1)
        assert link.is_answering()
    assert registrations_count(leader) == 1


def test_a_leader_that_does_not_know_the_gateway_is_registered_with_again(
    controllers,
):
    leader, *_ = controllers
    with running_link(leader.address) as link:
        fakes.wait_until(link.is_up)
        refuse_heartbeats(leader, messages.CallFailed('not registered', True))
        fakes.wait_until(link.is_answering)
    assert registrations_count(leader) > 1


def test_a_leader_that_was_never_configured_is_found(controllers):
    """All configured controllers have been replaced and shut down."""
    first, added, _ = controllers
    first.members = tuple(
        (messages.ControllerId(one.name), one.address)
        for one in (first, added)
    )
    with running_link(first.address):
        # The link sends the second heartbeat after it read the first reply.
        fakes.wait_until(lambda: len(heartbeats_of(first)) > 1)
        first.close()
        fakes.wait_until(lambda: heartbeats_of(added), timeout_s=5)


def test_a_configured_address_goes_before_the_one_that_is_named(controllers):
    """The configured address may be a proxy, which must not be bypassed."""
    first, proxy, bypassed = controllers
    first.members = (
        (messages.ControllerId('c1'), first.address),
        (messages.ControllerId('c2'), bypassed.address),
    )
    with running_link(first.address, proxy.address):
        # The link sends the second heartbeat after it read the first reply.
        fakes.wait_until(lambda: len(heartbeats_of(first)) > 1)
        first.close()
        fakes.wait_until(lambda: heartbeats_of(proxy), timeout_s=5)
    assert not bypassed.received


def test_a_link_closed_while_it_connects_does_not_register(
    controllers, monkeypatch
):
    leader, *_ = controllers
    connected, closed = threading.Event(), threading.Event()
    connect = transport.connect

    def connect_slowly(*args):
        stream = connect(*args)
        connected.set()
        closed.wait(fakes.WAIT_S)
        return stream

    monkeypatch.setattr(transport, 'connect', connect_slowly)
    with running_link(leader.address) as link:
        assert connected.wait(fakes.WAIT_S)
        link.close()
        closed.set()
    assert not registrations_count(leader)


def test_a_silent_controller_does_not_hold_up_each_round(controllers):
    """Some gateways found the new leader 0.5 s later than the others.

    This happened while the lost leader was frozen and another controller was
    down, too: each round waited until the frozen one timed out.
    """
    follower, *_ = controllers
    follower.not_leader = messages.NotLeader()
    with contextlib.closing(fakes.UnresponsivePort()) as unresponsive:
        with running_link(unresponsive.address, follower.address):
            fakes.wait_until(lambda: registrations_count(follower) > 8)
            assert 2 * len(unresponsive.accepted) < registrations_count(
                follower
            )


def test_a_link_does_not_count_as_up_on_a_stream_that_has_closed(controllers):
    """Calls made after a gateway was found ready then met no leader."""
    leader, *_ = controllers
    registered, released = threading.Event(), threading.Event()

    def hold_up_link():
        registered.set()
        released.wait(fakes.WAIT_S)

    with running_link(leader.address, on_leader_found=hold_up_link) as link:
        assert registered.wait(fakes.WAIT_S)
        assert link.is_up()
        leader.not_leader = messages.NotLeader()
        query = messages.QueryTasks((), messages.TeamId('t'), '')
        assert isinstance(
            link.call(query, fakes.WAIT_S * 1_000), result.Failure
        )
        states = (link.is_up(), link.is_answering())
        released.set()
    assert states == (False, False)


def test_a_leader_that_serves_no_parts_is_not_asked_for_one(controllers):
    leader, *_ = controllers
    leader.rules_version = messages.RulesVersion(4)
    with running_link(leader.address) as link:
        fakes.wait_until(lambda: len(heartbeats_of(leader)) > 1)
        assert link.is_up()
        assert not leader.received_of(messages.RulesPartQuery)
