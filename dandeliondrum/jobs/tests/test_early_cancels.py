"""The reply to a cancelling stands for a command in the log.

The submission of the job is ordered before it or after it; either way no run
starts once it is acknowledged.
"""

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _leadership
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _state
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages

OTHER_TEAM = messages.TeamId('counter')
KEPT_MS = 60_000
CANCELLED = _calls.JobStatus(jobs.JobPhase.CANCELLED)
UNKNOWN = _calls.JobStatus(None)
RECORDED = _records.EarlyCancel.RECORDED
REFUSED = _records.EarlyCancel.REFUSED


@pytest.fixture
def machine():
    return helpers.Machine()


@pytest.fixture
def node(machine):
    return helpers.LocalNode(machine)


@pytest.fixture
def leadership(machine, node):
    return helpers.new_leadership(machine, node, KEPT_MS)


def _submit(leadership, name='j'):
    spec = helpers.job(name, helpers.step())
    return leadership.handle(None, _calls.JobSubmission(spec))


def _cancel(leadership, name='j', team_id=helpers.TEAM):
    message = _calls.JobCancellation(jobs.JobId(name), team_id)
    return leadership.handle(None, message)


def _cancel_command(name, team_id=helpers.TEAM):
    return _commands.CancelJob(jobs.JobId(name), team_id)


def test_a_cancelling_is_ordered_after_a_submission_that_is_being_committed(
    leadership, node, machine
):
    """Regression test for review/6: it was answered 200, and the job ran."""
    node.holds = True
    submitted = _submit(leadership)
    cancelled = _cancel(leadership)
    assert not cancelled.done()
    node.release()
    assert submitted.result(0) == _calls.JobStatus(jobs.JobPhase.QUEUED)
    assert cancelled.result(0) == CANCELLED
    assert machine.phase('j') is jobs.JobPhase.CANCELLED
    assert not machine.assign('j.0.0.0')


def test_a_job_that_was_cancelled_before_its_submission_never_runs(
    leadership, node, machine
):
    """Regression test for review/6: it was answered 410, and the job ran."""
    node.holds = True
    cancelled = _cancel(leadership)
    assert not cancelled.done()
    submitted = _submit(leadership)
    node.release()
    node.holds = False
    assert cancelled.result(0) == UNKNOWN
    assert submitted.result(0) == CANCELLED
    assert not machine.state.open_jobs
    assert not machine.assign('j.0.0.0')
    assert _submit(leadership).result(0) == CANCELLED
    assert _cancel(leadership).result(0) == CANCELLED


def test_a_cancelling_that_the_log_refuses_is_not_acknowledged(
    leadership, node
):
    node.refuses = True
    reply = _cancel(leadership).result(0)
    assert isinstance(reply, messages.CallFailed) and reply.not_done


def test_as_many_early_cancels_are_kept_as_fit(
    leadership, machine, monkeypatch
):
    monkeypatch.setattr(_state, 'EARLY_CANCELS_MAX', 2)
    for name in ('j', 'k', 'j', 'k'):
        assert _cancel(leadership, name).result(0) == UNKNOWN
    reply = _cancel(leadership, 'l').result(0)
    assert isinstance(reply, messages.CallFailed)
    assert reply.not_done and reply.retry_after_ms
    assert len(machine.state.early_cancels) == 2
    # One that meets its submission makes place.
    assert _submit(leadership, 'k').result(0) == CANCELLED
    assert _cancel(leadership, 'l').result(0) == UNKNOWN


def test_early_cancels_are_kept_as_long_as_ended_jobs(
    leadership, machine, monkeypatch
):
    now_ms = 1_000
    monkeypatch.setattr(_leadership._clock, 'elapsed_ms', lambda: now_ms)
    _cancel(leadership, 'j')
    leadership._forget_ended()
    now_ms += KEPT_MS - 1
    _cancel(leadership, 'k')
    leadership._forget_ended()
    assert len(machine.state.early_cancels) == 2
    now_ms += 2
    leadership._forget_ended()
    assert list(machine.state.early_cancels) == [('k', helpers.TEAM)]
    now_ms += KEPT_MS
    leadership._forget_ended()
    assert not machine.state.early_cancels


def test_an_early_cancel_that_is_repeated_is_kept_from_then_on(machine):
    assert machine(_cancel_command('j')) is RECORDED
    first_index = machine.index
    assert machine(_cancel_command('j')) is RECORDED
    machine(_commands.ForgetJobs((), first_index))
    assert machine.state.newest_early_cancel() == first_index + 1
    machine(_commands.ForgetJobs((), first_index + 1))
    assert not machine.state.early_cancels


def test_early_cancels_are_part_of_snapshots(machine):
    machine(_cancel_command('j'))
    copy = helpers.Machine()
    copy.state.restore(machine.state.snapshot())
    assert copy.state.early_cancels == machine.state.early_cancels
    copy(_commands.SubmitJob(helpers.job('j', helpers.step())))
    assert copy.phase('j') is jobs.JobPhase.CANCELLED


def test_a_team_cancels_no_job_of_another_team(machine):
    assert machine(_cancel_command('j', OTHER_TEAM)) is RECORDED
    machine(_commands.SubmitJob(helpers.job('j', helpers.step())))
    assert machine.phase('j') is jobs.JobPhase.QUEUED
    assert machine(_cancel_command('j', OTHER_TEAM)) is RECORDED
    assert machine.phase('j') is jobs.JobPhase.QUEUED


def test_a_command_of_an_earlier_version_records_no_unknown_id(machine):
    assert machine(_commands.CancelJob(jobs.JobId('j'))) is None
    assert not machine.state.early_cancels
