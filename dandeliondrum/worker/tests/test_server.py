"""Tests of the HTTP server: stored answers and invalid input."""

import concurrent.futures
import contextlib
import hashlib
import socket

import pytest

from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum import transport
from dandeliondrum import worker
from dandeliondrum.worker.tests import _harness

Kind = worker.EventKind


@pytest.fixture
def harness():
    with _harness.running() as running:
        yield running


def test_an_answer_can_be_fetched_again_until_it_is_dropped(harness):
    harness.start('team/a#1', body={'echo': 'kept'}, wait_ms=5_000)
    answers = {harness.client.fetch('team/a#1').body for _ in range(2)}
    assert len(answers) == 1
    assert harness.client.drop('team/a#1').status == 204
    assert harness.client.drop('team/a#1').status == 204
    assert harness.client.fetch('team/a#1').status in (404, 410)


def test_a_large_answer_arrives_whole(harness):
    length_bytes = 64 * 1024 * 1024
    body = {'answer_bytes': length_bytes, 'echo': 'seed'}
    reply = harness.start('team/a#1', body=body, wait_ms=30_000)
    digest = hashlib.sha256(reply.body).hexdigest()
    assert len(reply.body) == length_bytes
    assert reply.headers['answer-digest'] == digest
    assert reply.body == worker.seeded_bytes('seed', length_bytes)


@pytest.mark.parametrize(
    'bound', [{'answers_bytes': 1_500}, {'answers_count': 1}]
)
def test_the_oldest_answers_are_evicted_and_recorded(bound):
    with _harness.running(**bound) as harness:
        for number in range(2):
            body = {'answer_bytes': 1_000}
            harness.start(f'team/r{number}#1', body=body, wait_ms=5_000)
        assert harness.client.fetch('team/r0#1').status == 410
        assert harness.client.fetch('team/r1#1').status == 200
        (dropped,) = harness.events(Kind.DROPPED)
        assert dropped.attempt_id == 'team/r0#1'


def test_failed_attempts_have_answers(harness):
    reply = harness.start('team/a#1', body={'fail': True}, wait_ms=5_000)
    assert (reply.status, reply.state) == (200, 'failed')
    bad = harness.start('team/b#1', body={'run_ms': 'long'}, wait_ms=5_000)
    assert (bad.status, bad.state) == (200, 'failed')
    assert b'bad body' in bad.body
    heartbeat = harness.gateway.wait_for_heartbeat(
        lambda each: len(each.ended) == 2, 5_000
    )
    assert {each.answer.status for each in heartbeat.ended} == {500}


def test_a_worker_can_fail_all_attempts():
    with _harness.running(fails_everything=True) as harness:
        assert harness.start(wait_ms=5_000).state == 'failed'


@pytest.mark.parametrize(
    'headers',
    [
        {},
        {'Token': '-1'},
        {'Token': 'seven'},
        {'Lease-Ms': '1.5'},
        {'Durable': 'maybe'},
        {'Wait-Ms': '0x10'},
    ],
)
def test_bad_headers_get_status_400_and_start_nothing(harness, headers):
    good = {
        'Task-Id': 'team/a',
        'Token': '1',
        'Incarnation': harness.worker.incarnation,
        'Lease-Ms': '1000',
        'Team': 'team',
        'Queue': 'queue',
        'Cpu-Millicores': '1000',
        'Memory-Mb': '1024',
    }
    sent = {**good, **headers} if headers else {}
    path = '/v1/attempts/team%2Fa%231'
    body = b'{"hang": true}'
    reply = harness.client.call('POST', path, sent, body)
    assert reply.status == 400
    assert b'header' in reply.body
    assert harness.events(Kind.START) == []
    assert harness.client.call('POST', path, good, body).status == 202


def test_unknown_calls_are_not_found(harness):
    for path in ('/', '/v1/attempts', '/v1/attempts/a/b/answer'):
        assert harness.client.call('GET', path).status == 404


def test_ids_keep_their_special_characters(harness):
    attempt_id = 'team/50%2F ä#1'
    harness.start(attempt_id, task_id='team/50%2F', wait_ms=5_000)
    assert harness.events(Kind.START)[0].attempt_id == attempt_id
    assert harness.client.fetch(attempt_id).status == 200


@pytest.mark.parametrize('data', [b'\xff' * 4_000, b'POST /v1/att', b''])
def test_random_bytes_do_not_keep_the_worker_from_serving(harness, data):
    address = transport.parse_address(harness.worker.address)
    with contextlib.ExitStack() as stack:
        for _ in range(4):
            raw = stack.enter_context(socket.create_connection(address, 5))
            raw.sendall(data)
        assert harness.start(wait_ms=5_000).status == 200


def test_too_many_connections_are_recorded():
    with _harness.running(connections_count=2) as harness:
        address = transport.parse_address(harness.worker.address)
        with contextlib.ExitStack() as stack:
            for _ in range(3):
                stack.enter_context(socket.create_connection(address, 5))
            harness.wait_for_event(Kind.OVERLOAD)


def test_the_journal_file_holds_the_same_events_as_memory(tmp_path):
    path = tmp_path / 'journal'
    with _harness.running(journal_path=str(path)) as harness:
        harness.start(wait_ms=5_000)
    events = worker.read_journal(path)
    assert events == harness.worker.events()
    assert [each.kind for each in events] == [
        Kind.BEGUN,
        Kind.ANNOUNCED,
        Kind.START,
        Kind.END,
        Kind.CLOSED,
    ]
    assert events[0].resources == messages.Resources(16_000, 32_768)
    truncated = tmp_path / 'torn'
    truncated.write_bytes(path.read_bytes()[:-5])
    assert worker.read_journal(truncated) == events[:-1]
    truncated.write_bytes(b'{"at_ms":\n' + path.read_bytes())
    with pytest.raises(ValueError):
        worker.read_journal(truncated)


def test_several_workers_live_in_one_process():
    with testing.FakeGateway() as gateway, contextlib.ExitStack() as stack:
        for name in ('w1', 'w2', 'w3'):
            subject = worker.Worker(
                _harness.options(
                    gateway.url, worker_id=messages.WorkerId(name)
                )
            )
            subject.start().unwrap()
            stack.callback(subject.close)
        gateway.wait_for_announcement(5_000, count=3)
        assert len({each.address for each in gateway.announced}) == 3


def test_waiting_requests_do_not_occupy_all_threads():
    # A gateway whose connections stall repeats its request, while the
    # server threads of its earlier requests still wait.
    with _harness.running(slots_count=1) as harness:
        harness.start('team/a#1', body={'hang': True})
        with concurrent.futures.ThreadPoolExecutor(20) as executor:
            waits = [
                executor.submit(harness.client.fetch, 'team/a#1', 15_000)
                for _ in range(20)
            ]
            done, _ = concurrent.futures.wait(waits, 5)
            quick = testing.WorkerClient(
                harness.worker.address, timeout_ms=5_000
            )
            reply = quick.stop('team/a#1')
        assert reply.state == 'stopped'
        assert {each.result().status for each in done} == {202}
        last = [each.result().state for each in waits if each not in done]
        assert last == ['stopped'] * 2
