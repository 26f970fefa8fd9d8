"""Runs a role as a daemon, from its settings file to its shutdown."""

import collections.abc
import contextlib
import os
import sys
import time
import typing

from returns import result

from dandeliondrum.command import _exit_code
from dandeliondrum.command import _report
from dandeliondrum.command import _roles
from dandeliondrum import observability
from dandeliondrum import settings
from dandeliondrum import signals
from dandeliondrum import startup
from dandeliondrum import utils

ROLE_SETTINGS: collections.abc.Mapping[str, type[settings.Settings]] = {
    'controller': settings.ControllerSettings,
    'gateway': settings.GatewaySettings,
    'worker': settings.WorkerSettings,
}
# A file that was changed later than this may not be written completely.
SETTLED_MS = 2_000


def run(role: str, file: str) -> _report.Report:
    """Run a role until it receives SIGTERM or SIGINT."""
    if role not in ROLE_SETTINGS:
        return _report.Report(
            _exit_code.ExitCode.USAGE,
            note=f'unknown role {role}; known are {", ".join(ROLE_SETTINGS)}',
        )
    process_signals = signals.install()
    utils.return_large_blocks()
    stream = observability.BoundedStream(sys.stderr)
    with contextlib.closing(stream):
        stream.start()
        daemon = _Daemon(role, file, stream)
        code = startup.run(startup.Startup(process_signals), daemon.start)
    return _report.Report(_exit_code.ExitCode(code), note=daemon.problems)


class _Daemon:
    """A role with its settings.

    ``problems`` has a line for each problem of the settings.
    """

    def __init__(
        self, role: str, file: str, stream: observability.BoundedStream
    ) -> None:
        self.problems = ''
        self._role = role
        self._file = file
        self._stream = stream
        # All log lines have the id of the process if it is known.
        self._outcome = self._load()

    def start(
        self, start: startup.Startup, resources: contextlib.ExitStack
    ) -> None:
        """Start the role; it runs until ``resources`` are closed."""
        with start.phase('settings'):
            loaded: settings.Settings = start.retry(
                'settings', self._load_settled
            )
        provider = observability.configure_tracing(
            self._role, _roles.process_id(loaded), loaded.traces_per_thousand
        )
        resources.callback(provider.shutdown)
        _roles.start(start, loaded, resources)

    def _load(self) -> result.Result[settings.Settings, str]:
        """Return the settings or their problems, and configure the log."""
        settings_class: typing.Any = ROLE_SETTINGS[self._role]
        self._read_s = time.time()
        match settings.load(self._file, settings_class):
            case result.Success(loaded):
                observability.configure_logging(
                    self._role,
                    _roles.process_id(loaded),
                    loaded.log_level,
                    self._stream,
                )
                return result.Success(loaded)
            case result.Failure(problems):
                observability.configure_logging(
                    self._role, '', stream=self._stream
                )
                return result.Failure('\n'.join(map(str, problems)))
        raise AssertionError('a result is a success or a failure')

    def _load_settled(self) -> settings.Settings:
        """Return the settings; raise NotReadyError while they are written."""
        if isinstance(self._outcome, result.Failure):
            self._outcome = self._load()
        self.problems = ''
        if isinstance(self._outcome, result.Success):
            return self._outcome.unwrap()
        self.problems = self._outcome.failure()
        # A change after it was read counts, too.
        if _is_changed_since(self._file, self._read_s - SETTLED_MS / 1000):
            raise startup.NotReadyError(self.problems)
        raise startup.NotStartedError(self.problems)


def _is_changed_since(file: str, at_s: float) -> bool:
    try:
        return os.stat(file).st_mtime > at_s
    except (OSError, ValueError):
        return False
