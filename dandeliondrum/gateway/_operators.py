"""Calls of operators, of the balancer and of the metrics collector."""

import collections.abc
import dataclasses
import functools
import hashlib
import hmac
import ipaddress
import typing

import prometheus_client
from returns import result
import werkzeug

from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _json_codec
from dandeliondrum.gateway import _leader_calls
from dandeliondrum.gateway import _services
from dandeliondrum.gateway import _task_headers
from dandeliondrum import messages

RULES_MAX_BYTES = 4 * 1024 * 1024
BODY_MAX_BYTES = 64 * 1024
SHOW_TIMEOUT_MS = 5_000
CHANGE_TIMEOUT_MS = 10_000
OPERATOR = 'Dandeliondrum-Operator'
CHANGE_ID = 'Dandeliondrum-Change-Id'


@dataclasses.dataclass(frozen=True)
class ControllerRequest:
    """The body of ``POST /v1/controllers``."""

    controller_id: str
    address: str


class Operators:
    """Serves the operators' port; every call of theirs shows their key."""

    def __init__(self, services: _services.Services) -> None:
        self._services = services
        self._digest = services.options.operator_key_digest.lower()

    def routes(self) -> tuple[_http.Route, ...]:
        """Return what this part serves."""
        return (
            self._guarded('GET', '/v1/rules', self.show_rules),
            self._guarded('PUT', '/v1/rules', self.apply_rules),
            self._guarded('GET', '/v1/fleet', self.show_fleet),
            self._guarded(
                'GET', '/v1/tasks/<request_id>/explain', self.explain
            ),
            self._guarded('POST', '/v1/workers/<worker_id>/drain', self.drain),
            self._guarded('POST', '/v1/controllers', self.add_controller),
            self._guarded(
                'DELETE',
                '/v1/controllers/<controller_id>',
                self.remove_controller,
            ),
            *health_routes(self._services),
            _http.Route('GET', '/metrics', self.show_metrics),
        )

    def show_rules(self, _call: _http.Call) -> werkzeug.Response:
        """Return the rules in force."""
        return self._show(messages.ShowRules(), messages.RulesShown)

    def show_fleet(self, _call: _http.Call) -> werkzeug.Response:
        """Return the fleet as the leader sees it."""
        return self._show(messages.ShowFleet(), messages.FleetShown)

    def explain(self, call: _http.Call, request_id: str) -> werkzeug.Response:
        """Return what was decided about a task of ``?team=``."""
        team = call.request.args.get('team', '')
        if not _task_headers.valid_name(team):
            return _bad_request('team: not a name')
        task_id = messages.TaskId(f'{team}/{request_id}')
        return self._show(
            messages.ExplainTask(task_id), messages.TaskExplained
        )

    def apply_rules(self, call: _http.Call) -> werkzeug.Response:
        """Replace the rules if ``If-Match`` names the version in force."""
        expected = call.header('If-Match').strip('"')
        if not (expected.isascii() and expected.isdigit()):
            return _bad_request('If-Match: the expected version is missing')
        change_id = call.header(CHANGE_ID)
        if not _task_headers.valid_name(change_id):
            return _bad_request(f'{CHANGE_ID}: not an id')
        match call.body(RULES_MAX_BYTES).bind(_as_text):
            case result.Failure(problem):
                return _http.problem_response(problem)
            case result.Success(text):
                return self._apply(
                    messages.ApplyRulesCall(
                        change_id,
                        _operator_of(call),
                        messages.RulesVersion(int(expected)),
                        text,
                    )
                )
        raise AssertionError

    def drain(self, call: _http.Call, worker_id: str) -> werkzeug.Response:
        """Give a worker nothing new."""
        return self._change(
            messages.DrainWorker(
                messages.WorkerId(worker_id), _operator_of(call)
            )
        )

    def add_controller(self, call: _http.Call) -> werkzeug.Response:
        """Take a controller in, first as a learner."""
        parsed = call.json(BODY_MAX_BYTES).bind(
            lambda data: _json_codec.from_plain(data, ControllerRequest)
        )
        match parsed:
            case result.Failure(problem):
                return _http.problem_response(problem)
            case result.Success(wanted):
                return self._change(
                    messages.AddController(
                        messages.ControllerId(wanted.controller_id),
                        wanted.address,
                    )
                )
        raise AssertionError

    def remove_controller(
        self, _call: _http.Call, controller_id: str
    ) -> werkzeug.Response:
        """Take a controller out of the voters."""
        return self._change(
            messages.RemoveController(messages.ControllerId(controller_id))
        )

    def show_metrics(self, _call: _http.Call) -> werkzeug.Response:
        """Return the metrics in the collector's text format."""
        metrics = self._services.metrics
        metrics.leader_up.set(int(self._services.link.answering()))
        metrics.reports_unconfirmed.set(
            self._services.reporter.unconfirmed_count()
        )
        return werkzeug.Response(
            metrics.render(),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    def _guarded(
        self, method: str, pattern: str, handler: _http.Handler
    ) -> _http.Route:
        return _http.Route(
            method, pattern, functools.partial(self._check_key, handler)
        )

    def _check_key(
        self, handler: _http.Handler, call: _http.Call, **arguments: str
    ) -> werkzeug.Response:
        if not self._allowed(call):
            return _http.problem_response(
                _http.Problem(403, 'bad_key', 'the operators key is needed')
            )
        return handler(call, **arguments)

    def _allowed(self, call: _http.Call) -> bool:
        if not self._digest:
            return ipaddress.ip_address(call.peer_ip()).is_loopback
        key = _task_headers.key_of(call)
        shown = hashlib.sha256(key.encode()).hexdigest()
        return hmac.compare_digest(shown, self._digest)

    def _apply(self, change: messages.ApplyRulesCall) -> werkzeug.Response:
        reply = _leader_calls.ask(
            self._services.link,
            change,
            messages.RulesOutcome,
            CHANGE_TIMEOUT_MS,
        )
        match reply:
            case result.Failure(problem):
                return _http.problem_response(problem)
            case result.Success(outcome):
                status = 200
                if not outcome.accepted:
                    status = 412 if outcome.current_text else 422
                return _http.json_response(
                    _json_codec.to_plain(outcome),
                    status,
                    {'ETag': f'"{outcome.version}"'},
                )
        raise AssertionError

    def _show(
        self, message: typing.Any, kind: type[typing.Any]
    ) -> werkzeug.Response:
        reply = _leader_calls.ask(
            self._services.link, message, kind, SHOW_TIMEOUT_MS
        )
        match reply:
            case result.Failure(problem):
                return _http.problem_response(problem)
            case result.Success(shown):
                return _http.json_response(_json_codec.to_plain(shown))
        raise AssertionError

    def _change(self, message: typing.Any) -> werkzeug.Response:
        reply = _leader_calls.ask(
            self._services.link, message, messages.Done, CHANGE_TIMEOUT_MS
        )
        match reply:
            case result.Failure(problem):
                return _http.problem_response(problem)
        return _http.json_response({})


def health_routes(
    services: _services.Services,
) -> tuple[_http.Route, ...]:
    """Return the routes that a balancer asks."""

    def healthy(_call: _http.Call) -> werkzeug.Response:
        return _http.json_response({'healthy': True})

    def ready(_call: _http.Call) -> werkzeug.Response:
        problem = services.readiness.problem()
        return _http.json_response(
            {'ready': not problem, 'detail': problem},
            503 if problem else 200,
        )

    handlers: collections.abc.Sequence[tuple[str, _http.Handler]] = (
        ('/healthz', healthy),
        ('/readyz', ready),
    )
    return tuple(
        _http.Route('GET', pattern, handler) for pattern, handler in handlers
    )


def _operator_of(call: _http.Call) -> messages.OperatorId:
    return messages.OperatorId(call.header(OPERATOR, 'operator'))


def _as_text(body: bytes) -> result.Result[str, _http.Problem]:
    try:
        return result.Success(body.decode())
    except UnicodeDecodeError as error:
        return result.Failure(
            _http.Problem(400, 'bad_request', f'not UTF-8: {error}')
        )


def _bad_request(detail: str) -> werkzeug.Response:
    return _http.problem_response(_http.Problem(400, 'bad_request', detail))
