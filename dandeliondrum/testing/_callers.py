"""Callers that keep a cell busy and record what they saw."""

import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import random
import threading
import time

from dandeliondrum import messages
from dandeliondrum.testing import _cell_calls
from dandeliondrum.testing import _history
from dandeliondrum.testing import _http
from dandeliondrum.testing import _recorder

RESEND_PAUSE_MS = 200
# How long a caller goes on sending the same id again before it gives up.
PATIENCE_MS = 40_000

_KINDS = {
    'answered': _history.OutcomeKind.ANSWERED,
    'refused_not_run': _history.OutcomeKind.REFUSED_NOT_RUN,
    'in_doubt': _history.OutcomeKind.IN_DOUBT,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Work:
    """What callers submit; choices are drawn from the seed.

    ``keys`` maps teams to the text of their keys. ``pause_ms`` is what a
    caller waits between two requests.
    """

    keys: collections.abc.Mapping[str, str]
    callers_count: int = 8
    run_ms: tuple[int, int] = (1, 60)
    cpu_millicores: tuple[int, int] = (500, 4_000)
    idempotent_portion: float = 0.5
    urgent_portion: float = 0.2
    timeout_ms: int = 10_000
    pause_ms: int = 5
    urgent_queue: str = 'lens'
    batch_queue: str = 'lens'
    seed: int = 1


@dataclasses.dataclass(frozen=True)
class _Request:
    request_id: str
    team: str
    idempotent: bool
    body: dict[str, object]
    headers: dict[str, str]


class Callers:
    """Threads that send waiting calls until they are asked to stop.

    A caller that gets no reply, or sees "in doubt", sends the same id
    again through another gateway, as the client library does.

    Example::

        with testing.Callers(cell, work, recorder):
            cell.processes.kill(cell.leader())
            time.sleep(2)
        assert not testing.check(recorder.history(cell.journals()))
    """

    def __init__(
        self,
        cell: _cell_calls.CellCalls,
        work: Work,
        recorder: _recorder.Recorder,
    ) -> None:
        self._cell = cell
        self._work = work
        self._recorder = recorder
        self._stopping = threading.Event()
        self._resources = contextlib.ExitStack()
        self._lock = threading.Lock()
        self.waits_ms: list[tuple[float, float]] = []

    def __enter__(self) -> 'Callers':
        executor = concurrent.futures.ThreadPoolExecutor(
            self._work.callers_count, 'caller'
        )
        self._resources.callback(executor.shutdown)
        self._resources.callback(self._stopping.set)
        for number in range(self._work.callers_count):
            executor.submit(self._run, number)
        return self

    def __exit__(self, *_: object) -> None:
        self._resources.close()

    def answered_count(self) -> int:
        """Return how many answers have come so far."""
        with self._lock:
            return len(self.waits_ms)

    def longest_gap_ms(self, from_s: float) -> float:
        """Return the longest time without any answer since then."""
        with self._lock:
            times_s = [at_s for at_s, _ in self.waits_ms if at_s >= from_s]
        edges = [from_s, *times_s]
        gaps = [after - before for before, after in zip(edges, edges[1:])]
        return max(gaps, default=0.0) * 1000

    def _run(self, number: int) -> None:
        chance = random.Random(f'{self._work.seed}/{number}')
        serial = 0
        while not self._stopping.is_set():
            serial += 1
            self._one(chance, f'{number}-{serial}')
            self._stopping.wait(self._work.pause_ms / 1000)

    def _one(self, chance: random.Random, request_id: str) -> None:
        request = self._draw(chance, request_id)
        sending_id = self._recorder.sent(
            team_id=messages.TeamId(request.team),
            request_id=request_id,
            idempotent=request.idempotent,
            echo=request_id,
            key_id=self._work.keys[request.team].partition('.')[0],
        )
        began_s = time.monotonic()
        reply = self._send_until_told(chance, request)
        kind = _KINDS.get(reply.outcome) if reply is not None else None
        if reply is None or kind is None:
            return
        echo, task_id = '', ''
        if kind is _history.OutcomeKind.ANSWERED and reply.status == 200:
            answer = reply.json()
            echo, task_id = answer['echo'], answer['task_id']
            ended_s = time.monotonic()
            with self._lock:
                self.waits_ms.append((ended_s, (ended_s - began_s) * 1000))
        self._recorder.outcome(
            sending_id,
            kind,
            status=reply.status,
            echo=echo,
            task_id=messages.TaskId(task_id),
        )

    def _draw(self, chance: random.Random, request_id: str) -> _Request:
        work = self._work
        team = chance.choice(sorted(work.keys))
        idempotent = chance.random() < work.idempotent_portion
        urgent = chance.random() < work.urgent_portion
        body: dict[str, object] = {
            'run_ms': chance.randint(*work.run_ms),
            'echo': request_id,
        }
        headers = _cell_calls.task_headers(
            work.keys[team],
            team=team,
            request_id=request_id,
            idempotent='true' if idempotent else 'false',
            timeout_ms=work.timeout_ms,
            cpu_millicores=chance.randint(*work.cpu_millicores),
            queue=work.urgent_queue if urgent else work.batch_queue,
            **{'class': 'urgent' if urgent else 'batch'},
        )
        return _Request(request_id, team, idempotent, body, headers)

    def _send_until_told(
        self, chance: random.Random, request: _Request
    ) -> _http.HttpReply | None:
        """Send and send again; return the last reply."""
        end_s = time.monotonic() + PATIENCE_MS / 1000
        last: _http.HttpReply | None = None
        while time.monotonic() < end_s:
            reply = self._send(chance, request)
            if reply.outcome in ('answered', 'refused_not_run'):
                return reply
            if reply.outcome:
                last = reply
                if self._stopping.is_set():
                    return last
            time.sleep(RESEND_PAUSE_MS / 1000)
        return last

    def _send(
        self, chance: random.Random, request: _Request
    ) -> _http.HttpReply:
        gateway = chance.choice(self._cell.gateways)
        address = self._cell.addresses[f'{gateway}/callers']
        return _http.call_json(
            f'http://{address}/v1/tasks',
            request.body,
            request.headers,
            self._work.timeout_ms + 5_000,
        )
