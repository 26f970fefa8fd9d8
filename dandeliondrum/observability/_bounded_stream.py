"""A log stream that never blocks whoever writes to it.

Lines go through a bounded queue to a thread that writes them in batches. When
the reader of the stream stalls, or when more lines come in a second than a
reader can use, lines are dropped and their number is reported in a line.
"""

import collections
import json
import threading
import time
import typing

# Lines kept for a reader that stalls; about 4 MB.
QUEUE_LINES_MAX = 16_000
# About ten times the lines of the busiest leader seen.
LINES_PER_SECOND_MAX = 4_000
BATCH_LINES_MAX = 200
# How long lines are collected before they are written together.
BATCH_PAUSE_S = 0.05
CLOSE_TIMEOUT_S = 1.0


class BoundedStream:
    """Takes lines at once and writes them in a thread of its own.

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
        self._filled = threading.Event()
        self._closed = False
        self._second = 0
        self._second_count = 0
        self._unreported_count = 0
        self._thread = threading.Thread(
            target=self._write_all, name='log', daemon=True
        )

    def start(self) -> None:
        """Start the thread that writes."""
        self._thread.start()

    def write(self, text: str) -> int:
        """Take a line, or drop it when there are too many."""
        with self._lock:
            if self._is_full():
                self.dropped_count += 1
                self._unreported_count += 1
            else:
                self._lines.append(text)
        self._filled.set()
        return len(text)

    def flush(self) -> None:
        """Nothing waits for lines to be written."""

    def close(self) -> None:
        """Write what is queued, unless the reader stalls."""
        self._closed = True
        self._filled.set()
        if self._thread.is_alive():
            self._thread.join(CLOSE_TIMEOUT_S)

    def _is_full(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._second_count = second, 0
        self._second_count += 1
        return (
            len(self._lines) >= self._lines_max
            or self._second_count > self._per_second_max
        )

    def _write_all(self) -> None:
        while True:
            self._filled.wait()
            self._filled.clear()
            if not self._closed:
                time.sleep(BATCH_PAUSE_S)
            batch = self._take()
            while batch:
                try:
                    self._target.write(batch)
                    self._target.flush()
                except (OSError, ValueError):
                    # Nobody reads the log any more; there is nowhere to
                    # report that, and the process goes on.
                    return
                batch = self._take()
            if self._closed:
                return

    def _take(self) -> str:
        with self._lock:
            count = min(len(self._lines), BATCH_LINES_MAX)
            batch = [self._lines.popleft() for _ in range(count)]
            dropped, self._unreported_count = self._unreported_count, 0
        if dropped:
            report = {'event': 'log lines dropped', 'lines_count': dropped}
            batch.append(json.dumps(report) + '\n')
        return ''.join(batch)
