"""Classifies the outcomes of single attempts of a call."""

import collections.abc

from returns import result

from dandeliondrum.client import _http
from dandeliondrum.client import _outcomes

# Reasons for which only this gateway refuses; another may accept the same id.
RETRYABLE_REFUSALS = ('no_leader', 'gateway_busy')

FinalResult = result.Result[_http.Reply, _outcomes.Outcome]
# Returns the final result of a call, or None if it has to be retried.
Classifier = collections.abc.Callable[
    [str, _http.SendOutcome], FinalResult | None
]
# HTTP statuses of replies that hold the status of a task.
QUERY_STATUSES = (200, 202, 404)


def classify_submission(
    request_id: str, outcome: _http.SendOutcome
) -> FinalResult | None:
    """Return the result of a submission if no retry can change it."""
    if not isinstance(outcome, _http.Reply):
        return None
    body = outcome.json_object()
    reason = str(body.get('reason') or outcome.status)
    detail = str(body.get('detail') or '')
    match outcome.outcome():
        case 'answered' | 'accepted':
            intact = outcome.is_intact()
            return result.Success(outcome) if intact else None
        case 'refused_not_run' if reason not in RETRYABLE_REFUSALS:
            return result.Failure(
                _outcomes.Refused(
                    request_id, reason, detail, outcome.retry_after_ms()
                )
            )
        case 'in_doubt' if 400 <= outcome.status < 500:
            return result.Failure(
                _outcomes.InDoubt(request_id, reason, detail)
            )
    return None


def classify_query(
    request_id: str, outcome: _http.SendOutcome
) -> FinalResult | None:
    """Return the result of a query about a task if no retry is needed."""
    if not isinstance(outcome, _http.Reply):
        return None
    has_answer = _http.ATTEMPT_HEADER in outcome.headers
    if has_answer or outcome.status in QUERY_STATUSES:
        intact = outcome.is_intact()
        return result.Success(outcome) if intact else None
    if 400 <= outcome.status < 500:
        body = outcome.json_object()
        return result.Failure(
            _outcomes.InDoubt(
                request_id,
                str(body.get('reason') or outcome.status),
                str(body.get('detail') or ''),
            )
        )
    return None


def had_no_effect(outcome: _http.SendOutcome) -> bool:
    """Return whether the attempt certainly had no effect."""
    match outcome:
        case _http.NotSent():
            return True
        case _http.Reply():
            return outcome.outcome() == 'refused_not_run'
    return False


def requested_pause_ms(outcome: _http.SendOutcome) -> int:
    """Return the delay before a retry that the gateway requested, or 0."""
    if isinstance(outcome, _http.Reply):
        return outcome.retry_after_ms()
    return 0


def final_failure(
    request_id: str, outcome: _http.SendOutcome, not_run: bool
) -> _outcomes.Outcome:
    """Return the outcome of a call whose last attempt was not final."""
    match outcome:
        case _http.Reply():
            reason = str(outcome.json_object().get('reason') or outcome.status)
            detail = str(outcome.json_object().get('detail') or '')
        case _http.NotSent(detail) | _http.NoReply(detail):
            reason = 'unreachable'
    if not_run:
        return _outcomes.Refused(
            request_id, reason, detail, requested_pause_ms(outcome)
        )
    return _outcomes.InDoubt(request_id, reason, detail)
