"""Calls of workers, relayed to the leader."""

import dataclasses
import ipaddress
import typing

from returns import result
import werkzeug

from dandeliondrum.gateway import _heartbeats
from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _json_codec
from dandeliondrum.gateway import _leader_calls
from dandeliondrum.gateway import _services
from dandeliondrum.gateway import _task_headers
from dandeliondrum import messages
from dandeliondrum import transport

BODY_MAX_BYTES = 4 * 1024 * 1024
ANNOUNCE_TIMEOUT_MS = 950


class Workers:
    """Serves announce, heartbeat and leave."""

    def __init__(
        self, services: _services.Services, heartbeats: _heartbeats.Heartbeats
    ) -> None:
        self._services = services
        self._heartbeats = heartbeats

    def routes(self) -> tuple[_http.Route, ...]:
        """Return what this part serves."""
        return (
            _http.Route('POST', '/v1/workers/announce', self.announce),
            _http.Route('POST', '/v1/workers/heartbeat', self.heartbeat),
            _http.Route('POST', '/v1/workers/leave', self.leave),
        )

    def announce(self, call: _http.Call) -> werkzeug.Response:
        """Take a worker into the fleet; 200 once that is agreed."""
        reply = (
            call.json(BODY_MAX_BYTES)
            .bind(_announcement)
            .bind(_check_facts)
            .bind(
                lambda message: _leader_calls.ask(
                    self._services.link,
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
        """Relay a heartbeat and return the leader's answer."""
        return self._relay(
            call.json(BODY_MAX_BYTES).bind(
                lambda data: _json_codec.from_plain(
                    data, messages.WorkerHeartbeat
                )
            )
        )

    def leave(self, call: _http.Call) -> werkzeug.Response:
        """Relay a heartbeat of a worker that wants nothing new."""
        return self._relay(
            call.json(BODY_MAX_BYTES)
            .bind(
                lambda data: _json_codec.from_plain(
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
                return self._answer(self._heartbeats.relay(heartbeat))
        raise AssertionError

    def _answer(self, reply: _heartbeats.HeartbeatReply) -> werkzeug.Response:
        match reply:
            case result.Success(answer):
                self._count('answered')
                return _http.json_response(_json_codec.to_plain(answer))
            case result.Failure(why):
                self._count('unanswered')
                return _http.problem_response(
                    _http.Problem(503, 'no_leader', why)
                )
        raise AssertionError

    def _count(self, outcome: str) -> None:
        self._services.metrics.heartbeats.labels(outcome).inc()


def _announcement(
    data: dict[str, typing.Any],
) -> result.Result[messages.AnnounceWorker, _http.Problem]:
    """Read the message, or its facts alone."""
    wrapped = data if 'facts' in data else {'facts': data}
    return _json_codec.from_plain(wrapped, messages.AnnounceWorker)


def _check_facts(
    message: messages.AnnounceWorker,
) -> result.Result[messages.AnnounceWorker, _http.Problem]:
    facts = message.facts
    problem = ''
    try:
        host, port = transport.parse_address(facts.address)
        ipaddress.ip_address(host)
        if not 0 < port < 1 << 16:
            problem = f'{port} is no port'
    except ValueError as error:
        problem = str(error)
    counts = (facts.slots_count, facts.connections_count)
    if min(counts) < 1:
        problem = 'slots_count and connections_count are at least 1'
    amounts = facts.resources
    if min(amounts.cpu_millicores, amounts.memory_mb) < 1:
        problem = 'cpu_millicores and memory_mb are at least 1'
    if amounts.accelerators_count < 0:
        problem = 'accelerators_count is at least 0'
    for name in (facts.worker_id, facts.incarnation):
        if not _task_headers.valid_name(name):
            problem = f'{name!r:.40} is no name'
    if problem:
        return result.Failure(_http.Problem(400, 'bad_request', problem))
    return result.Success(message)
