"""Callers that submit durable work and ask for its answers later."""

import collections
import collections.abc
import concurrent.futures
import dataclasses
import time
import typing

from dandeliondrum import messages
from dandeliondrum import testing

ASKING_THREADS_COUNT = 4
CANCEL_CHUNK = 40
# What a waiting caller sees when its task failed on its worker.
FAILED_STATUS = 500
ASK_PAUSE_MS = 200
SUBMIT_TRIES = 5
SUBMIT_PAUSE_MS = 500

_DOUBTFUL_ENDS = (
    messages.TaskState.CANCELLED.value,
    messages.TaskState.IN_DOUBT.value,
)
_KINDS = {kind.value: kind for kind in testing.OutcomeKind}


@dataclasses.dataclass(frozen=True)
class _Owed:
    """A task whose caller waits for the end of it."""

    sending_id: str
    team_id: messages.TeamId
    request_id: str


@dataclasses.dataclass(frozen=True)
class _Seen:
    """What a caller saw when it asked for an answer."""

    owed: _Owed
    reply: testing.HttpReply

    @property
    def plain(self) -> dict[str, typing.Any]:
        """The body, when it is a JSON object."""
        try:
            found = self.reply.json()
        except ValueError:
            return {}
        return found if isinstance(found, dict) else {}

    @property
    def state(self) -> str:
        """The state of the task, when no answer came."""
        return str(self.plain.get('state', ''))


class DurableCallers:
    """Submits jobs, gangs and services, and collects what becomes of them.

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
        self._owed: list[_Owed] = []
        self._replicas: list[_Owed] = []

    def submit(
        self,
        team_id: messages.TeamId,
        queue: str,
        tasks: collections.abc.Sequence[dict[str, typing.Any]],
        gang: bool = False,
    ) -> None:
        """Submit a job; each task has ``body`` as a mapping."""
        kind = testing.SendingKind.DURABLE
        if gang:
            kind = testing.SendingKind.GANG
        handed = [self._sent(team_id, task, kind) for task in tasks]
        reply = self._until_replied(
            lambda gateway: self._cell.submit_job(
                self._keys[team_id],
                [dict(task) for task in tasks],
                gateway,
                team_id,
                queue=queue,
                gang=gang,
            )
        )
        self._owed += self._accepted(handed, reply)

    def submit_service(
        self,
        team_id: messages.TeamId,
        queue: str,
        request_id: str,
        replicas: int,
        **fields: typing.Any,
    ) -> None:
        """Submit a service."""
        handed = [
            self._sent(
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
        reply = self._until_replied(
            lambda gateway: self._cell.ask(
                self._keys[team_id],
                'services',
                'POST',
                service,
                gateway,
                team_id,
            )
        )
        self._replicas += self._accepted(handed, reply)

    def cancel_queued(self) -> int:
        """Cancel what has not begun; returns how many tasks that were.

        The last in line come first, a few at a time, so that few begin
        between the question and the cancellation.
        """
        owed, self._owed = self._owed[::-1], []
        cancelled_count = 0
        for offset in range(0, len(owed), CANCEL_CHUNK):
            queued = [
                seen.owed
                for seen in self._ask_for(owed[offset : offset + CANCEL_CHUNK])
                if seen.state == messages.TaskState.QUEUED.value
            ]
            self._cancel(queued)
            cancelled_count += len(queued)
        return cancelled_count

    def cancel_services(self) -> None:
        """Cancel all replicas of all services."""
        self._cancel(self._replicas)

    def collect(self, timeout_ms: int) -> None:
        """Ask until the end of every task was reported, or time is over.

        What is in doubt then stays so; what is still accepted is lost.
        """
        end_s = time.monotonic() + timeout_ms / 1000
        seen = self._ask_again()
        while self._owed and time.monotonic() < end_s:
            time.sleep(ASK_PAUSE_MS / 1000)
            seen = self._ask_again()
        for each in seen:
            if each.reply.outcome == testing.OutcomeKind.IN_DOUBT.value:
                self._report(each)

    def _sent(
        self,
        team_id: messages.TeamId,
        task: dict[str, typing.Any],
        kind: testing.SendingKind = testing.SendingKind.DURABLE,
    ) -> _Owed:
        sending_id = self._recorder.sent(
            team_id=team_id,
            request_id=task['request_id'],
            idempotent=task.get('idempotent', False),
            kind=kind,
            echo=task.get('body', {}).get('echo', ''),
            key_id=self._keys[team_id].partition('.')[0],
        )
        return _Owed(sending_id, team_id, task['request_id'])

    def _until_replied(
        self, call: collections.abc.Callable[[str], testing.HttpReply]
    ) -> testing.HttpReply:
        """Make a call through one gateway after the other."""
        reply = testing.HttpReply(0, b'', {})
        for number in range(SUBMIT_TRIES):
            gateways = self._cell.gateways
            reply = call(gateways[number % len(gateways)])
            if reply.outcome in ('accepted', 'refused_not_run'):
                break
            time.sleep(SUBMIT_PAUSE_MS / 1000)
        return reply

    def _accepted(
        self, handed: list[_Owed], reply: testing.HttpReply
    ) -> list[_Owed]:
        """Record what the caller saw; return what it is owed.

        Without a reply the job may be in the log: its tasks are asked for.
        """
        kind = _KINDS.get(reply.outcome)
        if kind is None or kind is testing.OutcomeKind.IN_DOUBT:
            return handed
        refused = _refused_ids(reply)
        owed = []
        for each in handed:
            outcome = kind
            if each.request_id in refused:
                outcome = testing.OutcomeKind.REFUSED_NOT_RUN
            self._recorder.outcome(
                each.sending_id, outcome, status=reply.status
            )
            if outcome is testing.OutcomeKind.ACCEPTED:
                owed.append(each)
        return owed

    def _cancel(self, tasks: collections.abc.Iterable[_Owed]) -> None:
        by_team = collections.defaultdict(list)
        for owed in tasks:
            by_team[owed.team_id].append(owed.request_id)
        for team_id, request_ids in by_team.items():
            self._cell.ask(
                self._keys[team_id],
                'tasks/cancel',
                'POST',
                {'team': team_id, 'request_ids': request_ids},
                team=team_id,
            )

    def _ask_again(self) -> list[_Seen]:
        owed, self._owed = self._owed, []
        return self._ask_for(owed)

    def _ask_for(self, owed: list[_Owed]) -> list[_Seen]:
        """Ask for tasks; those that have not ended go on being owed."""
        with concurrent.futures.ThreadPoolExecutor(
            ASKING_THREADS_COUNT, 'asking'
        ) as executor:
            all_seen = list(executor.map(self._ask, owed))
        going_on = []
        for seen in all_seen:
            if _has_ended(seen):
                self._report(seen)
            else:
                self._owed.append(seen.owed)
                going_on.append(seen)
        return going_on

    def _ask(self, owed: _Owed) -> _Seen:
        path = f'tasks/{owed.request_id}/answer'
        reply = self._cell.ask(
            self._keys[owed.team_id], path, team=owed.team_id
        )
        return _Seen(owed, reply)

    def _report(self, seen: _Seen) -> None:
        self._recorder.outcome(
            seen.owed.sending_id,
            _KINDS[seen.reply.outcome],
            status=_status_of(seen),
            echo=str(seen.plain.get('echo', '')),
            task_id=messages.TaskId(str(seen.plain.get('task_id', ''))),
        )


def _has_ended(seen: _Seen) -> bool:
    match seen.reply.outcome:
        case 'answered' | 'refused_not_run':
            return True
        case 'in_doubt':
            return seen.state in _DOUBTFUL_ENDS
    return False


def _status_of(seen: _Seen) -> int:
    """Return the code of an answer; a failed task has none but its state."""
    if seen.state == messages.TaskState.FAILED.value:
        return FAILED_STATUS
    return seen.reply.status


def _refused_ids(reply: testing.HttpReply) -> frozenset[str]:
    """Return the tasks that a reply to a job names as refused."""
    return frozenset(
        status['request_id']
        for status in reply.json().get('tasks', ())
        if status['state'] == messages.TaskState.REFUSED.value
    )
