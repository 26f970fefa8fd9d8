"""Reads settings files."""

import pathlib
import typing

import json5
from returns import result

from dandeliondrum import json_text
from dandeliondrum.settings import _check
from dandeliondrum.settings import _controller
from dandeliondrum.settings import _declare
from dandeliondrum.settings import _gateway
from dandeliondrum.settings import _kinds
from dandeliondrum.settings import _problems
from dandeliondrum.settings import _worker

LONGEST_FILE_BYTES = 64 * 1024

Kind = typing.TypeVar(
    'Kind',
    _controller.ControllerSettings,
    _gateway.GatewaySettings,
    _worker.WorkerSettings,
)
Problems = tuple[_problems.SettingsProblem, ...]


def load(
    path: str | pathlib.Path, kind: type[Kind]
) -> result.Result[Kind, Problems]:
    """Return the settings that a file holds, or all its problems.

    Example::

        match settings.load('gateway.json5', settings.GatewaySettings):
            case result.Success(loaded):
                run(loaded)
            case result.Failure(problems):
                for problem in problems:
                    print(problem)
    """
    match _read(str(path)):
        case result.Success(text):
            return _Source(str(path), text).settings(kind)
        case result.Failure(problems):
            return result.Failure(problems)
    raise AssertionError('a result is a success or a failure')


def load_any(
    path: str | pathlib.Path,
) -> result.Result[_kinds.Settings, Problems]:
    """Return the settings of whichever role the file is for.

    The role follows from the field that holds the id of the process.
    """
    match _read(str(path)):
        case result.Success(text):
            return _Source(str(path), text).settings_of_any_role()
        case result.Failure(problems):
            return result.Failure(problems)
    raise AssertionError('a result is a success or a failure')


def _read(file: str) -> result.Result[str, Problems]:
    try:
        with open(file, 'rb') as stream:
            data = stream.read(LONGEST_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        return _unreadable(file, str(error))
    if len(data) > LONGEST_FILE_BYTES:
        return _unreadable(file, f'more than {LONGEST_FILE_BYTES} bytes')
    try:
        return result.Success(data.decode())
    except UnicodeDecodeError as error:
        return _unreadable(file, f'no UTF-8: {error.reason}')


def _unreadable(file: str, found: str) -> result.Result[str, Problems]:
    problem = _problems.SettingsProblem(
        file, 0, '', found, 'a readable file of UTF-8 text'
    )
    return result.Failure((problem,))


class _Source:
    """The text of one file, with the places of its names."""

    def __init__(self, file: str, text: str) -> None:
        self._file = file
        self._text = text
        self._names = json_text.find_names(text)
        self._lines = {name.path: name.line for name in self._names}

    def settings_of_any_role(
        self,
    ) -> result.Result[_kinds.Settings, Problems]:
        for field, kind in _kinds.ROLE_FIELDS.items():
            if field in self._lines:
                return self._settings(kind)
        match self._value():
            case result.Failure(problems):
                return result.Failure(problems)
        return self._failed(
            _check.Finding(
                '', 'no role', 'one of ' + ', '.join(_kinds.ROLE_FIELDS)
            )
        )

    def settings(self, kind: type[Kind]) -> result.Result[Kind, Problems]:
        return self._settings(kind)

    def _settings(
        self, kind: type[typing.Any]
    ) -> result.Result[typing.Any, Problems]:
        match self._value():
            case result.Failure(problems):
                return result.Failure(problems)
            case result.Success(value):
                return self._checked(value, kind)
        raise AssertionError('a result is a success or a failure')

    def _value(self) -> result.Result[typing.Any, Problems]:
        try:
            value, error, offset = json5.parse(self._text)
        except (ValueError, RecursionError) as failure:
            return self._not_json(1, str(failure))
        if error is not None:
            line, _ = json_text.line_and_column(self._text, offset)
            return self._not_json(line, error.removeprefix('<string>:'))
        return result.Success(value)

    def _not_json(
        self, line: int, why: str
    ) -> result.Result[typing.Any, Problems]:
        problem = _problems.SettingsProblem(
            self._file, line, '', f'no JSON ({why})', 'JSON with comments'
        )
        return result.Failure((problem,))

    def _checked(
        self, value: typing.Any, kind: type[typing.Any]
    ) -> result.Result[typing.Any, Problems]:
        findings = [
            _check.Finding(name.path, 'the field again', 'each field once')
            for name in json_text.duplicates(self._names)
        ]
        findings += _check.check_object(value, kind)
        if findings:
            return self._failed(*findings)
        loaded = _build(value, kind)
        clashes = [
            _check.Finding(clash.field, clash.found, clash.allowed)
            for clash in loaded.clashes()
        ]
        if clashes:
            return self._failed(*clashes)
        return result.Success(loaded)

    def _failed(
        self, *findings: _check.Finding
    ) -> result.Result[typing.Any, Problems]:
        problems = [
            _problems.SettingsProblem(
                self._file,
                self._line(finding.path),
                finding.path,
                finding.found,
                finding.allowed,
            )
            for finding in findings
        ]
        problems.sort(key=lambda problem: problem.line)
        return result.Failure(tuple(problems))

    def _line(self, path: str) -> int:
        """Return the line of a field, or of the nearest that holds it."""
        while path:
            if path in self._lines:
                return self._lines[path]
            path = path[: max(path.rfind('.'), path.rfind('['), 0)]
        return 1


def _build(value: dict[str, typing.Any], kind: type[typing.Any]) -> typing.Any:
    fields = {}
    for item in _declare.parameters(kind):
        if item.name not in value:
            continue
        found = value[item.name]
        match item.allowed:
            case _declare.Records(record):
                found = tuple(record(**fields) for fields in found)
            case _declare.Addresses():
                found = tuple(found)
        fields[item.name] = found
    return kind(**fields)
