"""Candidates for calls to the adviser, compared with a full scan."""

import copy
import random

import pytest

from dandeliondrum.jobs import _advice
from dandeliondrum.jobs import _advice_candidates
from dandeliondrum.jobs import _policy
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages

POLICY = _policy.AdvicePolicy(100.0, 1.0, 1_500)
NOW_MS = 10_000


def _reference_candidates(demand, workers, expects_capacity):
    label = demand.spec.required_label
    charge = demand.spec.charged()
    fitting = [
        (
            -worker.free.cpu_millicores,
            worker.worker_id,
            not _is_at_limit(demand, worker)
            and (expects_capacity or charge.fits_in(worker.free)),
        )
        for worker in workers
        if worker.pool == demand.pool and (not label or label in worker.labels)
    ]
    return [
        _advice.Candidate(worker_id, has_capacity)
        for _, worker_id, has_capacity in sorted(fitting)
    ]


def _is_at_limit(demand, worker):
    count = demand.per_worker_counts.get(worker.worker_id, 0)
    return 0 < demand.spec.per_worker_max <= count


def _reference_needed(demand, workers):
    charge = demand.spec.charged()
    tasks_per_worker = max(
        (
            _specs.tasks_that_fit(charge, worker.capacity)
            for worker in workers
            if worker.pool == demand.pool
        ),
        default=1,
    )
    per_worker_max = demand.spec.per_worker_max or tasks_per_worker
    tasks_per_worker = min(tasks_per_worker, per_worker_max)
    return -(-len(demand.indexes) // max(1, tasks_per_worker))


def _workers(rng):
    return [
        helpers.available_worker(
            f'w{number}',
            rng.randrange(0, 4_000, 500),
            pool=rng.choice(('pool', 'other')),
            labels=frozenset(rng.sample('abc', rng.randint(0, 3))),
            capacity=messages.Resources(rng.choice((2_000, 4_000)), 1_000),
        )
        for number in range(rng.randint(0, 30))
    ]


def _demand(rng, name='j'):
    spec = helpers.step(
        rng.choice((1, 3, 8)),
        cpu=rng.randrange(500, 4_000, 500),
        required_label=rng.choice(('', '', 'a', 'b')),
        gang=rng.random() < 0.4,
        uses_idle_cpu=rng.random() < 0.2,
    )
    return helpers.demand(name, spec, pool=rng.choice(('pool', 'other')))


@pytest.mark.parametrize('seed', range(20))
def test_the_candidates_are_those_of_a_full_scan(seed):
    rng = random.Random(seed)
    for _ in range(20):
        workers = _workers(rng)
        candidate_workers = _advice_candidates.CandidateWorkers(workers)
        for _ in range(5):
            demand, expects_capacity = _demand(rng), rng.random() < 0.3
            expected = _reference_candidates(demand, workers, expects_capacity)
            assert (
                candidate_workers.select(demand, False, expects_capacity)
                == expected
            )
            assert candidate_workers.select(
                demand, True, expects_capacity
            ) == [one for one in expected if one.has_capacity]
            assert candidate_workers.count_needed(demand) == _reference_needed(
                demand, workers
            )


def _random_cache(rng, name, workers):
    """Return a cache in which some workers are granted, some refused."""
    cache = _advice.GrantCache()
    cache.select_workers(name, [], NOW_MS)
    for _ in range(rng.randint(0, 2)):
        included = tuple(
            worker.worker_id
            for worker in rng.sample(workers, rng.randint(0, len(workers)))
        )
        grants = tuple(
            helpers.jobs.Grant(worker_id, f'ticket-{worker_id}')
            for worker_id in included
            if rng.random() < 0.4
        )
        problem = 'failed' if rng.random() < 0.2 else ''
        answered_ms = NOW_MS - rng.choice((0, 100, 1_200, 2_000))
        cache.record_call(name, answered_ms)
        cache.record_reply(
            name,
            included,
            helpers.jobs.AdviceReply(grants, 1_500, problem),
            answered_ms,
        )
    if rng.random() < 0.2:
        cache.record_call(name, NOW_MS)
    return cache


@pytest.mark.parametrize('seed', range(30))
def test_a_call_includes_the_workers_of_a_full_scan(seed):
    rng = random.Random(seed)
    for _ in range(50):
        workers = _workers(rng)
        demand, expects_capacity = _demand(rng), rng.random() < 0.3
        cache = _random_cache(rng, 'step', workers)
        expected = copy.deepcopy(cache).select_workers(
            'step',
            _reference_candidates(demand, workers, expects_capacity),
            NOW_MS,
            _reference_needed(demand, workers),
            POLICY if demand.spec.gang else None,
        )
        included = _advice_candidates.workers_for_call(
            cache,
            'step',
            demand,
            POLICY,
            _advice_candidates.CandidateWorkers(workers),
            NOW_MS,
            expects_capacity,
        )
        assert included == expected


def test_workers_kept_free_for_others_come_last():
    demand = helpers.demand('j', helpers.step(cpu=1_000))
    workers = [
        helpers.available_worker('empty', 4_000),
        helpers.available_worker('half', 2_000),
        helpers.available_worker('full', 500),
    ]
    candidates = _advice_candidates.CandidateWorkers(workers, {'empty'})
    for only_with_capacity, expected in (
        (False, ['half', 'full', 'empty']),
        (True, ['half', 'empty']),
    ):
        found = candidates.select(demand, only_with_capacity)
        assert [one.worker_id for one in found] == expected
