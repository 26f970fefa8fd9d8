"""Waits for requests on all connections of a server."""

import errno
import selectors
import socket
import threading
import time
import typing

from cheroot import connections

from dandeliondrum.http_server import _connection
from dandeliondrum import utils

CLOSE_POLL_S = 0.05
# Pause after a failed accept, in which descriptors or memory may become free.
ACCEPT_PAUSE_S = 0.1
NO_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE})


class ConnectionManager(connections.ConnectionManager):
    """Connections that wait for a request or for the rest of one."""

    # Attributes missing from the type hints of the library.
    _selector: typing.Any
    _stop_requested: bool
    _remove_invalid_sockets: typing.Any
    server: typing.Any

    def __init__(self, server: typing.Any) -> None:
        super().__init__(server)
        self._accept_failures = utils.AcceptFailures()
        # A drain unregisters the listener in a thread of its own.
        self._listener_lock = threading.Lock()
        self._listener: socket.socket | None = server.socket
        # When a listener that is not registered meanwhile accepts again.
        self._resume_s: float | None = None

    def unregister_listener(self) -> None:
        """Stop accepting connections automatically."""
        with self._listener_lock:
            if self._listener is not None and self._resume_s is None:
                self._selector.unregister(self._listener.fileno())
            self._listener = None

    def accept(self, listener: socket.socket) -> _connection.Connection | None:
        """Return the next pending connection, or None.

        Raises OSError, mostly if descriptors or memory are used up.
        """
        take = super()._from_server_socket  # type: ignore[misc]
        accepted: _connection.Connection | None = take(listener)
        return accepted

    def _from_server_socket(
        self, listener: socket.socket | None
    ) -> _connection.Connection | None:
        # A drain removes the listener while the selector may report it.
        if listener is None:
            return None
        try:
            return self.accept(listener)
        except OSError as error:
            return self._accept_after(error, listener)

    def _accept_after(
        self, error: OSError, listener: socket.socket
    ) -> _connection.Connection | None:
        """Accept in place of an idle connection, or pause."""
        evicted = error.errno in NO_DESCRIPTORS and self.evict(idle_only=True)
        self._record_failure(error, idle_connection_closed=evicted)
        if evicted:
            try:
                return self.accept(listener)
            except OSError as again:
                self._record_failure(again, idle_connection_closed=False)
        self._pause()
        return None

    def _record_failure(self, error: OSError, **details: object) -> None:
        port = self.server.bind_addr[1]
        self._accept_failures.record(error, port=port, **details)

    def _pause(self) -> None:
        """Accept no connections for a while, and serve the others."""
        with self._listener_lock:
            if self._listener is not None and self._resume_s is None:
                self._selector.unregister(self._listener.fileno())
                self._resume_s = time.monotonic() + ACCEPT_PAUSE_S

    def _resume(self) -> None:
        """Accept connections again at the end of a pause."""
        with self._listener_lock:
            if self._listener is None or self._resume_s is None:
                return
            if time.monotonic() < self._resume_s:
                return
            try:
                self._selector.register(
                    self._listener.fileno(),
                    selectors.EVENT_READ,
                    data=self.server,
                )
            except OSError as error:
                # The next expiration tries again.
                self._record_failure(error)
                return
            self._resume_s = None

    def put(self, conn: _connection.Connection) -> None:
        """Wait for the next request on a connection."""
        # Unlike in the library, not the time of day, which may be set.
        conn.last_used = time.monotonic()
        if conn.rfile.has_data():
            self.server.process_conn(conn)
            return
        self._selector.register(
            conn.socket.fileno(), selectors.EVENT_READ, data=conn
        )

    def _run(self, expiration_interval: float) -> None:
        """Pass on connections with data until the server stops.

        The loop of the library measures its interval by the time of day,
        so that no time-out is due for as long as the clock was set back.
        """
        expired_s = time.monotonic()
        while not self._stop_requested:
            try:
                ready = self._selector.select(timeout=expiration_interval)
            except OSError:
                self._remove_invalid_sockets()
                continue
            for descriptor, connection in ready:
                if connection is not self.server:
                    self._selector.unregister(descriptor)
                else:
                    connection = self._from_server_socket(self.server.socket)
                if connection is not None:
                    self.server.process_conn(connection)
            now_s = time.monotonic()
            if now_s - expired_s > expiration_interval:
                self._expire(now_s - self.server.timeout)
                expired_s = now_s

    def park(self, connection: _connection.Connection) -> None:
        """Wait for the rest of a request."""
        if connection.request_began_s is None:
            connection.request_began_s = time.monotonic()
        self._selector.register(
            connection.socket.fileno(), selectors.EVENT_READ, data=connection
        )

    def evict(self, peer: str = '', idle_only: bool = False) -> bool:
        """Close the connection that has waited longest, of a peer if given.

        Connections without a request go before those with a part of one,
        which stay if ``idle_only``. Returns whether there was one.
        """
        for descriptor, connection in sorted(self._waiting(), key=_wait_key):
            is_candidate = not peer or connection.remote_addr == peer
            if idle_only and connection.request_began_s is not None:
                is_candidate = False
            # One with data may already be among those that are served next.
            if is_candidate and not connection.can_read():
                self._selector.unregister(descriptor)
                connection.close()
                return True
        return False

    def close(self) -> None:
        """Serve requests that are arriving and close idle connections."""
        limits = self.server.limits
        wait_s = min(limits.arrival_ms / 1000, self.server.shutdown_timeout)
        end_s = time.monotonic() + wait_s
        self._pass_on(0)
        while time.monotonic() < end_s and any(
            connection.request_began_s is not None
            for _, connection in self._waiting()
        ):
            self._pass_on(CLOSE_POLL_S)
        super().close()

    def _pass_on(self, timeout_s: float) -> None:
        for descriptor, connection in list(self._selector.select(timeout_s)):
            if connection is not self.server:
                self._selector.unregister(descriptor)
                self.server.process_conn(connection)

    def _expire(self, threshold: float) -> None:
        """Give up idle connections, late requests and slow answers.

        The library calls this periodically, also while nothing arrives.
        """
        self._resume()
        limits = self.server.limits
        now_s = time.monotonic()
        idle_since_s = now_s - limits.idle_ms / 1000
        began_before_s = now_s - limits.arrival_ms / 1000
        for descriptor, connection in self._waiting():
            began_s = connection.request_began_s
            if began_s is None and connection.last_used < idle_since_s:
                self._selector.unregister(descriptor)
                connection.close()
            elif began_s is not None and began_s < began_before_s:
                self._selector.unregister(descriptor)
                self.server.time_out(connection)
        if limits.answer_ms:
            self.server.abort_answers(now_s - limits.answer_ms / 1000)

    def _waiting(self) -> list[tuple[int, typing.Any]]:
        return [
            (descriptor, connection)
            for descriptor, connection in self._selector.connections
            if connection is not self.server
        ]


def _wait_key(entry: tuple[int, typing.Any]) -> tuple[bool, float]:
    _, connection = entry
    began_s = connection.request_began_s
    if began_s is None:
        return False, connection.last_used
    return True, began_s
