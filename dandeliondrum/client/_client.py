"""A client that submits work through several gateways."""

import collections.abc
import dataclasses
import itertools
import json
import random
import time
import uuid

from returns import result

from dandeliondrum.client import _http
from dandeliondrum.client import _outcomes
from dandeliondrum.client import _requests
from dandeliondrum.client import _retries
from dandeliondrum.client import _settle
from dandeliondrum import utils

# Time that a gateway needs after the deadline to report the leader's refusal.
REPLY_MARGIN_MS = 4_000


class Client:
    """Submits the work of one team and retries until its outcome is known.

    The id of a request is generated once and used for all its attempts, so
    that no attempt can run the task a second time.

    Example::

        client = Client(('10.0.0.1:7000', '10.0.0.2:7000'), 'bureau', key)
        match client.run(b'ring 7', TaskOptions(task_class='urgent')):
            case result.Success(answer):
                print(answer.body)
            case result.Failure(Refused() as refused):
                print('not run:', refused.reason)
            case result.Failure(InDoubt() as doubt):
                print('ask later for', doubt.request_id)
    """

    def __init__(
        self,
        addresses: tuple[str, ...],
        team: str,
        key: str,
        policy: _retries.RetryPolicy | None = None,
        generator: random.Random | None = None,
    ) -> None:
        self._team = team
        self._key = key
        self._policy = policy or _retries.RetryPolicy()
        self._generator = generator or random.Random()
        self._budget = _retries.RetryBudget(self._policy)
        self._sender = _http.HttpSender()
        offset = self._generator.randrange(len(addresses))
        self._addresses = addresses[offset:] + addresses[:offset]

    def run(
        self,
        body: bytes,
        options: _requests.TaskOptions | None = None,
        request_id: str | None = None,
    ) -> result.Result[_outcomes.Answer, _outcomes.Outcome]:
        """Run a task and wait for its complete answer.

        A ``request_id`` given by the caller is treated as one that may have
        been sent before.
        """
        options = options or _requests.TaskOptions()
        task_id = request_id or uuid.uuid4().hex
        headers = self._headers(task_id) | options.headers()

        def make_request(
            remaining_ms: int, sent_before: bool
        ) -> _http.Request:
            is_first = not sent_before and request_id is None
            attempt_headers = {
                'Dandeliondrum-First-Sending': 'true' if is_first else 'false',
                'Dandeliondrum-Timeout-Ms': str(remaining_ms),
            }
            return _http.Request(
                'POST',
                '/v1/tasks',
                headers | attempt_headers,
                body,
                remaining_ms + REPLY_MARGIN_MS,
            )

        return self._send_with_retries(
            make_request, task_id, options.timeout_ms, request_id is None
        ).map(lambda reply: _answer(task_id, reply))

    def submit_jobs(
        self,
        tasks: collections.abc.Sequence[_requests.JobTask],
        queue: str = 'default',
        gang: bool = False,
        timeout_ms: int = _requests.DEFAULT_TIMEOUT_MS,
    ) -> result.Result[tuple[_outcomes.TaskStatus, ...], _outcomes.Outcome]:
        """Submit durable tasks and return the status of each.

        Submitting the same job again is harmless.
        """
        value = {
            'team': self._team,
            'queue': queue,
            'gang': gang,
            'tasks': [task.to_json() for task in tasks],
        }
        return self._post('/v1/jobs', value, timeout_ms)

    def cancel(
        self,
        request_ids: collections.abc.Sequence[str],
        timeout_ms: int = _requests.DEFAULT_TIMEOUT_MS,
    ) -> result.Result[tuple[_outcomes.TaskStatus, ...], _outcomes.Outcome]:
        """Cancel tasks and return the resulting status of each."""
        value = {'team': self._team, 'request_ids': list(request_ids)}
        return self._post('/v1/tasks/cancel', value, timeout_ms)

    def status(
        self,
        request_id: str,
        timeout_ms: int = _requests.DEFAULT_TIMEOUT_MS,
    ) -> result.Result[_outcomes.TaskStatus, _outcomes.Outcome]:
        """Return the status of a task."""
        return self._query('GET', f'/v1/tasks/{request_id}', timeout_ms).bind(
            lambda reply: _status(request_id, reply)
        )

    def answer(
        self,
        request_id: str,
        timeout_ms: int = _requests.DEFAULT_TIMEOUT_MS,
    ) -> result.Result[
        _outcomes.Answer, _outcomes.Outcome | _outcomes.Pending
    ]:
        """Fetch the answer of a task that was submitted earlier."""
        reply = self._query(
            'GET', f'/v1/tasks/{request_id}/answer', timeout_ms
        )
        match reply:
            case result.Success(found) if (
                _http.ATTEMPT_HEADER in found.headers
            ):
                return result.Success(_answer(request_id, found))
            case result.Success(found):
                state = str(found.json_object().get('state', 'unknown'))
                return result.Failure(_outcomes.Pending(request_id, state))
        return result.Failure(reply.failure())

    def release(
        self,
        request_id: str,
        timeout_ms: int = _requests.DEFAULT_TIMEOUT_MS,
    ) -> result.Result[None, _outcomes.Outcome]:
        """Report that the answer has arrived, so that it may be deleted."""
        path = f'/v1/tasks/{request_id}/answer'
        return self._query('DELETE', path, timeout_ms).map(lambda _reply: None)

    def _headers(self, request_id: str = '') -> dict[str, str]:
        headers = {
            'Authorization': f'Bearer {self._key}',
            'Dandeliondrum-Team': self._team,
        }
        if request_id:
            headers['Dandeliondrum-Request-Id'] = request_id
        return headers

    def _post(
        self, path: str, value: object, timeout_ms: int
    ) -> result.Result[tuple[_outcomes.TaskStatus, ...], _outcomes.Outcome]:
        body = json.dumps(value).encode()
        headers = self._headers() | {'Content-Type': 'application/json'}

        def make_request(
            remaining_ms: int, _sent_before: bool
        ) -> _http.Request:
            return _http.Request(
                'POST', path, headers, body, remaining_ms + REPLY_MARGIN_MS
            )

        return self._send_with_retries(
            make_request, '', timeout_ms, False
        ).map(_statuses)

    def _query(
        self, method: str, path: str, timeout_ms: int
    ) -> _settle.FinalResult:
        headers = self._headers()

        def make_request(
            remaining_ms: int, _sent_before: bool
        ) -> _http.Request:
            return _http.Request(
                method, path, headers, b'', remaining_ms + REPLY_MARGIN_MS
            )

        request_id = path.split('/')[3]
        return self._send_with_retries(
            make_request,
            request_id,
            timeout_ms,
            False,
            _settle.classify_query,
        )

    def _send_with_retries(
        self,
        make_request: collections.abc.Callable[[int, bool], _http.Request],
        request_id: str,
        timeout_ms: int,
        is_new_id: bool,
        classify: _settle.Classifier | None = None,
    ) -> _settle.FinalResult:
        """Send to one gateway after another until the result is final.

        ``is_new_id`` says that the request id was not sent before this call.
        """
        deadline_ms = utils.monotonic_ms() + timeout_ms
        self._budget.earn()
        may_have_effect = False
        for retries_count in itertools.count():
            address = self._addresses[retries_count % len(self._addresses)]
            remaining_ms = max(1, deadline_ms - utils.monotonic_ms())
            request = dataclasses.replace(
                make_request(remaining_ms, may_have_effect),
                silence_s=self._policy.silence_s,
            )
            outcome = self._sender.send(address, request)
            final_result = (classify or _settle.classify_submission)(
                request_id, outcome
            )
            if final_result is not None:
                return final_result
            no_effect = _settle.had_no_effect(outcome)
            may_have_effect = may_have_effect or not no_effect
            pause_ms = self._policy.pause_ms(
                retries_count,
                _settle.requested_pause_ms(outcome),
                self._generator,
            )
            is_late = utils.monotonic_ms() + pause_ms >= deadline_ms
            if is_late or not self._may_retry(outcome):
                not_run = is_new_id and not may_have_effect
                return result.Failure(
                    _settle.final_failure(request_id, outcome, not_run)
                )
            time.sleep(pause_ms / 1000)
        raise utils.InvariantError('the unbounded retry loop has ended')

    def _may_retry(self, outcome: _http.SendOutcome) -> bool:
        match outcome:
            case _http.NoReply(silent=True):
                return True
        return self._budget.spend()


def _answer(request_id: str, reply: _http.Reply) -> _outcomes.Answer:
    return _outcomes.Answer(
        request_id,
        reply.headers.get(_http.ATTEMPT_HEADER, ''),
        reply.body,
        failed=reply.status >= 500,
    )


def _statuses(reply: _http.Reply) -> tuple[_outcomes.TaskStatus, ...]:
    return tuple(
        _outcomes.TaskStatus.from_json(task)
        for task in reply.json_object().get('tasks', ())
    )


def _status(
    request_id: str, reply: _http.Reply
) -> result.Result[_outcomes.TaskStatus, _outcomes.Outcome]:
    body = reply.json_object()
    if 'state' not in body:
        return result.Failure(
            _outcomes.InDoubt(request_id, 'unexpected_reply')
        )
    return result.Success(_outcomes.TaskStatus.from_json(body))
