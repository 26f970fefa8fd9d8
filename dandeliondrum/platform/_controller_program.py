"""The controller program."""

import contextlib
import os

from returns import result
import structlog

import dandeliondrum
from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.platform import _documents
from dandeliondrum.platform import _http_ports
from dandeliondrum.platform import _links
from dandeliondrum.platform import _settings
from dandeliondrum import utils

# Longer than an election plus the first round of calls of the new leader. A
# longer lease would delay the recovery of the runs of a lost VM.
LEASE_MS = 4_500
EXIT_INVARIANT_ERROR = 70

_logger = structlog.get_logger()


def start(
    settings: _settings.Settings,
    resources: contextlib.ExitStack,
) -> result.Result[None, str]:
    """Start a controller that runs until ``resources`` are closed."""
    if settings.data_folder is None:
        return result.Failure('DataDir is missing')
    controller_id = messages.ControllerId(settings.ip)
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
        _http_ports.make_ports(settings.adviser_address),
        _documents.decode,
        _exit_on_invariant_error,
    )
    started = controller.start()
    if isinstance(started, result.Failure):
        return result.Failure(str(started.failure()))
    resources.callback(controller.close)
    # Its peers are answered while the modules for HTTP are imported.
    from dandeliondrum.platform import _control_server

    return _control_server.start(settings, controller, resources)


def _exit_on_invariant_error(error: utils.InvariantError) -> None:
    """Exit at once, so that no call acts on an inconsistent state."""
    _logger.critical('process ended', why=str(error))
    os._exit(EXIT_INVARIANT_ERROR)
