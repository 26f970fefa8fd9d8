"""Tests of tasks that run only on a worker that runs nothing else."""

import pytest

from dandeliondrum import messages
from dandeliondrum import placement
from dandeliondrum.placement.tests import helpers
from dandeliondrum.placement.tests import test_planner

policy = test_planner.policy


def test_an_isolated_task_shares_no_worker(policy):
    workers = [helpers.facts('w1'), helpers.facts('w2')]
    planner = helpers.planner(policy, workers)
    planner.add(helpers.task('first'))
    planner.plan(0, 10)
    planner.add(helpers.task('isolated', isolated=True))
    planner.add(helpers.task('isolated_too', isolated=True))
    planner.add(helpers.task('last'))
    where = helpers.placed(planner.plan(1, 10))
    assert where == {'isolated': 'w2', 'last': 'w1'}
    why = planner.explain(messages.TaskId('isolated_too'))
    assert 'it needs an idle worker' in why
    planner.release(messages.TaskId('isolated'))
    assert helpers.placed(planner.plan(2, 10)) == {'isolated_too': 'w2'}


@pytest.mark.parametrize(
    'task_class',
    [
        messages.TaskClass.URGENT,
        messages.TaskClass.GANG,
        messages.TaskClass.SERVICE,
    ],
)
def test_an_isolated_task_waits_until_a_worker_is_idle(policy, task_class):
    planner = helpers.planner(policy, [helpers.facts('w1')])
    names = [messages.TaskId(f't{number}') for number in range(3)]
    for name in names:
        planner.add(helpers.task(name))
    planner.plan(0, 10)
    planner.add(helpers.task('one', isolated=True, task_class=task_class))
    for now_ms, name in enumerate(names):
        plan = planner.plan(1_000 * (1 + now_ms), 10)
        assert plan == placement.Plan((), ())
        planner.release(name)
    assert helpers.placed(planner.plan(4_000, 10)) == {'one': 'w1'}


def test_nothing_is_placed_beside_an_isolated_task_that_is_restored(policy):
    planner = helpers.planner(policy, [helpers.facts('w1')])
    one = helpers.task('one', isolated=True)
    planner.restore(
        placement.RunningTask(one, messages.WorkerId('w1'), started_ms=0)
    )
    planner.add(helpers.task('other'))
    assert planner.plan(1, 10).groups == ()
    planner.release(one.task_id)
    assert helpers.placed(planner.plan(2, 10)) == {'other': 'w1'}


def test_an_isolated_task_is_not_starved_by_others():
    workers = [helpers.facts(f'w{number}', slots=2) for number in range(2)]
    simulation = helpers.Simulation(helpers.planner(None, workers))
    for number in range(400):
        run_ms = 1_000 + 70 * (number % 7)
        simulation.add(helpers.task(f't{number}', expected_run_ms=run_ms))
    simulation.run(0, 5_000)
    simulation.add(helpers.task('one', submitted_ms=5_000, isolated=True))
    simulation.run(5_000, 90_000)
    assert simulation.started_ms['one'] < 80_000
    assert simulation.planner.pending_count() > 0


def test_a_gang_waits_for_the_worker_of_an_isolated_task():
    workers = [helpers.facts(f'w{number}', slots=2) for number in range(2)]
    simulation = helpers.Simulation(helpers.planner(None, workers))
    simulation.add(helpers.task('one', isolated=True, expected_run_ms=5_000))
    simulation.step(0)
    simulation.add(*helpers.gang('gang', 3))
    simulation.run(100, 20_000)
    assert simulation.started_ms['gang.0'] == 5_000
