"""Distributed tracing, with spans written to the log as JSON lines.

The trace context is propagated in the W3C ``traceparent`` header. Whether a
trace is sampled is decided at its root span and applies to all its spans.
"""

import collections.abc
import contextlib
import re

from opentelemetry import context as trace_contexts
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace import sampling
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext
import structlog

TRACE_PARENT = 'traceparent'
TRACES_PER_THOUSAND = 10

_logger = structlog.get_logger()
# The lowest bit of the flags, the last field, means "sampled".
_SAMPLED_TRACE_PARENT = re.compile(
    '00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f][13579bdf]'
)
_propagator = tracecontext.TraceContextTextMapPropagator()

Attributes = collections.abc.Mapping[str, str | int | float | bool]


def make_tracer_provider(
    role: str,
    process_id: str,
    traces_per_thousand: int = TRACES_PER_THOUSAND,
) -> sdk_trace.TracerProvider:
    """Return a tracer provider that writes finished spans to the log.

    Close it with ``shutdown()``, which writes the remaining spans.
    """
    sampler = sampling.ParentBased(
        sampling.TraceIdRatioBased(traces_per_thousand / 1000)
    )
    resource = resources.Resource(
        {'service.name': role, 'service.instance.id': process_id}
    )
    provider = sdk_trace.TracerProvider(sampler=sampler, resource=resource)
    provider.add_span_processor(export.BatchSpanProcessor(LogExporter()))
    return provider


def configure_tracing(
    role: str,
    process_id: str,
    traces_per_thousand: int = TRACES_PER_THOUSAND,
) -> sdk_trace.TracerProvider:
    """Create a tracer provider and set it as the global one."""
    provider = make_tracer_provider(role, process_id, traces_per_thousand)
    trace.set_tracer_provider(provider)
    return provider


@contextlib.contextmanager
def span(
    name: str,
    trace_parent: str = '',
    attributes: Attributes | None = None,
    provider: trace.TracerProvider | None = None,
) -> collections.abc.Iterator[trace.Span]:
    """Open a span for the duration of the block.

    It is a child of ``trace_parent`` when that is given and valid, otherwise
    of the current span of the thread. When the current span is not sampled,
    no span is created, since it would cost time and never be written.

    Example::

        with span('start attempt', spec.trace_parent) as opened:
            headers['traceparent'] = current_trace_parent()
            opened.set_attribute('worker', worker_id)
    """
    if not trace_parent and _in_unsampled_span():
        yield trace.get_current_span()
        return
    tracer = trace.get_tracer('dandeliondrum', tracer_provider=provider)
    with tracer.start_as_current_span(
        name, context=_parent_context(trace_parent), attributes=attributes
    ) as current_span:
        yield current_span


def sampled_span(
    name: str, trace_parent: str, attributes: Attributes | None = None
) -> contextlib.AbstractContextManager[trace.Span]:
    """Open a span only if ``trace_parent`` is sampled.

    For callers that propagate the trace context by other means than the span.
    """
    if _SAMPLED_TRACE_PARENT.fullmatch(trace_parent) is None:
        return contextlib.nullcontext(trace.INVALID_SPAN)
    return span(name, trace_parent, attributes)


def current_trace_parent() -> str:
    """Return the ``traceparent`` of the current span; empty without one."""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier)
    return carrier.get(TRACE_PARENT, '')


def _in_unsampled_span() -> bool:
    context = trace.get_current_span().get_span_context()
    return context.is_valid and not context.trace_flags.sampled


def _parent_context(trace_parent: str) -> trace_contexts.Context | None:
    if not trace_parent:
        return None
    return _propagator.extract({TRACE_PARENT: trace_parent})


class LogExporter(export.SpanExporter):
    """Exports finished spans to the log."""

    def export(
        self, spans: collections.abc.Sequence[sdk_trace.ReadableSpan]
    ) -> export.SpanExportResult:
        """Write one log line for each span."""
        for finished in spans:
            _log_span(finished)
        return export.SpanExportResult.SUCCESS


def _log_span(finished: sdk_trace.ReadableSpan) -> None:
    context = finished.get_span_context()
    if context is None:
        return
    parent = finished.parent
    started_ns = finished.start_time or 0
    ended_ns = finished.end_time or started_ns
    _logger.info(
        'span',
        name=finished.name,
        trace_id=trace.format_trace_id(context.trace_id),
        span_id=trace.format_span_id(context.span_id),
        parent_id=trace.format_span_id(parent.span_id) if parent else '',
        started_us=started_ns // 1_000,
        length_us=(ended_ns - started_ns) // 1_000,
        failed=not finished.status.is_ok,
        attributes=dict(finished.attributes or {}),
    )
