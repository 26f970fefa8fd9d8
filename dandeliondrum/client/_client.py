"""A client of several gateways."""

import collections.abc
import dataclasses
import itertools
import json
import random
import time
import uuid

from returns import result

from dandeliondrum.client import _exchange
from dandeliondrum.client import _outcomes
from dandeliondrum.client import _requests
from dandeliondrum.client import _retries
from dandeliondrum.client import _settle
from dandeliondrum import utils

# What a gateway needs beyond the deadline to report the leader's refusal.
REPLY_MARGIN_MS = 4_000


class Client:
    """Submits work for one team and sees it through.

    A request's id is made once and kept through all tries, so that no try
    can run a task a second time.

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
        self._exchanger = _exchange.Exchanger()
        offset = self._generator.randrange(len(addresses))
        self._addresses = addresses[offset:] + addresses[:offset]

    def run(
        self,
        body: bytes,
        options: _requests.TaskOptions | None = None,
        request_id: str | None = None,
    ) -> result.Result[_outcomes.Answer, _outcomes.Outcome]:
        """Run a task and wait for its whole answer.

        An id of one's own is taken as one that may have been sent before.
        """
        options = options or _requests.TaskOptions()
        task_id = request_id or uuid.uuid4().hex
        headers = self._headers(task_id) | options.headers()

        def request(left_ms: int, sent_before: bool) -> _exchange.Request:
            first = not sent_before and request_id is None
            changing = {
                'Dandeliondrum-First-Sending': 'true' if first else 'false',
                'Dandeliondrum-Timeout-Ms': str(left_ms),
            }
            return _exchange.Request(
                'POST',
                '/v1/tasks',
                headers | changing,
                body,
                left_ms + REPLY_MARGIN_MS,
            )

        return self._try(
            request, task_id, options.timeout_ms, request_id is None
        ).map(lambda reply: _answer(task_id, reply))

    def submit_jobs(
        self,
        tasks: collections.abc.Sequence[_requests.JobTask],
        queue: str = 'default',
        gang: bool = False,
        timeout_ms: int = _requests.DEFAULT_TIMEOUT_MS,
    ) -> result.Result[tuple[_outcomes.TaskStatus, ...], _outcomes.Outcome]:
        """Submit durable tasks; success once each has its status.

        Sending the same job again does no harm.
        """
        value = {
            'team': self._team,
            'queue': queue,
            'gang': gang,
            'tasks': [task.plain() for task in tasks],
        }
        return self._post('/v1/jobs', value, timeout_ms)

    def cancel(
        self,
        request_ids: collections.abc.Sequence[str],
        timeout_ms: int = _requests.DEFAULT_TIMEOUT_MS,
    ) -> result.Result[tuple[_outcomes.TaskStatus, ...], _outcomes.Outcome]:
        """Cancel tasks; the statuses say what became of each."""
        value = {'team': self._team, 'request_ids': list(request_ids)}
        return self._post('/v1/tasks/cancel', value, timeout_ms)

    def status(
        self,
        request_id: str,
        timeout_ms: int = _requests.DEFAULT_TIMEOUT_MS,
    ) -> result.Result[_outcomes.TaskStatus, _outcomes.Outcome]:
        """Return where a task stands."""
        return self._ask('GET', f'/v1/tasks/{request_id}', timeout_ms).bind(
            lambda reply: _status(request_id, reply)
        )

    def answer(
        self,
        request_id: str,
        timeout_ms: int = _requests.DEFAULT_TIMEOUT_MS,
    ) -> result.Result[
        _outcomes.Answer, _outcomes.Outcome | _outcomes.Pending
    ]:
        """Fetch the answer of a task that was submitted before."""
        reply = self._ask('GET', f'/v1/tasks/{request_id}/answer', timeout_ms)
        match reply:
            case result.Success(found) if _exchange.ATTEMPT in found.headers:
                return result.Success(_answer(request_id, found))
            case result.Success(found):
                state = str(found.plain().get('state', 'unknown'))
                return result.Failure(_outcomes.Pending(request_id, state))
        return result.Failure(reply.failure())

    def release(
        self,
        request_id: str,
        timeout_ms: int = _requests.DEFAULT_TIMEOUT_MS,
    ) -> result.Result[None, _outcomes.Outcome]:
        """Report that the answer has arrived and may be dropped."""
        path = f'/v1/tasks/{request_id}/answer'
        return self._ask('DELETE', path, timeout_ms).map(lambda _reply: None)

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

        def request(left_ms: int, _sent_before: bool) -> _exchange.Request:
            return _exchange.Request(
                'POST', path, headers, body, left_ms + REPLY_MARGIN_MS
            )

        return self._try(request, '', timeout_ms, False).map(_statuses)

    def _ask(self, method: str, path: str, timeout_ms: int) -> _settle.Settled:
        headers = self._headers()

        def request(left_ms: int, _sent_before: bool) -> _exchange.Request:
            return _exchange.Request(
                method, path, headers, b'', left_ms + REPLY_MARGIN_MS
            )

        request_id = path.split('/')[3]
        return self._try(
            request, request_id, timeout_ms, False, _settle.reported
        )

    def _try(
        self,
        make: collections.abc.Callable[[int, bool], _exchange.Request],
        request_id: str,
        timeout_ms: int,
        vouched: bool,
        settle: _settle.Settle | None = None,
    ) -> _settle.Settled:
        """Send to one gateway after the other until something is settled."""
        deadline_ms = utils.monotonic_ms() + timeout_ms
        self._budget.earn()
        sent = False
        for retries_count in itertools.count():
            address = self._addresses[retries_count % len(self._addresses)]
            left_ms = max(1, deadline_ms - utils.monotonic_ms())
            request = dataclasses.replace(
                make(left_ms, sent), silence_s=self._policy.silence_s
            )
            outcome = self._exchanger.send(address, request)
            settled = (settle or _settle.settled)(request_id, outcome)
            if settled is not None:
                return settled
            no_effect = _settle.without_effect(outcome)
            sent = sent or not no_effect
            pause_ms = self._policy.pause_ms(
                retries_count, _settle.asked_ms(outcome), self._generator
            )
            late = utils.monotonic_ms() + pause_ms >= deadline_ms
            if late or not self._may_retry(outcome):
                not_run = vouched and not sent
                return result.Failure(
                    _settle.unsettled(request_id, outcome, not_run)
                )
            time.sleep(pause_ms / 1000)
        raise utils.InvariantError('the count of retries has ended')

    def _may_retry(self, outcome: _exchange.Result) -> bool:
        match outcome:
            case _exchange.NoReply(silent=True):
                return True
        return self._budget.spend()


def _answer(request_id: str, reply: _exchange.Reply) -> _outcomes.Answer:
    return _outcomes.Answer(
        request_id,
        reply.headers.get(_exchange.ATTEMPT, ''),
        reply.body,
        failed=reply.status >= 500,
    )


def _statuses(reply: _exchange.Reply) -> tuple[_outcomes.TaskStatus, ...]:
    return tuple(
        _outcomes.TaskStatus.from_plain(one)
        for one in reply.plain().get('tasks', ())
    )


def _status(
    request_id: str, reply: _exchange.Reply
) -> result.Result[_outcomes.TaskStatus, _outcomes.Outcome]:
    plain = reply.plain()
    if 'state' not in plain:
        return result.Failure(
            _outcomes.InDoubt(request_id, 'unexpected_reply')
        )
    return result.Success(_outcomes.TaskStatus.from_plain(plain))
