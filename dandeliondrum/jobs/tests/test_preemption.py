"""Preemption of runs for more urgent demands."""

import dataclasses
import itertools
import threading

from dandeliondrum import jobs
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _demands
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _preemption
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import queueing
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages

WAITED_MS = _planner.RESERVE_AFTER_MS
LOW_PRIORITY = 2


def _run(index, cpu, worker_id='w1', priority=LOW_PRIORITY, **more):
    known = _preemption.PreemptibleRun(
        _specs.TaskKey('batch', 0, index),
        1,
        worker_id,
        messages.Resources(cpu, 10),
        priority,
    )
    return dataclasses.replace(known, **more)


def _gang(tasks_count, cpu, **more):
    spec = helpers.step(tasks_count, cpu=cpu, gang=True)
    return helpers.demand('gang', spec, waited_ms=WAITED_MS, **more)


def _plan(demands, workers, runs):
    preemption = _preemption.Preemption(
        lambda worker_id: [one for one in runs if one.worker_id == worker_id]
    )
    groups = _planner.plan(demands, workers, {}, preemption)
    return groups, [one.task.index for one in preemption.chosen]


def test_a_waiting_gang_preempts_less_urgent_runs():
    workers = [
        helpers.available_worker('w1', 0),
        helpers.available_worker('w2', 2_000),
    ]
    runs = [_run(0, 2_000), _run(1, 1_000), _run(2, 1_000)]
    groups, stopped = _plan([_gang(3, 1_000)], workers, runs)
    # Stopping one run is enough for the task that does not fit on w2.
    assert (groups, stopped) == ([], [0])


def test_nothing_is_stopped_for_a_gang_that_would_not_fit_even_then():
    workers = [helpers.available_worker('w1', 0)]
    runs = [_run(0, 2_000)]
    assert _plan([_gang(3, 1_000)], workers, runs) == ([], [])


def test_nothing_is_stopped_for_a_demand_that_has_just_come():
    demand = dataclasses.replace(_gang(1, 1_000), waited_ms=0)
    workers = [helpers.available_worker('w1', 0)]
    assert _plan([demand], workers, [_run(0, 2_000)]) == ([], [])


def test_nothing_is_stopped_for_a_demand_that_is_late():
    workers = [helpers.available_worker('w1', 0)]
    late = _gang(1, 1_000, urgency=queueing.Urgency.LATE)
    assert _plan([late], workers, [_run(0, 2_000)]) == ([], [])


def test_runs_of_the_same_priority_are_not_preempted():
    workers = [helpers.available_worker('w1', 0)]
    runs = [_run(0, 2_000, priority=1)]
    assert _plan([_gang(1, 1_000)], workers, runs) == ([], [])


def test_what_is_being_stopped_counts_and_is_not_given_to_others():
    workers = [helpers.available_worker('w1', 1_000)]
    runs = [_run(0, 2_000, stopping=True), _run(1, 1_000)]
    small = helpers.demand(
        'small', helpers.step(cpu=500), priority=LOW_PRIORITY
    )
    groups, stopped = _plan([_gang(3, 1_000), small], workers, runs)
    assert (groups, stopped) == ([], [])


def test_nothing_is_stopped_for_a_gang_that_its_team_may_not_run():
    """The limit of the team allows two of three tasks."""
    workers = [
        helpers.available_worker('w1', 0),
        helpers.available_worker('w2', 4_000),
    ]
    runs = [_run(index, 1_000) for index in range(4)]
    limit = {helpers.TEAM: messages.Resources(2_000, 1_000)}
    preemption = _preemption.Preemption(lambda _worker_id: runs)
    gang = _gang(3, 1_000, granted={'w1'}, tickets={'w1': 't1'})
    assert _planner.plan([gang], workers, limit, preemption) == []
    assert (preemption.chosen, workers[0].reserved) == ([], False)
    wait_reason = _planner.wait_reason(gang, workers, limit)
    assert wait_reason is _planner.WaitReason.TEAM_LIMIT


def test_two_gangs_do_not_reserve_the_same_resources():
    workers = [helpers.available_worker('w1', 0)]
    runs = [_run(0, 1_000), _run(1, 1_000)]
    first, second = _gang(1, 1_000), _gang(1, 1_000)
    second = dataclasses.replace(second, job_id='other')
    _, stopped = _plan([first, second], workers, runs)
    assert len(stopped) == 1


def test_tasks_that_may_start_alone_get_what_there_is():
    spec = helpers.step(3, cpu=1_000)
    demand = helpers.demand('j', spec, waited_ms=WAITED_MS)
    _, stopped = _plan(
        [demand], [helpers.available_worker('w1', 0)], [_run(0, 1_000)]
    )
    assert stopped == [0]


def test_a_worker_that_has_shrunk_below_its_runs_is_not_counted_as_free():
    """Regression test: it was reserved for tasks that could not start."""
    shrunk = helpers.available_worker('w1', -500)
    runs = [_run(0, 1_000)]
    filling = helpers.demand(
        'filling', helpers.step(uses_idle_cpu=True), waited_ms=WAITED_MS
    )
    assert _plan([filling], [shrunk], runs) == ([], [0])
    assert _plan([filling], [shrunk], []) == ([], [])
    shrunk = helpers.available_worker('w1', -500)
    preemption = _preemption.Preemption()
    _planner.plan([filling], [shrunk], {}, preemption)
    assert not preemption.steps_with_capacity and not preemption.chosen


def test_nothing_is_stopped_for_a_task_that_fits_no_worker_any_more():
    shrunk = [
        helpers.available_worker(
            name, 500, capacity=messages.Resources(1_500, 1_000)
        )
        for name in ('w1', 'w2', 'w3')
    ]
    runs = [_run(0, 1_000), _run(1, 1_000, 'w2'), _run(2, 1_000, 'w3')]
    large = helpers.demand('j', helpers.step(cpu=2_000), waited_ms=WAITED_MS)
    assert _plan([large], shrunk, runs) == ([], [])
    assert not any(worker.reserved for worker in shrunk)


def test_only_runs_that_have_begun_and_lose_no_work_are_preempted():
    machine = helpers.Machine(())
    machine(_commands.PutWorker(helpers.facts('w1', cpu=5_000)))
    saves = helpers.step(3, checkpointing=True)
    gang = helpers.step(1, checkpointing=True, gang=True)
    spec = helpers.job('j', saves, helpers.step(1), gang)
    machine(_commands.SubmitJob(spec))
    begun = ('j.0.0.0', 'j.0.1.0', 'j.0.2.0')
    for task in (*begun, 'j.0.0.2'):
        assert machine.assign(task)
    assert machine.assign(
        'j.0.0.1', run=_preemption.PREEMPTIBLE_RUN_NUMBER_MAX + 1
    )
    orders = _orders.OrderBook(threading.RLock())
    for task in begun:
        orders.mark_listed(jobs.parse_task_key(task), 1, '')
    often = jobs.parse_task_key('j.0.0.1')
    orders.mark_listed(often, _preemption.PREEMPTIBLE_RUN_NUMBER_MAX + 1, '')
    assert _preemptible(machine, orders) == ['j.0.0.0']
    orders.stop(jobs.parse_task_key('j.0.1.0'), 1)
    assert _preemptible(machine, orders) == ['j.0.0.0', 'j.0.1.0']


def _preemptible(machine, orders):
    runs = _demands.preemptible_runs(machine.state, 'w1', orders)
    return sorted(str(one.task) for one in runs)


class FullFleet:
    """Simulation of workers that a backlog of short tasks keeps full.

    Time advances in planning rounds. Stopping a run takes ``STOP_MS``.
    """

    ROUND_MS = 50
    RUN_MS = 2_700
    STOP_MS = 300
    CPU = 1_000

    def __init__(self, workers_count, preempts):
        self.now_ms = 0
        self.names = [f'w{number}' for number in range(workers_count)]
        self.preempts = preempts
        # End times by worker and run, in the order of the starts.
        self.ends_ms = {name: {} for name in self.names}
        self.stopping = set()
        self.numbers = itertools.count()
        for position, name in enumerate(self.names):
            for slot in range(4):
                spread_ms = self.RUN_MS * (4 * position + slot)
                self._start(name, spread_ms // (4 * workers_count))

    def _start(self, name, end_ms):
        self.ends_ms[name][next(self.numbers)] = end_ms

    def _runs_of(self, name):
        if not self.preempts:
            return []
        return [
            _run(index, self.CPU, name, stopping=index in self.stopping)
            for index in self.ends_ms[name]
        ]

    def wait_of(self, gang, limit_ms=30_000):
        """Return how long a gang waits until it starts."""
        began_ms = self.now_ms
        while self.now_ms - began_ms < limit_ms:
            waited_ms = self.now_ms - began_ms
            if self._round(dataclasses.replace(gang, waited_ms=waited_ms)):
                return waited_ms
            self.now_ms += self.ROUND_MS
        return limit_ms

    def _round(self, gang):
        for ends in self.ends_ms.values():
            for index in [i for i, end in ends.items() if end <= self.now_ms]:
                del ends[index]
        workers = [
            helpers.available_worker(
                name, 4_000 - self.CPU * len(self.ends_ms[name])
            )
            for name in self.names
        ]
        batch = helpers.demand(
            'batch', helpers.step(40, cpu=self.CPU), priority=LOW_PRIORITY
        )
        preemption = _preemption.Preemption(self._runs_of)
        groups = _planner.plan([gang, batch], workers, {}, preemption)
        for one in preemption.chosen:
            self.stopping.add(one.task.index)
            end_ms = self.now_ms + self.STOP_MS
            self.ends_ms[one.worker_id][one.task.index] = end_ms
        for placement, *others in groups:
            if placement.task.job_id == gang.job_id:
                return True
            self._start(placement.worker_id, self.now_ms + self.RUN_MS)
        return False


def test_a_gang_starts_soon_in_a_fleet_that_is_full_of_short_tasks():
    """Simulates a full fleet and a gang that needs a third of it.

    The gang has tickets for half of the workers. It starts once it may preempt
    runs and the stops have completed.
    """
    granted = {f'w{number}' for number in range(6)}
    gang = _gang(8, 2_000, granted=granted, tickets=dict.fromkeys(granted, ''))
    waited_ms = FullFleet(12, preempts=True).wait_of(gang)
    max_wait_ms = WAITED_MS + FullFleet.STOP_MS + 2 * FullFleet.ROUND_MS
    assert waited_ms <= max_wait_ms
    assert FullFleet(12, preempts=False).wait_of(gang) > 2 * max_wait_ms
