"""Late demands that a round leaves to a later one."""

import pytest

from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import queueing
from dandeliondrum.jobs.queueing import _backlog
from dandeliondrum.jobs.tests import helpers

LATE_CLASSES = [queueing.Urgency.LATE, queueing.Urgency.NO_USE]


def _demand(job_id, urgency):
    return _planner.Demand(
        job_id, 0, helpers.step(), 'team', 'pool', 0, 0, (0,), urgency=urgency
    )


def _demands(count, urgency):
    return [
        _demand(f'{urgency.name}-{number:03}', urgency)
        for number in range(count)
    ]


def test_all_demands_that_can_be_in_time_are_considered():
    """Otherwise a crowd would delay work that can still be in time."""
    in_time = _demands(300, queueing.Urgency.IN_TIME)
    late = [one for urgency in LATE_CLASSES for one in _demands(300, urgency)]
    postponed = queueing.Backlog().postponed(in_time + late)
    assert postponed
    assert postponed.isdisjoint((one.job_id, one.step) for one in in_time)


@pytest.mark.parametrize('urgency', LATE_CLASSES)
def test_a_short_backlog_is_considered_as_a_whole(urgency):
    kept_max = sum(_backlog.LIMITS[urgency])
    assert queueing.Backlog().postponed(_demands(kept_max, urgency)) == set()


@pytest.mark.parametrize('urgency', LATE_CLASSES)
def test_each_late_demand_gets_its_turn(urgency):
    """Otherwise one that can't be placed would block those behind it."""
    backlog = queueing.Backlog()
    demands = _demands(300, urgency)
    keys = {(one.job_id, one.step) for one in demands}
    first_max, in_turn_max = _backlog.LIMITS[urgency]
    rounds_count = -(-(300 - first_max) // in_turn_max)
    considered = set()
    for _ in range(rounds_count):
        kept = keys - backlog.postponed(demands)
        assert len(kept) == first_max + in_turn_max
        considered |= kept
    assert considered == keys


def test_what_is_late_is_considered_more_than_what_is_of_no_use():
    """Otherwise late work would wait until it is of no use as well."""
    demands = [
        one for urgency in LATE_CLASSES for one in _demands(300, urgency)
    ]
    postponed = queueing.Backlog().postponed(demands)
    kept = [one for one in demands if (one.job_id, one.step) not in postponed]
    late = [one for one in kept if one.urgency is queueing.Urgency.LATE]
    assert len(late) > 2 * (len(kept) - len(late))
