"""Calls about tasks that were submitted before."""

import dataclasses
import typing

from returns import result
import werkzeug

from dandeliondrum.gateway import _answer_stream
from dandeliondrum.gateway import _dispatch
from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _json_codec
from dandeliondrum.gateway import _leader_calls
from dandeliondrum.gateway import _outcomes
from dandeliondrum.gateway import _services
from dandeliondrum.gateway import _task_headers
from dandeliondrum import messages

QUERY_TIMEOUT_MS = 2_000
CANCEL_TIMEOUT_MS = 5_000
CANCEL_MAX_BYTES = 4 * 1024 * 1024
CANCEL_CHUNK = 1_000
FETCH_TRIES = 3
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


class Tasks:
    """Serves status, answer, release and cancellation."""

    def __init__(self, services: _services.Services) -> None:
        self._services = services

    def routes(self) -> tuple[_http.Route, ...]:
        """Return what this part serves."""
        return (
            _http.Route('GET', '/v1/tasks/<request_id>', self.show),
            _http.Route('GET', '/v1/tasks/<request_id>/answer', self.answer),
            _http.Route(
                'DELETE', '/v1/tasks/<request_id>/answer', self.release
            ),
            _http.Route('POST', '/v1/tasks/cancel', self.cancel),
        )

    def show(self, call: _http.Call, request_id: str) -> werkzeug.Response:
        """Return where a task stands."""
        match self._status(call, request_id):
            case result.Success(status):
                return status_response(status)
            case result.Failure(problem):
                return _outcomes.refused(request_id, problem, not_run=False)
        raise AssertionError

    def answer(self, call: _http.Call, request_id: str) -> werkzeug.Response:
        """Return the whole answer of an ended task."""
        match self._status(call, request_id):
            case result.Success(messages.TaskStatus(answer=place) as status):
                if place is None:
                    return status_response(status)
                return self._fetch(call, status.task_id, place)
            case result.Failure(problem):
                return _outcomes.refused(request_id, problem, not_run=False)
        raise AssertionError

    def release(self, call: _http.Call, request_id: str) -> werkzeug.Response:
        """Let the answer be dropped, as the caller has it."""
        released = _task_headers.identity(
            call, self._services.rules, request_id
        ).bind(
            lambda who: _leader_calls.ask(
                self._services.link,
                messages.ReleaseAnswers(
                    (who.task_id(),), who.team_id, who.key
                ),
                messages.Done,
                QUERY_TIMEOUT_MS,
            )
        )
        match released:
            case result.Failure(problem):
                return _outcomes.refused(request_id, problem, not_run=False)
        return _http.json_response(
            {},
            200,
            _outcomes.headers_of(_outcomes.Outcome.ANSWERED, request_id),
        )

    def cancel(self, call: _http.Call) -> werkzeug.Response:
        """Cancel many tasks of one team; each gets a status of its own."""
        request = (
            call.json(CANCEL_MAX_BYTES)
            .bind(lambda data: _json_codec.from_plain(data, CancelRequest))
            .bind(_check_cancel)
        )
        match request:
            case result.Failure(problem):
                return _outcomes.refused('', problem, not_run=False)
            case result.Success(wanted):
                return self._cancel(call, wanted)
        raise AssertionError

    def _cancel(
        self, call: _http.Call, wanted: CancelRequest
    ) -> werkzeug.Response:
        key = _task_headers.key_of(call)
        team_id = messages.TeamId(wanted.team)
        statuses: list[messages.TaskStatus] = []
        for offset in range(0, len(wanted.request_ids), CANCEL_CHUNK):
            task_ids = tuple(
                messages.TaskId(f'{team_id}/{request_id}')
                for request_id in wanted.request_ids[
                    offset : offset + CANCEL_CHUNK
                ]
            )
            reply = _leader_calls.ask(
                self._services.link,
                messages.CancelCall(task_ids, team_id, key),
                messages.TaskStatuses,
                CANCEL_TIMEOUT_MS,
            )
            match reply:
                case result.Failure(problem):
                    return _outcomes.refused('', problem, not_run=False)
                case result.Success(messages.TaskStatuses(statuses=part)):
                    statuses.extend(part)
        return _http.json_response(
            {'tasks': [plain_status(status) for status in statuses]},
            200,
            _outcomes.headers_of(_outcomes.Outcome.ANSWERED, ''),
        )

    def _status(
        self, call: _http.Call, request_id: str
    ) -> result.Result[messages.TaskStatus, _http.Problem]:
        return (
            _task_headers.identity(call, self._services.rules, request_id)
            .bind(
                lambda who: _leader_calls.ask(
                    self._services.link,
                    messages.QueryTasks(
                        (who.task_id(),), who.team_id, who.key
                    ),
                    messages.TaskStatuses,
                    QUERY_TIMEOUT_MS,
                )
            )
            .bind(_only_status)
        )

    def _fetch(
        self,
        call: _http.Call,
        task_id: messages.TaskId,
        place: messages.AnswerPlace,
    ) -> werkzeug.Response:
        why = 'the answer came cut or changed'
        for _ in range(FETCH_TRIES):
            stream = _answer_stream.AnswerStream(
                call, task_id, place, lambda _ended: True
            )
            match self._services.dispatcher.fetch(place, 0, stream.open):
                case _dispatch.Ended(body=bytes(body), place=found):
                    return _outcomes.answered(task_id, found, body)
                case _dispatch.Ended(streamed=True) as ended:
                    if ended.whole and stream.finish():
                        return _outcomes.answered(task_id, ended.place, b'')
                    if stream.started:
                        raise _http.CutShort(f'answer of {task_id} broke off')
                case _dispatch.Uncertain(reason=why):
                    pass
        problem = _http.Problem(
            502, 'answer_unreachable', why, FETCH_RETRY_AFTER_MS
        )
        return _outcomes.refused(
            _outcomes.request_id_of(task_id), problem, not_run=False
        )


def plain_status(status: messages.TaskStatus) -> dict[str, typing.Any]:
    """Return a status as the JSON that callers get."""
    plain: dict[str, typing.Any] = {
        'request_id': _outcomes.request_id_of(status.task_id),
        'state': status.state.value,
        'reason': status.reason.value if status.reason else None,
        'detail': status.detail,
        'retry_after_ms': status.retry_after_ms,
        'attempts_count': status.attempts_count,
        'worker_id': status.worker_id,
    }
    if status.answer is not None:
        plain['answer_length_bytes'] = status.answer.length_bytes
        plain['attempt_id'] = status.answer.attempt_id
    if status.members:
        plain['members'] = [plain_status(one) for one in status.members]
    return plain


def outcome_of(status: messages.TaskStatus) -> _outcomes.Outcome:
    """Return what a caller can rely on, given a status."""
    match status.state:
        case State.QUEUED | State.ASSIGNED:
            return _outcomes.Outcome.ACCEPTED
        case State.DONE | State.FAILED:
            return _outcomes.Outcome.ANSWERED
        case State.REFUSED:
            return _outcomes.Outcome.REFUSED_NOT_RUN
        case State.CANCELLED if status.attempts_count == 0:
            return _outcomes.Outcome.REFUSED_NOT_RUN
    return _outcomes.Outcome.IN_DOUBT


def status_response(status: messages.TaskStatus) -> werkzeug.Response:
    """Return a status: 202 while the task goes on, 404 when unknown."""
    code = 200
    if status.state in (State.QUEUED, State.ASSIGNED):
        code = 202
    if status.state is State.UNKNOWN:
        code = 404
    return _http.json_response(
        plain_status(status),
        code,
        _outcomes.headers_of(
            outcome_of(status), _outcomes.request_id_of(status.task_id)
        ),
    )


def _only_status(
    reply: messages.TaskStatuses,
) -> result.Result[messages.TaskStatus, _http.Problem]:
    if len(reply.statuses) != 1:
        return result.Failure(
            _http.Problem(502, 'unexpected_reply', 'not one status')
        )
    status = reply.statuses[0]
    # The leader may mean the question and not the task.
    if status.state is State.REFUSED and status.reason in _ACCESS_REASONS:
        return result.Failure(
            _http.Problem(403, status.reason.value, status.detail)
        )
    return result.Success(status)


def _check_cancel(
    wanted: CancelRequest,
) -> result.Result[CancelRequest, _http.Problem]:
    for name in (wanted.team, *wanted.request_ids):
        if not _task_headers.valid_name(name):
            return result.Failure(
                _http.Problem(400, 'bad_request', f'{name!r:.40} is no id')
            )
    return result.Success(wanted)
