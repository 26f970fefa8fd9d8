"""Symmetric connection between two processes of a cell.

Each connection has a reader thread and a writer thread. A sender writes to
the stream itself as long as the stream takes all at once. What it does not
take is left to the writer thread, so that a peer that stops reading can't
block senders. Each side sends a ping when it has nothing else to send. A
connection on which nothing arrives for ``silence_ms`` is closed; this detects
links whose state a device in between, such as a firewall, has dropped.

Closing a connection shuts its stream down. The descriptor is closed after both
threads have ended, since its number may be that of another connection then.
"""

import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import functools
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

DEFAULT_IDLE_TIMEOUT_MS = 1_500
PINGS_PER_IDLE_TIMEOUT = 4
SEND_QUEUE_MAX_FRAMES = 20_000
WRITE_BATCH_BYTES = 256 * 1024

_logger = structlog.get_logger()

CallFuture = concurrent.futures.Future[
    result.Result[typing.Any, _errors.CallError]
]
Handler = collections.abc.Callable[['Connection', typing.Any], typing.Any]


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """Callbacks of a connection.

    ``on_call`` returns the reply or a future of the reply; the result of
    ``on_push`` is ignored. Both run in the reader thread and must not block.
    A call whose handler or future fails is answered with CallFailed, so that
    its caller does not wait.
    """

    on_call: Handler | None = None
    on_push: Handler | None = None
    on_close: collections.abc.Callable[['Connection'], object] | None = None


class Connection:
    """Bidirectional connection for calls, replies and pushes."""

    def __init__(
        self,
        stream: socket.socket,
        callbacks: Callbacks,
        silence_ms: int = DEFAULT_IDLE_TIMEOUT_MS,
    ) -> None:
        self.peer_id = ''
        self.closed = threading.Event()
        self._stream = stream
        self._callbacks = callbacks
        self._silence_s = silence_ms / 1000
        self._outgoing: queue.Queue[bytes | None] = queue.Queue(
            SEND_QUEUE_MAX_FRAMES
        )
        # Protects the three fields below.
        self._send_lock = threading.Lock()
        # Frames that are queued or being written by the writer thread.
        self._queued_count = 0
        # Whether a sender has written since the writer thread last looked.
        self._has_sent = False
        self._call_ids = itertools.count(1)
        # Protects the two fields below, and the descriptor while it is shut
        # down or closed. Taken before ``_send_lock``.
        self._lock = threading.Lock()
        self._pending: dict[int, CallFuture] = {}
        # Whether ``run`` has begun, which closes the descriptor in the end.
        self._is_running = False
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream.settimeout(self._silence_s)
        # The same descriptor, to write without blocking. Made last, as a
        # failure after it would close the descriptor twice.
        self._direct_stream = socket.socket(
            stream.family, stream.type, stream.proto, stream.fileno()
        )
        self._direct_stream.setblocking(False)

    def run(self) -> None:
        """Read until the connection ends, then close its descriptor.

        Starts and joins the writer thread. If it can't be started, the
        connection is closed at once.
        """
        with self._lock:
            self._is_running = not self.closed.is_set()
        try:
            if self._is_running:
                self._read_and_write()
        except Exception:
            _logger.exception('connection failed', peer=self.peer_id)
        finally:
            self.close()
            self._close_descriptor()
            if self._callbacks.on_close is not None:
                self._callbacks.on_close(self)

    def call_async(self, message: typing.Any) -> CallFuture:
        """Send a call; the future resolves to its reply or a CallError."""
        future: CallFuture = concurrent.futures.Future()
        call_id = next(self._call_ids)
        payload = messages.encode(message)
        with self._lock:
            if self.closed.is_set():
                future.set_result(_failure(_errors.CallFailure.NOT_SENT))
                return future
            self._pending[call_id] = future
        self._send(_frames.FrameKind.CALL, call_id, payload)
        return future

    def call(
        self, message: typing.Any, timeout_ms: int
    ) -> result.Result[typing.Any, _errors.CallError]:
        """Send a call and wait up to ``timeout_ms`` for its reply."""
        try:
            return self.call_async(message).result(timeout_ms / 1000)
        except concurrent.futures.TimeoutError:
            return _failure(_errors.CallFailure.TIMEOUT)

    def push(self, message: typing.Any) -> bool:
        """Queue a message that gets no reply; return whether it was queued."""
        return self._send(_frames.FrameKind.PUSH, 0, messages.encode(message))

    def close(self) -> None:
        """Close the connection; pending calls fail with ``CLOSED``."""
        with self._lock:
            if self.closed.is_set():
                return
            self.closed.set()
            pending = list(self._pending.values())
            self._pending.clear()
            is_running = self._is_running
            # Wakes the threads that read and write.
            with contextlib.suppress(OSError):
                self._stream.shutdown(socket.SHUT_RDWR)
        with contextlib.suppress(queue.Full):
            self._outgoing.put_nowait(None)
        if not is_running:
            self._close_descriptor()
        for future in pending:
            future.set_result(_failure(_errors.CallFailure.CLOSED))

    def _close_descriptor(self) -> None:
        """Close the descriptor, which no thread uses any more.

        Senders don't touch it once ``closed`` is set; a second call has no
        effect.
        """
        with self._lock, self._send_lock:
            self._direct_stream.detach()
            self._stream.close()

    def _read_and_write(self) -> None:
        writer = threading.Thread(
            target=self._write_loop,
            name=f'{threading.current_thread().name} writer',
            daemon=True,
        )
        writer.start()
        try:
            self._read_loop()
        finally:
            self.close()
            writer.join()

    def _send(
        self, kind: _frames.FrameKind, call_id: int, payload: bytes
    ) -> bool:
        frame = _frames.pack(kind, call_id, payload)
        with self._send_lock:
            if self.closed.is_set():
                return False
            if not self._queued_count:
                sent_bytes = self._write_now(frame)
                if sent_bytes == len(frame):
                    self._has_sent = True
                    return True
                frame = frame[sent_bytes:]
            try:
                self._outgoing.put_nowait(frame)
                self._queued_count += 1
                return True
            except queue.Full:
                pass
        _logger.warning('send queue full', peer=self.peer_id)
        self.close()
        return False

    def _write_now(self, frame: bytes) -> int:
        """Return how many bytes the stream takes without blocking."""
        try:
            return self._direct_stream.send(frame)
        except OSError:
            # The writer thread waits, or meets the error again.
            return 0

    def _write_loop(self) -> None:
        while not self.closed.is_set():
            try:
                frame = self._outgoing.get(
                    timeout=self._silence_s / PINGS_PER_IDLE_TIMEOUT
                )
            except queue.Empty:
                if self._is_idle():
                    self._send(_frames.FrameKind.PING, 0, b'')
                continue
            if frame is None:
                return
            frames = self._queued_frames(frame)
            try:
                self._stream.sendall(b''.join(frames))
            except OSError:
                self.close()
                return
            with self._send_lock:
                self._queued_count -= len(frames)

    def _is_idle(self) -> bool:
        """Return whether nothing was sent since the last call."""
        with self._send_lock:
            has_sent, self._has_sent = self._has_sent, False
        return not has_sent

    def _queued_frames(self, first: bytes) -> list[bytes]:
        """Return queued frames to write at once."""
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
        return batch

    def _read_loop(self) -> None:
        reader = _frames.Reader(self._stream)
        last_received_s = time.monotonic()
        while not self.closed.is_set():
            try:
                frame = reader.read()
            except _frames.FrameError as error:
                _logger.warning(
                    'invalid frame', peer=self.peer_id, why=str(error)
                )
                return
            except TimeoutError:
                if self.closed.is_set():
                    return
                silent_ms = int((time.monotonic() - last_received_s) * 1000)
                _logger.info(
                    'connection timed out',
                    peer=self.peer_id,
                    silent_ms=silent_ms,
                )
                return
            except OSError:
                return
            if frame is None:
                return
            last_received_s = time.monotonic()
            if not self._handle_frame(*frame):
                return

    def _handle_frame(
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
                    'invalid message', peer=self.peer_id, why=error.reason
                )
        return False

    def _dispatch(
        self, kind: _frames.FrameKind, call_id: int, message: typing.Any
    ) -> None:
        if kind is _frames.FrameKind.REPLY:
            with self._lock:
                future = self._pending.pop(call_id, None)
            if future is not None:
                future.set_result(result.Success(message))
        elif kind is _frames.FrameKind.PUSH:
            if self._callbacks.on_push is not None:
                self._callbacks.on_push(self, message)
        elif self._callbacks.on_call is not None:
            self._handle_call(self._callbacks.on_call, call_id, message)

    def _handle_call(
        self, on_call: Handler, call_id: int, message: typing.Any
    ) -> None:
        kind = type(message).__name__
        try:
            reply = on_call(self, message)
        except Exception as error:
            self._send_failure(call_id, kind, error)
            return
        if isinstance(reply, concurrent.futures.Future):
            reply.add_done_callback(
                functools.partial(self._send_result, call_id, kind)
            )
        else:
            self._send_reply(call_id, kind, reply)

    def _send_result(
        self,
        call_id: int,
        kind: str,
        done: 'concurrent.futures.Future[typing.Any]',
    ) -> None:
        try:
            reply = done.result()
        except Exception as error:
            self._send_failure(call_id, kind, error)
            return
        self._send_reply(call_id, kind, reply)

    def _send_reply(self, call_id: int, kind: str, reply: typing.Any) -> None:
        try:
            payload = messages.encode(reply)
        except Exception as error:
            self._send_failure(call_id, kind, error)
            return
        self._send(_frames.FrameKind.REPLY, call_id, payload)

    def _send_failure(self, call_id: int, kind: str, error: Exception) -> None:
        _logger.error(
            'call failed', peer=self.peer_id, kind=kind, exc_info=error
        )
        failed = messages.CallFailed(f'{kind} failed: {error!r}', False)
        self._send(_frames.FrameKind.REPLY, call_id, messages.encode(failed))


def _failure(
    failure: _errors.CallFailure,
) -> result.Result[typing.Any, _errors.CallError]:
    return result.Failure(_errors.CallError(failure))
