"""Accepts streams from other processes of the same cell."""

import concurrent.futures
import contextlib
import dataclasses
import socket
import threading

import structlog

from dandeliondrum import messages
from dandeliondrum.transport import _connection
from dandeliondrum.transport import _frames

PROTOCOL_VERSION = 1
HANDSHAKE_TIMEOUT_MS = 2_000

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class ServerOptions:
    """Where a server listens and what it takes.

    ``address`` is ``host:port`` by IP number; port 0 takes any free one.
    """

    address: str
    cell_id: messages.CellId
    connections_max: int = 256
    silence_ms: int = _connection.DEFAULT_SILENCE_MS


class Server:
    """Listens on a port; each stream is served by a task of its own."""

    def __init__(
        self, options: ServerOptions, callbacks: _connection.Callbacks
    ) -> None:
        self._options = options
        self._callbacks = callbacks
        self._resources = contextlib.ExitStack()
        self._lock = threading.Lock()
        self._open: set[_connection.Connection] = set()
        self._stopping = threading.Event()
        self._listener = socket.create_server(
            parse_address(options.address), backlog=128
        )
        host, port = self._listener.getsockname()[:2]
        self.address = f'{host}:{port}'
        self._executor = concurrent.futures.ThreadPoolExecutor(
            options.connections_max + 1, thread_name_prefix='stream'
        )

    def start(self) -> None:
        """Accept streams from now on."""
        self._resources.callback(self._executor.shutdown)
        self._resources.callback(self._close_open)
        self._resources.callback(self._close_listener)
        self._executor.submit(self._accept_all)

    def close(self) -> None:
        """Stop listening and give up all streams."""
        self._stopping.set()
        self._resources.close()

    def _close_listener(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _close_open(self) -> None:
        with self._lock:
            still_open = list(self._open)
        for connection in still_open:
            connection.close()

    def _accept_all(self) -> None:
        while not self._stopping.is_set():
            try:
                stream, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                full = len(self._open) >= self._options.connections_max
            if full:
                _logger.warning('too many streams')
                stream.close()
                continue
            try:
                self._executor.submit(self._serve, stream)
            except RuntimeError:
                stream.close()

    def _serve(self, stream: socket.socket) -> None:
        try:
            hello = self._read_hello(stream)
        except (OSError, _frames.FrameError) as error:
            _logger.warning('handshake failed', why=str(error))
            hello = None
        if hello is None:
            stream.close()
            return
        connection = _connection.Connection(
            stream, self._callbacks, self._options.silence_ms
        )
        connection.peer_id = hello.peer_id
        with self._lock:
            self._open.add(connection)
        if self._stopping.is_set():
            connection.close()
        try:
            connection.run()
        finally:
            with self._lock:
                self._open.discard(connection)

    def _read_hello(self, stream: socket.socket) -> messages.Hello | None:
        stream.settimeout(HANDSHAKE_TIMEOUT_MS / 1000)
        frame = _frames.read(stream)
        if frame is None:
            return None
        hello = messages.decode(frame[2]).value_or(None)
        if not isinstance(hello, messages.Hello):
            _logger.warning('stream without a greeting')
            return None
        wanted = (self._options.cell_id, PROTOCOL_VERSION)
        if (hello.cell_id, hello.protocol_version) != wanted:
            _logger.warning('peer of another cell', peer=hello.peer_id)
            return None
        return hello


def connect(
    address: str,
    hello: messages.Hello,
    callbacks: _connection.Callbacks,
    timeout_ms: int = 1_000,
    silence_ms: int = _connection.DEFAULT_SILENCE_MS,
) -> _connection.Connection:
    """Open a stream and start its threads.

    Raises OSError when the other end can't be reached in time.
    """
    stream = socket.create_connection(
        parse_address(address), timeout_ms / 1000
    )
    connection = _connection.Connection(stream, callbacks, silence_ms)
    connection.peer_id = address
    stream.sendall(
        _frames.pack(_frames.FrameKind.PUSH, 0, messages.encode(hello))
    )
    threading.Thread(
        target=connection.run, name='stream-reader', daemon=True
    ).start()
    return connection


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port``.

    Raises ValueError for anything else.
    """
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise ValueError(f'{address!r} is not host:port')
    return host.strip('[]'), int(port)
