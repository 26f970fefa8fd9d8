"""Runs a program from its start to its end."""

import collections.abc
import contextlib
import os
import sys
import threading

import structlog

from dandeliondrum.startup import _errors
from dandeliondrum.startup import _exit_code
from dandeliondrum.startup import _startup
from dandeliondrum import utils

# The program looks at least this often whether a signal has arrived.
POLL_MS = 60_000
# Time for the resources of a start that failed; nobody else ends the process.
CLOSE_TIMEOUT_S = 10.0
# Time in which a log stream writes what it has queued.
LOG_WRITE_S = 0.2
# A stop that hangs is logged this long before the platform kills the process,
# which ends itself after LOG_WRITE_S. An orderly stop of a gateway takes 5.4 s
# of the 6 s of the deployments so far.
STOP_MARGIN_MS = 500
# Bounds of the line about a closing that hangs.
FRAMES_MAX = 8
THREADS_MAX = 16

_logger = structlog.get_logger()

StartFunction = collections.abc.Callable[
    [_startup.Startup, contextlib.ExitStack], object
]


def run(
    startup: _startup.Startup,
    start: StartFunction,
    reload: collections.abc.Callable[[], object] = lambda: None,
) -> _exit_code.ExitCode:
    """Start a program, wait for the signal to stop it, and close it.

    ``start`` opens the program and registers each resource with the exit
    stack before it opens the next. It raises NotStartedError, or
    StopRequestedError after a signal. ``reload`` is called after SIGHUP. The
    log tells of each end, and in which phase of the start it came.
    """
    _logger.info('starting', pid=os.getpid())
    threading.excepthook = _log_thread_failure
    watchdog = _Watchdog()
    watchdog.start()
    resources = contextlib.ExitStack()
    code = _start_and_wait(startup, start, reload, resources)
    watchdog.watch(_close_timeout_s(startup, code))
    try:
        resources.close()
    except Exception:
        _logger.critical('not closed in order', exc_info=True)
        code = _exit_code.ExitCode.BROKEN
    watchdog.closed.set()
    if code is _exit_code.ExitCode.STOPPED:
        _logger.info('stopped')
    return code


def _close_timeout_s(
    startup: _startup.Startup, code: _exit_code.ExitCode
) -> float | None:
    """Return the time in which the process has to be closed, None for any."""
    if code is not _exit_code.ExitCode.STOPPED:
        return CLOSE_TIMEOUT_S
    if startup.stop_grace_ms is None:
        return None
    left_ms = startup.stop_grace_ms - startup.signals.since_stop_ms()
    return max(0, left_ms - STOP_MARGIN_MS) / 1000


def _start_and_wait(
    startup: _startup.Startup,
    start: StartFunction,
    reload: collections.abc.Callable[[], object],
    resources: contextlib.ExitStack,
) -> _exit_code.ExitCode:
    try:
        start(startup, resources)
        startup.raise_if_stopping()
        utils.limit_collections()
        _logger.info(
            'started',
            took_ms=utils.process_age_ms(),
            waited_ms=startup.waited_ms,
            phases_ms=startup.phases_ms,
        )
        _wait_for_stop(startup, reload)
    except _errors.StopRequestedError:
        _logger.info(
            'stopping',
            signal=startup.signals.stop_signal,
            phase=startup.phase_name,
        )
        return _exit_code.ExitCode.STOPPED
    except _errors.NotStartedError as error:
        _logger.error(
            'not started',
            phase=startup.phase_name,
            why=str(error),
            took_ms=utils.process_age_ms(),
            code=int(_exit_code.ExitCode.NOT_STARTED),
        )
        return _exit_code.ExitCode.NOT_STARTED
    except Exception as error:
        _logger.critical(
            'process ended',
            phase=startup.phase_name,
            why=repr(error),
            code=int(_exit_code.ExitCode.BROKEN),
            exc_info=True,
        )
        return _exit_code.ExitCode.BROKEN
    _logger.info('stopping', signal=startup.signals.stop_signal)
    return _exit_code.ExitCode.STOPPED


def _wait_for_stop(
    startup: _startup.Startup, reload: collections.abc.Callable[[], object]
) -> None:
    while not startup.signals.stop_requested:
        if startup.signals.take_reload_request():
            _logger.info('reload requested', signal='SIGHUP')
            try:
                reload()
            except Exception:
                _logger.exception('reload failed')
        startup.signals.wait(POLL_MS)


class _Watchdog:
    """Ends the process if it is not closed in time.

    The thread runs from the beginning, since a start may fail because no
    thread can be started.
    """

    def __init__(self) -> None:
        self.closed = threading.Event()
        self._watching = threading.Event()
        self._timeout_s: float | None = None
        self._closing_thread = threading.get_ident()

    def start(self) -> None:
        """Start the thread; raise RuntimeError if that is not possible."""
        threading.Thread(
            target=self._run, name='watchdog', daemon=True
        ).start()

    def watch(self, timeout_s: float | None) -> None:
        """End the process after this time unless it is closed, None never."""
        self._timeout_s = timeout_s
        self._watching.set()

    def _run(self) -> None:
        self._watching.wait()
        if self.closed.wait(self._timeout_s):
            return
        code = _exit_code.ExitCode.BROKEN
        _logger.critical(
            'not closed in time',
            code=int(code),
            waits_in=_frames_of(self._closing_thread),
            threads=_running_threads(),
        )
        if not self.closed.wait(LOG_WRITE_S):
            os._exit(code)


def _frames_of(thread_ident: int) -> list[str]:
    """Return where a thread is, the innermost of its functions first."""
    frame = sys._current_frames().get(thread_ident)
    found: list[str] = []
    while frame is not None and len(found) < FRAMES_MAX:
        module = frame.f_globals.get('__name__', '')
        name = frame.f_code.co_name
        found.append(f'{module}.{name}:{frame.f_lineno}')
        frame = frame.f_back
    return found


def _running_threads() -> list[str]:
    """Return the names of some threads that a closing may wait for."""
    names = [
        thread.name
        for thread in threading.enumerate()
        if not thread.daemon and thread is not threading.main_thread()
    ]
    return names[:THREADS_MAX]


def _log_thread_failure(failure: threading.ExceptHookArgs) -> None:
    thread = failure.thread.name if failure.thread is not None else ''
    _logger.critical(
        'thread failed',
        thread=thread,
        why=repr(failure.exc_value),
        exc_info=failure.exc_value,
    )
