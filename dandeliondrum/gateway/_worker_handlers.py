"""Handlers of calls from workers, which are relayed to the leader."""

import dataclasses
import ipaddress
import typing

from returns import result
import werkzeug

from dandeliondrum.gateway import _components
from dandeliondrum.gateway import _heartbeat_relay
from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _json_codec
from dandeliondrum.gateway import _leader_calls
from dandeliondrum.gateway import _task_headers
from dandeliondrum import messages
from dandeliondrum import transport

BODY_MAX_BYTES = 4 * 1024 * 1024
ANNOUNCE_TIMEOUT_MS = 950


class WorkerHandlers:
    """Serves the announce, heartbeat and leave calls of workers."""

    def __init__(
        self,
        components: _components.Components,
        heartbeat_relay: _heartbeat_relay.HeartbeatRelay,
    ) -> None:
        self._components = components
        self._heartbeat_relay = heartbeat_relay

    def routes(self) -> tuple[_http.Route, ...]:
        """Return the routes of these handlers."""
        return (
            _http.Route('POST', '/v1/workers/announce', self.announce),
            _http.Route('POST', '/v1/workers/heartbeat', self.heartbeat),
            _http.Route('POST', '/v1/workers/leave', self.leave),
        )

    def announce(self, call: _http.Call) -> werkzeug.Response:
        """Register a worker; return 200 after the leader has confirmed it."""
        reply = (
            call.json(BODY_MAX_BYTES)
            .bind(_announcement)
            .bind(_check_facts)
            .bind(
                lambda message: _leader_calls.call(
                    self._components.link,
                    message,
                    messages.Done,
                    ANNOUNCE_TIMEOUT_MS,
                )
            )
        )
        match reply:
            case result.Failure(problem):
                return _http.problem_response(problem)
        return _http.json_response({})

    def heartbeat(self, call: _http.Call) -> werkzeug.Response:
        """Relay a heartbeat and return the leader's reply."""
        return self._relay(
            call.json(BODY_MAX_BYTES).bind(
                lambda data: _json_codec.structure(
                    data, messages.WorkerHeartbeat
                )
            )
        )

    def leave(self, call: _http.Call) -> werkzeug.Response:
        """Relay the heartbeat of a worker that accepts no new attempts."""
        return self._relay(
            call.json(BODY_MAX_BYTES)
            .bind(
                lambda data: _json_codec.structure(
                    {'running': [], **data}, messages.WorkerHeartbeat
                )
            )
            .map(
                lambda heartbeat: dataclasses.replace(heartbeat, leaving=True)
            )
        )

    def _relay(
        self, parsed: result.Result[messages.WorkerHeartbeat, _http.Problem]
    ) -> werkzeug.Response:
        match parsed:
            case result.Failure(problem):
                self._count('bad_request')
                return _http.problem_response(problem)
            case result.Success(heartbeat):
                return self._answer(self._heartbeat_relay.relay(heartbeat))
        raise AssertionError

    def _answer(
        self, reply: _heartbeat_relay.HeartbeatReply
    ) -> werkzeug.Response:
        match reply:
            case result.Success(answer):
                self._count('answered')
                return _http.json_response(_json_codec.unstructure(answer))
            case result.Failure(why):
                self._count('unanswered')
                return _http.problem_response(
                    _http.Problem(503, 'no_leader', why)
                )
        raise AssertionError

    def _count(self, outcome: str) -> None:
        self._components.metrics.heartbeats.labels(outcome).inc()


def _announcement(
    data: dict[str, typing.Any],
) -> result.Result[messages.AnnounceWorker, _http.Problem]:
    """Parse the message; the body may also consist of its facts only."""
    wrapped = data if 'facts' in data else {'facts': data}
    return _json_codec.structure(wrapped, messages.AnnounceWorker)


def _check_facts(
    message: messages.AnnounceWorker,
) -> result.Result[messages.AnnounceWorker, _http.Problem]:
    facts = message.facts
    problem = ''
    try:
        host, port = transport.parse_address(facts.address)
        ipaddress.ip_address(host)
        if not 0 < port < 1 << 16:
            problem = f'{port} is not a valid port'
    except ValueError as error:
        problem = str(error)
    counts = (facts.slots_count, facts.connections_count)
    if min(counts) < 1:
        problem = 'slots_count and connections_count must be at least 1'
    amounts = facts.resources
    if min(amounts.cpu_millicores, amounts.memory_mb) < 1:
        problem = 'cpu_millicores and memory_mb must be at least 1'
    if amounts.accelerators_count < 0:
        problem = 'accelerators_count must be at least 0'
    for name in (facts.worker_id, facts.incarnation):
        if not _task_headers.is_valid_name(name):
            problem = f'{name!r:.40} is not a valid name'
    if problem:
        return result.Failure(_http.Problem(400, 'bad_request', problem))
    return result.Success(message)
