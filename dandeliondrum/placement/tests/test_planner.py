"""Tests of properties that hold under every policy."""

import random

import pytest
from returns import result

from dandeliondrum import messages
from dandeliondrum import placement
from dandeliondrum.placement.tests import helpers

POLICIES = [placement.FirstComeFirstFit, placement.FairSharePolicy]


@pytest.fixture(params=POLICIES)
def policy(request):
    return request.param()


def test_a_task_larger_than_any_worker_is_rejected(policy):
    planner = helpers.planner(policy, [helpers.facts('w1')])
    outcome = planner.add(helpers.task('t', cpu=17_000))
    assert isinstance(outcome, result.Failure)
    assert '17000 millicores' in outcome.failure().detail


def test_a_task_waits_while_no_worker_is_known(policy):
    planner = helpers.planner(policy)
    assert planner.add(helpers.task('t', cpu=17_000)) == result.Success(None)
    assert planner.plan(0, 10).groups == ()
    planner.put_worker(helpers.facts('w1', cpu=32_000), eligible=True)
    assert helpers.placed(planner.plan(1, 10)) == {'t': 'w1'}


def test_unknown_team_and_exceeded_limit_are_rejected(policy):
    grants = {
        helpers.team(): placement.TeamGrant(
            1, running_max=2, resources_max=messages.Resources(3_000, 9_000)
        )
    }
    planner = helpers.planner(policy, [helpers.facts('w1')], grants)
    unknown = planner.add(helpers.task('t', team_id=helpers.team('x')))
    assert 'unknown' in unknown.failure().detail
    too_large = planner.add(helpers.task('u', cpu=3_001))
    assert 'upper limit' in too_large.failure().detail
    too_many = planner.add(helpers.gang('g', 3)[0])
    assert 'upper limit' in too_many.failure().detail


def test_reverted_placement_is_pending_and_placed_again(policy):
    planner = helpers.planner(policy, [helpers.facts('w1', slots=1)])
    planner.add(helpers.task('t'))
    plan = planner.plan(0, 10)
    planner.revert(plan.groups[0][0])
    assert planner.pending_count() == 1
    assert planner.running_count(helpers.team()) == 0
    assert helpers.placed(planner.plan(1, 10)) == {'t': 'w1'}


def test_reservations_outlive_a_worker_that_comes_back(policy):
    planner = helpers.planner(policy, [helpers.facts('w1', slots=1)])
    planner.add(helpers.task('t'))
    planner.plan(0, 10)
    planner.remove_worker(messages.WorkerId('w1'))
    planner.put_worker(helpers.facts('w1', slots=1), eligible=True)
    planner.add(helpers.task('u'))
    assert planner.plan(1, 10).groups == ()
    planner.release(messages.TaskId('t'))
    assert helpers.placed(planner.plan(2, 10)) == {'u': 'w1'}


def test_a_task_past_its_deadline_is_not_started(policy):
    planner = helpers.planner(policy, [helpers.facts('w1')])
    planner.add(helpers.task('late', deadline_ms=5))
    planner.add(helpers.task('next', deadline_ms=50))
    assert helpers.placed(planner.plan(5, 10)) == {'next': 'w1'}
    assert planner.discard(messages.TaskId('late'))


def test_excluded_workers_are_skipped(policy):
    planner = helpers.planner(
        policy, [helpers.facts('w1'), helpers.facts('w2')]
    )
    planner.add(helpers.task('t', excluded_workers=frozenset({'w1'})))
    planner.add(helpers.task('u', excluded_workers=frozenset({'w1', 'w2'})))
    assert helpers.placed(planner.plan(0, 10)) == {'t': 'w2'}
    assert 'w1, w2' in planner.explain(messages.TaskId('u'))


def test_gang_is_placed_as_a_whole_or_not_at_all(policy):
    planner = helpers.planner(policy, [helpers.facts('w1', slots=2)])
    members = helpers.gang('g', 3)
    for member in members:
        planner.add(member)
    assert planner.plan(0, 10).groups == ()
    planner.put_worker(helpers.facts('w2', slots=2), eligible=True)
    (group,) = planner.plan(1, 10).groups
    assert len(group) == 3


class _RandomCalls:
    """Makes random planner calls and checks them against a simple model."""

    def __init__(self, policy, seed):
        self.random = random.Random(seed)
        self.grants = {
            helpers.team('a'): placement.TeamGrant(3, running_max=7),
            helpers.team('b'): placement.TeamGrant(
                1, resources_max=messages.Resources(9_000, 20_000, 2)
            ),
            helpers.team('c'): placement.TeamGrant(2),
        }
        self.planner = helpers.planner(policy, (), self.grants)
        self.facts = {}
        self.pending = {}
        self.running = {}
        self.eligible = set()
        self.now_ms = 0
        self.names_count = 0
        self.plans = []

    def step(self):
        actions = [
            (self.put_worker, 3),
            (self.remove_worker, 1),
            (self.add, 12),
            (self.add_gang, 2),
            (self.discard, 2),
            (self.restore, 1),
            (self.ended, 9),
            (self.plan, 12),
        ]
        calls, weights = zip(*actions)
        self.now_ms += self.random.randrange(2_000)
        self.random.choices(calls, weights)[0]()
        self.check()

    def name(self, kind):
        self.names_count += 1
        return f'{kind}{self.names_count}'

    def put_worker(self):
        name = f'w{self.random.randrange(8)}'
        if name in self.facts:
            facts = self.facts[name]
        else:
            facts = helpers.facts(
                name,
                cpu=self.random.choice([4_000, 8_000]),
                memory=self.random.choice([8_000, 16_000]),
                accelerators=self.random.choice([0, 2]),
                slots=self.random.choice([2, 4]),
                region=self.random.choice(['gulf', 'andaman']),
                domain=self.random.choice(['d1', 'd2']),
                rack=self.random.choice(['r1', 'r2']),
            )
        self.facts[name] = facts
        eligible = self.random.random() < 0.8
        self.eligible.discard(name)
        if eligible:
            self.eligible.add(name)
        self.planner.put_worker(facts, eligible)

    def remove_worker(self):
        if self.facts:
            name = self.random.choice(sorted(self.facts))
            self.planner.remove_worker(name)
            # The worker keeps its size in ``facts``, so that the reservations
            # still fit when it is added again.
            self.eligible.discard(name)

    def make_task(self, name, **fields):
        return helpers.task(
            name,
            cpu=self.random.choice([500, 1_000, 3_000]),
            memory=self.random.choice([500, 2_000, 5_000]),
            accelerators=self.random.choice([0, 0, 0, 1]),
            submitted_ms=self.now_ms,
            expected_run_ms=self.random.choice([100, 5_000, 900_000]),
            **fields,
        )

    def common_fields(self):
        return {
            'team_id': self.random.choice(sorted(self.grants)),
            'region': self.random.choice([None, 'gulf', 'andaman']),
        }

    def add_task(self, task):
        if isinstance(self.planner.add(task), result.Success):
            self.pending[task.task_id] = task

    def add(self):
        classes = [
            messages.TaskClass.URGENT,
            messages.TaskClass.BATCH,
            messages.TaskClass.SERVICE,
        ]
        deadline_ms = None
        if self.random.random() < 0.2:
            deadline_ms = self.now_ms + 5_000
        excluded = frozenset()
        if self.random.random() < 0.2:
            excluded = frozenset({f'w{self.random.randrange(8)}'})
        isolated = self.random.random() < 0.1
        self.add_task(
            self.make_task(
                self.name('t'),
                task_class=self.random.choice(classes),
                deadline_ms=deadline_ms,
                excluded_workers=excluded,
                isolated=isolated,
                **self.common_fields(),
            )
        )

    def add_gang(self):
        name = self.name('g')
        size = self.random.choice([2, 3, 5])
        common_fields = self.common_fields()
        for number in range(size):
            self.add_task(
                self.make_task(
                    f'{name}.{number}',
                    task_class=messages.TaskClass.GANG,
                    gang_id=name,
                    gang_size=size,
                    **common_fields,
                )
            )

    def discard(self):
        if self.pending:
            name = self.random.choice(sorted(self.pending))
            assert self.planner.discard(name)
            del self.pending[name]

    def ended(self):
        if self.running:
            name = self.random.choice(sorted(self.running))
            self.planner.release(name)
            del self.running[name]

    def restore(self):
        """Restore a task on the first worker where it is within all limits."""
        task = self.make_task(
            self.name('r'),
            task_class=messages.TaskClass.BATCH,
            **self.common_fields(),
        )
        for name in sorted(self.facts):
            if self.fits(task, name):
                self.planner.restore(
                    placement.RunningTask(task, name, self.now_ms)
                )
                self.running[task.task_id] = (task, name)
                return

    def fits(self, task, name):
        self.running['?'] = (task, name)
        try:
            self.check_limits()
        except AssertionError:
            return False
        finally:
            del self.running['?']
        return True

    def plan(self):
        before = set(self.running)
        plan = self.planner.plan(self.now_ms, self.random.randrange(1, 9))
        self.plans.append(plan)
        for group in plan.groups:
            for one in group:
                assert one.worker_id in self.eligible
                task = self.pending.pop(one.task_id)
                assert one.worker_id not in task.excluded_workers
                self.running[one.task_id] = (task, one.worker_id)
            self.check_gang(group)
            if self.random.random() < 0.1:
                self.revert(group)
        for preemption in plan.preemptions:
            assert preemption.task_id in before

    def check_gang(self, group):
        task = self.running[group[0].task_id][0]
        if task.gang_id is None:
            assert len(group) == 1
            return
        together = sum(
            1
            for other, _ in self.running.values()
            if other.gang_id == task.gang_id
        )
        assert together >= task.gang_size

    def revert(self, group):
        for one in group:
            self.planner.revert(one)
            self.pending[one.task_id] = self.running.pop(one.task_id)[0]

    def check(self):
        self.check_limits()
        assert self.planner.pending_count() == len(self.pending)
        for team_id in self.grants:
            running = [
                task
                for task, _ in self.running.values()
                if task.team_id == team_id
            ]
            assert self.planner.running_count(team_id) == len(running)
        for name in self.facts:
            used, _ = self.used(name)
            assert self.planner.reserved(name) == used

    def used(self, name):
        tasks = [
            task for task, where in self.running.values() if where == name
        ]
        total = messages.Resources(0, 0)
        for task in tasks:
            total = total + task.resources
        return total, len(tasks)

    def has_isolated(self, name):
        return any(
            task.isolated
            for task, where in self.running.values()
            if where == name
        )

    def check_limits(self):
        for name, facts in self.facts.items():
            total, count = self.used(name)
            assert total.fits_in(facts.resources)
            assert count <= facts.slots_count
            assert count == 1 or not self.has_isolated(name)
        for team_id, grant in self.grants.items():
            tasks = [
                task
                for task, _ in self.running.values()
                if task.team_id == team_id
            ]
            total = messages.Resources(0, 0)
            for task in tasks:
                total = total + task.resources
            if grant.running_max is not None:
                assert len(tasks) <= grant.running_max
            if grant.resources_max is not None:
                assert total.fits_in(grant.resources_max)


@pytest.mark.parametrize('seed', range(12))
def test_random_calls_exceed_no_limit_and_lose_no_task(policy, seed):
    random_calls = _RandomCalls(policy, seed)
    for _ in range(600):
        random_calls.step()


@pytest.mark.parametrize('make', POLICIES)
def test_same_calls_give_same_plans(make):
    runs = []
    for _ in range(2):
        random_calls = _RandomCalls(make(), seed=99)
        for _ in range(600):
            random_calls.step()
        runs.append(random_calls.plans)
    assert runs[0] == runs[1]
    assert any(plan.groups for plan in runs[0])
