"""Loads settings files."""

import pathlib
import typing

import json5
from returns import result

from dandeliondrum import json_text
from dandeliondrum.settings import _check
from dandeliondrum.settings import _controller
from dandeliondrum.settings import _gateway
from dandeliondrum.settings import _parameters
from dandeliondrum.settings import _problems
from dandeliondrum.settings import _roles
from dandeliondrum.settings import _worker

FILE_BYTES_MAX = 64 * 1024

SettingsT = typing.TypeVar(
    'SettingsT',
    _controller.ControllerSettings,
    _gateway.GatewaySettings,
    _worker.WorkerSettings,
)
Problems = tuple[_problems.SettingsProblem, ...]


def load(
    path: str | pathlib.Path, kind: type[SettingsT]
) -> result.Result[SettingsT, Problems]:
    """Return the settings in a file, or all problems of the file.

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
            return _SettingsFile(str(path), text).settings(kind)
        case result.Failure(problems):
            return result.Failure(problems)
    raise AssertionError('a result is a success or a failure')


def load_any(
    path: str | pathlib.Path,
) -> result.Result[_roles.Settings, Problems]:
    """Return the settings in a file of any role.

    The role is determined by the field that holds the id of the process.
    """
    match _read(str(path)):
        case result.Success(text):
            return _SettingsFile(str(path), text).settings_of_any_role()
        case result.Failure(problems):
            return result.Failure(problems)
    raise AssertionError('a result is a success or a failure')


def _read(file: str) -> result.Result[str, Problems]:
    try:
        with open(file, 'rb') as stream:
            data = stream.read(FILE_BYTES_MAX + 1)
    except (OSError, ValueError) as error:
        return _read_failure(file, str(error))
    if len(data) > FILE_BYTES_MAX:
        return _read_failure(file, f'more than {FILE_BYTES_MAX} bytes')
    try:
        return result.Success(data.decode())
    except UnicodeDecodeError as error:
        return _read_failure(file, f'invalid UTF-8: {error.reason}')


def _read_failure(file: str, found: str) -> result.Result[str, Problems]:
    problem = _problems.SettingsProblem(
        file, 0, '', found, 'a readable file of UTF-8 text'
    )
    return result.Failure((problem,))


class _SettingsFile:
    """The text of a settings file, with the lines of its fields."""

    def __init__(self, file: str, text: str) -> None:
        self._file = file
        self._text = text
        self._names = json_text.find_names(text)
        self._lines = {name.path: name.line for name in self._names}

    def settings_of_any_role(
        self,
    ) -> result.Result[_roles.Settings, Problems]:
        for field, kind in _roles.ROLE_FIELDS.items():
            if field in self._lines:
                return self._settings(kind)
        match self._parse():
            case result.Failure(problems):
                return result.Failure(problems)
        return self._failure(
            _check.Finding(
                '', 'no role id', 'one of ' + ', '.join(_roles.ROLE_FIELDS)
            )
        )

    def settings(
        self, kind: type[SettingsT]
    ) -> result.Result[SettingsT, Problems]:
        return self._settings(kind)

    def _settings(
        self, kind: type[typing.Any]
    ) -> result.Result[typing.Any, Problems]:
        match self._parse():
            case result.Failure(problems):
                return result.Failure(problems)
            case result.Success(value):
                return self._validate(value, kind)
        raise AssertionError('a result is a success or a failure')

    def _parse(self) -> result.Result[typing.Any, Problems]:
        try:
            value, error, offset = json5.parse(self._text)
        except (ValueError, RecursionError) as failure:
            return self._syntax_failure(1, str(failure))
        if error is not None:
            line, _ = json_text.line_and_column(self._text, offset)
            return self._syntax_failure(line, error.removeprefix('<string>:'))
        return result.Success(value)

    def _syntax_failure(
        self, line: int, reason: str
    ) -> result.Result[typing.Any, Problems]:
        problem = _problems.SettingsProblem(
            self._file,
            line,
            '',
            f'invalid JSON ({reason})',
            'JSON with comments',
        )
        return result.Failure((problem,))

    def _validate(
        self, value: typing.Any, kind: type[typing.Any]
    ) -> result.Result[typing.Any, Problems]:
        findings = [
            _check.Finding(name.path, 'the field again', 'each field once')
            for name in json_text.duplicate_names(self._names)
        ]
        findings += _check.check_object(value, kind)
        if findings:
            return self._failure(*findings)
        loaded = _build(value, kind)
        conflicts = [
            _check.Finding(conflict.field, conflict.found, conflict.allowed)
            for conflict in loaded.conflicts()
        ]
        if conflicts:
            return self._failure(*conflicts)
        return result.Success(loaded)

    def _failure(
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
        """Return the line of a field, or of its nearest enclosing field."""
        while path:
            if path in self._lines:
                return self._lines[path]
            path = path[: max(path.rfind('.'), path.rfind('['), 0)]
        return 1


def _build(value: dict[str, typing.Any], kind: type[typing.Any]) -> typing.Any:
    fields = {}
    for item in _parameters.parameters(kind):
        if item.name not in value:
            continue
        found = value[item.name]
        match item.allowed:
            case _parameters.Objects(settings_class):
                found = tuple(settings_class(**fields) for fields in found)
            case _parameters.Addresses():
                found = tuple(found)
        fields[item.name] = found
    return kind(**fields)
