"""One stream between two of the system's processes, alike at both ends.

A connection has a thread that reads and one that writes. Whoever sends only
appends to a queue, so a peer that stopped reading can't hold up a caller.
Each end sends a ping when it has been quiet; a stream on which nothing
arrived for ``silence_ms`` is given up, which is how a link that something in
between has forgotten is noticed.
"""

import collections.abc
import concurrent.futures
import dataclasses
import itertools
import queue
import socket
import threading
import time
import typing

from returns import result
import structlog

from dandeliondrum import messages
from dandeliondrum.transport import _errors
from dandeliondrum.transport import _frames

DEFAULT_SILENCE_MS = 1_500
PINGS_PER_SILENCE = 4
QUEUE_FRAMES = 20_000
WRITE_BATCH_BYTES = 256 * 1024

_logger = structlog.get_logger()

CallFuture = concurrent.futures.Future[
    result.Result[typing.Any, _errors.CallError]
]
Handler = collections.abc.Callable[['Connection', typing.Any], typing.Any]


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """What the owner of a connection wants to be notified of.

    ``on_call`` returns the reply or a future of it; ``on_push`` returns
    nothing; both run in the reading thread and have to be short.
    """

    on_call: Handler | None = None
    on_push: Handler | None = None
    on_close: collections.abc.Callable[['Connection'], object] | None = None


class Connection:
    """A two-way stream of calls, replies and pushes."""

    def __init__(
        self,
        stream: socket.socket,
        callbacks: Callbacks,
        silence_ms: int = DEFAULT_SILENCE_MS,
    ) -> None:
        self.peer_id = ''
        self.closed = threading.Event()
        self._stream = stream
        self._callbacks = callbacks
        self._silence_s = silence_ms / 1000
        self._outgoing: queue.Queue[bytes | None] = queue.Queue(QUEUE_FRAMES)
        self._call_ids = itertools.count(1)
        self._lock = threading.Lock()
        self._waiting: dict[int, CallFuture] = {}
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream.settimeout(self._silence_s)

    def run(self) -> None:
        """Read until the stream ends; writes from a thread of its own."""
        writer = threading.Thread(
            target=self._write_all, name='stream-writer', daemon=True
        )
        writer.start()
        try:
            self._read_all()
        finally:
            self.close()
            writer.join()
            if self._callbacks.on_close is not None:
                self._callbacks.on_close(self)

    def call_async(self, message: typing.Any) -> CallFuture:
        """Send a call; the future holds its reply or a CallError."""
        future: CallFuture = concurrent.futures.Future()
        call_id = next(self._call_ids)
        payload = messages.encode(message)
        with self._lock:
            if self.closed.is_set():
                future.set_result(_failure(_errors.CallFailure.NOT_SENT))
                return future
            self._waiting[call_id] = future
        self._send(_frames.FrameKind.CALL, call_id, payload)
        return future

    def call(
        self, message: typing.Any, timeout_ms: int
    ) -> result.Result[typing.Any, _errors.CallError]:
        """Send a call and wait for its reply."""
        try:
            return self.call_async(message).result(timeout_ms / 1000)
        except concurrent.futures.TimeoutError:
            return _failure(_errors.CallFailure.TIMEOUT)

    def push(self, message: typing.Any) -> bool:
        """Send a message that gets no reply; False when it is not queued."""
        return self._send(_frames.FrameKind.PUSH, 0, messages.encode(message))

    def close(self) -> None:
        """Give the stream up; calls that wait fail with ``CLOSED``."""
        with self._lock:
            if self.closed.is_set():
                return
            self.closed.set()
            waiting = list(self._waiting.values())
            self._waiting.clear()
        try:
            self._outgoing.put_nowait(None)
        except queue.Full:
            pass
        try:
            self._stream.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._stream.close()
        for future in waiting:
            future.set_result(_failure(_errors.CallFailure.CLOSED))

    def _send(
        self, kind: _frames.FrameKind, call_id: int, payload: bytes
    ) -> bool:
        if self.closed.is_set():
            return False
        try:
            self._outgoing.put_nowait(_frames.pack(kind, call_id, payload))
            return True
        except queue.Full:
            _logger.warning('stream queue full', peer=self.peer_id)
            self.close()
            return False

    def _write_all(self) -> None:
        ping = _frames.pack(_frames.FrameKind.PING, 0, b'')
        while not self.closed.is_set():
            try:
                frame = self._outgoing.get(
                    timeout=self._silence_s / PINGS_PER_SILENCE
                )
            except queue.Empty:
                frame = ping
            if frame is None:
                return
            try:
                self._stream.sendall(self._gather(frame))
            except OSError:
                self.close()
                return

    def _gather(self, first: bytes) -> bytes:
        batch = [first]
        size_bytes = len(first)
        while size_bytes < WRITE_BATCH_BYTES:
            try:
                frame = self._outgoing.get_nowait()
            except queue.Empty:
                break
            if frame is None:
                self._outgoing.put_nowait(None)
                break
            batch.append(frame)
            size_bytes += len(frame)
        return b''.join(batch)

    def _read_all(self) -> None:
        last_s = time.monotonic()
        while not self.closed.is_set():
            try:
                frame = _frames.read(self._stream)
            except _frames.FrameError as error:
                _logger.warning('bad frame', peer=self.peer_id, why=str(error))
                return
            except TimeoutError:
                silent_ms = int((time.monotonic() - last_s) * 1000)
                _logger.info(
                    'silent stream', peer=self.peer_id, silent_ms=silent_ms
                )
                return
            except OSError:
                return
            if frame is None:
                return
            last_s = time.monotonic()
            if not self._take(*frame):
                return

    def _take(
        self, kind: _frames.FrameKind, call_id: int, payload: bytes
    ) -> bool:
        match kind:
            case _frames.FrameKind.PING:
                return self._send(_frames.FrameKind.PONG, 0, b'')
            case _frames.FrameKind.PONG:
                return True
        match messages.decode(payload):
            case result.Success(message):
                self._dispatch(kind, call_id, message)
                return True
            case result.Failure(error):
                _logger.warning(
                    'bad message', peer=self.peer_id, why=error.reason
                )
        return False

    def _dispatch(
        self, kind: _frames.FrameKind, call_id: int, message: typing.Any
    ) -> None:
        if kind is _frames.FrameKind.REPLY:
            with self._lock:
                future = self._waiting.pop(call_id, None)
            if future is not None:
                future.set_result(result.Success(message))
        elif kind is _frames.FrameKind.PUSH:
            if self._callbacks.on_push is not None:
                self._callbacks.on_push(self, message)
        elif self._callbacks.on_call is not None:
            self._answer(call_id, self._callbacks.on_call(self, message))

    def _answer(self, call_id: int, reply: typing.Any) -> None:
        if isinstance(reply, concurrent.futures.Future):
            reply.add_done_callback(
                lambda done: self._answer(call_id, done.result())
            )
            return
        self._send(_frames.FrameKind.REPLY, call_id, messages.encode(reply))


def _failure(
    failure: _errors.CallFailure,
) -> result.Result[typing.Any, _errors.CallError]:
    return result.Failure(_errors.CallError(failure))
