"""``dandeliondrum submit``: one waiting call, as a caller makes it."""

import base64
import collections.abc
import dataclasses
import os
import pathlib
import sys
import typing
import uuid

from returns import result

from dandeliondrum.command import _gateways
from dandeliondrum.command import _http
from dandeliondrum.command import _report

CALLERS_VARIABLE = 'DANDELIONDRUM_CALLERS'
KEY_VARIABLE = 'DANDELIONDRUM_KEY'
DEFAULT_CALLERS = '127.0.0.1:8001'
# What the way to the answer may take beyond the task's own time limit.
ANSWER_MARGIN_MS = 5_000
HEADER_PREFIX = 'Dandeliondrum-'

_CODES: collections.abc.Mapping[str, _report.ExitCode] = {
    'answered': _report.ExitCode.DONE,
    'accepted': _report.ExitCode.DONE,
    'refused_not_run': _report.ExitCode.REFUSED,
    'in_doubt': _report.ExitCode.IN_DOUBT,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Submission:
    """What to submit; an empty ``request_id`` has one made up."""

    addresses: collections.abc.Sequence[str]
    key: str
    team: str
    queue: str
    body: bytes
    output: str = ''
    request_id: str = ''
    task_class: str = ''
    idempotent: bool = False
    timeout_ms: int = 60_000
    expected_run_ms: int = 0
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators_count: int = 0
    region: str = ''


def submit(submission: Submission) -> _report.Report:
    """Submit a task and wait for its answer.

    Another gateway is only tried when the one before cannot have seen the
    call: an id that may be known already is the caller's to send again.
    """
    request_id = submission.request_id or uuid.uuid4().hex
    error = _http.Error(_http.Failure.NOT_SENT, 'no gateway is given')
    for address in submission.addresses:
        outcome = _http.call(_request(submission, address, request_id))
        if isinstance(outcome, result.Success):
            return _answered(submission, outcome.unwrap(), request_id)
        error = outcome.failure()
        if error.failure is not _http.Failure.NOT_SENT:
            break
    return _unanswered(error, request_id)


def _request(
    submission: Submission, address: str, request_id: str
) -> _http.Request:
    optional = {
        'Class': submission.task_class,
        'Expected-Run-Ms': submission.expected_run_ms,
        'Cpu-Millicores': submission.cpu_millicores,
        'Memory-Mb': submission.memory_mb,
        'Accelerators': submission.accelerators_count,
        'Region': submission.region,
        # Only an id that was made just now is known to be new.
        'First-Sending': '' if submission.request_id else 'true',
    }
    headers = {
        'Team': submission.team,
        'Queue': submission.queue,
        'Request-Id': request_id,
        'Idempotent': str(submission.idempotent).lower(),
        'Timeout-Ms': str(submission.timeout_ms),
    }
    headers |= {name: str(value) for name, value in optional.items() if value}
    prefixed = {
        f'{HEADER_PREFIX}{name}': value for name, value in headers.items()
    }
    if submission.key:
        prefixed['Authorization'] = f'Bearer {submission.key}'
    return _http.Request(
        'POST',
        f'http://{address}/v1/tasks',
        prefixed,
        submission.body,
        submission.timeout_ms + ANSWER_MARGIN_MS,
    )


def _answered(
    submission: Submission, answer: _http.Answer, request_id: str
) -> _report.Report:
    outcome = answer.headers.get('dandeliondrum-outcome', '')
    code = _CODES.get(outcome, _report.ExitCode.IN_DOUBT)
    data = {
        'outcome': outcome,
        'status': answer.status,
        'request_id': request_id,
        'attempt_id': answer.headers.get('dandeliondrum-attempt', ''),
    }
    if code is not _report.ExitCode.DONE:
        detail = answer.body.decode(errors='replace').strip()
        data['detail'] = detail
        note = f'{outcome or "no outcome"} ({answer.status}): {detail}'
        return _report.Report(code, note=f'{note}\n{request_id}', data=data)
    if answer.status != 200:
        # The task ran and failed on its worker, and this is its answer.
        code = _report.ExitCode.REFUSED
    return _kept(submission, answer, code, data)


def _kept(
    submission: Submission,
    answer: _http.Answer,
    code: _report.ExitCode,
    data: dict[str, typing.Any],
) -> _report.Report:
    note = f'request {data["request_id"]}, attempt {data["attempt_id"]}'
    if submission.output:
        pathlib.Path(submission.output).write_bytes(answer.body)
        data['output'] = submission.output
        return _report.Report(code, note=note, data=data)
    data['body_base64'] = base64.b64encode(answer.body).decode()
    text = answer.body.decode(errors='replace')
    return _report.Report(code, text=text, note=note, data=data)


def _unanswered(error: _http.Error, request_id: str) -> _report.Report:
    data = {'request_id': request_id, 'detail': error.detail}
    if error.failure is _http.Failure.NOT_SENT:
        return _report.Report(
            _report.ExitCode.UNREACHABLE,
            note=f'not run: no gateway could be reached: {error.detail}',
            data={'outcome': 'refused_not_run', **data},
        )
    return _report.Report(
        _report.ExitCode.IN_DOUBT,
        note=(
            f'in doubt: {error.detail}\nask again for the same task with '
            f'--request-id {request_id} and the same body'
        ),
        data={'outcome': 'in_doubt', **data},
    )


def from_flags(flags: collections.abc.Mapping[str, typing.Any]) -> Submission:
    """Return what the flags of the command ask for.

    Raises OSError when a file that they name can't be read.
    """
    names = {field.name for field in dataclasses.fields(Submission)}
    same = {name: flags[name] for name in names & flags.keys()}
    callers = flags['callers'] or os.environ.get(
        CALLERS_VARIABLE, DEFAULT_CALLERS
    )
    same['addresses'] = tuple(filter(None, map(str.strip, callers.split(','))))
    same['key'] = _gateways.key(flags['key_file'], KEY_VARIABLE)
    same['body'] = _body(flags['body'], flags['file'])
    return Submission(**same)


def _body(body: str, file: str) -> bytes:
    if file:
        return pathlib.Path(file).read_bytes()
    if body:
        return body.encode()
    return sys.stdin.buffer.read()
