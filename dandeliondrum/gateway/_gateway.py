"""A gateway as a whole: its parts, their start and their end."""

import collections.abc
import contextlib
import dataclasses
import functools
import time
import typing

from returns import result
import structlog

from dandeliondrum.gateway import _callers
from dandeliondrum.gateway import _dispatch
from dandeliondrum.gateway import _durable
from dandeliondrum.gateway import _heartbeats
from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _jobs
from dandeliondrum.gateway import _leader_link
from dandeliondrum.gateway import _metrics
from dandeliondrum.gateway import _operators
from dandeliondrum.gateway import _options
from dandeliondrum.gateway import _readiness
from dandeliondrum.gateway import _reporter
from dandeliondrum.gateway import _rules
from dandeliondrum.gateway import _server
from dandeliondrum.gateway import _services
from dandeliondrum.gateway import _submitter
from dandeliondrum.gateway import _tasks
from dandeliondrum.gateway import _waiters
from dandeliondrum.gateway import _worker_client
from dandeliondrum.gateway import _workers
from dandeliondrum import messages
from dandeliondrum import transport
from dandeliondrum import utils

SUPERVISED_TASKS_COUNT = 3
REPORTS_FLUSH_MS = 2_000
FLUSH_POLL_MS = 20
# Connections to a worker that was not called for this long are closed.
UNUSED_MS = 30_000

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class StartError:
    """Why a gateway could not start."""

    reason: str


class Gateway:
    """Serves callers, workers and operators over HTTP.

    ``on_fatal`` is called on a broken invariant, so that the process can end.

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
            f'gateway-{options.gateway_id}', SUPERVISED_TASKS_COUNT, on_fatal
        )
        self._waiters = _waiters.Waiters()
        self._rules = _rules.RulesInForce()
        self._link = _leader_link.LeaderLink(
            options,
            _leader_link.LinkEvents(
                self._on_up, self._on_start, self._waiters.notify_all
            ),
            self._rules,
        )
        self._client = _worker_client.WorkerClient(
            options.connections_per_worker
        )
        self._services = self._make_services()
        self._heartbeats = _heartbeats.Heartbeats(self._link)
        self._durable = _durable.DurableDispatch(
            self._services.dispatcher,
            self._services.reporter,
            self._services.attempts_seen,
            options.durable_threads_count,
        )
        self._servers = self._make_servers()

    @property
    def callers_address(self) -> str:
        """Return ``host:port`` that callers use."""
        return self._servers[0].address

    @property
    def workers_address(self) -> str:
        """Return ``host:port`` that workers use."""
        return self._servers[1].address

    @property
    def operators_address(self) -> str:
        """Return ``host:port`` that operators use."""
        return self._servers[2].address

    def ready(self) -> bool:
        """Return whether callers should be sent here."""
        return not self._services.readiness.problem()

    def start(self) -> result.Result[None, StartError]:
        """Listen on all ports and look for the leader."""
        self._timers.start()
        self._resources.callback(self._timers.close)
        self._resources.callback(self._client.close)
        self._timers.every(
            UNUSED_MS, functools.partial(self._client.close_unused, UNUSED_MS)
        )
        self._resources.callback(self._supervisor.close)
        self._resources.callback(self._link.close)
        for server in self._servers:
            try:
                server.open()
            except OSError as error:
                self._resources.close()
                return result.Failure(StartError(str(error)))
            self._resources.callback(server.drain, 0)
        self._supervisor.run('leader link', self._link.run)
        self._supervisor.run('reports', self._services.reporter.run)
        self._supervisor.run('heartbeats', self._heartbeats.run)
        self._services.readiness.phase = _readiness.Phase.SERVING
        return result.Success(None)

    def close(self) -> None:
        """Notify the balancer, let open calls end, then stop.

        The time is bounded by the options; calls that still wait then are
        asked to send their id again.
        """
        readiness = self._services.readiness
        if readiness.phase is _readiness.Phase.SERVING:
            readiness.phase = _readiness.Phase.DRAINING
            time.sleep(self._options.drain_notice_ms / 1000)
            self._timers.after(
                self._options.drain_max_ms, readiness.stopping.set
            )
            callers, workers, _ = self._servers
            callers.drain(self._options.drain_max_ms)
            self._durable.close()
            workers.drain(_heartbeats.HEARTBEAT_DEADLINE_MS)
            self._flush_reports()
        self._resources.close()

    def _flush_reports(self) -> None:
        end_ms = utils.monotonic_ms() + REPORTS_FLUSH_MS
        reporter = self._services.reporter
        while reporter.unconfirmed_count() > 0:
            if utils.monotonic_ms() > end_ms:
                _logger.warning(
                    'reports left over',
                    reports_count=reporter.unconfirmed_count(),
                )
                return
            time.sleep(FLUSH_POLL_MS / 1000)

    def _make_services(self) -> _services.Services:
        metrics = _metrics.Metrics()
        return _services.Services(
            options=self._options,
            link=self._link,
            rules=self._rules,
            waiters=self._waiters,
            submitter=_submitter.Submitter(
                self._link, self._waiters, self._timers
            ),
            reporter=_reporter.Reporter(self._link, metrics),
            dispatcher=_dispatch.Dispatcher(self._options, self._client),
            attempts_seen=_dispatch.AttemptsSeen(),
            readiness=_readiness.Readiness(self._link),
            metrics=metrics,
        )

    def _make_servers(self) -> tuple[_server.Server, ...]:
        services, options = self._services, self._options
        callers = (
            *_callers.Callers(services).routes(),
            *_tasks.Tasks(services).routes(),
            *_jobs.Jobs(services).routes(),
            *_operators.health_routes(services),
        )
        workers = _workers.Workers(services, self._heartbeats).routes()
        operators = _operators.Operators(services).routes()
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
        metrics = self._services.metrics
        application: typing.Any = _http.Application(routes, metrics, outcome)
        return _server.Server(
            transport.parse_address(address),
            application,
            threads_count,
            self._timers,
            self._options.arrival_ms,
            metrics.observe_refused,
        )

    def _on_up(self) -> None:
        self._services.submitter.submit_all()

    def _on_start(self, start: messages.StartAttempt) -> None:
        """Hand a pushed start to who has its body."""
        if start.body is not None:
            self._durable.submit(start)
        elif not self._waiters.notify_one(start):
            if self._services.attempts_seen.first(start.attempt_id):
                self._services.reporter.report(
                    messages.AttemptReport(
                        start.attempt_id,
                        messages.AttemptState.NEVER_STARTED,
                        detail='no caller waits for it here',
                    )
                )
