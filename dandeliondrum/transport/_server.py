"""Listener and client side of connections within a cell."""

import concurrent.futures
import contextlib
import dataclasses
import re
import socket
import threading
import time

import structlog

from dandeliondrum import messages
from dandeliondrum.transport import _connection
from dandeliondrum.transport import _frames
from dandeliondrum import utils

PROTOCOL_VERSION = 1
# A hello has to arrive completely within this time.
HANDSHAKE_TIMEOUT_MS = 2_000
HANDSHAKES_MAX = 32
# Measured: 130 bytes with the longest ids in use.
HELLO_BYTES_MAX = 16 * 1024
PORT_MAX = 65_535
# Pause after a failed accept, in which descriptors or memory may become free.
ACCEPT_PAUSE_MS = 100

_ADDRESS = re.compile('([!-~]+):([0-9]{1,5})')

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class ServerOptions:
    """Options of a server.

    ``address`` is ``host:port`` with an IP address as host; port 0 picks a
    free port. Connections beyond ``connections_max`` are closed at once.
    Connections without a hello don't count, as anybody can open them: there
    are HANDSHAKES_MAX at most, of which the oldest makes room for a new one.
    """

    address: str
    cell_id: messages.CellId
    connections_max: int = 256
    silence_ms: int = _connection.DEFAULT_IDLE_TIMEOUT_MS


class Server:
    """Listens on a port and serves each connection in a pool thread."""

    def __init__(
        self, options: ServerOptions, callbacks: _connection.Callbacks
    ) -> None:
        self._options = options
        self._callbacks = callbacks
        self._resources = contextlib.ExitStack()
        self._lock = threading.Lock()
        self._connections: set[_connection.Connection] = set()
        # Streams without a hello and their times of arrival, oldest first.
        self._handshakes: dict[socket.socket, float] = {}
        self._stopping = threading.Event()
        self._accept_failures = utils.AcceptFailures()
        self._listener = socket.create_server(
            parse_address(options.address), backlog=128
        )
        # Closed after the thread that accepts has ended, which could use
        # another listener with the same number otherwise.
        self._resources.callback(self._listener.close)
        host, port = self._listener.getsockname()[:2]
        self.address = f'{host}:{port}'
        self._executor = concurrent.futures.ThreadPoolExecutor(
            options.connections_max + HANDSHAKES_MAX + 2,
            thread_name_prefix='incoming-stream',
        )

    def start(self) -> None:
        """Start to accept connections."""
        self._resources.callback(self._executor.shutdown)
        self._resources.callback(self._close_connections)
        self._resources.callback(self._stop_listening)
        # Nobody reads their futures: they must not raise.
        self._executor.submit(self._accept_loop)
        self._executor.submit(self._cut_late_handshakes)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._stopping.set()
        self._resources.close()

    def _stop_listening(self) -> None:
        _cut(self._listener)

    def _close_connections(self) -> None:
        with self._lock:
            connections = list(self._connections)
            handshakes = list(self._handshakes)
        for connection in connections:
            connection.close()
        for stream in handshakes:
            _cut(stream)

    def _cut_late_handshakes(self) -> None:
        """End handshakes of peers that send their hello too slowly."""
        while not self._stopping.wait(HANDSHAKE_TIMEOUT_MS / 4_000):
            began_before_s = time.monotonic() - HANDSHAKE_TIMEOUT_MS / 1_000
            try:
                self._cut_handshakes(began_before_s)
            except Exception:
                _logger.exception('late handshakes not ended')

    def _cut_handshakes(self, began_before_s: float) -> None:
        """End older handshakes; raise an exception after all were tried."""
        with self._lock:
            late = [
                stream
                for stream, began_s in self._handshakes.items()
                if began_s < began_before_s
            ]
        with contextlib.ExitStack() as cutting:
            for stream in late:
                cutting.callback(_cut, stream)

    def _accept_loop(self) -> None:
        while not self._stopping.is_set():
            try:
                self._accept_stream()
            except Exception:
                _logger.exception('stream not served')
                self._stopping.wait(ACCEPT_PAUSE_MS / 1000)

    def _accept_stream(self) -> None:
        """Accept a stream, and let a thread of the pool serve it."""
        stream = self._accept()
        if stream is None:
            return
        with self._lock:
            full = len(self._connections) >= self._options.connections_max
        if full:
            _logger.warning('too many connections')
            stream.close()
            return
        self._begin_handshake(stream)
        try:
            served = self._executor.submit(self._serve, stream)
        except RuntimeError:
            self._end_handshake(stream)
            stream.close()
            return
        utils.log_failure(served, 'stream not closed in order')

    def _accept(self) -> socket.socket | None:
        """Return the next stream; None after a failure, which is logged."""
        try:
            stream, _ = self._listener.accept()
        except OSError as error:
            if not self._stopping.is_set():
                self._accept_failures.record(error)
            # Peers that give up their connections must not delay others.
            if not isinstance(error, ConnectionAbortedError):
                self._stopping.wait(ACCEPT_PAUSE_MS / 1000)
            return None
        return stream

    def _begin_handshake(self, stream: socket.socket) -> None:
        """Count a stream without a hello; make room for it if necessary.

        A peer sends its hello at once, so the oldest ones are no peers. The
        executor has a thread for each stream that is counted.
        """
        with self._lock:
            excess = len(self._handshakes) + 1 - HANDSHAKES_MAX
            oldest = list(self._handshakes)[: max(0, excess)]
            for one in oldest:
                del self._handshakes[one]
            self._handshakes[stream] = time.monotonic()
        for one in oldest:
            _cut(one)

    def _end_handshake(self, stream: socket.socket) -> None:
        with self._lock:
            self._handshakes.pop(stream, None)

    def _serve(self, stream: socket.socket) -> None:
        try:
            hello = self._read_hello(stream)
        except (OSError, _frames.FrameError) as error:
            _logger.warning('handshake failed', why=str(error))
            hello = None
        finally:
            self._end_handshake(stream)
        if hello is None:
            stream.close()
            return
        connection = _connection.Connection(
            stream, self._callbacks, self._options.silence_ms
        )
        connection.peer_id = hello.peer_id
        with self._lock:
            self._connections.add(connection)
        if self._stopping.is_set():
            connection.close()
        try:
            connection.run()
        finally:
            with self._lock:
                self._connections.discard(connection)

    def _read_hello(self, stream: socket.socket) -> messages.Hello | None:
        stream.settimeout(HANDSHAKE_TIMEOUT_MS / 1000)
        frame = _frames.read(stream, HELLO_BYTES_MAX)
        if frame is None:
            return None
        hello = messages.decode(frame[2]).value_or(None)
        if not isinstance(hello, messages.Hello):
            _logger.warning('connection without a hello message')
            return None
        expected = (self._options.cell_id, PROTOCOL_VERSION)
        if (hello.cell_id, hello.protocol_version) != expected:
            _logger.warning(
                'cell id or protocol version mismatch', peer=hello.peer_id
            )
            return None
        return hello


def connect(
    address: str,
    hello: messages.Hello,
    callbacks: _connection.Callbacks,
    timeout_ms: int = 1_000,
    silence_ms: int = _connection.DEFAULT_IDLE_TIMEOUT_MS,
) -> _connection.Connection:
    """Open a connection, send ``hello`` and start the connection's threads.

    Raises OSError if the peer can't be reached within ``timeout_ms``, or if no
    thread can be started.
    """
    stream = socket.create_connection(
        parse_address(address), timeout_ms / 1000
    )
    connection = _connection.Connection(stream, callbacks, silence_ms)
    connection.peer_id = address
    try:
        stream.sendall(
            _frames.pack(_frames.FrameKind.PUSH, 0, messages.encode(hello))
        )
    except OSError:
        connection.close()
        raise
    reader = threading.Thread(
        target=connection.run, name='outgoing-stream', daemon=True
    )
    try:
        reader.start()
    except RuntimeError as error:
        connection.close()
        raise OSError(str(error)) from error
    return connection


def _cut(stream: socket.socket) -> None:
    """Shut a stream down, to wake the thread that reads from it."""
    with contextlib.suppress(OSError):
        stream.shutdown(socket.SHUT_RDWR)


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; the host may be in square brackets.

    Raises ValueError if the address has another form, or if the port is above
    65,535. Port 0 is valid: it stands for any free port to listen at.
    """
    match = _ADDRESS.fullmatch(address)
    if match is None or int(match[2]) > PORT_MAX:
        raise ValueError(f'{address!r:.80} is not host:port')
    return match[1].strip('[]'), int(match[2])
