"""The gateway and controller programs that run on the platform."""

import contextlib
import signal
import threading
import types

from returns import result
import structlog

from dandeliondrum.platform import _settings
from dandeliondrum import utils

_logger = structlog.get_logger()


def run(role: str, settings: _settings.Settings) -> int:
    """Run a role until SIGTERM or SIGINT; return the exit code."""
    utils.return_large_blocks()
    with contextlib.ExitStack() as resources:
        stopping = _stop_on_signals()
        timers = utils.TimerService()
        timers.start()
        resources.callback(timers.close)
        match role:
            case 'gateway':
                from dandeliondrum.platform import _gateway_program

                outcome = _gateway_program.start(settings, timers, resources)
            case 'controller':
                from dandeliondrum.platform import _controller_program

                outcome = _controller_program.start(settings, resources)
            case _:
                outcome = result.Failure(f'unknown role {role}')
        if isinstance(outcome, result.Failure):
            _logger.error('not started', why=outcome.failure())
            return 1
        utils.limit_collections()
        _logger.info('started')
        utils.wait_for_signal(stopping)
        _logger.info('stopping')
    _logger.info('stopped')
    return 0


def _stop_on_signals() -> threading.Event:
    stopping = threading.Event()

    def stop(_number: int, _frame: types.FrameType | None) -> None:
        stopping.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    # A gateway rereads its settings now and then; no signal is needed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return stopping
