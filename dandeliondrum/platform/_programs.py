"""The gateway and controller programs that run on the platform."""

import contextlib
import os
import signal
import threading
import time
import types

import prometheus_client
from returns import result
import structlog
import werkzeug

import dandeliondrum
from dandeliondrum import gateway
from dandeliondrum import http_server
from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum import observability
from dandeliondrum.platform import _caller_api
from dandeliondrum.platform import _control_api
from dandeliondrum.platform import _documents
from dandeliondrum.platform import _evacuation_api
from dandeliondrum.platform import _http_ports
from dandeliondrum.platform import _settings
from dandeliondrum import transport
from dandeliondrum import utils

# Has to match deploy/system.toml.
METRICS_PORT = 9_464
CELL_ID = messages.CellId('jobs')
CALLER_THREADS_COUNT = 32
READINESS_THREADS_COUNT = 2
# Limit for the arrival of a whole request.
REQUEST_READ_TIMEOUT_MS = 3_000
# The configuration's MaxHeaderBytes is 16,384; twice that is accepted.
HEADER_BYTES_MAX = 32 * 1024
# The configuration's IdleTimeoutMs.
IDLE_TIMEOUT_MS = 15_000
# How long an answer may make no progress, and take in all: a document of 16
# MiB arrives in time with 9 Mbit/s.
STALL_TIMEOUT_MS = 3_000
ANSWER_TIMEOUT_MS = 15_000
# Shares of the descriptors that are left after those of the process itself.
# A gateway keeps some for its calls to controllers and the adviser, a
# controller for its calls to workers and the connections of its peers.
CALLERS_SHARE = 0.75
READINESS_SHARE = 0.1
CONTROL_SHARE = 0.4
# Load balancers in front of many callers have one address.
PEER_SHARE = 0.9
# Longer than an election plus the first round of calls of the new leader. A
# longer lease would delay the recovery of the runs of a lost VM.
LEASE_MS = 4_500
# The load balancer probes every second and removes a gateway after two failed
# probes.
DRAIN_NOTICE_MS = 2_300
# Open calls end within the longest deadline of a caller.
DRAIN_MAX_MS = 3_000
RELOAD_EVERY_MS = 1_000
EXIT_INVARIANT_ERROR = 70

_logger = structlog.get_logger()


def run(role: str, settings: _settings.Settings) -> int:
    """Run a role until SIGTERM or SIGINT; return the exit code."""
    utils.return_large_blocks()
    with contextlib.ExitStack() as resources:
        stopping = _stop_on_signals()
        timers = utils.TimerService()
        timers.start()
        resources.callback(timers.close)
        match role:
            case 'gateway':
                outcome = _start_gateway(settings, timers, resources)
            case 'controller':
                outcome = _start_controller(settings, timers, resources)
            case _:
                outcome = result.Failure(f'unknown role {role}')
        if isinstance(outcome, result.Failure):
            _logger.error('not started', why=outcome.failure())
            return 1
        utils.limit_collections()
        _logger.info('started')
        utils.wait_for_signal(stopping)
        _logger.info('stopping')
    _logger.info('stopped')
    return 0


def _start_gateway(
    settings: _settings.Settings,
    timers: utils.TimerService,
    resources: contextlib.ExitStack,
) -> result.Result[None, str]:
    job_gateway = jobs.JobGateway(
        jobs.GatewayOptions(_link_options(settings)),
        _http_ports.HttpAdviserPort(settings.adviser_address),
        _documents.decode,
    )
    draining = threading.Event()

    def ready(_call: gateway.Call) -> werkzeug.Response:
        is_ready = not draining.is_set() and _can_serve_callers(job_gateway)
        return werkzeug.Response(status=200 if is_ready else 503)

    job_gateway.start()
    resources.callback(job_gateway.close)
    metrics = gateway.Metrics()
    budget = http_server.ByteBudget(settings.process_limits.budget_bytes)
    callers = _make_server(
        settings.callers_address,
        _caller_api.CallerApi(job_gateway).routes(),
        CALLER_THREADS_COUNT,
        _make_limits(settings, CALLERS_SHARE, _caller_api.BODY_BYTES_MAX),
        budget,
        metrics,
    )
    readiness = _make_server(
        settings.readiness_address,
        (gateway.Route('GET', '/ready', ready),),
        READINESS_THREADS_COUNT,
        _make_limits(settings, READINESS_SHARE, _caller_api.BODY_BYTES_MAX),
        budget,
        metrics,
    )
    callers.open()
    readiness.open()
    resources.callback(readiness.drain, 0)
    resources.callback(callers.drain, DRAIN_MAX_MS)
    resources.callback(time.sleep, DRAIN_NOTICE_MS / 1000)
    resources.callback(draining.set)
    reload = timers.every(RELOAD_EVERY_MS, lambda: _reload_seeds(job_gateway))
    resources.callback(reload.cancel)
    return _serve_metrics(settings, metrics.registry, resources, _always_ready)


def _can_serve_callers(job_gateway: jobs.JobGateway) -> bool:
    return job_gateway.policy.version > 0 and job_gateway.has_leader()


def _reload_seeds(job_gateway: jobs.JobGateway) -> None:
    """Reread the settings and use the controllers that they list."""
    match _settings.load(settings_path()):
        case result.Success(settings):
            job_gateway.set_controllers(settings.controllers)
        case result.Failure(error):
            _logger.warning('settings not readable', why=error)


def _start_controller(
    settings: _settings.Settings,
    timers: utils.TimerService,
    resources: contextlib.ExitStack,
) -> result.Result[None, str]:
    if settings.data_folder is None:
        return result.Failure('DataDir is missing')
    controller_id = messages.ControllerId(settings.ip)
    controller = jobs.JobController(
        jobs.ControllerOptions(
            link=_link_options(settings),
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
    server = _make_server(
        settings.control_address,
        (
            *_control_api.ControlApi(controller).routes(),
            *_evacuation_api.routes(controller, settings),
        ),
        _control_api.THREADS_COUNT,
        _make_limits(settings, CONTROL_SHARE, _control_api.DOCUMENT_BYTES_MAX),
        http_server.ByteBudget(settings.process_limits.budget_bytes),
        gateway.Metrics(),
    )
    server.open()
    resources.callback(server.drain, 0)
    return _serve_metrics(
        settings, controller.metrics.registry, resources, _always_ready
    )


def _always_ready() -> observability.Readiness:
    return observability.Readiness(True)


def _serve_metrics(
    settings: _settings.Settings,
    registry: prometheus_client.CollectorRegistry,
    resources: contextlib.ExitStack,
    readiness: observability.ReadinessCheck,
) -> result.Result[None, str]:
    server = observability.Server(
        f'{settings.ip}:{METRICS_PORT}',
        observability.Endpoints(registry, readiness),
    )
    outcome = server.start()
    if isinstance(outcome, result.Failure):
        # Callers are served even if the metrics endpoint is not available.
        _logger.error(
            'metrics server not started', why=outcome.failure().reason
        )
        return result.Success(None)
    resources.callback(server.close)
    return result.Success(None)


def _link_options(settings: _settings.Settings) -> jobs.LinkOptions:
    return jobs.LinkOptions(
        messages.GatewayId(settings.ip),
        CELL_ID,
        settings.region,
        settings.failure_domain,
        settings.controllers,
    )


def _make_server(
    address: str,
    routes: tuple[gateway.Route, ...],
    threads_count: int,
    limits: http_server.Limits,
    budget: http_server.ByteBudget,
    metrics: gateway.Metrics,
) -> gateway.Server:
    return gateway.Server(
        transport.parse_address(address),
        gateway.Application(routes, metrics),
        threads_count,
        limits,
        budget,
        metrics.observe_refused,
    )


def _make_limits(
    settings: _settings.Settings, share: float, body_bytes_max: int
) -> http_server.Limits:
    connections_max = settings.process_limits.connections_max(share)
    return http_server.Limits(
        header_bytes_max=HEADER_BYTES_MAX,
        body_bytes_max=body_bytes_max,
        arrival_ms=REQUEST_READ_TIMEOUT_MS,
        idle_ms=IDLE_TIMEOUT_MS,
        stall_ms=STALL_TIMEOUT_MS,
        answer_ms=ANSWER_TIMEOUT_MS,
        connections_max=connections_max,
        connections_per_peer_max=max(1, int(connections_max * PEER_SHARE)),
    )


def _exit_on_invariant_error(error: utils.InvariantError) -> None:
    """Exit at once, so that no call acts on an inconsistent state."""
    _logger.critical('process ended', why=str(error))
    os._exit(EXIT_INVARIANT_ERROR)


def _stop_on_signals() -> threading.Event:
    stopping = threading.Event()

    def stop(_number: int, _frame: types.FrameType | None) -> None:
        stopping.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    # Settings are reread every RELOAD_EVERY_MS; no signal is needed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return stopping


def settings_path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(_settings.SETTINGS_VARIABLE, _settings.DEFAULT_PATH)
