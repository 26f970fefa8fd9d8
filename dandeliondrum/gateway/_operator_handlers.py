"""Handlers for operators, the load balancer and the metrics collector."""

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

from dandeliondrum.gateway import _components
from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _json_codec
from dandeliondrum.gateway import _leader_calls
from dandeliondrum.gateway import _task_headers
from dandeliondrum import messages

RULES_MAX_BYTES = 4 * 1024 * 1024
BODY_MAX_BYTES = 64 * 1024
SHOW_TIMEOUT_MS = 5_000
CHANGE_TIMEOUT_MS = 10_000
OPERATOR_HEADER = 'Dandeliondrum-Operator'
CHANGE_ID_HEADER = 'Dandeliondrum-Change-Id'


@dataclasses.dataclass(frozen=True)
class ControllerRequest:
    """The body of ``POST /v1/controllers``."""

    controller_id: str
    address: str


class OperatorHandlers:
    """Serves the operators' port.

    Operator calls need the operator key; if none is configured, they are
    accepted over loopback only.
    """

    def __init__(self, components: _components.Components) -> None:
        self._components = components
        self._digest = components.options.operator_key_digest.lower()

    def routes(self) -> tuple[_http.Route, ...]:
        """Return the routes of these handlers."""
        return (
            self._authenticated('GET', '/v1/rules', self.show_rules),
            self._authenticated('PUT', '/v1/rules', self.apply_rules),
            self._authenticated('GET', '/v1/fleet', self.show_fleet),
            self._authenticated(
                'GET', '/v1/tasks/<request_id>/explain', self.explain
            ),
            self._authenticated(
                'POST', '/v1/workers/<worker_id>/drain', self.drain
            ),
            self._authenticated('GET', '/v1/domains', self.show_domains),
            self._authenticated(
                'POST', '/v1/domains/<domain>/evacuation', self.evacuate_domain
            ),
            self._authenticated(
                'DELETE',
                '/v1/domains/<domain>/evacuation',
                self.restore_domain,
            ),
            self._authenticated(
                'POST', '/v1/controllers', self.add_controller
            ),
            self._authenticated(
                'DELETE',
                '/v1/controllers/<controller_id>',
                self.remove_controller,
            ),
            *health_routes(self._components),
            _http.Route('GET', '/metrics', self.show_metrics),
        )

    def show_rules(self, _call: _http.Call) -> werkzeug.Response:
        """Return the rules in force."""
        return self._query(messages.ShowRules(), messages.RulesShown)

    def show_fleet(self, _call: _http.Call) -> werkzeug.Response:
        """Return the leader's view of the fleet."""
        return self._query(messages.ShowFleet(), messages.FleetShown)

    def explain(self, call: _http.Call, request_id: str) -> werkzeug.Response:
        """Return the decisions about a task of the team in ``?team=``."""
        team = call.request.args.get('team', '')
        if not _task_headers.is_valid_name(team):
            return _bad_request('team: not a valid name')
        task_id = messages.TaskId(f'{team}/{request_id}')
        return self._query(
            messages.ExplainTask(task_id), messages.TaskExplained
        )

    def apply_rules(self, call: _http.Call) -> werkzeug.Response:
        """Replace the rules if ``If-Match`` names the current version."""
        expected = call.header('If-Match').strip('"')
        if not (expected.isascii() and expected.isdigit()):
            return _bad_request('If-Match: the expected version is missing')
        change_id = call.header(CHANGE_ID_HEADER)
        if not _task_headers.is_valid_name(change_id):
            return _bad_request(f'{CHANGE_ID_HEADER}: not a valid id')
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
        """Drain a worker: it gets no new attempts."""
        return self._change(
            messages.DrainWorker(
                messages.WorkerId(worker_id), _operator_of(call)
            )
        )

    def show_domains(self, _call: _http.Call) -> werkzeug.Response:
        """Return the failure domains and the orders about them."""
        return self._query(messages.ShowDomains(), messages.DomainsShown)

    def evacuate_domain(
        self, call: _http.Call, domain: str
    ) -> werkzeug.Response:
        """Assign no new attempts in a failure domain."""
        return self._order_domain(call, messages.FailureDomain(domain), True)

    def restore_domain(
        self, call: _http.Call, domain: str
    ) -> werkzeug.Response:
        """Revoke the evacuation of a failure domain."""
        return self._order_domain(call, messages.FailureDomain(domain), False)

    def _order_domain(
        self,
        call: _http.Call,
        domain: messages.FailureDomain,
        evacuated: bool,
    ) -> werkzeug.Response:
        """Send an order that takes effect after the newest one so far.

        An order that is held up on its way can't undo a newer one then.
        """
        reply = _leader_calls.call(
            self._components.link,
            messages.ShowDomains(),
            messages.DomainsShown,
            SHOW_TIMEOUT_MS,
        )
        if isinstance(reply, result.Failure):
            return _http.problem_response(reply.failure())
        index = sum(
            view.index
            for view in reply.unwrap().domains
            if view.failure_domain == domain
        )
        return self._change(
            messages.ChangeDomain(
                domain,
                evacuated,
                index,
                _operator_of(call),
                call.request.args.get('reason', ''),
            )
        )

    def add_controller(self, call: _http.Call) -> werkzeug.Response:
        """Add a controller, first as a learner."""
        parsed = call.json(BODY_MAX_BYTES).bind(
            lambda data: _json_codec.structure(data, ControllerRequest)
        )
        match parsed:
            case result.Failure(problem):
                return _http.problem_response(problem)
            case result.Success(controller):
                return self._change(
                    messages.AddController(
                        messages.ControllerId(controller.controller_id),
                        controller.address,
                    )
                )
        raise AssertionError

    def remove_controller(
        self, _call: _http.Call, controller_id: str
    ) -> werkzeug.Response:
        """Remove a controller from the voters."""
        return self._change(
            messages.RemoveController(messages.ControllerId(controller_id))
        )

    def show_metrics(self, _call: _http.Call) -> werkzeug.Response:
        """Return the metrics in the Prometheus text format."""
        metrics = self._components.metrics
        metrics.leader_up.set(int(self._components.link.is_answering()))
        metrics.reports_unconfirmed.set(
            self._components.reporter.unconfirmed_count()
        )
        return werkzeug.Response(
            metrics.render(),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    def _authenticated(
        self, method: str, pattern: str, handler: _http.Handler
    ) -> _http.Route:
        return _http.Route(
            method, pattern, functools.partial(self._check_key, handler)
        )

    def _check_key(
        self, handler: _http.Handler, call: _http.Call, **arguments: str
    ) -> werkzeug.Response:
        if not self._is_authorized(call):
            return _http.problem_response(
                _http.Problem(
                    403, 'bad_key', 'a valid operator key is required'
                )
            )
        return handler(call, **arguments)

    def _is_authorized(self, call: _http.Call) -> bool:
        if not self._digest:
            return ipaddress.ip_address(call.peer_ip()).is_loopback
        key = _task_headers.bearer_key(call)
        shown = hashlib.sha256(key.encode()).hexdigest()
        return hmac.compare_digest(shown, self._digest)

    def _apply(self, change: messages.ApplyRulesCall) -> werkzeug.Response:
        reply = _leader_calls.call(
            self._components.link,
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
                    _json_codec.unstructure(outcome),
                    status,
                    {'ETag': f'"{outcome.version}"'},
                )
        raise AssertionError

    def _query(
        self, message: typing.Any, kind: type[typing.Any]
    ) -> werkzeug.Response:
        reply = _leader_calls.call(
            self._components.link, message, kind, SHOW_TIMEOUT_MS
        )
        match reply:
            case result.Failure(problem):
                return _http.problem_response(problem)
            case result.Success(shown):
                return _http.json_response(_json_codec.unstructure(shown))
        raise AssertionError

    def _change(self, message: typing.Any) -> werkzeug.Response:
        reply = _leader_calls.call(
            self._components.link, message, messages.Done, CHANGE_TIMEOUT_MS
        )
        match reply:
            case result.Failure(problem):
                return _http.problem_response(problem)
        return _http.json_response({})


def health_routes(
    components: _components.Components,
) -> tuple[_http.Route, ...]:
    """Return the health and readiness routes for a load balancer."""

    def healthy(_call: _http.Call) -> werkzeug.Response:
        return _http.json_response({'healthy': True})

    def ready(_call: _http.Call) -> werkzeug.Response:
        problem = components.readiness.not_ready_reason()
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
    return messages.OperatorId(call.header(OPERATOR_HEADER, 'operator'))


def _as_text(body: bytes) -> result.Result[str, _http.Problem]:
    try:
        return result.Success(body.decode())
    except UnicodeDecodeError as error:
        return result.Failure(
            _http.Problem(400, 'bad_request', f'not UTF-8: {error}')
        )


def _bad_request(detail: str) -> werkzeug.Response:
    return _http.problem_response(_http.Problem(400, 'bad_request', detail))
