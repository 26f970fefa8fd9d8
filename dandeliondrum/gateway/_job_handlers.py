"""Handlers of requests that submit durable tasks: jobs, gangs, services."""

import collections.abc
import typing

from returns import result
import werkzeug

from dandeliondrum.gateway import _components
from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _job_requests
from dandeliondrum.gateway import _json_codec
from dandeliondrum.gateway import _leader_calls
from dandeliondrum.gateway import _responses
from dandeliondrum.gateway import _task_handlers
from dandeliondrum.gateway import _task_headers
from dandeliondrum import messages

SUBMIT_TIMEOUT_MS = 5_000
CHUNK_TASKS = 500
CHUNK_BYTES = 64 * 1024
ACCEPTED_STATUS = 202
# Some tasks of a job were accepted and others were refused.
MULTI_STATUS = 207

Chunk = tuple[tuple[messages.TaskSpec, ...], tuple[bytes, ...]]


class JobHandlers:
    """Serves ``POST /v1/jobs`` and ``POST /v1/services``."""

    def __init__(self, components: _components.Components) -> None:
        self._components = components

    def routes(self) -> tuple[_http.Route, ...]:
        """Return the routes of these handlers."""
        return (
            _http.Route('POST', '/v1/jobs', self.submit_job),
            _http.Route('POST', '/v1/services', self.submit_service),
        )

    def submit_job(self, call: _http.Call) -> werkzeug.Response:
        """Submit a job; the response has a status for each task."""
        return self._submit(
            call,
            self._body(call)
            .bind(
                lambda data: _json_codec.structure(
                    data, _job_requests.JobRequest
                )
            )
            .bind(
                lambda job: _job_requests.submission_from_job(
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
                lambda data: _json_codec.structure(
                    data, _job_requests.ServiceRequest
                )
            )
            .bind(
                lambda service: _job_requests.submission_from_service(
                    service, _task_headers.trace_parent_of(call)
                )
            ),
        )

    def _body(
        self, call: _http.Call
    ) -> result.Result[dict[str, typing.Any], _http.Problem]:
        return call.json(self._components.options.body_max_bytes)

    def _submit(
        self,
        call: _http.Call,
        parsed: result.Result[_job_requests.Submission, _http.Problem],
    ) -> werkzeug.Response:
        match parsed:
            case result.Failure(problem):
                first_sending = _task_headers.declares_first_sending(call)
                return _responses.refused('', problem, first_sending)
            case result.Success(submission):
                return self._submit_all(call, submission)
        raise AssertionError

    def _submit_all(
        self, call: _http.Call, submission: _job_requests.Submission
    ) -> werkzeug.Response:
        key = _task_headers.bearer_key(call)
        statuses: list[messages.TaskStatus] = []
        for specs, bodies in _chunks(submission):
            reply = _leader_calls.call(
                self._components.link,
                messages.SubmitTasks(specs, bodies, key),
                messages.TaskStatuses,
                SUBMIT_TIMEOUT_MS,
            )
            match reply:
                case result.Failure(problem):
                    return _partial_failure_response(
                        call, problem, submission, statuses
                    )
                case result.Success(messages.TaskStatuses(statuses=part)):
                    statuses.extend(part)
        return _submission_response(statuses)


def _chunks(
    submission: _job_requests.Submission,
) -> collections.abc.Iterator[Chunk]:
    """Split a submission into calls of limited size.

    A large call would delay heartbeats on the same stream to the leader. A
    gang is not split, since its tasks have to be submitted together.
    """
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


def _partial_failure_response(
    call: _http.Call,
    problem: _http.Problem,
    submission: _job_requests.Submission,
    statuses: list[messages.TaskStatus],
) -> werkzeug.Response:
    """Return the response for a job whose chunks were not all submitted.

    The response says "not run" only if the first call had no effect and the
    caller declares that it never sent these ids before, which the gateway
    can't check.
    """
    without_effect = not statuses and problem.status != 502
    first_sending = _task_headers.declares_first_sending(call)
    response = _responses.refused(
        '', problem, without_effect and first_sending
    )
    known = {status.task_id: status for status in statuses}
    unknown = messages.TaskState.UNKNOWN
    response.set_data(
        _http.json_response(
            {
                'reason': problem.reason,
                'detail': problem.detail,
                'tasks': [
                    _task_handlers.status_json(
                        known.get(spec.task_id)
                        or messages.TaskStatus(spec.task_id, unknown)
                    )
                    for spec in submission.specs
                ],
            }
        ).get_data()
    )
    return response


def _submission_response(
    statuses: list[messages.TaskStatus],
) -> werkzeug.Response:
    refused = [
        status
        for status in statuses
        if status.state is messages.TaskState.REFUSED
    ]
    body: dict[str, typing.Any] = {
        'tasks': [_task_handlers.status_json(status) for status in statuses]
    }
    code = ACCEPTED_STATUS
    outcome = _responses.Outcome.ACCEPTED
    if refused and len(refused) < len(statuses):
        code = MULTI_STATUS
    elif refused:
        reason = refused[0].reason or messages.RefusalReason.BAD_REQUEST
        code = _responses.http_status_of(reason)
        body['reason'] = reason.value
        body['detail'] = refused[0].detail
        outcome = _responses.Outcome.REFUSED_NOT_RUN
    response = _http.json_response(
        body,
        code,
        _responses.outcome_headers(outcome, ''),
    )
    retry_after_ms = max(
        (status.retry_after_ms for status in refused), default=0
    )
    if retry_after_ms:
        response.headers['Retry-After'] = str(-(-retry_after_ms // 1000))
    return response
