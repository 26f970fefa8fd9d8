"""A controller: a member of the replicated log that can become its leader."""

import contextlib
import functools
import threading
import typing

from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.controller import _context
from dandeliondrum.controller import _leadership
from dandeliondrum.controller import _metrics
from dandeliondrum.controller import _options
from dandeliondrum.controller import _state
from dandeliondrum import messages
from dandeliondrum import observability
from dandeliondrum import startup
from dandeliondrum import transport
from dandeliondrum import utils

TRANSFER_TIMEOUT_MS = 2_000

_logger = structlog.get_logger()


class Controller:
    """Holds the replicated state and schedules tasks while it leads.

    Example::

        controller = Controller(options)
        controller.start().unwrap()
        ...
        controller.close()
    """

    def __init__(
        self,
        options: _options.Options,
        on_fatal: _leadership.OnFatal | None = None,
    ) -> None:
        self._options = options
        self._on_fatal = on_fatal
        self._metrics = _metrics.Metrics()
        self._metrics.leading.set_function(lambda: float(self.is_leading()))
        self._resources = contextlib.ExitStack()
        self._lock = threading.Lock()
        self._leadership: _leadership.Leadership | None = None
        self._timers = utils.TimerService()
        self._serving = False
        self.state = _state.CellState()
        self._metrics.evacuated_domains.set_function(
            lambda: float(len(self.state.evacuations.domains))
        )
        self.node = consensus.Node(
            consensus.Options(
                controller_id=options.controller_id,
                cell_id=options.cell_id,
                data_folder=options.data_folder,
                addresses=options.controllers,
                heartbeat_ms=options.heartbeat_ms,
                election_min_ms=options.election_min_ms,
                election_max_ms=options.election_max_ms,
                snapshot_every_entries=options.snapshot_every_entries,
                started_ns=options.started_ns,
            ),
            self.state,
            self,
            on_fatal,
            registry=self._metrics.registry,
        )

    def start(
        self, retry: startup.Retry = startup.call_once
    ) -> result.Result[None, consensus.StartError]:
        """Load the stored log, listen for connections and join the cell.

        ``retry`` calls a function that opens a resource, again while it
        raises OSError or startup.NotReadyError, and raises an error at last.
        """
        with contextlib.ExitStack() as opened:
            started = self._open(opened, retry)
            if isinstance(started, result.Success):
                self._resources = opened.pop_all()
                self._serving = True
        return started

    def _open(
        self, opened: contextlib.ExitStack, retry: startup.Retry
    ) -> result.Result[None, consensus.StartError]:
        opened.callback(self._timers.close)
        self._timers.start()
        address = self._options.listen_address
        server = retry(f'port {address}', self._listen)
        closing_server = opened.enter_context(contextlib.ExitStack())
        closing_server.callback(server.close)
        try:
            started = retry('data folder', self._start_node)
            if isinstance(started, result.Success):
                opened.callback(self.on_following)
                opened.callback(self.node.close)
                # Its endpoints answer only once the log is loaded.
                started = self._serve_endpoints(opened, retry)
        except consensus.NodeNotReadyError as error:
            return result.Failure(error.error)
        except startup.NotReadyError as error:
            return result.Failure(consensus.StartError(str(error)))
        if isinstance(started, result.Failure):
            return started
        # The node is closed after the server, whose calls it handles.
        closing_server.pop_all()
        opened.callback(server.close)
        server.start()
        return started

    def _listen(self) -> transport.Server:
        return transport.Server(
            transport.ServerOptions(
                self._options.listen_address, self._options.cell_id
            ),
            transport.Callbacks(
                on_call=self._handle_call, on_close=self._on_close
            ),
        )

    def _start_node(self) -> result.Result[None, consensus.StartError]:
        started = self.node.start()
        if isinstance(started, result.Failure):
            error = started.failure()
            if error.may_pass:
                raise consensus.NodeNotReadyError(error)
        return started

    def _serve_endpoints(
        self, opened: contextlib.ExitStack, retry: startup.Retry
    ) -> result.Result[None, consensus.StartError]:
        if not self._options.metrics_address:
            return result.Success(None)
        server = observability.Server(
            self._options.metrics_address,
            observability.Endpoints(self._metrics.registry, self._readiness),
        )
        opened.callback(server.close)
        started: result.Result[None, consensus.StartError] = retry(
            f'port {server.address}',
            functools.partial(_start_endpoints, server),
        )
        return started

    def _readiness(self) -> observability.Readiness:
        if not self._serving:
            return observability.Readiness(False, 'starting or stopping')
        if self.node.status().leader_id is None:
            return observability.Readiness(False, 'no leader is known')
        return observability.Readiness(True)

    def close(self, transfer_leadership: bool = True) -> None:
        """Try to transfer leadership if this controller leads, then stop.

        Without ``transfer_leadership`` it stops at once, and the other
        controllers elect a leader after their election timeout.
        """
        self._serving = False
        leader_id = self.node.status().leader_id
        if transfer_leadership and leader_id == self._options.controller_id:
            with contextlib.suppress(Exception):
                self.node.transfer_leadership().result(
                    TRANSFER_TIMEOUT_MS / 1000
                )
        self._resources.close()

    def is_leading(self) -> bool:
        """Return whether this controller currently acts as the leader."""
        return self._leadership is not None and self.node.is_leading()

    def on_leading(self, term: messages.Term) -> None:
        """Start leading; called by the log once this node is the leader."""
        context = _context.Context(
            self._options, self.state, self.node, term, self._metrics
        )
        leadership = _leadership.Leadership(
            context, self._timers, self._on_fatal
        )
        with contextlib.ExitStack() as opened:
            opened.callback(leadership.close)
            leadership.open()
            opened.pop_all()
        with self._lock:
            self._leadership = leadership
        _logger.info('leading', term=term)

    def on_following(self) -> None:
        """Stop leading; called by the log when leadership is lost."""
        with self._lock:
            leadership = self._leadership
            self._leadership = None
        if leadership is not None:
            leadership.close()
            _logger.info('following')

    def _handle_call(
        self, connection: transport.Connection, message: typing.Any
    ) -> typing.Any:
        if self.node.handles(message):
            return self.node.handle(connection, message)
        if isinstance(message, messages.FormCell):
            return self._form_cell(message)
        with self._lock:
            leadership = self._leadership
        if leadership is None:
            return self._redirect_to_leader()
        return leadership.handle_call(connection, message)

    def _form_cell(self, call: messages.FormCell) -> typing.Any:
        match self.node.bootstrap(call.controllers):
            case result.Success():
                return messages.Done()
            case result.Failure(error):
                return messages.CallFailed(str(error), True)

    def _redirect_to_leader(self) -> messages.NotLeader:
        status = self.node.status()
        leader_id = status.leader_id
        if leader_id is None or leader_id == self._options.controller_id:
            return messages.NotLeader()
        # A controller that was added at run time is not in the settings.
        member_addresses = {
            member.controller_id: member.address for member in status.members
        }
        address = member_addresses.get(leader_id, '')
        return messages.NotLeader(
            leader_id, self._options.controllers.get(leader_id, address)
        )

    def _on_close(self, connection: transport.Connection) -> None:
        with self._lock:
            leadership = self._leadership
        if leadership is not None:
            leadership.on_close(connection)


def _start_endpoints(
    server: observability.Server,
) -> result.Result[None, consensus.StartError]:
    """Open the port; raise NotReadyError if that may succeed later."""
    match server.start():
        case result.Failure(error):
            why = f'{error.address}: {error.reason}'
            if error.may_pass:
                raise startup.NotReadyError(why)
            return result.Failure(consensus.StartError(why))
    return result.Success(None)
