"""Reads the headers of calls to a worker."""

import typing

from returns import result
import werkzeug

from dandeliondrum import messages
from dandeliondrum.worker import _calls
from dandeliondrum.worker import _journal

_FLAGS = {'true': True, 'false': False, '1': True, '0': False}


class _HeaderError(Exception):
    """A header is missing or makes no sense."""


def read_start(
    request: werkzeug.Request, attempt_id: messages.AttemptId
) -> result.Result[_calls.StartCall, str]:
    """Return the start that a request asks for, or what is wrong."""
    arrived_ms = _journal.now_ms()
    try:
        return result.Success(
            _calls.StartCall(
                attempt_id=attempt_id,
                task_id=messages.TaskId(_text(request, 'Task-Id')),
                token=messages.FencingToken(_number(request, 'Token')),
                incarnation=messages.Incarnation(
                    _text(request, 'Incarnation')
                ),
                lease_ms=_number(request, 'Lease-Ms'),
                durable=_flag(request, 'Durable'),
                team_id=messages.TeamId(_text(request, 'Team')),
                queue=messages.QueueName(_text(request, 'Queue')),
                resources=messages.Resources(
                    _number(request, 'Cpu-Millicores'),
                    _number(request, 'Memory-Mb'),
                    _number(request, 'Accelerators', '0'),
                ),
                trace_parent=_text(request, 'traceparent', ''),
                body=request.get_data(),
                arrived_ms=arrived_ms,
            )
        )
    except _HeaderError as error:
        return result.Failure(str(error))


def read_wait_ms(request: werkzeug.Request) -> result.Result[int, str]:
    """Return how long the caller wants to wait."""
    try:
        return result.Success(_number(request, 'Wait-Ms', '0'))
    except _HeaderError as error:
        return result.Failure(str(error))


def _text(
    request: werkzeug.Request, name: str, default: str | None = None
) -> str:
    text = request.headers.get(name, default)
    if text is None:
        raise _HeaderError(f'header {name} is missing')
    # WSGI hands header bytes over as Latin-1; ours are UTF-8.
    return typing.cast(str, text).encode('latin-1').decode('utf-8', 'replace')


def _number(
    request: werkzeug.Request, name: str, default: str | None = None
) -> int:
    text = _text(request, name, default)
    if not (text.isascii() and text.isdigit()):
        raise _HeaderError(f'header {name}: number expected, found {text!r}')
    return int(text)


def _flag(request: werkzeug.Request, name: str) -> bool:
    text = _text(request, name, 'false').lower()
    if text not in _FLAGS:
        raise _HeaderError(f'header {name}: true or false, found {text!r}')
    return _FLAGS[text]
