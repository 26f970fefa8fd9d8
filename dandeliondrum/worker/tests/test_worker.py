"""Tests of the life of attempts on a worker, and of its shutdown."""

import contextlib
import hashlib
import itertools
import json
import threading

import pycurl
import pytest

from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum import worker
from dandeliondrum.worker.tests import _rig

Kind = worker.EventKind
State = messages.AttemptState


@pytest.fixture
def rig():
    with _rig.running() as running:
        yield running


def test_a_start_is_answered_with_the_echo_of_its_body(rig):
    reply = rig.start(body={'run_ms': 5, 'echo': 'prism'}, wait_ms=5_000)
    assert (reply.status, reply.state) == (200, 'finished')
    assert json.loads(reply.body) == {
        'echo': 'prism',
        'task_id': 'team/r1',
        'attempt_id': 'team/r1#1',
        'worker_id': 'w1',
    }
    digest = hashlib.sha256(reply.body).hexdigest()
    assert reply.headers['answer-digest'] == digest


def test_a_repeated_start_does_not_start_the_attempt_again(rig):
    body = {'run_ms': 200, 'echo': 'once'}
    first = rig.start(body=body, token=7)
    again = rig.start(body=body, token=7, wait_ms=5_000)
    assert (first.status, again.status) == (202, 200)
    assert len(rig.events(Kind.START)) == 1


def test_an_end_is_reported_until_it_is_acknowledged(rig):
    rig.start(body={'echo': 'kept'}, durable=True, wait_ms=5_000)
    heartbeat = rig.gateway.wait_for_heartbeat(lambda each: each.ended, 5_000)
    (report,) = heartbeat.ended
    assert report.state is State.FINISHED
    assert json.loads(report.answer.body)['echo'] == 'kept'
    assert rig.client.fetch('team/r1#1').status == 200
    rig.gateway.reply_with(acknowledged=('team/r1#1',), release=('team/r1#1',))
    now_ms = worker.now_ms()
    assert rig.gateway.wait_for_heartbeat(
        lambda each: not each.ended, 5_000, after_ms=now_ms
    )
    assert rig.client.fetch('team/r1#1').status == 404


def test_closing_accepts_no_further_starts():
    # Starts arrive while the worker closes. An attempt that never ends by
    # itself must not be accepted after the running attempts were stopped:
    # close() would wait for it forever.
    with _rig.running(slots_count=8) as rig:
        closed = threading.Event()
        threads = [
            threading.Thread(target=keep_starting, args=(rig, n, closed))
            for n in range(4)
        ]
        for thread in threads:
            thread.start()
        rig.wait_for_event(Kind.START, count=8)
        closing = threading.Thread(target=rig.worker.close, daemon=True)
        closing.start()
        closing.join(_rig.PATIENCE_MS / 1000)
        closed.set()
        hangs = closing.is_alive()
        # Unblocks a worker that hangs, so that the test ends.
        rig.worker._attempts.stop_all('test')
        for thread in threads:
            thread.join()
        assert not hangs


def keep_starting(rig, number, closed):
    client = testing.WorkerClient(rig.worker.address, timeout_ms=2_000)
    for token in itertools.count(1):
        if closed.is_set():
            return
        attempt_id = f'team/{number}-{token}#1'
        with contextlib.suppress(pycurl.error):
            client.start(
                testing.Start(
                    attempt_id=attempt_id,
                    task_id=attempt_id,
                    token=token,
                    incarnation=rig.worker.incarnation,
                    body=b'{"hang": true}',
                )
            )


def test_a_leaving_worker_waits_until_large_answers_are_released(rig):
    body = {'answer_bytes': 100_000}
    rig.start('team/a#1', body=body, durable=True, wait_ms=5_000)
    rig.start('team/b#1', body=body, wait_ms=5_000)
    rig.gateway.reply_with(acknowledged=('team/a#1', 'team/b#1'))
    assert rig.gateway.wait_for_heartbeat(
        lambda each: not each.ended, 5_000, after_ms=worker.now_ms()
    )
    assert not rig.worker.wait_idle(100)
    rig.gateway.reply_with(release=('team/a#1',))
    assert rig.worker.wait_idle(5_000)
