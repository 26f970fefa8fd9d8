"""HTTP client for calls to workers.

Each worker has a pool of connections, so that this gateway never holds more
than its share of the connections that the worker accepts from all gateways,
idle ones included. The client never resends a request by itself: whether a
retry is safe is up to the caller.
"""

import collections
import collections.abc
import contextlib
import dataclasses
import threading
import time

import pycurl

from dandeliondrum.gateway import _options
from dandeliondrum import utils

CONNECT_TIMEOUT_MS = 1_000
POOL_WAIT_MS = 5_000
BUFFERED_MAX_BYTES = _options.MIB_BYTES
CURL_BUFFER_BYTES = 256 * 1024
CONTENT_TYPE = 'Content-Type'


def never_abandoned() -> bool:
    """Return False, so that the call is never abandoned early."""
    return False


@dataclasses.dataclass(frozen=True)
class WorkerRequest:
    """One call to a worker.

    The call is aborted if no data is transferred for ``silence_ms``. It is
    also aborted if ``is_abandoned`` returns True before a status line arrived,
    because a newer event has made the reply useless to the caller;
    ``is_abandoned`` is called about once a second. ``timeout_ms`` limits the
    duration of the whole call; 0 means no limit. Without ``reads_headers``
    the reply has no headers, which makes the call cheaper, and a body of
    more than BUFFERED_MAX_BYTES is truncated.
    """

    method: str
    address: str
    path: str
    silence_ms: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    is_abandoned: collections.abc.Callable[[], bool] = never_abandoned
    timeout_ms: int = 0
    reads_headers: bool = True

    def needs_progress(self) -> bool:
        """Return whether the call may be aborted before ``timeout_ms``."""
        return (
            self.is_abandoned is not never_abandoned
            or not 0 < self.timeout_ms <= self.silence_ms
        )


@dataclasses.dataclass(frozen=True)
class Head:
    """Status and headers of a worker's reply; header names in lower case."""

    status: int
    headers: collections.abc.Mapping[str, str]

    def length_bytes(self) -> int | None:
        """Return the declared body length, or None without a valid one."""
        text = self.headers.get('content-length', '')
        is_valid = text.isascii() and text.isdigit() and len(text) <= 18
        return int(text) if is_valid else None


@dataclasses.dataclass(frozen=True)
class WorkerReply:
    """Reply of a worker whose headers arrived.

    ``complete`` is false if the body was truncated or rejected by the writer.
    ``body`` is empty if the body was passed to a writer, in which case
    ``streamed`` is true.
    """

    head: Head
    body: bytes
    complete: bool
    streamed: bool = False


@dataclasses.dataclass(frozen=True)
class NotSent:
    """The request was not sent, so the worker has not seen it."""

    reason: str


@dataclasses.dataclass(frozen=True)
class NoReply:
    """The request may have reached the worker, but no headers came back."""

    reason: str


Outcome = WorkerReply | NotSent | NoReply
# Handles a chunk of a large body; returns False to abort the transfer.
Writer = collections.abc.Callable[[bytes], bool]
# Called once for a body of more than BUFFERED_MAX_BYTES.
OpenWriter = collections.abc.Callable[[Head], Writer]


def discard_body(_head: Head) -> Writer:
    """Return a writer that aborts the transfer of a large body."""
    return lambda _chunk: False


class WorkerClient:
    """Calls workers, with at most ``connections_max`` connections to each."""

    def __init__(self, connections_max: int) -> None:
        self._connections_max = connections_max
        self._lock = threading.Lock()
        self._pools: dict[str, _ConnectionPool] = {}

    def call(
        self, request: WorkerRequest, open_writer: OpenWriter = discard_body
    ) -> Outcome:
        """Send the request once and read the reply."""
        pool = self._enter_pool(request.address)
        try:
            connection = pool.acquire()
            if connection is None:
                return NotSent('all connections to the worker are in use')
            outcome: Outcome | None = None
            try:
                outcome = connection.call(request, open_writer)
            finally:
                # After a failure the other idle connections are of no use
                # either, and the handle would keep its descriptors.
                pool.release(connection, isinstance(outcome, WorkerReply))
            return outcome
        finally:
            self._leave_pool(pool)

    def _enter_pool(self, address: str) -> '_ConnectionPool':
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = _ConnectionPool(self._connections_max)
                self._pools[address] = pool
            pool.calls_count += 1
        return pool

    def _leave_pool(self, pool: '_ConnectionPool') -> None:
        with self._lock:
            pool.calls_count -= 1

    def close_unused(self, unused_ms: int) -> None:
        """Close the connections that were not used for ``unused_ms``.

        Workers without a connection are forgotten.
        """
        oldest_ms = utils.monotonic_ms() - unused_ms
        with self._lock:
            for address, pool in list(self._pools.items()):
                pool.close_unused(oldest_ms)
                if not pool.calls_count and pool.is_empty():
                    del self._pools[address]

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            pools = list(self._pools.values())
            self._pools.clear()
        for pool in pools:
            pool.close()


class _ConnectionPool:
    """Connections to one worker, the most recently used one first."""

    def __init__(self, connections_max: int) -> None:
        # Guarded by the lock of the client.
        self.calls_count = 0
        self._semaphore = threading.Semaphore(connections_max)
        self._idle: collections.deque[_Connection] = collections.deque()

    def acquire(self) -> '_Connection | None':
        if not self._semaphore.acquire(timeout=POOL_WAIT_MS / 1000):
            return None
        with contextlib.suppress(IndexError):
            return self._idle.pop()
        return _Connection()

    def release(self, connection: '_Connection', is_usable: bool) -> None:
        if is_usable:
            connection.last_used_ms = utils.monotonic_ms()
            self._idle.append(connection)
        else:
            connection.close()
            self.close()
        self._semaphore.release()

    def is_empty(self) -> bool:
        return not self._idle

    def close_unused(self, oldest_ms: int) -> None:
        # Another thread may take the last connection concurrently.
        with contextlib.suppress(IndexError):
            while self._idle[0].last_used_ms <= oldest_ms:
                self._idle.popleft().close()

    def close(self) -> None:
        with contextlib.suppress(IndexError):
            while True:
                self._idle.pop().close()


class _Connection:
    """A curl handle, and the exchange that it carries out at the moment.

    Calls to one worker are much alike, so the options of the handle are kept
    from call to call as far as they don't change: setting all of them takes a
    fifth of the processor time of a call.
    """

    def __init__(self) -> None:
        self.last_used_ms = 0
        self._handle = pycurl.Curl()
        # The request whose options are set, and the ones set for each call.
        self._kind: tuple[object, ...] = ()
        self._timeout_ms = 0
        self._url = ''
        self._exchange = _NO_EXCHANGE

    def close(self) -> None:
        self._handle.close()

    def call(self, request: WorkerRequest, open_writer: OpenWriter) -> Outcome:
        exchange = self._exchange = _Exchange(request, open_writer)
        try:
            self._prepare(request)
        except (ValueError, pycurl.error) as problem:
            self._kind = ()
            return NotSent(f'invalid request: {problem}')
        try:
            self._handle.perform()
            error = ''
        except pycurl.error as failure:
            error = str(failure.args[1] or failure.args[0])
        if not request.reads_headers:
            exchange.status = self._handle.getinfo(pycurl.RESPONSE_CODE)
        # The connection may be idle for long.
        self._exchange = _NO_EXCHANGE
        return exchange.outcome(error)

    def _prepare(self, request: WorkerRequest) -> None:
        curl = self._handle
        kind = (
            request.method,
            request.headers,
            request.reads_headers,
            request.needs_progress(),
        )
        if kind != self._kind:
            self._set_all(request)
            self._kind = kind
        url = f'http://{request.address}{request.path}'
        if url != self._url:
            curl.setopt(pycurl.URL, url)
            self._url = url
        if request.timeout_ms != self._timeout_ms:
            curl.setopt(pycurl.TIMEOUT_MS, request.timeout_ms)
            self._timeout_ms = request.timeout_ms
        if request.method == 'POST':
            curl.setopt(pycurl.POSTFIELDS, request.body)

    def _set_all(self, request: WorkerRequest) -> None:
        """Set all options but those that differ between similar calls."""
        curl = self._handle
        curl.reset()
        self._url, self._timeout_ms = '', 0
        for option, value in (
            (pycurl.PROXY, ''),
            (pycurl.NOSIGNAL, 1),
            (pycurl.USERAGENT, 'dandeliondrum'),
            (pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1),
            (pycurl.MAXCONNECTS, 1),
            (pycurl.BUFFERSIZE, CURL_BUFFER_BYTES),
            (pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS),
            (pycurl.TCP_KEEPALIVE, 1),
            (pycurl.HTTPHEADER, _header_lines(request)),
            (pycurl.WRITEFUNCTION, self._on_body),
            (pycurl.PREREQFUNCTION, self._on_request_start),
        ):
            curl.setopt(option, value)
        # Each callback takes the interpreter's lock, several times a call.
        if request.reads_headers:
            curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        if request.needs_progress():
            curl.setopt(pycurl.XFERINFOFUNCTION, self._on_progress)
            curl.setopt(pycurl.NOPROGRESS, 0)
        if request.method == 'POST':
            curl.setopt(pycurl.POST, 1)
        elif request.method != 'GET':
            curl.setopt(pycurl.CUSTOMREQUEST, request.method)

    def _on_request_start(self, *_addresses: object) -> int:
        return self._exchange.on_request_start()

    def _on_header(self, line: bytes) -> None:
        self._exchange.on_header(line)

    def _on_body(self, chunk: bytes) -> int:
        return self._exchange.on_body(chunk)

    def _on_progress(
        self, _down_total: int, down: int, _up_total: int, up: int
    ) -> int:
        return self._exchange.on_progress(down + up)


class _Exchange:
    """One request and its reply."""

    def __init__(
        self, request: WorkerRequest, open_writer: OpenWriter
    ) -> None:
        self.status = 0
        self._request = request
        self._open_writer = open_writer
        self._sent_count = 0
        self._headers: dict[str, str] = {}
        self._head: Head | None = None
        self._body = bytearray()
        self._writer: Writer | None = None
        self._transferred_bytes = 0.0
        self._last_transfer_s = time.monotonic()

    def outcome(self, error: str) -> Outcome:
        """Return what came of the request; ``error`` is '' if all arrived."""
        if self._head is None and self.status >= 200:
            if self._body or not error:
                self._head = Head(self.status, self._headers)
        if self._head is not None:
            return WorkerReply(
                self._head,
                bytes(self._body),
                complete=not error,
                streamed=self._writer is not None,
            )
        if self._sent_count == 0:
            return NotSent(error)
        return NoReply(error)

    def on_request_start(self) -> int:
        """Count how often the request is sent; abort a resend by curl."""
        self._sent_count += 1
        if self._sent_count > 1:
            return pycurl.PREREQFUNC_ABORT
        return pycurl.PREREQFUNC_OK

    def on_header(self, line: bytes) -> None:
        """Read a line of the head."""
        text = line.decode('latin-1').strip()
        if text.startswith('HTTP/'):
            self.status = int(text.split()[1])
            self._headers = {}
        elif text:
            name, _, value = text.partition(':')
            self._headers[name.strip().lower()] = value.strip()
        elif self.status >= 200:
            self._head = Head(self.status, self._headers)

    def on_body(self, chunk: bytes) -> int:
        """Take a chunk; return its length, or 0 to end the transfer."""
        if not self._request.reads_headers:
            if len(self._body) + len(chunk) > BUFFERED_MAX_BYTES:
                return 0
            self._body += chunk
            return len(chunk)
        if self._head is None:
            return 0
        if self._writer is None:
            length_bytes = self._head.length_bytes() or 0
            arrived_bytes = len(self._body) + len(chunk)
            if max(length_bytes, arrived_bytes) <= BUFFERED_MAX_BYTES:
                self._body += chunk
                return len(chunk)
            self._writer = self._open_writer(self._head)
            if self._body:
                buffered = bytes(self._body)
                self._body.clear()
                if not self._writer(buffered):
                    return 0
        return len(chunk) if self._writer(chunk) else 0

    def on_progress(self, transferred_bytes: int) -> int:
        """Return 1 to end the transfer, 0 to go on."""
        if self.status == 0 and self._request.is_abandoned():
            return 1
        now_s = time.monotonic()
        if transferred_bytes != self._transferred_bytes:
            self._transferred_bytes = transferred_bytes
            self._last_transfer_s = now_s
            return 0
        idle_ms = (now_s - self._last_transfer_s) * 1000
        return 1 if idle_ms > self._request.silence_ms else 0


_NO_EXCHANGE = _Exchange(WorkerRequest('GET', '', '', 0), discard_body)


def _header_lines(request: WorkerRequest) -> list[bytes]:
    lines = [f'{name}: {value}'.encode() for name, value in request.headers]
    if any(b'\r' in line or b'\n' in line for line in lines):
        raise ValueError('a header has several lines')
    if not any(name == CONTENT_TYPE for name, _ in request.headers):
        lines.append(b'Content-Type: application/octet-stream')
    # An empty Expect header avoids the extra round trip of "100 Continue".
    return [*lines, b'Expect:']
