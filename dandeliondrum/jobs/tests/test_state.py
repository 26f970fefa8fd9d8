"""The replicated state of jobs."""

import dataclasses

from dandeliondrum import jobs
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _demands
from dandeliondrum.jobs import _state
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages


def test_a_job_is_accepted_once():
    machine = helpers.Machine()
    command = _commands.SubmitJob(helpers.job('j', helpers.step()))
    machine(command)
    machine.assign('j.0.0.0')
    machine.end('j.0.0.0')
    assert machine(command) is jobs.JobPhase.DONE
    assert len(machine.state.jobs) == 1


def test_a_task_runs_in_one_place_at_a_time():
    machine = helpers.Machine(('w1', 'w2'))
    machine(_commands.SubmitJob(helpers.job('j', helpers.step())))
    assert machine.assign('j.0.0.0')
    assert not machine.assign('j.0.0.0', run=2, worker_id='w2')


def test_a_run_number_is_never_used_again():
    machine = helpers.Machine()
    machine(_commands.SubmitJob(helpers.job('j', helpers.step())))
    machine.assign('j.0.0.0')
    machine.end('j.0.0.0', outcome=jobs.RunOutcome.LOST)
    assert not machine.assign('j.0.0.0', run=1)
    assert machine.assign('j.0.0.0', run=2)


def test_a_step_waits_for_the_steps_before_it():
    machine = helpers.Machine()
    spec = helpers.job('j', helpers.step(2), helpers.step(after=(0,)))
    machine(_commands.SubmitJob(spec))
    machine.assign('j.0.0.0')
    machine.end('j.0.0.0')
    assert not machine.assign('j.0.1.0')
    machine.assign('j.0.0.1')
    machine.end('j.0.0.1')
    assert machine.assign('j.0.1.0')


def test_only_failures_count_as_attempts():
    machine = helpers.Machine()
    machine(_commands.SubmitJob(helpers.job('j', helpers.step())))
    for run in range(1, 5):
        machine.assign('j.0.0.0', run)
        machine.begin('j')
        machine.end('j.0.0.0', run, jobs.RunOutcome.LAPSED)
    assert machine.phase('j') is jobs.JobPhase.RUNNING
    for run in range(5, 8):
        machine.assign('j.0.0.0', run)
        machine.end('j.0.0.0', run, jobs.RunOutcome.FAILED)
    assert machine.phase('j') is jobs.JobPhase.FAILED


def test_an_end_of_an_earlier_run_does_not_end_the_current_one():
    machine = helpers.Machine()
    machine(_commands.SubmitJob(helpers.job('j', helpers.step())))
    machine.assign('j.0.0.0')
    machine.end('j.0.0.0', outcome=jobs.RunOutcome.LOST)
    machine.assign('j.0.0.0', run=2)
    machine.end('j.0.0.0', run=1, outcome=jobs.RunOutcome.FAILED)
    task = machine.task('j.0.0.0')
    assert (task.run, task.worker_id, task.failures_count) == (2, 'w1', 0)


def test_a_late_end_as_done_completes_a_task_that_waits():
    machine = helpers.Machine()
    machine(_commands.SubmitJob(helpers.job('j', helpers.step())))
    machine.assign('j.0.0.0')
    machine.end('j.0.0.0', outcome=jobs.RunOutcome.LAPSED)
    machine.end('j.0.0.0', outcome=jobs.RunOutcome.DONE)
    assert machine.phase('j') is jobs.JobPhase.DONE


def test_one_end_of_a_gang_stands_for_all_members():
    machine = helpers.Machine()
    spec = helpers.job('j', helpers.step(2, gang=True))
    machine(_commands.SubmitJob(spec))
    machine.assign('j.0.0.0')
    machine.assign('j.0.0.1')
    machine.end('j.0.0.0')
    assert machine.phase('j') is jobs.JobPhase.DONE
    assert machine.state.workers['w1'].used.cpu_millicores == 1_000
    machine.end('j.0.0.1', outcome=jobs.RunOutcome.LAPSED)
    assert machine.state.workers['w1'].used.cpu_millicores == 0
    assert machine.phase('j') is jobs.JobPhase.DONE


def test_a_gang_that_failed_counts_one_attempt():
    machine = helpers.Machine()
    spec = helpers.job('j', helpers.step(2, gang=True))
    machine(_commands.SubmitJob(spec))
    for run in (1, 2):
        machine.assign('j.0.0.0', run)
        machine.assign('j.0.0.1', run)
        machine.end('j.0.0.0', run, jobs.RunOutcome.FAILED)
        machine.end('j.0.0.1', run, jobs.RunOutcome.FAILED)
    assert machine.phase('j') is jobs.JobPhase.RUNNING


def test_members_of_a_gang_wait_until_the_last_one_is_gone():
    machine = helpers.Machine()
    spec = helpers.job('j', helpers.step(2, gang=True))
    machine(_commands.SubmitJob(spec))
    machine.assign('j.0.0.0')
    machine.assign('j.0.0.1')
    machine.end('j.0.0.0', outcome=jobs.RunOutcome.LOST)
    job = machine.state.jobs['j']
    assert _demands.waiting_indexes(job, 0) == ()
    machine.end('j.0.0.1', outcome=jobs.RunOutcome.STOPPED)
    assert _demands.waiting_indexes(job, 0) == (0, 1)


def test_a_cancelled_job_keeps_its_place_until_its_runs_end():
    machine = helpers.Machine()
    machine(_commands.SubmitJob(helpers.job('j', helpers.step(2))))
    machine.assign('j.0.0.0')
    assert machine(_commands.CancelJob('j')) is jobs.JobPhase.CANCELLED
    assert machine.state.workers['w1'].used.cpu_millicores == 1_000
    assert not machine.assign('j.0.0.1')
    machine.end('j.0.0.0', outcome=jobs.RunOutcome.STOPPED)
    assert machine.state.workers['w1'].used.cpu_millicores == 0
    assert machine.phase('j') is jobs.JobPhase.CANCELLED


def test_a_draining_worker_takes_nothing_new():
    machine = helpers.Machine()
    machine(_commands.SubmitJob(helpers.job('j', helpers.step())))
    machine(
        _commands.PutWorker(
            helpers.facts('w1', phase=jobs.WorkerPhase.DRAINING)
        )
    )
    assert not machine.assign('j.0.0.0')


def test_a_run_is_not_assigned_to_a_worker_that_has_shrunk():
    machine = helpers.Machine(('w1', 'w2'))
    machine(_commands.SubmitJob(helpers.job('j', helpers.step(3))))
    filling = helpers.step(2, uses_idle_cpu=True)
    machine(_commands.SubmitJob(helpers.job('fills', filling)))
    assert machine.assign('j.0.0.0')
    machine(_commands.PutWorker(helpers.facts('w1', 1_500)))
    assert not machine.assign('j.0.0.1')
    assert machine.assign('fills.0.0.0')
    machine(_commands.PutWorker(helpers.facts('w1', 500)))
    # What is being stopped still counts, and so does what runs.
    assert not machine.assign('fills.0.0.1')
    machine.end('j.0.0.0', outcome=jobs.RunOutcome.STOPPED)
    assert machine.assign('fills.0.0.1')
    assert not machine.assign('j.0.0.1')
    machine(_commands.PutWorker(helpers.facts('w1', 1_000)))
    assert machine.assign('j.0.0.1')


def test_a_gang_that_does_not_fit_any_more_is_not_assigned_in_part():
    machine = helpers.Machine(('w1', 'w2'))
    gang = helpers.step(3, gang=True)
    machine(_commands.SubmitJob(helpers.job('j', gang)))
    machine(_commands.PutWorker(helpers.facts('w1', 1_999)))
    group = tuple(
        _commands.RunAssignment(
            jobs.parse_task_key(f'j.0.0.{index}'), 1, messages.WorkerId(name)
        )
        for index, name in enumerate(('w2', 'w1', 'w1'))
    )
    assert machine(_commands.AssignRuns((group,))) == (False,)
    assert machine.state.workers['w2'].runs == {}
    machine(_commands.PutWorker(helpers.facts('w1', 2_000)))
    assert machine(_commands.AssignRuns((group,))) == (True,)


def test_facts_of_an_older_report_change_nothing():
    machine = helpers.Machine(())
    shrunk, restarted = helpers.facts('w1', 1_000), helpers.facts('w1', 500)
    restarted = dataclasses.replace(restarted, started_ms=2)
    assert machine(_commands.PutWorker(shrunk, 7))
    assert not machine(_commands.PutWorker(helpers.facts('w1', 4_000), 6))
    assert machine.state.workers['w1'].facts == shrunk
    # The sequence starts anew in each incarnation.
    assert machine(_commands.PutWorker(restarted, 1))
    assert not machine(_commands.PutWorker(shrunk, 8))
    assert machine.state.workers['w1'].facts == restarted


def test_a_snapshot_without_the_sequences_of_reports_is_read():
    machine = helpers.Machine(('w1', 'w2'))
    machine(_commands.PutWorker(helpers.facts('w1', 1_000), 7))
    snapshot = messages.decode(machine.state.snapshot()).unwrap()
    earlier = dataclasses.replace(snapshot, sequences=())
    machine.state.restore(messages.encode(earlier))
    workers = machine.state.workers
    assert [workers[name].sequence for name in ('w1', 'w2')] == [0, 0]
    assert workers['w1'].facts == helpers.facts('w1', 1_000)


def test_the_highest_policy_is_in_force():
    machine = helpers.Machine()
    assert machine(_commands.PutPolicy(5, helpers.document(5))) == 5
    assert machine(_commands.PutPolicy(4, helpers.document(4))) == 5
    assert machine.state.document == helpers.document(5)


def test_a_worker_with_runs_is_not_forgotten():
    machine = helpers.Machine()
    machine(_commands.SubmitJob(helpers.job('j', helpers.step())))
    machine.assign('j.0.0.0')
    remove = _commands.RemoveWorker(messages.WorkerId('w1'))
    assert not machine(remove)
    machine.end('j.0.0.0')
    assert machine(remove)


def test_a_snapshot_holds_all():
    machine = helpers.Machine()
    spec = helpers.job('j', helpers.step(2), helpers.step(2, gang=True))
    machine(_commands.SubmitJob(spec))
    machine.assign('j.0.0.0')
    machine.end('j.0.0.0', outcome=jobs.RunOutcome.FAILED, checkpoint='c')
    machine.assign('j.0.0.1')
    machine.assign('j.0.1.0')
    machine.end('j.0.1.0')
    machine(_commands.PutWorker(helpers.facts('w1', 500), 7))
    restored = _state.JobsState(helpers.decode_policy)
    restored.restore(machine.state.snapshot())
    assert restored.snapshot() == machine.state.snapshot()
    assert restored.jobs == machine.state.jobs
    assert restored.workers == machine.state.workers
    assert restored.team_used == machine.state.team_used
    assert restored.policy == machine.state.policy
    assert restored.open_jobs.keys() == {'j'}


def test_task_keys_are_parsed():
    key = jobs.parse_task_key('5c0e7a21d94b36f8.0.1.17')
    assert (key.step, key.index) == (1, 17)
    assert str(key) == '5c0e7a21d94b36f8.0.1.17'
    assert jobs.parse_task_key('5c0e7a21.x.1.17') is None


def test_invalid_jobs_are_rejected():
    assert jobs.find_job_problem(helpers.job('j'))
    assert jobs.find_job_problem(helpers.job('j', helpers.step(0)))
    assert jobs.find_job_problem(helpers.job('j', helpers.step(after=(0,))))
    assert not jobs.find_job_problem(helpers.job('j', helpers.step()))
