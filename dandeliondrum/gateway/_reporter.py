"""Reports the outcomes of attempts to the leader until it confirms them."""

import functools
import queue
import threading

from returns import result
import structlog

from dandeliondrum.gateway import _leader_link
from dandeliondrum.gateway import _metrics
from dandeliondrum import messages
from dandeliondrum import transport

BATCH_WINDOW_MS = 2
BATCH_REPORTS_MAX = 500
RETRY_PAUSE_MS = 200
IDLE_POLL_MS = 100

_logger = structlog.get_logger()


class Reporter:
    """Sends reports in batches and resends those that were not confirmed."""

    def __init__(
        self, link: _leader_link.LeaderLink, metrics: _metrics.Metrics
    ) -> None:
        self._link = link
        self._metrics = metrics
        self._queue: queue.SimpleQueue[messages.AttemptReport] = (
            queue.SimpleQueue()
        )
        self._lock = threading.Lock()
        self._unconfirmed_count = 0
        self._has_failed = threading.Event()

    def report(self, report: messages.AttemptReport) -> None:
        """Queue a report without blocking."""
        self._metrics.attempts.labels(report.state.value).inc()
        with self._lock:
            self._unconfirmed_count += 1
        self._queue.put(report)

    def unconfirmed_count(self) -> int:
        """Return how many reports the leader has not confirmed."""
        return self._unconfirmed_count

    def run(self, stopping: threading.Event) -> None:
        """Send reports until ``stopping`` is set."""
        while not stopping.is_set():
            batch = self._collect_batch(stopping)
            if batch:
                self._send(batch, stopping)

    def _collect_batch(
        self, stopping: threading.Event
    ) -> tuple[messages.AttemptReport, ...]:
        try:
            batch = [self._queue.get(timeout=IDLE_POLL_MS / 1000)]
        except queue.Empty:
            return ()
        stopping.wait(BATCH_WINDOW_MS / 1000)
        while len(batch) < BATCH_REPORTS_MAX:
            try:
                batch.append(self._queue.get_nowait())
            except queue.Empty:
                break
        return tuple(batch)

    def _send(
        self,
        batch: tuple[messages.AttemptReport, ...],
        stopping: threading.Event,
    ) -> None:
        if self._has_failed.is_set() or not self._link.is_up():
            self._has_failed.clear()
            stopping.wait(RETRY_PAUSE_MS / 1000)
        future = self._link.call_async(messages.ReportAttempts(batch))
        future.add_done_callback(functools.partial(self._on_reply, batch))

    def _on_reply(
        self,
        batch: tuple[messages.AttemptReport, ...],
        future: transport.CallFuture,
    ) -> None:
        match future.result():
            case result.Success(messages.Done()):
                with self._lock:
                    self._unconfirmed_count -= len(batch)
            case other:
                _logger.info(
                    'reports not confirmed',
                    reports_count=len(batch),
                    why=str(other),
                )
                self._has_failed.set()
                for report in batch:
                    self._queue.put(report)
