"""Tests of the server of /metrics, /healthz and /readyz."""

import contextlib
import http.client
import socket
import threading

import prometheus_client
import pytest
from returns import result

from dandeliondrum import observability


class ServedComponent:
    """A component with a server, a metric and a settable readiness."""

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
def component(lines):
    started = ServedComponent()
    assert started.server.start() == result.Success(None)
    yield started
    started.server.close()


def test_readiness_is_checked_at_each_request(component):
    assert component.get('/readyz') == (503, 'not ready: starting\n')
    component.readiness = observability.Readiness(True)
    assert component.get('/readyz') == (200, 'ready\n')
    component.readiness = observability.Readiness(False, 'draining')
    assert component.get('/readyz') == (503, 'not ready: draining\n')
    assert component.get('/healthz') == (200, 'alive\n')


def test_metrics_come_from_the_registry(component):
    component.counter.inc(3)
    status, body = component.get('/metrics')
    assert status == 200
    assert 'dandeliondrum_calls_total 3.0\n' in body


def test_other_paths_and_methods_are_refused(component):
    assert component.get('/')[0] == 404
    assert component.get('/metrics', 'DELETE')[0] == 405


def test_an_oversized_header_is_refused_and_others_are_served(component):
    assert component.get('/metrics', headers=[('X', 'y' * 20_000)])[0] == 413
    assert component.get('/healthz')[0] == 200


def test_invalid_requests_do_not_stop_the_server(component):
    host, port = component.server.address.split(':')
    with socket.create_connection((host, int(port)), 10) as stream:
        stream.sendall(b'\x00\xff\x17 no HTTP\r\n\r\n')
        assert stream.recv(1000).startswith(b'HTTP/1.1 400')
    assert component.get('/healthz')[0] == 200


def test_incomplete_requests_do_not_block_others_forever(component):
    host, port = component.server.address.split(':')
    with contextlib.ExitStack() as stalled_clients:
        for _ in range(6):
            stream = stalled_clients.enter_context(
                socket.create_connection((host, int(port)), 10)
            )
            stream.sendall(b'GET /metrics HTTP/1.1\r\nHost: ')
        assert component.get('/healthz')[0] == 200


def test_a_body_is_refused(component):
    headers = [('Content-Length', '1000000')]
    assert component.get('/metrics', headers=headers)[0] in (400, 413)


def test_an_address_in_use_is_returned_as_an_error(component):
    endpoints = observability.Endpoints(
        component.registry, lambda: component.readiness
    )
    second = observability.Server(component.server.address, endpoints)
    error = second.start().failure()
    assert error.address == component.server.address
    assert 'in use' in error.reason
    second.close()


def test_closing_leaves_no_thread_behind(lines):
    before = set(threading.enumerate())
    component = ServedComponent()
    component.server.start().unwrap()
    component.get('/healthz')
    component.server.close()
    assert set(threading.enumerate()) <= before


def test_the_process_registry_has_process_metrics():
    registry = observability.process_registry()
    text = prometheus_client.generate_latest(registry).decode()
    assert 'process_resident_memory_bytes' in text
