"""A soak test of the platform programs under random faults.

Real processes serve callers while faults are injected from outside, one after
another or at the same time: processes are killed, frozen and stopped, disks
are lost, workers stop answering, restart, fail, or carry out orders late, and
operators change the configuration. Links to workers and gateways are delayed,
reset, cut in one direction or silenced. The faults are drawn from one seed.
Some jobs may crash the workers that start them, and the capacity of workers
may shrink for a while. Operators may evacuate failure domains, and clients
that nobody controls may press at a port. Starts may be disturbed by signals,
ports that are taken and settings that are written slowly. Between the faults,
the cell may be overloaded for a while.
"""

import concurrent.futures
import contextlib
import dataclasses
import math
import pathlib
import threading
import time
import traceback

from dandeliondrum import messages
from dandeliondrum.testing import _platform_cell
from dandeliondrum.testing import _processes
from dandeliondrum.testing import _soak_callers
from dandeliondrum.testing import _soak_checker
from dandeliondrum.testing import _soak_exits
from dandeliondrum.testing import _soak_faults
from dandeliondrum.testing import _soak_overload
from dandeliondrum.testing import _soak_reports
from dandeliondrum.testing import _soak_size

CAPACITY = messages.Resources(4_000, 100_000)
RUN_MS = 700
# How long runs take on every fourth worker of an uneven cell.
SLOW_RUN_MS = 1_540
# Longer than a soak, which queries all accepted jobs at its end.
JOB_STATE_KEPT_S = 900
OPEN_TIMEOUT_S = 40
OPEN_TIMEOUT_PER_PROCESS_S = 1
# Before an overload, the cell has to serve for this time without faults.
CALM_S = 4
# Once all faults are over, accepted jobs have to end within this time.
SETTLE_TIMEOUT_S = 60
ADVANCE_EVERY_S = 0.02
# Workers belong to these in turn if there are evacuations.
FAILURE_DOMAINS = ('d1', 'd2', 'd3')
EVENTS_FILE = 'events.log'
# Disturbed starts overlap with each other and with the other faults.
STARTS_AT_ONCE = 2


@dataclasses.dataclass(frozen=True)
class SoakOptions:
    """Options of a soak; faults are injected for ``length_s`` seconds.

    Without ``links`` there are no link faults, without ``series`` no series
    of faults, without ``shrinks`` no worker's capacity shrinks, without
    ``recuts`` no worker is cut off soon after it has started again, without
    ``evacuations`` no failure domain is evacuated, without ``crowds`` no
    clients press that nobody controls, and without ``overload_s`` there is no
    overload. A seed draws the same faults as before these were
    added if they are off. ``deadly_share`` is the share of jobs that crash
    the workers that start them. With ``uneven`` every fourth worker is slow.
    With ``power`` killed controllers lose what they have not synced. With
    ``starts`` starts of processes are disturbed.
    """

    seed: int
    length_s: float
    folder: pathlib.Path
    links: bool = True
    series: bool = False
    overload_s: float = 0
    shrinks: bool = False
    recuts: bool = False
    evacuations: bool = False
    crowds: bool = False
    deadly_share: float = 0
    uneven: bool = False
    power: bool = False
    starts: bool = False
    size: _soak_size.SoakSize = _soak_size.SIZES['small']


@dataclasses.dataclass(frozen=True)
class SoakOutcome:
    """The result of a soak, which passed if there are no violations."""

    violations: tuple[str, ...]
    faults: tuple[str, ...]
    jobs_count: int
    accepted_count: int
    starts_count: int
    crashes_count: int
    overload: _soak_overload.OverloadFigures | None
    exits: _soak_exits.ExitFigures


def run_soak(options: SoakOptions) -> SoakOutcome:
    """Run one soak and return its result."""
    checker = _soak_checker.InvariantChecker()
    workers = [
        _soak_checker.CheckedWorker(
            f'i-{number}',
            CAPACITY,
            SLOW_RUN_MS if options.uneven and number % 4 == 0 else RUN_MS,
            checker,
            _platform_cell.LEASE_MAX_MS,
        )
        for number in range(options.size.workers_count)
    ]
    if options.evacuations:
        for position, worker in enumerate(workers):
            domain = FAILURE_DOMAINS[position % len(FAILURE_DOMAINS)]
            worker.facts = dataclasses.replace(
                worker.facts, failure_domain=messages.FailureDomain(domain)
            )
    with contextlib.ExitStack() as resources:
        processes = resources.enter_context(
            _processes.Processes(options.folder)
        )
        cell = resources.enter_context(
            _platform_cell.PlatformCell(
                options.folder,
                processes,
                list(workers),
                gateways_count=options.size.gateways_count,
                links_count=options.size.links_count if options.links else 0,
                controllers_count=options.size.controllers_count,
                job_state_kept_s=JOB_STATE_KEPT_S,
                failure_domains=FAILURE_DOMAINS if options.evacuations else (),
                loses_power=options.power,
            )
        )
        # Servers close at once when nobody is connected to them any more.
        resources.callback(processes.kill_all)
        try:
            return _Soak(options, cell, workers, checker).run(resources)
        except Exception:
            checker.log(traceback.format_exc())
            raise
        finally:
            path = options.folder / EVENTS_FILE
            path.write_text('\n'.join(checker.events))


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
        self._stopping = threading.Event()
        self._exits = _soak_exits.ExitChecker(
            cell.processes,
            checker,
            # Controllers that lose power import other modules first.
            math.inf if options.power else _soak_exits.HANDLERS_CPU_MS_MAX,
            options.size.processes_count,
        )
        self._callers = _soak_callers.SoakCallers(
            cell,
            checker,
            options.seed,
            self._stopping,
            options.deadly_share,
        )
        self._reporter = _soak_reports.WorkerReporter(
            cell, self._stopping, checker.reported
        )
        self._faults = _soak_faults.FaultInjector(
            cell,
            workers,
            checker,
            options.seed,
            options.size.faults_at_once
            + (STARTS_AT_ONCE if options.starts else 0),
            options.links,
            options.series,
            options.shrinks,
            options.recuts,
            options.evacuations,
            options.crowds,
            options.power,
            self._exits if options.starts else None,
        )
        self._overload: _soak_overload.OverloadFigures | None = None

    def run(self, resources: contextlib.ExitStack) -> SoakOutcome:
        """Inject faults once the cell is ready; return what was observed.

        Accepted jobs have to end after the last fault.
        """
        size = self._options.size
        executor = resources.enter_context(
            concurrent.futures.ThreadPoolExecutor(
                size.faults_at_once
                + size.callers_count
                + size.workers_count
                + 3
                + STARTS_AT_ONCE
            )
        )
        resources.callback(self._callers.stop)
        resources.callback(self._stopping.set)
        background = [
            executor.submit(self._advance_workers),
            executor.submit(self._exits.run, self._stopping),
            *(
                executor.submit(self._reporter.run, number)
                for number in range(size.workers_count)
            ),
        ]
        if not self._wait_until_serving():
            self._checker.add_violation('the cell did not become ready')
            return self._outcome()
        calls = [
            executor.submit(self._callers.change_documents),
            *(
                executor.submit(self._callers.submit_jobs, number)
                for number in range(size.callers_count)
            ),
        ]
        self._disturb(executor)
        self._callers.stop()
        for call in calls:
            call.result()
        self._callers.settle(SETTLE_TIMEOUT_S)
        self._stopping.set()
        for task in background:
            task.result()
        self._exits.look()
        self._exits.check_logs(self._options.folder)
        return self._outcome()

    def _disturb(
        self, executor: concurrent.futures.ThreadPoolExecutor
    ) -> None:
        """Inject faults, with an overload half-way if there is to be one."""
        options = self._options
        if not options.overload_s:
            self._faults.inject(executor, options.length_s)
            return
        self._faults.inject(executor, options.length_s / 2)
        if not self._wait_until_serving():
            self._checker.add_violation('the cell did not serve again')
            return
        time.sleep(CALM_S)
        self._overload = _soak_overload.Overload(
            self._cell,
            self._checker,
            self._callers,
            self._reporter,
            options.seed,
        ).run(options.size.overload_callers_count, options.overload_s)
        for violation in _soak_overload.check_overload(self._overload):
            self._checker.add_violation(violation)
        self._faults.inject(executor, options.length_s / 2)

    def _outcome(self) -> SoakOutcome:
        return SoakOutcome(
            tuple(self._checker.violations),
            tuple(self._faults.names),
            self._checker.jobs_count(),
            self._callers.accepted_count(),
            self._checker.starts_count,
            self._checker.crashes_count,
            self._overload,
            self._exits.figures(),
        )

    def _wait_until_serving(self) -> bool:
        processes_count = self._options.size.processes_count
        end_s = (
            time.monotonic()
            + OPEN_TIMEOUT_S
            + OPEN_TIMEOUT_PER_PROCESS_S * processes_count
        )
        gateways = range(len(self._cell.callers))
        while time.monotonic() < end_s:
            if self._callers.send_document() == 200:
                if all(self._cell.ready(number) for number in gateways):
                    return True
            time.sleep(0.2)
        return False

    def _advance_workers(self) -> None:
        """End due runs regularly, also on workers that receive no calls."""
        while not self._stopping.wait(ADVANCE_EVERY_S):
            for worker in self._workers:
                worker.running()


def describe(options: SoakOptions, outcome: SoakOutcome) -> str:
    """Return a summary line of a soak, followed by its violations."""
    summary = (
        f'seed {options.seed}: {len(outcome.violations)} violations, '
        f'{len(outcome.faults)} faults, {outcome.accepted_count} of '
        f'{outcome.jobs_count} jobs accepted, {outcome.starts_count} starts, '
        f'{outcome.crashes_count} crashes and restarts of workers'
    )
    exits = outcome.exits
    lines = [summary, *(f'  {one}' for one in outcome.violations)]
    if exits.handlers_count:
        lines.append(
            f'  {exits.launches_count} launches, {exits.killed_count} killed, '
            f'{exits.stopped_count} stopped, {exits.hang_ups_count} SIGHUPs; '
            'handlers after min, median, max '
            f'{exits.handlers_ms} ms of {exits.handlers_count} launches'
        )
    if outcome.overload is not None:
        lines.append(f'  {outcome.overload}')
    return '\n'.join(lines)
