"""Tests of gangs, reservations and backfill."""

import random

import pytest

from dandeliondrum import messages
from dandeliondrum import placement
from dandeliondrum.placement.tests import helpers


def busy_loop(workers_count=4, slots=2, run_ms=5_000):
    """Return a loop whose slots are all taken, ending one by one."""
    workers = [
        helpers.facts(f'w{number}', slots=slots)
        for number in range(workers_count)
    ]
    loop = helpers.Loop(helpers.planner(None, workers))
    for number in range(workers_count * slots):
        loop.add(
            helpers.task(f'old{number}', expected_run_ms=run_ms + 700 * number)
        )
    loop.step(0)
    assert len(loop.started_ms) == workers_count * slots
    return loop


def test_two_gangs_that_need_the_same_room_both_start():
    loop = busy_loop()
    loop.add(*helpers.gang('a', 5, expected_run_ms=4_000))
    loop.add(*helpers.gang('b', 5, expected_run_ms=4_000))
    loop.run(100, 60_000)
    assert sorted(len(group) for group in loop.groups if len(group) > 1) == [
        5,
        5,
    ]


def test_an_incomplete_gang_holds_nothing():
    loop = busy_loop()
    loop.add(*helpers.gang('a', 5)[:4])
    loop.add(helpers.task('t'))
    loop.run(100, 30_000)
    assert 't' in loop.started_ms
    assert 'a.0' not in loop.started_ms
    why = loop.planner.explain(messages.TaskId('a.0'))
    assert '4 of 5 members' in why


@pytest.mark.parametrize('seed', range(10))
def test_backfill_never_delays_the_reservation(seed):
    def start_ms(with_backfill):
        chance = random.Random(seed)
        workers = [helpers.facts(f'w{number}') for number in range(6)]
        loop = helpers.Loop(helpers.planner(None, workers))
        for number in range(48):
            loop.add(
                helpers.task(
                    f'old{number}',
                    cpu=2_000,
                    expected_run_ms=chance.randint(1_000, 30_000),
                )
            )
        loop.step(0)
        loop.add(*helpers.gang('a', 5, cpu=9_000, submitted_ms=100))
        loop.step(100)
        for now_ms in range(200, 60_000, 100):
            if with_backfill:
                loop.add(
                    helpers.task(
                        f'new{now_ms}',
                        cpu=chance.choice([500, 1_000, 4_000]),
                        expected_run_ms=chance.choice([300, 90_000]),
                        submitted_ms=now_ms,
                    )
                )
            loop.step(now_ms)
        backfilled = [n for n in loop.started_ms if n.startswith('new')]
        return loop.started_ms['a.0'], len(backfilled)

    alone_ms, _ = start_ms(False)
    crowded_ms, backfilled_count = start_ms(True)
    assert crowded_ms <= alone_ms
    assert backfilled_count > 0


def test_cancelled_gang_lets_its_room_go():
    loop = busy_loop()
    loop.add(*helpers.gang('a', 8, expected_run_ms=4_000))
    loop.step(100)
    assert 'room is reserved' in loop.planner.explain(messages.TaskId('a.0'))
    loop.add(helpers.task('t'))
    loop.run(200, 9_000)
    assert 't' not in loop.started_ms
    loop.planner.discard(messages.TaskId('a.3'))
    loop.run(9_000, 9_200)
    assert 't' in loop.started_ms


def test_gang_starts_although_a_reserved_worker_is_lost():
    loop = busy_loop()
    loop.add(*helpers.gang('a', 5, expected_run_ms=4_000))
    loop.step(100)
    loop.planner.remove_worker(messages.WorkerId('w0'))
    loop.run(200, 30_000)
    assert len({loop.started_ms[f'a.{n}'] for n in range(5)}) == 1
    assert 'w0' not in {loop.where[f'a.{n}'] for n in range(5)}


def test_gang_larger_than_the_limit_of_a_plan_goes_alone():
    loop = helpers.Loop(helpers.planner(None, [helpers.facts('w')]))
    loop.add(*helpers.gang('a', 5))
    loop.add(helpers.task('t'))
    plan = loop.step(0, placements_max=3)
    assert [len(group) for group in plan.groups] == [5]


def test_gang_too_large_for_the_fleet_does_not_hold_up_the_next():
    loop = busy_loop()
    loop.add(*helpers.gang('a', 9))
    loop.add(*helpers.gang('b', 8, submitted_ms=50))
    loop.run(100, 30_000)
    assert 'b.0' in loop.started_ms
    assert 'a.0' not in loop.started_ms
    assert 'too few' in loop.planner.explain(messages.TaskId('a.0'))
    loop.planner.put_worker(helpers.facts('w9'), eligible=True)
    loop.run(30_000, 40_000)
    assert 'a.0' in loop.started_ms


def test_gang_waits_for_its_teams_limit_without_being_starved():
    grants = {helpers.team(): placement.TeamGrant(1, running_max=4)}
    workers = [helpers.facts(f'w{number}') for number in range(2)]
    loop = helpers.Loop(helpers.planner(None, workers, grants))
    loop.add(*helpers.gang('a', 4, submitted_ms=0))
    for now_ms in range(0, 200_000, 500):
        loop.add(
            helpers.task(
                f't{now_ms}', submitted_ms=now_ms, expected_run_ms=3_000
            )
        )
        if now_ms == 0:
            for number in range(4):
                loop.planner.discard(messages.TaskId(f'a.{number}'))
        if now_ms == 5_000:
            loop.add(*helpers.gang('a', 4, submitted_ms=now_ms))
        loop.step(now_ms)
    assert loop.started_ms['a.0'] < 75_000


def test_a_member_tried_again_joins_those_that_run():
    workers = [helpers.facts(f'w{number}') for number in range(2)]
    loop = helpers.Loop(helpers.planner(None, workers))
    members = helpers.gang('a', 3, expected_run_ms=90_000)
    loop.add(*members)
    loop.step(0)
    loop.planner.ended(members[0].task_id)
    loop.add(members[0])
    assert helpers.placed(loop.step(100)) == {'a.0': loop.where['a.0']}


def test_a_gang_that_few_workers_can_hold_is_tried_again():
    workers = [helpers.facts(f'w{number}') for number in range(150)]
    workers.append(helpers.facts('accelerated', accelerators=2))
    loop = helpers.Loop(helpers.planner(None, workers))
    loop.add(helpers.task('old', accelerators=2, expected_run_ms=300_000))
    loop.step(0)
    loop.add(*helpers.gang('a', 2, accelerators=1, submitted_ms=100))
    for now_ms in range(100, 400_000, 1_000):
        loop.step(now_ms)
    assert 300_000 <= loop.started_ms['a.0'] < 320_000


def test_reservation_leaves_a_worker_whose_task_runs_on_and_on():
    workers = [helpers.facts(f'w{number}', slots=1) for number in range(3)]
    loop = helpers.Loop(helpers.planner(None, workers))
    loop.add(helpers.task('liar', expected_run_ms=1_000))
    loop.run_ms['liar'] = 10**9
    for name in ('honest0', 'honest1'):
        loop.add(helpers.task(name, expected_run_ms=20_000))
    loop.step(0)
    loop.add(*helpers.gang('a', 2, submitted_ms=100))
    loop.run(100, 60_000)
    assert loop.started_ms['a.0'] < 45_000


def test_a_worker_announced_again_unchanged_changes_no_reservation():
    def where(again):
        loop = busy_loop(workers_count=60)
        loop.add(*helpers.gang('a', 5, submitted_ms=100))
        for now_ms in range(100, 20_000, 100):
            if again:
                for number in range(60):
                    facts = helpers.facts(f'w{number}', slots=2)
                    loop.planner.put_worker(facts, eligible=True)
            loop.step(now_ms)
        return loop.where['a.0'], loop.started_ms['a.0']

    assert where(again=True) == where(again=False)


def test_a_gang_is_not_kept_out_by_its_own_teams_tasks():
    """Two teams keep the fleet full; one of them submits a gang, too.

    The team's own single tasks keep it at its share all the time.
    """
    teams = {helpers.team(name): placement.TeamGrant(share=1) for name in 'ab'}
    workers = [helpers.facts(f'w{number}', slots=4) for number in range(4)]
    loop = helpers.Loop(helpers.planner(None, workers, teams))
    for name in teams:
        for number in range(200):
            loop.add(
                helpers.task(
                    f'{name}{number}',
                    team_id=name,
                    cpu=4_000,
                    expected_run_ms=1_500 + 300 * (number % 5),
                )
            )
    loop.step(0)
    loop.add(
        *helpers.gang(
            'gang',
            4,
            cpu=4_000,
            team_id=helpers.team('a'),
            submitted_ms=100,
        )
    )
    loop.run(100, 20_000)
    assert loop.started_ms.get('gang.0', 20_000) < 15_000
