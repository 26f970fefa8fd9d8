"""Calls that submit durable tasks: jobs, gangs and services."""

import collections.abc
import typing

from returns import result
import werkzeug

from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _job_requests
from dandeliondrum.gateway import _json_codec
from dandeliondrum.gateway import _leader_calls
from dandeliondrum.gateway import _outcomes
from dandeliondrum.gateway import _services
from dandeliondrum.gateway import _task_headers
from dandeliondrum.gateway import _tasks
from dandeliondrum import messages

SUBMIT_TIMEOUT_MS = 5_000
CHUNK_TASKS = 500
CHUNK_BYTES = 512 * 1024
ACCEPTED_STATUS = 202
# Some tasks of a job were accepted and others refused.
MIXED_STATUS = 207

Chunk = tuple[tuple[messages.TaskSpec, ...], tuple[bytes, ...]]


class Jobs:
    """Serves ``POST /v1/jobs`` and ``POST /v1/services``."""

    def __init__(self, services: _services.Services) -> None:
        self._services = services

    def routes(self) -> tuple[_http.Route, ...]:
        """Return what this part serves."""
        return (
            _http.Route('POST', '/v1/jobs', self.submit_job),
            _http.Route('POST', '/v1/services', self.submit_service),
        )

    def submit_job(self, call: _http.Call) -> werkzeug.Response:
        """Submit a job; each task is reported by itself."""
        return self._submit(
            call,
            self._body(call)
            .bind(
                lambda data: _json_codec.from_plain(
                    data, _job_requests.JobRequest
                )
            )
            .bind(
                lambda job: _job_requests.from_job(
                    job, _task_headers.trace_parent_of(call)
                )
            ),
        )

    def submit_service(self, call: _http.Call) -> werkzeug.Response:
        """Submit the replicas of a service."""
        return self._submit(
            call,
            self._body(call)
            .bind(
                lambda data: _json_codec.from_plain(
                    data, _job_requests.ServiceRequest
                )
            )
            .bind(
                lambda service: _job_requests.from_service(
                    service, _task_headers.trace_parent_of(call)
                )
            ),
        )

    def _body(
        self, call: _http.Call
    ) -> result.Result[dict[str, typing.Any], _http.Problem]:
        return call.json(self._services.options.body_max_bytes)

    def _submit(
        self,
        call: _http.Call,
        parsed: result.Result[_job_requests.Submission, _http.Problem],
    ) -> werkzeug.Response:
        match parsed:
            case result.Failure(problem):
                vouched = _task_headers.says_first_sending(call)
                return _outcomes.refused('', problem, vouched)
            case result.Success(submission):
                return self._submit_all(call, submission)
        raise AssertionError

    def _submit_all(
        self, call: _http.Call, submission: _job_requests.Submission
    ) -> werkzeug.Response:
        key = _task_headers.key_of(call)
        statuses: list[messages.TaskStatus] = []
        for specs, bodies in _chunks(submission):
            reply = _leader_calls.ask(
                self._services.link,
                messages.SubmitTasks(specs, bodies, key),
                messages.TaskStatuses,
                SUBMIT_TIMEOUT_MS,
            )
            match reply:
                case result.Failure(problem):
                    return _broke_off(call, problem, submission, statuses)
                case result.Success(messages.TaskStatuses(statuses=part)):
                    statuses.extend(part)
        return _response(statuses)


def _chunks(
    submission: _job_requests.Submission,
) -> collections.abc.Iterator[Chunk]:
    """Split into calls that don't hold up the stream to the leader."""
    if submission.all_or_none:
        yield submission.specs, submission.bodies
        return
    specs: list[messages.TaskSpec] = []
    bodies: list[bytes] = []
    size_bytes = 0
    pairs = zip(submission.specs, submission.bodies, strict=True)
    for spec, body in pairs:
        full = len(specs) >= CHUNK_TASKS
        if specs and (full or size_bytes + len(body) > CHUNK_BYTES):
            yield tuple(specs), tuple(bodies)
            specs, bodies, size_bytes = [], [], 0
        specs.append(spec)
        bodies.append(body)
        size_bytes += len(body)
    yield tuple(specs), tuple(bodies)


def _broke_off(
    call: _http.Call,
    problem: _http.Problem,
    submission: _job_requests.Submission,
    statuses: list[messages.TaskStatus],
) -> werkzeug.Response:
    """Answer when the leader did not take all chunks.

    Nothing was submitted if the first call had no effect; whether any of
    the ids was submitted before, only the caller knows.
    """
    without_effect = not statuses and problem.status != 502
    vouched = _task_headers.says_first_sending(call)
    response = _outcomes.refused('', problem, without_effect and vouched)
    known = {status.task_id: status for status in statuses}
    unknown = messages.TaskState.UNKNOWN
    response.set_data(
        _http.json_response(
            {
                'reason': problem.reason,
                'detail': problem.detail,
                'tasks': [
                    _tasks.plain_status(
                        known.get(spec.task_id)
                        or messages.TaskStatus(spec.task_id, unknown)
                    )
                    for spec in submission.specs
                ],
            }
        ).get_data()
    )
    return response


def _response(statuses: list[messages.TaskStatus]) -> werkzeug.Response:
    refused = [
        status
        for status in statuses
        if status.state is messages.TaskState.REFUSED
    ]
    plain: dict[str, typing.Any] = {
        'tasks': [_tasks.plain_status(status) for status in statuses]
    }
    code = ACCEPTED_STATUS
    outcome = _outcomes.Outcome.ACCEPTED
    if refused and len(refused) < len(statuses):
        code = MIXED_STATUS
    elif refused:
        reason = refused[0].reason or messages.RefusalReason.BAD_REQUEST
        code = _outcomes.status_of(reason)
        plain['reason'] = reason.value
        plain['detail'] = refused[0].detail
        outcome = _outcomes.Outcome.REFUSED_NOT_RUN
    response = _http.json_response(
        plain,
        code,
        _outcomes.headers_of(outcome, ''),
    )
    retry_after_ms = max(
        (status.retry_after_ms for status in refused), default=0
    )
    if retry_after_ms:
        response.headers['Retry-After'] = str(-(-retry_after_ms // 1000))
    return response
