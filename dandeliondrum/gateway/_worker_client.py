"""HTTP calls to workers.

The handles of one worker form a pool, so that this gateway never holds more
connections to it than its part, idle ones included. No call is sent twice
without the caller of this module knowing it.
"""

import collections.abc
import contextlib
import dataclasses
import threading
import time
import typing

import pycurl

from dandeliondrum.gateway import _options
from dandeliondrum import utils

CONNECT_TIMEOUT_MS = 1_000
POOL_WAIT_MS = 5_000
BUFFERED_MAX_BYTES = _options.MIB_BYTES
CURL_BUFFER_BYTES = 256 * 1024
CONTENT_TYPE = 'Content-Type'


def never() -> bool:
    """Keep waiting for an answer, whatever else happens."""
    return False


@dataclasses.dataclass(frozen=True)
class WorkerRequest:
    """One call to a worker.

    A call on which nothing moves for ``silence_ms`` is given up. So is one
    that has no answer yet once ``given_up`` says that its caller has better
    news; it is asked about once a second. The whole call ends after
    ``timeout_ms``, unless that is 0.
    """

    method: str
    address: str
    path: str
    silence_ms: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    given_up: collections.abc.Callable[[], bool] = never
    timeout_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Head:
    """Status and headers of a worker's answer; names in lower case."""

    status: int
    headers: collections.abc.Mapping[str, str]

    def length_bytes(self) -> int | None:
        """Return the declared length of the body, if there is a valid one."""
        text = self.headers.get('content-length', '')
        return int(text) if text.isdigit() else None


@dataclasses.dataclass(frozen=True)
class WorkerReply:
    """An answer whose head arrived.

    ``whole`` is false when the body was cut or was refused by the writer;
    ``body`` is empty when the body went to a writer.
    """

    head: Head
    body: bytes
    whole: bool
    streamed: bool = False


@dataclasses.dataclass(frozen=True)
class NotSent:
    """Nothing of the call reached the worker."""

    reason: str


@dataclasses.dataclass(frozen=True)
class NoAnswer:
    """The call may have reached the worker; no head came back."""

    reason: str


Outcome = WorkerReply | NotSent | NoAnswer
# Takes a chunk of a large body; false to give the transfer up.
Writer = collections.abc.Callable[[bytes], bool]
# Asked once for a body of more than BUFFERED_MAX_BYTES.
OpenWriter = collections.abc.Callable[[Head], Writer]


def discard(_head: Head) -> Writer:
    """Give up a large body that nobody reads."""
    return lambda _chunk: False


class WorkerClient:
    """Calls workers, over at most ``connections_max`` to each."""

    def __init__(self, connections_max: int) -> None:
        self._connections_max = connections_max
        self._lock = threading.Lock()
        self._pools: dict[str, _Pool] = {}

    def call(
        self, request: WorkerRequest, open_writer: OpenWriter = discard
    ) -> Outcome:
        """Send the call once and read its answer."""
        with self._lock:
            pool = self._pools.get(request.address)
            if pool is None:
                pool = _Pool(self._connections_max)
                self._pools[request.address] = pool
        handle = pool.take()
        if handle is None:
            return NotSent('no connection to the worker is free')
        try:
            return _Exchange(handle, request, open_writer).run()
        finally:
            pool.give_back(handle)

    def close_unused(self, unused_ms: int) -> None:
        """Close connections to workers that were not called that long."""
        with self._lock:
            pools = list(self._pools.values())
        oldest_ms = utils.monotonic_ms() - unused_ms
        for pool in pools:
            if pool.used_ms <= oldest_ms:
                pool.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            pools = list(self._pools.values())
            self._pools.clear()
        for pool in pools:
            pool.close()


class _Pool:
    """Handles of one worker, the last used first."""

    def __init__(self, connections_max: int) -> None:
        self.used_ms = utils.monotonic_ms()
        self._slots = threading.Semaphore(connections_max)
        self._idle: list[typing.Any] = []

    def take(self) -> typing.Any:
        if not self._slots.acquire(timeout=POOL_WAIT_MS / 1000):
            return None
        with contextlib.suppress(IndexError):
            return self._idle.pop()
        return pycurl.Curl()

    def give_back(self, handle: typing.Any) -> None:
        self.used_ms = utils.monotonic_ms()
        self._idle.append(handle)
        self._slots.release()

    def close(self) -> None:
        # Another thread may take the last handle at the same time.
        with contextlib.suppress(IndexError):
            while True:
                self._idle.pop().close()


class _Exchange:
    """One request and its answer on one handle."""

    def __init__(
        self,
        handle: typing.Any,
        request: WorkerRequest,
        open_writer: OpenWriter,
    ) -> None:
        self._handle = handle
        self._request = request
        self._open_writer = open_writer
        self._sendings_count = 0
        self._status = 0
        self._headers: dict[str, str] = {}
        self._head: Head | None = None
        self._body = bytearray()
        self._writer: Writer | None = None
        self._moved_bytes = 0.0
        self._moved_s = time.monotonic()

    def run(self) -> Outcome:
        self._prepare()
        try:
            self._handle.perform()
            error = ''
        except pycurl.error as failure:
            error = str(failure.args[1] or failure.args[0])
        if self._head is None and self._status >= 200 and not error:
            self._head = Head(self._status, self._headers)
        if self._head is not None:
            return WorkerReply(
                self._head,
                bytes(self._body),
                whole=not error,
                streamed=self._writer is not None,
            )
        if self._sendings_count == 0:
            return NotSent(error)
        return NoAnswer(error)

    def _prepare(self) -> None:
        curl = self._handle
        curl.reset()
        request = self._request
        for option, value in (
            (pycurl.URL, f'http://{request.address}{request.path}'),
            (pycurl.PROXY, ''),
            (pycurl.NOSIGNAL, 1),
            (pycurl.USERAGENT, 'dandeliondrum'),
            (pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1),
            (pycurl.MAXCONNECTS, 1),
            (pycurl.BUFFERSIZE, CURL_BUFFER_BYTES),
            (pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS),
            (pycurl.TIMEOUT_MS, request.timeout_ms),
            (pycurl.TCP_KEEPALIVE, 1),
            (pycurl.HTTPHEADER, self._header_lines()),
            (pycurl.HEADERFUNCTION, self._on_header),
            (pycurl.WRITEFUNCTION, self._on_body),
            (pycurl.PREREQFUNCTION, self._on_sending),
            (pycurl.XFERINFOFUNCTION, self._on_progress),
            (pycurl.NOPROGRESS, 0),
        ):
            curl.setopt(option, value)
        if request.method == 'POST':
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDS, request.body)
        elif request.method != 'GET':
            curl.setopt(pycurl.CUSTOMREQUEST, request.method)

    def _header_lines(self) -> list[bytes]:
        lines = [
            f'{name}: {value}'.encode()
            for name, value in self._request.headers
        ]
        if not any(name == CONTENT_TYPE for name, _ in self._request.headers):
            lines.append(b'Content-Type: application/octet-stream')
        # Without the handshake of Expect a start costs one trip only.
        return [*lines, b'Expect:']

    def _on_sending(self, *_addresses: object) -> int:
        """Count sendings; the library may not repeat one by itself."""
        self._sendings_count += 1
        if self._sendings_count > 1:
            return pycurl.PREREQFUNC_ABORT
        return pycurl.PREREQFUNC_OK

    def _on_header(self, line: bytes) -> None:
        text = line.decode('latin-1').strip()
        if text.startswith('HTTP/'):
            self._status = int(text.split()[1])
            self._headers = {}
        elif text:
            name, _, value = text.partition(':')
            self._headers[name.strip().lower()] = value.strip()
        elif self._status >= 200:
            self._head = Head(self._status, self._headers)

    def _on_body(self, chunk: bytes) -> int:
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
                chunk_before = bytes(self._body)
                self._body.clear()
                if not self._writer(chunk_before):
                    return 0
        return len(chunk) if self._writer(chunk) else 0

    def _on_progress(
        self, _down_total: int, down: int, _up_total: int, up: int
    ) -> int:
        if self._status == 0 and self._request.given_up():
            return 1
        moved_bytes = down + up
        now_s = time.monotonic()
        if moved_bytes != self._moved_bytes:
            self._moved_bytes = moved_bytes
            self._moved_s = now_s
            return 0
        silent_ms = (now_s - self._moved_s) * 1000
        return 1 if silent_ms > self._request.silence_ms else 0
