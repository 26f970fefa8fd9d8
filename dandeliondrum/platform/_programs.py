"""The gateway and controller programs that run on the platform."""

import contextlib
import sys

from dandeliondrum import observability
from dandeliondrum.platform import _settings_file
from dandeliondrum.platform import _settings_path
from dandeliondrum import signals
from dandeliondrum import startup
from dandeliondrum import utils

ROLES = ('gateway', 'controller')


def run(
    role: str,
    process_signals: signals.ProcessSignals,
    settings_content: bytes,
    settings_read_ns: int,
) -> int:
    """Run a role until SIGTERM or SIGINT; return the exit code.

    The last two arguments are those of :class:`_settings_file.SettingsFile`.
    """
    if role not in ROLES:
        sys.stderr.write(f'unknown role {role}\n')
        return startup.ExitCode.USAGE
    utils.return_large_blocks()
    stream = observability.BoundedStream(sys.stdout)
    settings_file = _settings_file.SettingsFile(
        _settings_path.find_path(), settings_content, settings_read_ns
    )
    program = _Program(role, settings_file, stream)
    with contextlib.ExitStack() as resources:
        stream.start()
        resources.callback(stream.close)
        observability.configure_logging(role, '', 'info', stream)
        return startup.run(
            startup.Startup(process_signals), program.start, program.reload
        )


class _Program:
    """A role with its settings."""

    def __init__(
        self,
        role: str,
        settings_file: _settings_file.SettingsFile,
        stream: observability.BoundedStream,
    ) -> None:
        self._role = role
        self._settings_file = settings_file
        self._stream = stream
        self._reload_settings = lambda: None

    def start(
        self, start: startup.Startup, resources: contextlib.ExitStack
    ) -> None:
        """Start the role; it runs until ``resources`` are closed."""
        with start.phase('settings'):
            settings = start.retry(
                'settings', lambda: self._settings_file.load(self._role)
            )
        start.stop_grace_ms = settings.stop_grace_ms
        observability.configure_logging(
            self._role, settings.vm_name, 'info', self._stream
        )
        timers = utils.TimerService()
        resources.callback(timers.close)
        timers.start()
        if self._role == 'gateway':
            with start.phase('imports of the role'):
                from dandeliondrum.platform import _gateway_program
            self._reload_settings = _gateway_program.start(
                start, settings, timers, resources
            )
        else:
            with start.phase('imports of the role'):
                from dandeliondrum.platform import _controller_program
            self._reload_settings = _controller_program.start(
                start, settings, timers, resources
            )

    def reload(self) -> None:
        """Reread the settings that may change while the role runs."""
        self._reload_settings()
