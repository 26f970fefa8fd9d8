"""Checks a configuration document before an operator sends it.

Example::

    python -m dandeliondrum.platform check FILE --against=10.0.0.4:8080

Nothing is changed: a controller is only asked for the document in force.
"""

import argparse
import collections.abc
import dataclasses
import http.client
import json
import pathlib
import re
import typing
import urllib.error
import urllib.request

from returns import result

from dandeliondrum import command
from dandeliondrum import json_text
from dandeliondrum.platform import _control_api
from dandeliondrum.platform import _document_review
from dandeliondrum.platform import _documents
from dandeliondrum.platform import _fields

CALL_TIMEOUT_S = 10

_ADDRESS = re.compile(r'[^/:\s]+:\d+')


@dataclasses.dataclass(frozen=True, slots=True)
class _Source:
    """A document and where it was read."""

    name: str
    data: bytes

    def locate(
        self, remarks: collections.abc.Iterable[_document_review.Remark]
    ) -> list[dict[str, object]]:
        """Return remarks with the positions of their fields, by position."""
        positions = json_text.Positions(self.data.decode(errors='replace'))
        return [
            {
                'file': self.name,
                'line': line,
                'column': column,
                'field': path,
                'detail': detail,
            }
            for (line, column), path, detail in sorted(
                (positions.of(path), path, detail) for path, detail in remarks
            )
        ]


def run(arguments: collections.abc.Sequence[str]) -> int:
    """Run the check, print its report and return the exit code."""
    flags = _make_parser().parse_args(arguments)
    report = _check(flags.file, flags.against, flags.strict)
    command.write_report(report, flags.json)
    return report.code


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        'dandeliondrum.platform check',
        description='Check a configuration document without sending it.',
        epilog='Exits with 0 when the document is valid, 1 when it is not, '
        '2 after wrong usage, 4 when no controller answers, and 5 when '
        '--strict is given and there are warnings.',
        allow_abbrev=False,
    )
    parser.add_argument('file', metavar='FILE', help='the document')
    parser.add_argument(
        '--against',
        metavar='FILE|ADDRESS',
        default='',
        help='print what differs from this document, or from the one in '
        'force at the control address of a controller, as in 10.0.0.4:8080',
    )
    parser.add_argument(
        '--strict', action='store_true', help='fail if there are warnings'
    )
    parser.add_argument('--json', action='store_true', help='print JSON')
    return parser


def _check(file: str, against: str, strict: bool) -> command.Report:
    read = _read_file(file)
    if isinstance(read, result.Failure):
        return read.failure()
    source = read.unwrap()
    outcome = _documents.read(source.data)
    if isinstance(outcome, result.Failure):
        return _invalid(source, outcome.failure())
    body = _fields.parse_object(source.data)
    remarks = _document_review.find_warnings(
        outcome.unwrap(), body, source.data.decode()
    )
    changes = None
    if against:
        other = _read_other(against)
        if isinstance(other, result.Failure):
            return other.failure()
        before = other.unwrap()
        changes = json_text.find_differences(before, body, 'Name')
        if changes and before['Version'] >= body['Version']:
            detail = f'is not above {before["Version"]}: nothing would change'
            remarks.append(('Version', detail))
    warnings = source.locate(remarks)
    return _report(source.name, body, warnings, changes, strict)


def _report(
    file: str,
    body: _fields.Body,
    warnings: list[dict[str, object]],
    changes: tuple[str, ...] | None,
    strict: bool,
) -> command.Report:
    counts = {
        name: len(body.get(name, ()))
        for name in ('Routes', 'Services', 'Tenants')
    }
    words = ', '.join(f'{name} {count}' for name, count in counts.items())
    lines = [f'{file}: no problem (Version {body["Version"]}, {words})']
    data: dict[str, object] = {
        'problems': [],
        'warnings': warnings,
        'Version': body['Version'],
        **counts,
    }
    if changes is not None:
        lines += changes or ['no difference']
        data['changes'] = list(changes)
    return command.Report(
        command.ExitCode.DOUBTS
        if strict and warnings
        else command.ExitCode.DONE,
        text='\n'.join(lines),
        note=_render(warnings, 'warning: '),
        data=data,
    )


def _render(
    located: collections.abc.Iterable[dict[str, object]], kind: str
) -> str:
    return '\n'.join(
        '{file}:{line}:{column}: {kind}{place}{detail}'.format(
            kind=kind,
            place=f'{entry["field"]}: ' if entry['field'] else '',
            **entry,
        )
        for entry in located
    )


def _read_file(path: str) -> result.Result[_Source, command.Report]:
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        return _refused(command.ExitCode.REFUSED, f'{path}: {error.strerror}')
    if len(data) > _control_api.DOCUMENT_BYTES_MAX:
        limit = _control_api.DOCUMENT_BYTES_MAX
        return _refused(
            command.ExitCode.REFUSED, f'{path}: longer than {limit} bytes'
        )
    return result.Success(_Source(path, data))


def _read_other(
    against: str,
) -> result.Result[_fields.Body, command.Report]:
    """Return the document to compare with, from a file or a controller."""
    if pathlib.Path(against).exists() or not _ADDRESS.fullmatch(against):
        read = _read_file(against)
    else:
        read = _fetch(against)
    if isinstance(read, result.Failure):
        return read
    source = read.unwrap()
    try:
        body = _documents.parse(source.data)
        _fields.integer(body, 'Version')
    except _fields.FieldError as error:
        return result.Failure(_invalid(source, (error,)))
    return result.Success(body)


def _fetch(address: str) -> result.Result[_Source, command.Report]:
    """Return the document in force at a controller."""
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    url = f'http://{address}/config'
    try:
        with opener.open(url, timeout=CALL_TIMEOUT_S) as response:
            return result.Success(_Source(url, response.read()))
    except urllib.error.HTTPError as error:
        detail = error.read().decode(errors='replace')
        return _refused(
            command.ExitCode.UNREACHABLE, f'{url}: {error.code} {detail}'
        )
    except (OSError, ValueError, http.client.HTTPException) as error:
        return _refused(command.ExitCode.UNREACHABLE, f'{url}: {error}')


def _refused(
    code: command.ExitCode, detail: str
) -> result.Result[typing.Any, command.Report]:
    data = {'problems': [{'detail': detail}]}
    return result.Failure(command.Report(code, note=detail, data=data))


def _invalid(
    source: _Source, errors: tuple[_fields.FieldError, ...]
) -> command.Report:
    located = source.locate((error.path, str(error)) for error in errors)
    # Text that is no JSON has this error only, and no field to locate.
    cause = errors[0].__cause__
    if isinstance(cause, json.JSONDecodeError):
        located[0].update(line=cause.lineno, column=cause.colno)
    return command.Report(
        command.ExitCode.REFUSED,
        note=_render(located, ''),
        data={'problems': located},
    )
