"""A soak test of the platform programs under random faults.

Real processes serve callers while faults are injected from outside, one after
another or at the same time: processes are killed, frozen and stopped, disks
are lost, workers stop answering, restart, fail, or carry out orders late, and
operators change the configuration. Links to workers and gateways are delayed,
reset, cut in one direction or silenced. The faults are drawn from one seed.
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
from dandeliondrum.testing import _soak_checker

WORKERS_COUNT = 4
CAPACITY = messages.Resources(4_000, 100_000)
RUN_MS = 700
REPORT_EVERY_S = 1.0
OPEN_TIMEOUT_S = 40
# Once all faults are over, accepted jobs have to end within this time.
SETTLE_TIMEOUT_S = 60
FAULT_INTERVAL_S = (0.2, 1.5)
FAULT_DURATION_S = (0.2, 3.5)
FAULTS_AT_ONCE = 3
LINK_DELAY_MS = (20, 400)
# Longer than a soak, so that a stalled run has to be placed elsewhere.
STALL_MS = 600_000
ADVANCE_EVERY_S = 0.02


@dataclasses.dataclass(frozen=True)
class SoakOptions:
    """Options of a soak; faults are injected for ``length_s`` seconds.

    Without ``links`` there are no link faults, and a seed draws the same
    faults as before link faults were added.
    """

    seed: int
    length_s: float
    folder: pathlib.Path
    links: bool = True


@dataclasses.dataclass(frozen=True)
class SoakOutcome:
    """The result of a soak, which passed if there are no violations."""

    violations: tuple[str, ...]
    faults: tuple[str, ...]
    jobs_count: int
    accepted_count: int
    starts_count: int


def run_soak(options: SoakOptions) -> SoakOutcome:
    """Run one soak and return its result."""
    checker = _soak_checker.InvariantChecker()
    workers = [
        _soak_checker.CheckedWorker(
            f'i-{number}',
            CAPACITY,
            RUN_MS,
            checker,
            _platform_cell.LEASE_MAX_MS,
        )
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
        return _Soak(options, cell, workers, checker).run(resources)


class _Soak:
    def __init__(
        self,
        options: SoakOptions,
        cell: _platform_cell.PlatformCell,
        workers: list[_soak_checker.CheckedWorker],
        checker: _soak_checker.InvariantChecker,
    ) -> None:
        self._options = options
        self._cell = cell
        self._workers = workers
        self._checker = checker
        self._rng = random.Random(options.seed)
        self._stopping = threading.Event()
        self._callers = _soak_callers.SoakCallers(
            cell, checker, options.seed, self._stopping
        )
        self._faults: list[str] = []
        self._reserved_names: set[str] = set()
        self._lock = threading.Lock()

    def run(self, resources: contextlib.ExitStack) -> SoakOutcome:
        """Inject faults once the cell is ready; return what was observed.

        Accepted jobs have to end after the last fault.
        """
        executor = resources.enter_context(
            concurrent.futures.ThreadPoolExecutor(FAULTS_AT_ONCE + 8)
        )
        resources.callback(self._stopping.set)
        reporting = executor.submit(self._report_workers)
        advancing = executor.submit(self._advance_workers)
        if not self._wait_until_serving():
            self._checker.add_violation('the cell did not become ready')
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
        reporting.result()
        advancing.result()
        return self._outcome()

    def _outcome(self) -> SoakOutcome:
        return SoakOutcome(
            tuple(self._checker.violations),
            tuple(self._faults),
            self._callers.jobs_count(),
            self._callers.accepted_count(),
            self._checker.starts_count,
        )

    def _wait_until_serving(self) -> bool:
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
        """End due runs regularly, also on workers that receive no calls."""
        while not self._stopping.wait(ADVANCE_EVERY_S):
            for worker in self._workers:
                worker.running()

    def _inject_faults(
        self, executor: concurrent.futures.ThreadPoolExecutor
    ) -> None:
        end_s = time.monotonic() + self._options.length_s
        active: list[concurrent.futures.Future[None]] = []
        while time.monotonic() < end_s:
            active = [one for one in active if not one.done()]
            if len(active) < FAULTS_AT_ONCE:
                name, fault = self._random_fault()
                self._faults.append(name)
                active.append(executor.submit(fault))
            time.sleep(self._rng.uniform(*FAULT_INTERVAL_S))
        for one in active:
            one.result()

    def _random_fault(self) -> tuple[str, collections.abc.Callable[[], None]]:
        """Draw a fault; return its name and the function that applies it.

        The draw depends only on the random generator, not on the state of
        the cell.
        """
        rng = self._rng
        length_s = rng.uniform(*FAULT_DURATION_S)
        process = rng.choice(
            [*map(self._cell.controller, range(3)), 'g0', 'g1']
        )
        worker = rng.choice(self._workers)
        number = rng.randrange(3)
        faults: list[tuple[str, collections.abc.Callable[[], None]]] = [
            (f'kill {process}', lambda: self._kill(process, length_s)),
            (f'freeze {process}', lambda: self._freeze(process, length_s)),
            (f'stop {process}', lambda: self._stop(process)),
            (f'wipe {number}', lambda: self._lose_disk(number)),
            ('kill all controllers', self._kill_all),
            (
                f'silence {worker.facts.worker_id}',
                lambda: self._silence(worker, 2 * length_s),
            ),
            (f'restart {worker.facts.worker_id}', worker.restart),
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
                    lambda: self._stall_runs(worker, length_s),
                ),
                *self._link_faults(length_s),
            ]
        return rng.choice(faults)

    def _link_faults(
        self, length_s: float
    ) -> list[tuple[str, collections.abc.Callable[[], None]]]:
        """Draw a link and return the faults that can be applied to it."""
        name = self._rng.choice(sorted(self._cell.links))
        link = self._cell.links[name]
        delay_ms = self._rng.randint(*LINK_DELAY_MS)
        discard = _faults.Flow.DISCARD
        faults_by_name = {
            'delayed': _faults.Faults(delay_ms=delay_ms, jitter_ms=20),
            'cut off': _faults.CUT,
            'stalled': _faults.STALLED,
            'deaf': _faults.Faults(forward=discard),
            'mute': _faults.Faults(backward=discard),
        }
        faults: list[tuple[str, collections.abc.Callable[[], None]]] = [
            (
                f'link to {name} {description}',
                functools.partial(
                    self._apply_link_faults, name, faults, length_s
                ),
            )
            for description, faults in faults_by_name.items()
        ]
        faults.append((f'connections to {name} silenced', link.silence))
        return faults

    def _apply_link_faults(
        self, name: str, faults: _faults.Faults, length_s: float
    ) -> None:
        """Apply faults to a link for a while, unless it is already faulty."""
        with self._reserve(f'link {name}') as reserved:
            if reserved:
                self._cell.links[name].set(faults)
                time.sleep(length_s)
                self._cell.links[name].heal()

    def _stall_runs(
        self, worker: _soak_checker.CheckedWorker, length_s: float
    ) -> None:
        worker.stall_ms = STALL_MS
        time.sleep(length_s)
        worker.stall_ms = 0

    @contextlib.contextmanager
    def _reserve(self, *names: str) -> collections.abc.Iterator[bool]:
        """Reserve targets for one fault; yield whether all were available."""
        with self._lock:
            reserved = not self._reserved_names.intersection(names)
            if reserved:
                self._reserved_names.update(names)
        try:
            yield reserved
        finally:
            if reserved:
                with self._lock:
                    self._reserved_names.difference_update(names)

    def _kill(self, name: str, length_s: float) -> None:
        with self._reserve(name) as reserved:
            if reserved:
                self._cell.processes.kill(name)
                time.sleep(length_s)
                self._cell.processes.restart(name)

    def _freeze(self, name: str, length_s: float) -> None:
        with self._reserve(name) as reserved:
            if reserved:
                self._cell.processes.freeze(name)
                time.sleep(length_s)
                self._cell.processes.thaw(name)

    def _stop(self, name: str) -> None:
        with self._reserve(name) as reserved:
            if reserved:
                if self._cell.processes.stop(name) != 0:
                    self._checker.add_violation(
                        f'{name} did not exit with code 0'
                    )
                self._cell.processes.restart(name)

    def _lose_disk(self, number: int) -> None:
        """Lose one disk; protect the other controllers until it is refilled.

        With three controllers, the loss of a second disk in the meantime
        would exceed the fault tolerance of the cell.
        """
        names = [self._cell.controller(one) for one in range(3)]
        with self._reserve(*names) as reserved:
            if reserved:
                self._cell.processes.kill(names[number])
                self._cell.replace_disk(number)
                time.sleep(_soak_callers.CATCH_UP_S)

    def _kill_all(self) -> None:
        names = [self._cell.controller(number) for number in range(3)]
        with self._reserve(*names) as reserved:
            if reserved:
                for name in names:
                    self._cell.processes.kill(name)
                for name in names:
                    self._cell.processes.restart(name)

    def _silence(
        self, worker: _soak_checker.CheckedWorker, length_s: float
    ) -> None:
        worker.silent = True
        time.sleep(length_s)
        worker.silent = False

    def _delay_orders(
        self, worker: _soak_checker.CheckedWorker, length_s: float
    ) -> None:
        worker.delays_starts = True
        time.sleep(length_s)
        worker.delays_starts = False
        time.sleep(length_s)
        worker.carry_out_late_starts()

    def _fail(
        self, worker: _soak_checker.CheckedWorker, length_s: float
    ) -> None:
        worker.fails = True
        time.sleep(length_s)
        worker.fails = False


def describe(options: SoakOptions, outcome: SoakOutcome) -> str:
    """Return a summary line of a soak, followed by its violations."""
    summary = (
        f'seed {options.seed}: {len(outcome.violations)} violations, '
        f'{len(outcome.faults)} faults, {outcome.accepted_count} of '
        f'{outcome.jobs_count} jobs accepted, {outcome.starts_count} starts'
    )
    return '\n'.join([summary, *(f'  {one}' for one in outcome.violations)])
