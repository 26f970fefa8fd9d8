"""The controller program."""

import collections.abc
import contextlib

from returns import result

import dandeliondrum
from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.platform import _documents
from dandeliondrum.platform import _http_ports
from dandeliondrum.platform import _links
from dandeliondrum.platform import _seeds
from dandeliondrum.platform import _settings
from dandeliondrum import startup
from dandeliondrum import utils

# Longer than an election plus the first round of calls of the new leader. A
# longer lease would delay the recovery of the runs of a lost VM.
LEASE_MS = 4_500


def start(
    start: startup.Startup,
    settings: _settings.Settings,
    timers: utils.TimerService,
    resources: contextlib.ExitStack,
) -> collections.abc.Callable[[], None]:
    """Start a controller that runs until ``resources`` are closed.

    Returns a function that rereads the seeds. Raises the errors of
    :meth:`dandeliondrum.startup.Startup.retry` if the data folder or a port
    can't be used.
    """
    if settings.data_folder is None:
        raise startup.NotStartedError('DataDir is missing')
    controller_id = messages.ControllerId(settings.ip)
    worker_port = _http_ports.HttpWorkerPort()
    controller = jobs.JobController(
        jobs.ControllerOptions(
            link=_links.make_link_options(settings),
            leader=jobs.LeaderOptions(
                controller_id,
                min(LEASE_MS, settings.lease_max_ms),
                settings.lease_max_ms,
                settings.job_state_kept_ms + 30_000,
                2 * settings.losses_max + 1,
            ),
            membership=jobs.MembershipOptions(
                controller_id,
                settings.stream_address,
                settings.controllers,
                settings.first_start,
            ),
            listen_address=settings.stream_address,
            data_folder=settings.data_folder,
            started_ns=dandeliondrum.IMPORTED_NS,
        ),
        jobs.Ports(
            worker_port, _http_ports.HttpAdviserPort(settings.adviser_address)
        ),
        _documents.decode,
        startup.end_broken_process,
    )
    with start.phase('log'):
        started = controller.start(start.retry)
    if isinstance(started, result.Failure):
        raise startup.NotStartedError(str(started.failure()))
    resources.callback(controller.close)
    timers.every(_http_ports.CLOSE_UNUSED_EVERY_MS, worker_port.close_unused)
    # Its peers are answered while the modules for HTTP are imported.
    with start.phase('imports for HTTP'):
        from dandeliondrum.platform import _control_server
    _control_server.start(start, settings, controller, timers, resources)
    return _seeds.reload_regularly(controller.set_seeds, timers, resources)
