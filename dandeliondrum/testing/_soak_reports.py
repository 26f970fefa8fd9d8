"""The status reports of a soak's workers, and how long they go unanswered."""

import collections.abc
import threading
import time

from dandeliondrum import jobs
from dandeliondrum.testing import _platform_cell
from dandeliondrum.testing import _platform_fakes

REPORT_EVERY_S = 1.0
# Workers try the next controller after this time without a reply.
REPORT_TIMEOUT_MS = 1_000


class WorkerReporter:
    """Sends the reports of all workers until ``stopping`` is set.

    A worker keeps reporting to the controller that acknowledged its last
    report, and tries the others when that one fails. ``on_acknowledged`` is
    called with what a worker has reported.
    """

    def __init__(
        self,
        cell: _platform_cell.PlatformCell,
        stopping: threading.Event,
        on_acknowledged: collections.abc.Callable[
            [jobs.WorkerFacts], None
        ] = lambda _: None,
    ) -> None:
        self._cell = cell
        self._stopping = stopping
        self._on_acknowledged = on_acknowledged
        self._controllers = [0] * len(cell.workers)
        self._lock = threading.Lock()
        self._since_s = 0.0
        self._acknowledged_s: dict[int, float] = {}
        self._longest_s = 0.0

    def run(self, position: int) -> None:
        """Send the reports of one worker at regular intervals."""
        worker = self._cell.workers[position]
        while not self._stopping.wait(REPORT_EVERY_S):
            fake = worker.worker
            away = fake.silent or fake.is_dark or fake.is_down()
            if away or self._report(position, worker):
                self._acknowledge(position)

    def watch(self) -> None:
        """Measure from now on how long workers get no acknowledgement."""
        with self._lock:
            self._since_s = time.monotonic()
            self._acknowledged_s.clear()
            self._longest_s = 0.0

    def longest_silence_s(self) -> float:
        """Return the longest time in which one got none since then."""
        now_s = time.monotonic()
        with self._lock:
            return max(
                self._longest_s,
                *(
                    now_s - self._acknowledged_s.get(position, self._since_s)
                    for position in range(len(self._cell.workers))
                ),
            )

    def _report(
        self, position: int, worker: _platform_fakes.HttpWorker
    ) -> bool:
        count = len(self._cell.control)
        first = self._controllers[position]
        facts = worker.worker.facts
        for offset in range(count):
            number = (first + offset) % count
            status = self._cell.report(worker, number, REPORT_TIMEOUT_MS)
            if status == 200:
                self._controllers[position] = number
                self._on_acknowledged(facts)
                return True
        return False

    def _acknowledge(self, position: int) -> None:
        now_s = time.monotonic()
        with self._lock:
            last_s = self._acknowledged_s.get(position, self._since_s)
            self._longest_s = max(self._longest_s, now_s - last_s)
            self._acknowledged_s[position] = now_s
