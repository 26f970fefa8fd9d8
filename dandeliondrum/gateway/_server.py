"""HTTP server that answers all requests in JSON and can be drained."""

import json
import socket
import threading
import time
import typing

from cheroot import errors
import structlog

from dandeliondrum import http_server

HEADERS_MAX_BYTES = 32 * 1024
SOCKET_TIMEOUT_S = 10
# How long a drain still accepts requests on open connections.
DRAIN_ACCEPT_S = 0.1
CONNECTION_KEY = http_server.CONNECTION_KEY

_logger = structlog.get_logger()


class _Request(http_server.Request):
    """Request that returns errors of the server itself as JSON."""

    def read_request_headers(self) -> bool:
        try:
            readable = super().read_request_headers()
        except errors.MaxSizeExceeded:
            self.simple_response('431 Request Header Fields Too Large')
            return False
        if self.server.draining:
            self.close_connection = True
        return readable

    def simple_response(self, status: str, msg: str = '') -> None:
        code, _, reason = str(status).partition(' ')
        self.server.on_refused(code)
        body = json.dumps(
            {'reason': 'bad_request', 'detail': str(msg or reason)}
        ).encode()
        head = (
            f'{self.server.protocol} {status}\r\n'
            f'Content-Length: {len(body)}\r\n'
            'Content-Type: application/json\r\n'
            'Connection: close\r\n\r\n'
        )
        self.close_connection = True
        try:
            self.conn.wfile.write(head.encode('latin-1') + body)
        except OSError as error:
            _logger.debug('error response not sent', why=str(error))


class Connection(http_server.Connection):
    """Connection whose requests are answered in JSON."""

    RequestHandlerClass = _Request


class Server(http_server.Server):
    """HTTP server on one port with its own thread pool.

    Example::

        limits = http_server.Limits(...)
        server = Server('127.0.0.1:0', application, 8, limits, budget)
        server.open()
        ...
        server.drain(1_000)
    """

    ConnectionClass = Connection

    def __init__(
        self,
        address: tuple[str, int],
        application: typing.Any,
        threads_count: int,
        limits: http_server.Limits,
        budget: http_server.ByteBudget,
        on_refused: typing.Callable[[str], object] = lambda _code: None,
    ) -> None:
        super().__init__(
            address, application, threads_count, limits, budget, on_refused
        )
        self.draining = False
        self._drain_lock = threading.Lock()
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """Return the ``host:port`` that the server listens on."""
        host, port = self.bind_addr[:2]
        return f'{host}:{port}'

    @property
    def is_serving(self) -> bool:
        """Whether the thread that accepts connections runs."""
        return self._thread is not None and self._thread.is_alive()

    def open(self) -> None:
        """Start listening; raise OSError if the port is in use."""
        self.prepare()
        self._thread = threading.Thread(
            target=self.serve, name='http-server', daemon=True
        )
        self._thread.start()

    def drain(self, timeout_ms: int) -> None:
        """Stop listening and wait up to ``timeout_ms`` for open requests.

        Connections established before are still served. Unless ``timeout_ms``
        is 0, so are requests that arrive on them within DRAIN_ACCEPT_S. A
        second call returns when the first one has ended.
        """
        with self._drain_lock:
            if self.ready:
                self._drain(timeout_ms)

    def _drain(self, timeout_ms: int) -> None:
        self.draining = True
        self._stop_listening()
        if timeout_ms > 0:
            time.sleep(DRAIN_ACCEPT_S)
        self.shutdown_timeout = timeout_ms / 1000
        self.stop()
        if self._thread is not None:
            self._thread.join(timeout=SOCKET_TIMEOUT_S)

    def _stop_listening(self) -> None:
        """Accept all connections in the backlog, then close the listener."""
        listener: socket.socket = self.socket
        self.socket = None
        self._connections.unregister_listener()
        listener.setblocking(False)
        try:
            self._accept_backlog(listener)
        except OSError as error:
            # Without descriptors, their peers have to connect elsewhere.
            _logger.warning(
                'backlog not accepted', address=self.address, why=str(error)
            )
        listener.close()

    def _accept_backlog(self, listener: socket.socket) -> None:
        while True:
            connection = self._connections.accept(listener)
            if connection is None:
                return
            self.process_conn(connection)
