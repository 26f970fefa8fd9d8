"""Effects of crashes at the leader, with a worker that comes back."""

import contextlib
import dataclasses

import pytest
from structlog import testing as log_testing

from dandeliondrum import jobs
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import test_workers
from dandeliondrum import messages
from dandeliondrum import testing


@pytest.fixture
def leader():
    with contextlib.ExitStack() as resources:
        found = test_workers.Leader(resources)
        found.worker.run_ms = 60_000
        found.report()
        found.wait_usable()
        yield found


def _crash(leader, run):
    """Start a run, and let its worker crash under it."""
    key = test_workers.TASK
    orders = leader.peer().orders
    orders.plan(key, _orders.Order(run, 'payload', '', ''))
    assert leader.machine.assign(str(key), run)
    orders.dispatch(key)
    testing.wait_until(lambda: orders.is_listed(key, run))
    leader.worker.restart()
    leader.report()
    testing.wait_until(
        lambda: leader.machine.task(str(key)).crashes_count == run
    )
    leader.wait_usable()


def _samples(leader, name, **labels):
    return leader.term.metrics.registry.get_sample_value(name, labels)


def test_a_job_is_given_up_after_three_crashes_and_that_is_told(leader):
    with log_testing.capture_logs() as lines:
        for run in (1, 2, 3):
            _crash(leader, run)
        testing.wait_until(
            lambda: any(line['event'] == 'job given up' for line in lines)
        )
    assert leader.machine.phase('j') is jobs.JobPhase.FAILED
    crashed = [line for line in lines if line['event'] == 'worker crashed']
    assert [line['suspicions'] for line in crashed] == 3 * [
        {'j.0.0.0': 'alone'}
    ]
    given_up = [line for line in lines if line['event'] == 'job given up']
    assert [line['job'] for line in given_up] == ['j']
    prefix = 'dandeliondrum_jobs_'
    assert _samples(leader, prefix + 'worker_crashes_total') == 3
    assert _samples(leader, prefix + 'given_up_total') == 1
    assert (
        _samples(leader, prefix + 'runs_crashed_total', suspicion='alone') == 3
    )


def test_the_other_runs_of_a_job_that_is_given_up_are_stopped(leader):
    leader.machine(_commands.CancelJob('j'))
    leader.machine(
        _commands.SubmitJob(helpers.job('k', helpers.step(2, endless=True)))
    )
    other = testing.FakeWorker('w2', messages.Resources(4_000, 100), 60_000)
    leader.term.port.add(other)
    leader.workers.handle_report(jobs.WorkerReport(other.facts, 1))
    testing.wait_until(
        lambda: 'w2' in leader.term.peers and leader.term.peers['w2'].usable()
    )
    key = jobs.parse_task_key('k.0.0.1')
    orders = leader.term.peers['w2'].orders
    orders.plan(key, _orders.Order(1, 'payload', '', ''))
    assert leader.machine.assign('k.0.0.1', 1, 'w2')
    orders.dispatch(key)
    testing.wait_until(other.running)
    first = jobs.parse_task_key('k.0.0.0')
    for run in (1, 2, 3):
        assert leader.machine.assign('k.0.0.0', run)
        end = jobs.RunEnd(first, run, jobs.RunOutcome.CRASHED)
        leader.workers.record(
            (dataclasses.replace(end, suspicion=jobs.Suspicion.ALONE),)
        )
    assert leader.machine.phase('k') is jobs.JobPhase.FAILED
    testing.wait_until(lambda: not other.running())
