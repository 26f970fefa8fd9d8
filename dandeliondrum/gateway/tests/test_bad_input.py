"""Tests of malformed, oversized, slow and invalid requests."""

import contextlib
import json
import random
import socket
import threading

import pytest

from dandeliondrum.gateway.tests import fakes
from dandeliondrum import messages
from dandeliondrum import transport


@pytest.fixture
def leader(shared_leader):
    shared_leader.reset()
    return shared_leader


@pytest.fixture
def gw(leader, shared_gateway):
    fakes.wait_until(shared_gateway.ready)
    return shared_gateway


def raw(gw, data, half_close=False):
    """Send raw bytes and return everything that is received."""
    address = transport.parse_address(gw.callers_address)
    with socket.create_connection(address, fakes.WAIT_S) as stream:
        with contextlib.suppress(OSError):
            stream.sendall(data)
        if half_close:
            stream.shutdown(socket.SHUT_WR)
        received = bytearray()
        with contextlib.suppress(ConnectionResetError):
            while chunk := stream.recv(65_536):
                received += chunk
    return bytes(received)


def parse_problem(received):
    head, _, body = received.partition(b'\r\n\r\n')
    assert b'application/json' in head
    return int(head.split()[1]), json.loads(body)


def metrics(gw):
    reply = fakes.call(gw.operators_address, 'GET', '/metrics')
    return reply.body.decode()


def head_lines(*lines):
    """Return the head of a task request without a first-sending header."""
    fields = [f'{name}: {value}' for name, value in fakes.headers().items()]
    first = 'POST /v1/tasks HTTP/1.1'
    return '\r\n'.join([first, 'Host: x', *fields, *lines, '', '']).encode()


@pytest.mark.parametrize(
    'changes',
    [
        {'Timeout_Ms': 'soon'},
        {'Timeout_Ms': '0'},
        {'Timeout_Ms': '-5'},
        {'Timeout_Ms': '1e3'},
        {'Timeout_Ms': '9' * 30},
        {'Timeout_Ms': '3600001'},
        {'Cpu_Millicores': '0'},
        {'Memory_Mb': '1.5'},
        {'Accelerators': 'two'},
        {'Class': 'gang'},
        {'Idempotent': 'yes'},
        {'Queue': 'a b'},
    ],
)
def test_invalid_header_is_reported_and_task_not_submitted(
    gw, leader, changes
):
    (name,) = changes
    first = fakes.run(gw, Request_Id='r1', First_Sending='true', **changes)
    assert (first.status, first.outcome) == (400, 'refused_not_run')
    assert name.replace('_', '-') in first.json()['detail']
    resent = fakes.run(gw, Request_Id='r1', **changes)
    assert (resent.status, resent.outcome) == (400, 'in_doubt')
    assert leader.received_of(messages.SubmitTasks) == []


@pytest.mark.parametrize(
    'changes',
    [
        {'Team': ''},
        {'Team': 'a/b'},
        {'Request_Id': 'r/1'},
        {'Request_Id': 'r' * 129},
        {'Request_Id': 'r\xe9'},
        {'Request_Id': 'r#1'},
    ],
)
def test_names_that_could_make_ids_ambiguous_are_rejected(gw, leader, changes):
    reply = fakes.run(gw, **changes)
    assert reply.status == 400
    assert leader.received_of(messages.SubmitTasks) == []


def test_random_header_values_never_cause_an_internal_error(
    gw, leader, worker
):
    leader.start_on(worker)
    letters = [chr(code) for code in range(32, 127)] + ['\xe9', '\t']
    rng = random.Random(5)
    names = [
        'Team', 'Queue', 'Class', 'Request-Id', 'First-Sending',
        'Idempotent', 'Timeout-Ms', 'Expected-Run-Ms', 'Cpu-Millicores',
        'Memory-Mb', 'Accelerators', 'Region',
    ]  # fmt: skip
    for _ in range(200):
        name = rng.choice(names)
        value = ''.join(rng.choices(letters, k=rng.randrange(12)))
        reply = fakes.call(
            gw.callers_address,
            'POST',
            '/v1/tasks',
            b'x',
            {**fakes.headers(), f'Dandeliondrum-{name}': value},
        )
        assert reply.status in (200, 400), (name, value)
        assert reply.outcome, (name, value)
    assert fakes.run(gw).status == 200


def test_a_malformed_trace_context_is_dropped(gw, leader, worker):
    leader.start_on(worker)
    headers = {**fakes.headers(), 'traceparent': 'nonsense'}
    reply = fakes.call(gw.callers_address, 'POST', '/v1/tasks', b'', headers)
    assert reply.status == 200
    assert 'nonsense' not in str(leader.received_of(messages.SubmitTasks))


def test_a_header_that_is_too_large_gets_431(gw):
    data = head_lines(f'X-Filler: {"f" * 40_000}')
    assert parse_problem(raw(gw, data))[0] == 431
    assert 'refused_input_total{status="431"} 1.0' in metrics(gw)


def test_a_declared_body_that_is_too_large_gets_413(leader):
    with fakes.serving(leader.address, body_max_bytes=1_000) as gw:
        reply = fakes.run(gw, b'x' * 1_001, First_Sending='true')
        assert (reply.status, reply.outcome) == (413, 'refused_not_run')
        assert fakes.run(gw, b'x' * 1_001, Request_Id='r1').outcome == (
            'in_doubt'
        )


def test_a_chunked_body_that_is_too_large_gets_413(leader):
    chunks = b''.join(b'400\r\n' + b'x' * 1_024 + b'\r\n' for _ in range(8))
    with fakes.serving(leader.address, body_max_bytes=4_096) as gw:
        data = head_lines('Transfer-Encoding: chunked') + chunks + b'0\r\n\r\n'
        assert parse_problem(raw(gw, data, half_close=True))[0] == 413


def test_a_chunked_body_arrives(gw, leader, worker):
    leader.start_on(worker)
    lines = ('Transfer-Encoding: chunked', 'Connection: close')
    data = head_lines(*lines) + b'4\r\nlens\r\n0\r\n\r\n'
    assert raw(gw, data).endswith(b'echo:lens')


@pytest.mark.parametrize(
    'data',
    [
        b'\x16\x03\x01\x02\x00\x01\x00',
        b'\x00' * 200 + b'\r\n\r\n',
        b'POST\r\n\r\n',
        b'POST /v1/tasks HTTP/9.9\r\n\r\n',
        b'POST /v1/tasks HTTP/1.1\r\nNo colon\r\n\r\n',
        b'POST /v1/tasks HTTP/1.1\r\nContent-Length: many\r\n\r\n',
        b'POST /v1/tasks HTTP/1.1\r\nContent-Length: -4\r\n\r\n',
        b'POST /v1/tasks HTTP/1.1\r\nHost: x\r\n',
        b'{"cmd": 1}\r\n',
    ],
)
def test_malformed_request_is_rejected_and_later_ones_are_served(gw, data):
    received = raw(gw, data, half_close=True)
    if received:
        assert received.split()[1] in (b'400', b'408', b'505')
    reply = fakes.call(gw.callers_address, 'GET', '/healthz')
    assert reply.status == 200


def test_pipelined_requests_are_all_served(gw):
    one = b'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n'
    last = b'GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
    received = raw(gw, one * 5 + last)
    assert received.count(b'{"healthy":true}') == 6


def test_incomplete_body_is_rejected(gw, leader):
    data = head_lines('Content-Length: 100') + b'only this'
    code, body = parse_problem(raw(gw, data, half_close=True))
    assert (code, body['reason']) == (400, 'bad_request')
    assert '9 of 100 bytes' in body['detail']
    assert leader.received_of(messages.SubmitTasks) == []


def send_slowly(stream, stopped):
    with contextlib.suppress(OSError):
        while not stopped.wait(0.02):
            stream.sendall(b'x')


@pytest.mark.parametrize('part', ['head', 'body'])
def test_slow_sender_is_disconnected(leader, worker, part):
    leader.start_on(worker)
    begin = b'POST /v1/tasks HTTP/1.1\r\nX-Slow: '
    if part == 'body':
        begin = head_lines('Content-Length: 1000000')
    stopped = threading.Event()
    with fakes.serving(
        leader.address, arrival_ms=300, callers_threads_count=9
    ) as gw:
        address = transport.parse_address(gw.callers_address)
        streams = [socket.create_connection(address) for _ in range(9)]
        for stream in streams:
            stream.sendall(begin)
            threading.Thread(
                target=send_slowly, args=(stream, stopped), daemon=True
            ).start()
        # All threads are occupied, but only until the arrival deadline.
        assert fakes.run(gw).status == 200
        for stream in streams:
            stream.settimeout(fakes.WAIT_S)
            with contextlib.suppress(ConnectionResetError):
                received = stream.recv(65_536)
                if part == 'body':
                    assert received.split()[1] == b'408'
        stopped.set()
        for stream in streams:
            stream.close()


def test_idle_connections_occupy_no_thread(leader, worker):
    leader.start_on(worker)
    with fakes.serving(leader.address, callers_threads_count=9) as gw:
        address = transport.parse_address(gw.callers_address)
        with contextlib.ExitStack() as streams:
            for _ in range(30):
                streams.enter_context(socket.create_connection(address))
            assert fakes.run(gw).status == 200


@pytest.mark.parametrize(
    ('method', 'path', 'code'),
    [('GET', '/v1/nothing', 404), ('DELETE', '/v1/tasks', 405)],
)
def test_unknown_routes_return_json_errors(gw, method, path, code):
    reply = fakes.call(gw.callers_address, method, path)
    assert reply.status == code
    assert reply.json()['reason'] == 'bad_request'
    assert reply.headers['Content-Type'] == 'application/json'
