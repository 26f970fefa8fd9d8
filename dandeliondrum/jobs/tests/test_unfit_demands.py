"""Workers are reserved only for demands that can run on them."""

import contextlib

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _demands
from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _preemption
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import test_cell
from dandeliondrum import messages
from dandeliondrum import testing

WAITED_MS = _planner.RESERVE_AFTER_MS
LASTING = messages.Resources(3_000, 100)


def _demand(spec, name='urgent', **more):
    fields = {'priority': 0, 'waited_ms': WAITED_MS, **more}
    return helpers.demand(name, spec, **fields)


def _workers(count=9, **more):
    return [
        helpers.available_worker(f'w{number}', 3_000, **more)
        for number in range(count)
    ]


def _reserved_count(demand, workers, team_available=None):
    """Plan a demand that does not start; return the workers kept for it."""
    groups = _planner.plan([demand], workers, team_available or {})
    assert groups == []
    return sum(worker.reserved for worker in workers)


def test_a_gang_larger_than_the_fleet_reserves_no_worker():
    """Regression test: it kept a third of the fleet idle (LOST)."""
    workers = _workers()
    gang = helpers.step(10, cpu=4_000, gang=True)
    assert _reserved_count(_demand(gang), workers) == 0
    other = helpers.demand('other', helpers.step(9))
    groups = _planner.plan([_demand(gang), other], workers, {})
    assert len(groups) == 9


def test_a_gang_that_fits_the_empty_fleet_reserves_workers():
    gang = helpers.step(9, cpu=4_000, gang=True)
    assert _reserved_count(_demand(gang), _workers()) == 3


@pytest.mark.parametrize(
    'fields',
    [
        {'required_label': 'b'},
        {'per_worker_max': 1},
    ],
)
def test_a_gang_that_too_few_workers_may_run_reserves_none(fields):
    gang = helpers.step(18, cpu=2_000, gang=True, **fields)
    workers = _workers(8)
    workers.append(helpers.available_worker('w8', 1, labels=frozenset({'b'})))
    assert _reserved_count(_demand(gang), workers) == 0


def test_a_gang_with_too_few_granted_workers_reserves_none():
    gang = helpers.step(9, cpu=4_000, gang=True)
    granted = {f'w{number}' for number in range(8)}
    demand = _demand(gang, granted=granted, tickets={})
    assert _reserved_count(demand, _workers()) == 0
    demand = _demand(gang, granted={*granted, 'w8'}, tickets={})
    assert _reserved_count(demand, _workers()) == 3


def test_room_of_tasks_that_last_is_not_waited_for():
    """Regression test: it was kept for a task that could never start."""
    workers = _workers(endless_used=LASTING)
    large = helpers.step(cpu=4_000)
    assert _reserved_count(_demand(large), workers) == 0
    workers[4] = helpers.available_worker('w4', 3_000)
    assert _reserved_count(_demand(large), workers) == 1
    assert workers[4].reserved


def test_a_worker_with_all_tasks_of_a_step_allowed_is_not_reserved():
    """Regression test: workers were kept that could not take a task."""
    workers = _workers(6)
    step = helpers.step(4, cpu=4_000, per_worker_max=1)
    counts = {f'w{number}': 1 for number in range(5)}
    demand = _demand(step, per_worker_counts=counts)
    assert _reserved_count(demand, workers) == 1
    assert workers[5].reserved


def test_no_more_is_reserved_than_the_limit_of_the_team_allows():
    available = {helpers.TEAM: messages.Resources(4_000, 10_000)}
    demand = _demand(helpers.step(9, cpu=4_000))
    assert _reserved_count(demand, _workers(), available) == 1


def test_no_more_is_stopped_than_the_limit_of_the_team_allows():
    """Regression test: runs were stopped for tasks beyond the limit."""
    workers = _workers(3)

    def runs_of(worker_id):
        task = jobs.parse_task_key(f'{worker_id}.0.0.0')
        charge = messages.Resources(1_000, 10)
        return [
            _preemption.PreemptibleRun(task, 1, worker_id, charge, 5, False)
        ]

    preemption = _preemption.Preemption(runs_of)
    available = {helpers.TEAM: messages.Resources(4_000, 10_000)}
    demand = _demand(helpers.step(3, cpu=4_000))
    _planner.plan([demand], workers, available, preemption)
    assert len(preemption.chosen) == 1


@pytest.mark.parametrize(
    'spec, limit, text',
    [
        (helpers.step(cpu=5_000), None, 'no usable worker'),
        (helpers.step(required_label='b'), None, 'no usable worker'),
        (helpers.step(10, cpu=4_000, gang=True), None, '9 of the 10 tasks'),
        (helpers.step(2, gang=True), 1_500, 'limit'),
        (helpers.step(), 500, 'limit'),
        (helpers.step(9, cpu=4_000, gang=True), None, ''),
        (helpers.step(100, cpu=4_000), None, ''),
        (helpers.step(100), 1_000, ''),
    ],
)
def test_the_reason_why_a_demand_can_not_run_is_reported(spec, limit, text):
    limits = {}
    if limit is not None:
        limits[helpers.TEAM] = messages.Resources(limit, 10_000)
    demand = _demand(spec)
    reasons = _planner.unfit_reasons([demand], _workers(), limits)
    assert bool(text) == bool(reasons)
    assert text in reasons.get((demand.job_id, demand.step), '')


def test_nothing_is_reported_for_a_pool_without_usable_workers():
    demand = _demand(helpers.step())
    assert _planner.unfit_reasons([demand], [], {}) == {}


def test_what_lasts_on_a_worker_is_counted_in_the_state():
    machine = helpers.Machine()
    endless = helpers.step(cpu=3_000, endless=True)
    for name, step in (('a', endless), ('b', helpers.step(cpu=500))):
        machine(_commands.SubmitJob(helpers.job(name, step)))
        assert machine.assign(f'{name}.0.0.0')
    worker = machine.state.workers['w1']
    assert worker.endless_used.cpu_millicores == 3_000
    cache = _demands.WorkerCache()
    (available,) = cache.read([(worker, 0)])
    assert available.obtainable.cpu_millicores == 1_000
    restored = type(machine.state)(helpers.decode_policy)
    restored.restore(machine.state.snapshot())
    assert restored.workers['w1'].endless_used == worker.endless_used
    machine.end('a.0.0.0', 1, jobs.RunOutcome.STOPPED)
    (available,) = cache.read([(worker, 0)])
    assert available.obtainable.cpu_millicores == 4_000


def test_the_caller_of_a_gang_that_does_not_fit_gets_the_reason(tmp_path):
    """Regression test: it was shown as queued without a reason."""
    with contextlib.ExitStack() as resources:
        cell = test_cell.Cell(tmp_path, resources)
        cell.open()
        cell.submit('gang', helpers.step(4, cpu=4_000, gang=True))

        def detail():
            status = cell.gateway.query_status('gang', helpers.TEAM, 1_000)
            return status.value_or(_calls.JobStatus(None)).detail

        testing.wait_until(detail)
        assert '3 of the 4 tasks' in detail()
        cell.submit('small', helpers.step())
        cell.wait_done('small')
        assert cell.phase('gang') is jobs.JobPhase.QUEUED


def test_the_adviser_is_not_asked_about_a_gang_that_does_not_fit(tmp_path):
    """Regression test: the calls delayed those about other steps."""
    with contextlib.ExitStack() as resources:
        cell = test_cell.Cell(tmp_path, resources)
        cell.open(advised=True)
        cell.submit('gang', helpers.step(4, cpu=4_000, gang=True))
        cell.submit('large', helpers.step(cpu=4_001))
        cell.submit('small', helpers.step())
        cell.wait_done('small')
        assert {name for name, _ in cell.adviser.requests} == {'small.0.0'}
