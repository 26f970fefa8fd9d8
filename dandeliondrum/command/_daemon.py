"""Runs a role as a daemon, from its settings file to its shutdown."""

import collections.abc
import contextlib
import os
import signal
import threading
import types
import typing

from returns import result
import structlog

from dandeliondrum.command import _exit_code
from dandeliondrum.command import _report
from dandeliondrum.command import _roles
from dandeliondrum import observability
from dandeliondrum import settings
from dandeliondrum import utils

ROLE_SETTINGS: collections.abc.Mapping[str, type[settings.Settings]] = {
    'controller': settings.ControllerSettings,
    'gateway': settings.GatewaySettings,
    'worker': settings.WorkerSettings,
}
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

_logger = structlog.get_logger()


def run(role: str, file: str) -> _report.Report:
    """Run a role until it receives one of ``STOP_SIGNALS``."""
    settings_class = ROLE_SETTINGS.get(role)
    if settings_class is None:
        return _report.Report(
            _exit_code.ExitCode.USAGE,
            note=f'unknown role {role}; known are {", ".join(ROLE_SETTINGS)}',
        )
    outcome = settings.load(file, typing.cast(typing.Any, settings_class))
    if isinstance(outcome, result.Failure):
        return _report.Report(
            _exit_code.ExitCode.REFUSED,
            note='\n'.join(map(str, outcome.failure())),
        )
    return _run(role, outcome.unwrap())


def _run(role: str, loaded: settings.Settings) -> _report.Report:
    utils.return_large_blocks()
    process_id = _roles.process_id(loaded)
    observability.configure_logging(role, process_id, loaded.log_level)
    with contextlib.ExitStack() as exit_stack:
        stop_requested = _stop_on_signals(exit_stack)
        provider = observability.configure_tracing(
            role, process_id, loaded.traces_per_thousand
        )
        exit_stack.callback(provider.shutdown)
        started = _roles.start(loaded, exit_stack, end_process)
        if isinstance(started, result.Failure):
            _logger.error('not started', why=started.failure())
            return _report.Report(_exit_code.ExitCode.REFUSED)
        utils.limit_collections()
        _logger.info('started', address=started.unwrap())
        utils.wait_for_signal(stop_requested)
        _logger.info('stopping')
    _logger.info('stopped')
    return _report.Report(_exit_code.ExitCode.DONE)


def end_process(error: utils.InvariantError) -> typing.NoReturn:
    """Exit without cleanup, so nothing acts on a broken invariant."""
    _logger.critical('process ended', why=str(error))
    os._exit(_exit_code.ExitCode.BROKEN)


def _stop_on_signals(exit_stack: contextlib.ExitStack) -> threading.Event:
    stop_requested = threading.Event()

    def stop(_number: int, _frame: types.FrameType | None) -> None:
        stop_requested.set()

    for number in STOP_SIGNALS:
        previous_handler = signal.signal(number, stop)
        exit_stack.callback(signal.signal, number, previous_handler)
    return stop_requested
