"""HTTP server that receives requests before it occupies threads."""

import collections
import logging
import threading
import time
import typing

from cheroot import wsgi
import structlog

from dandeliondrum.http_server import _arrival
from dandeliondrum.http_server import _budget
from dandeliondrum.http_server import _connection
from dandeliondrum.http_server import _limits
from dandeliondrum.http_server import _manager

BACKLOG_CONNECTIONS = 512
QUEUED_CONNECTIONS_MAX = 256
SELECT_TIMEOUT_S = 0.1
# Refusals of a crowd are logged together.
LOG_EVERY_S = 1.0
# Key in the WSGI environment that holds the connection of the request.
CONNECTION_KEY = 'dandeliondrum.connection'

_logger = structlog.get_logger()


class _WsgiGateway(wsgi.Gateway_10):
    """Adds the connection to the WSGI environment."""

    def get_environ(self) -> typing.Any:
        environ: typing.Any = super().get_environ()
        environ[CONNECTION_KEY] = self.req.conn
        return environ


class Server(wsgi.Server):
    """HTTP server on one port with its own thread pool and limits.

    The budget may be shared by the servers of a process. ``on_refused`` is
    called with the status of each request that the server itself refuses, and
    with the cause for requests and connections beyond the limits: length,
    memory, time, unread (answers) or connections.
    """

    ConnectionClass = _connection.Connection
    expiration_interval = SELECT_TIMEOUT_S

    def __init__(
        self,
        address: tuple[str, int],
        application: typing.Any,
        threads_count: int,
        limits: _limits.Limits,
        budget: _budget.ByteBudget,
        on_refused: typing.Callable[[str], object] = lambda _code: None,
        shutdown_timeout_s: float = 5,
    ) -> None:
        super().__init__(
            address,
            application,
            numthreads=threads_count,
            max=threads_count,
            request_queue_size=BACKLOG_CONNECTIONS,
            accepted_queue_size=QUEUED_CONNECTIONS_MAX,
            accepted_queue_timeout=0,
        )
        # The type hints of the library want whole seconds.
        vars(self).update(
            timeout=limits.stall_ms / 1000,
            shutdown_timeout=shutdown_timeout_s,
            # The manager closes connections that are too many.
            keep_alive_conn_limit=None,
        )
        self.gateway = _WsgiGateway
        self.limits = limits
        self.budget = budget
        self.on_refused = on_refused
        self.max_request_header_size = limits.header_bytes_max
        self._open: set[_connection.Connection] = set()
        self._open_lock = threading.Lock()
        self._noted: collections.Counter[str] = collections.Counter()
        self._noted_at_s = 0.0
        self._bind_error: OSError | None = None

    def clear_stats(self) -> None:
        """Reset the counters of the library, which nothing here reads.

        The library enters them in the logging module for good, and the server
        with them: one that can't start and is replaced would stay in memory.
        """
        super().clear_stats()
        entries: dict[str, object] = vars(logging)['statistics']
        for key, stats in list(entries.items()):
            if stats is self.stats:
                entries.pop(key, None)

    def prepare(self) -> None:
        """Start listening; raise OSError if the port is in use."""
        self._bind_error = None
        try:
            super().prepare()
        except OSError as error:
            # The error of the library has no error number.
            raise self._bind_error or error from None
        self._connections = _manager.ConnectionManager(self)

    def bind(self, family: int, type: int, proto: int = 0) -> typing.Any:
        """Create the socket; called by the library for each address."""
        try:
            return super().bind(family, type, proto)
        except OSError as error:
            host, port = self.bind_addr[:2]
            self._bind_error = OSError(
                error.errno, f'{error.strerror}: {host}:{port}'
            )
            raise

    def process_conn(self, conn: _connection.Connection) -> None:
        """Admit a new connection, or receive a request on a known one."""
        if conn.last_used is None:
            if self._admit(conn):
                self.put_conn(conn)
            else:
                conn.close()
            return
        match conn.arrival.receive():
            case _arrival.State.READY:
                self._pass_on(conn)
            case _arrival.State.PARTIAL:
                self._connections.park(conn)
            case _arrival.State.CLOSED:
                conn.close()

    def put_conn(self, conn: _connection.Connection) -> None:
        """Wait for the next request on a connection, or close it.

        An error here would end the thread that served it, and the server.
        """
        try:
            super().put_conn(conn)
        except Exception:
            _logger.exception('connection not kept', peer=conn.remote_addr)
            conn.close()

    def time_out(self, conn: _connection.Connection) -> None:
        """Answer a request that did not arrive in time."""
        conn.arrival_timed_out = True
        self._note_refusal('time', conn)
        conn.arrival.give_up()
        self._pass_on(conn)

    def abort_answers(self, began_before_s: float) -> None:
        """Cut connections whose answers have not been taken in time."""
        with self._open_lock:
            connections = list(self._open)
        for connection in connections:
            began_s = connection.answer_began_s
            if began_s is not None and began_s < began_before_s:
                connection.abort()

    def forget(self, conn: _connection.Connection) -> None:
        """Count a connection no longer."""
        with self._open_lock:
            self._open.discard(conn)

    @property
    def connections_count(self) -> int:
        """Return how many connections are open."""
        return len(self._open)

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Forward messages of the server library to the log."""
        _logger.log(level, 'http server', detail=msg, exc_info=traceback)

    def _pass_on(self, conn: _connection.Connection) -> None:
        """Queue a request for a thread.

        A peer that sends requests and doesn't read the answers is cut off:
        it would occupy the thread.
        """
        conn.request_began_s = None
        if not conn.can_write():
            self._note_refusal('unread', conn)
            conn.close()
            return
        if conn.arrival.overloaded:
            self._note_refusal('memory', conn)
        if conn.arrival.too_large:
            self._note_refusal('length', conn)
        super().process_conn(conn)

    def _admit(self, conn: _connection.Connection) -> bool:
        """Make room for a new connection; return whether there is any."""
        with self._open_lock:
            total = len(self._open)
            of_peer = sum(
                one.remote_addr == conn.remote_addr for one in self._open
            )
        peer_full = of_peer >= self.limits.connections_per_peer_max
        if peer_full or total >= self.limits.connections_max:
            self._note_refusal('connections', conn)
            peer = conn.remote_addr if peer_full else ''
            if not self._connections.evict(peer):
                return False
        with self._open_lock:
            self._open.add(conn)
        return True

    def _note_refusal(self, cause: str, conn: _connection.Connection) -> None:
        """Count a refusal, and log those since the last line at times."""
        self.on_refused(cause)
        now_s = time.monotonic()
        with self._open_lock:
            self._noted[cause] += 1
            if now_s - self._noted_at_s < LOG_EVERY_S:
                return
            noted = dict(self._noted)
            self._noted.clear()
            self._noted_at_s = now_s
            connections_count = len(self._open)
        _logger.warning(
            'clients beyond the limits',
            port=self.bind_addr[1],
            causes=noted,
            last_peer=conn.remote_addr,
            connections_count=connections_count,
            reserved_bytes=self.budget.used_bytes,
        )
