"""Tests of the index of free capacity against an exhaustive search."""

import random

import pytest

from dandeliondrum import messages
from dandeliondrum.placement import _fleet
from dandeliondrum.placement import _fleet_index
from dandeliondrum.placement import _index
from dandeliondrum.placement import _tasks
from dandeliondrum.placement.tests import helpers


def randomly_changed_fleet(seed, count=60):
    """Return workers and their index after many random changes."""
    rng = random.Random(seed)
    index = _fleet_index.FleetIndex()
    workers = []
    for number in range(count):
        worker = _fleet.Worker(messages.WorkerId(f'w{number}'))
        worker.set_facts(
            helpers.facts(
                f'w{number}',
                accelerators=rng.choice([0, 0, 2]),
                region=rng.choice(['gulf', 'andaman']),
            ),
            True,
        )
        index.update(worker)
        workers.append(worker)
    for number in range(20 * count):
        worker = rng.choice(workers)
        if worker.running and rng.random() < 0.45:
            name = rng.choice(sorted(worker.running))
            worker.release(worker.running[name])
        else:
            task = helpers.task(
                f't{number}',
                cpu=rng.randint(100, 5_000),
                memory=rng.randint(100, 9_000),
                accelerators=rng.choice([0, 0, 1]),
            )
            if worker.has_room(task.resources):
                worker.reserve(
                    _tasks.RunningTask(task, worker.worker_id, number)
                )
        if rng.random() < 0.05:
            worker.eligible = not worker.eligible
        index.update(worker)
    return rng, index, workers


@pytest.mark.parametrize('seed', range(8))
def test_a_worker_with_room_is_found_or_the_search_reports_truncation(seed):
    rng, index, workers = randomly_changed_fleet(seed)
    found_count = 0
    for _ in range(300):
        resources = messages.Resources(
            rng.randint(100, 16_000), rng.randint(100, 32_000)
        )
        region = rng.choice([None, 'gulf', 'andaman'])
        free = index.for_region(region)
        need = _index.required_levels(resources)
        best = free.tightest_fit(need, resources, frozenset())
        fitting = [
            worker
            for worker in workers
            if worker.has_room(resources)
            and region in (None, worker.facts.region)
        ]
        if best is not None:
            assert best in fitting
            found_count += 1
        else:
            assert free.truncated or not fitting
        some = list(free.candidates(need, resources, len(workers)))
        assert set(some) == set(fitting)
    assert found_count > 20


def test_sums_of_free_amounts_are_updated_on_every_change():
    _, index, workers = randomly_changed_fleet(9)
    eligible = [worker for worker in workers if worker.eligible]
    with_slots = [worker for worker in eligible if worker.slots_count > 0]
    assert index.free_slots_count == sum(w.slots_count for w in with_slots)
    assert index.free_cpu_millicores == sum(
        w.cpu_millicores for w in with_slots
    )
    assert index.free_memory_mb == sum(w.memory_mb for w in with_slots)


def test_worker_with_the_tightest_fit_is_chosen():
    index = _fleet_index.FleetIndex()
    for number, cpu in enumerate([16_000, 2_100, 8_000]):
        worker = _fleet.Worker(messages.WorkerId(f'w{number}'))
        worker.set_facts(helpers.facts(f'w{number}', cpu=cpu), True)
        index.update(worker)
    resources = messages.Resources(2_000, 1_000)
    best = index.whole_fleet.tightest_fit(
        _index.required_levels(resources), resources, frozenset()
    )
    assert best.worker_id == 'w1'
