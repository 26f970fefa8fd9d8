"""Tests of calls that wait for a task."""

import contextlib
import hashlib
import http.client

import pytest

from dandeliondrum.gateway import _task_run_handlers
from dandeliondrum.gateway.tests import fakes
from dandeliondrum import messages

State = messages.AttemptState


def test_a_caller_gets_the_answer_of_the_worker(gw, leader, worker):
    leader.start_on(worker)
    reply = fakes.run(gw, b'prism 7', Request_Id='r1', Class='urgent')
    assert (reply.status, reply.body) == (200, b'echo:prism 7')
    assert reply.outcome == 'answered'
    assert reply.headers['Dandeliondrum-Attempt'] == 'bureau/r1#1'
    (submit,) = leader.received_of(messages.SubmitTasks)
    assert submit.key == fakes.KEY
    assert submit.tasks[0].task_class is messages.TaskClass.URGENT
    digest = hashlib.sha256(b'prism 7').hexdigest()
    assert submit.tasks[0].body_digest == digest
    fakes.wait_until(leader.reports)
    (report,) = leader.reports()
    assert report.state is State.FINISHED
    assert report.answer.length_bytes == len(reply.body)
    assert report.run_ms == 7


def test_an_id_is_made_for_a_caller_without_one(gw, leader, worker):
    leader.start_on(worker)
    reply = fakes.run(gw)
    request_id = reply.headers['Dandeliondrum-Request-Id']
    (submit,) = leader.received_of(messages.SubmitTasks)
    assert submit.tasks[0].task_id == f'bureau/{request_id}'


def test_long_task_is_polled_until_it_ends(leader, worker):
    polls = []

    def on_fetch(seen):
        polls.append(seen)
        if len(polls) < 3:
            return fakes.running()
        return fakes.ended(b'ring')

    worker.on_start = lambda _seen: fakes.running()
    worker.on_fetch = on_fetch
    leader.start_on(worker)
    with fakes.serving(leader.address, start_wait_ms=50) as gw:
        reply = fakes.run(gw, Request_Id='r1')
    assert (reply.status, reply.body) == (200, b'ring')
    assert polls[0].attempt_id == 'bureau/r1#1'
    fakes.wait_until(leader.reports)
    assert [report.state for report in leader.reports()] == [State.FINISHED]


def test_a_resend_of_an_ended_task_gets_the_stored_answer(gw, leader, worker):
    worker.on_fetch = lambda _seen: fakes.ended(b'stored')
    place = fakes.place(worker, b'stored', 'bureau/r1#1')
    leader.on_submit = lambda _connection, _call: messages.TaskStatuses(
        (fakes.status('bureau/r1', 'done', answer=place),)
    )
    reply = fakes.run(gw, Request_Id='r1')
    assert (reply.status, reply.body) == (200, b'stored')
    assert worker.starts() == []
    assert leader.reports() == []


def test_logged_answer_is_returned_without_a_worker(gw, leader):
    place = messages.AnswerPlace(
        messages.WorkerId('w1'),
        fakes.free_port(),
        messages.AttemptId('bureau/r1#1'),
        4,
        hashlib.sha256(b'kept').hexdigest(),
        body=b'kept',
    )
    leader.on_submit = lambda _connection, _call: messages.TaskStatuses(
        (fakes.status('bureau/r1', 'done', answer=place),)
    )
    assert fakes.run(gw, Request_Id='r1').body == b'kept'


def test_two_callers_with_one_id_both_get_its_answer(gw, leader, worker):
    first = fakes.BackgroundCall(fakes.run, gw, Request_Id='r1')
    fakes.wait_until(
        lambda: len(leader.received_of(messages.SubmitTasks)) == 1
    )
    second = fakes.BackgroundCall(fakes.run, gw, Request_Id='r1')
    fakes.wait_until(
        lambda: len(leader.received_of(messages.SubmitTasks)) == 2
    )
    worker.on_fetch = lambda _seen: fakes.ended(b'echo:lens')
    spec = leader.received_of(messages.SubmitTasks)[0].tasks[0]
    leader.push(fakes.start_of(spec, worker))
    assert first.result().body == second.result().body == b'echo:lens'
    assert len(worker.starts()) == 1


@pytest.mark.parametrize(
    ('reason', 'code'),
    [
        ('queue_full', 429),
        ('bad_key', 403),
        ('id_conflict', 409),
        ('never_fits', 422),
        ('deadline_unreachable', 504),
    ],
)
def test_refusal_by_the_leader_is_reported_as_not_run(
    gw, leader, reason, code
):
    refusal = fakes.status(
        'bureau/r1',
        'refused',
        reason=messages.RefusalReason(reason),
        retry_after_ms=1_500,
    )
    leader.on_submit = lambda *_: messages.TaskStatuses((refusal,))
    reply = fakes.run(gw, Request_Id='r1')
    assert (reply.status, reply.outcome) == (code, 'refused_not_run')
    assert reply.json()['reason'] == reason
    assert reply.headers['Retry-After'] == '2'


@pytest.mark.parametrize(
    ('state', 'attempts_count', 'outcome'),
    [
        ('cancelled', 0, 'refused_not_run'),
        ('cancelled', 1, 'in_doubt'),
        ('in_doubt', 1, 'in_doubt'),
        ('failed', 3, 'answered'),
    ],
)
def test_outcome_of_each_pushed_end_state(
    gw, leader, state, attempts_count, outcome
):
    call = fakes.BackgroundCall(fakes.run, gw, Request_Id='r1')
    fakes.wait_until(lambda: leader.received_of(messages.SubmitTasks))
    leader.push(
        fakes.status('bureau/r1', state, attempts_count=attempts_count)
    )
    assert call.result().outcome == outcome


def test_withdrawn_key_leaves_a_started_task_in_doubt(gw, leader):
    status = fakes.status(
        'bureau/r1',
        'in_doubt',
        reason=messages.RefusalReason.BAD_KEY,
        attempts_count=1,
    )
    leader.on_submit = lambda *_: messages.TaskStatuses((status,))
    reply = fakes.run(gw, Request_Id='r1', First_Sending='true')
    assert (reply.status, reply.outcome) == (403, 'in_doubt')


def test_a_task_the_leader_could_not_record_is_submitted_again(
    gw, leader, worker
):
    def on_submit(_connection, call):
        leader.start_on(worker)
        return messages.TaskStatuses(
            (fakes.status(call.tasks[0].task_id, 'unknown'),)
        )

    leader.on_submit = on_submit
    assert fakes.run(gw).body == b'echo:lens'
    assert len(leader.received_of(messages.SubmitTasks)) == 2


def test_failed_non_idempotent_task_is_answered_at_once(gw, leader, worker):
    worker.on_start = lambda _seen: fakes.ended(b'broken', 'failed')
    leader.start_on(worker)
    reply = fakes.run(gw, Idempotent='false')
    assert (reply.status, reply.body) == (500, b'broken')
    assert reply.outcome == 'answered'


def test_a_failed_idempotent_task_is_tried_again(gw, leader, worker):
    worker.on_start = lambda seen: (
        fakes.ended(b'broken', 'failed')
        if seen.attempt_id.endswith('#1')
        else fakes.ended(b'true')
    )

    def on_report(call):
        if call.reports[0].state is State.FAILED:
            spec = leader.received_of(messages.SubmitTasks)[0].tasks[0]
            leader.push(fakes.start_of(spec, worker, attempt=2))
        return messages.Done()

    leader.replies[messages.ReportAttempts] = on_report
    leader.start_on(worker)
    reply = fakes.run(gw, Idempotent='true')
    assert (reply.status, reply.body) == (200, b'true')
    assert reply.headers['Dandeliondrum-Attempt'].endswith('#2')


def test_failed_idempotent_task_is_answered_after_its_last_attempt(
    gw, leader, worker
):
    worker.on_start = lambda _seen: fakes.ended(b'broken', 'failed')
    leader.replies[messages.ReportAttempts] = lambda call: (
        leader.push(
            fakes.status(
                call.reports[0].attempt_id.partition('#')[0],
                'failed',
                attempts_count=1,
            )
        )
        or messages.Done()
    )
    leader.start_on(worker)
    reply = fakes.run(gw, Idempotent='true')
    assert (reply.status, reply.body) == (500, b'broken')


def test_start_without_a_waiter_is_reported_as_never_started(
    gw, leader, worker
):
    spec = messages.TaskSpec(
        task_id=messages.TaskId('bureau/gone'),
        team_id=messages.TeamId('bureau'),
        queue=messages.QueueName('q'),
        task_class=messages.TaskClass.BATCH,
        resources=messages.Resources(1, 1),
        idempotent=False,
        timeout_ms=1,
        expected_run_ms=1,
        body_digest='',
    )
    leader.push(fakes.start_of(spec, worker))
    fakes.wait_until(leader.reports)
    assert leader.reports()[0].state is State.NEVER_STARTED
    assert worker.seen == []


def test_the_same_start_pushed_twice_is_sent_once(gw, leader, worker):
    def on_submit(connection, call):
        for _ in range(3):
            connection.push(fakes.start_of(call.tasks[0], worker))
        return leader.queue_all(connection, call)

    worker.on_start = lambda _seen: fakes.running()
    worker.on_fetch = lambda _seen: fakes.ended(b'once')
    leader.on_submit = on_submit
    assert fakes.run(gw).body == b'once'
    assert len(worker.starts()) == 1
    fakes.wait_until(leader.reports)
    assert [report.state for report in leader.reports()] == [State.FINISHED]


def test_batch_calls_leave_slots_for_urgent_calls():
    limiter = _task_run_handlers.WaitingCallLimiter(
        _task_run_handlers.RESERVED_THREADS_COUNT + 8
    )
    batch = messages.TaskClass.BATCH
    urgent = messages.TaskClass.URGENT
    acquired = [limiter.try_acquire(batch) for _ in range(8)]
    assert acquired == [True] * 6 + [False] * 2
    assert [limiter.try_acquire(urgent) for _ in range(3)] == [
        True,
        True,
        False,
    ]
    limiter.release(urgent)
    assert limiter.try_acquire(urgent)


def test_a_full_gateway_refuses_at_once(leader):
    threads = _task_run_handlers.RESERVED_THREADS_COUNT + 1
    with fakes.serving(leader.address, callers_threads_count=threads) as gw:
        first = fakes.BackgroundCall(fakes.run, gw, Request_Id='r1')
        fakes.wait_until(lambda: leader.received_of(messages.SubmitTasks))
        reply = fakes.run(gw, Request_Id='r2', First_Sending='true')
        assert (reply.status, reply.outcome) == (503, 'refused_not_run')
        resent = fakes.run(gw, Request_Id='r2')
        assert (resent.status, resent.outcome) == (503, 'in_doubt')
        leader.push(fakes.status('bureau/r1', 'in_doubt'))
        first.result()


def test_disconnected_caller_releases_its_slot(leader):
    with fakes.serving(
        leader.address,
        callers_threads_count=_task_run_handlers.RESERVED_THREADS_COUNT + 1,
    ) as gw:
        gone = http.client.HTTPConnection(gw.callers_address)
        with contextlib.closing(gone):
            gone.request('POST', '/v1/tasks', b'', fakes.headers())
            fakes.wait_until(lambda: leader.received_of(messages.SubmitTasks))
        fakes.wait_until(
            lambda: (
                fakes.run(gw, Timeout_Ms=1).json()['reason'] != 'gateway_busy'
            )
        )
