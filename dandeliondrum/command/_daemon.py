"""The daemons: settings in, a part of the library started and closed."""

import collections.abc
import contextlib
import os
import signal
import threading
import types
import typing

from returns import result
import structlog

from dandeliondrum.command import _report
from dandeliondrum.command import _roles
from dandeliondrum import observability
from dandeliondrum import settings
from dandeliondrum import utils

KINDS: collections.abc.Mapping[str, type[settings.Settings]] = {
    'controller': settings.ControllerSettings,
    'gateway': settings.GatewaySettings,
    'worker': settings.WorkerSettings,
}
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

_logger = structlog.get_logger()


def run(role: str, file: str) -> _report.Report:
    """Run a role until a signal asks it to stop."""
    kind = KINDS.get(role)
    if kind is None:
        return _report.Report(
            _report.ExitCode.USAGE,
            note=f'unknown role {role}; known are {", ".join(KINDS)}',
        )
    outcome = settings.load(file, typing.cast(typing.Any, kind))
    if isinstance(outcome, result.Failure):
        return _report.Report(
            _report.ExitCode.REFUSED,
            note='\n'.join(map(str, outcome.failure())),
        )
    return _run(role, outcome.unwrap())


def _run(role: str, loaded: settings.Settings) -> _report.Report:
    process_id = _roles.process_id(loaded)
    observability.configure_logging(role, process_id, loaded.log_level)
    with contextlib.ExitStack() as resources:
        stopping = _stop_on_signals(resources)
        provider = observability.configure_tracing(
            role, process_id, loaded.traces_per_thousand
        )
        resources.callback(provider.shutdown)
        started = _roles.start(loaded, resources, end_process)
        if isinstance(started, result.Failure):
            _logger.error('not started', why=started.failure())
            return _report.Report(_report.ExitCode.REFUSED)
        _logger.info('started', address=started.unwrap())
        stopping.wait()
        _logger.info('stopping')
    _logger.info('stopped')
    return _report.Report(_report.ExitCode.DONE)


def end_process(error: utils.InvariantError) -> typing.NoReturn:
    """End at once: what no longer holds must not be acted on."""
    _logger.critical('process ended', why=str(error))
    os._exit(_report.ExitCode.BROKEN)


def _stop_on_signals(resources: contextlib.ExitStack) -> threading.Event:
    stopping = threading.Event()

    def stop(_number: int, _frame: types.FrameType | None) -> None:
        stopping.set()

    for number in STOP_SIGNALS:
        before = signal.signal(number, stop)
        resources.callback(signal.signal, number, before)
    return stopping
