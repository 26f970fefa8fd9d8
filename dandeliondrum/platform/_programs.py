"""The gateway and controller programs that run on the platform."""

import contextlib
import sys

from returns import result

from dandeliondrum import observability
from dandeliondrum.platform import _settings
from dandeliondrum import signals
from dandeliondrum import startup
from dandeliondrum import utils

ROLES = ('gateway', 'controller')


def run(role: str, process_signals: signals.ProcessSignals) -> int:
    """Run a role until SIGTERM or SIGINT; return the exit code."""
    if role not in ROLES:
        sys.stderr.write(f'unknown role {role}\n')
        return startup.ExitCode.USAGE
    utils.return_large_blocks()
    stream = observability.BoundedStream(sys.stdout)
    program = _Program(role, stream)
    with contextlib.ExitStack() as resources:
        stream.start()
        resources.callback(stream.close)
        observability.configure_logging(role, '', 'info', stream)
        return startup.run(
            startup.Startup(process_signals), program.start, program.reload
        )


class _Program:
    """A role with its settings."""

    def __init__(self, role: str, stream: observability.BoundedStream) -> None:
        self._role = role
        self._stream = stream
        self._reload_requested = lambda: None

    def start(
        self, start: startup.Startup, resources: contextlib.ExitStack
    ) -> None:
        """Start the role; it runs until ``resources`` are closed."""
        with start.phase('settings'):
            settings = start.retry(
                'settings', lambda: _load_settled(self._role)
            )
        observability.configure_logging(
            self._role, settings.vm_name, 'info', self._stream
        )
        timers = utils.TimerService()
        resources.callback(timers.close)
        timers.start()
        if self._role == 'gateway':
            with start.phase('imports of the role'):
                from dandeliondrum.platform import _gateway_program
            self._reload_requested = _gateway_program.start(
                start, settings, timers, resources
            )
        else:
            with start.phase('imports of the role'):
                from dandeliondrum.platform import _controller_program
            _controller_program.start(start, settings, timers, resources)

    def reload(self) -> None:
        """Reread the settings that may change while the role runs."""
        self._reload_requested()


def _load_settled(role: str) -> _settings.Settings:
    """Return the settings; raise NotReadyError while they are written."""
    path = _settings.find_path()
    match _settings.load(path):
        case result.Success(settings):
            problem = settings.find_missing(role) or _settings.find_change(
                path
            )
        case result.Failure(error):
            problem = error
    if problem:
        raise startup.NotReadyError(problem)
    return settings
