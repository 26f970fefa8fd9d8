"""A randomized fault soak of the platform's programs.

Real processes serve callers while faults are injected from outside of them,
in series and overlapping: processes are killed, frozen and stopped, disks are
lost, workers fall silent, start again, fail, or carry out orders late, and
operators change the configuration. Links to workers and gateways are delayed,
reset, cut in one direction or silenced. Everything is drawn from one seed.
"""

import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import functools
import pathlib
import random
import threading
import time

from dandeliondrum import messages
from dandeliondrum.testing import _faults
from dandeliondrum.testing import _platform_cell
from dandeliondrum.testing import _processes
from dandeliondrum.testing import _soak_callers
from dandeliondrum.testing import _soak_judge

WORKERS_COUNT = 4
CAPACITY = messages.Resources(4_000, 100_000)
RUN_MS = 700
REPORT_EVERY_S = 1.0
OPEN_TIMEOUT_S = 40
# All faults are over by then; jobs that were accepted end within this time.
SETTLE_TIMEOUT_S = 60
FAULT_GAP_S = (0.2, 1.5)
FAULT_LENGTH_S = (0.2, 3.5)
FAULTS_AT_ONCE = 3
LINK_DELAY_MS = (20, 400)
# Longer than a soak: what stands still has to be placed elsewhere.
STALL_MS = 600_000
ADVANCE_EVERY_S = 0.02


@dataclasses.dataclass(frozen=True)
class SoakOptions:
    """The seed, and for how long faults are injected.

    Without ``links`` the faults of links are left out, and those that a seed
    draws are the ones that it drew before there were any.
    """

    seed: int
    length_s: float
    folder: pathlib.Path
    links: bool = True


@dataclasses.dataclass(frozen=True)
class SoakOutcome:
    """What came of a soak; it passed when there are no violations."""

    violations: tuple[str, ...]
    faults: tuple[str, ...]
    jobs_count: int
    accepted_count: int
    starts_count: int


def run_soak(options: SoakOptions) -> SoakOutcome:
    """Run one soak and return what was seen."""
    judge = _soak_judge.Judge()
    workers = [
        _soak_judge.JudgedWorker(f'i-{number}', CAPACITY, RUN_MS, judge)
        for number in range(WORKERS_COUNT)
    ]
    with contextlib.ExitStack() as resources:
        processes = resources.enter_context(
            _processes.Processes(options.folder)
        )
        cell = resources.enter_context(
            _platform_cell.PlatformCell(
                options.folder,
                processes,
                list(workers),
                gateways_count=2,
                proxied=options.links,
            )
        )
        return _Soak(options, cell, workers, judge).run(resources)


class _Soak:
    def __init__(
        self,
        options: SoakOptions,
        cell: _platform_cell.PlatformCell,
        workers: list[_soak_judge.JudgedWorker],
        judge: _soak_judge.Judge,
    ) -> None:
        self._options = options
        self._cell = cell
        self._workers = workers
        self._judge = judge
        self._chance = random.Random(options.seed)
        self._stopping = threading.Event()
        self._callers = _soak_callers.SoakCallers(
            cell, judge, options.seed, self._stopping
        )
        self._faults: list[str] = []
        self._busy: set[str] = set()
        self._lock = threading.Lock()

    def run(self, resources: contextlib.ExitStack) -> SoakOutcome:
        """Open the cell, inject faults, let it settle, and judge."""
        executor = resources.enter_context(
            concurrent.futures.ThreadPoolExecutor(FAULTS_AT_ONCE + 8)
        )
        resources.callback(self._stopping.set)
        reports = executor.submit(self._report_workers)
        clock = executor.submit(self._advance_workers)
        if not self._open():
            self._judge.add('the cell did not begin to serve')
            return self._outcome()
        calls = [
            executor.submit(task)
            for task in (
                self._callers.submit_jobs,
                self._callers.submit_jobs,
                self._callers.change_documents,
            )
        ]
        self._inject_faults(executor)
        self._callers.stop()
        for call in calls:
            call.result()
        self._callers.settle(SETTLE_TIMEOUT_S)
        self._stopping.set()
        reports.result()
        clock.result()
        return self._outcome()

    def _outcome(self) -> SoakOutcome:
        return SoakOutcome(
            tuple(self._judge.violations),
            tuple(self._faults),
            self._callers.jobs_count(),
            self._callers.accepted_count(),
            self._judge.starts_count,
        )

    def _open(self) -> bool:
        end_s = time.monotonic() + OPEN_TIMEOUT_S
        while time.monotonic() < end_s:
            if self._callers.send_document() == 200:
                if self._cell.ready(0) and self._cell.ready(1):
                    return True
            time.sleep(0.2)
        return False

    def _report_workers(self) -> None:
        while not self._stopping.wait(REPORT_EVERY_S):
            for position, worker in enumerate(self._cell.workers):
                if worker.worker.silent:
                    continue
                for offset in range(len(self._cell.control)):
                    number = (position + offset) % len(self._cell.control)
                    if self._cell.report(worker, number) == 200:
                        break

    def _advance_workers(self) -> None:
        """Let runs end when they are due, also where no call arrives."""
        while not self._stopping.wait(ADVANCE_EVERY_S):
            for worker in self._workers:
                worker.running()

    def _inject_faults(
        self, executor: concurrent.futures.ThreadPoolExecutor
    ) -> None:
        end_s = time.monotonic() + self._options.length_s
        under_way: list[concurrent.futures.Future[None]] = []
        while time.monotonic() < end_s:
            under_way = [one for one in under_way if not one.done()]
            if len(under_way) < FAULTS_AT_ONCE:
                name, fault = self._draw()
                self._faults.append(name)
                under_way.append(executor.submit(fault))
            time.sleep(self._chance.uniform(*FAULT_GAP_S))
        for one in under_way:
            one.result()

    def _draw(self) -> tuple[str, collections.abc.Callable[[], None]]:
        """Draw a fault and what it strikes; the seed alone decides."""
        chance = self._chance
        length_s = chance.uniform(*FAULT_LENGTH_S)
        process = chance.choice(
            [*map(self._cell.controller, range(3)), 'g0', 'g1']
        )
        worker = chance.choice(self._workers)
        number = chance.randrange(3)
        faults: list[tuple[str, collections.abc.Callable[[], None]]] = [
            (f'kill {process}', lambda: self._kill(process, length_s)),
            (f'freeze {process}', lambda: self._freeze(process, length_s)),
            (f'stop {process}', lambda: self._stop(process)),
            (f'wipe {number}', lambda: self._wipe(number)),
            ('kill all controllers', self._kill_all),
            (
                f'silence {worker.facts.worker_id}',
                lambda: self._silence(worker, 2 * length_s),
            ),
            (f'restart {worker.facts.worker_id}', worker.start_again),
            (
                f'late orders to {worker.facts.worker_id}',
                lambda: self._delay_orders(worker, length_s),
            ),
            (
                f'failing {worker.facts.worker_id}',
                lambda: self._fail(worker, length_s),
            ),
        ]
        if self._options.links:
            faults += [
                (
                    f'standing still {worker.facts.worker_id}',
                    lambda: self._stall(worker, length_s),
                ),
                *self._link_faults(length_s),
            ]
        return chance.choice(faults)

    def _link_faults(
        self, length_s: float
    ) -> list[tuple[str, collections.abc.Callable[[], None]]]:
        """Return the faults of a link that is drawn here."""
        name = self._chance.choice(sorted(self._cell.links))
        link = self._cell.links[name]
        delay_ms = self._chance.randint(*LINK_DELAY_MS)
        swallow = _faults.Flow.SWALLOW
        shapes = {
            'delayed': _faults.Faults(delay_ms=delay_ms, jitter_ms=20),
            'cut off': _faults.CUT,
            'stalled': _faults.STALLED,
            'deaf': _faults.Faults(forward=swallow),
            'mute': _faults.Faults(backward=swallow),
        }
        faults: list[tuple[str, collections.abc.Callable[[], None]]] = [
            (
                f'link to {name} {what}',
                functools.partial(self._harm, name, faults, length_s),
            )
            for what, faults in shapes.items()
        ]
        faults.append((f'connections to {name} silenced', link.silence))
        return faults

    def _harm(
        self, name: str, faults: _faults.Faults, length_s: float
    ) -> None:
        """Harm a link for a while; no other fault has it meanwhile."""
        with self._alone(f'link {name}') as free:
            if free:
                self._cell.links[name].set(faults)
                time.sleep(length_s)
                self._cell.links[name].heal()

    def _stall(
        self, worker: _soak_judge.JudgedWorker, length_s: float
    ) -> None:
        worker.stalls_ms = STALL_MS
        time.sleep(length_s)
        worker.stalls_ms = 0

    @contextlib.contextmanager
    def _alone(self, *names: str) -> collections.abc.Iterator[bool]:
        """Strike processes that no other fault has; return whether it may."""
        with self._lock:
            free = not self._busy.intersection(names)
            if free:
                self._busy.update(names)
        try:
            yield free
        finally:
            if free:
                with self._lock:
                    self._busy.difference_update(names)

    def _kill(self, name: str, length_s: float) -> None:
        with self._alone(name) as free:
            if free:
                self._cell.processes.kill(name)
                time.sleep(length_s)
                self._cell.processes.restart(name)

    def _freeze(self, name: str, length_s: float) -> None:
        with self._alone(name) as free:
            if free:
                self._cell.processes.freeze(name)
                time.sleep(length_s)
                self._cell.processes.thaw(name)

    def _stop(self, name: str) -> None:
        with self._alone(name) as free:
            if free:
                if self._cell.processes.stop(name) != 0:
                    self._judge.add(f'{name} did not end with 0')
                self._cell.processes.restart(name)

    def _wipe(self, number: int) -> None:
        """Lose one disk; the others stay up until it is filled again.

        With three controllers a second lost disk would be beyond what the
        cell promises to bear.
        """
        names = [self._cell.controller(one) for one in range(3)]
        with self._alone(*names) as free:
            if free:
                self._cell.processes.kill(names[number])
                self._cell.replace_disk(number)
                time.sleep(_soak_callers.CATCH_UP_S)

    def _kill_all(self) -> None:
        names = [self._cell.controller(number) for number in range(3)]
        with self._alone(*names) as free:
            if free:
                for name in names:
                    self._cell.processes.kill(name)
                for name in names:
                    self._cell.processes.restart(name)

    def _silence(
        self, worker: _soak_judge.JudgedWorker, length_s: float
    ) -> None:
        worker.silent = True
        time.sleep(length_s)
        worker.silent = False

    def _delay_orders(
        self, worker: _soak_judge.JudgedWorker, length_s: float
    ) -> None:
        worker.makes_starts_late = True
        time.sleep(length_s)
        worker.makes_starts_late = False
        time.sleep(length_s)
        worker.carry_out_late_starts()

    def _fail(self, worker: _soak_judge.JudgedWorker, length_s: float) -> None:
        worker.fails = True
        time.sleep(length_s)
        worker.fails = False


def describe(options: SoakOptions, outcome: SoakOutcome) -> str:
    """Return a soak's outcome in a line, and its violations."""
    head = (
        f'seed {options.seed}: {len(outcome.violations)} violations, '
        f'{len(outcome.faults)} faults, {outcome.accepted_count} of '
        f'{outcome.jobs_count} jobs accepted, {outcome.starts_count} starts'
    )
    return '\n'.join([head, *(f'  {one}' for one in outcome.violations)])
