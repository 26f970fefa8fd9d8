"""The side of a gateway that workers talk to, steered by a test."""

import collections.abc
import contextlib
import dataclasses
import threading
import time
import typing

from cheroot import wsgi
import werkzeug

from dandeliondrum import messages
from dandeliondrum import transport
from dandeliondrum import worker

POLL_S = 0.01

_THREADS = 8


@dataclasses.dataclass(frozen=True)
class SeenHeartbeat:
    """A heartbeat and when it came, by the monotonic clock."""

    at_ms: float
    heartbeat: messages.WorkerHeartbeat


class FakeGateway:
    """Answers announcements and heartbeats and keeps what it heard.

    ``answering`` cleared makes it fail every call. What ``reply_with`` gets
    goes into each answer to a heartbeat until it is changed.

    Example::

        with testing.FakeGateway() as gateway:
            worker.Worker(Options(..., gateways=(gateway.url,))).start()
            facts = gateway.wait_for_announcement(5_000)
    """

    def __init__(self, address: str = '127.0.0.1:0') -> None:
        self.answering = True
        self.answer_delay_ms = 0
        self.url = ''
        self._orders = messages.WorkerHeartbeatReply(messages.WorkerId(''))
        self._lock = threading.Lock()
        self._announced: list[messages.WorkerFacts] = []
        self._heartbeats: list[SeenHeartbeat] = []
        self._left: list[messages.WorkerId] = []
        self._bad: list[str] = []
        self._server = wsgi.Server(
            transport.parse_address(address),
            self._respond,
            numthreads=_THREADS,
            request_queue_size=128,
            shutdown_timeout=1,
        )
        self._server.expiration_interval = POLL_S
        self._thread = threading.Thread(
            target=self._server.serve, name='fake-gateway'
        )

    def __enter__(self) -> 'FakeGateway':
        self._server.prepare()
        self._thread.start()
        host, port = self._server.socket.getsockname()[:2]
        self.url = f'http://{host}:{port}'
        return self

    def __exit__(self, *_: object) -> None:
        self._server.stop()
        self._thread.join()

    def reply_with(self, **orders: typing.Any) -> None:
        """Set what the next heartbeats are answered with."""
        with self._lock:
            self._orders = messages.WorkerHeartbeatReply(
                messages.WorkerId(''), **orders
            )

    @property
    def announced(self) -> tuple[messages.WorkerFacts, ...]:
        """All announcements, oldest first."""
        with self._lock:
            return tuple(self._announced)

    @property
    def heartbeats(self) -> tuple[SeenHeartbeat, ...]:
        """All heartbeats, oldest first."""
        with self._lock:
            return tuple(self._heartbeats)

    @property
    def left(self) -> tuple[messages.WorkerId, ...]:
        """The workers that said that they leave."""
        with self._lock:
            return tuple(self._left)

    @property
    def bad(self) -> tuple[str, ...]:
        """What was wrong with calls that could not be read."""
        with self._lock:
            return tuple(self._bad)

    def wait_for_announcement(
        self, timeout_ms: int, count: int = 1
    ) -> messages.WorkerFacts | None:
        """Wait for so many announcements; the last, or None."""
        if wait_for(lambda: len(self.announced) >= count, timeout_ms):
            return self.announced[-1]
        return None

    def wait_for_heartbeat(
        self,
        matches: collections.abc.Callable[[messages.WorkerHeartbeat], bool],
        timeout_ms: int,
        after_ms: float = 0,
    ) -> messages.WorkerHeartbeat | None:
        """Wait for a heartbeat that matches; None when none came."""
        found: list[messages.WorkerHeartbeat] = []

        def look() -> bool:
            found.extend(
                seen.heartbeat
                for seen in self.heartbeats
                if seen.at_ms >= after_ms and matches(seen.heartbeat)
            )
            return bool(found)

        return found[0] if wait_for(look, timeout_ms) else None

    def _respond(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> typing.Any:
        response = self._dispatch(werkzeug.Request(environ))
        return response(environ, start_response)

    def _dispatch(self, request: werkzeug.Request) -> werkzeug.Response:
        at_ms = worker.now_ms()
        data = request.get_data()
        if not self.answering:
            return werkzeug.Response('no leader\n', status=503)
        with contextlib.suppress(KeyError):
            kind = _KINDS[request.path]
            message = worker.from_json(data, kind).value_or(None)
            if message is None:
                return self._refuse(request.path, data)
            return self._take(request.path, message, at_ms)
        return self._refuse(request.path, data)

    def _refuse(self, path: str, data: bytes) -> werkzeug.Response:
        with self._lock:
            self._bad.append(f'{path}: {data!r:.200}')
        return werkzeug.Response('bad call\n', status=400)

    def _take(
        self, path: str, message: typing.Any, at_ms: float
    ) -> werkzeug.Response:
        with self._lock:
            match message:
                case messages.WorkerFacts():
                    self._announced.append(message)
                case messages.WorkerHeartbeat():
                    if path.endswith('leave'):
                        self._left.append(message.worker_id)
                    else:
                        self._heartbeats.append(SeenHeartbeat(at_ms, message))
            reply = dataclasses.replace(
                self._orders, worker_id=message.worker_id
            )
        time.sleep(self.answer_delay_ms / 1000)
        if isinstance(message, messages.WorkerFacts):
            return _json(b'{}')
        return _json(worker.to_json(reply))


_KINDS: dict[str, type] = {
    '/v1/workers/announce': messages.WorkerFacts,
    '/v1/workers/heartbeat': messages.WorkerHeartbeat,
    '/v1/workers/leave': messages.WorkerHeartbeat,
}


def wait_for(
    condition: collections.abc.Callable[[], bool], timeout_ms: int
) -> bool:
    """Wait until a condition holds; whether it did in time."""
    deadline_s = time.monotonic() + timeout_ms / 1000
    while not condition():
        if time.monotonic() > deadline_s:
            return False
        time.sleep(POLL_S)
    return True


def _json(body: bytes) -> werkzeug.Response:
    return werkzeug.Response(body, content_type='application/json')
