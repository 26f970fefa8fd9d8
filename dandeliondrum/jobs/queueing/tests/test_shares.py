"""Teams that compete for one pool, one of them with far more than usual.

The load: ten teams with equal weights fill a fleet; one of them sends six
times its usual load for 15 s.
"""

import functools
import statistics

from dandeliondrum.jobs import queueing
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import load_simulation as simulation
from dandeliondrum import messages

WORKERS_COUNT = 20
TRAFFIC_MS = 25_000
END_MS = 50_000
SEEDS = range(3)
NOISY = 'team 0'
TEAMS = [NOISY, *(f'team {number}' for number in range(1, 10))]
BURST = ((5_000, 20_000, 6.0),)
KINDS = (
    simulation.JobClass(
        'bulk',
        rate=0.04,
        steps_mean=1.2,
        tasks_count=20,
        run_ms=5_000,
        cpu=4_500,
        priority=1,
        stretch=2.2,
        target_ms=1_200,
    ),
    simulation.JobClass(
        'normal',
        rate=0.127,
        steps_mean=1.3,
        tasks_count=9,
        run_ms=2_700,
        cpu=2_800,
        priority=1,
        stretch=2.5,
        target_ms=2_000,
    ),
    simulation.JobClass(
        'urgent',
        rate=0.69,
        steps_mean=1.0,
        tasks_count=3,
        run_ms=800,
        cpu=3_900,
        priority=0,
        stretch=1.5,
        target_ms=500,
    ),
)


@functools.cache
def _values(order, has_burst):
    """Return the mean value of the jobs of the noisy team and of others."""
    plays = [
        simulation.Simulation(
            [
                kind.of_team(
                    team, BURST if has_burst and team == NOISY else ()
                )
                for team in TEAMS
                for kind in KINDS
            ],
            WORKERS_COUNT,
            seed,
            order,
            dict.fromkeys(TEAMS, 1),
        ).run(TRAFFIC_MS, END_MS)
        for seed in SEEDS
    ]
    found = {True: [], False: []}
    for play in plays:
        for job in play.jobs:
            found[job.kind.team == NOISY].append(job.value())
    return {key: statistics.mean(values) for key, values in found.items()}


def test_a_burst_of_one_team_costs_the_others_less_than_before():
    usual = _values(simulation.Order.CURRENT, False)[False]
    before = _values(simulation.Order.LATENESS, True)[False]
    now = _values(simulation.Order.CURRENT, True)[False]
    assert usual - now <= 0.7 * (usual - before)


def test_the_team_with_the_burst_uses_what_the_others_leave():
    values = _values(simulation.Order.CURRENT, True)
    assert values[True] >= 0.5


def test_teams_with_an_even_load_are_served_as_before():
    before = _values(simulation.Order.LATENESS, False)
    now = _values(simulation.Order.CURRENT, False)
    assert now[False] >= before[False] - 0.01


def _demand(name, team='a', tasks_count=1, **more):
    return helpers.demand(
        name, helpers.step(tasks_count), team_id=team, **more
    )


def _contention(weights, running=None, free=0):
    room = queueing.PoolRoom(
        messages.Resources(10_000, 10_000), messages.Resources(free, 10_000)
    )
    return queueing.Contention(
        {'pool': room}, {'pool': running or queueing.Running()}, weights
    )


def _running(team, cpu, priority=1):
    running = queueing.Running()
    running.add(team, priority, messages.Resources(cpu, 0), 1_000)
    return running


def _names(demands, contention):
    return [one.job_id for one in queueing.order(demands, contention, 0)]


def test_a_team_far_above_its_share_goes_behind_others():
    demands = [
        _demand('a', 'a', 60, latest_start_ms=1),
        _demand('a too', 'a', latest_start_ms=2),
        _demand('b', 'b', latest_start_ms=3),
    ]
    weights = {'a': 1, 'b': 1}
    found = _names(demands, _contention(weights, _running('a', 6_000)))
    assert found == ['b', 'a', 'a too']


def test_the_share_counts_only_within_a_priority_and_a_class():
    demands = [
        _demand('much', 'a', 60, priority=1),
        _demand('urgent', 'a', priority=0),
        _demand('other', 'b', priority=1),
        _demand('late', 'b', urgency=queueing.Urgency.LATE),
    ]
    contention = _contention({'a': 1, 'b': 1}, _running('a', 6_000))
    found = _names(demands, contention)
    assert found == ['urgent', 'other', 'much', 'late']


def test_a_larger_weight_is_a_larger_share():
    demands = [
        _demand('a', 'a', 60, latest_start_ms=1),
        _demand('b', 'b', latest_start_ms=3),
    ]
    running = _running('a', 6_000)
    found = _names(demands, _contention({'a': 9, 'b': 1}, running))
    assert found == ['a', 'b']


def test_the_order_is_that_of_before_without_contention_or_weights():
    demands = [
        _demand('a', 'a', 60, latest_start_ms=1, waited_ms=10**9),
        _demand('b', 'b', latest_start_ms=3),
    ]
    running = {'pool': _running('a', 6_000)}
    unshared = _contention({'a': 1, 'b': 0}, running['pool'])
    assert _names(demands, unshared) == ['a', 'b']
    free = queueing.Contention({}, running, {'a': 1, 'b': 1})
    assert _names(demands, free) == ['a', 'b']
    assert all(one.standing == queueing.NEUTRAL for one in demands)


def test_a_pool_is_under_contention_if_the_due_work_exceeds_what_is_free():
    rooms = queueing.pool_rooms([helpers.available_worker('w1', cpu=3_000)])
    fitting = [_demand('a', tasks_count=3)]
    assert queueing.contended_pools(fitting, rooms) == {}
    demands = [*fitting, _demand('b')]
    assert list(queueing.contended_pools(demands, rooms)) == ['pool']


def test_what_has_waited_longest_goes_first_one_at_a_time():
    no_use = queueing.Urgency.NO_USE
    waited_ms = queueing.WAIT_MAX_MS
    demands = [
        _demand('fresh', priority=0),
        _demand('old', urgency=no_use, waited_ms=waited_ms),
        _demand('older', urgency=no_use, waited_ms=waited_ms + 1),
    ]
    found = _names(demands, _contention({}))
    assert found == ['older', 'fresh', 'old']
    assert queueing.cause_of(demands[2]) is queueing.Cause.OVERDUE
