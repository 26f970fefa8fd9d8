"""Tests of a graceful stop."""

import contextlib
import http.client
import threading

from dandeliondrum import gateway
from dandeliondrum.gateway.tests import fakes
from dandeliondrum import messages


def test_stop_completes_open_calls(leader, worker):
    release = threading.Event()
    worker.on_start = lambda _seen: (
        release.wait(fakes.WAIT_S) and fakes.ended(b'whole')
    )
    leader.start_on(worker)
    with fakes.serving(leader.address, drain_max_ms=15_000) as gw:
        calls = [fakes.BackgroundCall(fakes.run, gw) for _ in range(4)]
        fakes.wait_until(lambda: len(worker.starts()) == 4)
        stop = fakes.BackgroundCall(gw.close)
        fakes.wait_until(lambda: not gw.ready())
        release.set()
        for call in calls:
            assert call.result().body == b'whole'
        stop.result()
    # The stop waited until all four reports had reached the leader.
    assert len(leader.reports()) == 4


def test_draining_gateway_is_not_ready_but_still_serves(leader, worker):
    leader.start_on(worker)
    with fakes.serving(leader.address, drain_notice_ms=2_000) as gw:
        kept = http.client.HTTPConnection(gw.callers_address, timeout=20)
        with contextlib.closing(kept):
            kept.request('GET', '/readyz')
            assert kept.getresponse().read()
            stop = fakes.BackgroundCall(gw.close)
            fakes.wait_until(lambda: not gw.ready())
            kept.request('GET', '/readyz')
            reply = kept.getresponse()
            assert reply.status == 503
            assert b'draining' in reply.read()
            assert fakes.run(gw).status == 200
        stop.result()


def test_requests_sent_during_a_stop_are_served(leader, worker):
    leader.start_on(worker)
    with fakes.serving(leader.address, callers_threads_count=32) as gw:
        with contextlib.ExitStack() as stack:
            streams = []
            for _ in range(8):
                stream = http.client.HTTPConnection(
                    gw.callers_address, timeout=20
                )
                stack.enter_context(contextlib.closing(stream))
                stream.connect()
                streams.append(stream)
            stop = fakes.BackgroundCall(gw.close)
            for stream in streams:
                stream.request('POST', '/v1/tasks', b'x', fakes.headers())
            bodies = [stream.getresponse().read() for stream in streams]
        stop.result()
    assert bodies == [b'echo:x'] * 8


def test_call_still_waiting_at_a_stop_is_asked_to_resend(leader):
    with fakes.serving(leader.address, drain_max_ms=200) as gw:
        call = fakes.BackgroundCall(fakes.run, gw, Request_Id='r1')
        fakes.wait_until(lambda: leader.received_of(messages.SubmitTasks))
        gw.close()
        reply = call.result()
    assert (reply.status, reply.outcome) == (502, 'in_doubt')
    assert 'send the id again' in reply.json()['detail']


def test_queued_durable_starts_are_reported_as_never_started(leader, worker):
    release = threading.Event()
    worker.on_start = lambda _seen: (
        release.wait(fakes.WAIT_S) and fakes.ended(b'')
    )
    with fakes.serving(
        leader.address, durable_threads_count=1, drain_max_ms=15_000
    ) as gw:
        for number in range(3):
            spec = messages.TaskSpec(
                task_id=messages.TaskId(f'bureau/j{number}'),
                team_id=messages.TeamId('bureau'),
                queue=messages.QueueName('q'),
                task_class=messages.TaskClass.BATCH,
                resources=messages.Resources(1, 1),
                idempotent=False,
                timeout_ms=1,
                expected_run_ms=1,
                body_digest='',
                durable=True,
            )
            leader.push(fakes.start_of(spec, worker, body=b''))
        fakes.wait_until(worker.starts)
        stop = fakes.BackgroundCall(gw.close)
        fakes.wait_until(lambda: len(leader.reports()) == 2)
        release.set()
        stop.result()
    states = sorted(report.state.value for report in leader.reports())
    assert states == ['finished', 'never_started', 'never_started']


def test_second_close_has_no_effect(leader):
    with fakes.serving(leader.address) as gw:
        gw.close()
        gw.close()


def test_start_on_a_used_port_fails_and_leaves_nothing_open(leader):
    with fakes.serving(leader.address) as gw:
        second = gateway.Gateway(
            fakes.options(
                leader.address, operators_address=gw.operators_address
            )
        )
        error = second.start().failure()
        assert 'in use' in error.reason
        assert not second.ready()
