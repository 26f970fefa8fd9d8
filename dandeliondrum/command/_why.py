"""Filters the log lines of all processes by one request."""

import collections.abc
import dataclasses
import json
import typing

from dandeliondrum.command import _exit_code
from dandeliondrum.command import _report

# Fields whose value is the id of a request, or starts with it and a dot.
ID_FIELDS = ('job', 'request_id', 'task', 'step')
# Fields of every line, which are not repeated as name=value.
COMMON_FIELDS = frozenset({'time', 'event', 'role', 'id', 'level'})
LINES_SHOWN_MAX = 200

_LogLine = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHistory:
    """Log lines about a request, and context lines from the same time."""

    lines: tuple[_LogLine, ...]
    context: tuple[_LogLine, ...]


# Events that may affect every request at the time.
CONTEXT_EVENTS = frozenset(
    {
        'leading',
        'following',
        'leader found',
        'leader lost',
        'leader missed',
        'no quorum answers',
        'suspended',
        'started',
        'stopping',
        'log lines dropped',
        'policy in force',
        'settings not readable',
        'worker does not answer',
        'worker started again',
        'worker replaced',
        'worker leaves',
    }
)

# Context events that affect only requests handled by the same process.
LOCAL_EVENTS = frozenset({'leader found', 'leader lost', 'policy in force'})


def why(
    request_id: str, raw_lines: collections.abc.Iterable[str]
) -> RequestHistory:
    """Select the lines about a request from the logs of any processes.

    Text before the first brace of a line is ignored, because the loggers of
    some platforms add a prefix.
    """
    lines = [line for line in map(_parse, raw_lines) if line is not None]
    lines.sort(key=lambda line: str(line.get('time', '')))
    request_lines = [line for line in lines if _mentions(line, request_id)]
    if not request_lines:
        return RequestHistory((), ())
    workers = {line['worker'] for line in request_lines if line.get('worker')}
    processes = {line.get('id') for line in request_lines}
    first, last = (
        request_lines[0].get('time', ''),
        request_lines[-1].get('time', ''),
    )
    context = [
        line
        for line in lines
        if line.get('event') in CONTEXT_EVENTS
        and str(first) <= str(line.get('time', '')) <= str(last)
        and line.get('worker') in (None, *workers)
        and (line['event'] not in LOCAL_EVENTS or line.get('id') in processes)
    ]
    return RequestHistory(tuple(request_lines), tuple(context))


def report(
    request_id: str, raw_lines: collections.abc.Iterable[str]
) -> _report.Report:
    """Report the lines about a request, sorted by time."""
    history = why(request_id, raw_lines)
    if not history.lines:
        return _report.Report(
            _exit_code.ExitCode.REFUSED, note=f'no line names {request_id}'
        )
    rows = [*history.lines, *history.context]
    rows.sort(key=lambda line: str(line.get('time', '')))
    shown = rows[:LINES_SHOWN_MAX]
    text = '\n'.join(map(_format_line, shown))
    if len(rows) > len(shown):
        text += f'\n... and {len(rows) - len(shown)} more'
    return _report.Report(
        _exit_code.ExitCode.DONE,
        text,
        data={'lines': history.lines, 'context': history.context},
    )


def _parse(text: str) -> _LogLine | None:
    start = text.find('{')
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    return line if isinstance(line, dict) and 'event' in line else None


def _mentions(line: _LogLine, request_id: str) -> bool:
    for name in ID_FIELDS:
        value = line.get(name)
        if isinstance(value, str):
            if value == request_id or value.startswith(f'{request_id}.'):
                return True
    return False


def _format_line(line: _LogLine) -> str:
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in COMMON_FIELDS and value is not None
    )
    time = str(line.get('time', ''))[11:23]
    return f'{time}  {line.get("id", "")}  {line["event"]}  {fields}'.rstrip()
