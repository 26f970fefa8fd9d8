"""The planner's results are those of a planner that scans all workers."""

import copy
import dataclasses
import random

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _preemption
from dandeliondrum.jobs import queueing
from dandeliondrum.jobs.tests import reference_planner
from dandeliondrum import messages

POOLS = ('pool', 'other')
LABELS = ('a', 'b', 'c')
RACKS = ('r1', 'r2', 'r3')
TEAMS = ('t1', 't2', 't3')
CASES_PER_SEED = 40


class _Case:
    """A random fleet with runs, and random demands."""

    def __init__(self, rng):
        self.rng = rng
        self.workers = [self._worker(n) for n in range(rng.randint(1, 14))]
        self.runs = {
            worker.worker_id: self._runs(worker.worker_id)
            for worker in self.workers
        }
        self.demands = [self._demand(n) for n in range(rng.randint(1, 16))]
        self.isolation = _planner.Isolation(
            {'pool': rng.choice((0, 0, 1, 2))},
            {'pool': rng.choice((0, 0, 1, 3))},
        )
        self.team_available = {
            team: messages.Resources(
                rng.randint(0, 30_000), rng.randint(0, 4_000), 4
            )
            for team in rng.sample(TEAMS, rng.randint(0, 2))
        }

    def _resources(self, cpu_max):
        rng = self.rng
        return messages.Resources(
            rng.randrange(0, cpu_max, 500),
            rng.randrange(0, 1_000, 50),
            rng.choice((0, 0, 0, 1, 2)),
        )

    def _worker(self, number):
        rng = self.rng
        return _planner.AvailableWorker(
            f'w{number}',
            rng.choice(POOLS),
            rng.choice(RACKS),
            frozenset(rng.sample(LABELS, rng.randint(0, 3))),
            self._resources(rng.choice((2_000, 8_000))),
            messages.Resources(8_000, 1_000, 2),
            penalty=rng.choice((0, 0, 0, 1, 3)),
            is_empty=rng.random() < 0.5,
            started_ms=rng.randint(0, 3),
            endless_used=messages.Resources(
                rng.choice((0, 0, 0, 2_000, 6_000)), 0
            ),
        )

    def _runs(self, worker_id):
        rng = self.rng
        return [
            _preemption.PreemptibleRun(
                jobs.TaskKey(f'run-{worker_id}', 0, number),
                1,
                worker_id,
                self._resources(3_000),
                rng.randint(0, 3),
                stopping=rng.random() < 0.2,
            )
            for number in range(rng.randint(0, 4))
        ]

    def _demand(self, number):
        rng = self.rng
        tasks_count = rng.choice((1, 1, 2, 3, 5, 9))
        per_worker_max = rng.choice((0, 0, 0, 1, 2))
        spec = jobs.StepSpec(
            tasks_count,
            self._resources(5_000),
            gang=rng.random() < 0.4,
            required_label=rng.choice(('', '', *LABELS)),
            near_rack=rng.choice(('', *RACKS)),
            per_worker_max=per_worker_max,
            uses_idle_cpu=rng.random() < 0.15,
            endless=rng.random() < 0.15,
        )
        names = [worker.worker_id for worker in self.workers]
        tickets = granted = None
        if rng.random() < 0.6:
            granted = set(rng.sample(names, rng.randint(0, len(names))))
            granted.add('gone')
            tickets = {
                worker_id: f'ticket-{worker_id}'
                for worker_id in rng.sample(
                    sorted(granted), rng.randint(0, len(granted))
                )
            }
        counts = {}
        if per_worker_max:
            counts = {name: rng.randint(0, 2) for name in names}
        return _planner.Demand(
            f'j{number}',
            0,
            spec,
            rng.choice(TEAMS),
            rng.choice((*POOLS, 'pool', 'empty')),
            rng.randint(0, 2),
            rng.randint(0, 5),
            tuple(sorted(rng.sample(range(20), tasks_count))),
            tickets,
            granted,
            frozenset(rng.sample(names, rng.randint(0, 1))),
            counts,
            rng.choice(
                (
                    0,
                    _planner.RESERVE_AFTER_MS,
                    _planner.ISOLATION_WAIT_MS,
                    _planner.ISOLATION_LONG_WAIT_MS,
                )
            ),
            latest_start_ms=rng.choice((0, 1, 2)),
            urgency=rng.choice(
                (
                    queueing.Urgency.IN_TIME,
                    queueing.Urgency.IN_TIME,
                    queueing.Urgency.LATE,
                    queueing.Urgency.NO_USE,
                )
            ),
            left_core_ms=rng.choice((0, 1, 2)),
            value=rng.choice((0.3, 1)),
            crashes_count=0 if spec.gang else rng.choice((0, 0, 0, 1, 3)),
        )


def _outcome(planner, preemption_class, case):
    workers = [dataclasses.replace(worker) for worker in case.workers]
    team_available = dict(case.team_available)
    preemption = preemption_class(lambda worker_id: case.runs[worker_id])
    groups = planner.plan(
        copy.deepcopy(case.demands),
        workers,
        team_available,
        preemption,
        case.isolation,
    )
    reasons = [
        planner.wait_reason(demand, workers, team_available)
        for demand in case.demands
    ]
    return (
        groups,
        workers,
        team_available,
        preemption.chosen,
        preemption.steps_with_capacity,
        reasons,
    )


@pytest.mark.parametrize('seed', range(25))
def test_the_plan_is_that_of_the_reference(seed):
    rng = random.Random(seed)
    for _ in range(CASES_PER_SEED):
        case = _Case(rng)
        expected = _outcome(
            reference_planner, reference_planner.Preemption, case
        )
        assert _outcome(_planner, _preemption.Preemption, case) == expected


def test_the_cases_place_preempt_and_reserve():
    rng = random.Random(0)
    placed_count = chosen_count = reserved_count = gangs_count = 0
    isolated_count = 0
    for _ in range(500):
        case = _Case(rng)
        groups, workers, _, chosen, _, _ = _outcome(
            _planner, _preemption.Preemption, case
        )
        isolated_ids = {
            demand.job_id for demand in case.demands if demand.isolated
        }
        isolated_count += sum(
            group[0].task.job_id in isolated_ids for group in groups
        )
        placed_count += len(groups)
        gangs_count += sum(len(group) > 1 for group in groups)
        chosen_count += len(chosen)
        reserved_count += sum(worker.reserved for worker in workers)
    assert min(placed_count, gangs_count, chosen_count, reserved_count) > 0
    assert isolated_count > 0
