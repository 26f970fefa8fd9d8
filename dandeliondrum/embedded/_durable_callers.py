"""Callers that submit durable work and poll for its answers."""

import collections
import collections.abc
import concurrent.futures
import dataclasses
import time
import typing

from dandeliondrum import messages
from dandeliondrum import testing

POLL_THREADS_COUNT = 4
CANCEL_BATCH_SIZE = 40
# The status that a waiting caller gets when its task failed on its worker.
FAILED_STATUS = 500
POLL_INTERVAL_MS = 200
SUBMIT_ATTEMPTS_MAX = 5
SUBMIT_RETRY_PAUSE_MS = 500

_IN_DOUBT_END_STATES = (
    messages.TaskState.CANCELLED.value,
    messages.TaskState.IN_DOUBT.value,
)
_OUTCOME_KINDS = {kind.value: kind for kind in testing.OutcomeKind}


@dataclasses.dataclass(frozen=True)
class _PendingTask:
    """A task whose outcome is not known yet."""

    sending_id: str
    team_id: messages.TeamId
    request_id: str


@dataclasses.dataclass(frozen=True)
class _PollResult:
    """The reply to a poll for the answer of a task."""

    pending: _PendingTask
    reply: testing.HttpReply

    @property
    def json_body(self) -> dict[str, typing.Any]:
        """The body as a mapping; empty when it is not a JSON object."""
        try:
            body = self.reply.json()
        except ValueError:
            return {}
        return body if isinstance(body, dict) else {}

    @property
    def state(self) -> str:
        """The state of the task; empty when the reply holds its answer."""
        return str(self.json_body.get('state', ''))


class DurableCallers:
    """Submits jobs, gangs and services, and records their outcomes.

    Example::

        callers = DurableCallers(cell, keys, recorder)
        callers.submit('harbour', 'night', [{'request_id': 'n1'}])
        callers.cancel_queued()
        callers.collect(timeout_ms=10_000)
    """

    def __init__(
        self,
        cell: testing.CellCalls,
        keys: collections.abc.Mapping[messages.TeamId, str],
        recorder: testing.Recorder,
    ) -> None:
        self._cell = cell
        self._keys = keys
        self._recorder = recorder
        self._pending: list[_PendingTask] = []
        self._replicas: list[_PendingTask] = []

    def submit(
        self,
        team_id: messages.TeamId,
        queue: str,
        tasks: collections.abc.Sequence[dict[str, typing.Any]],
        gang: bool = False,
    ) -> None:
        """Submit a job; the ``body`` of each task is a mapping."""
        kind = testing.SendingKind.DURABLE
        if gang:
            kind = testing.SendingKind.GANG
        sent_tasks = [self._record_sent(team_id, task, kind) for task in tasks]
        reply = self._call_with_retries(
            lambda gateway: self._cell.submit_job(
                self._keys[team_id],
                [dict(task) for task in tasks],
                gateway,
                team_id,
                queue=queue,
                gang=gang,
            )
        )
        self._pending += self._record_reply(sent_tasks, reply)

    def submit_service(
        self,
        team_id: messages.TeamId,
        queue: str,
        request_id: str,
        replicas: int,
        **fields: typing.Any,
    ) -> None:
        """Submit a service with a number of replicas."""
        sent_tasks = [
            self._record_sent(
                team_id,
                {'request_id': f'{request_id}.{number}', 'idempotent': True},
                testing.SendingKind.SERVICE,
            )
            for number in range(replicas)
        ]
        service = {
            'team': team_id,
            'queue': queue,
            'request_id': request_id,
            'replicas': replicas,
            **fields,
        }
        reply = self._call_with_retries(
            lambda gateway: self._cell.ask(
                self._keys[team_id],
                'services',
                'POST',
                service,
                gateway,
                team_id,
            )
        )
        self._replicas += self._record_reply(sent_tasks, reply)

    def cancel_queued(self) -> int:
        """Cancel the queued tasks and return their number.

        Tasks are polled and cancelled in small batches, the last submitted
        first, so that few of them start between poll and cancellation.
        """
        pending, self._pending = self._pending[::-1], []
        cancelled_count = 0
        for offset in range(0, len(pending), CANCEL_BATCH_SIZE):
            queued = [
                polled.pending
                for polled in self._poll(
                    pending[offset : offset + CANCEL_BATCH_SIZE]
                )
                if polled.state == messages.TaskState.QUEUED.value
            ]
            self._cancel(queued)
            cancelled_count += len(queued)
        return cancelled_count

    def cancel_services(self) -> None:
        """Cancel all replicas of all services."""
        self._cancel(self._replicas)

    def collect(self, timeout_ms: int) -> None:
        """Poll until every task has ended, or the timeout has passed.

        Tasks in doubt are then recorded as such; tasks that are still only
        accepted count as lost.
        """
        end_s = time.monotonic() + timeout_ms / 1000
        polled = self._poll_pending()
        while self._pending and time.monotonic() < end_s:
            time.sleep(POLL_INTERVAL_MS / 1000)
            polled = self._poll_pending()
        for each in polled:
            if each.reply.outcome == testing.OutcomeKind.IN_DOUBT.value:
                self._record_outcome(each)

    def _record_sent(
        self,
        team_id: messages.TeamId,
        task: dict[str, typing.Any],
        kind: testing.SendingKind = testing.SendingKind.DURABLE,
    ) -> _PendingTask:
        sending_id = self._recorder.sent(
            team_id=team_id,
            request_id=task['request_id'],
            idempotent=task.get('idempotent', False),
            kind=kind,
            echo=task.get('body', {}).get('echo', ''),
            key_id=self._keys[team_id].partition('.')[0],
        )
        return _PendingTask(sending_id, team_id, task['request_id'])

    def _call_with_retries(
        self, call: collections.abc.Callable[[str], testing.HttpReply]
    ) -> testing.HttpReply:
        """Call the gateways in turn until the call is accepted or refused.

        Return the last reply, after at most ``SUBMIT_ATTEMPTS_MAX`` calls; it
        may be missing or in doubt.
        """
        reply = testing.HttpReply(0, b'', {})
        for number in range(SUBMIT_ATTEMPTS_MAX):
            gateways = self._cell.gateways
            reply = call(gateways[number % len(gateways)])
            if reply.outcome in ('accepted', 'refused_not_run'):
                break
            time.sleep(SUBMIT_RETRY_PAUSE_MS / 1000)
        return reply

    def _record_reply(
        self, sent_tasks: list[_PendingTask], reply: testing.HttpReply
    ) -> list[_PendingTask]:
        """Record the reply to a submission and return the pending tasks.

        Without a reply, or with one in doubt, the job may have been committed,
        so all its tasks are pending.
        """
        kind = _OUTCOME_KINDS.get(reply.outcome)
        if kind is None or kind is testing.OutcomeKind.IN_DOUBT:
            return sent_tasks
        refused = _refused_request_ids(reply)
        pending = []
        for each in sent_tasks:
            outcome = kind
            if each.request_id in refused:
                outcome = testing.OutcomeKind.REFUSED_NOT_RUN
            self._recorder.outcome(
                each.sending_id, outcome, status=reply.status
            )
            if outcome is testing.OutcomeKind.ACCEPTED:
                pending.append(each)
        return pending

    def _cancel(self, tasks: collections.abc.Iterable[_PendingTask]) -> None:
        by_team = collections.defaultdict(list)
        for pending in tasks:
            by_team[pending.team_id].append(pending.request_id)
        for team_id, request_ids in by_team.items():
            self._cell.ask(
                self._keys[team_id],
                'tasks/cancel',
                'POST',
                {'team': team_id, 'request_ids': request_ids},
                team=team_id,
            )

    def _poll_pending(self) -> list[_PollResult]:
        pending, self._pending = self._pending, []
        return self._poll(pending)

    def _poll(self, pending: list[_PendingTask]) -> list[_PollResult]:
        """Poll tasks; those that have not ended become pending again."""
        with concurrent.futures.ThreadPoolExecutor(
            POLL_THREADS_COUNT, 'asking'
        ) as executor:
            all_polled = list(executor.map(self._poll_task, pending))
        unfinished = []
        for polled in all_polled:
            if _has_ended(polled):
                self._record_outcome(polled)
            else:
                self._pending.append(polled.pending)
                unfinished.append(polled)
        return unfinished

    def _poll_task(self, pending: _PendingTask) -> _PollResult:
        path = f'tasks/{pending.request_id}/answer'
        reply = self._cell.ask(
            self._keys[pending.team_id], path, team=pending.team_id
        )
        return _PollResult(pending, reply)

    def _record_outcome(self, polled: _PollResult) -> None:
        self._recorder.outcome(
            polled.pending.sending_id,
            _OUTCOME_KINDS[polled.reply.outcome],
            status=_status_of(polled),
            echo=str(polled.json_body.get('echo', '')),
            task_id=messages.TaskId(str(polled.json_body.get('task_id', ''))),
        )


def _has_ended(polled: _PollResult) -> bool:
    match polled.reply.outcome:
        case 'answered' | 'refused_not_run':
            return True
        case 'in_doubt':
            return polled.state in _IN_DOUBT_END_STATES
    return False


def _status_of(polled: _PollResult) -> int:
    """Return the status of an answer; a failed task has only a state."""
    if polled.state == messages.TaskState.FAILED.value:
        return FAILED_STATUS
    return polled.reply.status


def _refused_request_ids(reply: testing.HttpReply) -> frozenset[str]:
    """Return the request ids that the reply to a job lists as refused."""
    return frozenset(
        status['request_id']
        for status in reply.json().get('tasks', ())
        if status['state'] == messages.TaskState.REFUSED.value
    )
