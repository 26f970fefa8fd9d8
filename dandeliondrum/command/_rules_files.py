"""Reading rules files, and telling what is wrong with them."""

import pathlib

from returns import result

from dandeliondrum.command import _report
from dandeliondrum import rules


def read(path: str) -> result.Result[str, _report.Report]:
    """Return the text of a file whose rules have no problem."""
    try:
        text = pathlib.Path(path).read_bytes().decode()
    except OSError as error:
        return _refused(f'{path}: {error.strerror}')
    except UnicodeDecodeError as error:
        return _refused(f'{path}: no UTF-8 text at byte {error.start}')
    match rules.parse(text):
        case result.Failure(problems):
            return result.Failure(problems_report(path, problems))
    return result.Success(text)


def problems_report(
    path: str, problems: tuple[rules.RulesProblem, ...]
) -> _report.Report:
    """Return the end of a command that met problems in a rules file."""
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
        _report.ExitCode.REFUSED, note='\n'.join(lines), data=data
    )


def _refused(detail: str) -> result.Result[str, _report.Report]:
    data = {'problems': [{'detail': detail}]}
    return result.Failure(
        _report.Report(_report.ExitCode.REFUSED, note=detail, data=data)
    )
