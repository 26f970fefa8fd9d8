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
from dandeliondrum.worker.tests import _harness

Kind = worker.EventKind
State = messages.AttemptState


@pytest.fixture
def harness():
    with _harness.running() as running:
        yield running


def test_a_start_is_answered_with_the_echo_of_its_body(harness):
    reply = harness.start(body={'run_ms': 5, 'echo': 'prism'}, wait_ms=5_000)
    assert (reply.status, reply.state) == (200, 'finished')
    assert json.loads(reply.body) == {
        'echo': 'prism',
        'task_id': 'team/r1',
        'attempt_id': 'team/r1#1',
        'worker_id': 'w1',
    }
    digest = hashlib.sha256(reply.body).hexdigest()
    assert reply.headers['answer-digest'] == digest


def test_a_repeated_start_does_not_start_the_attempt_again(harness):
    body = {'run_ms': 200, 'echo': 'once'}
    first = harness.start(body=body, token=7)
    again = harness.start(body=body, token=7, wait_ms=5_000)
    assert (first.status, again.status) == (202, 200)
    assert len(harness.events(Kind.START)) == 1


def test_an_end_is_reported_until_it_is_acknowledged(harness):
    harness.start(body={'echo': 'kept'}, durable=True, wait_ms=5_000)
    heartbeat = harness.gateway.wait_for_heartbeat(
        lambda each: each.ended, 5_000
    )
    (report,) = heartbeat.ended
    assert report.state is State.FINISHED
    assert json.loads(report.answer.body)['echo'] == 'kept'
    assert harness.client.fetch('team/r1#1').status == 200
    harness.gateway.reply_with(
        acknowledged=('team/r1#1',), release=('team/r1#1',)
    )
    now_ms = worker.now_ms()
    assert harness.gateway.wait_for_heartbeat(
        lambda each: not each.ended, 5_000, after_ms=now_ms
    )
    assert harness.client.fetch('team/r1#1').status == 404


def test_closing_accepts_no_further_starts():
    # Starts arrive while the worker closes. An attempt that never ends by
    # itself must not be accepted after the running attempts were stopped:
    # close() would wait for it forever.
    with _harness.running(slots_count=8) as harness:
        closed = threading.Event()
        threads = [
            threading.Thread(target=keep_starting, args=(harness, n, closed))
            for n in range(4)
        ]
        for thread in threads:
            thread.start()
        harness.wait_for_event(Kind.START, count=8)
        closing = threading.Thread(target=harness.worker.close, daemon=True)
        closing.start()
        closing.join(_harness.TIMEOUT_MS / 1000)
        closed.set()
        hangs = closing.is_alive()
        # Unblocks a worker that hangs, so that the test ends.
        harness.worker._attempts.stop_all('test')
        for thread in threads:
            thread.join()
        assert not hangs


def keep_starting(harness, number, closed):
    client = testing.WorkerClient(harness.worker.address, timeout_ms=2_000)
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
                    incarnation=harness.worker.incarnation,
                    body=b'{"hang": true}',
                )
            )


def test_a_leaving_worker_waits_until_large_answers_are_released(harness):
    body = {'answer_bytes': 100_000}
    harness.start('team/a#1', body=body, durable=True, wait_ms=5_000)
    harness.start('team/b#1', body=body, wait_ms=5_000)
    harness.gateway.reply_with(acknowledged=('team/a#1', 'team/b#1'))
    assert harness.gateway.wait_for_heartbeat(
        lambda each: not each.ended, 5_000, after_ms=worker.now_ms()
    )
    assert not harness.worker.wait_idle(100)
    harness.gateway.reply_with(release=('team/a#1',))
    assert harness.worker.wait_idle(5_000)
