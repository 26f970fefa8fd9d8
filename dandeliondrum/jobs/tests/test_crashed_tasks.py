"""Tasks that crash workers, in the replicated state."""

import dataclasses

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _snapshots
from dandeliondrum.jobs import _state
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages

SHARED = jobs.Suspicion.SHARED
STARTING = jobs.Suspicion.STARTING
SOLE = jobs.Suspicion.SOLE
ALONE = jobs.Suspicion.ALONE
# Fields of a task in snapshots before crashes were counted.
EARLIER_FIELDS_COUNT = 5
FAILED = jobs.JobPhase.FAILED


def _machine(*steps):
    machine = helpers.Machine()
    machine(
        _commands.SubmitJob(helpers.job('j', *(steps or [helpers.step()])))
    )
    return machine


def _crash(machine, run, suspicion, task='j.0.0.0'):
    """Record a crash; return the tasks that were given up."""
    end = jobs.RunEnd(
        jobs.parse_task_key(task),
        run,
        jobs.RunOutcome.CRASHED,
        suspicion=suspicion,
    )
    return machine(_commands.EndRuns((end,)))


def _run_and_crash(machine, *suspicions, task='j.0.0.0'):
    given_up = ()
    for suspicion in suspicions:
        run = machine.task(task).run + 1
        assert machine.assign(task, run)
        machine.begin('j')
        given_up = _crash(machine, run, suspicion, task)
    return given_up


def test_a_task_that_crashes_three_workers_is_given_up():
    """Regression test: it was started for ever (violation BUDGET)."""
    machine = _machine()
    assert _run_and_crash(machine, STARTING, ALONE) == ()
    assert machine.phase('j') is jobs.JobPhase.RUNNING
    key = jobs.parse_task_key('j.0.0.0')
    assert _run_and_crash(machine, ALONE) == (key,)
    assert machine.phase('j') is FAILED
    assert machine.state.suspects == set()
    assert not machine.assign('j.0.0.0', 4)


@pytest.mark.parametrize('suspicion', [SHARED, STARTING])
def test_a_task_is_not_given_up_while_others_may_be_to_blame(suspicion):
    machine = _machine()
    _run_and_crash(machine, *5 * (suspicion,))
    assert machine.phase('j') is jobs.JobPhase.RUNNING
    assert machine.task('j.0.0.0').crashes_count == 5
    _run_and_crash(machine, ALONE)
    assert machine.phase('j') is FAILED


def test_a_task_beside_others_is_a_suspect_after_three_crashes():
    machine = _machine()
    _run_and_crash(machine, SHARED, SHARED)
    assert machine.state.suspects == set()
    _run_and_crash(machine, SHARED)
    assert machine.state.suspects == {jobs.parse_task_key('j.0.0.0')}
    assert machine.task('j.0.0.0').is_suspect


def test_a_run_that_is_not_suspected_is_not_counted():
    machine = _machine()
    _run_and_crash(machine, *9 * (jobs.Suspicion.NONE,))
    assert machine.task('j.0.0.0').crashes_count == 0
    assert machine.phase('j') is jobs.JobPhase.RUNNING


@pytest.mark.parametrize(
    'outcome', [jobs.RunOutcome.LAPSED, jobs.RunOutcome.LOST]
)
def test_tasks_of_a_machine_that_is_lost_are_never_given_up(outcome):
    machine = _machine()
    for run in range(1, 10):
        assert machine.assign('j.0.0.0', run)
        machine.begin('j')
        machine.end('j.0.0.0', run, outcome)
    assert machine.phase('j') is jobs.JobPhase.RUNNING
    assert machine.task('j.0.0.0').crashes_count == 0


def test_a_repeated_end_counts_one_crash():
    machine = _machine()
    _run_and_crash(machine, ALONE)
    for _ in range(5):
        assert _crash(machine, 1, ALONE) == ()
    assert machine.task('j.0.0.0').crashes_count == 1


def test_a_crash_that_is_found_after_the_lapse_is_counted():
    machine = _machine()
    assert machine.assign('j.0.0.0', 1)
    machine.end('j.0.0.0', 1, jobs.RunOutcome.LAPSED)
    assert machine.assign('j.0.0.0', 2)
    _crash(machine, 1, STARTING)
    task = machine.task('j.0.0.0')
    assert (task.crashes_count, task.is_suspect) == (1, True)
    assert (task.run, task.worker_id) == (2, 'w1')


def test_a_crash_does_not_count_for_a_task_that_is_done():
    machine = _machine(helpers.step(2))
    assert machine.assign('j.0.0.0', 1)
    machine.end('j.0.0.0', 1)
    _crash(machine, 1, ALONE)
    assert machine.task('j.0.0.0').crashes_count == 0


def test_a_suspect_that_fails_did_not_crash_its_worker():
    machine = _machine()
    _run_and_crash(machine, STARTING)
    assert machine.assign('j.0.0.0', 2)
    machine.end('j.0.0.0', 2, jobs.RunOutcome.FAILED)
    assert not machine.task('j.0.0.0').is_suspect
    assert machine.state.suspects == set()


def test_a_crash_keeps_the_checkpoint():
    machine = _machine(helpers.step(checkpointing=True))
    assert machine.assign('j.0.0.0', 1)
    machine.end('j.0.0.0', 1, jobs.RunOutcome.CRASHED, 'c1')
    assert machine.task('j.0.0.0').checkpoint == 'c1'
    assert machine.assign('j.0.0.0', 2)


def test_an_endless_task_that_crashes_workers_is_given_up():
    machine = _machine(helpers.step(endless=True))
    _run_and_crash(machine, ALONE, ALONE, ALONE)
    assert machine.phase('j') is FAILED


def test_a_task_that_is_the_only_one_starting_is_given_up():
    """Regression test: it was started a sixth time (violation BUDGET)."""
    machine = _machine()
    _run_and_crash(machine, STARTING, ALONE)
    assert machine.phase('j') is not FAILED
    _run_and_crash(machine, SOLE)
    assert machine.phase('j') is FAILED


def test_a_gang_that_starts_beside_other_suspects_is_not_given_up():
    """Regression test: it was given up beside a task that crashes workers."""
    machine = _machine(helpers.step(2, gang=True))
    _run_and_crash(machine, SHARED, SHARED, SHARED, STARTING)
    assert machine.phase('j') is not FAILED


def test_a_gang_with_a_member_that_crashes_workers_is_given_up():
    machine = _machine(helpers.step(2, gang=True))
    for run in (1, 2, 3):
        assert machine.phase('j') is not FAILED
        assert machine.assign('j.0.0.0', run)
        assert machine.assign('j.0.0.1', run)
        machine.end('j.0.0.1', run, jobs.RunOutcome.BROKEN)
        _crash(machine, run, SOLE if run > 1 else STARTING)
    assert machine.phase('j') is FAILED


def test_a_snapshot_contains_the_crashes():
    machine = _machine()
    _run_and_crash(machine, STARTING)
    restored = _state.JobsState(helpers.decode_policy)
    restored.restore(machine.state.snapshot())
    assert restored.jobs == machine.state.jobs
    assert restored.suspects == machine.state.suspects != set()


def test_a_snapshot_without_crashes_is_that_of_an_earlier_version():
    """Fields with their default value are left out and may be missing."""
    machine = _machine()
    assert machine.assign('j.0.0.0', 1)
    machine.end('j.0.0.0', 1, jobs.RunOutcome.LAPSED, 'c1')
    snapshot = messages.decode(machine.state.snapshot()).unwrap()
    (task,) = snapshot.jobs[0].steps[0].tasks
    earlier = dataclasses.astuple(task)[:EARLIER_FIELDS_COUNT]
    assert _snapshots._Task(*earlier) == task
    restored = _state.JobsState(helpers.decode_policy)
    restored.restore(machine.state.snapshot())
    assert restored.jobs == machine.state.jobs
