"""Tests of the HTTP server's drain, without a gateway around it."""

import contextlib
import errno
import http.client
import socket
import threading

import pytest

from dandeliondrum.gateway import _server
from dandeliondrum.gateway.tests import fakes
from dandeliondrum import http_server


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
