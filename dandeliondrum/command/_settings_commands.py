"""Commands of ``dandeliondrum settings``."""

from returns import result

from dandeliondrum.command import _arguments
from dandeliondrum.command import _exit_code
from dandeliondrum.command import _report
from dandeliondrum.command import _roles
from dandeliondrum import settings


class SettingsCommands:
    """Check the settings files of the daemons."""

    @_arguments.convert_arguments
    def check(self, file: str, *, json: bool = False) -> _report.Command:
        """Check a settings file without starting a daemon.

        Exits with 0 when the file is valid, and with 1 after printing line,
        field, found value and allowed values of each problem.

        Args:
          file: The settings file of a controller, gateway or worker.
          json: Print JSON.
        """
        return _report.Command(lambda: _check(file), json)


def _check(file: str) -> _report.Report:
    outcome = settings.load_any(file)
    if isinstance(outcome, result.Failure):
        problems = outcome.failure()
        data = {
            'problems': [
                {
                    'file': problem.file,
                    'line': problem.line,
                    'field': problem.field,
                    'found': problem.found,
                    'allowed': problem.allowed,
                }
                for problem in problems
            ]
        }
        note = '\n'.join(map(str, problems))
        return _report.Report(
            _exit_code.ExitCode.REFUSED, note=note, data=data
        )
    loaded = outcome.unwrap()
    process_id = _roles.process_id(loaded)
    return _report.Report(
        _exit_code.ExitCode.DONE,
        text=f'{file}: no problem ({process_id})',
        data={'problems': [], 'id': process_id},
    )
