"""Durable tasks: jobs, gangs and services while processes are lost."""

import collections
import time

from dandeliondrum import testing
from dandeliondrum import worker

START = worker.EventKind.START
END = worker.EventKind.END
ENDED = ('done', 'failed', 'refused', 'cancelled', 'in_doubt')


def starts_of(cell, request_id):
    return [
        event
        for event in cell.journals()
        if event.kind is START and event.task_id == f'harbour/{request_id}'
    ]


def running_on(cell, prefix):
    """Return the worker of each attempt that started and has not ended."""
    live = {}
    for event in cell.journals():
        if not event.task_id.startswith(f'harbour/{prefix}'):
            continue
        if event.kind is START:
            live[event.attempt_id] = event.worker_id
        elif event.kind is END:
            live.pop(event.attempt_id, None)
    return live


def test_an_accepted_job_is_done_though_all_controllers_are_killed(cell, keys):
    key = keys['harbour'].text
    tasks = [
        {'request_id': f'n{i}', 'body': {'echo': f'n{i}', 'run_ms': 300}}
        for i in range(40)
    ]
    assert cell.submit_job(key, tasks).status == 202
    for name in cell.controllers:
        cell.processes.kill(name)
    for name in cell.controllers:
        cell.processes.restart(name)
    for i in range(40):
        testing.wait_until(lambda n=i: cell.state_of(key, f'n{n}') in ENDED)
        state = cell.state_of(key, f'n{i}')
        # A worker stops a run whose lease was not renewed in time. The tasks
        # are not idempotent, so such a run is not retried and ends in doubt.
        assert state in ('done', 'in_doubt')
        assert len(starts_of(cell, f'n{i}')) == 1
        if state == 'done':
            reply = cell.ask(key, f'tasks/n{i}/answer', gateway='g2')
            assert reply.json()['echo'] == f'n{i}'


def test_an_answer_survives_the_loss_of_its_worker_and_the_leader(cell, keys):
    key = keys['harbour'].text
    job = [{'request_id': 'a', 'body': {'echo': 'a'}}]
    assert cell.submit_job(key, job).status == 202
    testing.wait_until(lambda: cell.state_of(key, 'a') == 'done')
    for name in (*cell.workers, cell.leader()):
        cell.processes.kill(name)
    testing.wait_until(lambda: cell.state_of(key, 'a') == 'done')
    assert cell.ask(key, 'tasks/a/answer').json()['echo'] == 'a'


def test_a_lost_worker_means_another_try_or_doubt(cell, keys):
    key = keys['harbour'].text
    tasks = [
        {
            'request_id': f'{name}{i}',
            'idempotent': name == 'again',
            'body': {'run_ms': 4_000},
        }
        for name in ('again', 'once')
        for i in range(6)
    ]
    assert cell.submit_job(key, tasks).status == 202
    testing.wait_until(
        lambda: len(running_on(cell, 'again') | running_on(cell, 'once')) == 12
    )
    killed = next(iter(running_on(cell, 'once').values()))
    interrupted = {
        event.task_id.partition('/')[2]
        for event in cell.journal(killed)
        if event.kind is START
    }
    cell.processes.kill(killed)
    for i in range(6):
        testing.wait_until(
            lambda n=i: cell.state_of(key, f'again{n}') == 'done'
        )
        testing.wait_until(lambda n=i: cell.state_of(key, f'once{n}') in ENDED)
        expected = 'in_doubt' if f'once{i}' in interrupted else 'done'
        assert cell.state_of(key, f'once{i}') == expected
        assert len(starts_of(cell, f'once{i}')) == 1


def test_tasks_of_a_gang_run_at_the_same_time(cell, keys):
    key = keys['harbour'].text
    big = {'cpu_millicores': 12_000, 'body': {'run_ms': 500}}
    filler = [{'request_id': 'filler', **big}]
    assert cell.submit_job(key, filler).status == 202
    testing.wait_until(lambda: running_on(cell, 'filler'))
    big = {'cpu_millicores': 12_000, 'body': {'run_ms': 800}}
    gang = [{'request_id': f'gang{i}', **dict(big)} for i in range(3)]
    assert cell.submit_job(key, gang, gang=True).status == 202
    testing.wait_until(
        lambda: all(cell.state_of(key, f'gang{i}') == 'done' for i in range(3))
    )
    begun = [starts_of(cell, f'gang{i}')[0].at_ms for i in range(3)]
    ended = [
        event.at_ms
        for event in cell.journals()
        if event.kind is END and '/gang' in event.task_id
    ]
    assert max(begun) < min(ended)


def test_a_service_keeps_its_replicas(cell, keys):
    key = keys['harbour'].text
    service = {
        'team': 'harbour',
        'queue': 'lens',
        'request_id': 'lens',
        'replicas': 3,
        'cpu_millicores': 500,
        'memory_mb': 256,
        'body_base64': 'eyJydW5fbXMiOiA2MDAwMDB9',
    }
    assert cell.ask(key, 'services', 'POST', service).status == 202
    testing.wait_until(lambda: len(running_on(cell, 'lens')) == 3)
    assert set(running_on(cell, 'lens').values()) == {'w1', 'w2', 'w3'}
    cell.processes.kill('w1')

    def replaced():
        live = [
            one for one in running_on(cell, 'lens').values() if one != 'w1'
        ]
        return len(live) == 3

    testing.wait_until(replaced)
    ids = [f'lens.{i}' for i in range(3)]
    cancelled = {'team': 'harbour', 'request_ids': ids}
    assert cell.ask(key, 'tasks/cancel', 'POST', cancelled).status == 200
    testing.wait_until(
        lambda: not set(running_on(cell, 'lens').values()) - {'w1'}
    )


def test_a_service_that_ends_at_once_is_restarted_with_pauses(cell, keys):
    key = keys['harbour'].text
    service = {
        'team': 'harbour',
        'queue': 'lens',
        'request_id': 'short',
        'replicas': 1,
        'cpu_millicores': 500,
        'memory_mb': 256,
        'body_base64': 'eyJydW5fbXMiOiAxfQ==',
    }
    assert cell.ask(key, 'services', 'POST', service).status == 202
    testing.wait_until(lambda: len(starts_of(cell, 'short.0')) >= 3)
    time.sleep(2)
    # Three pauses (0.5, 1 and 2 s) have begun by then; restarts without
    # pauses would give hundreds of starts.
    assert len(starts_of(cell, 'short.0')) < 20


def test_thousands_of_tasks_are_cancelled_in_one_call(cell, keys):
    key = keys['harbour'].text
    tasks = [
        {
            'request_id': f'c{i}',
            'timeout_ms': 600_000,
            'body': {'run_ms': 700},
        }
        for i in range(3_000)
    ]
    assert cell.submit_job(key, tasks).status == 202
    testing.wait_until(lambda: running_on(cell, 'c'))
    ids = [f'c{i}' for i in range(3_000)]
    call = {'team': 'harbour', 'request_ids': ids}
    assert cell.ask(key, 'tasks/cancel', 'POST', call).status == 200
    testing.wait_until(lambda: not running_on(cell, 'c'))
    states = collections.Counter(
        cell.state_of(key, f'c{i}') for i in range(0, 3_000, 100)
    )
    assert set(states) <= {'cancelled', 'done'}
    count = len([one for one in cell.journals() if one.kind is START])
    assert cell.run_task({'echo': 'after'}, key).json()['echo'] == 'after'
    started = [one for one in cell.journals() if one.kind is START]
    assert len(started) == count + 1
