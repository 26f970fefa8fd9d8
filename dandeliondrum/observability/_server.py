"""HTTP server for the endpoints of processes without an HTTP interface."""

import contextlib
import dataclasses

from cheroot import wsgi
from returns import result
import structlog
from werkzeug import wrappers

from dandeliondrum.observability import _endpoints
from dandeliondrum import transport
from dandeliondrum import utils

THREADS_COUNT = 4
# How long a client that stalls can occupy a thread.
TIMEOUT_S = 2
HEADER_MAX_BYTES = 16 * 1024
BODY_MAX_BYTES = 1

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class ServerError:
    """The reason why a server failed to start."""

    address: str
    reason: str


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
        server = _LoggingServer(
            transport.parse_address(self.address),
            wrappers.Request.application(self._serve),
            numthreads=THREADS_COUNT,
            timeout=TIMEOUT_S,
        )
        server.max_request_header_size = HEADER_MAX_BYTES
        server.max_request_body_size = BODY_MAX_BYTES
        try:
            server.prepare()
        except OSError as error:
            return result.Failure(ServerError(self.address, str(error)))
        host, port = server.bind_addr[:2]
        self.address = f'{host}:{port}'
        supervisor = utils.Supervisor('observability', threads_count=1)
        supervisor.run('serve', lambda _: server.serve())
        self._resources.callback(supervisor.close)
        self._resources.callback(server.stop)
        return result.Success(None)

    def close(self) -> None:
        """Stop listening and wait for the threads to end."""
        self._resources.close()

    def _serve(self, request: wrappers.Request) -> wrappers.Response:
        if request.method not in ('GET', 'HEAD'):
            return wrappers.Response('only GET is served\n', status=405)
        response = self._endpoints.respond(request.path)
        if response is not None:
            return response
        return wrappers.Response(
            'only /metrics, /healthz and /readyz are served\n', status=404
        )


class _LoggingServer(wsgi.Server):
    """Writes the error messages of the HTTP server to the log."""

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        _logger.warning(
            'http server error', why=msg.strip(), exc_info=traceback or None
        )
