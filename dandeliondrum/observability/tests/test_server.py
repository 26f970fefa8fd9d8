"""The server of /metrics, /healthz and /readyz."""

import contextlib
import http.client
import socket
import threading

import prometheus_client
import pytest
from returns import result

from dandeliondrum import observability


class Part:
    """A part of a process that can be made ready or not."""

    def __init__(self):
        self.readiness = observability.Readiness(False, 'starting')
        self.registry = prometheus_client.CollectorRegistry()
        self.counter = prometheus_client.Counter(
            'dandeliondrum_calls', 'Calls.', registry=self.registry
        )
        endpoints = observability.Endpoints(
            self.registry, lambda: self.readiness
        )
        self.server = observability.Server('127.0.0.1:0', endpoints)

    def get(self, path, method='GET', headers=()):
        host, port = self.server.address.split(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        connection.request(method, path, headers=dict(headers))
        response = connection.getresponse()
        answer = response.status, response.read().decode()
        connection.close()
        return answer


@pytest.fixture
def part(lines):
    made = Part()
    assert made.server.start() == result.Success(None)
    yield made
    made.server.close()


def test_readiness_is_asked_at_each_call(part):
    assert part.get('/readyz') == (503, 'not ready: starting\n')
    part.readiness = observability.Readiness(True)
    assert part.get('/readyz') == (200, 'ready\n')
    part.readiness = observability.Readiness(False, 'draining')
    assert part.get('/readyz') == (503, 'not ready: draining\n')
    assert part.get('/healthz') == (200, 'alive\n')


def test_metrics_are_those_of_the_registry(part):
    part.counter.inc(3)
    status, body = part.get('/metrics')
    assert status == 200
    assert 'dandeliondrum_calls_total 3.0\n' in body


def test_other_paths_and_methods_are_refused(part):
    assert part.get('/')[0] == 404
    assert part.get('/metrics', 'DELETE')[0] == 405


def test_an_oversized_header_is_refused_and_others_are_served(part):
    assert part.get('/metrics', headers=[('X', 'y' * 20_000)])[0] == 413
    assert part.get('/healthz')[0] == 200


def test_random_bytes_do_not_stop_it(part):
    host, port = part.server.address.split(':')
    with socket.create_connection((host, int(port)), 10) as stream:
        stream.sendall(b'\x00\xff\x17 no HTTP\r\n\r\n')
        assert stream.recv(1000).startswith(b'HTTP/1.1 400')
    assert part.get('/healthz')[0] == 200


def test_half_requests_do_not_keep_others_waiting_for_good(part):
    host, port = part.server.address.split(':')
    with contextlib.ExitStack() as stalled:
        for _ in range(6):
            stream = stalled.enter_context(
                socket.create_connection((host, int(port)), 10)
            )
            stream.sendall(b'GET /metrics HTTP/1.1\r\nHost: ')
        assert part.get('/healthz')[0] == 200


def test_a_body_is_refused(part):
    headers = [('Content-Length', '1000000')]
    assert part.get('/metrics', headers=headers)[0] in (400, 413)


def test_an_address_in_use_is_an_error_value(part):
    endpoints = observability.Endpoints(part.registry, lambda: part.readiness)
    second = observability.Server(part.server.address, endpoints)
    error = second.start().failure()
    assert error.address == part.server.address
    assert 'in use' in error.reason
    second.close()


def test_closing_leaves_no_thread_behind(lines):
    before = set(threading.enumerate())
    made = Part()
    made.server.start().unwrap()
    made.get('/healthz')
    made.server.close()
    assert set(threading.enumerate()) <= before


def test_the_process_itself_has_metrics():
    registry = observability.process_registry()
    text = prometheus_client.generate_latest(registry).decode()
    assert 'process_resident_memory_bytes' in text
