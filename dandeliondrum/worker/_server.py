"""HTTP server of a worker, called by gateways."""

import json
import threading
import typing
import urllib.parse

from returns import result
import werkzeug

from dandeliondrum import http_server
from dandeliondrum import messages
from dandeliondrum import transport
from dandeliondrum.worker import _attempt
from dandeliondrum.worker import _attempt_table
from dandeliondrum.worker import _calls
from dandeliondrum.worker import _headers
from dandeliondrum.worker import _journal
from dandeliondrum.worker import _options

WAIT_MAX_MS = 120_000
BODY_MAX_BYTES = 128 * 1024 * 1024
# Bodies of all requests together: two of the longest.
REQUESTS_MAX_BYTES = 512 * 1024 * 1024
# A body of 64 MB arrives in time with 5 Mbit/s.
ARRIVAL_MS = 120_000
IDLE_MS = 10_000
# Connections beyond those agreed with the gateways are journalled; this many
# times as many are accepted.
CONNECTIONS_FACTOR = 4
HEADERS_MAX_BYTES = 64 * 1024
SHUTDOWN_TIMEOUT_S = 10
SPARE_THREADS = 8
STOP_WAIT_MS = 1_000


class Server:
    """Serves the requests to one worker in a thread pool.

    The pool has ``LONG_WAITERS_MAX`` threads per slot for requests that wait
    long for the end of an attempt, and ``SPARE_THREADS`` for other requests.
    """

    def __init__(
        self,
        options: _options.Options,
        attempts: _attempt_table.AttemptTable,
        journal: _journal.Journal,
    ) -> None:
        self._attempts = attempts
        connections_max = CONNECTIONS_FACTOR * options.connections_count
        self._server = http_server.Server(
            transport.parse_address(options.address),
            self._respond,
            _attempt.LONG_WAITERS_MAX * options.slots_count + SPARE_THREADS,
            http_server.Limits(
                header_bytes_max=HEADERS_MAX_BYTES,
                body_bytes_max=BODY_MAX_BYTES,
                arrival_ms=ARRIVAL_MS,
                idle_ms=IDLE_MS,
                connections_max=connections_max,
                connections_per_peer_max=connections_max,
            ),
            http_server.ByteBudget(REQUESTS_MAX_BYTES),
            shutdown_timeout_s=SHUTDOWN_TIMEOUT_S,
        )
        self._server.ConnectionClass = _counted_connection_class(
            options, journal
        )
        self._thread = threading.Thread(
            target=self._server.serve, name=f'{options.worker_id}-http'
        )

    def listen(self) -> str:
        """Start to listen and return the bound ``host:port``.

        Raises OSError if the address can't be bound.
        """
        self._server.prepare()
        host, port = self._server.socket.getsockname()[:2]
        return f'{host}:{port}'

    def start(self) -> None:
        """Start to serve what arrives."""
        self._thread.start()

    def close(self) -> None:
        """Stop listening and wait for requests in progress.

        Waits up to ``SHUTDOWN_TIMEOUT_S`` for them.
        """
        self._server.stop()
        if self._thread.ident is not None:
            self._thread.join()

    def _respond(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> typing.Any:
        request = werkzeug.Request(environ, populate_request=False)
        arrival = environ[http_server.CONNECTION_KEY].arrival
        if arrival.overloaded:
            response = _error_response(503, 'too many requests in memory')
        elif arrival.too_large:
            response = _error_response(413, 'the body is too large')
        else:
            response = self._dispatch(request)
        return response(environ, start_response)

    def _dispatch(self, request: werkzeug.Request) -> werkzeug.Response:
        path = request.environ.get('REQUEST_URI', request.path)
        path = path.partition('?')[0]
        segments = [urllib.parse.unquote(each) for each in path.split('/')]
        match (request.method, segments[1:]):
            case ('POST', ['v1', 'attempts', attempt_id]):
                return self._start(request, messages.AttemptId(attempt_id))
            case ('GET', ['v1', 'attempts', attempt_id, 'answer']):
                return self._fetch_answer(
                    request, messages.AttemptId(attempt_id)
                )
            case ('DELETE', ['v1', 'attempts', attempt_id, 'answer']):
                self._attempts.release(messages.AttemptId(attempt_id))
                return werkzeug.Response(status=204)
            case ('POST', ['v1', 'attempts', attempt_id, 'stop']):
                return self._stop(messages.AttemptId(attempt_id))
            case ('GET', ['healthz']):
                return werkzeug.Response('ok\n')
        return _error_response(404, 'no such call')

    def _start(
        self, request: werkzeug.Request, attempt_id: messages.AttemptId
    ) -> werkzeug.Response:
        match _headers.parse_start(request, attempt_id):
            case result.Success(call):
                pass
            case result.Failure(why):
                return _error_response(400, why)
        match _headers.parse_wait_ms(request):
            case result.Success(wait_ms):
                pass
            case result.Failure(why):
                return _error_response(400, why)
        outcome = self._attempts.start(call)
        if isinstance(outcome, _calls.Refused):
            return _refusal_response(outcome)
        outcome.wait(min(wait_ms, WAIT_MAX_MS))
        return _answer_response(outcome)

    def _fetch_answer(
        self, request: werkzeug.Request, attempt_id: messages.AttemptId
    ) -> werkzeug.Response:
        match _headers.parse_wait_ms(request):
            case result.Success(wait_ms):
                pass
            case result.Failure(why):
                return _error_response(400, why)
        attempt = self._attempts.find(attempt_id)
        if attempt is None:
            return _error_response(404, 'no such attempt')
        attempt.wait(min(wait_ms, WAIT_MAX_MS))
        return _answer_response(attempt)

    def _stop(self, attempt_id: messages.AttemptId) -> werkzeug.Response:
        self._attempts.stop(attempt_id, 'requested')
        attempt = self._attempts.find(attempt_id)
        if attempt is None:
            return _state_response(200, messages.AttemptState.NEVER_STARTED)
        attempt.ended.wait(STOP_WAIT_MS / 1000)
        return _state_response(202 if attempt.running else 200, attempt.state)


def _answer_response(attempt: _attempt.Attempt) -> werkzeug.Response:
    answer = attempt.answer
    if attempt.running:
        return _state_response(202, attempt.state)
    if answer is None:
        return _refusal_response(_calls.Refused.GONE)
    return werkzeug.Response(
        answer,
        headers={
            'State': attempt.state.value,
            'Run-Ms': str(attempt.run_ms),
            'Answer-Digest': attempt.digest,
        },
        content_type='application/octet-stream',
    )


def _refusal_response(refused: _calls.Refused) -> werkzeug.Response:
    status = 410 if refused is _calls.Refused.GONE else 409
    response = _error_response(status, f'not started: {refused.value}')
    response.headers['Refused'] = refused.value
    return response


def _state_response(
    status: int, state: messages.AttemptState
) -> werkzeug.Response:
    response = _json_response(status, {'state': state.value})
    response.headers['State'] = state.value
    return response


def _error_response(status: int, why: str) -> werkzeug.Response:
    return _json_response(status, {'error': why})


def _json_response(status: int, fields: dict[str, str]) -> werkzeug.Response:
    return werkzeug.Response(
        json.dumps(fields) + '\n',
        status=status,
        content_type='application/json',
    )


def _counted_connection_class(
    options: _options.Options, journal: _journal.Journal
) -> type[http_server.Connection]:
    """Return a connection class that records when too many are open."""
    lock = threading.Lock()
    open_ids: set[int] = set()

    class CountedConnection(http_server.Connection):
        """A connection that counts towards the worker's limit."""

        def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
            super().__init__(*args, **kwargs)
            with lock:
                open_ids.add(id(self))
                count = len(open_ids)
            if count > options.connections_count:
                journal.record(
                    _journal.EventKind.OVERLOAD,
                    reason=f'{count} connections',
                )

        def close(self) -> None:
            with lock:
                open_ids.discard(id(self))
            super().close()

    return CountedConnection
