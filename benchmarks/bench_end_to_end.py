"""End-to-end measurements of a whole cell of processes under load.

Everything runs on loopback. Example::

    python -m benchmarks.bench_end_to_end all --out bench-out/e2e.json
"""

import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import platform
import statistics
import tempfile
import time
import typing

from benchmarks import _cell_figures
from benchmarks import _load_generator
from benchmarks import _role_usage

from dandeliondrum import rules
from dandeliondrum import testing
from dandeliondrum import worker

import fire

RULES = (
    '{"rule": "team", "team": "harbour", "share": 1}  // asked by the bench\n'
    '{"rule": "queue", "queue": "lens", "open": false, "class": "batch",'
    ' "queued_max": 1000000}  // asked by the bench\n'
)
SETTLE_S = 2.0
KILL_PAUSE_S = 6.0
# Allowance for a kill and a restart on a busy machine.
KILL_TIME_S = 2.0
HANGING_COUNTS = (0, 6)

Figures = dict[str, typing.Any]


class Bench:
    """Commands of the benchmark; each writes its figures to a JSON file."""

    def __init__(
        self,
        out: str = 'bench-out/e2e.json',
        seed: int = 1,
        gateways: int = 3,
        workers: int = 12,
        processes: int = 4,
        callers: int = 16,
        seconds: float = 15.0,
        tasks: int = 20_000,
        repeats: int = 3,
    ) -> None:
        self._out = pathlib.Path(out)
        self._seed = seed
        self._gateways_count = gateways
        self._workers_count = workers
        self._processes_count = processes
        self._callers_count = callers
        self._seconds = seconds
        self._tasks_count = tasks
        self._repeats_count = repeats

    def all(self) -> None:
        """Run all measurements, each in a new cell."""
        self._run(
            'all',
            self._measure_durable,
            self._measure_waiting,
            self._measure_node,
            self._measure_failover,
        )

    def durable(self) -> None:
        """Measure the committed starts per second of durable tasks."""
        self._run('durable', self._measure_durable)

    def waiting(self) -> None:
        """Measure the time of waiting calls to the start and to the answer."""
        self._run('waiting', self._measure_waiting)

    def node(self) -> None:
        """Measure what the control traffic costs on one worker."""
        self._run('node', self._measure_node)

    def failover(self) -> None:
        """Measure the longest time without an answer after a kill."""
        self._run('failover', self._measure_failover)

    def _run(
        self,
        part: str,
        *measures: collections.abc.Callable[[], Figures],
    ) -> None:
        report: Figures = {
            'bench': 'end_to_end',
            'part': part,
            'seed': self._seed,
            'python': platform.python_version(),
            'started': time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime()),
            'controllers_count': 3,
            'gateways_count': self._gateways_count,
            'workers_count': self._workers_count,
            'load_processes_count': self._processes_count,
        }
        for measure in measures:
            figures = measure()
            report.update(figures)
            _print(figures)
            self._out.parent.mkdir(parents=True, exist_ok=True)
            self._out.write_text(json.dumps(report, indent=1) + '\n')

    @contextlib.contextmanager
    def _cell(
        self, workers_count: int
    ) -> collections.abc.Iterator[
        tuple[testing.Cell, _load_generator.LoadOptions]
    ]:
        key = rules.new_key(_cell_figures.TEAM, 'the bench')
        with contextlib.ExitStack() as resources:
            folder = resources.enter_context(tempfile.TemporaryDirectory())
            cell = resources.enter_context(testing.Cell(folder))
            cell.add_controllers(3)
            cell.add_gateways(self._gateways_count)
            cell.wait_ready(0)
            reply = cell.apply_rules(RULES + key.rule_line + '\n', 0)
            if reply.status != 200:
                raise RuntimeError(f'rules refused: {reply.body!r}')
            cell.add_workers(workers_count, **_cell_figures.WORKER_FIELDS)
            cell.wait_ready()
            addresses = tuple(
                cell.addresses[f'{name}/callers'] for name in cell.gateways
            )
            yield (
                cell,
                _load_generator.LoadOptions(
                    addresses=addresses,
                    key=key.text,
                    team=_cell_figures.TEAM,
                    name='load',
                    seed=self._seed,
                    callers_count=self._callers_count,
                    seconds=self._seconds,
                ),
            )

    def _measure_durable(self) -> Figures:
        runs = [
            self._measure_durable_once() for _ in range(self._repeats_count)
        ]
        return {'durable': runs}

    def _measure_durable_once(self) -> Figures:
        """Submit all tasks as jobs and wait until each has started."""
        per_job = min(1_000, self._tasks_count)
        jobs_count = -(-self._tasks_count // per_job // self._processes_count)
        wanted_count = jobs_count * per_job * self._processes_count
        with contextlib.ExitStack() as resources:
            cell, load = resources.enter_context(
                self._cell(self._workers_count)
            )
            processes = resources.enter_context(
                _load_generator.LoadProcesses(self._processes_count)
            )
            load = _with_run_ms(load, 0)
            usage = _role_usage.RoleUsage(cell)
            load_average = os.getloadavg()[0]
            started_ms = worker.now_ms()
            statuses = processes.start_jobs(load, jobs_count, per_job)()
            submitted_ms = worker.now_ms()
            starts_ms = _cell_figures.wait_for_starts(cell, wanted_count)
            figures = {
                'tasks_count': wanted_count,
                'jobs_refused_count': sum(one != 202 for one in statuses),
                'submitted_per_s': wanted_count
                / (submitted_ms - started_ms)
                * 1_000,
                'started_count': len(starts_ms),
                'starts_per_s': _cell_figures.steady_rate(starts_ms),
                'starts_per_s_overall': len(starts_ms)
                / (max(starts_ms, default=started_ms + 1) - started_ms)
                * 1_000,
                'load': round(load_average, 1),
                'load_after': round(os.getloadavg()[0], 1),
                'roles': usage.finish(),
            }
        return figures

    def _measure_waiting(self) -> Figures:
        runs = [
            self._measure_waiting_once() for _ in range(self._repeats_count)
        ]
        return {'waiting': runs}

    def _measure_waiting_once(self) -> Figures:
        with contextlib.ExitStack() as resources:
            cell, load = resources.enter_context(
                self._cell(self._workers_count)
            )
            processes = resources.enter_context(
                _load_generator.LoadProcesses(self._processes_count)
            )
            usage = _role_usage.RoleUsage(cell)
            load_average = os.getloadavg()[0]
            calls = processes.start_callers(load)()
            roles = usage.finish()
            first_starts_ms = _cell_figures.first_starts(cell)
            answered = [one for one in calls if one.outcome == 'answered']
            elapsed_ms = max(one.ended_ms for one in calls) - min(
                one.sent_ms for one in calls
            )
            figures: Figures = {
                'callers_count': self._processes_count * self._callers_count,
                'run_ms': load.run_ms,
                'calls_count': len(calls),
                'answered_count': len(answered),
                'answers_per_s': len(answered) / elapsed_ms * 1_000,
                'load': round(load_average, 1),
                'load_after': round(os.getloadavg()[0], 1),
                'roles': roles,
            }
            for task_class in ('urgent', 'batch'):
                of_class = [
                    one for one in answered if one.task_class == task_class
                ]
                figures[task_class] = _cell_figures.wait_quantiles(
                    of_class, first_starts_ms
                )
        return figures

    def _measure_node(self) -> Figures:
        results = []
        for hanging_count in HANGING_COUNTS:
            with self._cell(0) as (cell, load):
                results.append(
                    _cell_figures.node_figures(cell, load, hanging_count)
                )
        return {'node': results}

    def _measure_failover(self) -> Figures:
        gaps: dict[str, list[float]] = {}
        kill_order = ['leader', 'follower', 'gateway'] * self._repeats_count
        round_s = KILL_PAUSE_S + SETTLE_S + KILL_TIME_S
        seconds = 2 * SETTLE_S + len(kill_order) * round_s
        with contextlib.ExitStack() as resources:
            cell, load = resources.enter_context(
                self._cell(self._workers_count)
            )
            processes = resources.enter_context(
                _load_generator.LoadProcesses(self._processes_count)
            )
            load_average = os.getloadavg()[0]
            callers = processes.start_callers(
                _for_failover(load, seconds, self._callers_count)
            )
            time.sleep(SETTLE_S)
            kills = []
            for role in kill_order:
                name = _process_to_kill(cell, role)
                at_ms = worker.now_ms()
                cell.processes.kill(name)
                kills.append((role, at_ms))
                time.sleep(KILL_PAUSE_S)
                cell.processes.restart(name)
                time.sleep(SETTLE_S)
            last_window_end_ms = worker.now_ms()
            calls = callers()
        answers_ms = sorted(
            one.ended_ms for one in calls if one.outcome == 'answered'
        )
        # The answers stop when the callers end, which would look like a gap in
        # a window that is still open.
        if max(one.ended_ms for one in calls) < last_window_end_ms:
            raise RuntimeError('the callers ended before the last kill')
        for role, at_ms in kills:
            gap_ms = _cell_figures.longest_gap_ms(
                answers_ms, at_ms, KILL_PAUSE_S * 1_000
            )
            gaps.setdefault(role, []).append(round(gap_ms, 1))
        return {
            'failover': {
                'gaps_ms': gaps,
                'median_ms': {
                    role: statistics.median(results)
                    for role, results in gaps.items()
                },
                'answers_per_s': len(answers_ms) / seconds,
                'not_answered_count': len(calls) - len(answers_ms),
                'load': round(load_average, 1),
                'load_after': round(os.getloadavg()[0], 1),
            }
        }


def _with_run_ms(
    load: _load_generator.LoadOptions, run_ms: int
) -> _load_generator.LoadOptions:
    return _replaced(load, run_ms=run_ms)


def _for_failover(
    load: _load_generator.LoadOptions, seconds: float, callers_count: int
) -> _load_generator.LoadOptions:
    return _replaced(
        load,
        seconds=seconds,
        callers_count=max(2, callers_count // 4),
        pause_ms=10,
    )


def _replaced(
    load: _load_generator.LoadOptions, **fields: typing.Any
) -> _load_generator.LoadOptions:
    return dataclasses.replace(load, **fields)


def _process_to_kill(cell: testing.Cell, role: str) -> str:
    leader = cell.leader()
    match role:
        case 'leader':
            return leader
        case 'follower':
            return next(one for one in cell.controllers if one != leader)
    return cell.gateways[-1]


def _print(figures: Figures) -> None:
    print(json.dumps(figures, indent=1), flush=True)


if __name__ == '__main__':
    fire.Fire(Bench)
