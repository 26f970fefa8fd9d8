"""Assembles the components of a gateway, starts and stops them."""

import collections.abc
import contextlib
import dataclasses
import functools
import time
import typing

from returns import result
import structlog

from dandeliondrum.gateway import _active_rules
from dandeliondrum.gateway import _components
from dandeliondrum.gateway import _dispatch
from dandeliondrum.gateway import _durable_dispatcher
from dandeliondrum.gateway import _heartbeat_relay
from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _job_handlers
from dandeliondrum.gateway import _leader_link
from dandeliondrum.gateway import _metrics
from dandeliondrum.gateway import _operator_handlers
from dandeliondrum.gateway import _options
from dandeliondrum.gateway import _readiness
from dandeliondrum.gateway import _reporter
from dandeliondrum.gateway import _server
from dandeliondrum.gateway import _submitter
from dandeliondrum.gateway import _task_handlers
from dandeliondrum.gateway import _task_run_handlers
from dandeliondrum.gateway import _waiters
from dandeliondrum.gateway import _worker_client
from dandeliondrum.gateway import _worker_handlers
from dandeliondrum import http_server
from dandeliondrum import messages
from dandeliondrum import observability
from dandeliondrum import startup
from dandeliondrum import transport
from dandeliondrum import utils

REPORTS_FLUSH_MS = 2_000
FLUSH_POLL_MS = 20
# Connections to a worker not called for this long are closed.
UNUSED_CONNECTION_MS = 30_000

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class StartError:
    """Reason why a gateway could not start."""

    reason: str


class Gateway:
    """Serves callers, workers and operators over HTTP.

    ``on_fatal`` is called when an invariant is violated, so that the process
    can exit.

    Example::

        gateway = Gateway(options)
        match gateway.start():
            case result.Success(_):
                ...
        gateway.close()
    """

    def __init__(
        self,
        options: _options.Options,
        on_fatal: collections.abc.Callable[[utils.InvariantError], object]
        | None = None,
    ) -> None:
        self._options = options
        self._resources = contextlib.ExitStack()
        self._timers = utils.TimerService()
        self._supervisor = utils.Supervisor(
            f'gateway-{options.gateway_id}', on_fatal
        )
        self._waiters = _waiters.WaiterRegistry()
        self._active_rules = _active_rules.ActiveRules()
        self._link = _leader_link.LeaderLink(
            options,
            _leader_link.LinkEvents(
                self._on_leader_found, self._on_start, self._waiters.notify_all
            ),
            self._active_rules,
        )
        self._client = _worker_client.WorkerClient(
            options.connections_per_worker
        )
        self._budget = http_server.ByteBudget(
            max(options.requests_max_bytes, 2 * options.body_max_bytes)
        )
        self._components = self._make_components()
        self._heartbeat_relay = _heartbeat_relay.HeartbeatRelay(self._link)
        self._durable_dispatcher = _durable_dispatcher.DurableDispatcher(
            self._components.dispatcher,
            self._components.reporter,
            self._components.recent_attempts,
            options.durable_threads_count,
        )
        self._servers = self._make_servers()

    @property
    def callers_address(self) -> str:
        """Return the ``host:port`` that callers connect to."""
        return self._servers[0].address

    @property
    def workers_address(self) -> str:
        """Return the ``host:port`` that workers connect to."""
        return self._servers[1].address

    @property
    def operators_address(self) -> str:
        """Return the ``host:port`` that operators connect to."""
        return self._servers[2].address

    def ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        return not self._components.readiness.not_ready_reason()

    def start(
        self, retry: startup.Retry = startup.call_once
    ) -> result.Result[None, StartError]:
        """Listen on all ports and start the search for the leader.

        ``retry`` calls a function that opens a port, again while it raises
        OSError, and raises an error at last.
        """
        try:
            with contextlib.ExitStack() as opened:
                self._open(opened, retry)
                self._resources = opened.pop_all()
        except OSError as error:
            return result.Failure(StartError(str(error)))
        self._components.readiness.phase = _readiness.Phase.SERVING
        return result.Success(None)

    def _open(
        self, opened: contextlib.ExitStack, retry: startup.Retry
    ) -> None:
        # The first span would import it within a call, which may have less
        # time than the 250 ms that this takes.
        observability.import_tracing()
        opened.callback(self._timers.close)
        opened.callback(self._client.close)
        self._timers.start()
        self._timers.every(
            UNUSED_CONNECTION_MS,
            functools.partial(self._client.close_unused, UNUSED_CONNECTION_MS),
        )
        opened.callback(self._supervisor.close)
        opened.callback(self._link.close)
        # Callers come last: nothing is accepted before it can be served.
        for server in reversed(self._servers):
            opened.callback(server.drain, 0)
            retry(f'port {server.address}', server.open)
        self._supervisor.run('leader link', self._link.run)
        self._supervisor.run('reports', self._components.reporter.run)
        self._supervisor.run('heartbeats', self._heartbeat_relay.run)

    def close(self) -> None:
        """Report that the gateway is not ready, drain open calls and stop.

        The options limit how long this takes. Calls that are still waiting
        after that get a response that asks the caller to resend the id.
        """
        readiness = self._components.readiness
        with self._resources:
            if readiness.phase is _readiness.Phase.SERVING:
                readiness.phase = _readiness.Phase.DRAINING
                self._drain()

    def _drain(self) -> None:
        time.sleep(self._options.drain_notice_ms / 1000)
        self._timers.after(
            self._options.drain_max_ms,
            self._components.readiness.stopping.set,
        )
        callers, workers, _ = self._servers
        callers.drain(self._options.drain_max_ms)
        self._durable_dispatcher.close()
        workers.drain(_heartbeat_relay.RELAY_TIMEOUT_MS)
        self._flush_reports()

    def _flush_reports(self) -> None:
        end_ms = utils.monotonic_ms() + REPORTS_FLUSH_MS
        reporter = self._components.reporter
        while reporter.unconfirmed_count() > 0:
            if utils.monotonic_ms() > end_ms:
                _logger.warning(
                    'reports unconfirmed at shutdown',
                    reports_count=reporter.unconfirmed_count(),
                )
                return
            time.sleep(FLUSH_POLL_MS / 1000)

    def _make_components(self) -> _components.Components:
        metrics = _metrics.Metrics()
        return _components.Components(
            options=self._options,
            link=self._link,
            rules=self._active_rules,
            waiters=self._waiters,
            submitter=_submitter.Submitter(
                self._link, self._waiters, self._timers
            ),
            reporter=_reporter.Reporter(self._link, metrics),
            dispatcher=_dispatch.Dispatcher(self._options, self._client),
            recent_attempts=_dispatch.RecentAttempts(),
            readiness=_readiness.Readiness(self._link),
            metrics=metrics,
        )

    def _make_servers(self) -> tuple[_server.Server, ...]:
        components, options = self._components, self._options
        callers = (
            *_task_run_handlers.TaskRunHandlers(components).routes(),
            *_task_handlers.TaskHandlers(components).routes(),
            *_job_handlers.JobHandlers(components).routes(),
            *_operator_handlers.health_routes(components),
        )
        workers = _worker_handlers.WorkerHandlers(
            components, self._heartbeat_relay
        ).routes()
        operators = _operator_handlers.OperatorHandlers(components).routes()
        return (
            self._make_server(
                options.callers_address,
                options.callers_threads_count,
                callers,
                outcome='in_doubt',
            ),
            self._make_server(
                options.workers_address,
                options.workers_threads_count,
                workers,
            ),
            self._make_server(
                options.operators_address,
                options.operators_threads_count,
                operators,
            ),
        )

    def _make_server(
        self,
        address: str,
        threads_count: int,
        routes: tuple[_http.Route, ...],
        outcome: str = '',
    ) -> _server.Server:
        metrics = self._components.metrics
        application: typing.Any = _http.Application(routes, metrics, outcome)
        return _server.Server(
            transport.parse_address(address),
            application,
            threads_count,
            self._make_limits(),
            self._budget,
            metrics.observe_refused,
        )

    def _make_limits(self) -> http_server.Limits:
        options = self._options
        return http_server.Limits(
            header_bytes_max=_server.HEADERS_MAX_BYTES,
            body_bytes_max=options.body_max_bytes,
            arrival_ms=options.arrival_ms,
            idle_ms=options.arrival_ms,
            connections_max=options.connections_max,
            connections_per_peer_max=options.connections_max,
        )

    def _on_leader_found(self) -> None:
        self._components.submitter.submit_all()

    def _on_start(self, start: messages.StartAttempt) -> None:
        """Dispatch a durable start; pass others to the call with the body.

        A start without such a call is reported as never started.
        """
        if start.body is not None:
            self._durable_dispatcher.submit(start)
        elif not self._waiters.notify_one(start):
            if self._components.recent_attempts.add_if_new(start.attempt_id):
                self._components.reporter.report(
                    messages.AttemptReport(
                        start.attempt_id,
                        messages.AttemptState.NEVER_STARTED,
                        detail='no caller on this gateway waits for it',
                    )
                )
