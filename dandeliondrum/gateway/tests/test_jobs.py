"""Tests of durable tasks and of queries about tasks."""

import base64
import contextlib
import itertools
import json

import pytest

from dandeliondrum.gateway import _job_requests
from dandeliondrum.gateway.tests import fakes
from dandeliondrum import messages

State = messages.AttemptState
numbers = itertools.count()


@pytest.fixture
def leader(shared_leader):
    shared_leader.reset()
    return shared_leader


@pytest.fixture
def gw(leader, shared_gateway):
    fakes.wait_until(shared_gateway.ready)
    return shared_gateway


def post(gw, path, value, **changes):
    return fakes.call(
        gw.callers_address,
        'POST',
        path,
        json.dumps(value).encode(),
        fakes.headers(**changes),
    )


def ask(gw, method, path):
    return fakes.call(
        gw.callers_address, method, path, headers=fakes.headers()
    )


def task(request_id, body=b'', **changes):
    encoded = base64.b64encode(body).decode()
    return {'request_id': request_id, 'body_base64': encoded, **changes}


def job(*tasks, **changes):
    return {'team': 'bureau', 'queue': 'night', 'tasks': tasks, **changes}


def test_a_job_is_accepted_once_the_leader_has_it(gw, leader):
    tasks = [task('a', b'1', **{'class': 'urgent'}), task('b', b'2')]
    reply = post(gw, '/v1/jobs', job(*tasks))
    assert (reply.status, reply.outcome) == (202, 'accepted')
    assert [one['request_id'] for one in reply.json()['tasks']] == ['a', 'b']
    (call,) = leader.received_of(messages.SubmitTasks)
    assert (call.bodies, call.key) == ((b'1', b'2'), fakes.KEY)
    assert call.tasks[0].durable
    assert call.tasks[0].task_class is messages.TaskClass.URGENT


def test_a_gang_travels_in_one_call(gw, leader):
    tasks = [task(f't{number}') for number in range(600)]
    assert post(gw, '/v1/jobs', job(*tasks, gang=True)).status == 202
    (call,) = leader.received_of(messages.SubmitTasks)
    assert {spec.gang_id for spec in call.tasks} == {'bureau/t0'}
    assert {spec.gang_size for spec in call.tasks} == {600}
    assert call.tasks[0].task_class is messages.TaskClass.GANG


def test_large_job_is_split_into_several_calls(gw, leader):
    tasks = [task(f't{number}', b'x' * 400_000) for number in range(4)]
    assert post(gw, '/v1/jobs', job(*tasks)).status == 202
    calls = leader.received_of(messages.SubmitTasks)
    assert [len(call.tasks) for call in calls] == [1, 1, 1, 1]


@pytest.mark.parametrize(
    ('value', 'named'),
    [
        (job(), 'tasks'),
        (job(task('a'), task('a')), 'twice'),
        (job(task('a b')), 'request_id'),
        (job(task('a', **{'class': 'service'})), 'class'),
        (job(task('a', **{'class': 'lunch'})), 'lunch'),
        (job(task('a', timeout_ms=0)), 'timeout_ms'),
        (job(task('a', memory_mb='big')), 'int expected'),
        (job(task('a', shape='round')), 'shape'),
        (job({'request_id': 'a', 'body_base64': '%%%'}), 'base64'),
        (job(task('a'), gang='yes'), 'bool expected'),
        (job(task('a'), gang_id='g'), 'gang_id'),
        (job(task('a'), team='a/b'), 'team'),
        (
            job(task('a', b'x' * (_job_requests.BODY_MAX_BYTES + 1))),
            'body_base64',
        ),
    ],
)
def test_invalid_job_is_rejected_as_a_whole(gw, leader, value, named):
    reply = post(gw, '/v1/jobs', value, First_Sending='true')
    assert (reply.status, reply.outcome) == (400, 'refused_not_run')
    assert named in reply.json()['detail'].lower()
    assert leader.received_of(messages.SubmitTasks) == []


def refusing(*refused):
    def on_submit(_connection, call):
        return messages.TaskStatuses(
            tuple(
                fakes.status(
                    spec.task_id,
                    'refused',
                    reason=messages.RefusalReason.QUEUE_FULL,
                    retry_after_ms=400,
                )
                if spec.task_id in refused
                else fakes.status(spec.task_id, 'queued')
                for spec in call.tasks
            )
        )

    return on_submit


def test_partially_refused_job_has_a_status_per_task(gw, leader):
    leader.on_submit = refusing('bureau/b')
    reply = post(gw, '/v1/jobs', job(task('a'), task('b')))
    assert (reply.status, reply.outcome) == (207, 'accepted')
    states = [one['state'] for one in reply.json()['tasks']]
    assert states == ['queued', 'refused']


def test_completely_refused_job_is_reported_as_not_run(gw, leader):
    leader.on_submit = refusing('bureau/a', 'bureau/b')
    reply = post(gw, '/v1/jobs', job(task('a'), task('b')))
    assert (reply.status, reply.outcome) == (429, 'refused_not_run')
    assert reply.headers['Retry-After'] == '1'


@pytest.mark.parametrize(
    ('answer', 'first', 'outcome'),
    [
        (messages.CallFailed('why', False), 'true', 'in_doubt'),
        (messages.CallFailed('why', True), 'true', 'refused_not_run'),
        (messages.CallFailed('why', True), 'false', 'in_doubt'),
        (messages.NotLeader(), 'true', 'refused_not_run'),
    ],
)
def test_outcome_of_a_job_whose_submission_failed(
    gw, leader, answer, first, outcome
):
    leader.on_submit = lambda *_: answer
    reply = post(gw, '/v1/jobs', job(task('a')), First_Sending=first)
    assert reply.outcome == outcome
    assert reply.json()['tasks'][0]['state'] == 'unknown'


def test_partially_submitted_job_is_in_doubt(gw, leader):
    def on_submit(connection, call):
        if call.tasks[0].task_id == 'bureau/b':
            return messages.CallFailed('full', True)
        return leader.queue_all(connection, call)

    leader.on_submit = on_submit
    tasks = [task('a', b'x' * 400_000), task('b', b'x' * 400_000)]
    reply = post(gw, '/v1/jobs', job(*tasks), First_Sending='true')
    assert reply.outcome == 'in_doubt'
    states = [one['state'] for one in reply.json()['tasks']]
    assert states == ['queued', 'unknown']


def test_a_service_is_one_durable_task_for_each_replica(gw, leader):
    value = {'team': 'bureau', 'request_id': 'web', 'replicas': 3}
    assert post(gw, '/v1/services', value).status == 202
    (call,) = leader.received_of(messages.SubmitTasks)
    assert [spec.task_id for spec in call.tasks] == [
        'bureau/web.0',
        'bureau/web.1',
        'bureau/web.2',
    ]
    assert call.tasks[0].task_class is messages.TaskClass.SERVICE
    assert post(gw, '/v1/services', {**value, 'replicas': 0}).status == 400


def durable_spec(task_class):
    return messages.TaskSpec(
        task_id=messages.TaskId(f'bureau/j{next(numbers)}'),
        team_id=messages.TeamId('bureau'),
        queue=messages.QueueName('night'),
        task_class=messages.TaskClass(task_class),
        resources=messages.Resources(1, 1),
        idempotent=True,
        timeout_ms=1_000,
        expected_run_ms=1,
        body_digest='',
        durable=True,
    )


def push_start(leader, worker, body, task_class='batch', answer=b'done'):
    """Push the start of a durable task and return its report."""
    worker.on_start = lambda _seen: fakes.ended(answer)
    spec = durable_spec(task_class)
    leader.push(fakes.start_of(spec, worker, body=body))
    fakes.wait_until(leader.reports)
    return leader.reports()[0]


def test_running_durable_task_is_not_reported_as_ended(leader, worker):
    """The leader treats each report as the end of the attempt."""
    spec = durable_spec('batch')
    worker.on_start = lambda _seen: fakes.running()
    with fakes.serving(leader.address):
        leader.push(fakes.start_of(spec, worker, body=b''))
        fakes.wait_until(worker.starts)
    assert leader.reports() == []


def test_a_durable_task_is_dispatched_with_the_leaders_body(
    gw, leader, worker
):
    report = push_start(leader, worker, b'plate 9')
    assert worker.starts()[0].body == b'plate 9'
    assert worker.starts()[0].headers['Durable'] == 'true'
    assert report.state is State.FINISHED
    assert report.answer.body == b'done'


def test_a_large_answer_of_a_durable_task_stays_on_its_worker(
    gw, leader, worker
):
    report = push_start(leader, worker, b'', answer=b'x' * 100_000)
    assert report.answer.body is None
    assert report.answer.length_bytes == 100_000


def test_start_of_a_service_does_not_wait_for_an_answer(gw, leader, worker):
    push_start(leader, worker, b'', 'service')
    assert worker.starts()[0].headers['Wait-Ms'] == '0'


def test_a_durable_start_that_failed_is_reported(gw, leader):
    with contextlib.closing(fakes.Worker()) as gone:
        pass
    report = push_start(leader, gone, b'')
    assert report.state is State.NEVER_STARTED


@pytest.mark.parametrize(
    ('state', 'fields', 'code', 'outcome'),
    [
        ('queued', {}, 202, 'accepted'),
        ('assigned', {}, 202, 'accepted'),
        ('done', {}, 200, 'answered'),
        ('failed', {}, 200, 'answered'),
        ('cancelled', {}, 200, 'refused_not_run'),
        ('cancelled', {'attempts_count': 1}, 200, 'in_doubt'),
        ('in_doubt', {}, 200, 'in_doubt'),
        ('unknown', {}, 404, 'in_doubt'),
    ],
)
def test_outcome_of_each_task_state(gw, leader, state, fields, code, outcome):
    leader.replies[messages.QueryTasks] = messages.TaskStatuses(
        (fakes.status('bureau/r1', state, **fields),)
    )
    for path in ('/v1/tasks/r1', '/v1/tasks/r1/answer'):
        reply = ask(gw, 'GET', path)
        assert (reply.status, reply.outcome) == (code, outcome)
        assert reply.json()['state'] == state
    (query, _) = leader.received_of(messages.QueryTasks)
    assert (query.task_ids, query.key) == (('bureau/r1',), fakes.KEY)


def test_query_with_a_bad_key_is_in_doubt(gw, leader):
    leader.replies[messages.QueryTasks] = messages.TaskStatuses(
        (
            fakes.status(
                'bureau/r1',
                'refused',
                reason=messages.RefusalReason.BAD_KEY,
            ),
        )
    )
    reply = ask(gw, 'GET', '/v1/tasks/r1')
    assert (reply.status, reply.outcome) == (403, 'in_doubt')


def test_unreachable_answer_is_in_doubt(gw, leader):
    place = messages.AnswerPlace(
        messages.WorkerId('w1'),
        fakes.free_port(),
        messages.AttemptId('bureau/r1#1'),
        5,
        'd',
    )
    leader.replies[messages.QueryTasks] = messages.TaskStatuses(
        (fakes.status('bureau/r1', 'done', answer=place),)
    )
    reply = ask(gw, 'GET', '/v1/tasks/r1/answer')
    assert (reply.status, reply.outcome) == (502, 'in_doubt')
    assert reply.json()['reason'] == 'answer_unreachable'


def test_an_answer_is_released_on_demand(gw, leader):
    assert ask(gw, 'DELETE', '/v1/tasks/r1/answer').status == 200
    (release,) = leader.received_of(messages.ReleaseAnswers)
    assert release.task_ids == ('bureau/r1',)


def test_cancellations_are_sent_in_batches(gw, leader):
    leader.replies[messages.CancelCall] = lambda call: messages.TaskStatuses(
        tuple(fakes.status(task_id, 'cancelled') for task_id in call.task_ids)
    )
    ids = [f'r{number}' for number in range(2_500)]
    reply = post(
        gw, '/v1/tasks/cancel', {'team': 'bureau', 'request_ids': ids}
    )
    assert reply.status == 200
    found = [one['request_id'] for one in reply.json()['tasks']]
    assert found == ids
    assert len(leader.received_of(messages.CancelCall)) == 3
