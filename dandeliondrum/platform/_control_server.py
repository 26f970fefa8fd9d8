"""The HTTP server of a controller for workers and operators."""

import contextlib

from returns import result

from dandeliondrum import gateway
from dandeliondrum import http_server
from dandeliondrum import jobs
from dandeliondrum.platform import _control_api
from dandeliondrum.platform import _evacuation_api
from dandeliondrum.platform import _servers
from dandeliondrum.platform import _settings

# Share of the descriptors that are left after those of the process itself,
# which keeps some for its calls to workers and the connections of its peers.
CONTROL_SHARE = 0.4


def start(
    settings: _settings.Settings,
    controller: jobs.JobController,
    resources: contextlib.ExitStack,
) -> result.Result[None, str]:
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
    server.open()
    resources.callback(server.drain, 0)
    return _servers.serve_metrics(
        settings, controller.metrics.registry, resources
    )
