"""Tests of learned sizes and run times."""

import random

from dandeliondrum import messages
from dandeliondrum import placement

DECLARED = messages.Resources(8_000, 16_000, 1)
WORKER = messages.Resources(16_000, 32_000, 2)


def learner(samples):
    made = placement.SizeLearner()
    made.set_worker_sizes([WORKER])
    for cpu, memory, run_ms in samples:
        made.record('t', 'q', messages.Resources(cpu, memory), run_ms)
    return made


def test_declared_size_holds_until_enough_reports():
    made = learner([(500, 900, 100)] * 7)
    assert made.estimate('t', 'q', DECLARED).resources == DECLARED
    assert made.estimate('t', 'q', DECLARED).run_ms is None
    made = learner([(500, 900, 100)] * 8)
    estimate = made.estimate('t', 'q', DECLARED)
    assert estimate.resources == messages.Resources(600, 1_088, 1)
    assert estimate.run_ms == 100
    assert made.estimate('t', 'other', DECLARED).resources == DECLARED


def test_one_wild_report_does_not_move_the_estimate():
    calm = learner([(500, 900, 100)] * 8)
    wild = learner([(500, 900, 100)] * 7 + [(90_000, 900_000, 10**9)])
    assert wild.estimate('t', 'q', DECLARED) == calm.estimate(
        't', 'q', DECLARED
    )


def test_estimate_covers_most_tasks_and_follows_a_change():
    chance = random.Random(4)
    memories = [chance.randint(1_000, 3_000) for _ in range(200)]
    made = learner([(500, memory, 100) for memory in memories])
    size = made.estimate('t', 'q', DECLARED).resources.memory_mb
    assert sum(memory <= size for memory in memories) >= 190
    for _ in range(64):
        made.record('t', 'q', messages.Resources(100, 200), 5)
    assert made.estimate('t', 'q', DECLARED).resources.memory_mb < 300


def test_no_estimate_is_above_a_worker():
    made = learner([(40_000, 90_000, 100)] * 20)
    assert made.estimate('t', 'q', DECLARED).resources == messages.Resources(
        16_000, 32_000, 1
    )
    too_large = messages.Resources(64_000, 1_000)
    assert made.estimate('t', 'q', too_large).resources == too_large
