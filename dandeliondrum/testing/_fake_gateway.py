"""A fake of the gateway endpoints for workers, controlled by a test."""

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

_THREADS_COUNT = 8


@dataclasses.dataclass(frozen=True)
class ReceivedHeartbeat:
    """A received heartbeat and its time of arrival, by the monotonic clock."""

    at_ms: float
    heartbeat: messages.WorkerHeartbeat


class FakeGateway:
    """Answers and records announcements and heartbeats.

    While ``answering`` is false, every call fails with status 503. Replies
    are delayed by ``answer_delay_ms``. The fields set with ``reply_with`` are
    part of every heartbeat reply until they are set again.

    Example::

        with testing.FakeGateway() as gateway:
            worker.Worker(Options(..., gateways=(gateway.url,))).start()
            facts = gateway.wait_for_announcement(5_000)
    """

    def __init__(self, address: str = '127.0.0.1:0') -> None:
        self.answering = True
        self.answer_delay_ms = 0
        self.url = ''
        self._heartbeat_reply = messages.WorkerHeartbeatReply(
            messages.WorkerId('')
        )
        self._lock = threading.Lock()
        self._announced: list[messages.WorkerFacts] = []
        self._heartbeats: list[ReceivedHeartbeat] = []
        self._leaving: list[messages.WorkerId] = []
        self._bad_calls: list[str] = []
        self._server = wsgi.Server(
            transport.parse_address(address),
            self._respond,
            numthreads=_THREADS_COUNT,
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

    def reply_with(self, **fields: typing.Any) -> None:
        """Set the fields of the replies to heartbeats from now on."""
        with self._lock:
            self._heartbeat_reply = messages.WorkerHeartbeatReply(
                messages.WorkerId(''), **fields
            )

    @property
    def announced(self) -> tuple[messages.WorkerFacts, ...]:
        """All announcements, oldest first."""
        with self._lock:
            return tuple(self._announced)

    @property
    def heartbeats(self) -> tuple[ReceivedHeartbeat, ...]:
        """All heartbeats, oldest first."""
        with self._lock:
            return tuple(self._heartbeats)

    @property
    def leaving_workers(self) -> tuple[messages.WorkerId, ...]:
        """The workers that announced that they leave."""
        with self._lock:
            return tuple(self._leaving)

    @property
    def bad_calls(self) -> tuple[str, ...]:
        """Descriptions of the calls that could not be parsed."""
        with self._lock:
            return tuple(self._bad_calls)

    def wait_for_announcement(
        self, timeout_ms: int, count: int = 1
    ) -> messages.WorkerFacts | None:
        """Wait for ``count`` announcements; return the last, or None."""
        if wait_for(lambda: len(self.announced) >= count, timeout_ms):
            return self.announced[-1]
        return None

    def wait_for_heartbeat(
        self,
        matches: collections.abc.Callable[[messages.WorkerHeartbeat], bool],
        timeout_ms: int,
        after_ms: float = 0,
    ) -> messages.WorkerHeartbeat | None:
        """Wait for a matching heartbeat; return None if there is none.

        Heartbeats that arrived before ``after_ms`` are ignored.
        """
        found: list[messages.WorkerHeartbeat] = []

        def find() -> bool:
            found.extend(
                seen.heartbeat
                for seen in self.heartbeats
                if seen.at_ms >= after_ms and matches(seen.heartbeat)
            )
            return bool(found)

        return found[0] if wait_for(find, timeout_ms) else None

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
            message_type = _MESSAGE_TYPES[request.path]
            message = worker.from_json(data, message_type).value_or(None)
            if message is None:
                return self._reject(request.path, data)
            return self._record(request.path, message, at_ms)
        return self._reject(request.path, data)

    def _reject(self, path: str, data: bytes) -> werkzeug.Response:
        with self._lock:
            self._bad_calls.append(f'{path}: {data!r:.200}')
        return werkzeug.Response('bad call\n', status=400)

    def _record(
        self, path: str, message: typing.Any, at_ms: float
    ) -> werkzeug.Response:
        with self._lock:
            match message:
                case messages.WorkerFacts():
                    self._announced.append(message)
                case messages.WorkerHeartbeat():
                    if path.endswith('leave'):
                        self._leaving.append(message.worker_id)
                    else:
                        self._heartbeats.append(
                            ReceivedHeartbeat(at_ms, message)
                        )
            reply = dataclasses.replace(
                self._heartbeat_reply, worker_id=message.worker_id
            )
        time.sleep(self.answer_delay_ms / 1000)
        if isinstance(message, messages.WorkerFacts):
            return _json(b'{}')
        return _json(worker.to_json(reply))


_MESSAGE_TYPES: dict[str, type] = {
    '/v1/workers/announce': messages.WorkerFacts,
    '/v1/workers/heartbeat': messages.WorkerHeartbeat,
    '/v1/workers/leave': messages.WorkerHeartbeat,
}


def wait_for(
    condition: collections.abc.Callable[[], bool], timeout_ms: int
) -> bool:
    """Poll until a condition holds; return whether it did in time."""
    deadline_s = time.monotonic() + timeout_ms / 1000
    while not condition():
        if time.monotonic() > deadline_s:
            return False
        time.sleep(POLL_S)
    return True


def _json(body: bytes) -> werkzeug.Response:
    return werkzeug.Response(body, content_type='application/json')
