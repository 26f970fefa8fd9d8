"""Cost of the replicated state and of the leader's work, by cluster size.

Each size is measured in a new process, so that memory figures are not mixed.
Example::

    python -m benchmarks.bench_state --out bench-out/state.json
"""

import collections.abc
import concurrent.futures
import gc
import json
import multiprocessing
import os
import pathlib
import platform
import statistics
import time
import typing
import zlib

from benchmarks import _leader_timing
from benchmarks import _state_builder

from dandeliondrum import messages
from dandeliondrum import rules

import fire
import psutil

TEAMS_COUNT = 370
RULES_TEAMS_COUNTS = (6, 100, 370)
# Workers, running tasks, and ended tasks that are still on record.
SIZES = (
    (24, 136, 0),
    (240, 1_364, 0),
    (2_400, 13_642, 0),
    (9_500, 1_000, 0),
    (9_500, 10_000, 0),
    (9_500, 54_000, 0),
    (9_500, 54_000, 50_000),
    (9_500, 54_000, 200_000),
)
SHORT_SIZES = ((24, 136, 0), (240, 1_364, 0), (2_400, 13_642, 0))
COMMANDS_COUNT = 40
COMMAND_TASKS_COUNT = 64
BATCH_SIZES = (1, 16, 64, 256)
READER_PAUSE_S = 0.001

Figures = dict[str, typing.Any]


def run(
    out: str = 'bench-out/state.json', seed: int = 1, short: bool = False
) -> None:
    """Measure all sizes, print a table and write one JSON file."""
    report: Figures = {
        'bench': 'state',
        'seed': seed,
        'python': platform.python_version(),
        'started': time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime()),
        'load_before': os.getloadavg()[0],
        'sizes': [],
    }
    for size in SHORT_SIZES if short else SIZES:
        figures = _run_in_new_process(measure_size, *size, seed)
        report['sizes'].append(figures)
        _print(figures)
    report['rules'] = _run_in_new_process(measure_rules)
    report['bytes'] = _run_in_new_process(measure_bytes, seed)
    _print({'rules': report['rules'], 'bytes': report['bytes']})
    report['load_after'] = os.getloadavg()[0]
    path = pathlib.Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(report, indent=1) + '\n')


def _run_in_new_process(
    task: collections.abc.Callable[..., Figures], *arguments: int
) -> Figures:
    context = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(
        1, mp_context=context
    ) as executor:
        return executor.submit(task, *arguments).result()


def _print(figures: Figures) -> None:
    for name, value in figures.items():
        text = f'{value:.4g}' if isinstance(value, float) else value
        print(f'{name:36}{text}', flush=True)
    print(flush=True)


def measure_size(
    workers_count: int, running_count: int, ended_count: int, seed: int
) -> Figures:
    """Fill a state; return its memory and the times of all operations."""
    process = psutil.Process()
    builder = _state_builder.StateBuilder(TEAMS_COUNT, seed)
    builder.set_rules(_state_builder.rules_text(TEAMS_COUNT))
    rss_bytes = [_rss_bytes(process)]
    builder.add_workers(workers_count)
    rss_bytes.append(_rss_bytes(process))
    builder.assign(running_count)
    rss_bytes.append(_rss_bytes(process))
    _add_ended(builder, ended_count)
    rss_bytes.append(_rss_bytes(process))
    figures: Figures = {
        'workers_count': workers_count,
        'running_count': running_count,
        'ended_count': ended_count,
        'load': round(os.getloadavg()[0], 1),
        'rss_workers_bytes': rss_bytes[1] - rss_bytes[0],
        'rss_running_bytes': rss_bytes[2] - rss_bytes[1],
        'rss_ended_bytes': rss_bytes[3] - rss_bytes[2],
        'rss_total_bytes': rss_bytes[3],
    }
    figures.update(_snapshots(builder))
    figures.update(_commands(builder))
    figures.update(_leader_timing.LeadershipTimer(builder).measure())
    figures['rss_with_office_bytes'] = _rss_bytes(process)
    return figures


def _rss_bytes(process: psutil.Process) -> int:
    gc.collect()
    return process.memory_info().rss


def _add_ended(builder: _state_builder.StateBuilder, count: int) -> None:
    while count > 0:
        batch_count = min(count, 4 * _state_builder.BATCH_COUNT)
        builder.assign(batch_count)
        builder.end(batch_count)
        count -= batch_count


def _snapshots(builder: _state_builder.StateBuilder) -> Figures:
    data = builder.state.snapshot()
    snapshot_us = _leader_timing.median_us(builder.state.snapshot, 3)
    restore_us = _leader_timing.median_us(
        lambda: builder.state.restore(data), 3
    )
    return {
        'snapshot_bytes': len(data),
        'snapshot_ms': snapshot_us / 1_000,
        'restore_ms': restore_us / 1_000,
        'snapshot_reader_wait_ms': _longest_wait_ms(builder),
    }


def _longest_wait_ms(builder: _state_builder.StateBuilder) -> float:
    """Return the longest delay of a reader while a snapshot is made.

    The reader waits for the lock of the state and for the interpreter lock.
    """
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        snapshot = executor.submit(builder.state.snapshot)
        longest_ns = 0
        while not snapshot.done():
            started_ns = time.perf_counter_ns()
            time.sleep(READER_PAUSE_S)
            with builder.state.lock:
                elapsed_ns = time.perf_counter_ns() - started_ns
            longest_ns = max(longest_ns, elapsed_ns)
    return longest_ns / 1_000_000


def _commands(builder: _state_builder.StateBuilder) -> Figures:
    """Return the median time per task or worker of each command."""
    times: dict[str, list[float]] = {}

    def timed(name: str, command: bytes, count: int) -> typing.Any:
        started_ns = time.perf_counter_ns()
        outcome = builder.apply_bytes(command)
        elapsed_ns = time.perf_counter_ns() - started_ns
        times.setdefault(name, []).append(elapsed_ns / count / 1_000)
        return outcome

    count = COMMAND_TASKS_COUNT
    for _ in range(COMMANDS_COUNT):
        assignments = builder.assignments(count)
        command = builder.encoded(messages.AssignTasks, assignments)
        decode_us = _leader_timing.median_us(
            lambda data=command: messages.decode(data), 1
        )
        times.setdefault('assign_decode_us', []).append(decode_us / count)
        builder.record_running(timed('assign_us', command, count))
        reports = builder.reports(count)
        command = builder.encoded(messages.EndAttempts, reports)
        timed('end_us', command, count)
        refusals = tuple(_refusal(builder) for _ in range(count))
        command = builder.encoded(messages.RefuseTasks, refusals)
        timed('refuse_us', command, count)
        facts = builder.facts(0)
        command = builder.encoded(messages.RegisterWorker, facts)
        timed('register_us', command, 1)
    for _ in range(3):
        # No task is old enough to be removed, so only the search is timed.
        command = builder.encoded(messages.ForgetTasks, -1)
        timed('forget_nothing_us', command, 1)
    return {name: statistics.median(values) for name, values in times.items()}


def _refusal(builder: _state_builder.StateBuilder) -> messages.Refusal:
    spec = builder.spec()
    return messages.Refusal(
        spec.task_id,
        spec.team_id,
        spec.body_digest,
        messages.RefusalReason.DEADLINE_PASSED,
        'no worker before the deadline',
    )


def measure_rules() -> Figures:
    """Return parse and apply times of rules by the number of teams."""
    figures: Figures = {}
    for teams_count in RULES_TEAMS_COUNTS:
        text = _state_builder.rules_text(teams_count)
        builder = _state_builder.StateBuilder(teams_count, 1)
        apply_us = _leader_timing.median_us(lambda: builder.set_rules(text))
        figures[str(teams_count)] = {
            'text_bytes': len(text),
            'text_zlib_bytes': len(zlib.compress(text.encode(), 1)),
            'parse_ms': _leader_timing.median_us(lambda: rules.parse(text))
            / 1_000,
            'apply_ms': apply_us / 1_000,
        }
    return figures


def measure_bytes(seed: int) -> Figures:
    """Return the bytes that a task adds to the log, by command and batch."""
    figures: Figures = {}
    for size in BATCH_SIZES:
        builder = _state_builder.StateBuilder(TEAMS_COUNT, seed)
        builder.set_rules(_state_builder.rules_text(TEAMS_COUNT))
        builder.add_workers(240)
        builder.assign(1_000)
        assign = builder.encoded(
            messages.AssignTasks, builder.assignments(size)
        )
        durable = builder.encoded(
            messages.AssignTasks, builder.assignments(size, durable=True)
        )
        end = builder.encoded(messages.EndAttempts, builder.reports(size))
        admissions = tuple(
            messages.Admission(builder.spec(durable=True), b'{"run_ms": 1000}')
            for _ in range(size)
        )
        admit = builder.encoded(messages.AdmitTasks, admissions)
        figures[str(size)] = {
            f'{name}_{form}bytes': len(made) / size
            for name, data in (
                ('assign', assign),
                ('assign_durable', durable),
                ('end', end),
                ('admit', admit),
            )
            for form, made in (('', data), ('zlib_', zlib.compress(data, 1)))
        }
    return figures


if __name__ == '__main__':
    fire.Fire(run)
