"""Replies of a leader whose log refuses proposals."""

from unittest import mock

import pytest
from returns import result

from dandeliondrum import consensus
from dandeliondrum import jobs
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _leadership
from dandeliondrum.jobs import _metrics
from dandeliondrum.jobs import _workers
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import test_leader_locks
from dandeliondrum import messages
from dandeliondrum import utils

machine = test_leader_locks.machine
term = test_leader_locks.term


@pytest.fixture(
    params=[
        consensus.ProposeFailure.OVERLOADED,
        consensus.ProposeFailure.STORAGE_FULL,
    ]
)
def full_log(term, request):
    error = consensus.ProposeError(request.param, never_committed=True)
    refused = utils.completed_future(result.Failure(error))
    term.node.propose = lambda _: refused
    term.node.confirm_leadership = lambda: refused
    return term


def _leadership_of(term):
    return _leadership.Leadership(
        test_leader_locks.OPTIONS,
        messages.Term(1),
        term.state,
        term.node,
        None,
        None,
        _metrics.Metrics(),
        utils.TimerService(),
    )


def test_a_report_that_a_full_log_refuses_does_not_close_the_stream(full_log):
    workers = _workers.Workers(full_log, mock.Mock())
    draining = helpers.facts('w1', phase=jobs.WorkerPhase.DRAINING)
    reply = workers.handle_report(jobs.WorkerReport(draining, 1)).result()
    assert not isinstance(reply, messages.NotLeader)
    assert reply.not_done


def test_a_call_that_a_full_log_can_not_confirm_does_not_close_the_stream(
    full_log,
):
    full_log.node.is_leading = lambda: False
    heartbeat = messages.GatewayHeartbeat(messages.RulesVersion(1))
    reply = _leadership_of(full_log).handle(None, heartbeat).result()
    assert not isinstance(reply, messages.NotLeader)


def test_a_heartbeat_that_a_full_log_can_not_confirm_is_to_be_sent_later(
    full_log,
):
    """Otherwise the gateway closes its stream and searches for a leader."""
    full_log.node.is_leading = lambda: False
    heartbeat = messages.GatewayHeartbeat(messages.RulesVersion(1))
    reply = _leadership_of(full_log).handle(None, heartbeat).result()
    assert isinstance(reply, messages.CallFailed)
    assert reply.not_done and reply.retry_after_ms


def test_a_submission_that_a_full_log_refuses_does_not_close_the_stream(
    full_log,
):
    submission = _calls.JobSubmission(helpers.job('j', helpers.step()))
    reply = _leadership_of(full_log).handle(None, submission).result()
    assert not isinstance(reply, messages.NotLeader)
    assert reply.not_done


def test_a_deposed_leader_closes_the_stream(full_log):
    error = consensus.ProposeError(
        consensus.ProposeFailure.DEPOSED, never_committed=True
    )
    deposed = utils.completed_future(result.Failure(error))
    full_log.node.propose = lambda _: deposed
    submission = _calls.JobSubmission(helpers.job('j', helpers.step()))
    reply = _leadership_of(full_log).handle(None, submission).result()
    assert reply == messages.NotLeader()
