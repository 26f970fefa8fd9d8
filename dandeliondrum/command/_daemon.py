"""Runs a role as a daemon, from its settings file to its shutdown."""

import collections.abc
import contextlib
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


def run(role: str, file: str) -> _report.Report:
    """Run a role until it receives SIGTERM or SIGINT."""
    settings_class = ROLE_SETTINGS.get(role)
    if settings_class is None:
        return _report.Report(
            _exit_code.ExitCode.USAGE,
            note=f'unknown role {role}; known are {", ".join(ROLE_SETTINGS)}',
        )
    process_signals = signals.install()
    outcome = settings.load(file, typing.cast(typing.Any, settings_class))
    if isinstance(outcome, result.Failure):
        return _report.Report(
            _exit_code.ExitCode.REFUSED,
            note='\n'.join(map(str, outcome.failure())),
        )
    utils.return_large_blocks()
    daemon = _Daemon(role, outcome.unwrap())
    code = startup.run(startup.Startup(process_signals), daemon.start)
    return _report.Report(_exit_code.ExitCode(code))


class _Daemon:
    """A role with its settings."""

    def __init__(self, role: str, loaded: settings.Settings) -> None:
        self._role = role
        self._loaded = loaded
        observability.configure_logging(
            role, _roles.process_id(loaded), loaded.log_level
        )

    def start(
        self, start: startup.Startup, resources: contextlib.ExitStack
    ) -> None:
        """Start the role; it runs until ``resources`` are closed."""
        provider = observability.configure_tracing(
            self._role,
            _roles.process_id(self._loaded),
            self._loaded.traces_per_thousand,
        )
        resources.callback(provider.shutdown)
        _roles.start(start, self._loaded, resources)
