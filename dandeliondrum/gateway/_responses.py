"""Responses to callers, each with an outcome header.

This module does not decide whether a task ran. "Not run" is reported either
by the leader or by the gateway itself. The gateway reports it only for an id
that it generated or that the caller declares it never sent before, and only
while no leader can have received the task.
"""

import enum

import werkzeug

from dandeliondrum.gateway import _http
from dandeliondrum import messages

REQUEST_ID = 'Dandeliondrum-Request-Id'
ATTEMPT = 'Dandeliondrum-Attempt'
ANSWER_DIGEST = 'Dandeliondrum-Answer-Digest'
IN_DOUBT_STATUS = 502

Reason = messages.RefusalReason

_STATUS_OF_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.BAD_KEY: 403,
    Reason.UNKNOWN_TEAM: 403,
    Reason.ID_CONFLICT: 409,
    Reason.CANCELLED: 410,
    Reason.NEVER_FITS: 422,
    Reason.QUEUE_FULL: 429,
    Reason.OVER_LIMIT: 429,
    Reason.WORKERS_FAILED: 503,
    Reason.SHUTTING_DOWN: 503,
    Reason.STORAGE_FULL: 503,
    Reason.DEADLINE_PASSED: 504,
    Reason.DEADLINE_UNREACHABLE: 504,
}


class Outcome(enum.Enum):
    """Guarantee that a response gives to the caller."""

    ANSWERED = 'answered'
    REFUSED_NOT_RUN = 'refused_not_run'
    IN_DOUBT = 'in_doubt'
    ACCEPTED = 'accepted'


def http_status_of(reason: messages.RefusalReason) -> int:
    """Return the HTTP status for a refusal reason."""
    return _STATUS_OF_REASON[reason]


def request_id_of(task_id: messages.TaskId) -> str:
    """Return the request id, the part of a task id after the team."""
    return task_id.partition('/')[2]


def outcome_headers(
    outcome: Outcome, request_id: str, attempt_id: str = ''
) -> dict[str, str]:
    """Return the headers that all responses to callers have."""
    headers = {_http.OUTCOME_HEADER: outcome.value}
    if request_id:
        headers[REQUEST_ID] = request_id
    if attempt_id:
        headers[ATTEMPT] = attempt_id
    return headers


def answer_headers(
    task_id: messages.TaskId, place: messages.AnswerPlace
) -> dict[str, str]:
    """Return the headers of a complete answer of a worker."""
    headers = outcome_headers(
        Outcome.ANSWERED, request_id_of(task_id), place.attempt_id
    )
    headers['Content-Length'] = str(place.length_bytes)
    headers['Content-Type'] = 'application/octet-stream'
    if place.digest:
        headers[ANSWER_DIGEST] = place.digest
    return headers


def answered(
    task_id: messages.TaskId, place: messages.AnswerPlace, body: bytes
) -> werkzeug.Response:
    """Return the complete answer of a worker."""
    return werkzeug.Response(
        body, place.status, answer_headers(task_id, place)
    )


def refused(
    request_id: str, problem: _http.Problem, not_run: bool
) -> werkzeug.Response:
    """Return a refusal.

    ``not_run`` tells whether the task is known not to have run; otherwise the
    outcome is "in doubt".
    """
    outcome = Outcome.REFUSED_NOT_RUN if not_run else Outcome.IN_DOUBT
    return _http.problem_response(
        problem, outcome_headers(outcome, request_id)
    )


def refused_by_leader(status: messages.TaskStatus) -> werkzeug.Response:
    """Return a refusal that the leader has recorded."""
    reason = status.reason or Reason.BAD_REQUEST
    problem = _http.Problem(
        http_status_of(reason),
        reason.value,
        status.detail,
        status.retry_after_ms,
    )
    return refused(request_id_of(status.task_id), problem, not_run=True)


def in_doubt(request_id: str, detail: str) -> werkzeug.Response:
    """Return a response for a task that may or may not have run."""
    problem = _http.Problem(IN_DOUBT_STATUS, 'in_doubt', detail)
    return refused(request_id, problem, not_run=False)


def in_doubt_by_leader(status: messages.TaskStatus) -> werkzeug.Response:
    """Return the leader's statement that a task may or may not have run.

    The status has a reason if the leader refused this call about a task that
    was already started.
    """
    request_id = request_id_of(status.task_id)
    if status.reason is None:
        return in_doubt(request_id, status.detail)
    problem = _http.Problem(
        http_status_of(status.reason), status.reason.value, status.detail
    )
    return refused(request_id, problem, not_run=False)


def cancelled(status: messages.TaskStatus) -> werkzeug.Response:
    """Return a cancellation; a task without attempts did not run."""
    problem = _http.Problem(
        http_status_of(Reason.CANCELLED), Reason.CANCELLED.value, status.detail
    )
    return refused(
        request_id_of(status.task_id),
        problem,
        not_run=status.attempts_count == 0,
    )


def failed(status: messages.TaskStatus) -> werkzeug.Response:
    """Return the failure of a task that left no answer on its workers."""
    return _http.problem_response(
        _http.Problem(500, 'task_failed', status.detail),
        outcome_headers(Outcome.ANSWERED, request_id_of(status.task_id)),
    )
