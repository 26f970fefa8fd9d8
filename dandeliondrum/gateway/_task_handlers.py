"""Handlers of requests about tasks that were submitted before."""

import dataclasses
import typing

from returns import result
import werkzeug

from dandeliondrum.gateway import _answer_stream
from dandeliondrum.gateway import _components
from dandeliondrum.gateway import _dispatch
from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _json_codec
from dandeliondrum.gateway import _leader_calls
from dandeliondrum.gateway import _responses
from dandeliondrum.gateway import _task_headers
from dandeliondrum import messages

QUERY_TIMEOUT_MS = 2_000
CANCEL_TIMEOUT_MS = 5_000
CANCEL_MAX_BYTES = 4 * 1024 * 1024
CANCEL_CHUNK_TASKS = 1_000
FETCH_TRIES_MAX = 3
FETCH_RETRY_AFTER_MS = 1_000

State = messages.TaskState
_ACCESS_REASONS = (
    messages.RefusalReason.BAD_KEY,
    messages.RefusalReason.UNKNOWN_TEAM,
)


@dataclasses.dataclass(frozen=True)
class CancelRequest:
    """The body of ``POST /v1/tasks/cancel``."""

    team: str
    request_ids: tuple[str, ...]


class TaskHandlers:
    """Serves task status, answer, release of answers and cancellation."""

    def __init__(self, components: _components.Components) -> None:
        self._components = components

    def routes(self) -> tuple[_http.Route, ...]:
        """Return the routes of these handlers."""
        return (
            _http.Route('GET', '/v1/tasks/<request_id>', self.show),
            _http.Route('GET', '/v1/tasks/<request_id>/answer', self.answer),
            _http.Route(
                'DELETE', '/v1/tasks/<request_id>/answer', self.release
            ),
            _http.Route('POST', '/v1/tasks/cancel', self.cancel),
        )

    def show(self, call: _http.Call, request_id: str) -> werkzeug.Response:
        """Return the status of a task."""
        match self._status(call, request_id):
            case result.Success(status):
                return status_response(status)
            case result.Failure(problem):
                return _responses.refused(request_id, problem, not_run=False)
        raise AssertionError

    def answer(self, call: _http.Call, request_id: str) -> werkzeug.Response:
        """Return the complete answer of an ended task, or its status."""
        match self._status(call, request_id):
            case result.Success(messages.TaskStatus(answer=place) as status):
                if place is None:
                    return status_response(status)
                return self._fetch(call, status.task_id, place)
            case result.Failure(problem):
                return _responses.refused(request_id, problem, not_run=False)
        raise AssertionError

    def release(self, call: _http.Call, request_id: str) -> werkzeug.Response:
        """Allow the answer to be deleted.

        The call confirms that the caller has received the answer.
        """
        released = _task_headers.parse_identity(
            call, self._components.rules, request_id
        ).bind(
            lambda identity: _leader_calls.call(
                self._components.link,
                messages.ReleaseAnswers(
                    (identity.task_id(),), identity.team_id, identity.key
                ),
                messages.Done,
                QUERY_TIMEOUT_MS,
            )
        )
        match released:
            case result.Failure(problem):
                return _responses.refused(request_id, problem, not_run=False)
        return _http.json_response(
            {},
            200,
            _responses.outcome_headers(
                _responses.Outcome.ANSWERED, request_id
            ),
        )

    def cancel(self, call: _http.Call) -> werkzeug.Response:
        """Cancel tasks of one team; the response has a status for each."""
        request = (
            call.json(CANCEL_MAX_BYTES)
            .bind(lambda data: _json_codec.structure(data, CancelRequest))
            .bind(_check_cancel)
        )
        match request:
            case result.Failure(problem):
                return _responses.refused('', problem, not_run=False)
            case result.Success(cancel_request):
                return self._cancel(call, cancel_request)
        raise AssertionError

    def _cancel(
        self, call: _http.Call, cancel_request: CancelRequest
    ) -> werkzeug.Response:
        key = _task_headers.bearer_key(call)
        team_id = messages.TeamId(cancel_request.team)
        statuses: list[messages.TaskStatus] = []
        for offset in range(
            0, len(cancel_request.request_ids), CANCEL_CHUNK_TASKS
        ):
            task_ids = tuple(
                messages.TaskId(f'{team_id}/{request_id}')
                for request_id in cancel_request.request_ids[
                    offset : offset + CANCEL_CHUNK_TASKS
                ]
            )
            reply = _leader_calls.call(
                self._components.link,
                messages.CancelCall(task_ids, team_id, key),
                messages.TaskStatuses,
                CANCEL_TIMEOUT_MS,
            )
            match reply:
                case result.Failure(problem):
                    return _responses.refused('', problem, not_run=False)
                case result.Success(messages.TaskStatuses(statuses=part)):
                    statuses.extend(part)
        return _http.json_response(
            {'tasks': [status_json(status) for status in statuses]},
            200,
            _responses.outcome_headers(_responses.Outcome.ANSWERED, ''),
        )

    def _status(
        self, call: _http.Call, request_id: str
    ) -> result.Result[messages.TaskStatus, _http.Problem]:
        return (
            _task_headers.parse_identity(
                call, self._components.rules, request_id
            )
            .bind(
                lambda identity: _leader_calls.call(
                    self._components.link,
                    messages.QueryTasks(
                        (identity.task_id(),), identity.team_id, identity.key
                    ),
                    messages.TaskStatuses,
                    QUERY_TIMEOUT_MS,
                )
            )
            .bind(_single_status)
        )

    def _fetch(
        self,
        call: _http.Call,
        task_id: messages.TaskId,
        place: messages.AnswerPlace,
    ) -> werkzeug.Response:
        why = 'the answer is incomplete or does not match its digest'
        for _ in range(FETCH_TRIES_MAX):
            stream = _answer_stream.AnswerStream(
                call, task_id, place, lambda _ended: True
            )
            match self._components.dispatcher.fetch(place, 0, stream.open):
                case _dispatch.Ended(body=bytes(body), place=found):
                    return _responses.answered(task_id, found, body)
                case _dispatch.Ended(streamed=True) as ended:
                    if ended.complete and stream.finish():
                        return _responses.answered(task_id, ended.place, b'')
                    if stream.started:
                        raise _http.TruncatedResponseError(
                            f'answer of {task_id} was truncated'
                        )
                case _dispatch.Uncertain(reason=why):
                    pass
        problem = _http.Problem(
            502, 'answer_unreachable', why, FETCH_RETRY_AFTER_MS
        )
        return _responses.refused(
            _responses.request_id_of(task_id), problem, not_run=False
        )


def status_json(status: messages.TaskStatus) -> dict[str, typing.Any]:
    """Return a status as a dict for the JSON response."""
    fields: dict[str, typing.Any] = {
        'request_id': _responses.request_id_of(status.task_id),
        'state': status.state.value,
        'reason': status.reason.value if status.reason else None,
        'detail': status.detail,
        'retry_after_ms': status.retry_after_ms,
        'attempts_count': status.attempts_count,
        'worker_id': status.worker_id,
    }
    if status.answer is not None:
        fields['answer_length_bytes'] = status.answer.length_bytes
        fields['attempt_id'] = status.answer.attempt_id
    if status.members:
        fields['members'] = [status_json(one) for one in status.members]
    return fields


def outcome_of(status: messages.TaskStatus) -> _responses.Outcome:
    """Return the outcome that follows from a status."""
    match status.state:
        case State.QUEUED | State.ASSIGNED:
            return _responses.Outcome.ACCEPTED
        case State.DONE | State.FAILED:
            return _responses.Outcome.ANSWERED
        case State.REFUSED:
            return _responses.Outcome.REFUSED_NOT_RUN
        case State.CANCELLED if status.attempts_count == 0:
            return _responses.Outcome.REFUSED_NOT_RUN
    return _responses.Outcome.IN_DOUBT


def status_response(status: messages.TaskStatus) -> werkzeug.Response:
    """Return a status: 202 for an unfinished task, 404 for an unknown one."""
    code = 200
    if status.state in (State.QUEUED, State.ASSIGNED):
        code = 202
    if status.state is State.UNKNOWN:
        code = 404
    return _http.json_response(
        status_json(status),
        code,
        _responses.outcome_headers(
            outcome_of(status), _responses.request_id_of(status.task_id)
        ),
    )


def _single_status(
    reply: messages.TaskStatuses,
) -> result.Result[messages.TaskStatus, _http.Problem]:
    if len(reply.statuses) != 1:
        return result.Failure(
            _http.Problem(
                502, 'unexpected_reply', 'expected exactly one status'
            )
        )
    status = reply.statuses[0]
    # The refusal may concern the access of this query, not the task.
    if status.state is State.REFUSED and status.reason in _ACCESS_REASONS:
        return result.Failure(
            _http.Problem(403, status.reason.value, status.detail)
        )
    return result.Success(status)


def _check_cancel(
    cancel_request: CancelRequest,
) -> result.Result[CancelRequest, _http.Problem]:
    for name in (cancel_request.team, *cancel_request.request_ids):
        if not _task_headers.is_valid_name(name):
            return result.Failure(
                _http.Problem(
                    400, 'bad_request', f'{name!r:.40} is not a valid id'
                )
            )
    return result.Success(cancel_request)
