"""The HTTP servers of the programs and their limits."""

import contextlib

import prometheus_client
from returns import result
import structlog

from dandeliondrum import gateway
from dandeliondrum import http_server
from dandeliondrum import observability
from dandeliondrum.platform import _settings
from dandeliondrum import transport

# Has to match deploy/system.toml.
METRICS_PORT = 9_464
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
    resources: contextlib.ExitStack,
) -> result.Result[None, str]:
    """Open the port of the metrics, until ``resources`` are closed."""
    server = observability.Server(
        f'{settings.ip}:{METRICS_PORT}',
        observability.Endpoints(registry, _always_ready),
    )
    outcome = server.start()
    if isinstance(outcome, result.Failure):
        # Callers are served even if the metrics endpoint is not available.
        _logger.error(
            'metrics server not started', why=outcome.failure().reason
        )
        return result.Success(None)
    resources.callback(server.close)
    return result.Success(None)
