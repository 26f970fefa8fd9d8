"""The gateway program."""

import collections.abc
import contextlib
import threading
import time

import werkzeug

from dandeliondrum import gateway
from dandeliondrum import http_server
from dandeliondrum import jobs
from dandeliondrum.platform import _caller_api
from dandeliondrum.platform import _documents
from dandeliondrum.platform import _http_ports
from dandeliondrum.platform import _links
from dandeliondrum.platform import _seeds
from dandeliondrum.platform import _servers
from dandeliondrum.platform import _settings
from dandeliondrum import startup
from dandeliondrum import utils

CALLER_THREADS_COUNT = 32
READINESS_THREADS_COUNT = 2
# Shares of the descriptors that are left after those of the process itself,
# which keeps some for its calls to controllers and the adviser.
CALLERS_SHARE = 0.75
READINESS_SHARE = 0.1
# The load balancer probes every second and removes a gateway after two failed
# probes.
DRAIN_NOTICE_MS = 2_300
# Open calls end within the longest deadline of a caller.
DRAIN_MAX_MS = 3_000


def start(
    start: startup.Startup,
    settings: _settings.Settings,
    timers: utils.TimerService,
    resources: contextlib.ExitStack,
) -> collections.abc.Callable[[], None]:
    """Start a gateway that runs until ``resources`` are closed.

    Returns a function that rereads the settings. Raises the errors of
    :meth:`dandeliondrum.startup.Startup.retry` if a port can't be opened.
    """
    job_gateway = jobs.JobGateway(
        jobs.GatewayOptions(_links.make_link_options(settings)),
        _http_ports.HttpAdviserPort(settings.adviser_address),
        _documents.decode,
    )
    serving = threading.Event()

    def ready(_call: gateway.Call) -> werkzeug.Response:
        is_ready = (
            serving.is_set()
            and callers.is_serving
            and _can_serve_callers(job_gateway)
        )
        return werkzeug.Response(status=200 if is_ready else 503)

    metrics = gateway.Metrics()
    budget = http_server.ByteBudget(settings.process_limits.budget_bytes)
    callers = _servers.make_server(
        settings.callers_address,
        _caller_api.CallerApi(job_gateway).routes(),
        CALLER_THREADS_COUNT,
        _servers.make_limits(
            settings, CALLERS_SHARE, _caller_api.BODY_BYTES_MAX
        ),
        budget,
        metrics,
    )
    readiness = _servers.make_server(
        settings.readiness_address,
        (gateway.Route('GET', '/ready', ready),),
        READINESS_THREADS_COUNT,
        _servers.make_limits(
            settings, READINESS_SHARE, _caller_api.BODY_BYTES_MAX
        ),
        budget,
        metrics,
    )
    with start.phase('ports'):
        resources.callback(job_gateway.close)
        job_gateway.start()
        # It answers that the gateway is not ready until callers are served.
        resources.callback(readiness.drain, 0)
        start.retry(f'port {settings.readiness_address}', readiness.open)
        resources.callback(callers.drain, DRAIN_MAX_MS)
        start.retry(f'port {settings.callers_address}', callers.open)
    _servers.serve_metrics(settings, metrics.registry, timers, resources)
    resources.callback(time.sleep, DRAIN_NOTICE_MS / 1000)
    resources.callback(serving.clear)
    serving.set()
    return _seeds.reload_regularly(
        job_gateway.set_controllers, timers, resources
    )


def _can_serve_callers(job_gateway: jobs.JobGateway) -> bool:
    return job_gateway.policy.version > 0 and job_gateway.has_leader()
