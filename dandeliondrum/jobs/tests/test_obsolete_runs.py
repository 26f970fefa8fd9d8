"""Runs that the leader stops because their job or gang has ended."""

import threading
import types

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _workers
from dandeliondrum.jobs.tests import helpers


class CountingList(list):
    """A list that counts how often it is iterated."""

    iterations_count = 0

    def __iter__(self):
        self.iterations_count += 1
        return super().__iter__()


class Stops:
    """The order book of a worker; records the stop orders."""

    def __init__(self):
        self.stopped = []

    def stop(self, task, run):
        self.stopped.append((str(task), run))


@pytest.fixture
def machine():
    return helpers.Machine()


@pytest.fixture
def stops():
    return Stops()


@pytest.fixture
def workers(machine, stops):
    term = types.SimpleNamespace(
        state=machine.state,
        lock=threading.RLock(),
        peers={'w1': types.SimpleNamespace(orders=stops)},
    )
    return _workers.Workers(term, None)


def test_the_end_of_a_run_costs_no_scan_of_a_large_running_job(
    machine, workers, stops
):
    """The scan took 6 ms for 5,000 tasks, under the locks of the leader."""
    machine(_commands.SubmitJob(helpers.job('j', helpers.step(3))))
    assert machine.assign('j.0.0.0')
    step = machine.state.jobs['j'].steps[0]
    step.tasks = CountingList(step.tasks)
    workers.stop_obsolete(('j',))
    assert step.tasks.iterations_count == 0
    assert stops.stopped == []


def test_the_runs_of_a_cancelled_job_are_stopped(machine, workers, stops):
    machine(_commands.SubmitJob(helpers.job('j', helpers.step(3))))
    assert machine.assign('j.0.0.0')
    assert machine.assign('j.0.0.2')
    machine(_commands.CancelJob(jobs.JobId('j')))
    workers.stop_obsolete(('j',))
    assert stops.stopped == [('j.0.0.0', 1), ('j.0.0.2', 1)]


def test_the_other_runs_of_a_broken_gang_are_stopped(machine, workers, stops):
    machine(_commands.SubmitJob(helpers.job('j', helpers.step(2, gang=True))))
    assert machine.assign('j.0.0.0')
    assert machine.assign('j.0.0.1')
    machine.end('j.0.0.0', outcome=jobs.RunOutcome.LOST)
    workers.stop_obsolete(('j',))
    assert stops.stopped == [('j.0.0.1', 1)]
