"""Demands of no more use that a round leaves to a later one."""

from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import queueing
from dandeliondrum.jobs.queueing import _backlog
from dandeliondrum.jobs.tests import helpers


def _demand(job_id, urgency):
    return _planner.Demand(
        job_id, 0, helpers.step(), 'team', 'pool', 0, 0, (0,), urgency=urgency
    )


def _demands(count, urgency=queueing.Urgency.NO_USE):
    return [
        _demand(f'{urgency.name}-{number:03}', urgency)
        for number in range(count)
    ]


def test_all_demands_of_use_are_considered():
    """Otherwise a crowd would delay work that can still be in time."""
    useful = _demands(300, queueing.Urgency.IN_TIME)
    useful += _demands(300, queueing.Urgency.LATE)
    assert queueing.Backlog().postponed(useful) == set()


def test_a_short_backlog_is_considered_as_a_whole():
    kept_max = _backlog.FIRST_MAX + _backlog.IN_TURN_MAX
    assert queueing.Backlog().postponed(_demands(kept_max)) == set()


def test_each_demand_of_no_use_gets_its_turn():
    """Otherwise one that can't be placed would block those behind it."""
    backlog = queueing.Backlog()
    demands = _demands(200)
    keys = {(one.job_id, one.step) for one in demands}
    considered = set()
    for _ in range(12):
        postponed = backlog.postponed(demands)
        kept = keys - postponed
        assert len(kept) == _backlog.FIRST_MAX + _backlog.IN_TURN_MAX
        considered |= kept
    assert considered == keys
