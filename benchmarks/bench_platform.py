"""Load test of the platform's programs, with simulated workers.

Three controllers and two gateways run as processes; the workers and the
placement adviser are simulated in this process. Jobs are sent at a steady
rate, then at twice that rate. Example::

    python -m benchmarks.bench_platform --workers=24 --jobs_per_s=20
"""

import collections.abc
import concurrent.futures
import contextlib
import json
import pathlib
import platform
import random
import tempfile
import threading
import time
import typing

from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum.testing import _fake_job_workers
from dandeliondrum.testing import _platform_cell

import fire
import psutil

CAPACITY = messages.Resources(16_000, 32_000)
TASK_CPU = (500, 2_500)
TASKS_MAX = 4
SENDERS_COUNT = 32
BURST_FACTOR = 2
REPORT_EVERY_S = 1.5
SETTLE_TIMEOUT_S = 30
POLL_S = 0.2

Figures = dict[str, typing.Any]


class _Starts:
    """Records when the first task of each job started."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.first_s: dict[str, float] = {}
        self.count = 0

    def note(self, job_id: str) -> None:
        with self._lock:
            self.first_s.setdefault(job_id, time.monotonic())
            self.count += 1


class _Worker(_fake_job_workers.FakeWorker):
    def __init__(self, number: int, run_ms: int, starts: _Starts) -> None:
        self._starts = starts
        super().__init__(f'i-{number}', CAPACITY, run_ms)

    def _begin_run(self, order: jobs.StartOrder) -> None:
        self._starts.note(order.task.job_id)
        super()._begin_run(order)


class _JobSender:
    """Sends jobs at a given rate and records the replies."""

    def __init__(
        self, cell: _platform_cell.PlatformCell, seed: int, run_ms: int
    ) -> None:
        self._cell = cell
        self._rng = random.Random(seed)
        self._run_ms = run_ms
        self._sent_s: dict[str, float] = {}
        self._accept_ms: list[float] = []
        self._statuses: dict[int, int] = {}
        self._lock = threading.Lock()

    def run(self, jobs_per_s: float, seconds: float) -> Figures:
        """Send jobs for ``seconds``; return the figures of the calls."""
        self._accept_ms, self._statuses = [], {}
        begin_s = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(SENDERS_COUNT) as senders:
            for number in range(int(jobs_per_s * seconds)):
                due_s = begin_s + number / jobs_per_s
                time.sleep(max(0.0, due_s - time.monotonic()))
                senders.submit(self._send, *self._job())
        return {
            'jobs_per_s': jobs_per_s,
            'statuses': self._statuses,
            'accept_ms': _summary(self._accept_ms),
        }

    def sent_s(self) -> dict[str, float]:
        """Return when each job was sent."""
        return dict(self._sent_s)

    def _job(self) -> tuple[str, bytes]:
        rng = self._rng
        step = {
            'Count': rng.randint(1, TASKS_MAX),
            'Cpu': rng.randint(*TASK_CPU),
            'MemMb': 100,
            'EstimateMs': self._run_ms,
        }
        job_id = f'{rng.getrandbits(64):016x}'
        body = json.dumps({'Spec': 'text', 'Steps': [step]}).encode()
        return job_id, body

    def _send(self, job_id: str, body: bytes) -> None:
        number = int(job_id, 16) % len(self._cell.callers)
        sent_s = time.monotonic()
        reply = self._cell.ask('POST', f'/r1/{job_id}', body, number=number)
        elapsed_ms = (time.monotonic() - sent_s) * 1000
        with self._lock:
            self._sent_s[job_id] = sent_s
            count = self._statuses.get(reply.status, 0)
            self._statuses[reply.status] = count + 1
            if reply.status == 200:
                self._accept_ms.append(elapsed_ms)


class _Usage:
    """Measures processor time and memory of processes from its creation."""

    def __init__(self, processes: testing.Processes, names: list[str]) -> None:
        self._found = {
            name: psutil.Process(processes.id_of(name)) for name in names
        }
        self._before = {
            name: sum(one.cpu_times()[:2]) for name, one in self._found.items()
        }
        self._since_s = time.monotonic()

    def finish(self) -> Figures:
        seconds = time.monotonic() - self._since_s
        return {
            name: {
                'cores': round(
                    (sum(one.cpu_times()[:2]) - self._before[name]) / seconds,
                    3,
                ),
                'memory_mb': round(one.memory_info().rss / 1e6),
            }
            for name, one in self._found.items()
        }


def _summary(values: list[float]) -> Figures:
    if not values:
        return {'count': 0}
    ordered = sorted(values)
    last = len(ordered) - 1
    return {
        'count': len(ordered),
        'p50': round(ordered[last // 2], 1),
        'p99': round(ordered[int(last * 0.99)], 1),
        'longest': round(ordered[-1], 1),
    }


@contextlib.contextmanager
def _reporting_workers(
    cell: _platform_cell.PlatformCell,
) -> collections.abc.Iterator[None]:
    """Send reports of all workers periodically until the context ends."""
    stopping = threading.Event()

    def report() -> None:
        while not stopping.is_set():
            for position, worker in enumerate(cell.workers):
                cell.report(worker, position % len(cell.control))
            stopping.wait(REPORT_EVERY_S)

    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        executor.submit(report)
        try:
            yield
        finally:
            stopping.set()


@contextlib.contextmanager
def _open_cell(
    fleet: list[_Worker],
) -> collections.abc.Iterator[_platform_cell.PlatformCell]:
    """Start the programs and wait until they serve; stop them at the end."""
    with contextlib.ExitStack() as resources:
        folder = pathlib.Path(
            resources.enter_context(tempfile.TemporaryDirectory())
        )
        processes = resources.enter_context(testing.Processes(folder))
        cell = resources.enter_context(
            _platform_cell.PlatformCell(
                folder, processes, list(fleet), gateways_count=2
            )
        )
        resources.enter_context(_reporting_workers(cell))
        testing.wait_until(
            lambda: cell.put_document(_platform_cell.document()) == 200
        )
        testing.wait_until(lambda: cell.ready(0) and cell.ready(1))
        yield cell


def _first_starts_ms(starts: _Starts, sent_s: dict[str, float]) -> list[float]:
    """Wait until all jobs have started; return the time of each in ms.

    Jobs that have not started after SETTLE_TIMEOUT_S are left out.
    """
    end_s = time.monotonic() + SETTLE_TIMEOUT_S
    while time.monotonic() < end_s and len(starts.first_s) < len(sent_s):
        time.sleep(POLL_S)
    return [
        (starts.first_s[job_id] - at_s) * 1000
        for job_id, at_s in sent_s.items()
        if job_id in starts.first_s
    ]


def main(
    workers: int = 24,
    jobs_per_s: float = 20,
    seconds: float = 15,
    run_ms: int = 1_000,
    seed: int = 1,
    out: str = 'bench-out/platform.json',
) -> None:
    """Measure accepting and starting jobs at a rate and at twice that rate."""
    starts = _Starts()
    fleet = [_Worker(number, run_ms, starts) for number in range(workers)]
    with _open_cell(fleet) as cell:
        names = [*map(cell.controller, range(3)), 'g0', 'g1']
        usage = _Usage(cell.processes, names)
        sender = _JobSender(cell, seed, run_ms)
        phases = [
            sender.run(rate, seconds)
            for rate in (jobs_per_s, BURST_FACTOR * jobs_per_s)
        ]
        used = usage.finish()
        waits_ms = _first_starts_ms(starts, sender.sent_s())
    figures = {
        'machine': platform.platform(),
        'python': platform.python_version(),
        'workers': workers,
        'phases': phases,
        'starts': starts.count,
        'first_start_ms': _summary(waits_ms),
        'processes': used,
    }
    text = json.dumps(figures, indent=1)
    path = pathlib.Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text + '\n')
    print(text)


if __name__ == '__main__':
    fire.Fire(main)
