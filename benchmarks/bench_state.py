"""Slopes of the replicated state and of the leader's own work, by size.

Each size is measured in a process of its own, so that memory is its own.
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

from benchmarks import _state_leadership
from benchmarks import _state_world

from dandeliondrum import messages
from dandeliondrum import rules

import fire
import psutil

TEAMS_COUNT = 370
RULES_TEAMS_COUNTS = (6, 100, 370)
# Workers, running tasks, ended tasks that can still be asked for.
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
        figures = _in_process(measure_size, *size, seed)
        report['sizes'].append(figures)
        _print(figures)
    report['rules'] = _in_process(measure_rules)
    report['bytes'] = _in_process(measure_bytes, seed)
    _print({'rules': report['rules'], 'bytes': report['bytes']})
    report['load_after'] = os.getloadavg()[0]
    path = pathlib.Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(report, indent=1) + '\n')


def _in_process(
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
    """Fill one state and time everything that is done to it."""
    process = psutil.Process()
    world = _state_world.World(TEAMS_COUNT, seed)
    world.set_rules(_state_world.rules_text(TEAMS_COUNT))
    rss_bytes = [_rss_bytes(process)]
    world.add_workers(workers_count)
    rss_bytes.append(_rss_bytes(process))
    world.assign(running_count)
    rss_bytes.append(_rss_bytes(process))
    _add_ended(world, ended_count)
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
    figures.update(_snapshots(world))
    figures.update(_commands(world))
    figures.update(_state_leadership.LeadershipTimer(world).measure())
    figures['rss_with_office_bytes'] = _rss_bytes(process)
    return figures


def _rss_bytes(process: psutil.Process) -> int:
    gc.collect()
    return process.memory_info().rss


def _add_ended(world: _state_world.World, count: int) -> None:
    while count > 0:
        batch_count = min(count, 4 * _state_world.BATCH_COUNT)
        world.assign(batch_count)
        world.end(batch_count)
        count -= batch_count


def _snapshots(world: _state_world.World) -> Figures:
    data = world.state.snapshot()
    snapshot_us = _state_leadership.median_us(world.state.snapshot, 3)
    restore_us = _state_leadership.median_us(
        lambda: world.state.restore(data), 3
    )
    return {
        'snapshot_bytes': len(data),
        'snapshot_ms': snapshot_us / 1_000,
        'restore_ms': restore_us / 1_000,
        'snapshot_reader_wait_ms': _longest_wait_ms(world),
    }


def _longest_wait_ms(world: _state_world.World) -> float:
    """Return how long a reader waits at most while a snapshot is made.

    It waits for the lock of the state and for the interpreter.
    """
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        snapshot = executor.submit(world.state.snapshot)
        longest_ns = 0
        while not snapshot.done():
            started_ns = time.perf_counter_ns()
            time.sleep(READER_PAUSE_S)
            with world.state.lock:
                taken_ns = time.perf_counter_ns() - started_ns
            longest_ns = max(longest_ns, taken_ns)
    return longest_ns / 1_000_000


def _commands(world: _state_world.World) -> Figures:
    """Return times for each task or worker of a command."""
    times: dict[str, list[float]] = {}

    def timed(name: str, command: bytes, count: int) -> typing.Any:
        started_ns = time.perf_counter_ns()
        outcome = world.apply_bytes(command)
        taken_ns = time.perf_counter_ns() - started_ns
        times.setdefault(name, []).append(taken_ns / count / 1_000)
        return outcome

    count = COMMAND_TASKS_COUNT
    for _ in range(COMMANDS_COUNT):
        assignments = world.assignments(count)
        command = world.encoded(messages.AssignTasks, assignments)
        decode_us = _state_leadership.median_us(
            lambda data=command: messages.decode(data), 1
        )
        times.setdefault('assign_decode_us', []).append(decode_us / count)
        world.note_running(timed('assign_us', command, count))
        reports = world.reports(count)
        command = world.encoded(messages.EndAttempts, reports)
        timed('end_us', command, count)
        refusals = tuple(_refusal(world) for _ in range(count))
        command = world.encoded(messages.RefuseTasks, refusals)
        timed('refuse_us', command, count)
        facts = world.facts(0)
        command = world.encoded(messages.RegisterWorker, facts)
        timed('register_us', command, 1)
    for _ in range(3):
        # Nothing is old enough, so this is the cost of looking.
        command = world.encoded(messages.ForgetTasks, -1)
        timed('forget_nothing_us', command, 1)
    return {name: statistics.median(found) for name, found in times.items()}


def _refusal(world: _state_world.World) -> messages.Refusal:
    spec = world.spec()
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
        text = _state_world.rules_text(teams_count)
        world = _state_world.World(teams_count, 1)
        apply_us = _state_leadership.median_us(lambda: world.set_rules(text))
        figures[str(teams_count)] = {
            'text_bytes': len(text),
            'text_zlib_bytes': len(zlib.compress(text.encode(), 1)),
            'parse_ms': _state_leadership.median_us(lambda: rules.parse(text))
            / 1_000,
            'apply_ms': apply_us / 1_000,
        }
    return figures


def measure_bytes(seed: int) -> Figures:
    """Return bytes in the log for one placement, from assignment to end."""
    figures: Figures = {}
    for size in BATCH_SIZES:
        world = _state_world.World(TEAMS_COUNT, seed)
        world.set_rules(_state_world.rules_text(TEAMS_COUNT))
        world.add_workers(240)
        world.assign(1_000)
        assign = world.encoded(messages.AssignTasks, world.assignments(size))
        durable = world.encoded(
            messages.AssignTasks, world.assignments(size, durable=True)
        )
        end = world.encoded(messages.EndAttempts, world.reports(size))
        admissions = tuple(
            messages.Admission(world.spec(durable=True), b'{"run_ms": 1000}')
            for _ in range(size)
        )
        admit = world.encoded(messages.AdmitTasks, admissions)
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
