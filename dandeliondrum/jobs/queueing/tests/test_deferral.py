"""The choice of what to defer if not all work can be in time, and its bound.

The loads: a kind of steps with 120 tasks of 6 s on 4.5 cores, sent four times
as often as usual for 5 s, beside steps with 3 tasks of 0.6 s and others; and
2.6 times the usual load of all kinds.
"""

import functools
import statistics

from dandeliondrum.jobs import queueing
from dandeliondrum.jobs.queueing import _order
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import load_simulation as simulation
from dandeliondrum.jobs.tests import test_heavy_load
from dandeliondrum import messages

WORKERS_COUNT = 40
TRAFFIC_MS = 20_000
END_MS = 45_000
SEEDS = range(2)
WIDE = (
    simulation.JobClass(
        'wide',
        rate=0.1,
        steps_mean=1.0,
        tasks_count=120,
        run_ms=6_000,
        cpu=4_500,
        priority=1,
        stretch=2.0,
        target_ms=2_000,
        bursts=((8_000, 13_000, 4.0),),
    ),
    simulation.JobClass(
        'narrow',
        rate=8.0,
        steps_mean=1.0,
        tasks_count=3,
        run_ms=600,
        cpu=4_500,
        priority=1,
        stretch=2.0,
        target_ms=1_000,
    ),
)
LOADS = {
    'wide': (*test_heavy_load.classes(0.5), *WIDE),
    'all': test_heavy_load.classes(2.4),
}


@functools.cache
def _values(load, order):
    """Return the mean value of the jobs of each kind."""
    plays = [
        simulation.Simulation(LOADS[load], WORKERS_COUNT, seed, order).run(
            TRAFFIC_MS, END_MS
        )
        for seed in SEEDS
    ]
    return {
        kind.name: statistics.mean(
            job.value() for play in plays for job in play.jobs_of(kind.name)
        )
        for kind in LOADS[load]
    }


def test_wide_steps_push_out_less_of_their_priority_than_before():
    before = _values('wide', simulation.Order.LATENESS)
    now = _values('wide', simulation.Order.CURRENT)
    assert now['large'] >= before['large'] + 0.05
    for name in ('middle', 'narrow', 'urgent', 'wide'):
        assert now[name] >= before[name] - 0.01
    assert statistics.mean(now.values()) > statistics.mean(before.values())


def test_more_is_in_time_if_far_more_arrives_than_fits():
    before = _values('all', simulation.Order.LATENESS)
    now = _values('all', simulation.Order.CURRENT)
    assert now['urgent'] >= before['urgent'] - 0.01
    assert statistics.mean(now.values()) > statistics.mean(before.values())


def test_a_step_that_would_be_late_alone_keeps_its_place():
    demands = [_step('first', 10, 500, 700), _step('next', 10, 500, 1_400)]
    assert _deferred(demands, ends=[(800, 10_000)]) == set()


def test_the_start_is_forecast_behind_the_work_ahead_in_the_order():
    room = queueing.PoolRoom(
        messages.Resources(10_000, 10_000),
        messages.Resources(4_000, 10_000),
    )
    running = queueing.Running()
    running.add('team', 1, messages.Resources(6_000, 0), 700)
    demands = [_step('a', 4, 500, 0), _step('b', 4, 900, 0)]
    demands += [_step('c', 5, 100, 0), _step('d', 10, 100, 0)]
    assert queueing.starts_ms(demands, room, running) == [0, 500, 700, 900]


def _step(name, tasks_count, run_ms, latest_start_ms, **more):
    return helpers.demand(
        name,
        helpers.step(tasks_count, cpu=1_000, expected_run_ms=run_ms),
        objective_ms=10_000,
        latest_start_ms=latest_start_ms,
        left_core_ms=float(tasks_count * run_ms),
        **more,
    )


def _deferred(demands, free=0, ends=()):
    """Return what is deferred in a pool of 10 cores."""
    room = queueing.PoolRoom(
        messages.Resources(10_000, 10_000), messages.Resources(free, 10_000)
    )
    running = queueing.Running()
    for ends_in_ms, cpu in ends:
        running.add('team', 1, messages.Resources(cpu, 0), ends_in_ms)
    contention = queueing.Contention({'pool': room}, {'pool': running})
    ordered = queueing.order(demands, contention, 0)
    return {one.job_id for one in ordered if one.standing.is_deferred}


def test_the_step_that_is_worth_least_for_its_work_is_deferred():
    wide = _step('wide', 10, 6_000, 1_000)
    narrow = [_step(f'{n}', 3, 500, 1_500 + n, value=0.9) for n in range(2)]
    found = _deferred([wide, *narrow], ends=[(800, 10_000)])
    assert found == {'wide'}


def test_nothing_is_deferred_if_all_can_be_in_time_one_after_the_other():
    demands = [_step(f'{n}', 10, 500, 800 + 500 * n) for n in range(4)]
    assert _deferred(demands, ends=[(800, 10_000)]) == set()


def test_a_step_of_more_tasks_than_the_pool_has_room_for_runs_in_waves():
    demands = [_step('waves', 25, 500, 1_000), _step('next', 5, 500, 1_001)]
    assert _deferred(demands, free=10_000) == set()
    assert _deferred(demands, free=5_000) == {'waves'}


def test_a_more_urgent_step_is_not_deferred_for_a_less_urgent_one():
    urgent = _step('urgent', 10, 6_000, 1_000, priority=0)
    other = _step('other', 1, 100, 2_000)
    assert _deferred([urgent, other], free=10_000) == set()


def test_work_without_an_objective_is_not_deferred():
    plain = helpers.demand('plain', helpers.step(10, expected_run_ms=9_000))
    other = _step('other', 10, 500, 1_000)
    assert _deferred([plain, other], free=10_000) == set()


def test_what_is_deferred_goes_before_what_is_late():
    late = _step('late', 1, 100, -1, urgency=queueing.Urgency.LATE)
    demands = [_step('deferred', 10, 100, 10), _step('kept', 10, 100, 150)]
    room = queueing.PoolRoom(
        messages.Resources(10_000, 10_000), messages.Resources(0, 0)
    )
    running = queueing.Running()
    running.add('team', 1, messages.Resources(10_000, 0), 100)
    contention = queueing.Contention({'pool': room}, {'pool': running})
    ordered = queueing.order([late, *demands], contention, 0)
    assert [one.job_id for one in ordered] == ['kept', 'deferred', 'late']
    causes = [queueing.cause_of(one).name for one in ordered]
    assert causes == ['ORDER', 'DEFERRED', 'LATE']


def test_a_pool_without_free_room_or_known_ends_ends_the_forecast():
    # A forecast that reused an empty piece of room would never end.
    assert _deferred([_step('a', 3, 500, 100)]) == set()
    assert _deferred([_step('a', 99, 1, 100)], free=1) == set()


def test_the_wait_for_capacity_is_bounded_under_lasting_overload(monkeypatch):
    monkeypatch.setattr(_order, 'WAIT_MAX_MS', 4_000)
    kinds = (
        simulation.JobClass(
            'wide',
            rate=40.0,
            steps_mean=1.0,
            tasks_count=6,
            run_ms=2_000,
            cpu=4_500,
            priority=2,
            stretch=1.5,
            target_ms=500,
            bursts=((50, 10**9, 0.0),),
        ),
        simulation.JobClass(
            'flood',
            rate=6.0,
            steps_mean=1.0,
            tasks_count=3,
            run_ms=600,
            cpu=4_500,
            priority=1,
            stretch=1.5,
            target_ms=500,
        ),
    )
    play = simulation.Simulation(kinds, 2, 1).run(30_000, 30_000)
    first, *_ = play.jobs_of('wide')
    assert first.ended_ms is not None
    assert 4_000 < first.ended_ms < 15_000
    assert all(job.ended_ms is not None for job in play.jobs_of('wide'))
