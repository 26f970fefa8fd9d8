"""The HTTP servers of the programs and their limits."""

import contextlib
import threading

import prometheus_client
from returns import result
import structlog

from dandeliondrum import gateway
from dandeliondrum import http_server
from dandeliondrum import observability
from dandeliondrum.platform import _settings
from dandeliondrum import transport
from dandeliondrum import utils

# Has to match deploy/system.toml.
METRICS_PORT = 9_464
METRICS_RETRY_EVERY_MS = 1_000
# Limit for the arrival of a whole request.
REQUEST_READ_TIMEOUT_MS = 3_000
# The configuration's MaxHeaderBytes is 16,384; twice that is accepted.
HEADER_BYTES_MAX = 32 * 1024
# The configuration's IdleTimeoutMs.
IDLE_TIMEOUT_MS = 15_000
# How long an answer may make no progress, and take in all: a document of 16
# MiB arrives in time with 9 Mbit/s.
STALL_TIMEOUT_MS = 3_000
ANSWER_TIMEOUT_MS = 15_000
# Load balancers in front of many callers have one address.
PEER_SHARE = 0.9

_logger = structlog.get_logger()


def make_server(
    address: str,
    routes: tuple[gateway.Route, ...],
    threads_count: int,
    limits: http_server.Limits,
    budget: http_server.ByteBudget,
    metrics: gateway.Metrics,
) -> gateway.Server:
    """Return a server for the routes, which is not open yet."""
    return gateway.Server(
        transport.parse_address(address),
        gateway.Application(routes, metrics),
        threads_count,
        limits,
        budget,
        metrics.observe_refused,
    )


def make_limits(
    settings: _settings.Settings, share: float, body_bytes_max: int
) -> http_server.Limits:
    """Return the limits of a port with a share of the descriptors."""
    connections_max = settings.process_limits.connections_max(share)
    return http_server.Limits(
        header_bytes_max=HEADER_BYTES_MAX,
        body_bytes_max=body_bytes_max,
        arrival_ms=REQUEST_READ_TIMEOUT_MS,
        idle_ms=IDLE_TIMEOUT_MS,
        stall_ms=STALL_TIMEOUT_MS,
        answer_ms=ANSWER_TIMEOUT_MS,
        connections_max=connections_max,
        connections_per_peer_max=max(1, int(connections_max * PEER_SHARE)),
    )


def _always_ready() -> observability.Readiness:
    return observability.Readiness(True)


def serve_metrics(
    settings: _settings.Settings,
    registry: prometheus_client.CollectorRegistry,
    timers: utils.TimerService,
    resources: contextlib.ExitStack,
) -> None:
    """Serve the metrics until ``resources`` are closed.

    While the port can't be opened, the others are served without it.
    """
    port = _MetricsPort(f'{settings.ip}:{METRICS_PORT}', registry)
    resources.callback(port.close)
    if not port.open():
        retries = timers.every(METRICS_RETRY_EVERY_MS, port.open)
        resources.callback(retries.cancel)


class _MetricsPort:
    """Opens a port at the first attempt that succeeds."""

    def __init__(
        self, address: str, registry: prometheus_client.CollectorRegistry
    ) -> None:
        self._address = address
        self._endpoints = observability.Endpoints(registry, _always_ready)
        self._server: observability.Server | None = None
        self._failed = False
        self._closed = False
        self._lock = threading.Lock()

    def open(self) -> bool:
        """Return whether the port is open, or need not be opened."""
        with self._lock:
            if self._server is not None or self._closed:
                return True
            server = observability.Server(self._address, self._endpoints)
            outcome = server.start()
            if isinstance(outcome, result.Failure):
                if not self._failed:
                    _logger.error(
                        'metrics server not started',
                        why=outcome.failure().reason,
                    )
                self._failed = True
                return False
            self._server = server
        if self._failed:
            _logger.info('metrics server started')
        return True

    def close(self) -> None:
        """Close the port, and open it no more."""
        with self._lock:
            self._closed = True
            server = self._server
        if server is not None:
            server.close()
