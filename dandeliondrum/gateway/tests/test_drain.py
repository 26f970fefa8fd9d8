"""Tests of a planned stop."""

import contextlib
import http.client
import threading

from dandeliondrum import gateway
from dandeliondrum.gateway.tests import fakes
from dandeliondrum import messages


def test_a_stop_cuts_off_no_open_call(leader, worker):
    release = threading.Event()
    worker.on_start = lambda _seen: (
        release.wait(fakes.WAIT_S) and fakes.ended(b'whole')
    )
    leader.start_on(worker)
    with fakes.serving(leader.address, drain_max_ms=15_000) as front:
        calls = [fakes.Background(fakes.run, front) for _ in range(4)]
        fakes.until(lambda: len(worker.starts()) == 4)
        stop = fakes.Background(front.close)
        fakes.until(lambda: not front.ready())
        release.set()
        for call in calls:
            assert call.result().body == b'whole'
        stop.result()
    # The stop waited until the leader had heard of all four.
    assert len(leader.reports()) == 4


def test_a_draining_gateway_says_so_and_still_serves(leader, worker):
    leader.start_on(worker)
    with fakes.serving(leader.address, drain_notice_ms=2_000) as front:
        kept = http.client.HTTPConnection(front.callers_address, timeout=20)
        with contextlib.closing(kept):
            kept.request('GET', '/readyz')
            assert kept.getresponse().read()
            stop = fakes.Background(front.close)
            fakes.until(lambda: not front.ready())
            kept.request('GET', '/readyz')
            reply = kept.getresponse()
            assert reply.status == 503
            assert b'draining' in reply.read()
            assert fakes.run(front).status == 200
        stop.result()


def test_requests_on_their_way_when_the_stop_comes_are_served(leader, worker):
    leader.start_on(worker)
    with fakes.serving(leader.address, callers_threads_count=32) as front:
        with contextlib.ExitStack() as stack:
            streams = []
            for _ in range(8):
                stream = http.client.HTTPConnection(
                    front.callers_address, timeout=20
                )
                stack.enter_context(contextlib.closing(stream))
                stream.connect()
                streams.append(stream)
            stop = fakes.Background(front.close)
            for stream in streams:
                stream.request('POST', '/v1/tasks', b'x', fakes.headers())
            bodies = [stream.getresponse().read() for stream in streams]
        stop.result()
    assert bodies == [b'echo:x'] * 8


def test_a_call_that_still_waits_at_the_end_is_told_to_come_again(leader):
    with fakes.serving(leader.address, drain_max_ms=200) as front:
        call = fakes.Background(fakes.run, front, Request_Id='r1')
        fakes.until(lambda: leader.of(messages.SubmitTasks))
        front.close()
        reply = call.result()
    assert (reply.status, reply.outcome) == (502, 'in_doubt')
    assert 'send the id again' in reply.json()['detail']


def test_durable_starts_that_have_not_begun_are_given_back(leader, worker):
    release = threading.Event()
    worker.on_start = lambda _seen: (
        release.wait(fakes.WAIT_S) and fakes.ended(b'')
    )
    with fakes.serving(
        leader.address, durable_threads_count=1, drain_max_ms=15_000
    ) as front:
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
        fakes.until(worker.starts)
        stop = fakes.Background(front.close)
        fakes.until(lambda: len(leader.reports()) == 2)
        release.set()
        stop.result()
    states = sorted(report.state.value for report in leader.reports())
    assert states == ['finished', 'never_started', 'never_started']


def test_a_second_close_does_no_harm(leader):
    with fakes.serving(leader.address) as front:
        front.close()
        front.close()


def test_a_taken_port_is_an_outcome_and_leaves_nothing_open(leader):
    with fakes.serving(leader.address) as front:
        second = gateway.Gateway(
            fakes.options(
                leader.address, operators_address=front.operators_address
            )
        )
        error = second.start().failure()
        assert 'in use' in error.reason
        assert not second.ready()
