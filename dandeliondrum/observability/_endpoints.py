"""The HTTP endpoints /metrics, /healthz and /readyz."""

import collections.abc
import dataclasses

import prometheus_client
from prometheus_client import gc_collector
from prometheus_client import platform_collector
from prometheus_client import process_collector
from werkzeug import wrappers


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Whether a process is ready for work, and the reason when it is not."""

    is_ready: bool
    reason: str = ''


ReadinessCheck = collections.abc.Callable[[], Readiness]


def process_registry() -> prometheus_client.CollectorRegistry:
    """Return a new registry with metrics of process and interpreter."""
    registry = prometheus_client.CollectorRegistry()
    process_collector.ProcessCollector(registry=registry)
    platform_collector.PlatformCollector(registry=registry)
    gc_collector.GCCollector(registry=registry)
    return registry


class Endpoints:
    """Serves the three paths; the caller handles all others.

    ``/healthz`` returns 200 while the process can respond. ``/readyz``
    returns 200 or, with the reason in the body, 503.

    Example::

        endpoints = Endpoints(registry, leader_link.readiness)
        response = endpoints.respond(request.path)
    """

    def __init__(
        self,
        registry: prometheus_client.CollectorRegistry,
        check_readiness: ReadinessCheck,
    ) -> None:
        self._registry = registry
        self._check_readiness = check_readiness

    def respond(self, path: str) -> wrappers.Response | None:
        """Return the response, or None for any other path."""
        match path:
            case '/metrics':
                return wrappers.Response(
                    prometheus_client.generate_latest(self._registry),
                    content_type=prometheus_client.CONTENT_TYPE_LATEST,
                )
            case '/healthz':
                return wrappers.Response('alive\n', mimetype='text/plain')
            case '/readyz':
                return self._readiness()
        return None

    def _readiness(self) -> wrappers.Response:
        readiness = self._check_readiness()
        if readiness.is_ready:
            return wrappers.Response('ready\n', mimetype='text/plain')
        return wrappers.Response(
            f'not ready: {readiness.reason}\n',
            status=503,
            mimetype='text/plain',
        )
