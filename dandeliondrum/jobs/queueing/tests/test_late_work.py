"""Work that is late or of no more use, beside work that can be in time.

The load: two kinds of jobs of one priority that together need 2.6 times the
fleet for 12 s, and a third of that afterwards.
"""

import functools

from dandeliondrum.jobs import queueing
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import load_simulation as simulation

WORKERS_COUNT = 6
OVERLOAD_MS = 12_000
TRAFFIC_MS = 24_000
END_MS = 140_000
SEEDS = range(3)
AFTER_OVERLOAD = ((OVERLOAD_MS, TRAFFIC_MS, 0.33),)
CLASSES = (
    simulation.JobClass(
        'large',
        rate=0.27,
        steps_mean=1.2,
        tasks_count=20,
        run_ms=5_000,
        cpu=4_500,
        priority=1,
        stretch=2.2,
        target_ms=1_200,
        bursts=AFTER_OVERLOAD,
    ),
    simulation.JobClass(
        'small',
        rate=4.0,
        steps_mean=1.0,
        tasks_count=6,
        run_ms=1_500,
        cpu=2_800,
        priority=1,
        stretch=1.5,
        target_ms=1_000,
        bursts=AFTER_OVERLOAD,
    ),
)


@functools.cache
def _played(order):
    plays = [
        simulation.Simulation(CLASSES, WORKERS_COUNT, seed, order).run(
            TRAFFIC_MS, END_MS
        )
        for seed in SEEDS
    ]
    return [job for play in plays for job in play.jobs]


def _count(order, counts):
    return sum(counts(job) for job in _played(order))


def test_more_late_jobs_are_of_use_than_in_the_order_of_their_deadlines():
    before = _count(simulation.Order.LATENESS, simulation.SimulatedJob.late)
    now = _count(simulation.Order.CURRENT, simulation.SimulatedJob.late)
    assert now >= 1.5 * before


def test_as_many_jobs_are_in_time_as_in_the_order_of_their_deadlines():
    in_time = simulation.SimulatedJob.in_time
    before = _count(simulation.Order.LATENESS, in_time)
    assert _count(simulation.Order.CURRENT, in_time) >= before


def test_jobs_of_no_more_use_are_still_run():
    assert all(
        job.ended_ms is not None for job in _played(simulation.Order.CURRENT)
    )


def _demand(name, urgency, **more):
    return helpers.demand(name, helpers.step(), urgency=urgency, **more)


def test_what_is_of_no_more_use_goes_behind_everything_else():
    demands = [
        _demand('no use', queueing.Urgency.NO_USE, priority=0),
        _demand('late', queueing.Urgency.LATE, priority=1),
        _demand('in time', queueing.Urgency.IN_TIME, priority=2),
    ]
    demands.sort(key=queueing.sort_key)
    assert [one.job_id for one in demands] == ['in time', 'late', 'no use']


def test_late_work_goes_by_priority_and_then_by_value_for_the_work_left():
    late = queueing.Urgency.LATE
    demands = [
        _demand('large', late, left_core_ms=900.0, value=1.7),
        _demand('small', late, left_core_ms=100.0, value=0.4),
        _demand('begun', late, left_core_ms=300.0, value=1.7),
        _demand('urgent', late, left_core_ms=9_000.0, priority=0),
    ]
    demands.sort(key=queueing.sort_key)
    assert [one.job_id for one in demands] == [
        'urgent', 'begun', 'small', 'large',
    ]  # fmt: skip


def test_a_job_is_of_no_more_use_after_three_times_its_objective():
    step = helpers.step(expected_run_ms=1_000)
    queue = helpers.queue(2.0, 500)
    (slack_ms,) = queueing.slack_ms([step], queue)
    objective_ms = queueing.objective_ms([step], queue)
    found = [
        queueing.urgency_at(now_ms, slack_ms, objective_ms)
        for now_ms in (1_500, 1_501, 6_500, 6_501)
    ]
    assert found == [
        queueing.Urgency.IN_TIME,
        queueing.Urgency.LATE,
        queueing.Urgency.LATE,
        queueing.Urgency.NO_USE,
    ]


def test_work_without_an_objective_is_never_late():
    urgency = queueing.urgency_at(10**9, 0, None)
    assert urgency is queueing.Urgency.IN_TIME


def test_the_value_of_a_job_grows_with_its_work_up_to_a_limit():
    means = queueing.KindMeans()
    jobs = [
        helpers.job('j', helpers.step(count, expected_run_ms=100))
        for count in (10, 5, 20, 100)
    ]
    means.record(jobs[0])
    found = [round(means.value(job), 2) for job in jobs]
    assert found == [1.0, 0.65, 1.7, 4.0]
