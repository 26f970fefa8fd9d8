"""A log stream whose writers never block.

Lines go through a bounded queue to a thread that writes them in batches. Lines
are dropped when the reader of the stream stalls, or when there are more lines
per second than a reader can use; a log line reports their number. So are the
lines of a write that failed, for instance on a full disk, though a part of
them may have been written.
"""

import collections
import dataclasses
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
# Pause after a failed write.
RETRY_PAUSE_S = 0.25


@dataclasses.dataclass(frozen=True)
class _Batch:
    """Text to write, its number of queued lines and of drops it reports."""

    text: str
    lines_count: int
    drops_count: int


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
        self._reported_drops_count = 0
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
            while batch.text:
                if not self._write_batch(batch):
                    return
                batch = self._next_batch()
            if self._closed:
                return

    def _write_batch(self, batch: _Batch) -> bool:
        """Write lines; return whether later ones may be written."""
        try:
            self._target.write(batch.text)
            self._target.flush()
        except (BrokenPipeError, ValueError):
            # The reader is gone. There is no place to report this, and the
            # process must keep running.
            return False
        except OSError:
            # Reported by the next batch that can be written.
            with self._lock:
                self.dropped_count += batch.lines_count
            if self._closed:
                return False
            time.sleep(RETRY_PAUSE_S)
            return True
        self._reported_drops_count += batch.drops_count
        return True

    def _next_batch(self) -> _Batch:
        with self._lock:
            count = min(len(self._lines), BATCH_LINES_MAX)
            lines = [self._lines.popleft() for _ in range(count)]
            dropped = self.dropped_count - self._reported_drops_count
        if dropped:
            report = {'event': 'log lines dropped', 'lines_count': dropped}
            lines.append(json.dumps(report) + '\n')
        return _Batch(''.join(lines), count, dropped)
