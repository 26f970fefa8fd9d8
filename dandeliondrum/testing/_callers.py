"""A load generator that records what its callers send and receive."""

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
# How long a caller keeps resending one request before it gives up.
RESEND_TIMEOUT_MS = 40_000

_OUTCOME_KINDS = {
    'answered': _history.OutcomeKind.ANSWERED,
    'refused_not_run': _history.OutcomeKind.REFUSED_NOT_RUN,
    'in_doubt': _history.OutcomeKind.IN_DOUBT,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workload:
    """The load to generate; random choices are drawn from ``seed``.

    ``keys`` maps each team to the text of its API key. ``run_ms`` and
    ``cpu_millicores`` are inclusive ranges. ``pause_ms`` is the pause of a
    caller between two requests.
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
    """Threads that send waiting calls until the context ends.

    A caller that gets no reply or an "in doubt" outcome resends the request
    with the same id through a randomly chosen gateway, as the client library
    does.

    Example::

        with testing.Callers(cell, workload, recorder):
            cell.processes.kill(cell.leader())
            time.sleep(2)
        assert not testing.check(recorder.history(cell.journals()))
    """

    def __init__(
        self,
        cell: _cell_calls.CellCalls,
        workload: Workload,
        recorder: _recorder.Recorder,
    ) -> None:
        self._cell = cell
        self._workload = workload
        self._recorder = recorder
        self._stopping = threading.Event()
        self._resources = contextlib.ExitStack()
        self._lock = threading.Lock()
        self.waits_ms: list[tuple[float, float]] = []

    def __enter__(self) -> 'Callers':
        executor = concurrent.futures.ThreadPoolExecutor(
            self._workload.callers_count, 'caller'
        )
        self._resources.callback(executor.shutdown)
        self._resources.callback(self._stopping.set)
        for number in range(self._workload.callers_count):
            executor.submit(self._run, number)
        return self

    def __exit__(self, *_: object) -> None:
        self._resources.close()

    def answered_count(self) -> int:
        """Return the number of answers received so far."""
        with self._lock:
            return len(self.waits_ms)

    def longest_gap_ms(self, from_s: float) -> float:
        """Return the longest time without an answer, in milliseconds.

        ``from_s`` is a reading of the monotonic clock; earlier answers are
        ignored.
        """
        with self._lock:
            times_s = [at_s for at_s, _ in self.waits_ms if at_s >= from_s]
        boundaries_s = [from_s, *times_s]
        gaps_s = [
            after - before
            for before, after in zip(boundaries_s, boundaries_s[1:])
        ]
        return max(gaps_s, default=0.0) * 1000

    def _run(self, number: int) -> None:
        rng = random.Random(f'{self._workload.seed}/{number}')
        sequence_number = 0
        while not self._stopping.is_set():
            sequence_number += 1
            self._run_one_request(rng, f'{number}-{sequence_number}')
            self._stopping.wait(self._workload.pause_ms / 1000)

    def _run_one_request(self, rng: random.Random, request_id: str) -> None:
        request = self._random_request(rng, request_id)
        sending_id = self._recorder.sent(
            team_id=messages.TeamId(request.team),
            request_id=request_id,
            idempotent=request.idempotent,
            echo=request_id,
            key_id=self._workload.keys[request.team].partition('.')[0],
        )
        start_s = time.monotonic()
        reply = self._send_until_final(rng, request)
        kind = _OUTCOME_KINDS.get(reply.outcome) if reply is not None else None
        if reply is None or kind is None:
            return
        echo, task_id = '', ''
        if kind is _history.OutcomeKind.ANSWERED and reply.status == 200:
            answer = reply.json()
            echo, task_id = answer['echo'], answer['task_id']
            answered_s = time.monotonic()
            with self._lock:
                self.waits_ms.append(
                    (answered_s, (answered_s - start_s) * 1000)
                )
        self._recorder.outcome(
            sending_id,
            kind,
            status=reply.status,
            echo=echo,
            task_id=messages.TaskId(task_id),
        )

    def _random_request(self, rng: random.Random, request_id: str) -> _Request:
        workload = self._workload
        team = rng.choice(sorted(workload.keys))
        idempotent = rng.random() < workload.idempotent_portion
        urgent = rng.random() < workload.urgent_portion
        body: dict[str, object] = {
            'run_ms': rng.randint(*workload.run_ms),
            'echo': request_id,
        }
        headers = _cell_calls.task_headers(
            workload.keys[team],
            team=team,
            request_id=request_id,
            idempotent='true' if idempotent else 'false',
            timeout_ms=workload.timeout_ms,
            cpu_millicores=rng.randint(*workload.cpu_millicores),
            queue=workload.urgent_queue if urgent else workload.batch_queue,
            **{'class': 'urgent' if urgent else 'batch'},
        )
        return _Request(request_id, team, idempotent, body, headers)

    def _send_until_final(
        self, rng: random.Random, request: _Request
    ) -> _http.HttpReply | None:
        """Resend a request until its outcome is final or time runs out.

        Stop earlier with an outcome in doubt once the callers are stopped.
        Return the last reply that named an outcome, or None.
        """
        end_s = time.monotonic() + RESEND_TIMEOUT_MS / 1000
        last_reply: _http.HttpReply | None = None
        while time.monotonic() < end_s:
            reply = self._send(rng, request)
            if reply.outcome in ('answered', 'refused_not_run'):
                return reply
            if reply.outcome:
                last_reply = reply
                if self._stopping.is_set():
                    return last_reply
            time.sleep(RESEND_PAUSE_MS / 1000)
        return last_reply

    def _send(self, rng: random.Random, request: _Request) -> _http.HttpReply:
        gateway = rng.choice(self._cell.gateways)
        address = self._cell.addresses[f'{gateway}/callers']
        return _http.call_json(
            f'http://{address}/v1/tasks',
            request.body,
            request.headers,
            self._workload.timeout_ms + 5_000,
        )
