"""Handlers for the signals of a process, and waiting for them."""

import faulthandler
import os
import select
import signal
import time
import types

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Empties the pipe that wakes the main thread; the handlers record the signals.
_WAKE_UP_BYTES_MAX = 4_096


class ProcessSignals:
    """Records the signals of this process; made by :func:`install`.

    The handlers take no lock, since they may interrupt its holder.

    Example::

        process_signals = signals.install()
        ...
        while not process_signals.stop_requested:
            process_signals.wait(60_000)
    """

    def __init__(self) -> None:
        self.stop_signal = ''
        self._stop_requested_ns: int | None = None
        self._reload_requested = False
        self._wake_up_descriptor = -1

    @property
    def stop_requested(self) -> bool:
        """Whether SIGTERM or SIGINT has arrived."""
        return bool(self.stop_signal)

    def since_stop_ms(self) -> int:
        """Return the time since the first SIGTERM or SIGINT, 0 without one."""
        requested_ns = self._stop_requested_ns
        if requested_ns is None:
            return 0
        return (time.monotonic_ns() - requested_ns) // 1_000_000

    def take_reload_request(self) -> bool:
        """Return whether SIGHUP has arrived since the last call."""
        requested = self._reload_requested
        if requested:
            self._reload_requested = False
        return requested

    def wait(self, timeout_ms: int) -> None:
        """Wait until a signal arrives, for at most ``timeout_ms``.

        Returns at once if one has arrived since the last call. To be called
        by the main thread, in which Python runs signal handlers.
        """
        descriptor = self._wake_up_descriptor
        readable, _, _ = select.select([descriptor], [], [], timeout_ms / 1000)
        if readable:
            os.read(descriptor, _WAKE_UP_BYTES_MAX)

    def _install(self) -> None:
        # Python code cannot report a crash of native code, such as one of the
        # interpreter when a new thread gets no memory.
        try:
            faulthandler.enable()
        except (RuntimeError, OSError, ValueError):
            # There is no standard error.
            pass
        signal.signal(signal.SIGHUP, self._request_reload)
        for number in STOP_SIGNALS:
            signal.signal(number, self._request_stop)
        self._wake_up_descriptor, writer = os.pipe()
        os.set_blocking(self._wake_up_descriptor, False)
        os.set_blocking(writer, False)
        # Written by the system's handler, whichever thread it interrupts; a
        # Python handler runs only once the main thread goes on.
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)

    def _request_reload(
        self, _number: int, _frame: types.FrameType | None
    ) -> None:
        self._reload_requested = True

    def _request_stop(
        self, number: int, _frame: types.FrameType | None
    ) -> None:
        if not self.stop_signal:
            self._stop_requested_ns = time.monotonic_ns()
            self.stop_signal = signal.Signals(number).name


_installed: ProcessSignals | None = None


def install() -> ProcessSignals:
    """Handle SIGTERM, SIGINT and SIGHUP until the process ends.

    A crash of native code writes the stacks of all threads to standard error.

    A second call returns the same object. Raises ValueError unless the main
    thread calls it.
    """
    global _installed
    if _installed is None:
        process_signals = ProcessSignals()
        process_signals._install()
        _installed = process_signals
    return _installed
