"""Figures of a cell: start rates, waiting times, gaps, cost on a worker."""

import os
import time
import typing

from benchmarks import _load_generator

from dandeliondrum import testing
from dandeliondrum import worker

import psutil

TEAM = 'harbour'
WORKER_FIELDS = {
    'slots_count': 64,
    'connections_count': 256,
    'cpu_millicores': 64_000,
    'memory_mb': 65_536,
}
STARTS_TIMEOUT_S = 120
SETTLE_S = 2.0
NODE_SECONDS = 10.0

Figures = dict[str, typing.Any]


def longest_gap_ms(
    answers_ms: list[float], from_ms: float, window_ms: float
) -> float:
    """Return the longest time without an answer in a window.

    The window starts at ``from_ms``; ``answers_ms`` has to be sorted.
    """
    to_ms = from_ms + window_ms
    inside = [one for one in answers_ms if from_ms <= one <= to_ms]
    edges = [from_ms, *inside, to_ms]
    return max(after - before for before, after in zip(edges, edges[1:]))


def wait_for_starts(cell: testing.Cell, wanted_count: int) -> list[float]:
    """Wait for starts; return the sorted times of first starts.

    The times are from the journals of the workers. After STARTS_TIMEOUT_S,
    fewer than ``wanted_count`` may be returned.
    """
    end_s = time.monotonic() + STARTS_TIMEOUT_S
    while time.monotonic() < end_s:
        if _started_lines_count(cell) >= wanted_count:
            break
        time.sleep(0.5)
    return sorted(first_starts(cell).values())


def _started_lines_count(cell: testing.Cell) -> int:
    count = 0
    for name in cell.workers:
        path = cell.folder / f'{name}.journal'
        if path.exists():
            count += path.read_bytes().count(b'"kind":"start"')
    return count


def first_starts(cell: testing.Cell) -> dict[str, float]:
    """Return when each task first started, by task id."""
    starts_ms: dict[str, float] = {}
    for event in cell.journals():
        if event.kind is worker.EventKind.START:
            earlier_ms = starts_ms.get(event.task_id, event.at_ms)
            starts_ms[event.task_id] = min(earlier_ms, event.at_ms)
    return starts_ms


def steady_rate(times_ms: list[float]) -> float:
    """Return the events per second without the first and last tenth.

    ``times_ms`` has to be sorted; returns 0 for fewer than 20 events.
    """
    if len(times_ms) < 20:
        return 0.0
    tenth = len(times_ms) // 10
    inside = times_ms[tenth:-tenth]
    return (len(inside) - 1) / (inside[-1] - inside[0]) * 1_000


def wait_quantiles(
    calls: list[_load_generator.CallResult], first_starts_ms: dict[str, float]
) -> dict[str, float]:
    """Return quantiles of the times to the start and to the answer, in ms."""
    to_start = sorted(
        first_starts_ms[f'{TEAM}/{one.request_id}'] - one.sent_ms
        for one in calls
        if f'{TEAM}/{one.request_id}' in first_starts_ms
    )
    to_answer = sorted(one.ended_ms - one.sent_ms for one in calls)
    return {
        'count': len(calls),
        'start_p50_ms': _quantile(to_start, 0.5),
        'start_p99_ms': _quantile(to_start, 0.99),
        'answer_p50_ms': _quantile(to_answer, 0.5),
        'answer_p99_ms': _quantile(to_answer, 0.99),
    }


def _quantile(ordered: list[float], portion: float) -> float:
    if not ordered:
        return 0.0
    index = min(len(ordered) - 1, int(len(ordered) * portion))
    return round(ordered[index], 2)


def node_figures(
    cell: testing.Cell, load: _load_generator.LoadOptions, hanging_count: int
) -> Figures:
    """Measure processor time, memory and traffic of one worker.

    The worker runs ``hanging_count`` tasks and reaches the gateway through a
    proxy, which counts the bytes.
    """
    gateway = cell.addresses['g1/workers']
    with testing.Proxy(gateway, seed=1) as proxy:
        cell.add_worker('w1', gateways=[proxy.address], **WORKER_FIELDS)
        cell.wait_ready()
        tasks = [
            {'request_id': f'hang-{number}', 'body': {'hang': True}}
            for number in range(hanging_count)
        ]
        if tasks:
            cell.submit_job(load.key, tasks)
            testing.wait_until(
                lambda: _started_lines_count(cell) >= hanging_count
            )
        time.sleep(SETTLE_S)
        process = psutil.Process(cell.processes.id_of('w1'))
        before = process.cpu_times()
        before_bytes = (proxy.forward_bytes, proxy.backward_bytes)
        time.sleep(NODE_SECONDS)
        after = process.cpu_times()
        cpu_s = after.user + after.system - before.user - before.system
        sent_bytes = proxy.forward_bytes - before_bytes[0]
        received_bytes = proxy.backward_bytes - before_bytes[1]
        return {
            'running_count': hanging_count,
            'heartbeat_ms': 500,
            'cpu_portion': round(cpu_s / NODE_SECONDS, 4),
            'rss_mb': round(process.memory_info().rss / 1e6, 1),
            'sent_bytes_per_s': round(sent_bytes / NODE_SECONDS),
            'received_bytes_per_s': round(received_bytes / NODE_SECONDS),
            'load': round(os.getloadavg()[0], 1),
        }
