"""Builders and a simulation for the tests of this package."""

import heapq

from dandeliondrum import messages
from dandeliondrum import placement


def team(name='lens'):
    return messages.TeamId(name)


def facts(
    name,
    cpu=16_000,
    memory=32_000,
    accelerators=0,
    slots=8,
    region='gulf',
    domain='sattahip',
    rack='r1',
):
    return messages.WorkerFacts(
        worker_id=messages.WorkerId(name),
        incarnation=messages.Incarnation('1'),
        address='127.0.0.1:1',
        region=messages.Region(region),
        failure_domain=messages.FailureDomain(domain),
        rack=messages.Rack(rack),
        resources=messages.Resources(cpu, memory, accelerators),
        slots_count=slots,
        connections_count=64,
    )


def task(name, cpu=1_000, memory=1_000, accelerators=0, **fields):
    values = {
        'team_id': team(),
        'queue': messages.QueueName('q'),
        'task_class': messages.TaskClass.BATCH,
        'submitted_ms': 0,
        'deadline_ms': None,
        'expected_run_ms': 1_000,
    }
    values.update(fields)
    return placement.PendingTask(
        task_id=messages.TaskId(name),
        resources=messages.Resources(cpu, memory, accelerators),
        **values,
    )


def gang(name, size, **fields):
    return [
        task(
            f'{name}.{number}',
            gang_id=messages.GangId(name),
            gang_size=size,
            **{'task_class': messages.TaskClass.GANG, **fields},
        )
        for number in range(size)
    ]


def planner(policy=None, workers=(), teams=None):
    new_planner = placement.Planner(policy)
    new_planner.set_teams(teams or {team(): placement.TeamGrant(share=1)})
    for worker in workers:
        new_planner.put_worker(worker, eligible=True)
    return new_planner


def placed(plan):
    return {
        one.task_id: one.worker_id for group in plan.groups for one in group
    }


class Simulation:
    """Ends each task that a planner places after its run time.

    ``run_ms`` holds the run times by task id. They default to the expected
    ones, and a test may change them.
    """

    def __init__(self, planner):
        self.planner = planner
        self.ends = []
        self.started_ms = {}
        self.where = {}
        self.groups = []
        self.preempted = []
        self.run_ms = {}

    def add(self, *tasks):
        for one in tasks:
            self.planner.add(one)
            self.run_ms[one.task_id] = one.expected_run_ms

    def step(self, now_ms, placements_max=1_000):
        while self.ends and self.ends[0][0] <= now_ms:
            self.planner.release(heapq.heappop(self.ends)[1])
        plan = self.planner.plan(now_ms, placements_max)
        for group in plan.groups:
            self.groups.append(group)
            for placement_ in group:
                name = placement_.task_id
                self.started_ms[name] = now_ms
                self.where[name] = placement_.worker_id
                end_ms = now_ms + self.run_ms[name]
                heapq.heappush(self.ends, (end_ms, name))
        for preemption in plan.preemptions:
            self.preempted.append(preemption)
        return plan

    def run(self, start_ms, end_ms, step_ms=100):
        for now_ms in range(start_ms, end_ms, step_ms):
            self.step(now_ms)
