"""The result of a command: its exit code and its output."""

import collections.abc
import dataclasses
import json
import sys
import typing

from dandeliondrum.command import _exit_code


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The result of a command.

    ``text`` goes to standard output, ``note`` to standard error. With
    ``--json`` the output is ``data`` in place of ``text``.
    """

    code: _exit_code.ExitCode
    text: str = ''
    note: str = ''
    data: typing.Any = None


Action = collections.abc.Callable[[], Report]


class Command:
    """A command that was parsed and has not run yet.

    Fire notices surplus arguments only after it has called a function. The
    command functions therefore return one of these, which :func:`execute`
    runs once all arguments are consumed. It has no public members, because
    Fire would look up surplus arguments among them.
    """

    def __init__(self, action: Action, as_json: bool = False) -> None:
        self._action = action
        self._as_json = as_json


def execute(command: Command) -> _exit_code.ExitCode:
    """Run a command, print its report and return its exit code."""
    try:
        report = command._action()
    except OSError as error:
        report = Report(_exit_code.ExitCode.REFUSED, note=str(error))
    write_report(report, command._as_json)
    return report.code


def write_report(report: Report, as_json: bool) -> None:
    """Print a report as text or as JSON."""
    if report.note:
        print(report.note, file=sys.stderr)
    if as_json:
        data = report.data
        if data is None:
            outcome = report.code.name.lower()
            data = {'outcome': outcome, 'detail': report.note}
        print(json.dumps(data, sort_keys=True))
    elif report.text:
        print(report.text)
    sys.stdout.flush()
