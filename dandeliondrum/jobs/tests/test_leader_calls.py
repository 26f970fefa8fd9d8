"""Tests of calls to a leader that is slow or refuses."""

import contextlib
import threading

import pytest
from returns import result

from dandeliondrum import jobs
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum import transport

CELL = messages.CellId('test')
LEADER = messages.ControllerId('c1')


class SlowLeader:
    """A leader that answers heartbeats at once and submissions later."""

    def __init__(self):
        self.submissions = []
        self.delay_ms = 0
        # Replies to the first submissions; None closes the connection.
        self.replies = []
        self.reply = _calls.JobStatus(jobs.JobPhase.QUEUED)
        self._server = transport.Server(
            transport.ServerOptions('127.0.0.1:0', CELL),
            transport.Callbacks(on_call=self._on_call),
        )
        self._server.start()
        self.address = self._server.address

    def close(self):
        self._server.close()

    def _on_call(self, connection, message):
        match message:
            case messages.RegisterGateway():
                return messages.GatewayRegistered(
                    messages.Term(1),
                    LEADER,
                    messages.RulesVersion(1),
                    helpers.document().decode(),
                )
            case messages.GatewayHeartbeat():
                return messages.GatewayHeartbeatReply(
                    messages.Term(1), messages.RulesVersion(1)
                )
        self.submissions.append(message)
        answer = self.replies.pop(0) if self.replies else self.reply
        reply = transport.CallFuture()
        if answer is None:
            connection.close()
            return reply
        threading.Timer(
            self.delay_ms / 1000, reply.set_result, (answer,)
        ).start()
        return reply


@pytest.fixture
def leader():
    with contextlib.closing(SlowLeader()) as leader:
        yield leader


@pytest.fixture
def gateway(leader):
    gateway = jobs.JobGateway(
        jobs.GatewayOptions(
            jobs.LinkOptions(
                messages.GatewayId('g1'),
                CELL,
                messages.Region('gulf'),
                messages.FailureDomain('d1'),
                ((LEADER, leader.address),),
            )
        ),
        testing.FakeAdviser(),
        helpers.decode_policy,
    )
    gateway.start()
    testing.wait_until(gateway.has_leader)
    yield gateway
    gateway.close()


def submit(gateway, name='j'):
    return gateway.submit(helpers.job(name, helpers.step()), 2_850)


def test_a_slow_leader_is_not_sent_the_same_submission_again(leader, gateway):
    leader.delay_ms = 2_000
    assert submit(gateway) == result.Success(jobs.JobPhase.QUEUED)
    assert len(leader.submissions) == 1


def test_a_refused_submission_fails_at_once_with_the_time_to_retry(
    leader, gateway
):
    leader.reply = messages.CallFailed('overloaded', True, 1_500)
    refusal = submit(gateway).failure()
    assert refusal.not_done and refusal.retry_after_ms == 1_500
    assert len(leader.submissions) == 1


def test_a_gateway_does_not_repeat_a_refusal_without_asking_the_leader(
    leader, gateway
):
    """Only the leader knows which jobs were accepted before."""
    leader.reply = messages.CallFailed('overloaded', True, 1_500)
    refusals = [submit(gateway, f'j{number}').failure() for number in range(9)]
    assert {one.retry_after_ms for one in refusals} == {1_500}
    assert len(leader.submissions) == 9
    leader.reply = _calls.JobStatus(jobs.JobPhase.QUEUED)
    assert submit(gateway) == result.Success(jobs.JobPhase.QUEUED)
    assert len(leader.submissions) == 10


def test_a_refusal_after_an_unanswered_attempt_leaves_the_job_in_doubt(
    leader, gateway
):
    """The first attempt may still be stored, although the next is refused."""
    leader.replies = [None, messages.CallFailed('overloaded', True, 1_500)]
    refusal = submit(gateway).failure()
    assert len(leader.submissions) == 2
    assert not refusal.not_done
