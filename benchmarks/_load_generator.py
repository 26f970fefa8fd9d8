"""Callers in several processes.

The interpreter lock of a single process would limit the load.
"""

import base64
import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import json
import multiprocessing
import random
import time

from dandeliondrum import testing
from dandeliondrum import worker

import pycurl

RESEND_PAUSE_MS = 50
RESENDS_COUNT_MAX = 200
CALL_TIMEOUT_MS = 30_000
JOB_TIMEOUT_MS = 60_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadOptions:
    """Parameters of the callers of one process.

    Each of ``callers_count`` threads sends tasks for ``seconds`` and pauses
    ``pause_ms`` after each one. ``run_ms`` is how long a task runs on its
    worker, ``urgent_portion`` the share of urgent tasks; the others are of
    class batch.
    """

    addresses: tuple[str, ...]
    key: str
    team: str
    name: str
    seed: int
    callers_count: int = 16
    seconds: float = 10.0
    run_ms: int = 20
    urgent_portion: float = 0.2
    pause_ms: int = 0


@dataclasses.dataclass(frozen=True)
class CallResult:
    """The outcome of one task, as its caller saw it.

    Times are those of ``worker.now_ms``, as in the journals of the workers.
    """

    request_id: str
    task_class: str
    sent_ms: float
    ended_ms: float
    outcome: str
    sendings_count: int


class _Client:
    """Keeps one open connection of a caller to each gateway."""

    def __init__(self) -> None:
        self._handles: dict[str, pycurl.Curl] = {}

    def close(self) -> None:
        """Close all connections."""
        for handle in self._handles.values():
            handle.close()

    def post(
        self, address: str, path: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, str]:
        """Return status and outcome; the status is 0 if there is no reply."""
        handle = self._handles.setdefault(address, pycurl.Curl())
        outcomes: list[str] = []

        def on_header(line: bytes) -> None:
            name, _, value = line.decode('latin-1').partition(':')
            if name.lower() == 'dandeliondrum-outcome':
                outcomes.append(value.strip())

        lines = [f'{name}: {value}' for name, value in headers.items()]
        handle.setopt(pycurl.URL, f'http://{address}{path}')
        handle.setopt(pycurl.PROXY, '')
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.TIMEOUT_MS, CALL_TIMEOUT_MS)
        handle.setopt(pycurl.HTTPHEADER, [*lines, 'Expect:'])
        handle.setopt(pycurl.POSTFIELDS, body)
        handle.setopt(pycurl.HEADERFUNCTION, on_header)
        handle.setopt(pycurl.WRITEFUNCTION, lambda _chunk: None)
        try:
            handle.perform()
        except pycurl.error:
            return 0, ''
        status = handle.getinfo(pycurl.RESPONSE_CODE)
        return status, outcomes[0] if outcomes else ''


def run_callers(load: LoadOptions) -> list[CallResult]:
    """Run the callers of this process for ``load.seconds``."""
    end_s = time.monotonic() + load.seconds
    with concurrent.futures.ThreadPoolExecutor(load.callers_count) as threads:
        running = [
            threads.submit(_run_caller, load, number, end_s)
            for number in range(load.callers_count)
        ]
        return [one for done in running for one in done.result()]


def _run_caller(
    load: LoadOptions, number: int, end_s: float
) -> list[CallResult]:
    rng = random.Random(f'{load.seed}/{load.name}/{number}')
    results = []
    serial = 0
    with contextlib.closing(_Client()) as client:
        while time.monotonic() < end_s:
            serial += 1
            request_id = f'{load.name}-{number}-{serial}'
            results.append(_run_task(load, client, rng, request_id))
            time.sleep(load.pause_ms / 1000)
    return results


def _run_task(
    load: LoadOptions, client: _Client, rng: random.Random, request_id: str
) -> CallResult:
    is_urgent = rng.random() < load.urgent_portion
    task_class = 'urgent' if is_urgent else 'batch'
    headers = testing.task_headers(
        load.key,
        team=load.team,
        request_id=request_id,
        idempotent='true',
        timeout_ms=CALL_TIMEOUT_MS,
        cpu_millicores=100,
        memory_mb=16,
        **{'class': task_class},
    )
    body = json.dumps({'run_ms': load.run_ms, 'echo': request_id}).encode()
    first = rng.randrange(len(load.addresses))
    sent_ms = worker.now_ms()
    outcome = ''
    sendings_count = 0
    while sendings_count < RESENDS_COUNT_MAX:
        address_index = (first + sendings_count) % len(load.addresses)
        _, outcome = client.post(
            load.addresses[address_index], '/v1/tasks', body, headers
        )
        sendings_count += 1
        if outcome in ('answered', 'refused_not_run'):
            break
        time.sleep(RESEND_PAUSE_MS / 1000)
    return CallResult(
        request_id,
        task_class,
        sent_ms,
        worker.now_ms(),
        outcome,
        sendings_count,
    )


def submit_jobs(
    load: LoadOptions, jobs_count: int, tasks_count: int
) -> list[int]:
    """Submit jobs one after the other and return the HTTP status of each."""
    body = json.dumps({'run_ms': load.run_ms}).encode()
    statuses = []
    with contextlib.closing(_Client()) as client:
        for job in range(jobs_count):
            tasks = [
                {
                    'request_id': f'{load.name}-{job}-{number}',
                    'idempotent': True,
                    'cpu_millicores': 100,
                    'memory_mb': 16,
                    'timeout_ms': 600_000,
                    'body_base64': base64.b64encode(body).decode(),
                }
                for number in range(tasks_count)
            ]
            sent = json.dumps(
                {'team': load.team, 'queue': 'lens', 'tasks': tasks}
            ).encode()
            headers = {
                'Authorization': f'Bearer {load.key}',
                'Content-Type': 'application/json',
            }
            address = load.addresses[job % len(load.addresses)]
            status, _ = client.post(address, '/v1/jobs', sent, headers)
            statuses.append(status)
    return statuses


class LoadProcesses:
    """A pool of load-generating processes.

    All of them are started on entering the context, so that their start is
    not part of a measurement.
    """

    def __init__(self, count: int) -> None:
        self._count = count
        self._executor = concurrent.futures.ProcessPoolExecutor(
            count, mp_context=multiprocessing.get_context('spawn')
        )

    def __enter__(self) -> 'LoadProcesses':
        warm_ups = [
            self._executor.submit(time.sleep, 0.2) for _ in range(self._count)
        ]
        concurrent.futures.wait(warm_ups)
        return self

    def __exit__(self, *_: object) -> None:
        self._executor.shutdown()

    def start_callers(
        self, load: LoadOptions
    ) -> collections.abc.Callable[[], list[CallResult]]:
        """Start callers; the returned function waits for their results."""
        running = [
            self._executor.submit(
                run_callers,
                dataclasses.replace(load, name=f'{load.name}-{number}'),
            )
            for number in range(self._count)
        ]
        return lambda: [call for one in running for call in one.result()]

    def start_jobs(
        self, load: LoadOptions, jobs_count: int, tasks_count: int
    ) -> collections.abc.Callable[[], list[int]]:
        """Start submitting jobs; the returned function waits for statuses."""
        running = [
            self._executor.submit(
                submit_jobs,
                dataclasses.replace(load, name=f'{load.name}-{number}'),
                jobs_count,
                tasks_count,
            )
            for number in range(self._count)
        ]
        return lambda: [status for one in running for status in one.result()]
