"""A whole cell of processes under load, end to end.

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

from benchmarks import _end_to_end_figures
from benchmarks import _load
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
# What a kill and a restart may take on a crowded machine.
KILL_TIME_S = 2.0
HANGING_COUNTS = (0, 6)

Figures = dict[str, typing.Any]


class Bench:
    """The measurements; each method is a command and writes its JSON."""

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
        """Measure everything, each in a fresh cell."""
        self._run('all', self._durable, self._waiting, self._node, self._kills)

    def durable(self) -> None:
        """Committed starts per second of durable tasks."""
        self._run('durable', self._durable)

    def waiting(self) -> None:
        """Waiting calls: time to the start and to the answer."""
        self._run('waiting', self._waiting)

    def node(self) -> None:
        """What one worker's own share of control costs."""
        self._run('node', self._node)

    def failover(self) -> None:
        """Longest time without an answer after a kill."""
        self._run('failover', self._kills)

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
    ) -> collections.abc.Iterator[tuple[testing.Cell, _load.Load]]:
        key = rules.new_key(_end_to_end_figures.TEAM, 'the bench')
        with contextlib.ExitStack() as resources:
            folder = resources.enter_context(tempfile.TemporaryDirectory())
            cell = resources.enter_context(testing.Cell(folder))
            cell.add_controllers(3)
            cell.add_gateways(self._gateways_count)
            cell.wait_ready(0)
            reply = cell.apply_rules(RULES + key.rule_line + '\n', 0)
            if reply.status != 200:
                raise RuntimeError(f'rules refused: {reply.body!r}')
            cell.add_workers(
                workers_count, **_end_to_end_figures.WORKER_FIELDS
            )
            cell.wait_ready()
            addresses = tuple(
                cell.addresses[f'{name}/callers'] for name in cell.gateways
            )
            yield (
                cell,
                _load.Load(
                    addresses=addresses,
                    key=key.text,
                    team=_end_to_end_figures.TEAM,
                    name='load',
                    seed=self._seed,
                    callers_count=self._callers_count,
                    seconds=self._seconds,
                ),
            )

    def _durable(self) -> Figures:
        runs = [self._durable_once() for _ in range(self._repeats_count)]
        return {'durable': runs}

    def _durable_once(self) -> Figures:
        """Hand all tasks in as jobs, wait until each has started."""
        per_job = min(1_000, self._tasks_count)
        jobs_count = -(-self._tasks_count // per_job // self._processes_count)
        wanted_count = jobs_count * per_job * self._processes_count
        with contextlib.ExitStack() as resources:
            cell, load = resources.enter_context(
                self._cell(self._workers_count)
            )
            processes = resources.enter_context(
                _load.Processes(self._processes_count)
            )
            load = _with_run_ms(load, 0)
            usage = _role_usage.RoleUsage(cell)
            load_average = os.getloadavg()[0]
            began_ms = worker.now_ms()
            statuses = processes.start_jobs(load, jobs_count, per_job)()
            taken_ms = worker.now_ms()
            starts_ms = _end_to_end_figures.wait_for_starts(cell, wanted_count)
            figures = {
                'tasks_count': wanted_count,
                'jobs_refused_count': sum(one != 202 for one in statuses),
                'submitted_per_s': wanted_count
                / (taken_ms - began_ms)
                * 1_000,
                'started_count': len(starts_ms),
                'starts_per_s': _end_to_end_figures.middle_rate(starts_ms),
                'starts_per_s_overall': len(starts_ms)
                / (max(starts_ms, default=began_ms + 1) - began_ms)
                * 1_000,
                'load': round(load_average, 1),
                'load_after': round(os.getloadavg()[0], 1),
                'roles': usage.finish(),
            }
        return figures

    def _waiting(self) -> Figures:
        runs = [self._waiting_once() for _ in range(self._repeats_count)]
        return {'waiting': runs}

    def _waiting_once(self) -> Figures:
        with contextlib.ExitStack() as resources:
            cell, load = resources.enter_context(
                self._cell(self._workers_count)
            )
            processes = resources.enter_context(
                _load.Processes(self._processes_count)
            )
            usage = _role_usage.RoleUsage(cell)
            load_average = os.getloadavg()[0]
            calls = processes.start_callers(load)()
            roles = usage.finish()
            first_ms = _end_to_end_figures.first_starts(cell)
            answered = [one for one in calls if one.outcome == 'answered']
            span_ms = max(one.ended_ms for one in calls) - min(
                one.sent_ms for one in calls
            )
            figures: Figures = {
                'callers_count': self._processes_count * self._callers_count,
                'run_ms': load.run_ms,
                'calls_count': len(calls),
                'answered_count': len(answered),
                'answers_per_s': len(answered) / span_ms * 1_000,
                'load': round(load_average, 1),
                'load_after': round(os.getloadavg()[0], 1),
                'roles': roles,
            }
            for task_class in ('urgent', 'batch'):
                of_class = [
                    one for one in answered if one.task_class == task_class
                ]
                figures[task_class] = _end_to_end_figures.waits(
                    of_class, first_ms
                )
        return figures

    def _node(self) -> Figures:
        found = []
        for hanging_count in HANGING_COUNTS:
            with self._cell(0) as (cell, load):
                found.append(
                    _end_to_end_figures.node_figures(cell, load, hanging_count)
                )
        return {'node': found}

    def _kills(self) -> Figures:
        gaps: dict[str, list[float]] = {}
        plan = ['leader', 'follower', 'gateway'] * self._repeats_count
        round_s = KILL_PAUSE_S + SETTLE_S + KILL_TIME_S
        seconds = 2 * SETTLE_S + len(plan) * round_s
        with contextlib.ExitStack() as resources:
            cell, load = resources.enter_context(
                self._cell(self._workers_count)
            )
            processes = resources.enter_context(
                _load.Processes(self._processes_count)
            )
            load_average = os.getloadavg()[0]
            callers = processes.start_callers(
                _for_kills(load, seconds, self._callers_count)
            )
            time.sleep(SETTLE_S)
            kills = []
            for role in plan:
                name = _chosen(cell, role)
                at_ms = worker.now_ms()
                cell.processes.kill(name)
                kills.append((role, at_ms))
                time.sleep(KILL_PAUSE_S)
                cell.processes.restart(name)
                time.sleep(SETTLE_S)
            watched_ms = worker.now_ms()
            calls = callers()
        answers_ms = sorted(
            one.ended_ms for one in calls if one.outcome == 'answered'
        )
        # A window after the callers' end would show a gap that is none.
        if max(one.ended_ms for one in calls) < watched_ms:
            raise RuntimeError('the callers ended before the last kill')
        for role, at_ms in kills:
            gap_ms = _end_to_end_figures.longest_gap_ms(
                answers_ms, at_ms, KILL_PAUSE_S * 1_000
            )
            gaps.setdefault(role, []).append(round(gap_ms, 1))
        return {
            'failover': {
                'gaps_ms': gaps,
                'median_ms': {
                    role: statistics.median(found)
                    for role, found in gaps.items()
                },
                'answers_per_s': len(answers_ms) / seconds,
                'not_answered_count': len(calls) - len(answers_ms),
                'load': round(load_average, 1),
                'load_after': round(os.getloadavg()[0], 1),
            }
        }


def _with_run_ms(load: _load.Load, run_ms: int) -> _load.Load:
    return _replaced(load, run_ms=run_ms)


def _for_kills(
    load: _load.Load, seconds: float, callers_count: int
) -> _load.Load:
    return _replaced(
        load,
        seconds=seconds,
        callers_count=max(2, callers_count // 4),
        pause_ms=10,
    )


def _replaced(load: _load.Load, **fields: typing.Any) -> _load.Load:
    return dataclasses.replace(load, **fields)


def _chosen(cell: testing.Cell, role: str) -> str:
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
