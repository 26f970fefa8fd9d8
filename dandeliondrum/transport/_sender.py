"""Sending of frames on a stream, without blocking the callers."""

import collections
import select
import socket
import threading
import time

WRITE_BATCH_BYTES = 256 * 1024


class FrameSender:
    """Sends frames on a non-blocking stream in the order of the calls.

    Queued frames are sent by the thread that runs :meth:`run`, which also
    sends a ping whenever nothing was sent for ``ping_interval_s``.
    """

    def __init__(
        self,
        stream: socket.socket,
        queue_max_frames: int,
        ping: bytes,
        ping_interval_s: float,
        silence_ms: int,
    ) -> None:
        self._stream = stream
        self._queue_max_frames = queue_max_frames
        self._ping = ping
        self._ping_interval_s = ping_interval_s
        self._silence_ms = silence_ms
        self._condition = threading.Condition()
        self._queued: collections.deque[bytes] = collections.deque()
        self._is_writing = False
        self._closed = False
        self._sent_s = time.monotonic()
        self._poll = select.poll()
        self._poll.register(stream, select.POLLOUT)

    def send(self, frame: bytes) -> bool:
        """Send as much as the stream accepts at once and queue the rest.

        Returns False if the queue is full or closed. The system call costs
        less than to wake another thread, but the caller may have to wait for
        the interpreter's lock after it.
        """
        with self._condition:
            if self._closed:
                return False
            if not self._queued and not self._is_writing:
                frame = frame[self._send_now(frame) :]
            return not frame or self._queue(frame)

    def queue(self, frame: bytes) -> bool:
        """Queue a frame; return False if the queue is full or closed."""
        with self._condition:
            return not self._closed and self._queue(frame)

    def run(self) -> None:
        """Send queued frames and pings until closed.

        Raises OSError when the stream has failed or accepts nothing for
        ``silence_ms``.
        """
        while (batch := self._next_batch()) is not None:
            rest = memoryview(batch)
            while rest:
                if not self._poll.poll(self._silence_ms):
                    raise TimeoutError
                try:
                    rest = rest[self._stream.send(rest) :]
                except BlockingIOError:
                    continue

    def close(self) -> None:
        """End :meth:`run`; queued frames are dropped."""
        with self._condition:
            self._closed = True
            self._condition.notify()

    def _queue(self, frame: bytes) -> bool:
        if len(self._queued) >= self._queue_max_frames:
            return False
        self._queued.append(frame)
        self._condition.notify()
        return True

    def _send_now(self, frame: bytes) -> int:
        """Return how many bytes of the frame were sent.

        A failure is left to the thread of :meth:`run`: it closes the
        connection, whose callbacks may need locks that the caller holds.
        """
        self._sent_s = time.monotonic()
        try:
            return self._stream.send(frame)
        except OSError:
            return 0

    def _next_batch(self) -> bytes | None:
        """Wait for frames or for the time of a ping; None once closed."""
        with self._condition:
            self._is_writing = False
            while not self._closed and not self._queued:
                due_s = self._sent_s + self._ping_interval_s
                wait_s = due_s - time.monotonic()
                if wait_s <= 0:
                    self._queued.append(self._ping)
                else:
                    self._condition.wait(wait_s)
            if self._closed:
                return None
            self._is_writing = True
            self._sent_s = time.monotonic()
            return self._join_queued()

    def _join_queued(self) -> bytes:
        batch = []
        size_bytes = 0
        while self._queued and size_bytes < WRITE_BATCH_BYTES:
            frame = self._queued.popleft()
            batch.append(frame)
            size_bytes += len(frame)
        return b''.join(batch)
