"""HTTP server for the endpoints of processes without an HTTP interface."""

import collections.abc
import contextlib
import dataclasses
import typing

from returns import result
from werkzeug import wrappers

from dandeliondrum import http_server
from dandeliondrum.observability import _endpoints
from dandeliondrum import transport
from dandeliondrum import utils

THREADS_COUNT = 4
# A scraper or two and an operator are expected. A body is never read.
LIMITS = http_server.Limits(
    header_bytes_max=16 * 1024,
    body_bytes_max=0,
    arrival_ms=2_000,
    idle_ms=10_000,
    stall_ms=2_000,
    answer_ms=10_000,
    connections_max=32,
    connections_per_peer_max=32,
)
BUDGET_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ServerError:
    """The reason why a server failed to start.

    ``may_pass`` tells that another attempt may succeed.
    """

    address: str
    reason: str
    may_pass: bool = False


class Server:
    """Serves /metrics, /healthz and /readyz on an address.

    ``address`` is ``host:port`` with an IP address. With port 0, a free port
    is chosen, which ``address`` holds once the server has started.

    Example::

        server = Server('127.0.0.1:7101', Endpoints(registry, readiness))
        server.start()
        ...
        server.close()
    """

    def __init__(self, address: str, endpoints: _endpoints.Endpoints) -> None:
        self.address = address
        self._endpoints = endpoints
        self._resources = contextlib.ExitStack()

    def start(self) -> result.Result[None, ServerError]:
        """Listen, and serve requests in background threads."""
        server = http_server.Server(
            transport.parse_address(self.address),
            self._respond,
            THREADS_COUNT,
            LIMITS,
            http_server.ByteBudget(BUDGET_BYTES),
        )
        supervisor = utils.Supervisor('observability')
        with contextlib.ExitStack() as opened:
            opened.callback(supervisor.close)
            opened.callback(server.stop)
            try:
                server.prepare()
            except OSError as error:
                return result.Failure(
                    ServerError(
                        self.address, str(error), utils.is_passing(error)
                    )
                )
            host, port = server.bind_addr[:2]
            self.address = f'{host}:{port}'
            supervisor.run('serve', lambda _: server.serve())
            self._resources = opened.pop_all()
        return result.Success(None)

    def close(self) -> None:
        """Stop listening and wait for the threads to end."""
        self._resources.close()

    def _respond(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Any,
    ) -> collections.abc.Iterable[bytes]:
        # A request that is stored in its environment would keep all header
        # fields in memory until the next collection of reference cycles.
        request = wrappers.Request(environ, populate_request=False)
        return self._serve(request)(environ, start_response)

    def _serve(self, request: wrappers.Request) -> wrappers.Response:
        if request.environ[http_server.CONNECTION_KEY].arrival.too_large:
            return wrappers.Response('no body is expected\n', status=413)
        if request.method not in ('GET', 'HEAD'):
            return wrappers.Response('only GET is served\n', status=405)
        response = self._endpoints.respond(request.path)
        if response is not None:
            return response
        return wrappers.Response(
            'only /metrics, /healthz and /readyz are served\n', status=404
        )
