"""Reads rules files and reports their problems."""

import pathlib

from returns import result

from dandeliondrum.command import _exit_code
from dandeliondrum.command import _report
from dandeliondrum import rules


def read(path: str) -> result.Result[str, _report.Report]:
    """Return the text of a valid rules file, or a report of its problems."""
    try:
        text = pathlib.Path(path).read_bytes().decode()
    except OSError as error:
        return _refuse(f'{path}: {error.strerror}')
    except UnicodeDecodeError as error:
        return _refuse(f'{path}: not valid UTF-8 at byte {error.start}')
    match rules.parse(text):
        case result.Failure(problems):
            return result.Failure(problems_report(path, problems))
    return result.Success(text)


def problems_report(
    path: str, problems: tuple[rules.RulesProblem, ...]
) -> _report.Report:
    """Return the report of a command that found problems in a rules file."""
    lines = [
        f'{path}:{problem.line}:{problem.column}: {problem.detail}'
        for problem in problems
    ]
    data = {
        'problems': [
            {
                'file': path,
                'line': problem.line,
                'column': problem.column,
                'detail': problem.detail,
            }
            for problem in problems
        ]
    }
    return _report.Report(
        _exit_code.ExitCode.REFUSED, note='\n'.join(lines), data=data
    )


def _refuse(detail: str) -> result.Result[str, _report.Report]:
    data = {'problems': [{'detail': detail}]}
    return result.Failure(
        _report.Report(_exit_code.ExitCode.REFUSED, note=detail, data=data)
    )
