"""Tests of the full policy: shares, preemption, spread, packing, regions."""

import collections
import random

from dandeliondrum import messages
from dandeliondrum import placement
from dandeliondrum.placement.tests import helpers

URGENT = messages.TaskClass.URGENT
SERVICE = messages.TaskClass.SERVICE


def fleet(count=24, **fields):
    return [
        helpers.facts(f'w{number:02}', rack=f'r{number // 8}', **fields)
        for number in range(count)
    ]


def grants(**shares):
    return {
        helpers.team(name): placement.TeamGrant(share)
        for name, share in shares.items()
    }


def test_full_fleet_is_divided_by_share():
    rng = random.Random(2)
    teams = grants(a=5, b=3, c=2)
    simulation = helpers.Simulation(helpers.planner(None, fleet(), teams))
    counts = collections.Counter()
    for now_ms in range(0, 60_000, 100):
        for name in teams:
            if simulation.planner.pending_count(name) < 100:
                for number in range(20):
                    simulation.add(
                        helpers.task(
                            f'{name}{now_ms}.{number}',
                            team_id=name,
                            cpu=rng.choice([500, 1_000, 2_000]),
                            expected_run_ms=rng.randint(1_000, 4_000),
                            submitted_ms=now_ms,
                        )
                    )
        simulation.step(now_ms)
        if now_ms > 10_000:
            for name in teams:
                counts[name] += simulation.planner.running_count(name)
    total = sum(counts.values())
    for name, grant in teams.items():
        assert abs(counts[name] / total - grant.share / 10) < 0.02


def test_unused_share_is_borrowed_and_reclaimed():
    teams = grants(a=1, b=1)
    simulation = helpers.Simulation(helpers.planner(None, fleet(), teams))
    for number in range(300):
        simulation.add(
            helpers.task(f'a{number}', team_id='a', expected_run_ms=3_600_000)
        )
    simulation.step(0)
    assert simulation.planner.running_count('a') == 192
    for number in range(300):
        simulation.add(
            helpers.task(f'b{number}', team_id='b', submitted_ms=1_000)
        )
        simulation.run_ms[f'b{number}'] = 3_600_000
    for now_ms in range(1_000, 120_000, 500):
        plan = simulation.step(now_ms)
        for preemption in plan.preemptions:
            assert preemption.task_id.startswith('a')
            simulation.planner.release(preemption.task_id)
    assert 70 <= simulation.planner.running_count('b') <= 100
    assert simulation.planner.running_count('a') >= 90


def test_urgent_tasks_preempt_within_the_budget():
    simulation = helpers.Simulation(helpers.planner(None, fleet()))
    for number in range(300):
        simulation.add(helpers.task(f'b{number}', expected_run_ms=3_600_000))
    simulation.step(0)
    for number in range(30):
        simulation.add(
            helpers.task(f'u{number}', task_class=URGENT, submitted_ms=1_000)
        )
    plan = simulation.step(1_000)
    assert 4 <= len(plan.preemptions) <= 8
    again = simulation.step(1_000)
    assert again.preemptions == ()
    started = []
    for now_ms in range(1_100, 12_000, 100):
        for preemption in plan.preemptions:
            simulation.planner.release(preemption.task_id)
        plan = simulation.step(now_ms)
        started += [n for n in helpers.placed(plan) if n.startswith('u')]
    assert len(started) == 30
    assert len(simulation.preempted) <= 30


def test_batch_leaves_a_reserve_while_urgent_tasks_arrive():
    simulation = helpers.Simulation(helpers.planner(None, fleet()))
    simulation.add(helpers.task('u', task_class=URGENT))
    simulation.step(0)
    for number in range(300):
        simulation.add(helpers.task(f'b{number}', expected_run_ms=3_600_000))
    simulation.step(1_000)
    free_count = 192 - simulation.planner.running_count(helpers.team())
    assert 3 <= free_count <= 5
    simulation.step(700_000)
    assert simulation.planner.running_count(helpers.team()) == 192


def test_services_spread_over_domains_and_racks():
    workers = [
        helpers.facts(
            f'w{domain}{rack}{number}',
            domain=f'd{domain}',
            rack=f'r{rack}',
        )
        for domain in range(3)
        for rack in range(2)
        for number in range(4)
    ]
    planner = helpers.planner(None, workers)
    for number in range(6):
        planner.add(helpers.task(f's{number}', task_class=SERVICE))
    where = helpers.placed(planner.plan(0, 100))
    racks = collections.Counter(name[:3] for name in where.values())
    assert len(racks) == 6
    assert set(racks.values()) == {1}
    planner.release(messages.TaskId('s2'))
    planner.add(helpers.task('s6', task_class=SERVICE, submitted_ms=1))
    (again,) = helpers.placed(planner.plan(1, 100)).values()
    assert again[:3] == where['s2'][:3]


def test_packing_keeps_whole_workers_for_large_tasks():
    simulation = helpers.Simulation(helpers.planner(None, fleet()))
    for number in range(96):
        simulation.add(helpers.task(f't{number}', cpu=2_000, memory=4_000))
    simulation.step(0)
    assert len(set(simulation.where.values())) == 12
    for number in range(12):
        simulation.add(
            helpers.task(f'large{number}', cpu=16_000, submitted_ms=1)
        )
    assert len(simulation.step(1).groups) == 12


def test_accelerators_are_kept_for_tasks_that_need_them():
    workers = fleet(2) + [helpers.facts('acc', accelerators=2)]
    planner = helpers.planner(None, workers)
    for number in range(16):
        planner.add(helpers.task(f't{number}'))
    planner.add(helpers.task('acc', accelerators=2, submitted_ms=1))
    where = helpers.placed(planner.plan(1, 100))
    assert where.pop('acc') == 'acc'
    assert 'acc' not in where.values()


def test_a_task_crosses_regions_only_after_the_delay():
    workers = [
        helpers.facts('near', slots=1),
        helpers.facts('far', region='andaman', domain='phuket'),
    ]
    planner = helpers.planner(None, workers)
    for number in range(2):
        planner.add(
            helpers.task(
                f't{number}', region='gulf', expected_run_ms=3_600_000
            )
        )
    assert helpers.placed(planner.plan(0, 10)) == {'t0': 'near'}
    assert planner.plan(9_999, 10).groups == ()
    assert 'region gulf' in planner.explain(messages.TaskId('t1'))
    assert helpers.placed(planner.plan(10_000, 10)) == {'t1': 'far'}
    assert 'crossing' in planner.explain(messages.TaskId('t1'))


def test_no_task_starves_under_continuous_small_and_urgent_tasks():
    teams = grants(a=100, b=1, c=0)
    simulation = helpers.Simulation(helpers.planner(None, fleet(4), teams))
    rng = random.Random(7)
    for now_ms in range(0, 300_000, 100):
        if now_ms == 20_000:
            add_starvation_candidates(simulation, now_ms)
        for name in ('a', 'b'):
            for task_class in (URGENT, messages.TaskClass.BATCH):
                if simulation.planner.pending_count(name) > 200:
                    continue
                simulation.add(
                    helpers.task(
                        f'{name}{task_class.value}{now_ms}',
                        team_id=name,
                        task_class=task_class,
                        cpu=rng.choice([1_000, 2_000, 3_000]),
                        submitted_ms=now_ms,
                        expected_run_ms=rng.randint(1_000, 9_000),
                    )
                )
        plan = simulation.step(now_ms)
        assert len(plan.preemptions) <= 8
    for name in ('large', 'no_share0', 'no_share1', 'no_share2', 'g.0'):
        assert 20_000 < simulation.started_ms[name] < 220_000, name


def add_starvation_candidates(simulation, now_ms):
    """Add tasks prone to starvation.

    A large task, tasks of a team without a share, and a gang.
    """
    simulation.add(
        helpers.task('large', team_id='b', cpu=15_000, submitted_ms=now_ms)
    )
    for number in range(3):
        simulation.add(
            helpers.task(
                f'no_share{number}',
                team_id='c',
                submitted_ms=now_ms,
                expected_run_ms=3_600_000,
            )
        )
    simulation.add(
        *helpers.gang('g', 6, team_id='b', cpu=4_000, submitted_ms=now_ms)
    )


def test_a_task_class_uses_its_configured_chooser():
    class FixedChooser(placement.BestFit):
        def choose(self, index, task, need, region):
            return messages.WorkerId('w23')

    policy = placement.FairSharePolicy(choosers={URGENT: FixedChooser()})
    planner = helpers.planner(policy, fleet())
    planner.add(helpers.task('b'))
    planner.add(helpers.task('u', task_class=URGENT))
    where = helpers.placed(planner.plan(0, 10))
    assert where['u'] == 'w23'
    assert where['b'] != 'w23'


def test_team_at_its_limit_is_skipped_until_it_is_below():
    teams = {
        'a': placement.TeamGrant(9, running_max=2),
        'b': placement.TeamGrant(1),
    }
    planner = helpers.planner(None, fleet(1), teams)
    for number in range(4):
        planner.add(helpers.task(f'a{number}', team_id='a'))
    planner.add(helpers.task('b', team_id='b'))
    where = helpers.placed(planner.plan(0, 10))
    assert set(where) == {'a0', 'a1', 'b'}
    assert 'upper limit' in planner.explain(messages.TaskId('a2'))
    planner.release(messages.TaskId('a0'))
    assert set(helpers.placed(planner.plan(1, 10))) == {'a2'}
    planner.set_teams({**teams, 'a': placement.TeamGrant(9)})
    assert set(helpers.placed(planner.plan(2, 10))) == {'a3'}


def test_explain_names_share_and_fit():
    planner = helpers.planner(None, fleet(1, slots=1))
    planner.add(helpers.task('t'))
    planner.add(helpers.task('u'))
    planner.plan(0, 10)
    why = planner.explain(messages.TaskId('u'))
    assert 'no worker has room' in why
    assert '100.0%' in why
    assert 'tightest fit' in planner.explain(messages.TaskId('t'))
    assert planner.explain(messages.TaskId('x')) == (
        'neither pending nor running'
    )


def test_room_freed_while_a_team_was_at_its_limit_is_used_later():
    teams = {
        'a': placement.TeamGrant(1, running_max=1),
        'b': placement.TeamGrant(1),
    }
    planner = helpers.planner(None, fleet(1, slots=2), teams)
    planner.add(helpers.task('b0', team_id='b'))
    planner.add(helpers.task('b1', team_id='b'))
    planner.plan(0, 10)
    planner.add(helpers.task('a0', team_id='a'))
    assert planner.plan(1, 10).groups == ()
    planner.set_teams({**teams, 'a': placement.TeamGrant(1, running_max=0)})
    planner.release(messages.TaskId('b0'))
    assert planner.plan(2, 10).groups == ()
    planner.set_teams(teams)
    assert helpers.placed(planner.plan(3, 10)) == {'a0': 'w00'}


def test_a_smaller_task_is_tried_although_a_larger_one_found_no_room():
    teams = grants(lens=1, b=1)
    planner = helpers.planner(None, fleet(1, cpu=1_000), teams)
    planner.add(helpers.task('t', cpu=540))
    planner.plan(0, 10)
    planner.add(helpers.task('large', cpu=500))
    assert planner.plan(1, 10).groups == ()
    planner.add(helpers.task('small', team_id='b', cpu=455))
    assert helpers.placed(planner.plan(2, 10)) == {'small': 'w00'}


def test_tasks_restored_before_their_worker_is_known_can_be_preempted():
    planner = helpers.planner()
    for number in range(8):
        planner.restore(
            placement.RunningTask(helpers.task(f'b{number}'), 'w00', 0)
        )
    planner.put_worker(fleet(1)[0], eligible=True)
    planner.add(helpers.task('u', task_class=URGENT, submitted_ms=1))
    (preemption,) = planner.plan(1_000, 10).preemptions
    assert preemption.worker_id == 'w00'
    planner.release(preemption.task_id)
    assert helpers.placed(planner.plan(1_100, 10)) == {'u': 'w00'}


def test_services_restored_before_their_worker_is_known_count_once():
    workers = [
        helpers.facts(f'w{number}', domain=f'd{number}') for number in range(2)
    ]
    planner = helpers.planner()
    for number in range(4):
        replica = helpers.task(f'old{number}', task_class=SERVICE)
        planner.restore(placement.RunningTask(replica, 'w0', 0))
    for worker in workers:
        planner.put_worker(worker, eligible=True)
    for number in range(4):
        planner.release(messages.TaskId(f'old{number}'))
    for number in range(4):
        planner.add(helpers.task(f's{number}', task_class=SERVICE))
    where = helpers.placed(planner.plan(1, 10))
    assert sorted(where.values()) == ['w0', 'w0', 'w1', 'w1']


def test_non_preemptible_tasks_are_never_preempted():
    planner = helpers.planner(workers=[helpers.facts('w1')])
    for number in range(40):
        batch = helpers.task(f'a{number}', cpu=2_000, preemptible=False)
        planner.add(batch)
    planner.plan(0, 100)
    for number in range(8):
        urgent = helpers.task(
            f'u{number}', cpu=2_000, task_class=messages.TaskClass.URGENT
        )
        planner.add(urgent)
    for now_ms in range(1_000, 20_000, 1_000):
        assert planner.plan(now_ms, 100).preemptions == ()
