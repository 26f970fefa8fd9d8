"""Tests of starts that a worker refuses, misses or does not answer."""

import contextlib
import socket
import threading
import time

import psutil
import pytest
import werkzeug

from dandeliondrum.gateway import _worker_client
from dandeliondrum.gateway.tests import fakes
from dandeliondrum import messages

State = messages.AttemptState


def retry_on(leader, worker):
    """Make the leader start a second attempt on this worker."""

    def on_report(call):
        if call.reports[0].attempt_id.endswith('#1'):
            spec = leader.received_of(messages.SubmitTasks)[0].tasks[0]
            leader.push(fakes.start_of(spec, worker, attempt=2))
        return messages.Done()

    leader.replies[messages.ReportAttempts] = on_report


def first_state(leader):
    return leader.reports()[0].state


def refusal(refused, status=409):
    return werkzeug.Response(status=status, headers={'Refused': refused})


def test_a_refused_start_never_started_and_another_worker_gets_it(
    gw, leader, worker
):
    with contextlib.closing(fakes.Worker()) as other:
        worker.on_start = lambda _seen: refusal('full')
        leader.start_on(worker)
        retry_on(leader, other)
        assert fakes.run(gw).body == b'echo:lens'
    assert first_state(leader) is State.NEVER_STARTED
    assert leader.reports()[0].detail == 'full'


def test_a_refused_connection_means_never_started(gw, leader, worker):
    leader.start_on(fakes.free_port())
    retry_on(leader, worker)
    assert fakes.run(gw).body == b'echo:lens'
    assert first_state(leader) is State.NEVER_STARTED


@pytest.mark.parametrize(
    'reply',
    [
        refusal('gone', 410),
        refusal('gone'),
        werkzeug.Response(status=400),
        werkzeug.Response(status=500),
        werkzeug.Response(b'no headers'),
        werkzeug.Response(
            b'x', headers={'State': 'sideways', 'Answer-Digest': 'x'}
        ),
        werkzeug.Response(
            b'x',
            headers={
                'State': 'finished',
                'Answer-Digest': 'x',
                'Run-Ms': 'soon',
            },
        ),
    ],
)
def test_invalid_reply_to_a_start_is_uncertain(gw, leader, worker, reply):
    worker.on_start = lambda seen: (
        reply
        if seen.attempt_id.endswith('#1')
        else fakes.ended(b'second attempt')
    )
    leader.start_on(worker)
    retry_on(leader, worker)
    assert fakes.run(gw).body == b'second attempt'
    assert first_state(leader) is State.UNCERTAIN


def test_unresponsive_worker_is_retried_then_uncertain(leader, worker):
    with contextlib.closing(fakes.UnresponsivePort()) as unresponsive:
        leader.start_on(unresponsive.address)
        retry_on(leader, worker)
        with fakes.serving(
            leader.address, start_wait_ms=50, silence_margin_ms=100
        ) as gw:
            assert fakes.run(gw).body == b'echo:lens'
        assert len(unresponsive.accepted) == 2
    assert first_state(leader) is State.UNCERTAIN


class FirstCallDroppingProxy:
    """Proxy that drops the first call and forwards later ones."""

    def __init__(self, target):
        self.dropped = b''
        self._target = parse_address(target)
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        self._listener.close()

    def _serve(self):
        first, _ = self._listener.accept()
        self.dropped = first.recv(65_536)
        first.close()
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                far = socket.create_connection(self._target)
                for source, sink in ((near, far), (far, near)):
                    threading.Thread(
                        target=self._pump, args=(source, sink), daemon=True
                    ).start()

    def _pump(self, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)


def parse_address(address):
    host, _, port = address.partition(':')
    return host, int(port)


def test_a_start_whose_answer_was_lost_is_sent_again_as_the_same(
    gw, leader, worker
):
    with contextlib.closing(FirstCallDroppingProxy(worker.address)) as port:
        leader.start_on(port.address)
        assert fakes.run(gw, Request_Id='r1').body == b'echo:lens'
        assert b'POST /v1/attempts/bureau%2Fr1%231 ' in port.dropped
    assert worker.starts()[0].attempt_id == 'bureau/r1#1'


def test_a_resent_start_refused_by_a_new_incarnation_is_uncertain(
    gw, leader, worker
):
    worker.on_start = lambda seen: (
        refusal('incarnation')
        if seen.attempt_id.endswith('#1')
        else fakes.ended(b'second')
    )
    with contextlib.closing(FirstCallDroppingProxy(worker.address)) as port:
        leader.start_on(port.address)
        retry_on(leader, worker)
        assert fakes.run(gw).body == b'second'
    assert first_state(leader) is State.UNCERTAIN


def test_loss_of_a_worker_while_running_is_left_to_the_leader(
    gw, leader, worker
):
    with contextlib.closing(fakes.Worker()) as lost:
        lost.on_start = lambda _seen: fakes.running()
        leader.start_on(lost)
        call = fakes.BackgroundCall(fakes.run, gw, Request_Id='r1')
        fakes.wait_until(lost.starts)
    assert leader.reports() == []
    spec = leader.received_of(messages.SubmitTasks)[0].tasks[0]
    leader.push(fakes.start_of(spec, worker, attempt=2))
    assert call.result().body == b'echo:lens'


def test_an_answer_known_to_the_leader_is_fetched_from_its_worker(
    gw, leader, worker
):
    """The start got no valid reply, but the worker reported the end."""
    worker.on_start = lambda _seen: werkzeug.Response(status=500)
    worker.on_fetch = lambda _seen: fakes.ended(b'found')
    place = fakes.place(worker, b'found', 'bureau/r1#1')
    leader.replies[messages.ReportAttempts] = lambda _call: (
        leader.push(fakes.status('bureau/r1', 'done', answer=place))
        or messages.Done()
    )
    leader.start_on(worker)
    assert fakes.run(gw, Request_Id='r1').body == b'found'


def test_a_caller_without_an_answer_in_time_is_in_doubt(leader, worker):
    worker.on_start = lambda _seen: fakes.running()
    worker.on_fetch = lambda _seen: fakes.running()
    leader.start_on(worker)
    with fakes.serving(leader.address, start_wait_ms=50) as gw:
        reply = fakes.run(gw, Timeout_Ms=100, First_Sending='true')
    assert (reply.status, reply.outcome) == (502, 'in_doubt')


def test_headers_of_a_start_carry_what_the_worker_needs(gw, leader, worker):
    leader.start_on(worker)
    fakes.run(
        gw, Cpu_Millicores=2_000, Memory_Mb=64, Accelerators=1, Queue='q1'
    )
    sent = worker.starts()[0].headers
    assert sent['Token'] == '4096'
    assert sent['Incarnation'] == 'i1'
    assert sent['Lease-Ms'] == '5000'
    assert sent['Durable'] == 'false'
    assert (sent['Team'], sent['Queue']) == ('bureau', 'q1')
    assert sent['Cpu-Millicores'] == '2000'
    assert (sent['Memory-Mb'], sent['Accelerators']) == ('64', '1')


def test_connections_per_worker_are_limited(worker):
    lock = threading.Lock()
    busy = {'now': 0, 'most': 0}
    together = threading.Barrier(2)

    def on_start(_seen):
        with lock:
            busy['now'] += 1
            busy['most'] = max(busy['most'], busy['now'])
        together.wait(fakes.WAIT_S)
        with lock:
            busy['now'] -= 1
        return fakes.ended(b'')

    worker.on_start = on_start
    client = _worker_client.WorkerClient(2)
    request = _worker_client.WorkerRequest(
        'POST', worker.address, '/v1/attempts/a', 10_000
    )
    with contextlib.closing(client):
        calls = [fakes.BackgroundCall(client.call, request) for _ in range(8)]
        for call in calls:
            assert call.result().head.status == 200
    assert busy['most'] == 2


def test_connections_to_a_worker_that_is_not_called_are_closed(worker):
    client = _worker_client.WorkerClient(2)
    request = _worker_client.WorkerRequest(
        'POST', worker.address, '/v1/attempts/a', 10_000
    )
    open_now = worker.open_connections
    with contextlib.closing(client):
        client.call(request)
        client.close_unused(60_000)
        # The worker counts a connection as idle shortly after its answer.
        fakes.wait_until(lambda: open_now() == 1)
        client.close_unused(0)
        fakes.wait_until(lambda: open_now() == 0)
        assert client.call(request).head.status == 200


def open_descriptors_count():
    return psutil.Process().num_fds()


def test_calls_to_workers_that_have_gone_leave_no_descriptors():
    """The descriptors of a leader ran out after some hundred workers."""
    client = _worker_client.WorkerClient(2)
    before = open_descriptors_count()
    with contextlib.closing(client):
        for _ in range(20):
            with socket.create_server(('127.0.0.1', 0)) as listener:
                port = listener.getsockname()[1]
            request = _worker_client.WorkerRequest(
                'GET', f'127.0.0.1:{port}', '/v1/attempts/a', 10_000
            )
            outcome = client.call(request)
            assert isinstance(outcome, _worker_client.NotSent)
        assert open_descriptors_count() == before


def test_workers_that_are_not_called_are_forgotten(worker):
    client = _worker_client.WorkerClient(2)
    request = _worker_client.WorkerRequest(
        'POST', worker.address, '/v1/attempts/a', 10_000
    )
    before = open_descriptors_count()
    with contextlib.closing(client):
        client.call(request)
        client.close_unused(0)
        assert not client._pools
    fakes.wait_until(lambda: open_descriptors_count() == before)


def test_a_connection_that_one_call_needed_is_closed_again(worker):
    """Each live worker kept as many as it had ever used at a time."""
    client = _worker_client.WorkerClient(2)
    request = _worker_client.WorkerRequest(
        'POST', worker.address, '/v1/attempts/a', 10_000
    )
    together = threading.Barrier(2)

    def on_start(_seen):
        together.wait(fakes.WAIT_S)
        return fakes.ended(b'')

    worker.on_start = on_start

    def idle_count():
        return sum(len(pool._idle) for pool in client._pools.values())

    with contextlib.closing(client):
        calls = [fakes.BackgroundCall(client.call, request) for _ in range(2)]
        for call in calls:
            call.result()
        assert idle_count() == 2
        time.sleep(0.3)
        worker.on_start = lambda _seen: fakes.ended(b'')
        client.call(request)
        client.close_unused(250)
        assert idle_count() == 1
        client.close_unused(60_000)
        assert idle_count() == 1


def serve_one_then_drop(listener, received):
    """Answer the first call; read and then drop each later one."""
    with contextlib.suppress(OSError):
        while True:
            stream, _ = listener.accept()
            while data := stream.recv(65_536):
                received.append(data)
                if len(received) > 1:
                    break
                stream.sendall(b'HTTP/1.1 202 A\r\nContent-Length: 0\r\n\r\n')
            stream.close()


def test_call_on_a_broken_keep_alive_connection_is_not_resent():
    """By default curl resends it without reporting that."""
    received = []
    with socket.create_server(('127.0.0.1', 0)) as listener:
        threading.Thread(
            target=serve_one_then_drop,
            args=(listener, received),
            daemon=True,
        ).start()
        host, port = listener.getsockname()
        request = _worker_client.WorkerRequest(
            'POST', f'{host}:{port}', '/v1/attempts/a', 10_000
        )
        client = _worker_client.WorkerClient(1)
        with contextlib.closing(client):
            assert client.call(request).head.status == 202
            outcome = client.call(request)
    assert isinstance(outcome, _worker_client.NoReply)
    assert len(received) == 2
