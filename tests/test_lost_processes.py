"""Processes are killed or frozen under load and no invariant is violated.

The histories that are checked are recorded by callers and workers; what the
scheduler itself reports is not used.
"""

import time

import pytest

from dandeliondrum import testing

SETTLE_S = 3
FREEZE_S = 5


def work_of(keys, **fields):
    texts = {team: key.text for team, key in keys.items()}
    return testing.Workload(keys=texts, **fields)


def assert_clean(cell, recorder):
    recorded = recorder.history(cell.journals(), cell.processes.outages)
    assert len(recorded.outcomes) > 50
    assert testing.check(recorded) == ()


@pytest.fixture
def recorder():
    recorder = testing.Recorder()
    recorder.limited('inspectors', running_max=2)
    return recorder


def test_the_leader_is_killed(cell, keys, recorder):
    with testing.Callers(cell, work_of(keys), recorder) as callers:
        testing.wait_until(lambda: callers.answered_count() > 50)
        leader = cell.leader()
        cell.processes.kill(leader)
        time.sleep(SETTLE_S)
        cell.processes.restart(leader)
        time.sleep(1)
    assert_clean(cell, recorder)


def test_the_leader_is_frozen_for_longer_than_the_leases(cell, keys, recorder):
    with testing.Callers(cell, work_of(keys), recorder) as callers:
        testing.wait_until(lambda: callers.answered_count() > 50)
        leader = cell.leader()
        cell.processes.freeze(leader)
        time.sleep(FREEZE_S)
        cell.processes.thaw(leader)
        time.sleep(SETTLE_S)
    assert_clean(cell, recorder)


def test_a_follower_is_killed(cell, keys, recorder):
    with testing.Callers(cell, work_of(keys), recorder) as callers:
        testing.wait_until(lambda: callers.answered_count() > 50)
        leader = cell.leader()
        follower = next(one for one in cell.controllers if one != leader)
        cell.processes.kill(follower)
        time.sleep(SETTLE_S)
    assert_clean(cell, recorder)


@pytest.mark.parametrize('how', ['kill', 'freeze'])
@pytest.mark.parametrize('name', ['g1', 'w1'])
def test_a_gateway_or_worker_is_lost(cell, keys, recorder, name, how):
    with testing.Callers(cell, work_of(keys), recorder) as callers:
        testing.wait_until(lambda: callers.answered_count() > 50)
        getattr(cell.processes, how)(name)
        time.sleep(FREEZE_S)
        if how == 'kill':
            cell.processes.restart(name)
        else:
            cell.processes.thaw(name)
        time.sleep(SETTLE_S)
    assert_clean(cell, recorder)


def test_all_controllers_are_killed_at_once(cell, keys, recorder):
    with testing.Callers(cell, work_of(keys), recorder) as callers:
        testing.wait_until(lambda: callers.answered_count() > 50)
        for name in cell.controllers:
            cell.processes.kill(name)
        time.sleep(1)
        for name in cell.controllers:
            cell.processes.restart(name)
        before = callers.answered_count()
        testing.wait_until(lambda: callers.answered_count() > before + 50)
    assert_clean(cell, recorder)
