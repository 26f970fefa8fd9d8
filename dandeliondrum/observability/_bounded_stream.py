"""A log stream whose writers never block.

Lines go through a bounded queue to a thread that writes them in batches. Lines
are dropped when the reader of the stream stalls, or when there are more lines
per second than a reader can use; a log line reports their number.
"""

import collections
import json
import threading
import time
import typing

# Lines queued while the reader stalls; about 4 MB.
QUEUE_LINES_MAX = 16_000
# About ten times the rate of the busiest leader observed so far.
LINES_PER_SECOND_MAX = 4_000
BATCH_LINES_MAX = 200
# How long lines are collected for a batch.
BATCH_INTERVAL_S = 0.05
CLOSE_TIMEOUT_S = 1.0


class BoundedStream:
    """Queues lines without blocking and writes them in its own thread.

    Example::

        stream = BoundedStream(sys.stdout)
        stream.start()
        configure_logging('gateway', 'g1', stream=stream)
        ...
        stream.close()
    """

    def __init__(
        self,
        target: typing.TextIO,
        lines_max: int = QUEUE_LINES_MAX,
        per_second_max: int = LINES_PER_SECOND_MAX,
    ) -> None:
        self.dropped_count = 0
        self._target = target
        self._lines_max = lines_max
        self._per_second_max = per_second_max
        self._lines: collections.deque[str] = collections.deque()
        self._lock = threading.Lock()
        self._has_lines = threading.Event()
        self._closed = False
        self._rate_second = 0
        self._rate_count = 0
        self._unreported_drops_count = 0
        self._thread = threading.Thread(
            target=self._write_loop, name='log', daemon=True
        )

    def start(self) -> None:
        """Start the writer thread."""
        self._thread.start()

    def write(self, text: str) -> int:
        """Queue a line, or drop it when a limit is exceeded."""
        with self._lock:
            if self._is_over_limit():
                self.dropped_count += 1
                self._unreported_drops_count += 1
            else:
                self._lines.append(text)
        self._has_lines.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing; the writer thread flushes after each batch."""

    def close(self) -> None:
        """Write the queued lines, for at most ``CLOSE_TIMEOUT_S``."""
        self._closed = True
        self._has_lines.set()
        if self._thread.is_alive():
            self._thread.join(CLOSE_TIMEOUT_S)

    def _is_over_limit(self) -> bool:
        current_second = int(time.monotonic())
        if current_second != self._rate_second:
            self._rate_second, self._rate_count = current_second, 0
        self._rate_count += 1
        return (
            len(self._lines) >= self._lines_max
            or self._rate_count > self._per_second_max
        )

    def _write_loop(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            if not self._closed:
                time.sleep(BATCH_INTERVAL_S)
            batch = self._next_batch()
            while batch:
                try:
                    self._target.write(batch)
                    self._target.flush()
                except (OSError, ValueError):
                    # The reader is gone. There is no place to report this,
                    # and the process must keep running.
                    return
                batch = self._next_batch()
            if self._closed:
                return

    def _next_batch(self) -> str:
        with self._lock:
            count = min(len(self._lines), BATCH_LINES_MAX)
            batch = [self._lines.popleft() for _ in range(count)]
            dropped, self._unreported_drops_count = (
                self._unreported_drops_count,
                0,
            )
        if dropped:
            report = {'event': 'log lines dropped', 'lines_count': dropped}
            batch.append(json.dumps(report) + '\n')
        return ''.join(batch)
