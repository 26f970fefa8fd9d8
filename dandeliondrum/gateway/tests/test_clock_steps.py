"""Time-outs of the HTTP server when the time of day is set."""

import contextlib
import http.client
import socket
import time

import pytest

from dandeliondrum.gateway import _server
from dandeliondrum import http_server

ARRIVAL_MS = 300
HOUR_S = 3_600


def _application(_environ, start_response):
    start_response('200 OK', [('Content-Length', '2')])
    return [b'ok']


@pytest.fixture
def server():
    limits = http_server.Limits(
        header_bytes_max=_server.HEADERS_MAX_BYTES,
        body_bytes_max=1_000,
        arrival_ms=ARRIVAL_MS,
    )
    budget = http_server.ByteBudget(100_000)
    server = _server.Server(('127.0.0.1', 0), _application, 2, limits, budget)
    server.open()
    yield server
    server.drain(0)


def set_time_of_day(monkeypatch, step_s):
    read = time.time
    monkeypatch.setattr(time, 'time', lambda: read() + step_s)


def test_a_late_request_is_timed_out_after_the_clock_was_set_back(
    server, monkeypatch
):
    """No time-out was due until the clock had caught up."""
    host, _, port = server.address.rpartition(':')
    with socket.create_connection((host, int(port)), 10) as stream:
        stream.sendall(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        answer = stream.recv(4_096)
        while not answer.endswith(b'ok'):
            answer += stream.recv(4_096)
        set_time_of_day(monkeypatch, -HOUR_S)
        stream.sendall(b'GET / HTTP/1.1\r\n')
        assert b' 408 ' in stream.recv(4_096)


def test_an_idle_connection_stays_open_after_the_clock_was_set_forward(
    server, monkeypatch
):
    """A request that is on its way would get no answer."""
    client = http.client.HTTPConnection(server.address, timeout=10)
    with contextlib.closing(client):
        client.request('GET', '/')
        assert client.getresponse().read() == b'ok'
        stream = client.sock
        set_time_of_day(monkeypatch, HOUR_S)
        # Longer than the interval at which connections expire.
        time.sleep(1.5)
        client.request('GET', '/')
        assert client.getresponse().read() == b'ok'
        assert client.sock is stream
