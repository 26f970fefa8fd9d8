"""Tests of heartbeats: failover, reports and instructions in replies."""

import contextlib
import socket

from dandeliondrum import testing
from dandeliondrum import worker
from dandeliondrum.worker import _reports
from dandeliondrum.worker.tests import _harness

Kind = worker.EventKind


def test_heartbeats_go_to_the_next_gateway_when_one_fails():
    with contextlib.ExitStack() as stack:
        first = stack.enter_context(testing.FakeGateway())
        second = stack.enter_context(testing.FakeGateway())
        subject = worker.Worker(_harness.options(first.url, second.url))
        subject.start().unwrap()
        stack.callback(subject.close)
        assert first.wait_for_heartbeat(lambda _: True, 5_000)
        assert second.heartbeats == ()
        first.answering = False
        assert second.wait_for_heartbeat(lambda _: True, 5_000)


def test_a_gateway_that_never_answers_fails_only_one_call():
    with contextlib.ExitStack() as stack:
        silent = stack.enter_context(socket.create_server(('127.0.0.1', 0)))
        live = stack.enter_context(testing.FakeGateway())
        host, port = silent.getsockname()
        subject = worker.Worker(
            _harness.options(f'http://{host}:{port}', live.url)
        )
        subject.start().unwrap()
        stack.callback(subject.close)
        assert live.wait_for_announcement(_harness.TIMEOUT_MS)


def test_the_end_of_a_durable_attempt_is_reported_at_once():
    with _harness.running(heartbeat_ms=60_000) as harness:
        harness.start(
            'team/a#1', body={'run_ms': 50, 'echo': 'x'}, durable=True
        )
        assert harness.gateway.wait_for_heartbeat(
            lambda each: each.ended, 5_000
        )


def test_a_leaving_worker_reports_it_at_once():
    with _harness.running(heartbeat_ms=60_000) as harness:
        assert harness.gateway.wait_for_heartbeat(lambda _: True, 5_000)
        harness.worker.leave()
        assert harness.gateway.wait_for_heartbeat(
            lambda each: each.leaving, 5_000
        )


def test_large_answers_stay_on_the_worker():
    with _harness.running() as harness:
        for number, length_bytes in enumerate((65_536, 65_537)):
            harness.start(
                f'team/r{number}#1',
                body={'answer_bytes': length_bytes},
                durable=True,
            )
        heartbeat = harness.gateway.wait_for_heartbeat(
            lambda each: len(each.ended) == 2, 5_000
        )
        bodies = {
            each.attempt_id: each.answer.body for each in heartbeat.ended
        }
        assert bodies['team/r0#1'] == worker.seeded_bytes('', 65_536)
        assert bodies['team/r1#1'] is None


def test_answers_over_the_size_limit_wait_for_a_later_heartbeat(monkeypatch):
    monkeypatch.setattr(_reports, 'HEARTBEAT_BODIES_MAX_BYTES', 1_500)
    with _harness.running(heartbeat_ms=20) as harness:
        for number in range(2):
            body = {'answer_bytes': 1_000}
            attempt_id = f'team/r{number}#1'
            harness.start(attempt_id, body=body, durable=True, wait_ms=5_000)
        now_ms = worker.now_ms()
        heartbeat = harness.gateway.wait_for_heartbeat(
            lambda each: each.ended, 5_000, after_ms=now_ms
        )
        assert [each.attempt_id for each in heartbeat.ended] == ['team/r0#1']
        harness.gateway.reply_with(acknowledged=('team/r0#1',))
        heartbeat = harness.gateway.wait_for_heartbeat(
            lambda each: 'r1' in str(each.ended), 5_000
        )
        assert len(heartbeat.ended[0].answer.body) == 1_000


def test_running_attempts_report_what_they_use():
    with _harness.running() as harness:
        harness.start('team/a#1', body={'hang': True, 'use_memory_mb': 4_000})
        heartbeat = harness.gateway.wait_for_heartbeat(
            lambda each: each.running and each.running[0].used.memory_mb > 1e3,
            5_000,
        )
        assert heartbeat.running[0].attempt_id == 'team/a#1'
        assert heartbeat.running[0].used.memory_mb == 4_000
        harness.gateway.reply_with(checkpoint=('team/a#1',))
        harness.wait_for_event(Kind.CHECKPOINT)


def test_a_throttled_attempt_takes_longer():
    with _harness.running(heartbeat_ms=20) as harness:
        harness.gateway.reply_with(throttle=('team/a#1',))
        harness.start('team/a#1', body={'run_ms': 400}, wait_ms=9_000)
        end = harness.wait_for_event(Kind.END)
        assert end.at_ms - harness.events(Kind.START)[0].at_ms > 550


def test_a_worker_without_gateways_does_not_start():
    error = worker.Worker(_harness.options()).start().failure()
    assert 'gateways' in error.reason


def test_an_address_in_use_is_reported():
    with socket.create_server(('127.0.0.1', 0)) as taken:
        host, port = taken.getsockname()
        subject = worker.Worker(
            _harness.options('http://127.0.0.1:1', address=f'{host}:{port}')
        )
        assert subject.start().failure().reason
