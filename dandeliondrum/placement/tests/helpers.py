"""Builders that the tests of this package share."""

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
    made = placement.Planner(policy)
    made.set_teams(teams or {team(): placement.TeamGrant(share=1)})
    for worker in workers:
        made.put_worker(worker, eligible=True)
    return made


def placed(plan):
    return {
        one.task_id: one.worker_id for group in plan.groups for one in group
    }
