"""Calls of tests on new connections and on those that stay open."""

import contextlib

import pytest

from dandeliondrum.testing import _http
from dandeliondrum.testing import _platform_fakes
from dandeliondrum.testing import _ports


@pytest.fixture
def server():
    """A server that replies with the caller's port."""
    made = _platform_fakes.HttpServer(
        _ports.free_address(),
        lambda request, _body: (200, request.environ['REMOTE_PORT']),
    )
    with contextlib.closing(made):
        made.start()
        yield made


def test_a_client_keeps_its_connection_open(server):
    url = f'http://{server.address}/'
    with contextlib.closing(_http.HttpClient()) as client:
        ports = {client.call(url).body for _ in range(3)}
    assert len(ports) == 1
    assert ports != {_http.call(url).body}


def test_a_client_goes_on_after_a_failed_call(server):
    with contextlib.closing(_http.HttpClient()) as client:
        nowhere = f'http://{_ports.free_address()}/'
        assert client.call(nowhere, 'POST', b'{}').status == 0
        assert client.call(f'http://{server.address}/').status == 200
