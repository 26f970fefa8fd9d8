"""Tests of the HTTP server's drain, without a gateway around it."""

import contextlib
import errno
import gc
import http.client
import itertools
import os
import resource
import socket
import threading
import time

import pytest
import structlog

from dandeliondrum.gateway import _server
from dandeliondrum.gateway.tests import fakes
from dandeliondrum import http_server
from dandeliondrum.http_server import _manager


def _application(_environ, start_response):
    start_response('200 OK', [('Content-Length', '2')])
    return [b'ok']


@pytest.fixture
def server():
    with contextlib.ExitStack() as stack:
        limits = http_server.Limits(
            header_bytes_max=_server.HEADERS_MAX_BYTES,
            body_bytes_max=1_000,
            arrival_ms=10_000,
        )
        budget = http_server.ByteBudget(100_000)
        server = _server.Server(
            ('127.0.0.1', 0), _application, 2, limits, budget
        )
        server.open()
        stack.callback(server.drain, 0)
        yield server


@pytest.fixture
def client(server):
    client = http.client.HTTPConnection(server.address, timeout=20)
    with contextlib.closing(client):
        client.request('GET', '/')
        assert client.getresponse().read() == b'ok'
        yield client


def test_request_that_arrived_before_the_close_is_served(
    server, client, monkeypatch
):
    stop_selecting = server._connections.stop

    def stop_then_receive():
        stop_selecting()
        client.request('GET', '/')

    monkeypatch.setattr(server._connections, 'stop', stop_then_receive)
    server.drain(5_000)
    assert client.getresponse().read() == b'ok'


def test_concurrent_drains_both_return(server, monkeypatch):
    entered, release = threading.Event(), threading.Event()

    def stop_listening():
        _server.Server._stop_listening(server)
        entered.set()
        assert release.wait(fakes.WAIT_S)

    monkeypatch.setattr(server, '_stop_listening', stop_listening)
    first = fakes.BackgroundCall(server.drain, 1_000)
    assert entered.wait(fakes.WAIT_S)
    second = fakes.BackgroundCall(server.drain, 1_000)
    release.set()
    first.result()
    second.result()
    assert not server.ready


def test_a_listener_removed_while_it_is_reported_causes_no_error(
    server, monkeypatch
):
    errors = []
    monkeypatch.setattr(
        server, 'error_log', lambda *details, **_: errors.append(details)
    )
    listener, server.socket = server.socket, None
    with contextlib.closing(socket.create_connection(server.bind_addr)):
        assert server._connections._from_server_socket(server.socket) is None
    server.socket = listener
    assert not errors


def test_a_connection_that_cannot_be_kept_does_not_end_the_server(
    server, client, monkeypatch
):
    selector = server._connections._selector
    register, failures = selector.register, [OSError(errno.ENOMEM, 'memory')]

    def fail_once(*arguments, **named):
        if failures:
            raise failures.pop()
        return register(*arguments, **named)

    monkeypatch.setattr(selector, 'register', fail_once)
    with contextlib.suppress(OSError, http.client.HTTPException):
        client.request('GET', '/')
        client.getresponse().read()
    other = http.client.HTTPConnection(server.address, timeout=20)
    with contextlib.closing(other):
        other.request('GET', '/')
        assert other.getresponse().read() == b'ok'
    assert not failures
    assert server.ready


def test_a_server_whose_thread_has_ended_does_not_count_as_serving(server):
    assert server.is_serving
    server.stop()
    server._thread.join(20)
    assert not server.is_serving


@pytest.fixture
def waiting():
    """Socket that isn't connected yet, with all descriptors below in use."""
    gc.collect()
    highest = max(int(number) for number in os.listdir('/proc/self/fd'))
    with contextlib.ExitStack() as stack:
        # A new descriptor is the lowest free one.
        while True:
            stream = stack.enter_context(socket.socket())
            if stream.fileno() >= highest:
                break
        stream.settimeout(20)
        yield stream


@contextlib.contextmanager
def no_descriptors_after(last):
    """Leave no descriptors to the process beyond a socket."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (last.fileno() + 1, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)


def _ask(stream):
    stream.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    return stream.recv(1_000)


def _events(lines, event):
    return [line for line in lines if line['event'] == event]


def test_a_server_without_descriptors_waits_and_serves_when_there_are_some(
    server, waiting
):
    """The loop used a processor and wrote thousands of lines a second."""
    with structlog.testing.capture_logs() as lines:
        with no_descriptors_after(waiting):
            waiting.connect(server.bind_addr)
            began_s, used_s = time.monotonic(), time.process_time()
            time.sleep(1.5)
            lasted_s = time.monotonic() - began_s
            used_s = time.process_time() - used_s
            written = list(lines)
        assert b'200 OK' in _ask(waiting)
    failed = _events(written, 'accept failed')
    assert failed == written
    assert 1 <= len(failed) <= 1 + lasted_s
    assert failed[0]['port'] == server.bind_addr[1]
    assert os.strerror(errno.EMFILE) in failed[0]['why']
    assert used_s < lasted_s / 5


@pytest.mark.parametrize(
    'number', [errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS]
)
def test_a_server_accepts_again_after_accepts_that_failed(
    server, monkeypatch, number
):
    accept, failures = server._connections.accept, [number] * 3

    def fail_first(listener):
        if failures:
            number = failures.pop()
            raise OSError(number, os.strerror(number))
        return accept(listener)

    monkeypatch.setattr(server._connections, 'accept', fail_first)
    with structlog.testing.capture_logs() as lines:
        with socket.create_connection(server.bind_addr, 20) as stream:
            assert b'200 OK' in _ask(stream)
    assert not failures
    assert [line['event'] for line in lines] == ['accept failed']


def test_open_connections_are_served_while_accepts_fail(
    server, client, monkeypatch
):
    """A pause of the thread that waits for all connections delays them."""

    def fail(_listener):
        raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))

    monkeypatch.setattr(server._connections, 'accept', fail)
    with structlog.testing.capture_logs() as lines:
        with socket.create_connection(server.bind_addr, 20):
            fakes.wait_until(lambda: _events(lines, 'accept failed'))
            waits_s = []
            for _ in range(30):
                began_s = time.monotonic()
                client.request('GET', '/')
                assert client.getresponse().read() == b'ok'
                waits_s.append(time.monotonic() - began_s)
    assert sorted(waits_s)[15] < _manager.ACCEPT_PAUSE_S / 2


def test_an_idle_connection_makes_room_for_a_new_one(server, client, waiting):
    """Idle connections would keep a port closed to new ones."""
    with structlog.testing.capture_logs() as lines:
        with no_descriptors_after(waiting):
            waiting.connect(server.bind_addr)
            assert b'200 OK' in _ask(waiting)
    assert client.sock.recv(1) == b''
    (failed,) = _events(lines, 'accept failed')
    assert failed['idle_connection_closed']


def test_a_request_that_arrives_is_not_given_up_for_a_new_connection(
    server, client, waiting
):
    """Only connections without a request are closed for descriptors."""
    client.sock.sendall(b'GET / HTTP/1.1\r\n')
    manager = server._connections
    fakes.wait_until(
        lambda: any(
            one.request_began_s is not None for _, one in manager._waiting()
        )
    )
    with structlog.testing.capture_logs() as lines:
        with no_descriptors_after(waiting):
            waiting.connect(server.bind_addr)
            fakes.wait_until(lambda: _events(lines, 'accept failed'))
            client.sock.sendall(b'Host: x\r\n\r\n')
            assert b'200 OK' in client.sock.recv(1_000)


def test_a_stop_without_descriptors_is_orderly(server, waiting):
    """An error of accept ended the drain, and the program with code 70."""
    with structlog.testing.capture_logs() as lines:
        with no_descriptors_after(waiting):
            waiting.connect(server.bind_addr)
            server.drain(1_000)
            assert not server.ready
            assert not server.is_serving
    (line,) = _events(lines, 'backlog not accepted')
    assert os.strerror(errno.EMFILE) in line['why']
    assert {one['event'] for one in lines} <= {
        'accept failed',
        'backlog not accepted',
    }


def test_a_stop_in_a_pause_accepts_the_backlog(server, monkeypatch):
    """A listener that is not registered meanwhile is drained as well."""
    monkeypatch.setattr(server._connections, '_resume', lambda: None)
    accept, failures = server._connections.accept, itertools.count()

    def fail_once(listener):
        if not next(failures):
            raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))
        return accept(listener)

    monkeypatch.setattr(server._connections, 'accept', fail_once)
    with structlog.testing.capture_logs() as lines:
        with socket.create_connection(server.bind_addr, 20) as stream:
            stream.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            fakes.wait_until(lambda: _events(lines, 'accept failed'))
            server.drain(5_000)
            assert b'200 OK' in stream.recv(1_000)
