"""Reads log lines of all processes and shows what concerns one request."""

import collections.abc
import dataclasses
import json
import typing

from dandeliondrum.command import _report

# Fields whose value is, or begins with, the id of a request.
ID_FIELDS = ('job', 'request_id', 'task', 'step')
# Fields of every line, which are shown in columns of their own.
COMMON_FIELDS = frozenset({'time', 'event', 'role', 'id', 'level'})
LINES_SHOWN_MAX = 200

_Line = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Lines about a request, and others that bear on them."""

    lines: tuple[_Line, ...]
    context: tuple[_Line, ...]


# Events that concern all requests of their time.
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

# Those of them that matter only where the request was handled.
LOCAL_EVENTS = frozenset({'leader found', 'leader lost', 'policy in force'})


def why(request_id: str, texts: collections.abc.Iterable[str]) -> Finding:
    """Pick the lines about a request out of log lines of any processes.

    What stands before the first brace of a line is passed over, as loggers
    of platforms put a prefix there.
    """
    lines = [line for line in map(_parse, texts) if line is not None]
    lines.sort(key=lambda line: str(line.get('time', '')))
    own = [line for line in lines if _concerns(line, request_id)]
    if not own:
        return Finding((), ())
    workers = {line['worker'] for line in own if line.get('worker')}
    processes = {line.get('id') for line in own}
    first, last = own[0].get('time', ''), own[-1].get('time', '')
    context = [
        line
        for line in lines
        if line.get('event') in CONTEXT_EVENTS
        and str(first) <= str(line.get('time', '')) <= str(last)
        and line.get('worker') in (None, *workers)
        and (line['event'] not in LOCAL_EVENTS or line.get('id') in processes)
    ]
    return Finding(tuple(own), tuple(context))


def report(
    request_id: str, texts: collections.abc.Iterable[str]
) -> _report.Report:
    """Show the lines about a request in the order of their times."""
    finding = why(request_id, texts)
    if not finding.lines:
        return _report.Report(
            _report.ExitCode.REFUSED, note=f'no line names {request_id}'
        )
    rows = [*finding.lines, *finding.context]
    rows.sort(key=lambda line: str(line.get('time', '')))
    shown = rows[:LINES_SHOWN_MAX]
    text = '\n'.join(map(_row, shown))
    if len(rows) > len(shown):
        text += f'\n... and {len(rows) - len(shown)} more'
    return _report.Report(
        _report.ExitCode.DONE,
        text,
        data={'lines': finding.lines, 'context': finding.context},
    )


def _parse(text: str) -> _Line | None:
    start = text.find('{')
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    return line if isinstance(line, dict) and 'event' in line else None


def _concerns(line: _Line, request_id: str) -> bool:
    for name in ID_FIELDS:
        value = line.get(name)
        if isinstance(value, str):
            if value == request_id or value.startswith(f'{request_id}.'):
                return True
    return False


def _row(line: _Line) -> str:
    rest = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in COMMON_FIELDS and value is not None
    )
    time = str(line.get('time', ''))[11:23]
    return f'{time}  {line.get("id", "")}  {line["event"]}  {rest}'.rstrip()
