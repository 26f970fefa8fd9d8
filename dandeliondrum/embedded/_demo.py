"""Runs a demo workload, stops the leader midway, and summarizes the run."""

import base64
import collections.abc
import contextlib
import dataclasses
import math
import pathlib
import random
import resource
import tempfile
import time
import typing

from dandeliondrum.embedded import _cell
from dandeliondrum.embedded import _durable_callers
from dandeliondrum.embedded import _fleets
from dandeliondrum.embedded import _summary
from dandeliondrum.embedded import _tables
from dandeliondrum import messages
from dandeliondrum import observability
from dandeliondrum import rules
from dandeliondrum import testing
from dandeliondrum import worker

CONTROLLERS_COUNT = 3
GATEWAYS_COUNT = 2
CALLERS_COUNT = 6
CALLERS_PAUSE_MS = 150
CALLS_TIMEOUT_MS = 6_000
URGENT_CALLS_RATIO = 0.7
PROGRESS_EVERY_MS = 2_000
# Covers tasks that are assigned but not started at the end: with three times
# the load that the machine can sustain, a start waits 10 s and longer.
COLLECT_TIMEOUT_MS = 40_000

TASK_RUN_RANGE_MS = (1_500, 3_500)
TASK_CORES_RANGE = (2, 4)
CORE_MILLICORES = 1_000
CORE_MEMORY_MB = 1_024
# Expected run times are wrong by up to this factor, in both directions.
RUN_TIME_ERROR_FACTOR = 3
# Work submitted by each team, relative to what its share can execute.
OVERSUBMISSION_FACTOR = 1.4

GANG_TASKS_COUNT = 4
REPLICAS_COUNT = 3
# Start times of these steps, as ratios of the demo's length.
SUBMIT_AT_RATIO = 0.1
GANG_AT_RATIO = 0.3
LEADER_LOSS_AT_RATIO = 0.5

KIB_BYTES = 1024
# More memory and accelerators than the demo fleet has.
UNLIMITED_MEMORY_MB = 1 << 40
UNLIMITED_ACCELERATORS_COUNT = 1 << 40
HANGING_BODY_BASE64 = base64.b64encode(b'{"hang": true}').decode()

ProgressCallback = collections.abc.Callable[[str], object]


@dataclasses.dataclass(frozen=True, kw_only=True)
class DemoOptions:
    """Options of the demo.

    Work drawn from ``seed`` is submitted for ``length_s`` seconds. ``folder``
    takes the data of the controllers and the log; by default it is a
    temporary folder, which is removed afterwards.
    """

    length_s: int = 20
    seed: int = 1
    folder: str = ''


@dataclasses.dataclass(frozen=True)
class DemoResult:
    """The summary of a demo run, also formatted as tables."""

    summary: _summary.Summary
    tables: str


def run(
    options: DemoOptions, on_progress: ProgressCallback = print
) -> DemoResult:
    """Run the demo; ``on_progress`` is called with each line of progress.

    Example::

        result = embedded.run(embedded.DemoOptions(length_s=10))
        print(result.tables)
    """
    with contextlib.ExitStack() as resources:
        name = options.folder or resources.enter_context(
            tempfile.TemporaryDirectory(prefix='dandeliondrum-')
        )
        folder = pathlib.Path(name)
        folder.mkdir(parents=True, exist_ok=True)
        log = resources.enter_context(open(folder / 'demo.log', 'w'))
        observability.configure_logging('demo', 'embedded', 'info', log)
        return _Demo(options, folder, on_progress).run()


class _Demo:
    """One demo run, from starting the cell to formatting the results."""

    def __init__(
        self,
        options: DemoOptions,
        folder: pathlib.Path,
        on_progress: ProgressCallback,
    ) -> None:
        self._options = options
        self._folder = folder
        self._on_progress = on_progress
        self._start_s = time.monotonic()
        self._random = random.Random(options.seed)
        self._recorder = testing.Recorder()
        self._worker_configs = _fleets.workers()
        self._new_keys = {
            team.team_id: rules.new_key(team.team_id, 'the demo')
            for team in _fleets.TEAMS
        }
        self._keys = {
            team_id: key.text for team_id, key in self._new_keys.items()
        }

    def run(self) -> DemoResult:
        """Run the demo and return its result."""
        cpu_start_s = time.process_time()
        with _cell.EmbeddedCell(self._folder) as cell:
            self._start_cell(cell)
            durable_callers = _durable_callers.DurableCallers(
                cell, self._keys, self._recorder
            )
            until_ms = self._run_workload(cell, durable_callers)
            self._finish(durable_callers)
        # Closed workers have recorded the end of all their tasks.
        history = self._recorder.history(cell.journal_events())
        cpu_ms = 1000 * (time.process_time() - cpu_start_s)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        results = _summary.summarize(
            history, until_ms, settling_ms=TASK_RUN_RANGE_MS[1]
        )
        tables = _tables.render(results, cpu_ms, usage.ru_maxrss / KIB_BYTES)
        return DemoResult(results.summary, tables)

    def _start_cell(self, cell: _cell.EmbeddedCell) -> None:
        cell.add_controllers(CONTROLLERS_COUNT)
        cell.add_gateways(GATEWAYS_COUNT)
        cell.wait_ready(0)
        text = _fleets.rules_text(
            key.rule_line for key in self._new_keys.values()
        )
        reply = cell.apply_rules(text, expected_version=0)
        if reply.status != 200:
            raise RuntimeError(f'rules refused: {reply.body!r}')
        for team in _fleets.TEAMS:
            self._record_limits(team)
        cell.add_workers(self._worker_configs)
        cell.wait_ready()
        self._print_progress(
            f'{CONTROLLERS_COUNT} controllers, {GATEWAYS_COUNT} gateways and '
            f'{len(self._worker_configs)} workers are up; '
            f'{_fleets.FAILING_WORKER_ID} fails everything'
        )

    def _record_limits(self, team: _fleets.Team) -> None:
        if team.running_max is not None:
            self._recorder.limited(team.team_id, team.running_max)
        if team.cpu_millicores_max is not None:
            self._recorder.limited(
                team.team_id,
                resources_max=messages.Resources(
                    team.cpu_millicores_max,
                    UNLIMITED_MEMORY_MB,
                    UNLIMITED_ACCELERATORS_COUNT,
                ),
            )

    def _run_workload(
        self,
        cell: _cell.EmbeddedCell,
        durable_callers: _durable_callers.DurableCallers,
    ) -> float:
        """Submit work for the whole length and return the end time in ms."""
        workload = testing.Workload(
            keys=dict(self._keys.items()),
            callers_count=CALLERS_COUNT,
            urgent_portion=URGENT_CALLS_RATIO,
            cpu_millicores=(500, 1_000),
            timeout_ms=CALLS_TIMEOUT_MS,
            pause_ms=CALLERS_PAUSE_MS,
            seed=self._options.seed,
            urgent_queue=_fleets.URGENT_QUEUE,
            batch_queue=_fleets.BATCH_QUEUE,
        )
        start_s = time.monotonic()
        with testing.Callers(
            cell, workload, self._recorder
        ) as waiting_callers:
            self._wait_until(waiting_callers, start_s, SUBMIT_AT_RATIO)
            self._submit(durable_callers)
            self._wait_until(waiting_callers, start_s, GANG_AT_RATIO)
            self._submit_gang(durable_callers)
            self._wait_until(waiting_callers, start_s, LEADER_LOSS_AT_RATIO)
            self._stop_leader(cell)
            self._wait_until(waiting_callers, start_s, 1.0)
            until_ms = worker.now_ms()
            count = durable_callers.cancel_queued()
            self._print_progress(f'{count} queued tasks are cancelled')
        return until_ms

    def _submit(
        self, durable_callers: _durable_callers.DurableCallers
    ) -> None:
        durable_callers.submit_service(
            messages.TeamId('inspection'),
            _fleets.SERVICE_QUEUE,
            'lens',
            REPLICAS_COUNT,
            cpu_millicores=CORE_MILLICORES,
            memory_mb=CORE_MEMORY_MB,
            body_base64=HANGING_BODY_BASE64,
        )
        submitted_count = 0
        for team in _fleets.TEAMS:
            tasks = [
                self._task(f'night-{number}')
                for number in range(self._tasks_count(team))
            ]
            durable_callers.submit(team.team_id, _fleets.DURABLE_QUEUE, tasks)
            submitted_count += len(tasks)
        self._print_progress(
            f'{len(_fleets.TEAMS)} teams submitted {submitted_count} tasks '
            f'for later and a service of {REPLICAS_COUNT} replicas'
        )

    def _tasks_count(self, team: _fleets.Team) -> int:
        """Return how many tasks keep a team busy for the whole run."""
        millicores = sum(
            config.resources.cpu_millicores for config in self._worker_configs
        )
        cores = millicores / CORE_MILLICORES
        task_core_s = sum(TASK_RUN_RANGE_MS) / 2000 * sum(TASK_CORES_RANGE) / 2
        shares = sum(each.share for each in _fleets.TEAMS)
        ratio = team.share / shares
        total_core_s = OVERSUBMISSION_FACTOR * cores * self._options.length_s
        return math.ceil(ratio * total_core_s / task_core_s)

    def _task(self, request_id: str) -> dict[str, typing.Any]:
        cores = self._random.randint(*TASK_CORES_RANGE)
        run_ms = self._random.randint(*TASK_RUN_RANGE_MS)
        exponent = self._random.uniform(-1, 1)
        return {
            'request_id': request_id,
            'idempotent': self._random.random() < 0.5,
            'cpu_millicores': cores * CORE_MILLICORES,
            'memory_mb': cores * CORE_MEMORY_MB,
            'expected_run_ms': int(run_ms * RUN_TIME_ERROR_FACTOR**exponent),
            'body': {'run_ms': run_ms, 'echo': request_id},
        }

    def _submit_gang(
        self, durable_callers: _durable_callers.DurableCallers
    ) -> None:
        tasks = [
            self._task(f'gang-{number}') for number in range(GANG_TASKS_COUNT)
        ]
        team_id = messages.TeamId('engraving')
        durable_callers.submit(team_id, _fleets.GANG_QUEUE, tasks, gang=True)
        self._print_progress(
            f'{team_id} submitted a gang of {GANG_TASKS_COUNT}'
        )

    def _stop_leader(self, cell: _cell.EmbeddedCell) -> None:
        old_leader = cell.stop_leader()
        start_s = time.monotonic()
        self._print_progress(f'the leader {old_leader} is lost')
        leader = cell.leader()
        election_ms = 1000 * (time.monotonic() - start_s)
        self._print_progress(f'{leader} leads after {election_ms:.0f} ms')

    def _finish(
        self, durable_callers: _durable_callers.DurableCallers
    ) -> None:
        durable_callers.collect(COLLECT_TIMEOUT_MS)
        durable_callers.cancel_services()
        self._print_progress('all ends were reported; closing the cell')

    def _wait_until(
        self, waiting_callers: testing.Callers, start_s: float, ratio: float
    ) -> None:
        """Wait until a ratio of the length has passed, printing progress."""
        end_s = start_s + ratio * self._options.length_s
        while (remaining_s := end_s - time.monotonic()) > 0:
            time.sleep(min(remaining_s, PROGRESS_EVERY_MS / 1000))
            count = waiting_callers.answered_count()
            self._print_progress(f'{count} waiting calls were answered so far')

    def _print_progress(self, text: str) -> None:
        self._on_progress(f'{time.monotonic() - self._start_s:6.1f} s  {text}')
