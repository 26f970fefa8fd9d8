"""Parses the headers of HTTP requests to a worker."""

import typing

from returns import result
import werkzeug

from dandeliondrum import messages
from dandeliondrum.worker import _calls
from dandeliondrum.worker import _journal

_BOOLEANS = {'true': True, 'false': False, '1': True, '0': False}


class _HeaderError(Exception):
    """A required header is missing or a header has an invalid value."""


def parse_start(
    request: werkzeug.Request, attempt_id: messages.AttemptId
) -> result.Result[_calls.StartCall, str]:
    """Parse a start request; return the error if a header is invalid."""
    arrived_ms = _journal.now_ms()
    try:
        return result.Success(
            _calls.StartCall(
                attempt_id=attempt_id,
                task_id=messages.TaskId(_header(request, 'Task-Id')),
                token=messages.FencingToken(_int_header(request, 'Token')),
                incarnation=messages.Incarnation(
                    _header(request, 'Incarnation')
                ),
                lease_ms=_int_header(request, 'Lease-Ms'),
                durable=_bool_header(request, 'Durable'),
                team_id=messages.TeamId(_header(request, 'Team')),
                queue=messages.QueueName(_header(request, 'Queue')),
                resources=messages.Resources(
                    _int_header(request, 'Cpu-Millicores'),
                    _int_header(request, 'Memory-Mb'),
                    _int_header(request, 'Accelerators', '0'),
                ),
                trace_parent=_header(request, 'traceparent', ''),
                body=request.get_data(),
                arrived_ms=arrived_ms,
            )
        )
    except _HeaderError as error:
        return result.Failure(str(error))


def parse_wait_ms(request: werkzeug.Request) -> result.Result[int, str]:
    """Parse how long the caller wants to wait, in milliseconds."""
    try:
        return result.Success(_int_header(request, 'Wait-Ms', '0'))
    except _HeaderError as error:
        return result.Failure(str(error))


def _header(
    request: werkzeug.Request, name: str, default: str | None = None
) -> str:
    text = request.headers.get(name, default)
    if text is None:
        raise _HeaderError(f'header {name} is missing')
    # WSGI decodes header bytes as Latin-1; gateways send UTF-8.
    return typing.cast(str, text).encode('latin-1').decode('utf-8', 'replace')


def _int_header(
    request: werkzeug.Request, name: str, default: str | None = None
) -> int:
    text = _header(request, name, default)
    if not (text.isascii() and text.isdigit()):
        raise _HeaderError(f'header {name}: number expected, found {text!r}')
    return int(text)


def _bool_header(request: werkzeug.Request, name: str) -> bool:
    text = _header(request, name, 'false').lower()
    if text not in _BOOLEANS:
        raise _HeaderError(f'header {name}: true or false, found {text!r}')
    return _BOOLEANS[text]
