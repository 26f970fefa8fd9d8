"""One connection through a proxy: two pipes, each read and written apart."""

import collections.abc
import contextlib
import dataclasses
import queue
import random
import select
import socket
import struct
import threading
import time

from dandeliondrum.testing import _faults

CHUNK_BYTES = 64 * 1024
QUEUE_CHUNKS = 32
POLL_MS = 100

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@dataclasses.dataclass(frozen=True)
class Course:
    """The faults as they bear upon one direction."""

    delay_ms: int
    jitter_ms: int
    flow: _faults.Flow
    pacer: _faults.Pacer | None
    reset_after_bytes: int | None


def forward_course(faults: _faults.Faults) -> Course:
    """Return the faults from the source to the target."""
    return Course(
        faults.delay_ms,
        faults.jitter_ms,
        faults.forward,
        faults.forward_pacer,
        faults.reset_forward_after_bytes,
    )


def backward_course(faults: _faults.Faults) -> Course:
    """Return the faults from the target to the source."""
    return Course(
        faults.delay_ms,
        faults.jitter_ms,
        faults.backward,
        faults.backward_pacer,
        faults.reset_backward_after_bytes,
    )


class Relay:
    """Two sockets and the pipes between them."""

    def __init__(self, source: socket.socket, target: socket.socket) -> None:
        self.closed = threading.Event()
        self._sockets = (source, target)
        self._open_pipes_count = 2
        self._lock = threading.Lock()
        for each in self._sockets:
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def reset(self) -> None:
        """Break both connections off, so that both ends see a reset."""
        for each in self._sockets:
            with contextlib.suppress(OSError):
                reset_on_close(each)
        self.close()

    def close(self) -> None:
        """Close both connections."""
        self.closed.set()
        for each in self._sockets:
            with contextlib.suppress(OSError):
                # Wakes a thread that reads; a plain close would not.
                each.shutdown(socket.SHUT_RD)
            each.close()

    def pipe_ended(self) -> None:
        """Close once neither direction carries anything more."""
        with self._lock:
            self._open_pipes_count -= 1
            last = self._open_pipes_count == 0
        if last:
            self.close()


class Pipe:
    """One direction of a relay."""

    def __init__(
        self,
        relay: Relay,
        ends: tuple[socket.socket, socket.socket],
        course: collections.abc.Callable[[], Course],
        changed: threading.Condition,
        seed: str,
    ) -> None:
        self.silenced = False
        self.carried_bytes = 0
        self._relay = relay
        self._from, self._to = ends
        self._course = course
        self._changed = changed
        self._random = random.Random(seed)
        self._chunks: queue.Queue[tuple[float, bytes | None]] = queue.Queue(
            QUEUE_CHUNKS
        )

    def read_all(self) -> None:
        """Read until the stream ends.

        In the queue b'' stands for its end and None for its reset, so that
        either is delayed or swallowed like the bytes before it.
        """
        due_s = 0.0
        while not self._relay.closed.is_set():
            chunk: bytes | None
            try:
                chunk = self._from.recv(CHUNK_BYTES)
            except OSError:
                chunk = None
            due_s = max(due_s, time.monotonic() + self._delay_s())
            if not self._put(due_s, chunk) or not chunk:
                return

    def write_all(self) -> None:
        """Write what was read when it is due."""
        try:
            while self._write_next():
                pass
        except (OSError, ValueError):
            # The polling of a closed socket is a ValueError.
            self._relay.reset()
        finally:
            self._relay.pipe_ended()

    def _delay_s(self) -> float:
        course = self._course()
        jitter_ms = self._random.uniform(-course.jitter_ms, course.jitter_ms)
        return max(0.0, course.delay_ms + jitter_ms) / 1000

    def _put(self, due_s: float, chunk: bytes | None) -> bool:
        while not self._relay.closed.is_set():
            with contextlib.suppress(queue.Full):
                self._chunks.put((due_s, chunk), timeout=POLL_MS / 1000)
                return True
        return False

    def _write_next(self) -> bool:
        try:
            due_s, chunk = self._chunks.get(timeout=POLL_MS / 1000)
        except queue.Empty:
            return not self._relay.closed.is_set()
        self._wait_until(due_s)
        self._wait_while_stalled()
        course = self._course()
        if course.flow is _faults.Flow.SWALLOW:
            self.silenced = True
        if self.silenced:
            return bool(chunk) and not self._relay.closed.is_set()
        if chunk is None:
            self._relay.reset()
            return False
        if not chunk:
            self._to.shutdown(socket.SHUT_WR)
            return False
        return self._send(chunk, course)

    def _send(self, chunk: bytes, course: Course) -> bool:
        left_bytes = len(chunk)
        if course.reset_after_bytes is not None:
            left_bytes = course.reset_after_bytes - self.carried_bytes
        if course.pacer is not None:
            self._wait_until(course.pacer.reserve(len(chunk)))
        if left_bytes > 0:
            self._send_all(chunk[:left_bytes])
        if left_bytes < len(chunk):
            self._relay.reset()
            return False
        return True

    def _send_all(self, data: bytes) -> None:
        # Whether the close of a socket wakes a thread that waits in a send
        # depends on the amount, so this one waits outside of it.
        left = memoryview(data)
        while left and not self._relay.closed.is_set():
            try:
                sent_bytes = self._to.send(left, socket.MSG_DONTWAIT)
            except BlockingIOError:
                self._wait_writable()
                continue
            self.carried_bytes += sent_bytes
            left = left[sent_bytes:]

    def _wait_writable(self) -> None:
        writable = select.poll()
        writable.register(self._to, select.POLLOUT)
        writable.poll(POLL_MS)

    def _wait_until(self, due_s: float) -> None:
        self._relay.closed.wait(max(0.0, due_s - time.monotonic()))

    def _wait_while_stalled(self) -> None:
        with self._changed:
            while (
                self._course().flow is _faults.Flow.STALL
                and not self.silenced
                and not self._relay.closed.is_set()
            ):
                self._changed.wait(POLL_MS / 1000)


def reset_on_close(stream: socket.socket) -> None:
    """Make the close of a socket reset its connection."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
