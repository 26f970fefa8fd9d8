"""Connections and requests of a server."""

import select
import socket
import time
import typing

from cheroot import server as cheroot_server

from dandeliondrum.http_server import _arrival

# The loss of a client's machine is detected within about ten seconds.
KEEPALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 4),
    (socket.TCP_KEEPINTVL, 2),
    (socket.TCP_KEEPCNT, 3),
)
# The library copies what is left to send with each send.
WRITE_BYTES = 64 * 1024


class _HeaderReader(cheroot_server.HeaderReader):
    """Drops Expect: the body has arrived, or was asked for, already."""

    def __call__(self, rfile: typing.Any, hdict: typing.Any = None) -> object:
        fields: typing.Any = super().__call__(rfile, hdict)
        fields.pop(b'Expect', None)
        return fields


class Request(cheroot_server.HTTPRequest):
    """Request that has arrived already, or is not going to."""

    header_reader = _HeaderReader()

    def parse_request(self) -> None:
        """Parse the head, or refuse a head that did not arrive in time."""
        if self.conn.arrival_timed_out and not self.conn.arrival.has_head:
            self.simple_response('408 Request Timeout')
            return
        super().parse_request()
        if not self.conn.arrival.is_whole:
            self.close_connection = True

    def read_request_headers(self) -> bool:
        """Read the header fields; return whether they are valid."""
        if not super().read_request_headers():
            return False
        if int(self.inheaders.get(b'Content-Length', 0)) < 0:
            self.simple_response('400 Bad Request', 'negative length')
            return False
        return True

    def send_headers(self) -> None:
        """Send the head of the response without reading an unread body.

        The library would read what is left of it, in one piece. What has
        arrived is discarded by the connection; what has not closes it.
        """
        if getattr(self.rfile, 'remaining', 0):
            self.rfile.remaining = 0
        self.conn.answer_began_s = time.monotonic()
        super().send_headers()

    def write(self, chunk: bytes) -> None:
        """Write a part of the response, in pieces."""
        for start in range(0, len(chunk), WRITE_BYTES):
            super().write(chunk[start : start + WRITE_BYTES])


class Connection(cheroot_server.HTTPConnection):
    """Connection that occupies a thread only with a complete request."""

    RequestHandlerClass = Request

    def __init__(self, server: typing.Any, sock: socket.socket, *_: object):
        super().__init__(server, sock)
        # These caches refer to the connection, which would only be freed by
        # the garbage collector.
        del self.resolve_peer_creds, self.get_peer_creds
        self.arrival = _arrival.Arrival(sock, server.limits, server.budget)
        self.rfile = _arrival.Reader(self.arrival)
        self.arrival_timed_out = False
        # When the first byte of a request that is not complete arrived.
        self.request_began_s: float | None = None
        self.answer_began_s: float | None = None
        for option, value in KEEPALIVE_OPTIONS:
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

    def peer_closed(self) -> bool:
        """Return whether the peer has closed the connection or it was lost."""
        return bool(self._poll(select.POLLRDHUP))

    def can_write(self) -> bool:
        """Return whether the peer has room for another answer."""
        return bool(self._poll(select.POLLOUT))

    def can_read(self) -> bool:
        """Return whether something has arrived, or the peer has closed."""
        return bool(self._poll(select.POLLIN | select.POLLRDHUP))

    def communicate(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        self.rfile = _arrival.Reader(self.arrival)
        try:
            stays_open = bool(super().communicate())
            return stays_open and not self.arrival_timed_out
        finally:
            self.answer_began_s = None
            self.request_began_s = None
            self.arrival.next_request()

    def close(self) -> None:
        """Close the connection."""
        self.server.forget(self)
        super().close()
        self.arrival.discard()

    def abort(self) -> None:
        """Cut the connection, to wake the thread that writes to it."""
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer has closed it already.
            return

    def _poll(self, events: int) -> int:
        poll = select.poll()
        try:
            poll.register(self.socket, events)
        except (OSError, ValueError):
            return select.POLLHUP
        return sum(found for _, found in poll.poll(0))
