"""Calls to the operators' interface of the gateways."""

import collections.abc
import dataclasses
import getpass
import json
import os
import pathlib
import typing
import urllib.parse

from returns import result

from dandeliondrum.command import _http
from dandeliondrum.command import _report
from dandeliondrum import messages
from dandeliondrum import worker

GATEWAYS_VARIABLE = 'DANDELIONDRUM_GATEWAYS'
KEY_VARIABLE = 'DANDELIONDRUM_OPERATOR_KEY'
DEFAULT_GATEWAYS = '127.0.0.1:8003'
DETAIL_LETTERS = 400

# Answers with these carry what became of a change of the rules.
_OUTCOME_STATUSES = (412, 422)

Reply = typing.TypeVar('Reply')


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Why a call came to nothing, as an exit code and in words."""

    code: _report.ExitCode
    detail: str

    def report(self) -> _report.Report:
        """Return the end of a command that met this problem."""
        data = {'outcome': self.code.name.lower(), 'detail': self.detail}
        return _report.Report(self.code, note=self.detail, data=data)


def addresses(given: str) -> tuple[str, ...]:
    """Return gateways from a flag, the environment, or the default."""
    text = given or os.environ.get(GATEWAYS_VARIABLE, DEFAULT_GATEWAYS)
    return tuple(item.strip() for item in text.split(',') if item.strip())


def key(key_file: str, variable: str = KEY_VARIABLE) -> str:
    """Return a key from a file or the environment.

    Raises OSError when the file can't be read.
    """
    if key_file:
        return pathlib.Path(key_file).read_text().strip()
    return os.environ.get(variable, '')


def connect(given: str, key_file: str) -> 'Gateways':
    """Return the gateways that a command was asked to use."""
    return Gateways(addresses(given), key(key_file))


def login_name() -> str:
    """Return the name of whoever runs the command."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return 'unknown'


class Gateways:
    """The gateways of a cell, one of which takes each call.

    The next gateway is only tried when the one before cannot have seen the
    call, or when the call may be made twice without harm.
    """

    def __init__(
        self, at: collections.abc.Sequence[str], operator_key: str
    ) -> None:
        self._addresses = at
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
        """Return what was decided about a task."""
        path = f'/v1/tasks/{_quoted(request_id)}/explain'
        return self._get(
            f'{path}?team={_quoted(team_id)}', messages.TaskExplained
        )

    def apply_rules(
        self, call: messages.ApplyRulesCall
    ) -> result.Result[messages.RulesOutcome, Problem]:
        """Apply rules; sent again under its id when the answer is lost."""
        headers = {
            'If-Match': f'"{call.expected_version}"',
            'Dandeliondrum-Change-Id': call.change_id,
            'Dandeliondrum-Operator': call.operator_id,
            'Content-Type': 'text/plain; charset=utf-8',
        }
        change = _Change('PUT', '/v1/rules', headers, call.text.encode(), True)
        return self._send(change, messages.RulesOutcome)

    def drain(
        self, call: messages.DrainWorker
    ) -> result.Result[messages.Done, Problem]:
        """Drain a worker; to do so twice changes nothing more."""
        path = f'/v1/workers/{_quoted(call.worker_id)}/drain'
        headers = {'Dandeliondrum-Operator': call.operator_id}
        change = _Change('POST', path, headers, b'', True)
        return self._send(change, messages.Done)

    def add_controller(
        self, call: messages.AddController
    ) -> result.Result[messages.Done, Problem]:
        """Take in a controller; tried once."""
        headers = {'Content-Type': 'application/json'}
        change = _Change(
            'POST', '/v1/controllers', headers, worker.to_json(call), False
        )
        return self._send(change, messages.Done)

    def remove_controller(
        self, call: messages.RemoveController
    ) -> result.Result[messages.Done, Problem]:
        """Take a controller out of the voters; tried once."""
        path = f'/v1/controllers/{_quoted(call.controller_id)}'
        return self._send(
            _Change('DELETE', path, {}, b'', False), messages.Done
        )

    def _get(
        self, path: str, kind: type[Reply]
    ) -> result.Result[Reply, Problem]:
        return self._ask(
            _Change('GET', path, {}, b'', True),
            kind,
            _report.ExitCode.UNREACHABLE,
        )

    def _send(
        self, change: '_Change', kind: type[Reply]
    ) -> result.Result[Reply, Problem]:
        return self._ask(change, kind, _report.ExitCode.IN_DOUBT)

    def _ask(
        self,
        change: '_Change',
        kind: type[Reply],
        if_sent: _report.ExitCode,
    ) -> result.Result[Reply, Problem]:
        outcome = self._call(change)
        if isinstance(outcome, result.Failure):
            return result.Failure(_no_answer(outcome.failure(), if_sent))
        return _reply(outcome.unwrap(), kind, if_sent)

    def _call(
        self, change: '_Change'
    ) -> result.Result[_http.Answer, _http.Error]:
        worst = _http.Error(_http.Failure.NOT_SENT, 'no gateway is given')
        for address in self._addresses:
            request = _http.Request(
                change.method,
                f'http://{address}{change.path}',
                {**self._headers, **change.headers},
                change.body,
            )
            outcome = _http.call(request)
            if isinstance(outcome, result.Success):
                return outcome
            error = outcome.failure()
            if worst.failure is not _http.Failure.NO_ANSWER:
                detail = f'{address}: {error.detail}'
                worst = _http.Error(error.failure, detail)
            sent = error.failure is not _http.Failure.NOT_SENT
            if sent and not change.idempotent:
                break
        return result.Failure(worst)


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """A call as it is sent to one gateway after the other."""

    method: str
    path: str
    headers: collections.abc.Mapping[str, str]
    body: bytes
    idempotent: bool


def _no_answer(error: _http.Error, if_sent: _report.ExitCode) -> Problem:
    if error.failure is _http.Failure.NOT_SENT:
        return Problem(
            _report.ExitCode.UNREACHABLE,
            f'no gateway could be reached: {error.detail}',
        )
    return Problem(if_sent, f'no answer: {error.detail}')


def _reply(
    answer: _http.Answer, kind: type[Reply], if_sent: _report.ExitCode
) -> result.Result[Reply, Problem]:
    if answer.status < 300 or answer.status in _OUTCOME_STATUSES:
        reply = worker.from_json(answer.body, kind)
        if isinstance(reply, result.Success):
            return result.Success(reply.unwrap())
    problem = _problem(answer)
    if answer.status < 300:
        detail = f'the answer is not understood: {problem.detail}'
        return result.Failure(Problem(if_sent, detail))
    return result.Failure(
        Problem(_code(answer, problem, if_sent), str(problem))
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _GatewayProblem:
    """What a gateway says is wrong."""

    status: int
    reason: str
    detail: str

    def __str__(self) -> str:
        parts = (str(self.status), self.reason, self.detail)
        return ': '.join(filter(None, parts))


def _code(
    answer: _http.Answer, problem: _GatewayProblem, if_sent: _report.ExitCode
) -> _report.ExitCode:
    match answer.status, problem.reason:
        case 503, 'call_failed':
            # The leader answered, and vouches that nothing was done.
            return _report.ExitCode.REFUSED
        case 503, _:
            return _report.ExitCode.UNREACHABLE
        case status, _ if status >= 500:
            return if_sent
    return _report.ExitCode.REFUSED


def _problem(answer: _http.Answer) -> _GatewayProblem:
    text = answer.body.decode(errors='replace').strip()[:DETAIL_LETTERS]
    try:
        fields = json.loads(answer.body)
        return _GatewayProblem(
            answer.status, str(fields['reason']), str(fields['detail'])
        )
    except (ValueError, KeyError, TypeError):
        return _GatewayProblem(answer.status, '', text)


def _quoted(text: str) -> str:
    return urllib.parse.quote(text, safe='')
