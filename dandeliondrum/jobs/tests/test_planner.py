"""Placement of waiting tasks."""

import dataclasses

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import queueing
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages


def _workers_of(groups):
    return [[one.worker_id for one in group] for group in groups]


def test_no_worker_is_given_more_than_it_has():
    groups = _planner.plan(
        [helpers.demand('j', helpers.step(10, cpu=1_500))],
        [
            helpers.available_worker('w1'),
            helpers.available_worker('w2', 2_000),
        ],
        {},
    )
    assert sorted(sum(_workers_of(groups), [])) == ['w1', 'w1', 'w2']


def test_nothing_is_placed_on_a_worker_that_runs_more_than_it_has():
    """A worker may shrink below the resources of its runs."""
    shrunk = [
        helpers.available_worker('w1', -500),
        helpers.available_worker('w2', free=messages.Resources(4_000, -1)),
        helpers.available_worker(
            'w3',
            free=messages.Resources(0, 0, -1),
            capacity=messages.Resources(0, 0),
        ),
    ]
    steps = [
        helpers.step(2, cpu=cpu, **more)
        for cpu in (0, 1, 1_000)
        for more in (
            {},
            {'gang': True},
            {'uses_idle_cpu': True},
            {'per_worker_max': 1},
        )
    ]
    nothing = jobs.StepSpec(1, messages.Resources(0, 0))
    demands = [
        helpers.demand(f'j{number}', spec, waited_ms=waited_ms)
        for number, spec in enumerate([*steps, nothing])
        for waited_ms in (0, _planner.RESERVE_AFTER_MS)
    ]
    assert _planner.plan(demands, shrunk, {}) == []
    assert _wait_reason(demands[0], shrunk) is _planner.WaitReason.NO_ROOM


def test_tasks_that_fill_take_no_processors():
    groups = _planner.plan(
        [helpers.demand('j', helpers.step(3, cpu=9_000, uses_idle_cpu=True))],
        [helpers.available_worker('w1')],
        {},
    )
    assert len(groups) == 3


def test_a_gang_starts_whole_or_not_at_all():
    demand = helpers.demand('j', helpers.step(3, cpu=2_000, gang=True))
    assert _planner.plan([demand], [helpers.available_worker('w1')], {}) == []
    workers = [helpers.available_worker('w1'), helpers.available_worker('w2')]
    groups = _planner.plan([demand], workers, {})
    assert [len(group) for group in groups] == [3]


def test_a_gang_that_does_not_fit_leaves_its_room_to_others():
    gang = helpers.demand('gang', helpers.step(3, cpu=2_000, gang=True))
    small = helpers.demand('small', helpers.step(2, cpu=2_000), submitted_ms=1)
    groups = _planner.plan([gang, small], [helpers.available_worker('w1')], {})
    assert [group[0].task.job_id for group in groups] == ['small', 'small']


def test_urgent_queues_go_first_then_age():
    late = helpers.demand('late', helpers.step(), submitted_ms=2)
    early = helpers.demand('early', helpers.step(), submitted_ms=1)
    urgent = helpers.demand(
        'urgent', helpers.step(), priority=0, submitted_ms=3
    )
    groups = _planner.plan(
        [late, early, urgent], [helpers.available_worker('w1', 2_000)], {}
    )
    assert [group[0].task.job_id for group in groups] == ['urgent', 'early']


def test_demands_that_can_be_in_time_go_before_those_that_are_late():
    late = helpers.demand(
        'late',
        helpers.step(),
        priority=0,
        latest_start_ms=1,
        urgency=queueing.Urgency.LATE,
    )
    in_time = helpers.demand(
        'in time', helpers.step(), priority=2, latest_start_ms=9
    )
    groups = _planner.plan(
        [late, in_time], [helpers.available_worker('w1', 1_000)], {}
    )
    assert [group[0].task.job_id for group in groups] == ['in time']


def test_the_demand_with_the_least_time_left_goes_first():
    older = helpers.demand('older', helpers.step(), latest_start_ms=9)
    tighter = helpers.demand(
        'tighter', helpers.step(), submitted_ms=1, latest_start_ms=8
    )
    groups = _planner.plan(
        [older, tighter], [helpers.available_worker('w1', 1_000)], {}
    )
    assert [group[0].task.job_id for group in groups] == ['tighter']


def test_only_workers_with_a_ticket_are_used():
    demand = helpers.demand(
        'j', helpers.step(4), tickets={'w2': 't2'}, granted={'w2'}
    )
    groups = _planner.plan(
        [demand],
        [
            helpers.available_worker('w1'),
            helpers.available_worker('w2', 2_000),
        ],
        {},
    )
    assert _workers_of(groups) == [['w2'], ['w2']]
    assert groups[0][0].ticket == 't2'


def test_only_workers_of_the_pool_are_used():
    workers = [
        helpers.available_worker('w1', pool='other'),
        helpers.available_worker('w2'),
    ]
    groups = _planner.plan([helpers.demand('j', helpers.step(9))], workers, {})
    assert set(sum(_workers_of(groups), [])) == {'w2'}


def test_required_labels_are_respected():
    demand = helpers.demand('j', helpers.step(required_label='b'))
    available = helpers.available_worker('w2', labels=frozenset({'b'}))
    groups = _planner.plan(
        [demand], [helpers.available_worker('w1'), available], {}
    )
    assert _workers_of(groups) == [['w2']]


def test_a_worker_gets_no_more_of_a_step_than_allowed():
    demand = helpers.demand(
        'j', helpers.step(4, per_worker_max=2), per_worker_counts={'w1': 1}
    )
    groups = _planner.plan(
        [demand],
        [helpers.available_worker('w1'), helpers.available_worker('w2')],
        {},
    )
    assert sorted(sum(_workers_of(groups), [])) == ['w1', 'w2', 'w2']


def test_a_team_is_held_to_its_limit():
    available = {helpers.TEAM: messages.Resources(2_500, 1_000)}
    groups = _planner.plan(
        [helpers.demand('j', helpers.step(4))],
        [helpers.available_worker('w1')],
        available,
    )
    assert len(groups) == 2


def test_a_gang_that_does_not_start_gives_the_limit_back():
    available = {helpers.TEAM: messages.Resources(2_500, 1_000)}
    gang = helpers.demand('gang', helpers.step(3, gang=True))
    assert (
        _planner.plan([gang], [helpers.available_worker('w1')], available)
        == []
    )
    assert available[helpers.TEAM].cpu_millicores == 2_500


def test_a_task_goes_where_it_has_not_failed_before():
    demand = helpers.demand('j', helpers.step(), avoided=frozenset({'w1'}))
    workers = [
        helpers.available_worker('w1', 1_000),
        helpers.available_worker('w2'),
    ]
    assert _workers_of(_planner.plan([demand], workers, {})) == [['w2']]


def test_small_tasks_leave_the_emptiest_worker_to_large_ones():
    small = helpers.demand('small', helpers.step(), priority=0)
    large = helpers.demand('large', helpers.step(cpu=4_000))
    workers = [
        helpers.available_worker('w1'),
        helpers.available_worker('w2', 2_000),
    ]
    groups = _planner.plan([small, large], workers, {})
    assert _workers_of(groups) == [['w2'], ['w1']]


def _wait_reason(demand, workers, team_available=None):
    return _planner.wait_reason(demand, workers, team_available or {})


def test_the_wait_reason_is_reported():
    demand = helpers.demand('j', helpers.step(2, cpu=3_000))
    wait_reason = _planner.WaitReason
    assert _wait_reason(demand, []) is wait_reason.NO_WORKER
    assert (
        _wait_reason(demand, [helpers.available_worker('w1', 100)])
        is wait_reason.NO_ROOM
    )
    denied = dataclasses.replace(demand, tickets={'w2': 't'})
    assert (
        _wait_reason(denied, [helpers.available_worker('w1')])
        is wait_reason.NO_GRANT
    )
    limit = {helpers.TEAM: messages.Resources(10, 10)}
    assert (
        _wait_reason(demand, [helpers.available_worker('w1')], limit)
        is wait_reason.TEAM_LIMIT
    )
    gang = helpers.demand('j', helpers.step(2, cpu=3_000, gang=True))
    workers = [helpers.available_worker('w1')]
    assert _wait_reason(gang, workers) is wait_reason.UNFIT
    workers.append(helpers.available_worker('w2', 100))
    assert _wait_reason(gang, workers) is wait_reason.GANG


def _simulate_full_fleet(reserving):
    """Simulate a fleet that small tasks keep full, with one large task.

    In each round one small task ends on each of three workers and more small
    tasks arrive. Returns the round in which the large task starts.
    """
    free = {'w1': 1_000, 'w2': 1_000, 'w3': 1_000}
    for number in range(20):
        waited_ms = 300 * number if reserving else 0
        large = helpers.demand(
            'large', helpers.step(cpu=4_000), waited_ms=waited_ms
        )
        small = helpers.demand('small', helpers.step(9), priority=2)
        workers = [
            helpers.available_worker(name, cpu) for name, cpu in free.items()
        ]
        groups = _planner.plan([large, small], workers, {})
        for group in groups:
            if group[0].task.job_id == 'large':
                return number
            free[group[0].worker_id] -= 1_000
        free = {name: min(cpu + 1_000, 4_000) for name, cpu in free.items()}
    return None


def test_a_large_task_starts_on_a_fleet_that_small_ones_keep_full():
    assert _simulate_full_fleet(reserving=False) is None
    assert _simulate_full_fleet(reserving=True) <= 6


def test_urgent_tasks_may_use_reserved_workers():
    gang = helpers.demand(
        'g', helpers.step(3, cpu=4_000, gang=True), waited_ms=900
    )
    urgent = helpers.demand('urgent', helpers.step(), priority=0)
    workers = [
        helpers.available_worker(f'w{number}', 3_000) for number in range(3)
    ]
    groups = _planner.plan([gang, urgent], workers, {})
    assert [group[0].task.job_id for group in groups] == ['urgent']


def test_a_team_at_its_limit_reserves_no_worker():
    limit = {helpers.TEAM: messages.Resources(10, 10)}
    large = helpers.demand('large', helpers.step(cpu=4_000), waited_ms=900)
    other = helpers.demand(
        'other', helpers.step(3), team_id='other', priority=2
    )
    workers = [
        helpers.available_worker(f'w{number}', 1_000) for number in range(3)
    ]
    assert len(_planner.plan([large, other], workers, limit)) == 3


def test_granted_workers_with_expired_tickets_are_reserved():
    """Guards against less urgent tasks taking workers during a renewal."""
    gang = helpers.demand(
        'gang',
        helpers.step(3, cpu=2_000, gang=True),
        tickets={},
        granted={'w1', 'w2'},
        waited_ms=_planner.RESERVE_AFTER_MS,
    )
    small = helpers.demand('small', helpers.step(9), submitted_ms=1)
    workers = [
        helpers.available_worker(name)
        for name in ('w1', 'w2', 'w3', 'w4', 'w5', 'w6')
    ]
    groups = _planner.plan([gang, small], workers, {})
    assert {'w1', 'w2'}.isdisjoint(sum(_workers_of(groups), []))


def test_a_reserved_worker_is_a_separate_wait_reason():
    demand = helpers.demand(
        'j', helpers.step(), tickets={'w1': 't1'}, granted={'w1'}
    )
    reserved_worker = helpers.available_worker('w1', reserved=True)
    assert (
        _planner.wait_reason(demand, [reserved_worker], {})
        is _planner.WaitReason.RESERVED
    )
    refused = [helpers.available_worker('w2')]
    wait_reason = _planner.wait_reason(demand, refused, {})
    assert wait_reason is _planner.WaitReason.NO_GRANT


def test_waiting_gangs_do_not_reserve_the_whole_pool():
    """Regression test: nothing was placed on an empty fleet."""
    workers = [helpers.available_worker(f'w{n}', 3_000) for n in range(30)]
    gangs = [
        helpers.demand(
            f'gang{number}',
            helpers.step(30, cpu=4_000, gang=True),
            waited_ms=_planner.RESERVE_AFTER_MS,
            submitted_ms=number,
        )
        for number in range(4)
    ]
    small = helpers.demand('small', helpers.step(60), priority=2)
    groups = _planner.plan([*gangs, small], workers, {})
    assert len(groups) == 60
    reserved_count = sum(worker.reserved for worker in workers)
    assert reserved_count == 30 // _planner.RESERVED_DIVISOR


def _pressing_and_other(pressing_count, slack_ms):
    """Return the tasks placed of a job behind many pressing ones."""
    demands = [
        helpers.demand(
            f'u{number:03}', helpers.step(), priority=0, slack_left_ms=300
        )
        for number in range(pressing_count)
    ]
    demands.append(
        helpers.demand('other', helpers.step(8), slack_left_ms=slack_ms)
    )
    workers = [helpers.available_worker(f'w{number}') for number in range(60)]
    placed = [
        placement.task.job_id
        for group in _planner.plan(demands, workers, {})
        for placement in group
    ]
    assert len(placed) - placed.count('other') == pressing_count
    return placed.count('other')


def test_work_with_slack_waits_while_a_round_has_much_pressing_work():
    """Its starts would delay those of urgent jobs in a burst."""
    slack_ms = _planner.PRESSING_SLACK_MS
    assert _pressing_and_other(_planner.PRESSING_MAX, slack_ms) == 0


def test_work_with_slack_is_placed_beside_little_pressing_work():
    slack_ms = _planner.PRESSING_SLACK_MS
    assert _pressing_and_other(_planner.PRESSING_MAX - 1, slack_ms) == 8


@pytest.mark.parametrize(
    'slack_ms', [None, -5_000, _planner.PRESSING_SLACK_MS - 1]
)
def test_work_that_can_not_wait_is_placed_in_any_round(slack_ms):
    """Steps without an objective, such as services, are placed as well."""
    assert _pressing_and_other(_planner.PRESSING_MAX, slack_ms) == 8
