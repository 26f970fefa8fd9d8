"""Urgent late work beside less urgent work that can wait for it.

The load: four kinds of jobs that together need far more than the fleet for
some seconds. Short urgent jobs miss their objective by little then.
"""

import functools
import statistics
from unittest import mock

from dandeliondrum.jobs import queueing
from dandeliondrum.jobs.queueing import _late_work
from dandeliondrum.jobs.queueing.tests import test_deferral
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import load_simulation as simulation
from dandeliondrum import messages

SEEDS = range(3)
NOW_MS = 100_000
ROOM = queueing.PoolRoom(
    messages.Resources(10_000, 10_000), messages.Resources(0, 10_000)
)
CLASSES = test_deferral.LOADS['all']


@functools.cache
def _plays(lets_late_work_first):
    places = _late_work.places if lets_late_work_first else lambda *_: []
    with mock.patch.object(_late_work, 'places', places):
        return [
            simulation.Simulation(
                CLASSES, test_deferral.WORKERS_COUNT, seed
            ).run(test_deferral.TRAFFIC_MS, test_deferral.END_MS)
            for seed in SEEDS
        ]


def _mean(lets_late_work_first, name, figure):
    return statistics.mean(
        figure(job)
        for play in _plays(lets_late_work_first)
        for job in play.jobs_of(name)
    )


def test_fewer_urgent_jobs_become_of_no_use():
    useful = simulation.SimulatedJob.useful
    lost_before = 1 - _mean(False, 'urgent', useful)
    assert 1 - _mean(True, 'urgent', useful) <= 0.7 * lost_before


def test_other_jobs_are_worth_as_much_to_their_callers():
    value = simulation.SimulatedJob.value
    for kind in CLASSES:
        before = _mean(False, kind.name, value)
        assert _mean(True, kind.name, value) >= before - 0.015


def _demand(name, priority, tasks_count, run_ms, latest_start_ms, urgency):
    return helpers.demand(
        name,
        helpers.step(tasks_count, cpu=1_000, expected_run_ms=run_ms),
        priority=priority,
        objective_ms=10_000,
        latest_start_ms=latest_start_ms,
        left_core_ms=float(tasks_count * run_ms),
        urgency=urgency,
    )


def _late(name, priority=0, tasks_count=1, run_ms=200):
    return _demand(
        name, priority, tasks_count, run_ms, NOW_MS, queueing.Urgency.LATE
    )


def _in_time(name, slack_ms, priority=1):
    """Return a demand that can begin when all that runs has ended."""
    return _demand(
        name, priority, 10, 2_000, NOW_MS + slack_ms, queueing.Urgency.IN_TIME
    )


def _ordered(demands, running_ms=0):
    running = queueing.Running()
    running.add('team', 1, messages.Resources(10_000, 0), running_ms)
    contention = queueing.Contention({'pool': ROOM}, {'pool': running})
    ordered = queueing.order(demands, contention, NOW_MS)
    return [demand.job_id for demand in ordered]


def test_late_work_goes_before_less_urgent_work_with_slack():
    assert _ordered([_in_time('other', 5_000), _late('late')]) == [
        'late', 'other',
    ]  # fmt: skip


def test_late_work_goes_behind_what_would_be_late_for_it():
    assert _ordered([_in_time('other', 100), _late('late')]) == [
        'other', 'late',
    ]  # fmt: skip


def test_the_slack_is_that_at_the_forecast_start():
    """Work ahead in the order, or running, uses it up."""
    demands = [_in_time('other', 5_000), _late('late')]
    assert _ordered(demands, running_ms=4_900) == ['other', 'late']


def test_late_work_goes_between_what_can_wait_and_what_can_not():
    demands = [_in_time('near', 150), _in_time('far', 9_000), _late('late')]
    assert _ordered(demands) == ['near', 'late', 'far']


def test_late_work_goes_behind_work_as_urgent():
    demands = [_in_time('other', 9_000, priority=0), _late('late')]
    assert _ordered(demands) == ['other', 'late']


def test_large_late_work_goes_behind_smaller_work():
    """One large job would cost several callers their objective."""
    demands = [_in_time('other', 9_000), _late('late', 0, 8, 1_000)]
    assert _ordered(demands) == ['other', 'late']


def test_late_work_goes_first_only_as_long_as_others_can_wait():
    late = [_late(f'late {n:02}', run_ms=2_000) for n in range(20)]
    ordered = _ordered([_in_time('other', 2_000), *late])
    assert 5 <= ordered.index('other') <= 10


def test_the_cause_is_told():
    demands = [_in_time('other', 5_000), _late('late')]
    _ordered(demands)
    assert [queueing.cause_of(one) for one in demands] == [
        queueing.Cause.ORDER, queueing.Cause.OTHERS_CAN_WAIT,
    ]  # fmt: skip
