"""Tests of admission control and of the retry budget."""

import heapq
import random

from returns import result

from dandeliondrum import messages
from dandeliondrum import placement

SERVERS_COUNT = 20
RUN_MS = 200
# The estimate of a usage estimator for run times between 100 and 300 ms.
LEARNED_RUN_MS = 250
TIMEOUT_MS = 1_000


def goodput(load, seconds, admission):
    """Return the tasks per second that end in time on a simulated fleet.

    ``load`` is the arrival rate as a multiple of the fleet's capacity.
    """
    rng = random.Random(1)
    estimator = placement.WaitEstimator()
    policy = placement.AdmissionPolicy()
    rate = load * SERVERS_COUNT * 1_000 / RUN_MS / 1_000
    queue, ends, in_time_count, fractional_arrivals = [], [], 0, 0.0
    for now_ms in range(seconds * 1_000):
        fractional_arrivals += rate
        while fractional_arrivals >= 1:
            fractional_arrivals -= 1
            wait_ms = estimator.estimated_wait_ms(len(queue))
            decision = policy.decide(
                len(queue), wait_ms, TIMEOUT_MS - LEARNED_RUN_MS, 10_000
            )
            if not admission or isinstance(decision, result.Success):
                queue.append(now_ms)
        while ends and ends[0][0] <= now_ms:
            end_ms, submitted_ms = heapq.heappop(ends)
            in_time_count += end_ms - submitted_ms <= TIMEOUT_MS
        started_count = 0
        while queue and len(ends) < SERVERS_COUNT:
            run_ms = rng.randint(RUN_MS // 2, RUN_MS * 3 // 2)
            heapq.heappush(ends, (now_ms + run_ms, queue.pop(0)))
            started_count += 1
        estimator.record(started_count, len(queue), now_ms)
    return in_time_count / seconds


def test_no_wait_is_estimated_before_the_first_starts():
    estimator = placement.WaitEstimator()
    for now_ms in range(0, 500, 100):
        estimator.record(0, 1_500, now_ms)
    assert estimator.estimated_wait_ms(1_500) == 0


def test_goodput_stays_near_its_peak_when_overloaded():
    peak = max(goodput(load, 20, True) for load in (0.9, 1.0, 1.2))
    assert goodput(4, 20, True) >= 0.9 * peak
    assert goodput(4, 20, False) < 0.5 * peak


def test_refusal_reasons_are_distinguished():
    policy = placement.AdmissionPolicy()
    reasons = messages.RefusalReason
    assert policy.decide(0, 0, 100, 1) == result.Success(None)
    assert policy.decide(1, 0, 100, 1).failure() is reasons.QUEUE_FULL
    assert policy.decide(0, 0, 0, 1).failure() is reasons.DEADLINE_PASSED
    unreachable = policy.decide(0, 91, 100, 1).failure()
    assert unreachable is reasons.DEADLINE_UNREACHABLE


def test_idle_time_is_not_mistaken_for_low_throughput():
    estimator = placement.WaitEstimator()
    for second in range(60):
        estimator.record(1, 0, second * 1_000)
    assert estimator.estimated_wait_ms(1_000) == 0
    estimator.record(0, 50, 60_000)
    estimator.record(50, 50, 61_000)
    assert estimator.estimated_wait_ms(100) == 2_000


def test_retries_are_a_fraction_of_starts_with_growing_delays():
    budget = placement.RetryBudget(seed=2)
    retries_count = 0
    for _ in range(10_000):
        budget.record_start('t')
        decision = budget.decide('t', 1, frozenset({'w1'}))
        if isinstance(decision, result.Success):
            retries_count += 1
            assert decision.unwrap().excluded_workers == {'w1'}
    assert 990 <= retries_count <= 1_010
    other = [budget.decide('u', n, frozenset()).unwrap() for n in (1, 2, 3)]
    delays = [retry.delay_ms for retry in other]
    assert delays == sorted(delays) and 100 <= delays[0] <= 200
    used_up = budget.decide('u', 4, frozenset()).failure()
    assert used_up is placement.NoRetry.ATTEMPTS_USED_UP
