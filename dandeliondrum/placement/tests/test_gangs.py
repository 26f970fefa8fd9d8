"""Tests of gangs, reservations and backfill."""

import random

import pytest

from dandeliondrum import messages
from dandeliondrum import placement
from dandeliondrum.placement.tests import helpers


def busy_simulation(workers_count=4, slots=2, run_ms=5_000):
    """Return a simulation with all slots used, to be freed one by one."""
    workers = [
        helpers.facts(f'w{number}', slots=slots)
        for number in range(workers_count)
    ]
    simulation = helpers.Simulation(helpers.planner(None, workers))
    for number in range(workers_count * slots):
        simulation.add(
            helpers.task(f'old{number}', expected_run_ms=run_ms + 700 * number)
        )
    simulation.step(0)
    assert len(simulation.started_ms) == workers_count * slots
    return simulation


def test_two_gangs_that_need_the_same_room_both_start():
    simulation = busy_simulation()
    simulation.add(*helpers.gang('a', 5, expected_run_ms=4_000))
    simulation.add(*helpers.gang('b', 5, expected_run_ms=4_000))
    simulation.run(100, 60_000)
    assert sorted(
        len(group) for group in simulation.groups if len(group) > 1
    ) == [5, 5]


def test_an_incomplete_gang_holds_nothing():
    simulation = busy_simulation()
    simulation.add(*helpers.gang('a', 5)[:4])
    simulation.add(helpers.task('t'))
    simulation.run(100, 30_000)
    assert 't' in simulation.started_ms
    assert 'a.0' not in simulation.started_ms
    why = simulation.planner.explain(messages.TaskId('a.0'))
    assert '4 of 5 members' in why


@pytest.mark.parametrize('seed', range(10))
def test_backfill_never_delays_the_reservation(seed):
    def start_ms(with_backfill):
        rng = random.Random(seed)
        workers = [helpers.facts(f'w{number}') for number in range(6)]
        simulation = helpers.Simulation(helpers.planner(None, workers))
        for number in range(48):
            simulation.add(
                helpers.task(
                    f'old{number}',
                    cpu=2_000,
                    expected_run_ms=rng.randint(1_000, 30_000),
                )
            )
        simulation.step(0)
        simulation.add(*helpers.gang('a', 5, cpu=9_000, submitted_ms=100))
        simulation.step(100)
        for now_ms in range(200, 60_000, 100):
            if with_backfill:
                simulation.add(
                    helpers.task(
                        f'new{now_ms}',
                        cpu=rng.choice([500, 1_000, 4_000]),
                        expected_run_ms=rng.choice([300, 90_000]),
                        submitted_ms=now_ms,
                    )
                )
            simulation.step(now_ms)
        backfilled = [n for n in simulation.started_ms if n.startswith('new')]
        return simulation.started_ms['a.0'], len(backfilled)

    alone_ms, _ = start_ms(False)
    crowded_ms, backfilled_count = start_ms(True)
    assert crowded_ms <= alone_ms
    assert backfilled_count > 0


def test_a_cancelled_gang_releases_its_reservation():
    simulation = busy_simulation()
    simulation.add(*helpers.gang('a', 8, expected_run_ms=4_000))
    simulation.step(100)
    assert 'room is reserved' in simulation.planner.explain(
        messages.TaskId('a.0')
    )
    simulation.add(helpers.task('t'))
    simulation.run(200, 9_000)
    assert 't' not in simulation.started_ms
    simulation.planner.discard(messages.TaskId('a.3'))
    simulation.run(9_000, 9_200)
    assert 't' in simulation.started_ms


def test_gang_starts_although_a_reserved_worker_is_lost():
    simulation = busy_simulation()
    simulation.add(*helpers.gang('a', 5, expected_run_ms=4_000))
    simulation.step(100)
    simulation.planner.remove_worker(messages.WorkerId('w0'))
    simulation.run(200, 30_000)
    assert len({simulation.started_ms[f'a.{n}'] for n in range(5)}) == 1
    assert 'w0' not in {simulation.where[f'a.{n}'] for n in range(5)}


def test_gang_larger_than_the_limit_of_a_plan_is_placed_alone():
    simulation = helpers.Simulation(
        helpers.planner(None, [helpers.facts('w')])
    )
    simulation.add(*helpers.gang('a', 5))
    simulation.add(helpers.task('t'))
    plan = simulation.step(0, placements_max=3)
    assert [len(group) for group in plan.groups] == [5]


def test_gang_too_large_for_the_fleet_does_not_block_the_next():
    simulation = busy_simulation()
    simulation.add(*helpers.gang('a', 9))
    simulation.add(*helpers.gang('b', 8, submitted_ms=50))
    simulation.run(100, 30_000)
    assert 'b.0' in simulation.started_ms
    assert 'a.0' not in simulation.started_ms
    assert 'too few' in simulation.planner.explain(messages.TaskId('a.0'))
    simulation.planner.put_worker(helpers.facts('w9'), eligible=True)
    simulation.run(30_000, 40_000)
    assert 'a.0' in simulation.started_ms


def test_gang_waits_for_its_teams_limit_without_being_starved():
    grants = {helpers.team(): placement.TeamGrant(1, running_max=4)}
    workers = [helpers.facts(f'w{number}') for number in range(2)]
    simulation = helpers.Simulation(helpers.planner(None, workers, grants))
    simulation.add(*helpers.gang('a', 4, submitted_ms=0))
    for now_ms in range(0, 200_000, 500):
        simulation.add(
            helpers.task(
                f't{now_ms}', submitted_ms=now_ms, expected_run_ms=3_000
            )
        )
        if now_ms == 0:
            for number in range(4):
                simulation.planner.discard(messages.TaskId(f'a.{number}'))
        if now_ms == 5_000:
            simulation.add(*helpers.gang('a', 4, submitted_ms=now_ms))
        simulation.step(now_ms)
    assert simulation.started_ms['a.0'] < 75_000


def test_a_retried_member_joins_the_running_members():
    workers = [helpers.facts(f'w{number}') for number in range(2)]
    simulation = helpers.Simulation(helpers.planner(None, workers))
    members = helpers.gang('a', 3, expected_run_ms=90_000)
    simulation.add(*members)
    simulation.step(0)
    simulation.planner.release(members[0].task_id)
    simulation.add(members[0])
    assert helpers.placed(simulation.step(100)) == {
        'a.0': simulation.where['a.0']
    }


def test_a_gang_that_few_workers_can_hold_is_retried():
    workers = [helpers.facts(f'w{number}') for number in range(150)]
    workers.append(helpers.facts('accelerated', accelerators=2))
    simulation = helpers.Simulation(helpers.planner(None, workers))
    simulation.add(
        helpers.task('old', accelerators=2, expected_run_ms=300_000)
    )
    simulation.step(0)
    simulation.add(*helpers.gang('a', 2, accelerators=1, submitted_ms=100))
    for now_ms in range(100, 400_000, 1_000):
        simulation.step(now_ms)
    assert 300_000 <= simulation.started_ms['a.0'] < 320_000


def test_an_overdue_reservation_moves_to_another_worker():
    workers = [helpers.facts(f'w{number}', slots=1) for number in range(3)]
    simulation = helpers.Simulation(helpers.planner(None, workers))
    simulation.add(helpers.task('overdue', expected_run_ms=1_000))
    simulation.run_ms['overdue'] = 10**9
    for name in ('on_time0', 'on_time1'):
        simulation.add(helpers.task(name, expected_run_ms=20_000))
    simulation.step(0)
    simulation.add(*helpers.gang('a', 2, submitted_ms=100))
    simulation.run(100, 60_000)
    assert simulation.started_ms['a.0'] < 45_000


def test_a_worker_announced_again_unchanged_changes_no_reservation():
    def where(again):
        simulation = busy_simulation(workers_count=60)
        simulation.add(*helpers.gang('a', 5, submitted_ms=100))
        for now_ms in range(100, 20_000, 100):
            if again:
                for number in range(60):
                    facts = helpers.facts(f'w{number}', slots=2)
                    simulation.planner.put_worker(facts, eligible=True)
            simulation.step(now_ms)
        return simulation.where['a.0'], simulation.started_ms['a.0']

    assert where(again=True) == where(again=False)


def test_a_gang_is_not_starved_by_its_own_teams_tasks():
    """Starts a gang although its team's single tasks use the whole share.

    Two teams keep the fleet full, so the gang's team is at its fair share
    all the time. If the gang always had to stay within that share, it would
    never start.
    """
    teams = {helpers.team(name): placement.TeamGrant(share=1) for name in 'ab'}
    workers = [helpers.facts(f'w{number}', slots=4) for number in range(4)]
    simulation = helpers.Simulation(helpers.planner(None, workers, teams))
    for name in teams:
        for number in range(200):
            simulation.add(
                helpers.task(
                    f'{name}{number}',
                    team_id=name,
                    cpu=4_000,
                    expected_run_ms=1_500 + 300 * (number % 5),
                )
            )
    simulation.step(0)
    simulation.add(
        *helpers.gang(
            'gang',
            4,
            cpu=4_000,
            team_id=helpers.team('a'),
            submitted_ms=100,
        )
    )
    simulation.run(100, 20_000)
    assert simulation.started_ms.get('gang.0', 20_000) < 15_000


def _with_services(workers_count, teams=None, **fields):
    """Return a simulation of workers that services keep full."""
    workers = [
        helpers.facts(f'w{number}', slots=2) for number in range(workers_count)
    ]
    simulation = helpers.Simulation(helpers.planner(None, workers, teams))
    for number in range(workers_count):
        simulation.add(
            helpers.task(
                f's{number}',
                cpu=9_000,
                task_class=messages.TaskClass.SERVICE,
                **fields,
            )
        )
        simulation.run_ms[f's{number}'] = 10**9
    simulation.step(0)
    assert len(simulation.started_ms) == workers_count
    return simulation


def test_no_room_is_kept_on_workers_that_services_keep_full():
    """Regression test: small tasks waited behind a gang without end."""
    simulation = _with_services(4)
    simulation.add(*helpers.gang('a', 4, cpu=9_000, submitted_ms=100))
    simulation.run(100, 3_000)
    assert 'a.0' not in simulation.started_ms
    simulation.add(
        *(
            helpers.task(f'small{n}', cpu=7_000, submitted_ms=3_000)
            for n in range(4)
        )
    )
    simulation.step(3_000)
    assert sum(name.startswith('small') for name in simulation.started_ms) == 4
    reason = simulation.planner.unfit_reason(messages.TaskId('a.0'))
    assert reason == 'the eligible workers are too few for its gang'
    assert reason in simulation.planner.explain(messages.TaskId('a.0'))


def test_no_room_is_kept_for_a_team_whose_services_use_its_limit():
    """Regression test: an aged gang held workers that it could not use."""
    teams = {
        helpers.team(): placement.TeamGrant(share=1, running_max=4),
        helpers.team('other'): placement.TeamGrant(share=1),
    }
    simulation = _with_services(3, teams)
    simulation.add(*helpers.gang('a', 3, cpu=7_000, submitted_ms=100))
    simulation.run(100, 61_000, 1_000)
    simulation.add(
        *(
            helpers.task(
                f'small{number}',
                cpu=7_000,
                team_id=helpers.team('other'),
                submitted_ms=61_000,
            )
            for number in range(3)
        )
    )
    simulation.step(61_500)
    assert sum(name.startswith('small') for name in simulation.started_ms) == 3
    reason = simulation.planner.unfit_reason(messages.TaskId('a.0'))
    assert 'upper limit' in reason
