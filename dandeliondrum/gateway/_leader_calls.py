"""Calls to the leader whose failures are converted to HTTP problems."""

import typing

from returns import result

from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _leader_link
from dandeliondrum.gateway import _responses
from dandeliondrum import messages
from dandeliondrum import transport

RETRY_AFTER_MS = 1_000
Reply = typing.TypeVar('Reply')


def call(
    link: _leader_link.LeaderLink,
    message: typing.Any,
    kind: type[Reply],
    timeout_ms: int,
) -> result.Result[Reply, _http.Problem]:
    """Send a message and return its reply of type ``kind``.

    The status of the problem is 503 if the call had no effect and 502 if that
    is not known.
    """
    match link.call(message, timeout_ms):
        case result.Success(reply) if isinstance(reply, kind):
            return result.Success(reply)
        case result.Success(messages.CallFailed() as failed):
            return result.Failure(_problem_of_failure(failed))
        case result.Failure(transport.CallError() as error):
            return result.Failure(_problem_of_call_error(error))
        case other:
            return result.Failure(
                _http.Problem(502, 'unexpected_reply', str(other))
            )


def _problem_of_failure(failed: messages.CallFailed) -> _http.Problem:
    for reason in messages.RefusalReason:
        if failed.reason == reason.value:
            return _http.Problem(
                _responses.http_status_of(reason), reason.value
            )
    status = 503 if failed.not_done else 502
    return _http.Problem(status, 'call_failed', failed.reason, RETRY_AFTER_MS)


def _problem_of_call_error(error: transport.CallError) -> _http.Problem:
    if error.failure is transport.CallFailure.NOT_SENT:
        return _http.Problem(503, 'no_leader', error.detail, RETRY_AFTER_MS)
    return _http.Problem(
        502, 'no_reply', f'call to the leader: {error.failure.value}'
    )
