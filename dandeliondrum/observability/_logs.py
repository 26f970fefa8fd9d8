"""Logging as JSON lines, with the ids of requests, tasks and workers."""

import collections.abc
import contextlib
import logging
import sys
import typing

import structlog

from dandeliondrum.observability import _bounded_stream


def configure_logging(
    role: str,
    process_id: str,
    level: str = 'info',
    stream: typing.TextIO | _bounded_stream.BoundedStream | None = None,
) -> None:
    """Write log lines as JSON to a stream, by default to standard error.

    Each line has ``time`` (UTC), ``level``, ``event``, ``role`` and ``id``,
    the ids bound by :func:`log_context`, and the ``trace_id`` of the current
    span. Lines below the level are dropped.

    Example::

        configure_logging('gateway', 'g1', 'info')
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            _AddProcess(role, process_id),
            _add_trace_id,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper('iso', utc=True, key='time'),
            structlog.processors.format_exc_info,
            structlog.processors.UnicodeDecoder(),
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(
            typing.cast(typing.TextIO, stream or sys.stderr)
        ),
        cache_logger_on_first_use=False,
    )


@contextlib.contextmanager
def log_context(
    *,
    request_id: str | None = None,
    task: str | None = None,
    attempt: str | None = None,
    worker: str | None = None,
    term: int | None = None,
) -> collections.abc.Iterator[None]:
    """Add ids to all lines that this thread logs within the block.

    Example::

        with log_context(request_id='r1', task='harbour/r1'):
            logger.info('task accepted')
    """
    ids = {
        'request_id': request_id,
        'task': task,
        'attempt': attempt,
        'worker': worker,
        'term': term,
    }
    bound_ids = {
        name: value for name, value in ids.items() if value is not None
    }
    with structlog.contextvars.bound_contextvars(**bound_ids):
        yield


class _AddProcess:
    """Adds the role and id of the process to each line."""

    def __init__(self, role: str, process_id: str) -> None:
        self._fields = {'role': role, 'id': process_id}

    def __call__(
        self,
        logger: typing.Any,
        method: str,
        event: structlog.typing.EventDict,
    ) -> structlog.typing.EventDict:
        for name, value in self._fields.items():
            event.setdefault(name, value)
        return event


def _add_trace_id(
    logger: typing.Any, method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    # Most processes of the platform never open a span; without the package no
    # span can be open.
    if 'opentelemetry.trace' not in sys.modules:
        return event
    from opentelemetry import trace

    context = trace.get_current_span().get_span_context()
    if context.is_valid:
        event.setdefault('trace_id', trace.format_trace_id(context.trace_id))
    return event
