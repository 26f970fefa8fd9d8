"""Responses to callers, each with an outcome that is true.

Nothing here decides whether a task ran: "not run" is either the leader's
word or, for an id that was vouched for and that no leader can have seen, the
gateway's own.
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
    """What a caller can rely on."""

    ANSWERED = 'answered'
    REFUSED_NOT_RUN = 'refused_not_run'
    IN_DOUBT = 'in_doubt'
    ACCEPTED = 'accepted'


def status_of(reason: messages.RefusalReason) -> int:
    """Return the HTTP status of a refusal."""
    return _STATUS_OF_REASON[reason]


def request_id_of(task_id: messages.TaskId) -> str:
    """Return the caller's part of a task id."""
    return task_id.partition('/')[2]


def headers_of(
    outcome: Outcome, request_id: str, attempt_id: str = ''
) -> dict[str, str]:
    """Return the headers that each answer to a caller carries."""
    headers = {_http.OUTCOME: outcome.value}
    if request_id:
        headers[REQUEST_ID] = request_id
    if attempt_id:
        headers[ATTEMPT] = attempt_id
    return headers


def answer_headers(
    task_id: messages.TaskId, place: messages.AnswerPlace
) -> dict[str, str]:
    """Return the headers of a worker's whole answer."""
    headers = headers_of(
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
    """Return a worker's whole answer."""
    return werkzeug.Response(
        body, place.status, answer_headers(task_id, place)
    )


def refused(
    request_id: str, problem: _http.Problem, not_run: bool
) -> werkzeug.Response:
    """Return a refusal; ``not_run`` says whether that may be claimed."""
    outcome = Outcome.REFUSED_NOT_RUN if not_run else Outcome.IN_DOUBT
    return _http.problem_response(problem, headers_of(outcome, request_id))


def refused_by_leader(status: messages.TaskStatus) -> werkzeug.Response:
    """Return the leader's refusal, which it has recorded."""
    reason = status.reason or Reason.BAD_REQUEST
    problem = _http.Problem(
        status_of(reason), reason.value, status.detail, status.retry_after_ms
    )
    return refused(request_id_of(status.task_id), problem, not_run=True)


def in_doubt(request_id: str, detail: str) -> werkzeug.Response:
    """Say that neither "run" nor "not run" can be claimed yet."""
    problem = _http.Problem(IN_DOUBT_STATUS, 'in_doubt', detail)
    return refused(request_id, problem, not_run=False)


def in_doubt_by_leader(status: messages.TaskStatus) -> werkzeug.Response:
    """Return the leader's word that it can claim neither.

    A reason is there when it turned this call away, of a task that ran.
    """
    request_id = request_id_of(status.task_id)
    if status.reason is None:
        return in_doubt(request_id, status.detail)
    problem = _http.Problem(
        status_of(status.reason), status.reason.value, status.detail
    )
    return refused(request_id, problem, not_run=False)


def cancelled(status: messages.TaskStatus) -> werkzeug.Response:
    """Answer for a cancelled task; it did not run if it has no attempt."""
    problem = _http.Problem(
        status_of(Reason.CANCELLED), Reason.CANCELLED.value, status.detail
    )
    return refused(
        request_id_of(status.task_id),
        problem,
        not_run=status.attempts_count == 0,
    )


def failed(status: messages.TaskStatus) -> werkzeug.Response:
    """Answer for a task that failed on its workers and left no answer."""
    return _http.problem_response(
        _http.Problem(500, 'task_failed', status.detail),
        headers_of(Outcome.ANSWERED, request_id_of(status.task_id)),
    )
