"""Registrations of processes at the leader, whose reply needs a quorum."""

import concurrent.futures
import threading

import pytest
from returns import result

from dandeliondrum import consensus
from dandeliondrum import jobs
from dandeliondrum.jobs import _advice_requester
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _state
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages

GATEWAY = messages.GatewayId('g1')
REQUEST = _calls.AdviceRequest('j.0.0', (messages.WorkerId('w1'),))


class FakeConnection:
    """Connection that reports its end to the leader, as a server does."""

    def __init__(self, leadership):
        self.closed = threading.Event()
        self.calls = []
        self._leadership = leadership

    def call_async(self, message):
        self.calls.append(message)
        return concurrent.futures.Future()

    def close(self):
        if not self.closed.is_set():
            self.closed.set()
            self._leadership.disconnected(self)


class FakeNode:
    """Node that confirms leadership when the test calls ``confirm``."""

    def __init__(self):
        self.confirmations = []
        self.proposals = []
        self.leading = True

    def is_leading(self):
        return self.leading

    def status(self):
        return consensus.NodeStatus(
            'c1', consensus.Role.LEADER, 1, 'c1', True, 1, 1, 1, 0, 'd', ()
        )

    def confirm_leadership(self):
        self.confirmations.append(concurrent.futures.Future())
        return self.confirmations[-1]

    def propose(self, _command):
        self.proposals.append(concurrent.futures.Future())
        return self.proposals[-1]

    def confirm(self, number=0):
        self.confirmations.pop(number).set_result(result.Success(None))


@pytest.fixture
def node():
    return FakeNode()


@pytest.fixture
def leadership(node):
    return helpers.new_leadership(helpers.Machine(()), node)


def register(leadership, connection):
    return leadership.handle(
        connection,
        messages.RegisterGateway(
            GATEWAY,
            messages.Region('gulf'),
            messages.FailureDomain('d1'),
            messages.RulesVersion(0),
        ),
    )


def chosen_client(leadership):
    """Return the process that is chosen for a call to the adviser."""
    policy = jobs.AdvicePolicy(5.0, 0.1, 1_500)
    return leadership._term.adviser_clients.choose(policy, 1, 0)


def ask(leadership):
    requester = _advice_requester.AdviceRequester(leadership._term)
    return requester._send(GATEWAY, REQUEST)


def test_a_connection_closed_before_its_confirmation_gets_no_advice_calls(
    leadership, node
):
    connection = FakeConnection(leadership)
    reply = register(leadership, connection)
    connection.close()
    node.confirm()
    assert reply.result(0) == messages.NotLeader()
    assert chosen_client(leadership) is None


def test_a_process_that_registers_again_is_called_on_its_open_connection(
    leadership, node
):
    first, second = FakeConnection(leadership), FakeConnection(leadership)
    replies = [register(leadership, first)]
    first.close()
    replies.append(register(leadership, second))
    node.confirm()
    node.confirm()
    assert replies[0].result(0) == messages.NotLeader()
    assert isinstance(replies[1].result(0), messages.GatewayRegistered)
    assert chosen_client(leadership) == GATEWAY
    ask(leadership)
    assert (first.calls, second.calls) == ([], [REQUEST])


def test_a_newer_registration_closes_the_older_connection(leadership, node):
    first, second = FakeConnection(leadership), FakeConnection(leadership)
    register(leadership, first)
    node.confirm()
    register(leadership, second)
    node.confirm()
    assert first.closed.is_set() and not second.closed.is_set()
    assert chosen_client(leadership) == GATEWAY
    ask(leadership)
    assert (first.calls, second.calls) == ([], [REQUEST])
    second.close()
    assert chosen_client(leadership) is None


def test_a_registration_confirmed_late_does_not_replace_a_newer_one(
    leadership, node
):
    first, second = FakeConnection(leadership), FakeConnection(leadership)
    late = register(leadership, first)
    register(leadership, second)
    node.confirm(1)
    node.confirm(0)
    assert late.result(0) == messages.NotLeader()
    assert not second.closed.is_set()
    ask(leadership)
    assert (first.calls, second.calls) == ([], [REQUEST])


def test_a_leader_that_has_resigned_keeps_no_late_registration(
    leadership, node
):
    connection = FakeConnection(leadership)
    reply = register(leadership, connection)
    leadership.resign()
    node.confirm()
    assert reply.result(0) == messages.NotLeader()
    assert chosen_client(leadership) is None


def test_a_job_is_not_refused_while_one_of_its_submissions_is_committed(
    leadership, node, monkeypatch
):
    """The commit that is left may succeed, so the job may run."""
    submission = _calls.JobSubmission(helpers.job('j', helpers.step()))
    for _ in range(2):
        leadership.handle(None, submission)
    monkeypatch.setattr(
        leadership._term.admission, 'retry_after_ms', lambda *_: 1_500
    )
    failure = consensus.ProposeError(
        consensus.ProposeFailure.OVERLOADED, never_committed=True
    )
    node.proposals[0].set_result(result.Failure(failure))
    leadership.handle(None, submission)
    assert len(node.proposals) == 3
    for proposal in node.proposals[1:]:
        proposal.set_result(result.Failure(failure))
    refusal = leadership.handle(None, submission)
    assert refusal == messages.CallFailed('overloaded', True, 1_500)
    assert len(node.proposals) == 3


def test_a_call_to_a_process_without_a_session_fails_at_once(leadership):
    outcome = ask(leadership).result(0)
    assert isinstance(outcome, result.Failure)


def test_a_worker_recorded_after_the_leader_has_closed_is_answered(
    leadership, node
):
    leadership.open()
    report = _calls.WorkerReport(helpers.facts('w1'), 1)
    reply = leadership.handle(None, report)
    leadership.close()
    node.proposals[0].set_result(result.Success(None))
    assert reply.result(0) == messages.NotLeader()
    assert not leadership._term.peers


@pytest.mark.parametrize('confirmed', [True, False])
def test_a_short_loss_of_contact_with_the_quorum_sends_no_process_away(
    leadership, node, confirmed
):
    node.leading = False
    query = _calls.WaitingQuery(helpers.QUEUE)
    reply = leadership.handle(FakeConnection(leadership), query)
    assert not reply.done()
    if confirmed:
        node.confirm()
        assert reply.result(0) == _calls.WaitingCount(0)
    else:
        error = consensus.ProposeError(
            consensus.ProposeFailure.DEPOSED, never_committed=True
        )
        node.confirmations.pop().set_result(result.Failure(error))
        assert reply.result(0) == messages.NotLeader()


def test_a_long_planning_round_delays_no_registration_and_no_heartbeat(
    leadership, node
):
    term = leadership._term
    planning, planned = threading.Event(), threading.Event()

    def plan():
        with term.lock, term.state.lock:
            planning.set()
            planned.wait(10)

    connection = FakeConnection(leadership)
    with concurrent.futures.ThreadPoolExecutor(2) as executor:
        executor.submit(plan)
        planning.wait(10)
        try:
            reply = executor.submit(register, leadership, connection)
            executor.submit(node.confirm).result(1)
            registered = reply.result(1).result(1)
            heartbeat = messages.GatewayHeartbeat(messages.RulesVersion(1))
            reply = executor.submit(leadership.handle, connection, heartbeat)
            assert isinstance(reply.result(1), messages.GatewayHeartbeatReply)
            executor.submit(connection.close).result(1)
        finally:
            planned.set()
    assert isinstance(registered, messages.GatewayRegistered)
    assert registered.rules_version == 1
    assert chosen_client(leadership) is None


def test_the_first_document_waits_for_the_voters(leadership, node):
    """Regression test for review/8: it was acknowledged by three of five."""
    leadership._term.state.active_document = _state.ActiveDocument(
        messages.RulesVersion(0), b''
    )
    change = _calls.DocumentChange(1, helpers.document())
    reply = leadership.handle(None, change).result(0)
    assert isinstance(reply, messages.CallFailed)
    assert reply.not_done and reply.retry_after_ms
    assert not node.proposals
    leadership._voters.may_begin = lambda: True
    leadership.handle(None, change)
    assert len(node.proposals) == 1


def test_later_documents_do_not_wait_for_the_voters(leadership, node):
    change = _calls.DocumentChange(2, helpers.document(2))
    leadership.handle(None, change)
    assert len(node.proposals) == 1
