"""Tests of the quarantine of workers by comparison with their peers."""

import random

from dandeliondrum import placement

WORKERS = [f'w{number}' for number in range(24)]


def run_tasks(health, outcome, tasks_count, seed, retries=0):
    """Run tasks on random workers; return the failures of each worker."""
    rng = random.Random(seed)
    failures = dict.fromkeys(WORKERS, 0)
    for number in range(tasks_count):
        task_id = f'team{number % 6}/{number}'
        for _ in range(1 + retries):
            quarantined = health.quarantined(number)
            worker_id = rng.choice(
                [w for w in WORKERS if w not in quarantined]
            )
            ok = outcome(worker_id, task_id, rng)
            health.record(worker_id, task_id, ok, number)
            failures[worker_id] += not ok
            if ok:
                break
    return failures


def test_bad_worker_is_quarantined_after_few_failures():
    for seed in range(20):
        health = placement.WorkerHealth()
        failures = run_tasks(
            health,
            lambda worker, task, rng: worker != 'w7' and rng.random() > 0.01,
            2_000,
            seed,
        )
        assert health.quarantined(2_000) == {'w7'}
        assert failures['w7'] <= 6


def test_tasks_that_fail_everywhere_quarantine_no_worker():
    for seed in range(20):
        health = placement.WorkerHealth()
        run_tasks(
            health,
            lambda worker, task, rng: not task.endswith('3'),
            2_000,
            seed,
            retries=3,
        )
        assert health.quarantined(2_000) == frozenset()


def test_a_team_whose_tasks_all_fail_quarantines_no_worker():
    health = placement.WorkerHealth()
    run_tasks(
        health,
        lambda worker, task, rng: not task.startswith('team1/'),
        2_000,
        seed=1,
    )
    assert health.quarantined(2_000) == frozenset()


def test_a_new_team_failing_on_its_first_worker_does_not_quarantine_it():
    health = placement.WorkerHealth()
    run_tasks(health, lambda worker, task, rng: True, 200, seed=1)
    for number in range(30):
        health.record('w3', f'new/{number}', ok=False, now_ms=300 + number)
    assert health.quarantined(400) == frozenset()


def test_probation_leads_to_quarantine_or_clears_the_worker():
    health = placement.WorkerHealth()
    run_tasks(health, lambda worker, task, rng: worker != 'w7', 2_000, seed=3)
    assert health.quarantined(2_000) == {'w7'}
    over_ms = 70_000
    assert health.quarantined(over_ms) == frozenset()
    for number in range(2):
        health.record('w7', f'team1/p{number}', False, over_ms)
    assert health.quarantined(over_ms + 100_000) == {'w7'}
    later_ms = over_ms + 130_000
    assert health.quarantined(later_ms) == frozenset()
    for number in range(5):
        health.record('w7', f'team1/q{number}', True, later_ms)
    health.record('w7', 'team1/r1', False, later_ms)
    health.record('w7', 'team1/r2', False, later_ms)
    assert health.quarantined(later_ms) == frozenset()


def test_only_a_limited_fraction_of_workers_is_quarantined():
    health = placement.WorkerHealth()
    bad = set(WORKERS[:12])
    run_tasks(
        health, lambda worker, task, rng: worker not in bad, 5_000, seed=5
    )
    quarantined = health.quarantined(5_000)
    assert quarantined <= bad
    assert 3 <= len(quarantined) <= 6
