"""Tests of the servers that the programs open."""

import contextlib
import gc
import logging
import socket

import prometheus_client

from dandeliondrum import http_server
from dandeliondrum.platform import _servers


def _servers_count():
    gc.collect()
    return sum(isinstance(one, http_server.Server) for one in gc.get_objects())


def test_retries_of_a_taken_metrics_port_leave_no_servers_behind():
    """Each retry kept a server, at one a second while the port is taken."""
    registry = prometheus_client.CollectorRegistry()
    with socket.create_server(('127.0.0.1', 0)) as other:
        host, port = other.getsockname()
        metrics_port = _servers._MetricsPort(f'{host}:{port}', registry)
        servers_count = _servers_count()
        entries_count = len(logging.statistics)
        for _ in range(20):
            assert not metrics_port.open()
        assert len(logging.statistics) == entries_count
        assert _servers_count() <= servers_count
    with contextlib.closing(metrics_port):
        assert metrics_port.open()
