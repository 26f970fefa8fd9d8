"""HTTP server with limits that keep bad clients from affecting others.

A connection occupies a thread only after data has arrived on it, and a
complete request has to arrive before a deadline, even if bytes keep coming.
Requests that the server itself rejects get a JSON response like all others.
"""

import json
import select
import socket
import threading
import time
import typing

from cheroot import connections
from cheroot import errors
from cheroot import server as cheroot_server
from cheroot import wsgi
import structlog

from dandeliondrum import utils

HEADERS_MAX_BYTES = 32 * 1024
BACKLOG_CONNECTIONS = 512
KEEP_ALIVE_CONNECTIONS_MAX = 512
QUEUED_CONNECTIONS_MAX = 256
SOCKET_TIMEOUT_S = 10
SELECT_TIMEOUT_S = 0.1
# How long a drain still accepts requests on open connections.
DRAIN_ACCEPT_S = 0.1
# The loss of a caller's machine is detected within about ten seconds.
KEEPALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 4),
    (socket.TCP_KEEPINTVL, 2),
    (socket.TCP_KEEPCNT, 3),
)
# Key in the WSGI environment that holds the connection of the request.
CONNECTION_KEY = 'dandeliondrum.connection'

_logger = structlog.get_logger()


class _Request(cheroot_server.HTTPRequest):
    """Request that returns errors of the server itself as JSON."""

    def read_request_headers(self) -> bool:
        try:
            readable = bool(super().read_request_headers())
            if self.server.draining:
                self.close_connection = True
            return readable
        except errors.MaxSizeExceeded:
            self.close_connection = True
            self.simple_response('431 Request Header Fields Too Large')
            return False

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


class Connection(cheroot_server.HTTPConnection):
    """Connection with a deadline for the arrival of each request."""

    RequestHandlerClass = _Request

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.arrival_timed_out = False
        self._lock = threading.Lock()
        self._deadline: utils.Subscription | None = None
        for option, value in KEEPALIVE_OPTIONS:
            self.socket.setsockopt(socket.IPPROTO_TCP, option, value)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

    def peer_closed(self) -> bool:
        """Return whether the peer has closed the connection or it was lost."""
        poll = select.poll()
        try:
            poll.register(self.socket, select.POLLRDHUP)
        except (OSError, ValueError):
            return True
        return bool(poll.poll(0))

    def communicate(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        with self._lock:
            self._deadline = self.server.timers.after(
                self.server.arrival_ms, self._abort_read
            )
        try:
            return bool(super().communicate()) and not self.arrival_timed_out
        finally:
            self.request_arrived()

    def request_arrived(self) -> None:
        """Cancel the deadline, as the complete request has arrived."""
        with self._lock:
            if self._deadline is not None:
                self._deadline.cancel()
                self._deadline = None

    def _abort_read(self) -> None:
        """Shut down reading, to wake the thread that waits for the request."""
        with self._lock:
            if self._deadline is None:
                return
            self._deadline = None
            self.arrival_timed_out = True
        try:
            self.socket.shutdown(socket.SHUT_RD)
        except OSError as error:
            _logger.debug(
                'connection of a late request already closed', why=str(error)
            )


class _WsgiGateway(wsgi.Gateway_10):
    """Adds the connection to the WSGI environment."""

    def get_environ(self) -> typing.Any:
        environ: typing.Any = super().get_environ()
        environ[CONNECTION_KEY] = self.req.conn
        return environ


class Server(wsgi.Server):
    """HTTP server on one port with its own thread pool.

    Example::

        server = Server('127.0.0.1:0', application, 8, timers, 10_000)
        server.open()
        ...
        server.stop()
    """

    ConnectionClass = Connection
    max_request_header_size = HEADERS_MAX_BYTES
    keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS_MAX
    expiration_interval = SELECT_TIMEOUT_S

    def __init__(
        self,
        address: tuple[str, int],
        application: typing.Any,
        threads_count: int,
        timers: utils.TimerService,
        arrival_ms: int,
        on_refused: typing.Callable[[str], object] = lambda _code: None,
    ) -> None:
        super().__init__(
            address,
            application,
            numthreads=threads_count,
            max=threads_count,
            request_queue_size=BACKLOG_CONNECTIONS,
            timeout=SOCKET_TIMEOUT_S,
            accepted_queue_size=QUEUED_CONNECTIONS_MAX,
            accepted_queue_timeout=0,
        )
        self.gateway = _WsgiGateway
        self.timers = timers
        self.arrival_ms = arrival_ms
        self.on_refused = on_refused
        self.draining = False
        self._drain_lock = threading.Lock()
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """Return the ``host:port`` that the server listens on."""
        host, port = self.bind_addr[:2]
        return f'{host}:{port}'

    def open(self) -> None:
        """Start listening; raise OSError if the port is in use."""
        self.prepare()
        self._connections = _ConnectionManager(self)
        self._thread = threading.Thread(
            target=self.serve, name='http-server', daemon=True
        )
        self._thread.start()

    def process_conn(self, conn: Connection) -> None:
        """Pass a connection to a thread once there is data to read."""
        if conn.last_used is None:
            self.put_conn(conn)
            return
        super().process_conn(conn)

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Forward messages of the server library to the log."""
        _logger.log(level, 'http server', detail=msg, exc_info=traceback)

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
        listener, self.socket = self.socket, None
        self._connections.unregister_listener(listener)
        listener.setblocking(False)
        while True:
            connection = self._connections.accept(listener)
            if connection is None:
                break
            self.process_conn(connection)
        listener.close()


class _ConnectionManager(connections.ConnectionManager):
    """Connection manager whose listener can be removed while it runs."""

    # Attributes missing from the type hints of the library.
    _selector: typing.Any
    server: typing.Any

    def unregister_listener(self, listener: socket.socket) -> None:
        """Stop accepting connections from this listener automatically."""
        self._selector.unregister(listener.fileno())

    def accept(self, listener: socket.socket) -> Connection | None:
        """Return the next pending connection, or None."""
        take = super()._from_server_socket  # type: ignore[misc]
        accepted: Connection | None = take(listener)
        return accepted

    def _from_server_socket(
        self, listener: socket.socket | None
    ) -> Connection | None:
        # A drain removes the listener while the selector may report it.
        return self.accept(listener) if listener is not None else None

    def close(self) -> None:
        """Pass on requests that have arrived and close idle connections."""
        for descriptor, connection in list(self._selector.select(timeout=0)):
            if connection is not self.server:
                self._selector.unregister(descriptor)
                self.server.process_conn(connection)
        super().close()
