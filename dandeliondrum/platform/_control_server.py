"""The HTTP server of a controller for workers and operators."""

import contextlib

from dandeliondrum import gateway
from dandeliondrum import http_server
from dandeliondrum import jobs
from dandeliondrum.platform import _control_api
from dandeliondrum.platform import _evacuation_api
from dandeliondrum.platform import _servers
from dandeliondrum.platform import _settings
from dandeliondrum import startup
from dandeliondrum import utils

# Share of the descriptors that are left after those of the process itself,
# which keeps some for its calls to workers and the connections of its peers.
CONTROL_SHARE = 0.4


def start(
    start: startup.Startup,
    settings: _settings.Settings,
    controller: jobs.JobController,
    timers: utils.TimerService,
    resources: contextlib.ExitStack,
) -> None:
    """Open the control port, then that of the metrics."""
    server = _servers.make_server(
        settings.control_address,
        (
            *_control_api.ControlApi(controller).routes(),
            *_evacuation_api.routes(controller, settings),
        ),
        _control_api.THREADS_COUNT,
        _servers.make_limits(
            settings, CONTROL_SHARE, _control_api.DOCUMENT_BYTES_MAX
        ),
        http_server.ByteBudget(settings.process_limits.budget_bytes),
        gateway.Metrics(),
    )
    with start.phase('ports'):
        resources.callback(server.drain, 0)
        start.retry(f'port {settings.control_address}', server.open)
    _servers.serve_metrics(
        settings, controller.metrics.registry, timers, resources
    )
