"""Requests, responses and routes, on top of werkzeug."""

import collections.abc
import dataclasses
import functools
import json
import time
import typing

from returns import result
import structlog
import werkzeug
from werkzeug import exceptions
from werkzeug import routing

from dandeliondrum.gateway import _metrics
from dandeliondrum.gateway import _server

READ_BYTES = 64 * 1024
OUTCOME = 'Dandeliondrum-Outcome'

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class Problem:
    """Why a call can't be served, as its caller sees it."""

    status: int
    reason: str
    detail: str = ''
    retry_after_ms: int = 0


class CutShort(Exception):
    """An answer broke off midway; the caller's connection has to end."""


class Call:
    """One request on its way through a handler."""

    def __init__(
        self,
        environ: dict[str, typing.Any],
        start_response: collections.abc.Callable[..., typing.Any],
    ) -> None:
        self.request = werkzeug.Request(environ)
        self.streamed = False
        self._start_response = start_response
        self._connection: _server.Connection = environ[_server.CONNECTION]

    def header(self, name: str, default: str = '') -> str:
        """Return a header's value without blanks around it."""
        return self.request.headers.get(name, default).strip()

    def peer_ip(self) -> str:
        """Return the IP number of the other end."""
        return self.request.remote_addr or ''

    def caller_left(self) -> bool:
        """Return whether the caller has closed or lost its connection."""
        return self._connection.left()

    def body(self, max_bytes: int) -> result.Result[bytes, Problem]:
        """Read the whole body, or say why it did not arrive whole."""
        declared = self.request.content_length
        chunked = self.request.environ.get('wsgi.input_terminated', False)
        if declared is None and not chunked:
            declared = 0
        if declared is not None and declared > max_bytes:
            return result.Failure(_too_large(max_bytes))
        try:
            body = self._read(max_bytes)
        except (OSError, ValueError) as error:
            return result.Failure(self._unreadable(str(error)))
        if len(body) > max_bytes:
            return result.Failure(_too_large(max_bytes))
        if not chunked and len(body) != declared:
            return result.Failure(
                self._unreadable(f'{len(body)} of {declared} bytes came')
            )
        self._connection.arrived()
        return result.Success(body)

    def json(
        self, max_bytes: int
    ) -> result.Result[dict[str, typing.Any], Problem]:
        """Read a body that is one JSON object."""
        return self.body(max_bytes).bind(_parse_object)

    def stream(
        self, status: int, headers: list[tuple[str, str]]
    ) -> collections.abc.Callable[[bytes], object]:
        """Begin the response; what is returned writes pieces of it."""
        self.streamed = True
        write = self._start_response(f'{status} Streamed', headers)
        return typing.cast(collections.abc.Callable[[bytes], object], write)

    def _read(self, max_bytes: int) -> bytes:
        source = self.request.environ['wsgi.input']
        body = bytearray()
        while len(body) <= max_bytes:
            chunk = source.read(READ_BYTES)
            if not chunk:
                break
            body += chunk
        return bytes(body)

    def _unreadable(self, detail: str) -> Problem:
        if self._connection.late:
            return Problem(408, 'bad_request', 'the request came too slowly')
        return Problem(400, 'bad_request', f'body not readable: {detail}')


Handler = collections.abc.Callable[..., werkzeug.Response]


@dataclasses.dataclass(frozen=True)
class Route:
    """A method and path pattern, and what serves it."""

    method: str
    pattern: str
    handler: Handler


class Application:
    """A WSGI application over a few routes."""

    def __init__(
        self,
        routes: tuple[Route, ...],
        metrics: _metrics.Metrics,
        outcome: str = '',
    ) -> None:
        self._metrics = metrics
        self._outcome = outcome
        self._map = routing.Map(
            [
                routing.Rule(
                    route.pattern, methods=[route.method], endpoint=route
                )
                for route in routes
            ]
        )

    def __call__(
        self,
        environ: dict[str, typing.Any],
        start_response: collections.abc.Callable[..., typing.Any],
    ) -> collections.abc.Iterable[bytes]:
        """Serve one request."""
        began_s = time.monotonic()
        call = Call(environ, start_response)
        name, status, outcome = 'unknown', 200, 'cut'
        try:
            with self._metrics.open_calls.track_inprogress():
                name, handler = self._match(environ)
                response = self._respond(call, name, handler)
            status = response.status_code
            outcome = response.headers.get(OUTCOME, '')
        finally:
            seconds = time.monotonic() - began_s
            self._metrics.observe_call(name, status, outcome, seconds)
        if call.streamed:
            return ()
        return response(environ, start_response)

    def _match(self, environ: dict[str, typing.Any]) -> tuple[str, Handler]:
        try:
            route, arguments = self._map.bind_to_environ(environ).match()
        except exceptions.HTTPException as error:
            return 'unknown', functools.partial(_refused, error)
        name = f'{route.method} {route.pattern}'
        return name, functools.partial(route.handler, **arguments)

    def _respond(
        self, call: Call, name: str, handler: Handler
    ) -> werkzeug.Response:
        try:
            return handler(call)
        except CutShort:
            raise
        except Exception as error:
            _logger.exception('handler failed', route=name)
            if call.streamed:
                raise CutShort(str(error)) from error
        headers = {OUTCOME: self._outcome} if self._outcome else None
        return problem_response(
            Problem(500, 'internal_error', 'see the log of the gateway'),
            headers,
        )


def json_response(
    value: object, status: int = 200, headers: dict[str, str] | None = None
) -> werkzeug.Response:
    """Return a response whose body is JSON."""
    return werkzeug.Response(
        json.dumps(value, separators=(',', ':')),
        status,
        headers,
        content_type='application/json',
    )


def problem_response(
    problem: Problem, headers: dict[str, str] | None = None
) -> werkzeug.Response:
    """Return a response that says what is wrong."""
    response = json_response(
        {
            'reason': problem.reason,
            'detail': problem.detail,
            'retry_after_ms': problem.retry_after_ms,
        },
        problem.status,
        headers,
    )
    if problem.retry_after_ms > 0:
        seconds = -(-problem.retry_after_ms // 1000)
        response.headers['Retry-After'] = str(seconds)
    return response


def _refused(
    error: exceptions.HTTPException, _call: Call
) -> werkzeug.Response:
    response = problem_response(
        Problem(error.code or 400, 'bad_request', error.name)
    )
    if isinstance(error, exceptions.MethodNotAllowed):
        response.headers['Allow'] = ', '.join(error.valid_methods or ())
    return response


def _too_large(max_bytes: int) -> Problem:
    return Problem(
        413, 'bad_request', f'at most {max_bytes} bytes are allowed'
    )


def _parse_object(
    body: bytes,
) -> result.Result[dict[str, typing.Any], Problem]:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        return result.Failure(
            Problem(400, 'bad_request', f'not JSON: {error}')
        )
    if not isinstance(value, dict):
        return result.Failure(
            Problem(400, 'bad_request', 'a JSON object is expected')
        )
    return result.Success(value)
