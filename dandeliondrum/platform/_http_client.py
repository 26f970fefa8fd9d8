"""HTTP/1.1 client for frequent calls with small bodies to many addresses.

The leader calls each worker several times a second from many threads. This
client takes a fraction of the processor time of a general one: a request is
one system call, and a reply usually one more.
"""

import collections.abc
import contextlib
import math
import select
import socket
import threading
import time

from dandeliondrum import gateway
from dandeliondrum import transport

CONNECT_TIMEOUT_MS = 1_000
HEAD_MAX_BYTES = 32 * 1024
BODY_MAX_BYTES = 1024 * 1024
RECEIVE_BYTES = 64 * 1024
CHUNK_LINE_MAX_BYTES = 1_024

_HEAD_END = b'\r\n\r\n'
_LINE_END = b'\r\n'
_FIRST_FINAL_STATUS = 200
_STATUSES_WITHOUT_BODY = frozenset({204, 304})

Headers = collections.abc.Iterable[tuple[str, str]]


class _ReplyError(Exception):
    """The reply ended early or is not valid."""


class HttpClient:
    """Sends requests, over at most ``connections_max`` connections each.

    Connections are kept and reused. A request is never sent twice.
    """

    def __init__(self, connections_max: int) -> None:
        self._connections_max = connections_max
        self._lock = threading.Lock()
        self._pools: dict[str, _Pool] = {}

    def post(
        self,
        address: str,
        path: str,
        headers: Headers,
        body: bytes,
        timeout_ms: int,
    ) -> gateway.Outcome:
        """Send a request once; return its reply within ``timeout_ms``.

        ``address`` is ``host:port`` with a numeric host.
        """
        deadline_s = time.monotonic() + timeout_ms / 1000
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = _Pool(address, self._connections_max)
                self._pools[address] = pool
        try:
            request = _format_request(address, path, headers, body)
            connection = pool.take(deadline_s)
        except (OSError, ValueError) as error:
            return gateway.NotSent(str(error))
        reply = _Reply(connection, deadline_s)
        try:
            return reply.exchange(request)
        finally:
            pool.give_back(connection, reply.connection_reusable)

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            pools = list(self._pools.values())
            self._pools.clear()
        for pool in pools:
            pool.close()


class _Pool:
    """Connections to one address, the most recently used one first."""

    def __init__(self, address: str, connections_max: int) -> None:
        self._address = address
        self._slots = threading.Semaphore(connections_max)
        self._idle: list[_Connection] = []
        self._closed = False

    def take(self, deadline_s: float) -> '_Connection':
        """Return a connection; raises OSError or ValueError."""
        if not self._slots.acquire(timeout=_left_s(deadline_s)):
            raise TimeoutError('all connections are in use')
        with contextlib.ExitStack() as undo:
            undo.callback(self._slots.release)
            connection = self._take_idle() or self._connect(deadline_s)
            undo.pop_all()
        return connection

    def give_back(self, connection: '_Connection', reusable: bool) -> None:
        if reusable and not self._closed:
            self._idle.append(connection)
        else:
            connection.close()
        self._slots.release()

    def close(self) -> None:
        self._closed = True
        # Another thread may take the last connection concurrently.
        with contextlib.suppress(IndexError):
            while True:
                self._idle.pop().close()

    def _take_idle(self) -> '_Connection | None':
        with contextlib.suppress(IndexError):
            while True:
                connection = self._idle.pop()
                if connection.is_idle():
                    return connection
                connection.close()
        return None

    def _connect(self, deadline_s: float) -> '_Connection':
        return _Connection(
            self._address,
            min(_left_s(deadline_s), CONNECT_TIMEOUT_MS / 1000),
        )


class _Connection:
    """A non-blocking socket with deadlines.

    Each system call releases the interpreter's lock, which costs more than
    the call itself if many threads need it, so there are few.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self._socket = socket.create_connection(
            transport.parse_address(address), timeout_s
        )
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket.setblocking(False)
        self._readable = select.poll()
        self._readable.register(self._socket, select.POLLIN)

    def is_idle(self) -> bool:
        """Return whether the connection is open and nothing has arrived."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(self, data: bytes, deadline_s: float) -> None:
        """Send all data; raises OSError."""
        while data:
            try:
                sent_bytes = self._socket.send(data)
            except BlockingIOError:
                writable = select.poll()
                writable.register(self._socket, select.POLLOUT)
                _wait(writable, deadline_s)
            else:
                data = data[sent_bytes:]

    def receive(self, deadline_s: float) -> bytes:
        """Return what arrives next, b'' at the end; raises OSError."""
        _wait(self._readable, deadline_s)
        return self._socket.recv(RECEIVE_BYTES)

    def close(self) -> None:
        self._socket.close()


class _Reply:
    """One exchange on a connection, with the bytes received so far."""

    def __init__(self, connection: _Connection, deadline_s: float) -> None:
        self.connection_reusable = False
        self._connection = connection
        self._deadline_s = deadline_s
        self._received = b''
        self._body = b''
        self._http_1_0 = False

    def exchange(self, request: bytes) -> gateway.Outcome:
        head: gateway.Head | None = None
        try:
            self._connection.send(request, self._deadline_s)
            head = self._read_head()
            self._read_body(head)
        except (OSError, ValueError, _ReplyError) as error:
            if head is None:
                return gateway.NoReply(str(error))
            return gateway.WorkerReply(head, self._body, complete=False)
        return gateway.WorkerReply(head, self._body, complete=True)

    def _read_head(self) -> gateway.Head:
        """Read the status and headers, without interim replies."""
        while True:
            text = self._read_until(_HEAD_END, HEAD_MAX_BYTES)
            first, *lines = text.decode('latin-1').split('\r\n')
            version, status = first.split(None, 2)[:2]
            if not version.startswith('HTTP/1.'):
                raise _ReplyError('not an HTTP/1 reply')
            headers = {}
            for line in lines:
                name, _, value = line.partition(':')
                headers[name.strip().lower()] = value.strip()
            if int(status) >= _FIRST_FINAL_STATUS:
                self._http_1_0 = version == 'HTTP/1.0'
                return gateway.Head(int(status), headers)

    def _read_body(self, head: gateway.Head) -> None:
        headers = head.headers
        reusable = not self._http_1_0 and (
            headers.get('connection', '').lower() != 'close'
        )
        if head.status in _STATUSES_WITHOUT_BODY:
            pass
        elif headers.get('transfer-encoding', '').lower() == 'chunked':
            self._read_chunks()
        elif 'content-length' in headers:
            self._append(self._read(int(headers['content-length'])))
        else:
            self._read_to_end()
            return
        # Anything beyond the body belongs to no request.
        self.connection_reusable = reusable and not self._received

    def _read_chunks(self) -> None:
        while True:
            line = self._read_until(_LINE_END, CHUNK_LINE_MAX_BYTES)
            length = int(line.split(b';')[0], 16)
            if not length:
                break
            self._append(self._read(length))
            if self._read(len(_LINE_END)) != _LINE_END:
                raise _ReplyError('invalid chunk')
        while self._read_until(_LINE_END, HEAD_MAX_BYTES):
            pass

    def _read_to_end(self) -> None:
        while True:
            self._append(self._received)
            self._received = b''
            try:
                self._receive()
            except EOFError:
                return

    def _append(self, part: bytes) -> None:
        if len(self._body) + len(part) > BODY_MAX_BYTES:
            raise _ReplyError('body too long')
        self._body += part

    def _read_until(self, end: bytes, max_bytes: int) -> bytes:
        """Return the bytes up to ``end`` and remove them and ``end``."""
        while (position := self._received.find(end)) < 0:
            if len(self._received) > max_bytes:
                raise _ReplyError('header too long')
            self._receive_more()
        found = self._received[:position]
        self._received = self._received[position + len(end) :]
        return found

    def _read(self, length: int) -> bytes:
        if not 0 <= length <= BODY_MAX_BYTES:
            raise _ReplyError('invalid length')
        while len(self._received) < length:
            self._receive_more()
        found = self._received[:length]
        self._received = self._received[length:]
        return found

    def _receive_more(self) -> None:
        try:
            self._receive()
        except EOFError as error:
            raise _ReplyError('connection closed') from error

    def _receive(self) -> None:
        data = self._connection.receive(self._deadline_s)
        if not data:
            raise EOFError
        self._received += data


def _format_request(
    address: str, path: str, headers: Headers, body: bytes
) -> bytes:
    lines = [
        f'POST {path} HTTP/1.1',
        f'Host: {address}',
        'User-Agent: dandeliondrum',
        *(f'{name}: {value}' for name, value in headers),
        f'Content-Length: {len(body)}',
    ]
    if any('\r' in line or '\n' in line for line in lines):
        raise ValueError('line break in a header')
    return '\r\n'.join(lines).encode() + _HEAD_END + body


def _wait(poll: select.poll, deadline_s: float) -> None:
    """Wait for a registered event; raises TimeoutError."""
    if not poll.poll(math.ceil(_left_s(deadline_s) * 1000)):
        raise TimeoutError('timed out')


def _left_s(deadline_s: float) -> float:
    """Return the time left; raises TimeoutError if there is none."""
    left_s = deadline_s - time.monotonic()
    if left_s <= 0:
        raise TimeoutError('timed out')
    return left_s
