"""Checks of a soak on the starts and the ends of its processes."""

import dataclasses
import pathlib
import signal
import statistics
import threading
import time

from dandeliondrum.testing import _lives
from dandeliondrum.testing import _processes
from dandeliondrum.testing import _soak_checker

POLL_S = 0.05
# Platforms kill a process that has not ended in time after SIGTERM; the soak
# shares its machine with all of them.
GRACE_S = 6.0
GRACE_ALLOWANCE_S = 2.0
# A start waits for 10 s for a resource; the rest is for the start itself, and
# for the others that start at the same time.
START_MAX_S = 10.0 + 20.0
START_PER_PROCESS_S = 1.0
# Until it has handlers, a signal ends a process. That lasts for the start of
# the interpreter; the imports of a program take several times as long.
HANDLERS_CPU_MS_MAX = 200
HANDLERS_POLL_S = 0.002
FATAL_EVENTS = (
    'process ended',
    'thread failed',
    'task failed',
    'not closed in time',
    'not closed in order',
    'could not stop leading',
    'leadership not closed in order',
    'late handshakes not ended',
    'stream not closed in order',
)
TAIL_CHARS = 1_500


@dataclasses.dataclass(frozen=True)
class ExitFigures:
    """Launches of a soak, and how long processes had no handlers.

    ``handlers_ms`` is the shortest, the median and the longest time from a
    launch on, of ``handlers_count`` launches.
    """

    launches_count: int
    killed_count: int
    stopped_count: int
    hang_ups_count: int
    handlers_count: int
    handlers_ms: tuple[int, int, int]


class ExitChecker:
    """Notices ends that the soak did not cause, and starts that take long.

    A process may end with SIGKILL if the soak sent it, and with code 0 in
    time after SIGTERM. All others have to log that they have started.
    """

    def __init__(
        self,
        processes: _processes.Processes,
        checker: _soak_checker.InvariantChecker,
        handlers_cpu_ms_max: float = HANDLERS_CPU_MS_MAX,
        processes_count: int = 0,
    ) -> None:
        self._processes = processes
        self._handlers_cpu_ms_max = handlers_cpu_ms_max
        self._start_max_s = START_MAX_S + START_PER_PROCESS_S * processes_count
        self._checker = checker
        self._lock = threading.Lock()
        self._ended: set[int] = set()
        self._started: set[int] = set()
        self._late: set[tuple[int, str]] = set()
        self._handlers_ms: dict[int, float] = {}
        self._killed_count = 0
        self._stopped_count = 0
        self._hang_ups_count = 0

    def run(self, stopping: threading.Event) -> None:
        """Look at all processes regularly until an event is set."""
        while not stopping.wait(POLL_S):
            self.look()

    def look(self) -> None:
        """Check what has ended or started since the last call."""
        for life in self._processes.lives:
            if life.number not in self._ended:
                self._look_at(life)

    def check_logs(self, folder: pathlib.Path) -> None:
        """Check that no log has a line about an end without a cause."""
        for path in sorted(folder.glob('*.[oe][ur][tr]')):
            text = path.read_text(errors='replace')
            for line in text.splitlines():
                for event in FATAL_EVENTS:
                    if f'"event": "{event}"' in line:
                        self._checker.add_violation(f'{path.name}: {line}')

    def wait_for_handlers(self, life: _lives.Life) -> bool:
        """Wait until signals don't end a process; return whether they don't.

        A signal before that would end the interpreter.
        """
        was_without = False
        end_s = time.monotonic() + self._start_max_s
        while life.is_running and time.monotonic() < end_s:
            cpu_ms = life.cpu_ms()
            if life.has_handlers():
                took_ms = (time.monotonic() - life.launched_s) * 1000
                if was_without:
                    self._checker.log(
                        f'{life.name} has handlers after {took_ms:.0f} ms, '
                        f'{cpu_ms:.0f} ms of CPU time'
                    )
                    with self._lock:
                        self._handlers_ms.setdefault(life.number, took_ms)
                return True
            was_without = True
            if cpu_ms > self._handlers_cpu_ms_max:
                self._violate_once(
                    life, f'no handlers after {cpu_ms:.0f} ms of CPU time'
                )
            time.sleep(HANDLERS_POLL_S)
        return False

    def hang_up(self, life: _lives.Life) -> None:
        """Send SIGHUP to a process as soon as it is caught."""
        if self.wait_for_handlers(life):
            life.send(signal.SIGHUP)
            with self._lock:
                self._hang_ups_count += 1

    def wait_until_started(self, life: _lives.Life) -> None:
        """Wait until a process has started, has ended, or takes too long."""
        while life.is_running and not self.has_started(life):
            if time.monotonic() > life.launched_s + self._start_max_s:
                return
            time.sleep(POLL_S)

    def has_started(self, life: _lives.Life) -> bool:
        """Return whether a process has logged that it has started."""
        if life.number not in self._started and life.has_logged('started'):
            self._started.add(life.number)
        return life.number in self._started

    def figures(self) -> ExitFigures:
        """Return the figures so far."""
        times_ms = sorted(self._handlers_ms.values()) or [0.0]
        return ExitFigures(
            len(self._processes.lives),
            self._killed_count,
            self._stopped_count,
            self._hang_ups_count,
            len(self._handlers_ms),
            (
                round(times_ms[0]),
                round(statistics.median(times_ms)),
                round(times_ms[-1]),
            ),
        )

    def _look_at(self, life: _lives.Life) -> None:
        now_s = time.monotonic()
        if not life.is_running:
            self._ended.add(life.number)
            self._check_end(life, now_s)
            return
        if life.stop_requested_s is not None:
            stopping_s = now_s - life.stop_requested_s
            if stopping_s > GRACE_S + GRACE_ALLOWANCE_S:
                self._violate_once(life, 'not ended in time after SIGTERM')
        elif not self.has_started(life):
            if now_s - life.launched_s > self._start_max_s:
                self._violate_once(life, 'not started in time')

    def _check_end(self, life: _lives.Life, now_s: float) -> None:
        code = life.process.returncode
        if code == -signal.SIGKILL and life.may_be_killed:
            self._killed_count += 1
        elif code == 0 and life.stop_requested_s is not None:
            self._stopped_count += 1
            stopping_s = now_s - life.stop_requested_s
            self._checker.log(f'{life.name} stopped in {stopping_s:.1f} s')
            if stopping_s > GRACE_S + GRACE_ALLOWANCE_S:
                self._violate_once(life, 'not ended in time after SIGTERM')
        elif life.stop_requested_s is not None:
            self._violate_once(life, f'ended with code {code} after SIGTERM')
        else:
            self._violate_once(life, f'ended by itself with code {code}')

    def _violate_once(self, life: _lives.Life, problem: str) -> None:
        """Add a violation with the phase and the last lines of a process."""
        kind = problem.partition(' after ')[0]
        with self._lock:
            if (life.number, kind) in self._late:
                return
            self._late.add((life.number, kind))
        age_ms = (time.monotonic() - life.launched_s) * 1000
        self._checker.add_violation(
            f'{life.name} (launch {life.number}, pid {life.process.pid}): '
            f'{problem}, {age_ms:.0f} ms after its launch, phase '
            f'{life.phase()!r}, last lines: {life.tail(TAIL_CHARS)}'
        )
