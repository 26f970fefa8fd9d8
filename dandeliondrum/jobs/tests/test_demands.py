"""Demands of due steps, and the resources that teams may still use."""

import dataclasses
import random
import threading

from dandeliondrum import jobs
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _demands
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages


def _due(machine):
    return [
        (demand.step, demand.indexes)
        for demand, _ in _demands.open_demands(machine.state)
    ]


def _limited(machine, **amounts):
    limit = messages.Resources(
        **{'cpu_millicores': 0, 'memory_mb': 0, **amounts}
    )
    team = jobs.TeamPolicy(helpers.TEAM, ('key',), 1, limit)
    machine.state.policy = dataclasses.replace(
        machine.state.policy, teams=(team,)
    )


def test_only_steps_whose_turn_has_come_are_due():
    machine = helpers.Machine()
    steps = (helpers.step(2), helpers.step(), helpers.step(after=(0, 1)))
    machine(_commands.SubmitJob(helpers.job('j', *steps)))
    assert _due(machine) == [(0, (0, 1)), (1, (0,))]
    for task in ('j.0.0.0', 'j.0.0.1'):
        assert machine.assign(task)
        machine.end(task)
    assert _due(machine) == [(1, (0,))]
    assert machine.assign('j.0.1.0')
    machine.end('j.0.1.0')
    assert _due(machine) == [(2, (0,))]


def test_a_team_may_start_what_its_limit_leaves():
    machine = helpers.Machine()
    _limited(machine, cpu_millicores=2_500)
    machine(_commands.SubmitJob(helpers.job('j', helpers.step(3))))
    assert machine.assign('j.0.0.0')
    available = _demands.team_available(machine.state)[helpers.TEAM]
    assert available.cpu_millicores == 1_500
    assert helpers.step().resources.fits_in(available)
    assert machine.assign('j.0.0.1')
    available = _demands.team_available(machine.state)[helpers.TEAM]
    assert not helpers.step().resources.fits_in(available)


def test_what_is_being_stopped_counts_for_the_limit():
    machine = helpers.Machine()
    _limited(machine, cpu_millicores=1_000)
    machine(_commands.SubmitJob(helpers.job('j', helpers.step())))
    assert machine.assign('j.0.0.0')
    machine(_commands.CancelJob(jobs.JobId('j')))
    available = _demands.team_available(machine.state)[helpers.TEAM]
    assert available.cpu_millicores == 0


def test_a_team_without_a_limit_has_no_bound():
    machine = helpers.Machine()
    _limited(machine)
    assert helpers.TEAM not in _demands.team_available(machine.state)


def _random_command(rng, machine, number):
    """Return a random command about the jobs so far."""
    jobs_list = list(machine.state.jobs.values())
    kind = rng.choice(('submit', 'assign', 'assign', 'end', 'end', 'cancel'))
    if kind == 'submit' or not jobs_list:
        steps = tuple(
            helpers.step(
                rng.randint(1, 3),
                gang=rng.random() < 0.3,
                after=tuple(range(at)) if rng.random() < 0.5 else (),
                per_worker_max=rng.choice((0, 0, 2)),
            )
            for at in range(rng.randint(1, 3))
        )
        return _commands.SubmitJob(helpers.job(f'j{number}', *steps))
    job = rng.choice(jobs_list)
    job_id = job.spec.job_id
    step = rng.randrange(len(job.steps))
    index = rng.randrange(len(job.steps[step].tasks))
    key = jobs.TaskKey(job_id, step, index)
    run = job.steps[step].tasks[index].run
    match kind:
        case 'assign':
            worker_id = messages.WorkerId(rng.choice(('w1', 'w2')))
            assignment = _commands.RunAssignment(key, run + 1, worker_id)
            return _commands.AssignRuns(((assignment,),))
        case 'end':
            outcome = rng.choice(list(jobs.RunOutcome))
            return _commands.EndRuns((jobs.RunEnd(key, run, outcome),))
    return _commands.CancelJob(job_id)


def test_cached_demands_are_those_computed_anew():
    rng = random.Random(1)
    for _ in range(20):
        machine = helpers.Machine(('w1', 'w2'))
        cache = _demands.DemandCache()
        version = 1
        for number in range(120):
            machine(_random_command(rng, machine, number))
            if rng.random() < 0.05:
                version += 1
                document = helpers.document(version, rng.random() < 0.5)
                machine(_commands.PutPolicy(version, document))
            if rng.random() < 0.03:
                machine.state.restore(machine.state.snapshot())
            if rng.random() < 0.5:
                found = cache.read(machine.state)
                assert found == list(_demands.open_demands(machine.state))


def test_an_unchanged_job_keeps_its_cached_demands():
    machine = helpers.Machine()
    machine(_commands.SubmitJob(helpers.job('j1', helpers.step(2))))
    machine(_commands.SubmitJob(helpers.job('j2', helpers.step(2))))
    cache = _demands.DemandCache()
    before = [demand for demand, _ in cache.read(machine.state)]
    assert machine.assign('j2.0.0.0')
    after = [demand for demand, _ in cache.read(machine.state)]
    assert after[0] is before[0]
    assert after[1].indexes == (1,)


def _read_workers(cache, machine, penalty=0):
    return cache.read(
        (worker, penalty) for worker in machine.state.workers.values()
    )


def test_a_worker_that_runs_more_than_it_has_does_not_hide_free_processors():
    workers = [
        helpers.available_worker('w1', -2_000),
        helpers.available_worker('w2', 4_000),
        helpers.available_worker(
            'w3', 0, capacity=messages.Resources(0, 1_000)
        ),
    ]
    assert _demands.free_cpu_share(workers) == 0.5
    assert _demands.free_cpu_share(workers[2:]) == 0.0


def test_cached_workers_have_the_resources_that_are_free_now():
    machine = helpers.Machine(('w1', 'w2'))
    machine(_commands.SubmitJob(helpers.job('j', helpers.step(2))))
    cache = _demands.WorkerCache()
    for worker in _read_workers(cache, machine):
        worker.free, worker.reserved = messages.Resources(0, 0), True
    assert machine.assign('j.0.0.0')
    machine(_commands.PutWorker(helpers.facts('w2', cpu=9_000)))
    first, second = _read_workers(cache, machine, penalty=2)
    assert (first.free.cpu_millicores, first.reserved) == (3_000, False)
    assert second.free.cpu_millicores == second.capacity.cpu_millicores
    assert second.capacity.cpu_millicores == 9_000
    assert first.penalty == second.penalty == 2
    machine.end('j.0.0.0')
    machine(_commands.RemoveWorker(messages.WorkerId('w2')))
    (first,) = _read_workers(cache, machine)
    assert first.free == first.capacity


def test_running_work_ends_after_what_is_left_of_its_declared_time():
    machine = helpers.Machine()
    steps = (
        helpers.step(expected_run_ms=2_000),
        helpers.step(expected_run_ms=2_000, endless=True),
    )
    machine(_commands.SubmitJob(helpers.job('j', *steps)))
    assert machine.assign('j.0.0.0')
    assert machine.assign('j.0.1.0')
    orders = _orders.OrderBook(threading.RLock())
    books = {'w1': orders, 'gone': orders}
    now_ms = _clock.elapsed_ms()
    running = _demands.running_work(machine.state, books, now_ms)['pool']
    used = running.used[helpers.TEAM][1]
    assert used.cpu_millicores == 2_000
    assert {
        ends_in_ms: amount.cpu_millicores
        for ends_in_ms, amount in running.ends.items()
    } == {2_000: 1_000}
    key = jobs.parse_task_key('j.0.0.0')
    orders.mark_listed(key, 1, '')
    for elapsed_ms, left_ms in ((550, 1_400), (9_000, 200)):
        then_ms = _clock.elapsed_ms() + elapsed_ms
        running = _demands.running_work(machine.state, books, then_ms)['pool']
        assert list(running.ends) == [left_ms]
