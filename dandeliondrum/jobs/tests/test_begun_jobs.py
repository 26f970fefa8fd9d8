"""Jobs count as running from the first start on a worker."""

import contextlib
import dataclasses

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _state
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import test_cell
from dandeliondrum.jobs.tests import test_workers
from dandeliondrum import testing


@pytest.fixture
def machine():
    machine = helpers.Machine(())
    machine(_commands.PutWorker(helpers.facts('w1')))
    machine(_commands.SubmitJob(helpers.job('j', helpers.step(2))))
    assert machine.assign('j.0.0.0')
    return machine


def test_an_assigned_run_that_never_started_leaves_its_job_queued(machine):
    """Regression test: assigned jobs were shown as running (MIXED)."""
    assert machine.phase('j') is jobs.JobPhase.QUEUED
    for run, outcome in enumerate(('LOST', 'LAPSED', 'CRASHED'), 1):
        machine.end('j.0.0.0', run, jobs.RunOutcome[outcome])
        assert machine.phase('j') is jobs.JobPhase.QUEUED
        assert machine.assign('j.0.0.0', run + 1)


def test_a_job_stays_running_from_the_first_start_on(machine):
    machine.begin('unknown')
    machine.begin('j')
    assert machine.phase('j') is jobs.JobPhase.RUNNING
    machine.end('j.0.0.0', 1, jobs.RunOutcome.LOST)
    assert machine.phase('j') is jobs.JobPhase.RUNNING
    restored = _state.JobsState(helpers.decode_policy)
    restored.restore(machine.state.snapshot())
    assert restored.jobs['j'].phase is jobs.JobPhase.RUNNING


@pytest.mark.parametrize(
    'outcome', ['DONE', 'FAILED', 'STOPPED', 'BROKEN', 'ALONE']
)
def test_an_end_that_needs_a_start_shows_the_job_as_running(machine, outcome):
    machine.end('j.0.0.0', 1, jobs.RunOutcome[outcome])
    assert machine.phase('j') is jobs.JobPhase.RUNNING


def test_a_start_does_not_reopen_a_job(machine):
    machine(_commands.CancelJob(jobs.JobId('j')))
    machine.begin('j')
    assert machine.phase('j') is jobs.JobPhase.CANCELLED


@pytest.fixture
def leader():
    with contextlib.ExitStack() as resources:
        yield test_workers.Leader(resources)


def _assign_and_send(leader):
    leader.report()
    leader.wait_usable()
    test_workers._start(leader, 'j.0.0.0')
    leader.peer().orders.dispatch(jobs.parse_task_key('j.0.0.0'))


def test_an_accepted_start_is_committed_once(leader):
    leader.worker.run_ms = 60_000
    _assign_and_send(leader)
    testing.wait_until(leader.worker.running)

    def is_running():
        leader.workers.commit_starts()
        return leader.machine.phase('j') is jobs.JobPhase.RUNNING

    testing.wait_until(is_running)
    commands_count = len(leader.node.commands)
    leader.workers.commit_starts()
    assert len(leader.node.commands) == commands_count


def test_a_start_whose_reply_was_lost_is_found_in_the_lists(leader):
    leader.worker.run_ms = 60_000
    leader.worker.delays_starts = True
    _assign_and_send(leader)
    testing.wait_until(lambda: leader.worker.late_starts)
    leader.workers.commit_starts()
    assert leader.machine.phase('j') is jobs.JobPhase.QUEUED
    leader.worker.carry_out_late_starts()

    def is_running():
        leader.workers.commit_starts()
        return leader.machine.phase('j') is jobs.JobPhase.RUNNING

    testing.wait_until(is_running)


def test_starts_that_the_log_refuses_are_committed_later(leader):
    leader.worker.run_ms = 60_000
    leader.node.refuses = True
    leader.workers.started([jobs.JobId('j')])
    leader.workers.commit_starts()
    assert leader.machine.phase('j') is jobs.JobPhase.QUEUED
    leader.node.refuses = False
    leader.workers.commit_starts()
    assert leader.machine.phase('j') is jobs.JobPhase.RUNNING


def test_a_lapse_that_a_worker_lists_shows_a_start(leader):
    """Regression test: the job of a run that lapsed counted as waiting."""
    leader.worker.run_ms = 60_000
    leader.worker._lease_max_ms = 30
    leader.worker.delays_starts = True
    _assign_and_send(leader)
    testing.wait_until(lambda: leader.worker.late_starts)
    late = leader.worker.late_starts[-1]
    leader.worker.delays_starts = False
    leader.worker.silent = True
    with leader.worker.lock:
        leader.worker._begin_run(late)
        leader.worker._end(late.task, jobs.RunOutcome.LAPSED)
    leader.worker.silent = False

    def is_running():
        leader.workers.commit_starts()
        return leader.machine.phase('j') is jobs.JobPhase.RUNNING

    testing.wait_until(is_running)


def test_jobs_on_a_silent_worker_are_pending_until_they_start(tmp_path):
    """Regression test: they were neither pending nor running (MIXED)."""
    with contextlib.ExitStack() as resources:
        cell = test_cell.Cell(tmp_path, resources, workers_count=2)
        only = cell.fleet[0]
        only.facts = dataclasses.replace(only.facts, labels=('b', 'r1'))
        only.run_ms = 60_000
        cell.open()
        only.silent = True
        names = [f'j{number}' for number in range(4)]
        for name in names:
            cell.submit(name, helpers.step(required_label='b'))
        leader = cell.controllers[cell.wait_leader()]
        testing.wait_until(
            lambda: any(
                leader.state.jobs[name].steps[0].tasks[0].run for name in names
            )
        )

        def pending_count():
            return cell.gateway.count_waiting(helpers.QUEUE, 1_000).value_or(0)

        assert pending_count() >= len(names)
        for name in names:
            assert cell.phase(name) is jobs.JobPhase.QUEUED
        only.silent = False
        for name in names:
            testing.wait_until(
                lambda name=name: cell.phase(name) is jobs.JobPhase.RUNNING
            )
        testing.wait_until(lambda: not pending_count())
