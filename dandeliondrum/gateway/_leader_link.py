"""Stream to the leading controller.

A background thread finds the leader, registers with it and sends heartbeats.
If a heartbeat is not answered in time, no more calls are sent and the other
controllers are tried, even if the stream still looks healthy. It is closed as
soon as another leader is found, or if the answer does not arrive at all: a
leader that is only slow need not be registered with again, and the calls that
it has received are answered. A registration whose answer is late is kept in
the same way. A leader that refuses a heartbeat for now, with a time to retry,
keeps its stream.
"""

import collections
import collections.abc
import concurrent.futures
import dataclasses
import threading
import typing

from returns import result
import structlog

from dandeliondrum import messages
from dandeliondrum import transport
from dandeliondrum import utils

HEARTBEAT_INTERVAL_MS = 250
HEARTBEAT_TIMEOUT_MS = 500
# A TCP handshake takes 41 ms between regions; the kernel completes it, so a
# busy controller does not delay it.
CONNECT_TIMEOUT_MS = 200
REGISTER_TIMEOUT_MS = 400
ROUND_PAUSE_MS = 100
# Longer than an election takes after a leader was found to be unresponsive,
# which is at least 0.5 s after its last message.
UNRESPONSIVE_SKIP_MS = 700
# The stream of a leader whose answer is late is kept for this long.
LATE_LEADER_WAIT_MS = 700

_logger = structlog.get_logger()


class LinkOptions(typing.Protocol):
    """Identity of the process and the initial list of controllers."""

    @property
    def gateway_id(self) -> messages.GatewayId:
        """Return the id under which this process registers."""

    @property
    def cell_id(self) -> messages.CellId:
        """Return the id of the cell that the controllers belong to."""

    @property
    def region(self) -> messages.Region:
        """Return the region of this process."""

    @property
    def failure_domain(self) -> messages.FailureDomain:
        """Return the failure domain of this process."""

    @property
    def controllers(
        self,
    ) -> collections.abc.Iterable[tuple[messages.ControllerId, str]]:
        """Return the ids and addresses of controllers."""


class Rules(typing.Protocol):
    """Store for the rules that the leader sends."""

    version: messages.RulesVersion

    def update_if_newer(
        self, version: messages.RulesVersion, text: str
    ) -> None:
        """Replace the rules if ``version`` is newer than the current one."""


@dataclasses.dataclass(frozen=True)
class LinkEvents:
    """Callbacks of the link; they must return quickly and not block.

    ``on_call`` handles calls from the leader; its reply may be a future.
    """

    on_leader_found: collections.abc.Callable[[], object]
    on_start: collections.abc.Callable[[messages.StartAttempt], object]
    on_status: collections.abc.Callable[[messages.TaskStatus], object]
    on_call: transport.Handler | None = None


@dataclasses.dataclass(frozen=True)
class _Candidate:
    controller_id: messages.ControllerId
    address: str


@dataclasses.dataclass(frozen=True, eq=False)
class _LateLeader:
    """A controller whose answer is late, but may still arrive.

    The call was a heartbeat, or a registration if ``is_registering``.
    """

    candidate: _Candidate
    stream: transport.Connection
    answer: transport.CallFuture
    expiry_ms: int
    is_registering: bool

    def is_due(self) -> bool:
        """Return whether it has answered or can't be waited for any more."""
        return self.answer.done() or utils.monotonic_ms() >= self.expiry_ms

    def is_leading(self) -> bool:
        """Return whether it has answered as a leader."""
        if not self.answer.done():
            return False
        match self.answer.result():
            case result.Success(
                messages.GatewayHeartbeatReply() | messages.GatewayRegistered()
            ):
                return True
            case result.Success(messages.CallFailed(retry_after_ms=retry_ms)):
                return retry_ms > 0 and not self.is_registering
            case _:
                return False


class LeaderLink:
    """Keeps a registered stream to the current leader."""

    def __init__(
        self,
        options: LinkOptions,
        events: LinkEvents,
        rules: Rules,
    ) -> None:
        self.rules = rules
        self.term = messages.Term(0)
        self._options = options
        self._events = events
        self._configured: tuple[_Candidate, ...] = ()
        self._members: tuple[_Candidate, ...] = ()
        self.set_controllers(options.controllers)
        self._lock = threading.Lock()
        self._documents = transport.DocumentReceiver(
            lambda version, text: self.rules.update_if_newer(version, text)
        )
        # Whether the current leader serves parts of large rules.
        self._serves_parts = False
        self._current: transport.Connection | None = None
        self._connecting: transport.Connection | None = None
        self._late_leader: _LateLeader | None = None
        self._last_leader: _Candidate | None = None
        # Addresses of unresponsive controllers, with the end of the skip time.
        self._skip_until_ms: dict[str, int] = {}
        self._answered_ms: int | None = None
        # When a leader last named no newer rules than the active ones.
        self._rules_confirmed_ms: int | None = None
        self._down_since_ms = utils.monotonic_ms()
        self._closed = False

    def set_controllers(
        self,
        controllers: collections.abc.Iterable[
            tuple[messages.ControllerId, str]
        ],
    ) -> None:
        """Replace the configured list of controllers."""
        self._configured = _candidates(controllers)

    def run(self, stopping: threading.Event) -> None:
        """Search for the leader and serve it until ``stopping`` is set."""
        try:
            while not stopping.is_set() and not self._closed:
                self._search(stopping)
                self._resume_late_leader(stopping)
                stopping.wait(ROUND_PAUSE_MS / 1000)
        finally:
            self._close_late_leader()

    def close(self) -> None:
        """Close the stream; pending calls fail."""
        with self._lock:
            self._closed = True
            streams = [self._current, self._connecting]
            if self._late_leader is not None:
                streams.append(self._late_leader.stream)
        for stream in streams:
            if stream is not None:
                stream.close()

    def is_answering(self) -> bool:
        """Return whether the leader answered the last heartbeat in time."""
        answered_ms = self._answered_ms
        if not self.is_up() or answered_ms is None:
            return False
        age_ms = utils.monotonic_ms() - answered_ms
        return age_ms <= HEARTBEAT_INTERVAL_MS + HEARTBEAT_TIMEOUT_MS

    def since_last_answer_ms(self) -> int | None:
        """Return the time since a leader last answered, or None if never."""
        return _since_ms(self._answered_ms)

    def since_rules_confirmed_ms(self) -> int | None:
        """Return the time since a leader had no newer rules, None if never."""
        return _since_ms(self._rules_confirmed_ms)

    def down_ms(self) -> int:
        """Return how long no stream has been open; 0 while one is."""
        if self._current is not None:
            return 0
        return utils.monotonic_ms() - self._down_since_ms

    def is_up(self) -> bool:
        """Return whether a registered stream is open."""
        stream = self._current
        return stream is not None and not stream.closed.is_set()

    def call_async(self, message: typing.Any) -> transport.CallFuture:
        """Send a call to the leader.

        The future holds the reply or a CallError. A NotLeader reply is
        reported as ``NOT_SENT``, because the call had no effect.
        """
        stream = self._current
        future: transport.CallFuture = concurrent.futures.Future()
        if stream is None:
            future.set_result(_not_sent('no leader'))
            return future
        stream.call_async(message).add_done_callback(
            lambda done: self._forward_reply(stream, done, future)
        )
        return future

    def call(
        self, message: typing.Any, timeout_ms: int
    ) -> result.Result[typing.Any, transport.CallError]:
        """Send a call and wait for its reply."""
        return _wait(self.call_async(message), timeout_ms)

    def _forward_reply(
        self,
        stream: transport.Connection,
        done: transport.CallFuture,
        future: transport.CallFuture,
    ) -> None:
        reply = done.result()
        match reply:
            case result.Success(messages.NotLeader()):
                stream.close()
                future.set_result(
                    _not_sent('the controller is no longer the leader')
                )
            case _:
                future.set_result(reply)

    def _search(self, stopping: threading.Event) -> None:
        waiting = collections.deque(self._ordered_candidates())
        tried: set[str] = set()
        while waiting and not stopping.is_set() and not self._closed:
            candidate = waiting.popleft()
            if self._late_leader is not None and self._late_leader.is_due():
                return
            if candidate.address in tried:
                continue
            tried.add(candidate.address)
            reply = self._connect_and_serve(candidate, stopping)
            if reply is None:
                continue
            hinted = self._candidate_of_hint(reply)
            # Followers keep naming a lost leader until the next one is
            # elected. Such a hint is not followed, because the lost leader
            # may accept connections without answering.
            if hinted is not None and hinted != self._last_leader:
                waiting.appendleft(hinted)

    def _ordered_candidates(self) -> list[_Candidate]:
        """Return the controllers to try; the last leader comes last.

        A controller that recently did not answer would block the search until
        a timeout, so it is skipped while a successor is being elected, unless
        no other one is left. A leader whose answer is late is not tried.
        """
        known = self._known_controllers()
        if self._late_leader is not None:
            late = self._late_leader.candidate
            known = [one for one in known if one != late]
        now_ms = utils.monotonic_ms()
        others = [
            one
            for one in known
            if now_ms >= self._skip_until_ms.get(one.address, 0)
        ]
        return sorted(
            others or known, key=lambda one: one == self._last_leader
        )

    def _mark_unresponsive(self, candidate: _Candidate) -> None:
        until_ms = utils.monotonic_ms() + UNRESPONSIVE_SKIP_MS
        self._skip_until_ms[candidate.address] = until_ms

    def _known_controllers(self) -> list[_Candidate]:
        """Return the members that the last leader named, then the others.

        The members are included because all configured controllers may have
        been replaced. A configured address takes precedence over the one that
        the leader named, since it may be that of a proxy.
        """
        configured = {one.controller_id: one for one in self._configured}
        known = {
            one.controller_id: configured.get(one.controller_id, one)
            for one in self._members
        }
        return list((known | configured).values())

    def _candidate_of_hint(
        self, reply: messages.NotLeader
    ) -> _Candidate | None:
        if reply.leader_id is None:
            return None
        for candidate in self._known_controllers():
            if candidate.controller_id == reply.leader_id:
                return candidate
        if not reply.leader_address:
            return None
        return _Candidate(reply.leader_id, reply.leader_address)

    def _connect_and_serve(
        self, candidate: _Candidate, stopping: threading.Event
    ) -> messages.NotLeader | None:
        """Connect and serve while it leads; return its hint, if any."""
        hello = messages.Hello(
            self._options.cell_id,
            transport.PROTOCOL_VERSION,
            messages.PeerKind.GATEWAY,
            self._options.gateway_id,
        )
        callbacks = transport.Callbacks(
            on_call=self._events.on_call, on_push=self._on_push
        )
        try:
            stream = transport.connect(
                candidate.address, hello, callbacks, CONNECT_TIMEOUT_MS
            )
        except (OSError, ValueError) as error:
            if isinstance(error, TimeoutError):
                self._mark_unresponsive(candidate)
            _logger.debug(
                'controller not reached',
                controller=candidate.controller_id,
                why=str(error),
            )
            return None
        with self._lock:
            self._connecting = stream
            closed = self._closed
        try:
            if closed:
                return None
            return self._register_and_serve(candidate, stream, stopping)
        finally:
            self._leave(stream)

    def _leave(self, stream: transport.Connection) -> None:
        """Send no more calls; close the stream unless an answer is late."""
        late = self._late_leader
        with self._lock:
            if self._current is not None:
                self._down_since_ms = utils.monotonic_ms()
            self._current = None
            self._connecting = None
        if late is None or late.stream is not stream:
            stream.close()

    def _resume_late_leader(self, stopping: threading.Event) -> None:
        """Use the stream of a leader again that has answered after all."""
        late = self._late_leader
        if late is None or not late.is_due():
            return
        if not late.is_leading():
            self._close_late_leader()
            return
        _logger.info(
            'late leader answers', controller=late.candidate.controller_id
        )
        with self._lock:
            self._late_leader = None
        try:
            self._serve_late_leader(late, stopping)
        finally:
            self._leave(late.stream)

    def _serve_late_leader(
        self, late: _LateLeader, stopping: threading.Event
    ) -> None:
        match late.answer.result():
            case result.Success(messages.GatewayRegistered() as registered):
                self._activate(late.candidate, late.stream, registered)
                self._send_heartbeats(late.candidate, late.stream, stopping)
            case _:
                with self._lock:
                    self._current = late.stream
                self._events.on_leader_found()
                self._send_heartbeats(
                    late.candidate, late.stream, stopping, late.answer
                )

    def _close_late_leader(self) -> None:
        with self._lock:
            late, self._late_leader = self._late_leader, None
        if late is not None:
            late.stream.close()

    def _register_and_serve(
        self,
        candidate: _Candidate,
        stream: transport.Connection,
        stopping: threading.Event,
    ) -> messages.NotLeader | None:
        register = messages.RegisterGateway(
            self._options.gateway_id,
            self._options.region,
            self._options.failure_domain,
            self.rules.version,
            takes_parts=True,
            process_age_ms=utils.process_age_ms(),
        )
        answer = stream.call_async(register)
        match _wait(answer, REGISTER_TIMEOUT_MS):
            case result.Success(messages.GatewayRegistered() as registered):
                self._activate(candidate, stream, registered)
                return self._send_heartbeats(candidate, stream, stopping)
            case result.Success(messages.NotLeader() as reply):
                return reply
            case other:
                if _is_timeout(other):
                    self._mark_unresponsive(candidate)
                    self._keep_registration(candidate, stream, answer)
                _logger.info(
                    'not registered',
                    controller=candidate.controller_id,
                    why=str(other),
                )
                return None

    def _activate(
        self,
        candidate: _Candidate,
        stream: transport.Connection,
        registered: messages.GatewayRegistered,
    ) -> None:
        self.term = registered.term
        self.rules.update_if_newer(
            registered.rules_version, registered.rules_text
        )
        newest = registered.newest_rules_version
        self._serves_parts = newest is not None
        self._record_answer(stream, newest or registered.rules_version)
        self._last_leader = candidate
        with self._lock:
            self._current = stream
        self._close_late_leader()
        _logger.info(
            'leader found',
            controller=candidate.controller_id,
            term=registered.term,
        )
        self._events.on_leader_found()

    def _send_heartbeats(
        self,
        candidate: _Candidate,
        stream: transport.Connection,
        stopping: threading.Event,
        first_answer: transport.CallFuture | None = None,
    ) -> messages.NotLeader | None:
        while not stopping.is_set() and not self._closed:
            heartbeat = messages.GatewayHeartbeat(self.rules.version)
            answer = first_answer or stream.call_async(heartbeat)
            first_answer = None
            pause_ms = HEARTBEAT_INTERVAL_MS
            match _wait(answer, HEARTBEAT_TIMEOUT_MS):
                case result.Success(messages.GatewayHeartbeatReply() as reply):
                    self._record_answer(stream, reply.rules_version)
                    self.term = reply.term
                    if reply.controllers:
                        self._members = _candidates(reply.controllers)
                case result.Success(messages.NotLeader() as other):
                    return other
                case result.Success(
                    messages.CallFailed(reason=why, retry_after_ms=retry_ms)
                ) if retry_ms:
                    _logger.info(
                        'heartbeat refused',
                        controller=candidate.controller_id,
                        why=why,
                        retry_after_ms=retry_ms,
                    )
                    pause_ms = retry_ms
                case other:
                    _logger.warning(
                        'leader lost',
                        controller=candidate.controller_id,
                        why=str(other),
                    )
                    if _is_timeout(other):
                        self._mark_unresponsive(candidate)
                        self._set_late_leader(
                            candidate, stream, answer, is_registering=False
                        )
                    return None
            stream.closed.wait(pause_ms / 1000)
        return None

    def _record_answer(
        self, stream: transport.Connection, newest: messages.RulesVersion
    ) -> None:
        self._answered_ms = utils.monotonic_ms()
        if newest <= self.rules.version:
            self._rules_confirmed_ms = self._answered_ms
        elif self._serves_parts:
            self._request_rules(stream, newest)

    def _request_rules(
        self, stream: transport.Connection, newest: messages.RulesVersion
    ) -> None:
        self._documents.request(stream, newest, self.rules.version)

    def _keep_registration(
        self,
        candidate: _Candidate,
        stream: transport.Connection,
        answer: transport.CallFuture,
    ) -> None:
        """Keep a late registration unless a registered leader is late."""
        late = self._late_leader
        if late is None or late.is_registering:
            self._close_late_leader()
            self._set_late_leader(
                candidate, stream, answer, is_registering=True
            )

    def _set_late_leader(
        self,
        candidate: _Candidate,
        stream: transport.Connection,
        answer: transport.CallFuture,
        is_registering: bool,
    ) -> None:
        expiry_ms = utils.monotonic_ms() + LATE_LEADER_WAIT_MS
        with self._lock:
            self._late_leader = _LateLeader(
                candidate, stream, answer, expiry_ms, is_registering
            )

    def _on_push(
        self, stream: transport.Connection, message: typing.Any
    ) -> None:
        match message:
            case messages.StartAttempt():
                self._events.on_start(message)
            case messages.TaskStatus():
                self._events.on_status(message)
            case messages.RulesPush():
                self.rules.update_if_newer(message.version, message.text)
            case messages.RulesChanged():
                self._request_rules(stream, message.version)
            case _:
                _logger.warning('unexpected push', kind=type(message).__name__)


def _candidates(
    controllers: collections.abc.Iterable[tuple[messages.ControllerId, str]],
) -> tuple[_Candidate, ...]:
    return tuple(
        _Candidate(controller_id, address)
        for controller_id, address in controllers
    )


def _since_ms(time_ms: int | None) -> int | None:
    return None if time_ms is None else utils.monotonic_ms() - time_ms


def _not_sent(
    detail: str,
) -> result.Result[typing.Any, transport.CallError]:
    return result.Failure(
        transport.CallError(transport.CallFailure.NOT_SENT, detail)
    )


def _wait(
    answer: transport.CallFuture, timeout_ms: int
) -> result.Result[typing.Any, transport.CallError]:
    try:
        return answer.result(timeout_ms / 1000)
    except concurrent.futures.TimeoutError:
        return result.Failure(
            transport.CallError(transport.CallFailure.TIMEOUT)
        )


def _is_timeout(outcome: result.Result[typing.Any, typing.Any]) -> bool:
    match outcome:
        case result.Failure(transport.CallError(failure=failure)):
            return failure is transport.CallFailure.TIMEOUT
        case _:
            return False
