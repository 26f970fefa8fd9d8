"""Placement of tasks that are suspected of crashing workers."""

import dataclasses
import threading

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _crashes
from dandeliondrum.jobs import _demands
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _preemption
from dandeliondrum.jobs import queueing
from dandeliondrum.jobs.tests import helpers


def _isolated(name, spec, **more):
    return helpers.demand(name, spec, **{'crashes_count': 1, **more})


def _busy(worker_id, **more):
    return helpers.available_worker(worker_id, is_empty=False, **more)


def _placements(groups):
    return [
        (one.task.job_id, one.task.index, one.worker_id)
        for group in groups
        for one in group
    ]


def test_suspects_of_a_job_share_an_empty_worker_with_nothing_else():
    groups = _planner.plan(
        [
            _isolated('a', helpers.step(2)),
            helpers.demand('b', helpers.step(2)),
        ],
        [_busy('w1'), helpers.available_worker('w2')],
        {},
    )
    assert _placements(groups) == [
        ('a', 0, 'w2'),
        ('a', 1, 'w2'),
        ('b', 0, 'w1'),
        ('b', 1, 'w1'),
    ]


def test_suspects_of_two_jobs_do_not_share_a_worker():
    workers = [helpers.available_worker(f'w{n}') for n in range(8)]
    groups = _planner.plan(
        [_isolated(name, helpers.step()) for name in 'ab'], workers, {}
    )
    placed = _placements(groups)
    assert len({worker_id for _, _, worker_id in placed}) == len(placed) == 2


def test_the_empty_worker_that_has_been_up_longest_is_chosen():
    workers = [
        helpers.available_worker('w1', started_ms=30),
        helpers.available_worker('w2', started_ms=10),
        helpers.available_worker('w3', started_ms=20),
    ]
    groups = _planner.plan([_isolated('a', helpers.step())], workers, {})
    assert _placements(groups) == [('a', 0, 'w2')]


def test_a_worker_on_which_the_step_failed_is_chosen_last():
    demand = _isolated('a', helpers.step(), avoided=frozenset({'w1'}))
    workers = [
        helpers.available_worker('w1', started_ms=10),
        helpers.available_worker('w2', started_ms=20),
    ]
    assert _placements(_planner.plan([demand], workers, {})) == [
        ('a', 0, 'w2')
    ]


def test_a_worker_that_got_a_task_in_the_round_is_not_empty():
    groups = _planner.plan(
        [
            helpers.demand('a', helpers.step()),
            _isolated('b', helpers.step()),
        ],
        [helpers.available_worker('w1')],
        {},
    )
    assert _placements(groups) == [('a', 0, 'w1')]


def test_one_worker_drains_for_a_suspect_without_an_empty_one():
    workers = [_busy(f'w{n}', cpu=1_000 * n) for n in range(1, 5)]
    demand = _isolated(
        'a', helpers.step(9), waited_ms=_planner.RESERVE_AFTER_MS
    )
    preemption = _preemption.Preemption(lambda _: pytest.fail('preempted'))
    assert _planner.plan([demand], workers, {}, preemption) == []
    assert [one.worker_id for one in workers if one.reserved] == ['w4']
    reason = _planner.wait_reason(demand, workers, {})
    assert reason is _planner.WaitReason.ISOLATION


@pytest.mark.parametrize(
    'crashes_count, wait_ms',
    [
        (1, _planner.ISOLATION_WAIT_MS),
        (2, _planner.ISOLATION_LONG_WAIT_MS),
    ],
)
def test_a_suspect_that_has_waited_for_long_uses_a_worker_that_is_busy(
    crashes_count, wait_ms
):
    workers = [_busy(f'w{n}', cpu=1_000 * n) for n in range(1, 4)]
    demand = _isolated('a', helpers.step(), crashes_count=crashes_count)
    demand.waited_ms = wait_ms - 1
    assert _planner.plan([demand], workers, {}) == []
    for worker in workers:
        worker.reserved = False
    demand.waited_ms = wait_ms
    groups = _planner.plan([demand], workers, {})
    assert _placements(groups) == [('a', 0, 'w3')]


@pytest.mark.parametrize(
    'workers_count, kept_count, silent_count, placed_count',
    [
        (8, 0, 0, 2),
        (7, 1, 0, 1),
        (6, 2, 0, 0),
        (2, 0, 0, 1),
        (1, 1, 0, 0),
        (6, 0, 2, 2),
        (5, 0, 3, 1),
        (4, 0, 4, 0),
        (4, 1, 3, 0),
    ],
)
def test_suspects_use_at_most_a_quarter_of_the_workers(
    workers_count, kept_count, silent_count, placed_count
):
    workers = [helpers.available_worker(f'w{n}') for n in range(workers_count)]
    demands = [
        _isolated(name, helpers.step(), waited_ms=60_000) for name in 'abcdef'
    ]
    isolation = _planner.Isolation(
        {'pool': kept_count}, {'pool': silent_count}
    )
    groups = _planner.plan(demands, workers, {}, isolation=isolation)
    assert len(groups) == placed_count
    assert sum(worker.reserved for worker in workers) == placed_count


def test_a_late_suspect_of_one_crash_keeps_its_place():
    late = _isolated('a', helpers.step(), urgency=queueing.Urgency.LATE)
    other = helpers.demand('b', helpers.step(), submitted_ms=1)
    workers = [helpers.available_worker('w1')]
    groups = _planner.plan([other, late], workers, {})
    assert _placements(groups) == [('a', 0, 'w1')]


def test_suspects_with_the_fewest_crashes_come_first():
    demands = [
        _isolated('a', helpers.step(), crashes_count=3),
        _isolated('b', helpers.step(), crashes_count=1),
        _isolated('c', helpers.step(), crashes_count=2),
    ]
    workers = [helpers.available_worker('w1')]
    groups = _planner.plan(demands, workers, {})
    assert _placements(groups) == [('b', 0, 'w1')]


def _machine(*steps):
    machine = helpers.Machine()
    machine(_commands.SubmitJob(helpers.job('j', *steps)))
    return machine


def _crash(machine, task, run=1, suspicion=jobs.Suspicion.STARTING):
    key = jobs.parse_task_key(task)
    outcome = jobs.RunOutcome.CRASHED
    assert machine.assign(task, run)
    machine(
        _commands.EndRuns(
            (jobs.RunEnd(key, run, outcome, suspicion=suspicion),)
        )
    )


def _due(demands):
    return [(demand.indexes, demand.isolated) for demand, _ in demands]


def test_suspects_are_due_after_the_other_tasks_of_their_step():
    machine = _machine(helpers.step(3))
    cache = _demands.DemandCache()
    assert _due(cache.read(machine.state)) == [((0, 1, 2), False)]
    _crash(machine, 'j.0.0.1')
    assert _due(cache.read(machine.state)) == [((0, 2), False)]
    assert machine.assign('j.0.0.0')
    assert machine.assign('j.0.0.2')
    assert _due(cache.read(machine.state)) == [((1,), True)]


def test_a_gang_is_not_isolated():
    machine = _machine(helpers.step(2, gang=True))
    _crash(machine, 'j.0.0.0')
    assert _due(_demands.open_demands(machine.state)) == [((0, 1), False)]


def test_a_worker_is_empty_while_no_run_is_assigned():
    machine = _machine(helpers.step(uses_idle_cpu=True))
    cache = _demands.WorkerCache()
    worker = machine.state.workers['w1']
    assert cache.read([(worker, 0)])[0].is_empty
    assert machine.assign('j.0.0.0')
    assert not cache.read([(worker, 0)])[0].is_empty


class _Suspect:
    """A suspect that runs on a worker, and the order of its run."""

    def __init__(self, *crashes, step=None):
        self.machine = _machine(step or helpers.step())
        self.key = jobs.parse_task_key('j.0.0.0')
        self.book = _orders.OrderBook(threading.RLock())
        for run, suspicion in enumerate(crashes, 1):
            _crash(self.machine, 'j.0.0.0', run, suspicion)
        self.run = len(crashes) + 1
        assert self.machine.assign('j.0.0.0', self.run)
        self.book.plan(self.key, _orders.Order(self.run, '', '', ''))

    def isolating(self, listed_ms=None):
        """Return the workers that are kept for the suspect."""
        now_ms = 100_000
        if listed_ms is not None:
            self.book.mark_listed(self.key, self.run, '')
            order = self.book.get(self.key, self.run)
            order.since_ms = now_ms - listed_ms
        return _demands.isolating_workers(
            self.machine.state, {'w1': self.book}, now_ms
        )


def test_a_worker_is_kept_until_the_suspect_has_been_listed_for_a_while():
    suspect = _Suspect(jobs.Suspicion.STARTING)
    assert suspect.isolating() == {'w1'}
    assert suspect.isolating(_crashes.STARTING_MS - 1) == {'w1'}
    assert suspect.isolating(_crashes.STARTING_MS) == set()


def test_a_worker_is_kept_for_longer_after_three_crashes():
    suspect = _Suspect(*3 * (jobs.Suspicion.SHARED,))
    assert suspect.isolating(_demands.LONG_PROBATION_MS - 1) == {'w1'}


def test_no_worker_is_kept_for_a_suspect_that_runs_for_ever():
    """Regression test: other suspects were never started (LOST)."""
    step = helpers.step(endless=True)
    suspect = _Suspect(*3 * (jobs.Suspicion.SHARED,), step=step)
    assert suspect.isolating(_demands.LONG_PROBATION_MS) == set()


def test_a_new_leader_keeps_the_worker_until_it_knows_the_run():
    suspect = _Suspect(jobs.Suspicion.STARTING)
    suspect.book.forget(suspect.key, suspect.run)
    assert suspect.isolating() == {'w1'}
    assert suspect.isolating(_crashes.STARTING_MS) == set()


def test_no_worker_is_kept_for_others():
    assert _Suspect(jobs.Suspicion.SHARED).isolating() == set()
    gang = helpers.step(2, gang=True)
    assert _Suspect(jobs.Suspicion.STARTING, step=gang).isolating() == set()


def test_no_worker_is_kept_for_a_job_that_has_ended():
    suspect = _Suspect(jobs.Suspicion.STARTING)
    suspect.machine(_commands.CancelJob('j'))
    assert suspect.isolating() == set()


def test_a_reply_about_a_restart_changes_the_age_of_a_worker():
    machine = helpers.Machine()
    cache = _demands.WorkerCache()
    worker = machine.state.workers['w1']
    machine(
        _commands.PutWorker(dataclasses.replace(worker.facts, started_ms=7))
    )
    assert cache.read([(worker, 0)])[0].started_ms == 7
