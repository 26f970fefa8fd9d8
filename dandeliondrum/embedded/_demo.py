"""Runs both users' fleets in small, loses the leader, and counts."""

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
from dandeliondrum.embedded import _durable
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
CALLS_URGENT_PORTION = 0.7
PROGRESS_EVERY_MS = 2_000
# What was assigned before the end is awaited: a start waits 10 s and longer
# behind others on a machine with three times the load that it can bear.
COLLECT_TIMEOUT_MS = 40_000

TASK_RUN_MS = (1_500, 3_500)
TASK_CORES = (2, 4)
CORE_MILLICORES = 1_000
CORE_MEMORY_MB = 1_024
# Declared run times are off by up to this factor, either way.
DECLARED_FACTOR = 3
# How much more work each team submits than its share of the time takes.
EXCESS_FACTOR = 1.4

GANG_TASKS_COUNT = 4
REPLICAS_COUNT = 3
SUBMIT_AT = 0.1
GANG_AT = 0.3
LOSS_AT = 0.5

KIB_BYTES = 1024
# More memory and accelerators than any fleet of the demo has.
UNLIMITED_MB = 1 << 40
UNLIMITED_COUNT = 1 << 40
HANGING_BODY_BASE64 = base64.b64encode(b'{"hang": true}').decode()

Print = collections.abc.Callable[[str], object]


@dataclasses.dataclass(frozen=True, kw_only=True)
class DemoOptions:
    """How long work is submitted, and the seed that it is drawn from.

    Without a ``folder`` a temporary one is made and removed again; it takes
    the data of the controllers and the log.
    """

    length_s: int = 20
    seed: int = 1
    folder: str = ''


@dataclasses.dataclass(frozen=True)
class DemoResult:
    """What a demo came to: its figures, and the same as tables."""

    summary: _summary.Summary
    tables: str


def run(options: DemoOptions, show: Print = print) -> DemoResult:
    """Run the demo; ``show`` gets lines of progress.

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
        return _Demo(options, folder, show).run()


class _Demo:
    """One run, from the first controller to the tables."""

    def __init__(
        self, options: DemoOptions, folder: pathlib.Path, show: Print
    ) -> None:
        self._options = options
        self._folder = folder
        self._show = show
        self._began_s = time.monotonic()
        self._chance = random.Random(options.seed)
        self._recorder = testing.Recorder()
        self._plans = _fleets.workers()
        self._new_keys = {
            team.team_id: rules.new_key(team.team_id, 'the demo')
            for team in _fleets.TEAMS
        }
        self._keys = {
            team_id: key.text for team_id, key in self._new_keys.items()
        }

    def run(self) -> DemoResult:
        """Run from start to end."""
        cpu_began_s = time.process_time()
        with _cell.EmbeddedCell(self._folder) as cell:
            self._begin(cell)
            callers = _durable.DurableCallers(cell, self._keys, self._recorder)
            until_ms = self._work(cell, callers)
            self._finish(callers)
        # Workers that were closed have reported the end of all that they ran.
        history = self._recorder.history(cell.journals())
        cpu_ms = 1000 * (time.process_time() - cpu_began_s)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        findings = _summary.summarize(
            history, until_ms, settling_ms=TASK_RUN_MS[1]
        )
        tables = _tables.render(findings, cpu_ms, usage.ru_maxrss / KIB_BYTES)
        return DemoResult(findings.summary, tables)

    def _begin(self, cell: _cell.EmbeddedCell) -> None:
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
            self._limit(team)
        cell.add_workers(self._plans)
        cell.wait_ready()
        self._print(
            f'{CONTROLLERS_COUNT} controllers, {GATEWAYS_COUNT} gateways and '
            f'{len(self._plans)} workers are up; '
            f'{_fleets.FAILING_WORKER} fails everything'
        )

    def _limit(self, team: _fleets.Team) -> None:
        if team.running_max is not None:
            self._recorder.limited(team.team_id, team.running_max)
        if team.cpu_millicores_max is not None:
            self._recorder.limited(
                team.team_id,
                resources_max=messages.Resources(
                    team.cpu_millicores_max, UNLIMITED_MB, UNLIMITED_COUNT
                ),
            )

    def _work(
        self, cell: _cell.EmbeddedCell, callers: _durable.DurableCallers
    ) -> float:
        """Submit work for the whole length; returns when it was over."""
        work = testing.Work(
            keys=dict(self._keys.items()),
            callers_count=CALLERS_COUNT,
            urgent_portion=CALLS_URGENT_PORTION,
            cpu_millicores=(500, 1_000),
            timeout_ms=CALLS_TIMEOUT_MS,
            pause_ms=CALLERS_PAUSE_MS,
            seed=self._options.seed,
            urgent_queue=_fleets.WAITING_URGENT,
            batch_queue=_fleets.WAITING_BATCH,
        )
        began_s = time.monotonic()
        with testing.Callers(cell, work, self._recorder) as waiting:
            self._wait(waiting, began_s, SUBMIT_AT)
            self._submit(callers)
            self._wait(waiting, began_s, GANG_AT)
            self._submit_gang(callers)
            self._wait(waiting, began_s, LOSS_AT)
            self._lose_leader(cell)
            self._wait(waiting, began_s, 1.0)
            until_ms = worker.now_ms()
            count = callers.cancel_queued()
            self._print(f'{count} queued tasks are cancelled')
        return until_ms

    def _submit(self, callers: _durable.DurableCallers) -> None:
        callers.submit_service(
            messages.TeamId('inspection'),
            _fleets.SERVICE,
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
            callers.submit(team.team_id, _fleets.DURABLE_BATCH, tasks)
            submitted_count += len(tasks)
        self._print(
            f'{len(_fleets.TEAMS)} teams submitted {submitted_count} tasks '
            f'for later and a service of {REPLICAS_COUNT} replicas'
        )

    def _tasks_count(self, team: _fleets.Team) -> int:
        """Return how many tasks keep a team busy for the whole run."""
        millicores = sum(plan.resources.cpu_millicores for plan in self._plans)
        cores = millicores / CORE_MILLICORES
        task_core_s = sum(TASK_RUN_MS) / 2000 * sum(TASK_CORES) / 2
        shares = sum(each.share for each in _fleets.TEAMS)
        portion = team.share / shares
        work_core_s = EXCESS_FACTOR * cores * self._options.length_s
        return math.ceil(portion * work_core_s / task_core_s)

    def _task(self, request_id: str) -> dict[str, typing.Any]:
        cores = self._chance.randint(*TASK_CORES)
        run_ms = self._chance.randint(*TASK_RUN_MS)
        exponent = self._chance.uniform(-1, 1)
        return {
            'request_id': request_id,
            'idempotent': self._chance.random() < 0.5,
            'cpu_millicores': cores * CORE_MILLICORES,
            'memory_mb': cores * CORE_MEMORY_MB,
            'expected_run_ms': int(run_ms * DECLARED_FACTOR**exponent),
            'body': {'run_ms': run_ms, 'echo': request_id},
        }

    def _submit_gang(self, callers: _durable.DurableCallers) -> None:
        tasks = [
            self._task(f'gang-{number}') for number in range(GANG_TASKS_COUNT)
        ]
        team_id = messages.TeamId('engraving')
        callers.submit(team_id, _fleets.GANG, tasks, gang=True)
        self._print(f'{team_id} submitted a gang of {GANG_TASKS_COUNT}')

    def _lose_leader(self, cell: _cell.EmbeddedCell) -> None:
        lost = cell.lose_leader()
        began_s = time.monotonic()
        self._print(f'the leader {lost} is lost')
        leader = cell.leader()
        took_ms = 1000 * (time.monotonic() - began_s)
        self._print(f'{leader} leads after {took_ms:.0f} ms')

    def _finish(self, callers: _durable.DurableCallers) -> None:
        callers.collect(COLLECT_TIMEOUT_MS)
        callers.cancel_services()
        self._print('all ends were reported; closing the cell')

    def _wait(
        self, waiting: testing.Callers, began_s: float, portion: float
    ) -> None:
        """Wait until a portion of the length is over, showing progress."""
        end_s = began_s + portion * self._options.length_s
        while (left_s := end_s - time.monotonic()) > 0:
            time.sleep(min(left_s, PROGRESS_EVERY_MS / 1000))
            count = waiting.answered_count()
            self._print(f'{count} waiting calls were answered so far')

    def _print(self, text: str) -> None:
        self._show(f'{time.monotonic() - self._began_s:6.1f} s  {text}')
