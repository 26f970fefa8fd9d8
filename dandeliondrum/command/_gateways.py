"""Client of the operators' HTTP interface of the gateways."""

import collections.abc
import dataclasses
import getpass
import json
import os
import pathlib
import typing
import urllib.parse

from returns import result

from dandeliondrum.command import _exit_code
from dandeliondrum.command import _http
from dandeliondrum.command import _report
from dandeliondrum import messages
from dandeliondrum import worker

GATEWAYS_VARIABLE = 'DANDELIONDRUM_GATEWAYS'
KEY_VARIABLE = 'DANDELIONDRUM_OPERATOR_KEY'
DEFAULT_GATEWAYS = '127.0.0.1:8003'
DETAIL_MAX_CHARS = 400

# Responses with these statuses hold the outcome of a change of the rules.
_RULES_OUTCOME_STATUSES = (412, 422)

Reply = typing.TypeVar('Reply')


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A failed call: its exit code and a description."""

    code: _exit_code.ExitCode
    detail: str

    def report(self) -> _report.Report:
        """Return the report of a command that failed with this problem."""
        data = {'outcome': self.code.name.lower(), 'detail': self.detail}
        return _report.Report(self.code, note=self.detail, data=data)


def addresses(gateways_flag: str) -> tuple[str, ...]:
    """Return gateway addresses from a flag, the environment or the default."""
    text = gateways_flag or os.environ.get(GATEWAYS_VARIABLE, DEFAULT_GATEWAYS)
    return tuple(item.strip() for item in text.split(',') if item.strip())


def key(key_file: str, variable: str = KEY_VARIABLE) -> str:
    """Return a key from a file or the environment; empty without one.

    Raises OSError when the file can't be read.
    """
    if key_file:
        return pathlib.Path(key_file).read_text().strip()
    return os.environ.get(variable, '')


def connect(gateways_flag: str, key_file: str) -> 'Gateways':
    """Return a client of the gateways that a command was given."""
    return Gateways(addresses(gateways_flag), key(key_file))


def login_name() -> str:
    """Return the login name of the user who runs the command."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return 'unknown'


class Gateways:
    """Client of the gateways of a cell, which sends each call to one of them.

    The next gateway is tried only when the previous one can't have received
    the call, or when the call is idempotent.
    """

    def __init__(
        self,
        gateway_addresses: collections.abc.Sequence[str],
        operator_key: str,
    ) -> None:
        self._addresses = gateway_addresses
        self._headers: dict[str, str] = {}
        if operator_key:
            self._headers['Authorization'] = f'Bearer {operator_key}'

    def show_rules(self) -> result.Result[messages.RulesShown, Problem]:
        """Return the rules in force."""
        return self._get('/v1/rules', messages.RulesShown)

    def show_fleet(self) -> result.Result[messages.FleetShown, Problem]:
        """Return the fleet as the leader sees it."""
        return self._get('/v1/fleet', messages.FleetShown)

    def explain(
        self, team_id: str, request_id: str
    ) -> result.Result[messages.TaskExplained, Problem]:
        """Return the scheduling decisions about a task."""
        path = f'/v1/tasks/{_url_quote(request_id)}/explain'
        return self._get(
            f'{path}?team={_url_quote(team_id)}', messages.TaskExplained
        )

    def apply_rules(
        self, call: messages.ApplyRulesCall
    ) -> result.Result[messages.RulesOutcome, Problem]:
        """Apply rules; without a response, retry with the same change id."""
        headers = {
            'If-Match': f'"{call.expected_version}"',
            'Dandeliondrum-Change-Id': call.change_id,
            'Dandeliondrum-Operator': call.operator_id,
            'Content-Type': 'text/plain; charset=utf-8',
        }
        http_call = _HttpCall(
            'PUT', '/v1/rules', headers, call.text.encode(), True
        )
        return self._send(http_call, messages.RulesOutcome)

    def drain(
        self, call: messages.DrainWorker
    ) -> result.Result[messages.Done, Problem]:
        """Drain a worker; idempotent."""
        path = f'/v1/workers/{_url_quote(call.worker_id)}/drain'
        headers = {'Dandeliondrum-Operator': call.operator_id}
        http_call = _HttpCall('POST', path, headers, b'', True)
        return self._send(http_call, messages.Done)

    def show_domains(self) -> result.Result[messages.DomainsShown, Problem]:
        """Return the failure domains and the orders about them."""
        return self._get('/v1/domains', messages.DomainsShown)

    def change_domain(
        self,
        domain: messages.FailureDomain,
        evacuated: bool,
        operator: str,
        reason: str,
    ) -> result.Result[messages.Done, Problem]:
        """Evacuate a failure domain or restore it; idempotent."""
        http_call = _HttpCall(
            'POST' if evacuated else 'DELETE',
            f'/v1/domains/{_url_quote(domain)}/evacuation'
            f'?reason={_url_quote(reason)}',
            {'Dandeliondrum-Operator': operator},
            b'',
            True,
        )
        return self._send(http_call, messages.Done)

    def add_controller(
        self, call: messages.AddController
    ) -> result.Result[messages.Done, Problem]:
        """Add a controller; not retried once it may have been received."""
        headers = {'Content-Type': 'application/json'}
        http_call = _HttpCall(
            'POST', '/v1/controllers', headers, worker.to_json(call), False
        )
        return self._send(http_call, messages.Done)

    def remove_controller(
        self, call: messages.RemoveController
    ) -> result.Result[messages.Done, Problem]:
        """Remove a voter; not retried once it may have been received."""
        path = f'/v1/controllers/{_url_quote(call.controller_id)}'
        return self._send(
            _HttpCall('DELETE', path, {}, b'', False), messages.Done
        )

    def _get(
        self, path: str, reply_type: type[Reply]
    ) -> result.Result[Reply, Problem]:
        return self._request(
            _HttpCall('GET', path, {}, b'', True),
            reply_type,
            _exit_code.ExitCode.UNREACHABLE,
        )

    def _send(
        self, http_call: '_HttpCall', reply_type: type[Reply]
    ) -> result.Result[Reply, Problem]:
        return self._request(
            http_call, reply_type, _exit_code.ExitCode.IN_DOUBT
        )

    def _request(
        self,
        http_call: '_HttpCall',
        reply_type: type[Reply],
        code_if_sent: _exit_code.ExitCode,
    ) -> result.Result[Reply, Problem]:
        outcome = self._try_gateways(http_call)
        if isinstance(outcome, result.Failure):
            return result.Failure(
                _problem_without_response(outcome.failure(), code_if_sent)
            )
        return _decode_reply(outcome.unwrap(), reply_type, code_if_sent)

    def _try_gateways(
        self, http_call: '_HttpCall'
    ) -> result.Result[_http.Response, _http.Error]:
        reported_error = _http.Error(
            _http.Failure.NOT_SENT, 'no gateway is given'
        )
        for address in self._addresses:
            request = _http.Request(
                http_call.method,
                f'http://{address}{http_call.path}',
                {**self._headers, **http_call.headers},
                http_call.body,
            )
            outcome = _http.call(request)
            if isinstance(outcome, result.Success):
                return outcome
            error = outcome.failure()
            if reported_error.failure is not _http.Failure.NO_ANSWER:
                detail = f'{address}: {error.detail}'
                reported_error = _http.Error(error.failure, detail)
            sent = error.failure is not _http.Failure.NOT_SENT
            if sent and not http_call.idempotent:
                break
        return result.Failure(reported_error)


@dataclasses.dataclass(frozen=True, slots=True)
class _HttpCall:
    """An HTTP call, which may be tried on several gateways."""

    method: str
    path: str
    headers: collections.abc.Mapping[str, str]
    body: bytes
    idempotent: bool


def _problem_without_response(
    error: _http.Error, code_if_sent: _exit_code.ExitCode
) -> Problem:
    if error.failure is _http.Failure.NOT_SENT:
        return Problem(
            _exit_code.ExitCode.UNREACHABLE,
            f'no gateway could be reached: {error.detail}',
        )
    return Problem(code_if_sent, f'no answer: {error.detail}')


def _decode_reply(
    response: _http.Response,
    reply_type: type[Reply],
    code_if_sent: _exit_code.ExitCode,
) -> result.Result[Reply, Problem]:
    if response.status < 300 or response.status in _RULES_OUTCOME_STATUSES:
        reply = worker.from_json(response.body, reply_type)
        if isinstance(reply, result.Success):
            return result.Success(reply.unwrap())
    problem = _parse_problem(response)
    if response.status < 300:
        detail = f'the answer cannot be decoded: {problem.detail}'
        return result.Failure(Problem(code_if_sent, detail))
    return result.Failure(
        Problem(_code_of_error(response, problem, code_if_sent), str(problem))
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _GatewayProblem:
    """An error reported by a gateway."""

    status: int
    reason: str
    detail: str

    def __str__(self) -> str:
        parts = (str(self.status), self.reason, self.detail)
        return ': '.join(filter(None, parts))


def _code_of_error(
    response: _http.Response,
    problem: _GatewayProblem,
    code_if_sent: _exit_code.ExitCode,
) -> _exit_code.ExitCode:
    match response.status, problem.reason:
        case 503, 'call_failed':
            # The leader replied that nothing was done.
            return _exit_code.ExitCode.REFUSED
        case 503, _:
            return _exit_code.ExitCode.UNREACHABLE
        case status, _ if status >= 500:
            return code_if_sent
    return _exit_code.ExitCode.REFUSED


def _parse_problem(response: _http.Response) -> _GatewayProblem:
    text = response.body.decode(errors='replace').strip()[:DETAIL_MAX_CHARS]
    try:
        fields = json.loads(response.body)
        return _GatewayProblem(
            response.status, str(fields['reason']), str(fields['detail'])
        )
    except (ValueError, KeyError, TypeError):
        return _GatewayProblem(response.status, '', text)


def _url_quote(text: str) -> str:
    return urllib.parse.quote(text, safe='')
