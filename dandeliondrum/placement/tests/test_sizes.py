"""Tests of estimated resource sizes and run times."""

import random

from dandeliondrum import messages
from dandeliondrum import placement

DECLARED = messages.Resources(8_000, 16_000, 1)
WORKER = messages.Resources(16_000, 32_000, 2)


def make_estimator(samples):
    estimator = placement.UsageEstimator()
    estimator.set_worker_sizes([WORKER])
    for cpu, memory, run_ms in samples:
        estimator.record('t', 'q', messages.Resources(cpu, memory), run_ms)
    return estimator


def test_declared_size_is_used_until_enough_reports():
    estimator = make_estimator([(500, 900, 100)] * 7)
    assert estimator.estimate('t', 'q', DECLARED).resources == DECLARED
    assert estimator.estimate('t', 'q', DECLARED).run_ms is None
    estimator = make_estimator([(500, 900, 100)] * 8)
    estimate = estimator.estimate('t', 'q', DECLARED)
    assert estimate.resources == messages.Resources(600, 1_088, 1)
    assert estimate.run_ms == 100
    assert estimator.estimate('t', 'other', DECLARED).resources == DECLARED


def test_one_outlier_does_not_change_the_estimate():
    without_outlier = make_estimator([(500, 900, 100)] * 8)
    with_outlier = make_estimator(
        [(500, 900, 100)] * 7 + [(90_000, 900_000, 10**9)]
    )
    assert with_outlier.estimate(
        't', 'q', DECLARED
    ) == without_outlier.estimate('t', 'q', DECLARED)


def test_estimate_covers_most_tasks_and_follows_a_change():
    rng = random.Random(4)
    memories = [rng.randint(1_000, 3_000) for _ in range(200)]
    estimator = make_estimator([(500, memory, 100) for memory in memories])
    size = estimator.estimate('t', 'q', DECLARED).resources.memory_mb
    assert sum(memory <= size for memory in memories) >= 190
    for _ in range(64):
        estimator.record('t', 'q', messages.Resources(100, 200), 5)
    assert estimator.estimate('t', 'q', DECLARED).resources.memory_mb < 300


def test_no_estimate_is_above_a_worker():
    estimator = make_estimator([(40_000, 90_000, 100)] * 20)
    assert estimator.estimate(
        't', 'q', DECLARED
    ).resources == messages.Resources(16_000, 32_000, 1)
    too_large = messages.Resources(64_000, 1_000)
    assert estimator.estimate('t', 'q', too_large).resources == too_large
