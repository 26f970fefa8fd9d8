"""Placement of waiting tasks."""

import dataclasses

from dandeliondrum.jobs import _planner
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages


def _workers_of(groups):
    return [[one.worker_id for one in group] for group in groups]


def test_no_worker_is_given_more_than_it_has():
    groups = _planner.plan(
        [helpers.demand('j', helpers.step(10, cpu=1_500))],
        [helpers.room('w1'), helpers.room('w2', 2_000)],
        {},
    )
    assert sorted(sum(_workers_of(groups), [])) == ['w1', 'w1', 'w2']


def test_tasks_that_fill_take_no_processors():
    groups = _planner.plan(
        [helpers.demand('j', helpers.step(3, cpu=9_000, fills=True))],
        [helpers.room('w1')],
        {},
    )
    assert len(groups) == 3


def test_a_gang_starts_whole_or_not_at_all():
    demand = helpers.demand('j', helpers.step(3, cpu=2_000, gang=True))
    assert _planner.plan([demand], [helpers.room('w1')], {}) == []
    rooms = [helpers.room('w1'), helpers.room('w2')]
    groups = _planner.plan([demand], rooms, {})
    assert [len(group) for group in groups] == [3]


def test_a_gang_that_does_not_fit_leaves_its_room_to_others():
    gang = helpers.demand('gang', helpers.step(3, cpu=2_000, gang=True))
    small = helpers.demand('small', helpers.step(2, cpu=2_000), submitted_ms=1)
    groups = _planner.plan([gang, small], [helpers.room('w1')], {})
    assert [group[0].task.job_id for group in groups] == ['small', 'small']


def test_urgent_queues_go_first_then_age():
    late = helpers.demand('late', helpers.step(), submitted_ms=2)
    early = helpers.demand('early', helpers.step(), submitted_ms=1)
    urgent = helpers.demand(
        'urgent', helpers.step(), priority=0, submitted_ms=3
    )
    groups = _planner.plan(
        [late, early, urgent], [helpers.room('w1', 2_000)], {}
    )
    assert [group[0].task.job_id for group in groups] == ['urgent', 'early']


def test_only_workers_with_a_ticket_are_used():
    demand = helpers.demand(
        'j', helpers.step(4), tickets={'w2': 't2'}, granted={'w2'}
    )
    groups = _planner.plan(
        [demand], [helpers.room('w1'), helpers.room('w2', 2_000)], {}
    )
    assert _workers_of(groups) == [['w2'], ['w2']]
    assert groups[0][0].ticket == 't2'


def test_only_workers_of_the_pool_are_used():
    rooms = [helpers.room('w1', pool='other'), helpers.room('w2')]
    groups = _planner.plan([helpers.demand('j', helpers.step(9))], rooms, {})
    assert set(sum(_workers_of(groups), [])) == {'w2'}


def test_labels_are_kept():
    demand = helpers.demand('j', helpers.step(required_label='b'))
    room = helpers.room('w2', labels=frozenset({'b'}))
    groups = _planner.plan([demand], [helpers.room('w1'), room], {})
    assert _workers_of(groups) == [['w2']]


def test_a_worker_gets_no_more_of_a_step_than_allowed():
    demand = helpers.demand(
        'j', helpers.step(4, per_worker_max=2), per_worker_counts={'w1': 1}
    )
    groups = _planner.plan(
        [demand], [helpers.room('w1'), helpers.room('w2')], {}
    )
    assert sorted(sum(_workers_of(groups), [])) == ['w1', 'w2', 'w2']


def test_a_team_is_held_to_its_limit():
    room = {helpers.TEAM: messages.Resources(2_500, 1_000)}
    groups = _planner.plan(
        [helpers.demand('j', helpers.step(4))], [helpers.room('w1')], room
    )
    assert len(groups) == 2


def test_a_gang_that_does_not_start_gives_the_limit_back():
    room = {helpers.TEAM: messages.Resources(2_500, 1_000)}
    gang = helpers.demand('gang', helpers.step(3, gang=True))
    assert _planner.plan([gang], [helpers.room('w1')], room) == []
    assert room[helpers.TEAM].cpu_millicores == 2_500


def test_a_task_goes_where_it_has_not_failed_before():
    demand = helpers.demand('j', helpers.step(), avoided=frozenset({'w1'}))
    rooms = [helpers.room('w1', 1_000), helpers.room('w2')]
    assert _workers_of(_planner.plan([demand], rooms, {})) == [['w2']]


def test_small_tasks_leave_the_emptiest_worker_to_large_ones():
    small = helpers.demand('small', helpers.step(), priority=0)
    large = helpers.demand('large', helpers.step(cpu=4_000))
    rooms = [helpers.room('w1'), helpers.room('w2', 2_000)]
    groups = _planner.plan([small, large], rooms, {})
    assert _workers_of(groups) == [['w2'], ['w1']]


def _obstacle(demand, rooms, team_room=None):
    return _planner.obstacle(demand, rooms, team_room or {})


def test_what_keeps_a_demand_waiting_is_named():
    demand = helpers.demand('j', helpers.step(2, cpu=3_000))
    obstacle = _planner.Obstacle
    assert _obstacle(demand, []) is obstacle.NO_WORKER
    assert _obstacle(demand, [helpers.room('w1', 100)]) is obstacle.NO_ROOM
    denied = dataclasses.replace(demand, tickets={'w2': 't'})
    assert _obstacle(denied, [helpers.room('w1')]) is obstacle.NO_GRANT
    limit = {helpers.TEAM: messages.Resources(10, 10)}
    assert (
        _obstacle(demand, [helpers.room('w1')], limit) is obstacle.TEAM_LIMIT
    )
    gang = helpers.demand('j', helpers.step(2, cpu=3_000, gang=True))
    assert _obstacle(gang, [helpers.room('w1')]) is obstacle.GANG


def _play_full_fleet(reserving):
    """Plays a fleet that small tasks keep full, with one large task.

    Each round one small task ends on each of three workers and more small
    ones come. Returns the round in which the large task starts.
    """
    free = {'w1': 1_000, 'w2': 1_000, 'w3': 1_000}
    for number in range(20):
        waited_ms = 300 * number if reserving else 0
        large = helpers.demand(
            'large', helpers.step(cpu=4_000), waited_ms=waited_ms
        )
        small = helpers.demand('small', helpers.step(9), priority=2)
        rooms = [helpers.room(name, cpu) for name, cpu in free.items()]
        groups = _planner.plan([large, small], rooms, {})
        for group in groups:
            if group[0].task.job_id == 'large':
                return number
            free[group[0].worker_id] -= 1_000
        free = {name: min(cpu + 1_000, 4_000) for name, cpu in free.items()}
    return None


def test_a_large_task_starts_on_a_fleet_that_small_ones_keep_full():
    assert _play_full_fleet(reserving=False) is None
    assert _play_full_fleet(reserving=True) <= 6


def test_urgent_tasks_may_use_what_is_kept_free():
    gang = helpers.demand(
        'g', helpers.step(4, cpu=4_000, gang=True), waited_ms=900
    )
    urgent = helpers.demand('urgent', helpers.step(), priority=0)
    rooms = [helpers.room(f'w{number}') for number in range(3)]
    groups = _planner.plan([gang, urgent], rooms, {})
    assert [group[0].task.job_id for group in groups] == ['urgent']


def test_a_team_at_its_limit_keeps_no_worker_free():
    limit = {helpers.TEAM: messages.Resources(10, 10)}
    large = helpers.demand('large', helpers.step(cpu=4_000), waited_ms=900)
    other = helpers.demand(
        'other', helpers.step(3), team_id='other', priority=2
    )
    rooms = [helpers.room(f'w{number}', 1_000) for number in range(3)]
    assert len(_planner.plan([large, other], rooms, limit)) == 3


def test_room_is_kept_on_granted_workers_whose_tickets_ran_out():
    """Else less urgent tasks take the room while tickets are renewed."""
    gang = helpers.demand(
        'gang',
        helpers.step(3, cpu=2_000, gang=True),
        tickets={},
        granted={'w1', 'w2'},
        waited_ms=_planner.RESERVE_AFTER_MS,
    )
    small = helpers.demand('small', helpers.step(9), submitted_ms=1)
    rooms = [
        helpers.room(name) for name in ('w1', 'w2', 'w3', 'w4', 'w5', 'w6')
    ]
    groups = _planner.plan([gang, small], rooms, {})
    assert {'w1', 'w2'}.isdisjoint(sum(_workers_of(groups), []))


def test_what_is_kept_for_others_is_an_obstacle_of_its_own():
    demand = helpers.demand(
        'j', helpers.step(), tickets={'w1': 't1'}, granted={'w1'}
    )
    kept = helpers.room('w1', reserved=True)
    assert _planner.obstacle(demand, [kept], {}) is _planner.Obstacle.KEPT
    refused = [helpers.room('w2')]
    obstacle = _planner.obstacle(demand, refused, {})
    assert obstacle is _planner.Obstacle.NO_GRANT
