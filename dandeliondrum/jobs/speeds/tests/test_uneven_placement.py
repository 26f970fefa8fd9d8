"""Placement on workers of different speeds, and runs to stop for others."""

import dataclasses

from dandeliondrum.jobs import _advice_candidates
from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _preemption
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import queueing
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages

SLOW_SPEED = 0.45
RUN_MS = 1_000
# On a slow worker the run takes 1,222 ms longer.
SLACK_MS = 1_000


def _fleet(slow=2, fast=2, **more):
    return [
        helpers.available_worker(f'slow{n}', speed=SLOW_SPEED, **more)
        for n in range(slow)
    ] + [helpers.available_worker(f'fast{n}', **more) for n in range(fast)]


def _placed(workers, demand):
    """Return the workers of the placed tasks."""
    groups = _planner.plan([demand], workers, {})
    return [one.worker_id for group in groups for one in group]


def _step(count=1, cpu=1_000, slack_left_ms=None, **more):
    spec = helpers.step(count, cpu, expected_run_ms=RUN_MS, **more)
    return helpers.demand('j', spec, slack_left_ms=slack_left_ms)


def test_tasks_fill_up_fast_workers_first():
    workers = _fleet()
    workers[3].free = messages.Resources(2_000, 1_000)
    assert _placed(workers, _step(5)) == [
        'fast1', 'fast1', 'fast0', 'fast0', 'fast0',
    ]  # fmt: skip


def test_a_reliable_slow_worker_comes_before_a_fast_one_that_fails():
    workers = _fleet(1, 1)
    workers[1].penalty = 1
    assert _placed(workers, _step()) == ['slow0']


def test_a_gang_takes_fast_workers_if_it_fits_there():
    assert set(_placed(_fleet(), _step(8, gang=True))) == {'fast0', 'fast1'}


def test_a_gang_that_would_wait_for_a_slow_member_leaves_the_fast_workers():
    workers = _fleet(slow=3, fast=2)
    placed = _placed(workers, _step(9, gang=True))
    assert {one[:4] for one in placed} == {'slow'}


def test_a_gang_that_needs_all_workers_is_placed_on_all():
    assert len(set(_placed(_fleet(), _step(14, gang=True)))) == 4


def test_a_gang_stays_off_an_unreliable_worker_of_the_same_speed():
    workers = _fleet(slow=3, fast=2)
    workers[0].penalty = 1
    assert 'slow0' not in _placed(workers, _step(9, gang=True))


def _full_fast_workers():
    workers = _fleet()
    for worker in workers[2:]:
        worker.free = messages.Resources(0, 0)
    return workers


def test_a_task_that_would_be_late_on_a_slow_worker_waits_for_a_fast_one():
    workers = _full_fast_workers()
    demand = _step(slack_left_ms=SLACK_MS)
    assert _placed(workers, demand) == []
    reason = _planner.wait_reason(demand, workers, {})
    assert reason is _planner.WaitReason.TOO_SLOW


def test_workers_are_reserved_for_it_only_among_the_fast_ones():
    workers = _full_fast_workers()
    demand = _step(slack_left_ms=SLACK_MS)
    demand.waited_ms = _planner.RESERVE_AFTER_MS
    for number in range(4):
        workers.append(helpers.available_worker(f'other{number}', cpu=0))
    assert _placed(workers, demand) == []
    reserved = [one.worker_id for one in workers if one.reserved]
    assert reserved and not any('slow' in one for one in reserved)


def test_a_task_with_time_left_starts_on_a_slow_worker():
    demand = _step(slack_left_ms=1_300)
    assert _placed(_full_fast_workers(), demand)


def test_a_task_starts_on_any_worker_at_its_latest_start():
    # Waiting for fast workers ends there, however full they are.
    late = queueing.Urgency.LATE
    demand = dataclasses.replace(_step(slack_left_ms=-1), urgency=late)
    assert _placed(_full_fast_workers(), demand)


def test_a_task_without_objective_starts_on_any_worker():
    assert _placed(_full_fast_workers(), _step())


def test_a_gang_larger_than_the_fast_workers_starts_on_any():
    demand = _step(10, slack_left_ms=SLACK_MS, gang=True)
    assert len(_placed(_fleet(), demand)) == 10


def test_a_task_that_only_slow_workers_are_granted_starts_there():
    demand = _step(slack_left_ms=SLACK_MS)
    demand.granted, demand.tickets = {'slow0'}, {'slow0': 't'}
    assert _placed(_fleet(), demand) == ['slow0']


def test_the_adviser_is_asked_about_faster_workers_first():
    workers = _fleet()
    for worker in workers[2:]:
        worker.free = messages.Resources(1_000, 1_000)
    found = _advice_candidates.CandidateWorkers(workers, {'fast0'}).select(
        _step(cpu=2_000), only_with_capacity=False
    )
    assert [one.worker_id for one in found] == [
        'fast1', 'slow0', 'slow1', 'fast0',
    ]  # fmt: skip
    found = _advice_candidates.CandidateWorkers(workers).select(
        _step(cpu=2_000), only_with_capacity=True
    )
    assert [one.worker_id for one in found] == ['slow0', 'slow1']


def test_the_adviser_is_asked_about_workers_that_are_fast_enough():
    # A step must not be granted only workers that it can't use.
    candidates = _advice_candidates.CandidateWorkers(_fleet())
    demand = _step(slack_left_ms=SLACK_MS)
    every = candidates.select(demand, only_with_capacity=False)
    assert [one.has_capacity for one in every] == [True, True, False, False]
    found = candidates.select(demand, only_with_capacity=True)
    assert [one.worker_id for one in found] == ['fast0', 'fast1']


def _stopped(*runs):
    preemption = _preemption.Preemption(lambda _worker_id: runs)
    demand = _step()
    demand.waited_ms = _planner.RESERVE_AFTER_MS
    workers = [helpers.available_worker('w1', 0)]
    _planner.plan([demand], workers, {}, preemption)
    return [run.task.index for run in preemption.chosen]


def _run(index, left_ms, cpu=1_000, priority=2):
    return _preemption.PreemptibleRun(
        _specs.TaskKey('batch', 0, index),
        1,
        'w1',
        messages.Resources(cpu, 10),
        priority,
        expected_ms=left_ms,
    )


def test_the_run_with_more_work_left_is_stopped():
    assert _stopped(_run(0, 300), _run(1, 9_000), _run(2, 2_000)) == [1]


def test_among_runs_that_end_alike_few_large_ones_are_stopped():
    # Otherwise more runs than necessary would be stopped.
    runs = _run(0, 4_400, cpu=500), _run(1, 4_100), _run(2, 4_300, cpu=500)
    assert _stopped(*runs) == [1]


def test_a_less_urgent_run_is_stopped_although_it_ends_soon():
    assert _stopped(_run(0, 9_000), _run(1, 300, priority=3)) == [1]
