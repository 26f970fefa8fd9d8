"""Implements ``dandeliondrum submit``: a task call that waits."""

import base64
import collections.abc
import dataclasses
import os
import pathlib
import sys
import typing
import uuid

from returns import result

from dandeliondrum.command import _exit_code
from dandeliondrum.command import _gateways
from dandeliondrum.command import _http
from dandeliondrum.command import _report

CALLERS_VARIABLE = 'DANDELIONDRUM_CALLERS'
KEY_VARIABLE = 'DANDELIONDRUM_KEY'
DEFAULT_CALLERS = '127.0.0.1:8001'
# Time for the transfer of the answer beyond the task's own time limit.
ANSWER_MARGIN_MS = 5_000
HEADER_PREFIX = 'Dandeliondrum-'

_EXIT_CODES: collections.abc.Mapping[str, _exit_code.ExitCode] = {
    'answered': _exit_code.ExitCode.DONE,
    'accepted': _exit_code.ExitCode.DONE,
    'refused_not_run': _exit_code.ExitCode.REFUSED,
    'in_doubt': _exit_code.ExitCode.IN_DOUBT,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Submission:
    """The task to submit; an empty ``request_id`` has one generated."""

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

    Another gateway is tried only when the previous one can't have received
    the call. Otherwise the caller decides whether to retry the request id.
    """
    request_id = submission.request_id or uuid.uuid4().hex
    error = _http.Error(_http.Failure.NOT_SENT, 'no gateway is given')
    for address in submission.addresses:
        outcome = _http.call(_request(submission, address, request_id))
        if isinstance(outcome, result.Success):
            return _response_report(submission, outcome.unwrap(), request_id)
        error = outcome.failure()
        if error.failure is not _http.Failure.NOT_SENT:
            break
    return _error_report(error, request_id)


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
        # Only a request id that was just generated is known to be new.
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


def _response_report(
    submission: Submission, response: _http.Response, request_id: str
) -> _report.Report:
    outcome = response.headers.get('dandeliondrum-outcome', '')
    code = _EXIT_CODES.get(outcome, _exit_code.ExitCode.IN_DOUBT)
    data = {
        'outcome': outcome,
        'status': response.status,
        'request_id': request_id,
        'attempt_id': response.headers.get('dandeliondrum-attempt', ''),
    }
    if code is not _exit_code.ExitCode.DONE:
        detail = response.body.decode(errors='replace').strip()
        data['detail'] = detail
        note = f'{outcome or "no outcome"} ({response.status}): {detail}'
        return _report.Report(code, note=f'{note}\n{request_id}', data=data)
    if response.status != 200:
        # The task failed on its worker, and the answer reports the failure.
        code = _exit_code.ExitCode.REFUSED
    return _answer_report(submission, response, code, data)


def _answer_report(
    submission: Submission,
    response: _http.Response,
    code: _exit_code.ExitCode,
    data: dict[str, typing.Any],
) -> _report.Report:
    note = f'request {data["request_id"]}, attempt {data["attempt_id"]}'
    if submission.output:
        pathlib.Path(submission.output).write_bytes(response.body)
        data['output'] = submission.output
        return _report.Report(code, note=note, data=data)
    data['body_base64'] = base64.b64encode(response.body).decode()
    text = response.body.decode(errors='replace')
    return _report.Report(code, text=text, note=note, data=data)


def _error_report(error: _http.Error, request_id: str) -> _report.Report:
    data = {'request_id': request_id, 'detail': error.detail}
    if error.failure is _http.Failure.NOT_SENT:
        return _report.Report(
            _exit_code.ExitCode.UNREACHABLE,
            note=f'not run: no gateway could be reached: {error.detail}',
            data={'outcome': 'refused_not_run', **data},
        )
    return _report.Report(
        _exit_code.ExitCode.IN_DOUBT,
        note=(
            f'in doubt: {error.detail}\nask again for the same task with '
            f'--request-id {request_id} and the same body'
        ),
        data={'outcome': 'in_doubt', **data},
    )


def from_flags(flags: collections.abc.Mapping[str, typing.Any]) -> Submission:
    """Return the submission that the flags of the command describe.

    Raises OSError when a file that they name can't be read.
    """
    names = {field.name for field in dataclasses.fields(Submission)}
    fields = {name: flags[name] for name in names & flags.keys()}
    callers = flags['callers'] or os.environ.get(
        CALLERS_VARIABLE, DEFAULT_CALLERS
    )
    fields['addresses'] = tuple(
        filter(None, map(str.strip, callers.split(',')))
    )
    fields['key'] = _gateways.key(flags['key_file'], KEY_VARIABLE)
    fields['body'] = _body(flags['body'], flags['file'])
    return Submission(**fields)


def _body(body: str, file: str) -> bytes:
    if file:
        return pathlib.Path(file).read_bytes()
    if body:
        return body.encode()
    return sys.stdin.buffer.read()
