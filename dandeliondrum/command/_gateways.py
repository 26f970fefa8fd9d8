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
    """Return the gateways that a command was told to use."""
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
        self._headers = {'Content-Type': 'application/json'}
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
        return self._send(
            'PUT', '/v1/rules', call, messages.RulesOutcome, True
        )

    def drain(
        self, call: messages.DrainWorker
    ) -> result.Result[messages.Done, Problem]:
        """Drain a worker; to do so twice changes nothing more."""
        path = f'/v1/workers/{_quoted(call.worker_id)}/drain'
        return self._send('POST', path, call, messages.Done, True)

    def add_controller(
        self, call: messages.AddController
    ) -> result.Result[messages.Done, Problem]:
        """Take in a controller; tried once."""
        return self._send(
            'POST', '/v1/controllers', call, messages.Done, False
        )

    def remove_controller(
        self, call: messages.RemoveController
    ) -> result.Result[messages.Done, Problem]:
        """Take a controller out of the voters; tried once."""
        path = f'/v1/controllers/{_quoted(call.controller_id)}'
        return self._send('DELETE', path, call, messages.Done, False)

    def _get(
        self, path: str, kind: type[Reply]
    ) -> result.Result[Reply, Problem]:
        outcome = self._call('GET', path, b'', True)
        if isinstance(outcome, result.Failure):
            return result.Failure(
                _no_answer(outcome.failure(), _report.ExitCode.UNREACHABLE)
            )
        return _reply(outcome.unwrap(), kind, _report.ExitCode.UNREACHABLE)

    def _send(
        self,
        method: str,
        path: str,
        call: object,
        kind: type[Reply],
        idempotent: bool,
    ) -> result.Result[Reply, Problem]:
        outcome = self._call(method, path, worker.to_json(call), idempotent)
        if isinstance(outcome, result.Failure):
            return result.Failure(
                _no_answer(outcome.failure(), _report.ExitCode.IN_DOUBT)
            )
        return _reply(outcome.unwrap(), kind, _report.ExitCode.IN_DOUBT)

    def _call(
        self, method: str, path: str, body: bytes, idempotent: bool
    ) -> result.Result[_http.Answer, _http.Error]:
        worst = _http.Error(_http.Failure.NOT_SENT, 'no gateway is given')
        for address in self._addresses:
            request = _http.Request(
                method, f'http://{address}{path}', self._headers, body
            )
            outcome = _http.call(request)
            if isinstance(outcome, result.Success):
                return outcome
            error = outcome.failure()
            detail = f'{address}: {error.detail}'
            if worst.failure is not _http.Failure.NO_ANSWER:
                worst = _http.Error(error.failure, detail)
            sent = error.failure is not _http.Failure.NOT_SENT
            if sent and not idempotent:
                break
        return result.Failure(worst)


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
    if answer.status < 300 or answer.status == 409:
        reply = worker.from_json(answer.body, kind)
        if isinstance(reply, result.Success):
            return result.Success(reply.unwrap())
    detail = _detail(answer)
    if answer.status < 300:
        return result.Failure(
            Problem(
                if_sent,
                f'the answer is not understood: {detail}',
            )
        )
    return result.Failure(Problem(_code(answer, if_sent), detail))


def _code(answer: _http.Answer, if_sent: _report.ExitCode) -> _report.ExitCode:
    if answer.status == 503:
        return _report.ExitCode.UNREACHABLE
    if answer.status >= 500:
        return if_sent
    return _report.ExitCode.REFUSED


def _detail(answer: _http.Answer) -> str:
    text = answer.body.decode(errors='replace').strip()
    try:
        fields = json.loads(text)
        detail = fields.get('detail') or fields.get('reason') or text
    except (ValueError, AttributeError):
        detail = text
    return f'{answer.status}: {str(detail)[:DETAIL_LETTERS]}'


def _quoted(text: str) -> str:
    return urllib.parse.quote(text, safe='')
