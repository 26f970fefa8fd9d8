"""Logs, traces, metrics and readiness of a process.

Components with metrics take a ``prometheus_client`` registry. Metric names
end with their unit, as in ``dandeliondrum_gateway_wait_seconds``.
"""

import importlib
import typing

from dandeliondrum.observability._bounded_stream import BoundedStream
from dandeliondrum.observability._logs import configure_logging
from dandeliondrum.observability._logs import log_context
from dandeliondrum import utils

if typing.TYPE_CHECKING:
    from dandeliondrum.observability._endpoints import Endpoints
    from dandeliondrum.observability._endpoints import process_registry
    from dandeliondrum.observability._endpoints import Readiness
    from dandeliondrum.observability._endpoints import ReadinessCheck
    from dandeliondrum.observability._server import Server
    from dandeliondrum.observability._server import ServerError
    from dandeliondrum.observability._traces import configure_tracing
    from dandeliondrum.observability._traces import current_trace_parent
    from dandeliondrum.observability._traces import LogExporter
    from dandeliondrum.observability._traces import make_tracer_provider
    from dandeliondrum.observability._traces import sampled_span
    from dandeliondrum.observability._traces import span
    from dandeliondrum.observability._traces import TRACE_PARENT
    from dandeliondrum.observability._traces import TRACES_PER_THOUSAND
else:
    __getattr__ = utils.import_on_use(
        __name__,
        {
            '_endpoints': (
                'Endpoints',
                'process_registry',
                'Readiness',
                'ReadinessCheck',
            ),
            '_server': (
                'Server',
                'ServerError',
            ),
            '_traces': (
                'configure_tracing',
                'current_trace_parent',
                'LogExporter',
                'make_tracer_provider',
                'sampled_span',
                'span',
                'TRACE_PARENT',
                'TRACES_PER_THOUSAND',
            ),
        },
    )


def import_tracing() -> None:
    """Import what spans need, so that the first of them does not take long."""
    importlib.import_module('dandeliondrum.observability._traces')


__all__ = [
    'BoundedStream',
    'Endpoints',
    'LogExporter',
    'Readiness',
    'ReadinessCheck',
    'Server',
    'ServerError',
    'TRACES_PER_THOUSAND',
    'TRACE_PARENT',
    'configure_logging',
    'configure_tracing',
    'current_trace_parent',
    'import_tracing',
    'log_context',
    'make_tracer_provider',
    'process_registry',
    'sampled_span',
    'span',
]
