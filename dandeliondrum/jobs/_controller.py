"""Controller for jobs: a member of the replicated log, sometimes leader."""

import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import pathlib
import threading
import time
import typing

from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.jobs import _adviser_client
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _damaged_folder
from dandeliondrum.jobs import _follower_reports
from dandeliondrum.jobs import _leader_calls
from dandeliondrum.jobs import _leader_options
from dandeliondrum.jobs import _membership
from dandeliondrum.jobs import _metrics
from dandeliondrum.jobs import _policy
from dandeliondrum.jobs import _port
from dandeliondrum.jobs import _state
from dandeliondrum.jobs import evacuations
from dandeliondrum import messages
from dandeliondrum import startup
from dandeliondrum import transport
from dandeliondrum import utils

if typing.TYPE_CHECKING:
    from dandeliondrum.jobs import _leadership

TRANSFER_TIMEOUT_MS = 1_500
# Limit for the replacement of a controller that stops.
HAND_OVER_TIMEOUT_MS = 2_000
STREAMS_MAX = 512

_logger = structlog.get_logger()

OnFatal = collections.abc.Callable[[utils.InvariantError], object]


@dataclasses.dataclass(frozen=True)
class ControllerOptions:
    """Settings of a controller.

    ``listen_address`` is the address at which other processes connect.
    ``started_ns`` is as in :class:`dandeliondrum.consensus.Options`.
    """

    link: _leader_calls.LinkOptions
    leader: _leader_options.LeaderOptions
    membership: _membership.MembershipOptions
    listen_address: str
    data_folder: pathlib.Path
    election_min_ms: int = 300
    election_max_ms: int = 600
    started_ns: int | None = None


@dataclasses.dataclass(frozen=True)
class Ports:
    """Adapters for the calls to workers and to the adviser."""

    workers: _port.WorkerPort
    adviser: _port.AdviserPort


class JobController:
    """Replicates the state of jobs and schedules them while it leads.

    Workers and operators may call any controller; a follower forwards the
    calls to the leader.
    """

    def __init__(
        self,
        options: ControllerOptions,
        ports: Ports,
        decode_policy: collections.abc.Callable[[bytes], _policy.Policy],
        on_fatal: OnFatal | None = None,
    ) -> None:
        self._options = options
        self._ports = ports
        self._timers = utils.TimerService()
        self._resources = contextlib.ExitStack()
        self._lock = threading.Lock()
        self._leadership: _leadership.Leadership | None = None
        self._closing = concurrent.futures.ThreadPoolExecutor(
            1, thread_name_prefix='closing'
        )
        self._adviser_client = _adviser_client.AdviserClient(ports.adviser)
        self.metrics = _metrics.Metrics()
        self.metrics.leading.set_function(lambda: float(self.is_leading()))
        self.state = _state.JobsState(decode_policy)
        self.metrics.evacuated_domains.set_function(
            lambda: float(len(self.state.evacuations.domains))
        )
        self.calls = _leader_calls.LeaderCalls(
            options.link,
            _leader_calls.ActivePolicy(decode_policy),
            self._adviser_client,
        )
        self._follower_reports = _follower_reports.FollowerReports(
            self.state, self.calls.link
        )
        self.node = consensus.Node(
            consensus.Options(
                controller_id=options.leader.controller_id,
                cell_id=options.link.cell_id,
                data_folder=options.data_folder,
                election_min_ms=options.election_min_ms,
                election_max_ms=options.election_max_ms,
                started_ns=options.started_ns,
                grants_founding=options.membership.may_found,
                voters_max=options.leader.voters_count,
            ),
            self.state,
            self,
            on_fatal,
            registry=self.metrics.registry,
        )
        self._membership = _membership.Membership(
            options.membership, self.node, self.calls
        )

    def start(
        self, retry: startup.Retry = startup.call_once
    ) -> result.Result[None, consensus.StartError]:
        """Load the stored state, listen for connections and join the cell.

        ``retry`` calls a function that opens a resource, again while it
        raises OSError or startup.NotReadyError, and raises an error at last.
        """
        with contextlib.ExitStack() as opened:
            started = self._open(opened, retry)
            if isinstance(started, result.Success):
                self._resources = opened.pop_all()
        return started

    def _open(
        self, opened: contextlib.ExitStack, retry: startup.Retry
    ) -> result.Result[None, consensus.StartError]:
        opened.callback(self._timers.close)
        self._timers.start()
        opened.callback(self._ports.workers.close)
        opened.callback(self._adviser_client.close)
        address = self._options.listen_address
        server = retry(f'port {address}', self._listen)
        closing_server = opened.enter_context(contextlib.ExitStack())
        closing_server.callback(server.close)
        try:
            started = retry('data folder', self._start_node)
        except consensus.NodeNotReadyError as error:
            return result.Failure(error.error)
        if isinstance(started, result.Failure):
            return started
        # The node is closed after the server, whose calls it handles.
        closing_server.pop_all()
        opened.callback(self._closing.shutdown)
        opened.callback(self.on_following)
        opened.callback(self.node.close)
        opened.callback(server.close)
        server.start()
        supervisor = utils.Supervisor('job controller')
        opened.callback(supervisor.close)
        opened.callback(self.calls.link.close)
        supervisor.run('leader link', self.calls.link.run)
        supervisor.run('membership', self._membership.run)
        # Peers are answered meanwhile; an election would have to wait for it.
        _load_leadership()
        return started

    def _listen(self) -> transport.Server:
        return transport.Server(
            transport.ServerOptions(
                self._options.listen_address,
                self._options.link.cell_id,
                STREAMS_MAX,
            ),
            transport.Callbacks(
                on_call=self._handle_call, on_close=self._disconnected
            ),
        )

    def _start_node(self) -> result.Result[None, consensus.StartError]:
        started = self.node.start()
        if isinstance(started, result.Success):
            return started
        error = started.failure()
        if error.is_damage and _damaged_folder.recover(
            self._options.data_folder,
            self._options.link,
            self._adviser_client,
            error,
        ):
            started = self.node.start()
            if isinstance(started, result.Success):
                return started
            error = started.failure()
        # A leader that can do without damaged files may be elected yet.
        if error.may_pass or error.is_damage:
            raise consensus.NodeNotReadyError(error)
        return started

    def close(self) -> None:
        """Hand over the leadership and the vote if possible, then stop."""
        self._membership.leave()
        deadline_ms = _clock.elapsed_ms() + HAND_OVER_TIMEOUT_MS
        has_successor = self._hand_over_vote(deadline_ms)
        status = self.node.status()
        if status.leader_id == self._options.leader.controller_id:
            transfer = self.node.transfer_leadership()
            with contextlib.suppress(TimeoutError):
                transfer.result(TRANSFER_TIMEOUT_MS / 1000)
        if has_successor:
            has_successor = self._hand_over_vote(deadline_ms)
        _logger.info('vote handed over' if has_successor else 'vote kept')
        self._resources.close()

    def _hand_over_vote(self, deadline_ms: int) -> bool:
        """Ask for a replacement; return whether there is a successor.

        A VM that is removed no longer counts as soon as this process ends,
        so that two others may be lost right after.
        """
        me = self._options.leader.controller_id
        while self._is_voter():
            left_ms = deadline_ms - _clock.elapsed_ms()
            if left_ms <= 0:
                return False
            match self._call(_calls.LeaveRequest(me), left_ms):
                case result.Success(_calls.LeaveReply(has_successor)):
                    return has_successor
                case result.Failure(error):
                    _logger.debug('not replaced yet', why=error.reason)
                    if not self.calls.failover_left_ms():
                        return False
            time.sleep(_leader_calls.RETRY_DELAY_MS / 1000)
        return True

    def set_seeds(
        self,
        seeds: collections.abc.Iterable[tuple[messages.ControllerId, str]],
    ) -> None:
        """Replace the controllers to ask for the leader, not the founders."""
        self._membership.set_seeds(seeds)

    def _is_voter(self) -> bool:
        me = self._options.leader.controller_id
        return any(
            member.controller_id == me and member.voter
            for member in self.node.status().members
        )

    def is_leading(self) -> bool:
        """Return whether this controller is the active leader."""
        return self._leadership is not None and self.node.is_leading()

    def on_leading(self, term: messages.Term) -> None:
        """Start leading; called by the consensus node when it is elected."""
        leadership = _load_leadership()(
            self._options.leader,
            term,
            self.state,
            self.node,
            self._ports.workers,
            self._adviser_client,
            self.metrics,
            self._timers,
        )
        with contextlib.ExitStack() as opened:
            opened.callback(leadership.close)
            leadership.open()
            opened.pop_all()
        with self._lock:
            self._leadership = leadership
        _logger.info('leading', term=term)

    def on_following(self) -> None:
        """Stop leading; called by the consensus node on losing leadership."""
        with self._lock:
            leadership = self._leadership
            self._leadership = None
        if leadership is None:
            return
        try:
            leadership.resign()
        finally:
            self._close_later(leadership)
        _logger.info('following')

    def _close_later(self, leadership: '_leadership.Leadership') -> None:
        """Close a leadership without waiting for all its threads to end."""
        try:
            closed = self._closing.submit(leadership.close)
        except RuntimeError:
            _logger.exception('leadership closed without a thread')
            leadership.close()
            return
        utils.log_failure(closed, 'leadership not closed in order')

    def report_worker(
        self, report: _calls.WorkerReport, timeout_ms: int
    ) -> result.Result[_calls.WorkerNoted, _leader_calls.Unavailable]:
        """Handle a worker's heartbeat, at the leader if it has news."""
        noted = self.acknowledge_report(report)
        if noted is not None:
            return result.Success(noted)
        return self._call(report, timeout_ms)

    def acknowledge_report(
        self, report: _calls.WorkerReport
    ) -> _calls.WorkerNoted | None:
        """Return the reply to a heartbeat that needs no waiting, else None."""
        with self._lock:
            leadership = self._leadership
        if leadership is not None:
            return leadership.acknowledge(report)
        if self._follower_reports.acknowledges(report):
            return _calls.WorkerNoted(self._known_leader_id())
        return None

    def has_news(self, report: _calls.WorkerReport) -> bool:
        """Return whether a heartbeat differs from what is known here."""
        # Read without the lock, as a snapshot of the state may hold it.
        known = self.state.workers.get(report.facts.worker_id)
        return known is None or known.facts != report.facts

    def report_worker_shutdown(
        self,
        worker_id: messages.WorkerId,
        timeout_ms: int,
        started_ms: int = 0,
    ) -> result.Result[_calls.WorkerNoted, _leader_calls.Unavailable]:
        """Tell the leader that a worker shuts down.

        ``started_ms`` is the start time of its incarnation, 0 if not known.
        """
        left = _calls.WorkerLeft(worker_id, started_ms)
        return self._call(left, timeout_ms)

    def change_document(
        self, version: int, document: bytes, timeout_ms: int
    ) -> result.Result[_calls.DocumentInForce, _leader_calls.Unavailable]:
        """Activate a validated document unless a newer one is active."""
        return self._call(_calls.DocumentChange(version, document), timeout_ms)

    def read_document(
        self, timeout_ms: int
    ) -> result.Result[_calls.DocumentInForce, _leader_calls.Unavailable]:
        """Return the newest policy document, confirmed by a quorum.

        It is transferred only if it is newer than the replica here.
        """
        known = self.state.active_document
        query = _calls.DocumentQuery(known.version)
        return self._call(query, timeout_ms).map(
            lambda current: (
                current
                if current.document
                else _calls.DocumentInForce(known.version, known.document)
            )
        )

    def change_domain(
        self,
        failure_domain: messages.FailureDomain,
        evacuated: bool,
        timeout_ms: int,
        requested_by: str = '',
        reason: str = '',
    ) -> result.Result[_calls.EvacuatedDomains, _leader_calls.Unavailable]:
        """Evacuate a failure domain, or restore it; return the orders.

        An order that meets a newer one than the replica here had is sent
        again after that one, as long as its sender waits for the reply.
        """
        deadline_ms = _clock.elapsed_ms() + timeout_ms
        origin = evacuations.Origin(requested_by, reason, _clock.unix_ms())
        known = self.state.evacuations
        while True:
            change = _calls.DomainChange(
                failure_domain,
                evacuated,
                known.last_index(failure_domain),
                origin,
            )
            left_ms = deadline_ms - _clock.elapsed_ms()
            outcome = self._call(change, max(0, left_ms))
            if isinstance(outcome, result.Failure):
                return outcome
            if not outcome.unwrap().is_outdated:
                return outcome
            if left_ms <= 0:
                return result.Failure(
                    _leader_calls.Unavailable('changed meanwhile', True)
                )
            known = evacuations.Evacuations(outcome.unwrap().orders)

    def evacuated_domains(
        self, timeout_ms: int
    ) -> result.Result[_calls.EvacuatedDomains, _leader_calls.Unavailable]:
        """Return the orders about failure domains, confirmed by a quorum."""
        return self._call(_calls.DomainQuery(), timeout_ms)

    def reported_domains(self) -> frozenset[messages.FailureDomain]:
        """Return the failure domains of the known workers."""
        # Read without the lock, as a snapshot of the state may hold it.
        return frozenset(
            worker.facts.failure_domain
            for worker in list(self.state.workers.values())
        )

    def _call(
        self, message: typing.Any, timeout_ms: int
    ) -> result.Result[typing.Any, _leader_calls.Unavailable]:
        with self._lock:
            leadership = self._leadership
        if leadership is None:
            return self.calls.call(message, timeout_ms)
        try:
            reply = leadership.handle(None, message)
            if hasattr(reply, 'result'):
                reply = reply.result(timeout_ms / 1000)
        except TimeoutError:
            return result.Failure(
                _leader_calls.Unavailable('not committed in time', False)
            )
        except Exception as error:
            kind = type(message).__name__
            _logger.exception('call failed', kind=kind)
            return result.Failure(
                _leader_calls.Unavailable(f'{kind} failed: {error!r}', False)
            )
        match reply:
            case messages.NotLeader():
                return result.Failure(
                    _leader_calls.Unavailable('no longer the leader', True)
                )
            case messages.CallFailed(reason, not_done):
                return result.Failure(
                    _leader_calls.Unavailable(reason, not_done)
                )
        return result.Success(reply)

    def _handle_call(
        self, connection: transport.Connection, message: typing.Any
    ) -> typing.Any:
        if self.node.handles(message):
            return self.node.handle(connection, message)
        with self._lock:
            leadership = self._leadership
        if leadership is None:
            return self._not_leader()
        return leadership.handle(connection, message)

    def _known_leader_id(self) -> messages.ControllerId:
        return (
            self.node.status().leader_id or self._options.leader.controller_id
        )

    def _not_leader(self) -> messages.NotLeader:
        status = self.node.status()
        leader_id = status.leader_id
        if leader_id is None or leader_id == status.controller_id:
            return messages.NotLeader()
        addresses = {
            member.controller_id: member.address for member in status.members
        }
        return messages.NotLeader(leader_id, addresses.get(leader_id, ''))

    def _disconnected(self, connection: transport.Connection) -> None:
        with self._lock:
            leadership = self._leadership
        if leadership is not None:
            leadership.disconnected(connection)


def _load_leadership() -> 'type[_leadership.Leadership]':
    """Import the scheduler and the rest that only a leader needs."""
    from dandeliondrum.jobs import _leadership

    return _leadership.Leadership
