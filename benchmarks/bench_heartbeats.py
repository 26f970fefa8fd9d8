"""Throughput and cost of heartbeats through one gateway.

Processes of the benchmark post the heartbeats of simulated workers to one
gateway of a real cell. The cell has no record of the attempts that they
report as running, so each reply also lists these attempts to be stopped.
Example::

    python -m benchmarks.bench_heartbeats --out bench-out/heartbeats.json
"""

import concurrent.futures
import contextlib
import dataclasses
import json
import multiprocessing
import os
import pathlib
import platform
import tempfile
import time
import typing

from benchmarks import _role_usage

from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum.worker import _encoding

import fire
import pycurl

RUNNING_COUNTS = (0, 6)
SETTLE_S = 1.0

Figures = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class _PostOptions:
    """Parameters of one posting process.

    Each of its simulated workers has a thread and a connection.
    """

    address: str
    name: str
    workers_count: int
    running_count: int
    seconds: float


def run(
    out: str = 'bench-out/heartbeats.json',
    processes: int = 3,
    workers: int = 40,
    seconds: float = 6.0,
) -> None:
    """Measure, print and write one JSON file."""
    report: Figures = {
        'bench': 'heartbeats',
        'python': platform.python_version(),
        'started': time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime()),
        'workers_count': processes * workers,
        'runs': [
            _measure(processes, workers, running_count, seconds)
            for running_count in RUNNING_COUNTS
        ],
    }
    path = pathlib.Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(report, indent=1) + '\n')
    print(json.dumps(report['runs'], indent=1))


def _measure(
    processes_count: int,
    workers_count: int,
    running_count: int,
    seconds: float,
) -> Figures:
    with contextlib.ExitStack() as resources:
        folder = resources.enter_context(tempfile.TemporaryDirectory())
        cell = resources.enter_context(testing.Cell(folder))
        cell.add_controllers(3)
        cell.add_gateways(1)
        cell.wait_ready(0)
        executor = resources.enter_context(
            concurrent.futures.ProcessPoolExecutor(
                processes_count,
                mp_context=multiprocessing.get_context('spawn'),
            )
        )
        running = [
            executor.submit(
                _post_all,
                _PostOptions(
                    cell.addresses['g1/workers'],
                    f'p{number}',
                    workers_count,
                    running_count,
                    seconds,
                ),
            )
            for number in range(processes_count)
        ]
        cell.wait_ready(processes_count * workers_count)
        time.sleep(SETTLE_S)
        usage = _role_usage.RoleUsage(cell)
        started_s = time.monotonic()
        results = [one.result() for one in running]
        roles = usage.finish()
        elapsed_s = time.monotonic() - started_s
    heartbeats_per_s = sum(one[0] for one in results) / seconds
    return {
        'running_count': running_count,
        'heartbeats_per_s': heartbeats_per_s,
        'failed_count': sum(one[1] for one in results),
        # Usage is measured over a part of the run, of this length, in which
        # heartbeats come at the rate of the whole run.
        'usage_seconds': round(elapsed_s, 2),
        'load': round(os.getloadavg()[0], 1),
        'roles': roles,
    }


def _post_all(options: _PostOptions) -> tuple[int, int]:
    """Return the numbers of heartbeats that were answered and failed."""
    with concurrent.futures.ThreadPoolExecutor(
        options.workers_count
    ) as threads:
        results = list(
            threads.map(
                lambda number: _run_worker(options, number),
                range(options.workers_count),
            )
        )
    return sum(one[0] for one in results), sum(one[1] for one in results)


def _run_worker(options: _PostOptions, number: int) -> tuple[int, int]:
    worker_id = messages.WorkerId(f'{options.name}-{number}')
    incarnation = messages.Incarnation('0123456789abcdef')
    facts = messages.WorkerFacts(
        worker_id,
        incarnation,
        '127.0.0.1:1',
        messages.Region('gulf'),
        messages.FailureDomain('sattahip'),
        messages.Rack('r1'),
        messages.Resources(1, 1),
        1,
        1,
    )
    used = messages.Resources(900, 1_000)
    heartbeat = messages.WorkerHeartbeat(
        worker_id,
        incarnation,
        tuple(
            messages.RunningAttempt(
                messages.AttemptId(f'team-{number:03}/job-{number}-{one}#1'),
                used,
            )
            for one in range(options.running_count)
        ),
    )
    sent = _encoding.to_json(heartbeat)
    answered_count = failed_count = 0
    with contextlib.closing(pycurl.Curl()) as curl:
        while not _post_json(
            curl, options, 'announce', _encoding.to_json(facts)
        ):
            time.sleep(0.1)
        end_s = time.monotonic() + options.seconds
        while time.monotonic() < end_s:
            if _post_json(curl, options, 'heartbeat', sent):
                answered_count += 1
            else:
                failed_count += 1
    return answered_count, failed_count


def _post_json(
    curl: pycurl.Curl, options: _PostOptions, call: str, body: bytes
) -> bool:
    curl.setopt(pycurl.URL, f'http://{options.address}/v1/workers/{call}')
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.TIMEOUT_MS, 2_000)
    curl.setopt(
        pycurl.HTTPHEADER, ['Content-Type: application/json', 'Expect:']
    )
    curl.setopt(pycurl.POSTFIELDS, body)
    curl.setopt(pycurl.WRITEFUNCTION, lambda _chunk: None)
    try:
        curl.perform()
    except pycurl.error:
        return False
    return curl.getinfo(pycurl.RESPONSE_CODE) == 200


if __name__ == '__main__':
    fire.Fire(run)
