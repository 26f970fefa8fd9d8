"""The HTTP server, with the bounds that keep bad callers from others.

A connection takes a thread only once data has arrived on it, and a whole
request has to arrive within a deadline, however slowly it trickles in.
Whatever the server itself refuses is answered with the same JSON as
everything else.
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
KEPT_CONNECTIONS_MAX = 512
QUEUED_CONNECTIONS_MAX = 256
SOCKET_TIMEOUT_S = 10
SELECT_TIMEOUT_S = 0.1
# How long a stop still takes requests from connections that are open.
LAST_REQUESTS_S = 0.1
# A caller whose machine is gone is noticed within about ten seconds.
KEEPALIVE = (
    (socket.TCP_KEEPIDLE, 4),
    (socket.TCP_KEEPINTVL, 2),
    (socket.TCP_KEEPCNT, 3),
)
# The key of a request's environment that holds its connection.
CONNECTION = 'dandeliondrum.connection'

_logger = structlog.get_logger()


class _Request(cheroot_server.HTTPRequest):
    """A request whose refusals by the server are JSON."""

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
            _logger.debug('refusal not sent', why=str(error))


class Connection(cheroot_server.HTTPConnection):
    """A connection with a deadline for the arrival of each request."""

    RequestHandlerClass = _Request

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.late = False
        self._lock = threading.Lock()
        self._deadline: utils.Subscription | None = None
        for option, value in KEEPALIVE:
            self.socket.setsockopt(socket.IPPROTO_TCP, option, value)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

    def left(self) -> bool:
        """Return whether the other end has closed or lost the connection."""
        poll = select.poll()
        try:
            poll.register(self.socket, select.POLLRDHUP)
        except (OSError, ValueError):
            return True
        return bool(poll.poll(0))

    def communicate(self) -> bool:
        """Serve one request; true when the connection stays open."""
        with self._lock:
            self._deadline = self.server.timers.after(
                self.server.arrival_ms, self._give_up
            )
        try:
            return bool(super().communicate()) and not self.late
        finally:
            self.arrived()

    def arrived(self) -> None:
        """Note that the request is here as a whole."""
        with self._lock:
            if self._deadline is not None:
                self._deadline.cancel()
                self._deadline = None

    def _give_up(self) -> None:
        """Wake the thread that reads a request which doesn't end."""
        with self._lock:
            if self._deadline is None:
                return
            self._deadline = None
            self.late = True
        try:
            self.socket.shutdown(socket.SHUT_RD)
        except OSError as error:
            _logger.debug('late request is gone', why=str(error))


class _WsgiGateway(wsgi.Gateway_10):
    """Gives the application its connection."""

    def get_environ(self) -> typing.Any:
        environ: typing.Any = super().get_environ()
        environ[CONNECTION] = self.req.conn
        return environ


class Server(wsgi.Server):
    """One listening port with a pool of threads of its own.

    Example::

        server = Server('127.0.0.1:0', application, 8, timers, 10_000)
        server.open()
        ...
        server.stop()
    """

    ConnectionClass = Connection
    max_request_header_size = HEADERS_MAX_BYTES
    keep_alive_conn_limit = KEPT_CONNECTIONS_MAX
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
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """Return ``host:port`` as it is listened on."""
        host, port = self.bind_addr[:2]
        return f'{host}:{port}'

    def open(self) -> None:
        """Listen from now on; raises OSError when the port is taken."""
        self.prepare()
        self._connections = _Connections(self)
        self._thread = threading.Thread(
            target=self.serve, name='http-server', daemon=True
        )
        self._thread.start()

    def process_conn(self, conn: Connection) -> None:
        """Hand a connection to a thread, once there is data to read."""
        if conn.last_used is None:
            self.put_conn(conn)
            return
        super().process_conn(conn)

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Write what the server library says to our own log."""
        _logger.log(level, 'http server', detail=msg, exc_info=traceback)

    def drain(self, timeout_ms: int) -> None:
        """Stop listening and let open requests end, for a bounded time.

        Connections that were made before are still served, and requests
        that arrive on them up to a moment later as well.
        """
        if not self.ready:
            return
        self.draining = True
        self._stop_listening()
        if timeout_ms > 0:
            time.sleep(LAST_REQUESTS_S)
        self.shutdown_timeout = timeout_ms / 1000
        self.stop()
        if self._thread is not None:
            self._thread.join(timeout=SOCKET_TIMEOUT_S)

    def _stop_listening(self) -> None:
        """Take the connections that wait to be accepted, then no more."""
        listener, self.socket = self.socket, None
        self._connections.forget(listener)
        listener.setblocking(False)
        while True:
            connection = self._connections.accept(listener)
            if connection is None:
                break
            self.process_conn(connection)
        listener.close()


class _Connections(connections.ConnectionManager):
    """The library's connections, with a listener that can be taken away."""

    # Parts of the library that its type hints leave out.
    _selector: typing.Any
    _from_server_socket: typing.Any

    def forget(self, listener: socket.socket) -> None:
        """Accept nothing more by itself."""
        self._selector.unregister(listener.fileno())

    def accept(self, listener: socket.socket) -> Connection | None:
        """Return the next connection that waits, if there is one."""
        accepted: Connection | None = self._from_server_socket(listener)
        return accepted
