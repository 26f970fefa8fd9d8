"""The result of a command: its exit code and its output."""

import collections.abc
import dataclasses
import enum
import json
import sys
import typing


class ExitCode(enum.IntEnum):
    """Exit codes of the command line.

    ``BROKEN`` means that an invariant of a daemon is broken; it has the value
    of EX_SOFTWARE in ``sysexits.h``. ``DOUBTS`` means that rules, or another
    configuration, are valid but most likely wrong.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    IN_DOUBT = 3
    UNREACHABLE = 4
    DOUBTS = 5
    BROKEN = 70


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The result of a command.

    ``text`` goes to standard output, ``note`` to standard error. With
    ``--json`` the output is ``data`` in place of ``text``.
    """

    code: ExitCode
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


def execute(command: Command) -> ExitCode:
    """Run a command, print its report and return its exit code."""
    try:
        report = command._action()
    except OSError as error:
        report = Report(ExitCode.REFUSED, note=str(error))
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
