"""Stand-in worker, used in place of the users' own workers."""

import contextlib
import dataclasses
import threading

from returns import result
import structlog

from dandeliondrum import messages
from dandeliondrum import startup
from dandeliondrum import utils
from dandeliondrum.worker import _attempt
from dandeliondrum.worker import _attempt_table
from dandeliondrum.worker import _encoding
from dandeliondrum.worker import _gateway_client
from dandeliondrum.worker import _heartbeats
from dandeliondrum.worker import _journal
from dandeliondrum.worker import _leases
from dandeliondrum.worker import _options
from dandeliondrum.worker import _runner
from dandeliondrum.worker import _server

_IDLE_CHECK_S = 0.02

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class StartError:
    """The reason why a worker can't start."""

    reason: str


class Worker:
    """A worker that runs in threads of this process.

    A process can run several workers.

    Example::

        worker = Worker(options)
        worker.start().unwrap()
        ...
        worker.leave()
        worker.wait_idle(timeout_ms=30_000)
        worker.close()
    """

    def __init__(self, options: _options.Options) -> None:
        self.options = options
        self.address = ''
        self._resources = contextlib.ExitStack()
        self._closed = threading.Event()
        self._gateway_client = _gateway_client.GatewayClient(options.gateways)
        self._leave_client = _gateway_client.GatewayClient(options.gateways)
        self._heartbeats: _heartbeats.Heartbeats | None = None

    def start(
        self, retry: startup.Retry = startup.call_once
    ) -> result.Result[None, StartError]:
        """Start the HTTP server, and heartbeats in a background thread.

        ``retry`` calls a function that opens a resource, again while it
        raises OSError, and raises an error at last.
        """
        problem = _validation_error(self.options)
        if problem:
            return result.Failure(StartError(problem))
        try:
            with contextlib.ExitStack() as opened:
                self._open(opened, retry)
                self._resources = opened.pop_all()
        except (OSError, ValueError) as error:
            return result.Failure(StartError(str(error)))
        return result.Success(None)

    def close(self) -> None:
        """Stop at once; running attempts are recorded as stopped."""
        self._closed.set()
        self._resources.close()

    def leave(self) -> None:
        """Refuse new starts and notify a gateway; running attempts go on."""
        if self._attempts.leaving:
            return
        self._attempts.leaving = True
        self._journal.record(_journal.EventKind.LEAVING)
        heartbeat = messages.WorkerHeartbeat(
            self.options.worker_id, self.incarnation, (), leaving=True
        )
        for _ in range(len(self._leave_client)):
            reply = self._leave_client.post(
                '/v1/workers/leave', _encoding.to_json(heartbeat)
            )
            if isinstance(reply, result.Success):
                break
        if self._heartbeats is not None:
            self._heartbeats.wake()

    def wait_idle(self, timeout_ms: int) -> bool:
        """Wait until the cell no longer needs this worker.

        This holds if no attempt runs, all ends are acknowledged, and no
        durable answer is left that is too large for the replicated log.
        Returns False on timeout.
        """
        deadline_ms = utils.monotonic_ms() + timeout_ms
        while not self._attempts.is_idle():
            if utils.monotonic_ms() >= deadline_ms:
                return False
            if self._closed.wait(_IDLE_CHECK_S):
                return False
        return True

    @property
    def incarnation(self) -> messages.Incarnation:
        """The current incarnation."""
        return self._journal.incarnation

    def events(self) -> tuple[_journal.Event, ...]:
        """Return the events of the journal, oldest first."""
        return self._journal.events()

    def _open(
        self, opened: contextlib.ExitStack, retry: startup.Retry
    ) -> None:
        opened.callback(self._gateway_client.close)
        opened.callback(self._leave_client.close)
        self._journal = retry('journal', self._open_journal)
        opened.callback(self._journal.close)
        self._journal.incarnation = _heartbeats.new_incarnation()
        timers = utils.TimerService()
        leases = _leases.Leases(timers, lambda: self._attempts.stop_expired())
        self._runner = _runner.Runner(self.options)
        self._attempts = _attempt_table.AttemptTable(
            self.options, self._journal, leases, self._run, self._on_ended
        )
        server = _server.Server(self.options, self._attempts, self._journal)
        closing_server = opened.enter_context(contextlib.ExitStack())
        closing_server.callback(server.close)
        self.address = retry(f'port {self.options.address}', server.listen)
        # A worker that waits for its port may never begin.
        opened.callback(self._journal.record, _journal.EventKind.CLOSED)
        self._journal.record(
            _journal.EventKind.BEGUN,
            resources=self.options.resources,
            slots_count=self.options.slots_count,
        )
        closing_server.pop_all()
        opened.callback(self._runner.close)
        opened.callback(server.close)
        opened.callback(self._attempts.close)
        server.start()
        opened.callback(timers.close)
        timers.start()
        self._start_heartbeats(opened, timers, leases)

    def _open_journal(self) -> _journal.Journal:
        return _journal.Journal(
            self.options.worker_id, self.options.journal_path
        )

    def _start_heartbeats(
        self,
        opened: contextlib.ExitStack,
        timers: utils.TimerService,
        leases: _leases.Leases,
    ) -> None:
        heartbeats = _heartbeats.Heartbeats(
            self._facts(),
            self._gateway_client,
            self._attempts,
            leases,
            self._journal,
        )
        self._heartbeats = heartbeats
        supervisor = utils.Supervisor(f'worker {self.options.worker_id}')
        opened.callback(supervisor.close)
        opened.callback(heartbeats.wake)
        opened.callback(supervisor.stopping.set)
        _heartbeats.schedule_heartbeats(
            heartbeats, timers, self.options.heartbeat_ms
        )
        supervisor.run('heartbeats', heartbeats.run)

    def _facts(self) -> messages.WorkerFacts:
        return messages.WorkerFacts(
            worker_id=self.options.worker_id,
            incarnation=self._journal.incarnation,
            address=self.options.advertised_address or self.address,
            region=self.options.region,
            failure_domain=self.options.failure_domain,
            rack=self.options.rack,
            resources=self.options.resources,
            slots_count=self.options.slots_count,
            connections_count=self.options.connections_count,
        )

    def _run(self, attempt: _attempt.Attempt) -> None:
        self._runner.run(attempt, self._attempts.finish)

    def _on_ended(self, attempt: _attempt.Attempt) -> None:
        urgent = attempt.call.durable or attempt.stop_reason
        if urgent and self._heartbeats is not None:
            self._heartbeats.wake()


def _validation_error(options: _options.Options) -> str:
    if not options.gateways:
        return 'gateways must contain at least one address'
    if options.slots_count < 1:
        return f'slots_count must be at least 1, got {options.slots_count}'
    if options.heartbeat_ms < 1:
        return f'heartbeat_ms must be at least 1, got {options.heartbeat_ms}'
    return ''
