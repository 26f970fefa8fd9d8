"""One proxied connection: a pipe per direction with two threads each."""

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
class DirectionFaults:
    """The faults of one direction of a link."""

    delay_ms: int
    jitter_ms: int
    flow: _faults.Flow
    pacer: _faults.Pacer | None
    reset_after_bytes: int | None


def forward_faults(faults: _faults.Faults) -> DirectionFaults:
    """Return the faults of the direction from source to target."""
    return DirectionFaults(
        faults.delay_ms,
        faults.jitter_ms,
        faults.forward,
        faults.forward_pacer,
        faults.reset_forward_after_bytes,
    )


def backward_faults(faults: _faults.Faults) -> DirectionFaults:
    """Return the faults of the direction from target to source."""
    return DirectionFaults(
        faults.delay_ms,
        faults.jitter_ms,
        faults.backward,
        faults.backward_pacer,
        faults.reset_backward_after_bytes,
    )


class Relay:
    """The two sockets of a proxied connection."""

    def __init__(self, source: socket.socket, target: socket.socket) -> None:
        self.closed = threading.Event()
        self._sockets = (source, target)
        self._open_pipes_count = 2
        self._lock = threading.Lock()
        for stream in self._sockets:
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def reset(self) -> None:
        """Abort both connections, so that both ends see a reset."""
        for stream in self._sockets:
            with contextlib.suppress(OSError):
                reset_on_close(stream)
        self.close()

    def close(self) -> None:
        """Close both connections."""
        self.closed.set()
        for stream in self._sockets:
            with contextlib.suppress(OSError):
                # Unlike close, this wakes a thread that blocks in recv.
                stream.shutdown(socket.SHUT_RD)
            stream.close()

    def pipe_ended(self) -> None:
        """Count an ended pipe; close the connections with the last one."""
        with self._lock:
            self._open_pipes_count -= 1
            last = self._open_pipes_count == 0
        if last:
            self.close()


class Pipe:
    """One direction of a proxied connection.

    Chunks are read by one thread and written by another, through a queue
    with the time at which each is due.
    """

    def __init__(
        self,
        relay: Relay,
        sockets: tuple[socket.socket, socket.socket],
        faults: collections.abc.Callable[[], DirectionFaults],
        changed: threading.Condition,
        seed: str,
    ) -> None:
        self.silenced = False
        self.delivered_bytes = 0
        self._relay = relay
        self._source, self._destination = sockets
        self._current_faults = faults
        self._changed = changed
        self._random = random.Random(seed)
        self._chunks: queue.Queue[tuple[float, bytes | None]] = queue.Queue(
            QUEUE_CHUNKS
        )

    def read_all(self) -> None:
        """Read until the stream ends.

        The end of the stream is queued as b'' and a reset as None, so that
        both are delayed or discarded like the bytes before them.
        """
        due_s = 0.0
        while not self._relay.closed.is_set():
            chunk: bytes | None
            try:
                chunk = self._source.recv(CHUNK_BYTES)
            except OSError:
                chunk = None
            due_s = max(due_s, time.monotonic() + self._delay_s())
            if not self._put(due_s, chunk) or not chunk:
                return

    def write_all(self) -> None:
        """Write each chunk when it is due."""
        try:
            while self._write_next():
                pass
        except (OSError, ValueError):
            # Registering a closed socket for polling raises ValueError.
            self._relay.reset()
        finally:
            self._relay.pipe_ended()

    def _delay_s(self) -> float:
        faults = self._current_faults()
        jitter_ms = self._random.uniform(-faults.jitter_ms, faults.jitter_ms)
        return max(0.0, faults.delay_ms + jitter_ms) / 1000

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
        faults = self._current_faults()
        if faults.flow is _faults.Flow.DISCARD:
            self.silenced = True
        if self.silenced:
            return bool(chunk) and not self._relay.closed.is_set()
        if chunk is None:
            self._relay.reset()
            return False
        if not chunk:
            self._destination.shutdown(socket.SHUT_WR)
            return False
        return self._send(chunk, faults)

    def _send(self, chunk: bytes, faults: DirectionFaults) -> bool:
        allowed_bytes = len(chunk)
        if faults.reset_after_bytes is not None:
            allowed_bytes = faults.reset_after_bytes - self.delivered_bytes
        if faults.pacer is not None:
            self._wait_until(faults.pacer.reserve(len(chunk)))
        if allowed_bytes > 0:
            self._send_all(chunk[:allowed_bytes])
        if allowed_bytes < len(chunk):
            self._relay.reset()
            return False
        return True

    def _send_all(self, data: bytes) -> None:
        # Closing a socket does not always wake a thread that blocks in send
        # (it depends on the amount), so this polls and sends without blocking.
        remaining = memoryview(data)
        while remaining and not self._relay.closed.is_set():
            try:
                sent_bytes = self._destination.send(
                    remaining, socket.MSG_DONTWAIT
                )
            except BlockingIOError:
                self._wait_writable()
                continue
            self.delivered_bytes += sent_bytes
            remaining = remaining[sent_bytes:]

    def _wait_writable(self) -> None:
        writable = select.poll()
        writable.register(self._destination, select.POLLOUT)
        writable.poll(POLL_MS)

    def _wait_until(self, due_s: float) -> None:
        self._relay.closed.wait(max(0.0, due_s - time.monotonic()))

    def _wait_while_stalled(self) -> None:
        with self._changed:
            while (
                self._current_faults().flow is _faults.Flow.STALL
                and not self.silenced
                and not self._relay.closed.is_set()
            ):
                self._changed.wait(POLL_MS / 1000)


def reset_on_close(stream: socket.socket) -> None:
    """Make closing a socket reset its connection."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
