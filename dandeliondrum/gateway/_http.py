"""HTTP requests, responses and routing, based on werkzeug."""

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

READ_CHUNK_BYTES = 64 * 1024
# Per comma, colon and opening bracket of a body; measured: 27 to 46 bytes for
# lists, objects and fields in bodies of nothing else.
VALUE_BYTES = 48
OVERLOAD_RETRY_MS = 1_000
OUTCOME_HEADER = 'Dandeliondrum-Outcome'

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class Problem:
    """Error that is returned to the caller as JSON."""

    status: int
    reason: str
    detail: str = ''
    retry_after_ms: int = 0


class TruncatedResponseError(Exception):
    """A streamed response is incomplete; its connection has to be closed."""


class Call:
    """One HTTP request and its connection, as passed to a handler."""

    def __init__(
        self,
        environ: dict[str, typing.Any],
        start_response: collections.abc.Callable[..., typing.Any],
    ) -> None:
        # A request that is stored in its environment would keep all header
        # fields in memory until the next collection of reference cycles.
        self.request = werkzeug.Request(environ, populate_request=False)
        self.streamed = False
        self._start_response = start_response
        self._connection: _server.Connection = environ[_server.CONNECTION_KEY]

    def header(self, name: str, default: str = '') -> str:
        """Return the value of a header, stripped of whitespace."""
        return self.request.headers.get(name, default).strip()

    def peer_ip(self) -> str:
        """Return the IP address of the peer."""
        return self.request.remote_addr or ''

    def caller_disconnected(self) -> bool:
        """Return whether the caller has closed or lost its connection."""
        return self._connection.peer_closed()

    def body(self, max_bytes: int) -> result.Result[bytes, Problem]:
        """Read the complete body of at most ``max_bytes``."""
        if self._connection.arrival.overloaded:
            return result.Failure(_overload_problem())
        declared = self.request.content_length
        chunked = self.request.environ.get('wsgi.input_terminated', False)
        if declared is None and not chunked:
            declared = 0
        is_too_large = declared is not None and declared > max_bytes
        if is_too_large or self._connection.arrival.too_large:
            return result.Failure(_too_large_problem(max_bytes))
        try:
            body = self._read(max_bytes)
        except (OSError, ValueError) as error:
            return result.Failure(self._read_problem(str(error)))
        if len(body) > max_bytes:
            return result.Failure(_too_large_problem(max_bytes))
        if not chunked and len(body) != declared:
            return result.Failure(
                self._read_problem(f'{len(body)} of {declared} bytes arrived')
            )
        return result.Success(body)

    def json(
        self, max_bytes: int
    ) -> result.Result[dict[str, typing.Any], Problem]:
        """Read a body that has to be a JSON object."""
        return self.parsable_body(max_bytes).bind(_parse_object)

    def parsable_body(self, max_bytes: int) -> result.Result[bytes, Problem]:
        """Read a body in JSON, and reserve the memory of its parsed form."""
        return self.body(max_bytes).bind(self._reserve_parsed)

    def stream(
        self, status: int, headers: list[tuple[str, str]]
    ) -> collections.abc.Callable[[bytes], object]:
        """Start a streamed response and return the function that writes it."""
        self.streamed = True
        write = self._start_response(f'{status} Streamed', headers)
        return typing.cast(collections.abc.Callable[[bytes], object], write)

    def _reserve_parsed(self, body: bytes) -> result.Result[bytes, Problem]:
        """Reserve what parsing may take, at most, until the answer is sent."""
        values_count = sum(body.count(one) for one in (b',', b':', b'[', b'{'))
        parsed_bytes = values_count * VALUE_BYTES
        reservation = self._connection.arrival.reservation
        if reservation.grow(parsed_bytes):
            return result.Success(body)
        if reservation.fits_ever(parsed_bytes):
            return result.Failure(_overload_problem())
        return result.Failure(
            Problem(413, 'bad_request', 'the body has too many fields')
        )

    def _read(self, max_bytes: int) -> bytes:
        source = self.request.environ['wsgi.input']
        body = bytearray()
        while len(body) <= max_bytes:
            chunk = source.read(READ_CHUNK_BYTES)
            if not chunk:
                break
            body += chunk
        return bytes(body)

    def _read_problem(self, detail: str) -> Problem:
        if self._connection.arrival_timed_out:
            return Problem(
                408, 'bad_request', 'the request did not arrive in time'
            )
        return Problem(400, 'bad_request', f'cannot read the body: {detail}')


Handler = collections.abc.Callable[..., werkzeug.Response]


@dataclasses.dataclass(frozen=True)
class Route:
    """A method and path pattern with the handler that serves it."""

    method: str
    pattern: str
    handler: Handler


class Application:
    """WSGI application that serves a set of routes.

    ``outcome`` is the value of the outcome header of responses to requests
    whose handler failed; without it they have no such header.
    """

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
            outcome = response.headers.get(OUTCOME_HEADER, '')
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
            return 'unknown', functools.partial(_routing_error_response, error)
        name = f'{route.method} {route.pattern}'
        return name, functools.partial(route.handler, **arguments)

    def _respond(
        self, call: Call, name: str, handler: Handler
    ) -> werkzeug.Response:
        try:
            return handler(call)
        except TruncatedResponseError:
            raise
        except Exception as error:
            _logger.exception('handler failed', route=name)
            if call.streamed:
                raise TruncatedResponseError(str(error)) from error
        headers = {OUTCOME_HEADER: self._outcome} if self._outcome else None
        return problem_response(
            Problem(500, 'internal_error', 'see the log of the gateway'),
            headers,
        )


def json_response(
    value: object, status: int = 200, headers: dict[str, str] | None = None
) -> werkzeug.Response:
    """Return a response with a JSON body."""
    return werkzeug.Response(
        json.dumps(value, separators=(',', ':')),
        status,
        headers,
        content_type='application/json',
    )


def problem_response(
    problem: Problem, headers: dict[str, str] | None = None
) -> werkzeug.Response:
    """Return a problem as a JSON response."""
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


def _routing_error_response(
    error: exceptions.HTTPException, _call: Call
) -> werkzeug.Response:
    response = problem_response(
        Problem(error.code or 400, 'bad_request', error.name)
    )
    if isinstance(error, exceptions.MethodNotAllowed):
        response.headers['Allow'] = ', '.join(error.valid_methods or ())
    return response


def _overload_problem() -> Problem:
    return Problem(
        503,
        'unavailable',
        'too many requests are in memory',
        OVERLOAD_RETRY_MS,
    )


def _too_large_problem(max_bytes: int) -> Problem:
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
            Problem(400, 'bad_request', 'the body is not a JSON object')
        )
    return result.Success(value)
