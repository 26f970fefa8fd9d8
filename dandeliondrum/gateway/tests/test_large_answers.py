"""Tests of large answers, which are streamed to the caller."""

import contextlib
import hashlib
import http.client
import itertools

import pytest
import werkzeug

from dandeliondrum.gateway.tests import fakes
from dandeliondrum import messages

MIB = 1024 * 1024
PIECE = bytes(range(256)) * 256


def large(length_bytes, sent_bytes=None, digest=None, state='finished'):
    """Return a large answer; ``sent_bytes`` may truncate its body."""
    body = itertools.chain.from_iterable(itertools.repeat((PIECE,)))
    whole_digest = hashlib.sha256()
    for piece in itertools.islice(body, length_bytes // len(PIECE)):
        whole_digest.update(piece)
    sent_bytes = length_bytes if sent_bytes is None else sent_bytes
    pieces = itertools.repeat(PIECE, sent_bytes // len(PIECE))
    return werkzeug.Response(
        pieces,
        headers={
            'Content-Length': str(length_bytes),
            'State': state,
            'Run-Ms': '1',
            'Answer-Digest': digest or whole_digest.hexdigest(),
        },
        direct_passthrough=True,
    )


def test_answer_of_64_mb_is_complete(gw, leader, worker):
    worker.on_start = lambda _seen: large(64 * MIB)
    leader.start_on(worker)
    reply = fakes.run(gw)
    assert (reply.status, reply.outcome) == (200, 'answered')
    assert len(reply.body) == 64 * MIB
    digest = hashlib.sha256(reply.body).hexdigest()
    assert reply.headers['Dandeliondrum-Answer-Digest'] == digest
    fakes.wait_until(leader.reports)
    assert leader.reports()[0].answer.length_bytes == 64 * MIB


def test_a_request_of_64_mb_reaches_the_worker(gw, leader, worker):
    worker.on_start = lambda seen: fakes.ended(
        hashlib.sha256(seen.body).hexdigest().encode()
    )
    leader.start_on(worker)
    body = PIECE * (64 * MIB // len(PIECE))
    reply = fakes.run(gw, body)
    assert reply.body.decode() == hashlib.sha256(body).hexdigest()


@pytest.mark.parametrize('length_bytes', [MIB, MIB + len(PIECE)])
def test_answers_around_the_limit_of_buffering_arrive(
    gw, leader, worker, length_bytes
):
    worker.on_start = lambda _seen: large(length_bytes)
    leader.start_on(worker)
    assert len(fakes.run(gw).body) == length_bytes


@pytest.mark.parametrize(
    ('sent_bytes', 'digest'),
    [(4 * MIB, None), (8 * MIB, 'f' * 64)],
    ids=['truncated', 'changed'],
)
def test_corrupt_large_answer_closes_the_connection_early(
    gw, leader, worker, sent_bytes, digest
):
    worker.on_start = lambda _seen: large(8 * MIB, sent_bytes, digest)
    leader.start_on(worker)
    with pytest.raises(http.client.IncompleteRead):
        fakes.run(gw)
    fakes.wait_until(leader.reports)
    assert leader.reports()[0].state is messages.AttemptState.FINISHED


@pytest.mark.parametrize('cut', [True, False], ids=['truncated', 'changed'])
def test_corrupt_small_answer_is_fetched_again(gw, leader, worker, cut):
    digest = hashlib.sha256(b'whole').hexdigest()

    def on_start(_seen):
        if cut:
            response = fakes.ended(b'whole')
            response.headers['Content-Length'] = '9'
            response.automatically_set_content_length = False
            return response
        return fakes.ended(b'wrong', digest=digest)

    worker.on_start = on_start
    worker.on_fetch = lambda _seen: fakes.ended(b'whole')
    leader.start_on(worker)
    assert fakes.run(gw).body == b'whole'
    assert len(worker.starts()) == 1


def test_large_failed_answer_is_not_sent_if_a_retry_follows(
    gw, leader, worker
):
    worker.on_start = lambda seen: (
        large(4 * MIB, state='failed')
        if seen.attempt_id.endswith('#1')
        else fakes.ended(b'true')
    )

    def on_report(call):
        if call.reports[0].attempt_id.endswith('#1'):
            spec = leader.received_of(messages.SubmitTasks)[0].tasks[0]
            leader.push(fakes.start_of(spec, worker, attempt=2))
        return messages.Done()

    leader.replies[messages.ReportAttempts] = on_report
    leader.start_on(worker)
    assert fakes.run(gw, Idempotent='true').body == b'true'


def test_stored_large_answer_is_streamed_and_truncated_on_failure(
    gw, leader, worker
):
    place = fakes.place(worker, b'', 'bureau/r1#1')
    leader.replies[messages.QueryTasks] = messages.TaskStatuses(
        (fakes.status('bureau/r1', 'done', answer=place),)
    )
    worker.on_fetch = lambda _seen: large(4 * MIB)
    path = '/v1/tasks/r1/answer'
    reply = fakes.call(
        gw.callers_address, 'GET', path, headers=fakes.headers()
    )
    assert len(reply.body) == 4 * MIB
    worker.on_fetch = lambda _seen: large(4 * MIB, 2 * MIB)
    with pytest.raises(http.client.IncompleteRead):
        fakes.call(gw.callers_address, 'GET', path, headers=fakes.headers())


def test_caller_disconnecting_mid_stream_releases_connections(
    gw, leader, worker
):
    worker.on_start = lambda _seen: large(64 * MIB)
    leader.start_on(worker)
    for _ in range(10):
        connection = http.client.HTTPConnection(gw.callers_address)
        with contextlib.closing(connection):
            connection.request('POST', '/v1/tasks', b'', fakes.headers())
            connection.getresponse().read(MIB)
    # All eight connections to the worker are free again.
    worker.on_start = lambda _seen: fakes.ended(b'free')
    assert fakes.run(gw).body == b'free'
