"""The faults of a soak, drawn from its seed and injected from outside."""

import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import functools
import random
import threading
import time

from dandeliondrum.testing import _faults
from dandeliondrum.testing import _platform_cell
from dandeliondrum.testing import _processes
from dandeliondrum.testing import _soak_callers
from dandeliondrum.testing import _soak_checker
from dandeliondrum.testing import _soak_crowds
from dandeliondrum.testing import _soak_exits
from dandeliondrum.testing import _soak_starts

FAULT_INTERVAL_S = (0.2, 1.5)
FAULT_DURATION_S = (0.2, 3.5)
LINK_DELAY_MS = (20, 400)
# Longer than a soak, so that a stalled run has to be placed elsewhere.
STALL_MS = 600_000
POLL_S = 0.02
# Number of faults in a series, and the time from one to the next.
SERIES_COUNT = (2, 5)
SERIES_INTERVAL_S = (0.0, 0.6)
# A shrunken worker still has room for each task.
SHRUNKEN_CPU = _soak_callers.TASK_CPU[1]
SHRINKAGE_SHARE = 0.2
# Often longer than starts may still use what was there before.
SHRINKAGE_DURATION_S = (1.0, 10.0)
# How long a loss of power waits for a write that has not been synced.
CUT_AIM_S = 0.5
RECUT_SHARE = 0.25
EVACUATION_SHARE = 0.2
CROWD_SHARE = 0.3
STARTS_SHARE = 0.75
# Longer than EVACUATION_GRACE_S of the checker, so that it is checked.
EVACUATION_DURATION_S = (6.0, 15.0)
# Operators send an order again after this time without an answer, at most for
# ORDER_ACK_S.
ORDER_TIMEOUT_MS = 1_000
ORDER_ACK_S = 6.0
# How long runs last on a worker that is cut off after its restart, for how
# long it runs before, is down, is back, and is cut off.
RECUT_RUN_MS = 9_000
RECUT_BEFORE_S = (0.5, 2.0)
RECUT_DOWN_S = (0.3, 1.0)
RECUT_BACK_S = (0.05, 0.7)
RECUT_CUT_S = (5.0, 9.0)

Fault = tuple[str, collections.abc.Callable[[], None]]


class FaultInjector:
    """Draws faults and applies them to a cell, several at a time.

    The faults and the times between them depend only on the seed, not on the
    state of the cell. Without ``links`` there are no link faults, with
    ``series`` there are also series of faults, with ``shrinks`` workers that
    shrink, and with ``recuts`` workers that are cut off soon after they have
    started again, with calls to their former incarnations, and with
    ``evacuations`` operators evacuate failure domains for a while, and with
    ``crowds`` clients that nobody controls press at a port; a seed draws the
    same faults as before these were added if they are off. With ``power``
    killed controllers lose what they have not synced. With ``starts`` starts
    of processes are disturbed.
    """

    def __init__(
        self,
        cell: _platform_cell.PlatformCell,
        workers: list[_soak_checker.CheckedWorker],
        checker: _soak_checker.InvariantChecker,
        seed: int,
        faults_at_once: int,
        links: bool = True,
        series: bool = False,
        shrinks: bool = False,
        recuts: bool = False,
        evacuations: bool = False,
        crowds: bool = False,
        power: bool = False,
        starts: _soak_exits.ExitChecker | None = None,
    ) -> None:
        self._cell = cell
        self._workers = workers
        self._checker = checker
        self._rng = random.Random(seed)
        self._faults_at_once = faults_at_once
        self._links = links
        self._series = series
        self._shrinks = shrinks
        self._recuts = recuts
        self._evacuations = evacuations
        self._crowds = crowds
        self._power_rng = random.Random(f'{seed} power') if power else None
        self.names: list[str] = []
        self._reserved_names: set[str] = set()
        self._lock = threading.Lock()
        self._starts = (
            None
            if starts is None
            else _soak_starts.DisturbedStarts(
                cell, checker, starts, self._reserve, self._end, not power
            )
        )

    def inject(
        self, executor: concurrent.futures.ThreadPoolExecutor, length_s: float
    ) -> None:
        """Inject faults for a time, and wait until all of them are over."""
        end_s = time.monotonic() + length_s
        active: list[concurrent.futures.Future[None]] = []
        while time.monotonic() < end_s:
            active = [one for one in active if not one.done()]
            if len(active) >= self._faults_at_once:
                time.sleep(POLL_S)
                continue
            (name, fault), pause_s = self.draw()
            self.names.append(name)
            active.append(executor.submit(self._apply, name, fault))
            time.sleep(pause_s)
        for one in active:
            one.result()

    def _apply(
        self, name: str, fault: collections.abc.Callable[[], None]
    ) -> None:
        """Apply a fault; a process that does not obey is a violation."""
        self._checker.log(f'begin of fault: {name}')
        try:
            fault()
        except _processes.ProcessError as error:
            self._checker.add_violation(str(error))
        self._checker.log(f'end of fault: {name}')

    def draw(self) -> tuple[Fault, float]:
        """Draw the next fault and the time until the one after it."""
        if self._starts is not None and self._rng.random() < STARTS_SHARE:
            fault = self._starts.draw(self._rng)
        elif self._shrinks and self._rng.random() < SHRINKAGE_SHARE:
            fault = self._draw_shrinkage()
        elif self._recuts and self._rng.random() < RECUT_SHARE:
            fault = self._draw_recut()
        elif self._evacuations and self._rng.random() < EVACUATION_SHARE:
            fault = self._draw_evacuation()
        elif self._crowds and self._rng.random() < CROWD_SHARE:
            fault = self._draw_crowd()
        elif self._series and self._rng.random() < 0.3:
            fault = self._draw_series()
        else:
            fault = self._draw_fault()
        return fault, self._rng.uniform(*FAULT_INTERVAL_S)

    def _draw_shrinkage(self) -> Fault:
        worker = self._rng.choice(self._workers)
        length_s = self._rng.uniform(*SHRINKAGE_DURATION_S)
        name = f'shrunken {worker.ids[0]}'
        return name, functools.partial(self._shrink, worker, length_s)

    def _draw_recut(self) -> Fault:
        worker = self._rng.choice(self._workers)
        times_s = [
            self._rng.uniform(*limits)
            for limits in (
                RECUT_BEFORE_S,
                RECUT_DOWN_S,
                RECUT_BACK_S,
                RECUT_CUT_S,
            )
        ]
        name = f'cut off after restart {worker.ids[0]}'
        return name, functools.partial(self._cut_again, worker, *times_s)

    def _draw_evacuation(self) -> Fault:
        domain = self._rng.choice(self._cell.failure_domains)
        length_s = self._rng.uniform(*EVACUATION_DURATION_S)
        name = f'evacuated {domain}'
        return name, functools.partial(self._evacuate, domain, length_s)

    def _draw_crowd(self) -> Fault:
        doors = [*self._cell.callers, *self._cell.control]
        address = self._rng.choice(doors)
        length_s = self._rng.uniform(*FAULT_DURATION_S)
        seed = self._rng.getrandbits(32)
        return f'crowd at {address}', functools.partial(
            _soak_crowds.press, address, seed, length_s
        )

    def _draw_series(self) -> Fault:
        """Draw faults of one kind that begin shortly one after another."""
        rng = self._rng
        kind = rng.choice(['kill', 'freeze', 'stop', 'restart'])
        names = (
            [one.ids[0] for one in self._workers]
            if kind == 'restart'
            else self._process_names()
        )
        count = min(len(names), rng.randint(*SERIES_COUNT))
        steps: list[tuple[collections.abc.Callable[[], None], float]] = []
        # Workers restart several times in a row, too.
        chosen = (
            rng.choices(names, k=count)
            if kind == 'restart'
            else rng.sample(names, count)
        )
        for name in chosen:
            length_s = rng.uniform(*FAULT_DURATION_S)
            pause_s = rng.uniform(*SERIES_INTERVAL_S)
            steps.append((self._step(kind, name, length_s), pause_s))
        return f'{kind} {", ".join(chosen)}', lambda: _run_series(steps)

    def _step(
        self, kind: str, name: str, length_s: float
    ) -> collections.abc.Callable[[], None]:
        match kind:
            case 'kill':
                return functools.partial(self._kill, name, length_s)
            case 'freeze':
                return functools.partial(self._freeze, name, length_s)
            case 'stop':
                return functools.partial(self._stop, name)
        return next(one.restart for one in self._workers if one.ids[0] == name)

    def _controller_names(self) -> list[str]:
        return [
            self._cell.controller(number)
            for number in range(len(self._cell.control))
        ]

    def _process_names(self) -> list[str]:
        gateways = [f'g{number}' for number in range(len(self._cell.callers))]
        return [*self._controller_names(), *gateways]

    def _draw_fault(self) -> Fault:
        rng = self._rng
        length_s = rng.uniform(*FAULT_DURATION_S)
        process = rng.choice(self._process_names())
        worker = rng.choice(self._workers)
        number = rng.randrange(len(self._cell.control))
        faults: list[Fault] = [
            (f'kill {process}', lambda: self._kill(process, length_s)),
            (f'freeze {process}', lambda: self._freeze(process, length_s)),
            (f'stop {process}', lambda: self._stop(process)),
            (f'wipe {number}', lambda: self._lose_disk(number)),
            ('kill all controllers', self._kill_all),
            (
                f'silence {worker.ids[0]}',
                lambda: self._silence(worker, 2 * length_s),
            ),
            (f'restart {worker.ids[0]}', worker.restart),
            (
                f'late orders to {worker.ids[0]}',
                lambda: self._delay_orders(worker, length_s),
            ),
            (
                f'failing {worker.ids[0]}',
                lambda: self._fail(worker, length_s),
            ),
        ]
        if self._links:
            faults += [
                (
                    f'standing still {worker.ids[0]}',
                    lambda: self._stall_runs(worker, length_s),
                ),
                *self._link_faults(length_s),
            ]
        return rng.choice(faults)

    def _link_faults(self, length_s: float) -> list[Fault]:
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
        faults: list[Fault] = [
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

    def _shrink(
        self, worker: _soak_checker.CheckedWorker, length_s: float
    ) -> None:
        """Shrink a worker for a while, unless it is already shrunken."""
        with self._reserve(f'capacity {worker.ids[0]}') as reserved:
            if reserved:
                full_cpu = worker.facts.capacity.cpu_millicores
                _set_cpu(worker, SHRUNKEN_CPU)
                time.sleep(length_s)
                _set_cpu(worker, full_cpu)

    def _cut_again(
        self,
        worker: _soak_checker.CheckedWorker,
        before_s: float,
        down_s: float,
        back_s: float,
        cut_s: float,
    ) -> None:
        """Start a worker again and cut it off soon after, as it runs on."""
        with self._reserve(f'outage {worker.ids[0]}') as reserved:
            if not reserved:
                return
            run_ms, worker.run_ms = worker.run_ms, RECUT_RUN_MS
            time.sleep(before_s)
            worker.go_dark()
            time.sleep(down_s)
            worker.come_back()
            time.sleep(back_s)
            worker.run_ms = run_ms
            self._silence(worker, cut_s)

    def _evacuate(self, domain: str, length_s: float) -> None:
        """Evacuate a domain for a while, unless it is evacuated already."""
        with self._reserve(f'domain {domain}') as reserved:
            if not reserved:
                return
            if self._order(domain, True):
                self._checker.evacuated(domain)
                time.sleep(length_s)
            # The order is revoked from its first sending on.
            self._checker.restored(domain)
            while not self._order(domain, False):
                self._checker.log(f'{domain} is not restored yet')

    def _order(self, domain: str, evacuated: bool) -> bool:
        """Send an order until it is acknowledged; return whether it was.

        It is sent to one controller after another.
        """
        end_s = time.monotonic() + ORDER_ACK_S
        number = 0
        while time.monotonic() < end_s:
            status = self._cell.change_domain(
                domain,
                evacuated,
                number % len(self._cell.control),
                ORDER_TIMEOUT_MS,
            )
            if status == 200:
                return True
            if 400 <= status < 500:
                self._checker.add_violation(
                    f'an order about {domain} was refused with {status}'
                )
            number += 1
            time.sleep(POLL_S)
        return False

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
                self._end(name)
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
        names = self._controller_names()
        with self._reserve(*names) as reserved:
            if reserved:
                self._cell.processes.kill(names[number])
                self._cell.replace_disk(number)
                time.sleep(_soak_callers.CATCH_UP_S)

    def _kill_all(self) -> None:
        names = self._controller_names()
        with self._reserve(*names) as reserved:
            if reserved:
                for name in names:
                    self._end(name)
                for name in names:
                    self._cell.processes.restart(name)

    def _end(self, name: str) -> None:
        """Kill a process; a controller may lose what it has not synced."""
        names = self._controller_names()
        if self._power_rng is None or name not in names:
            self._cell.processes.kill(name)
            return
        number = names.index(name)
        self._cell.processes.life(name).may_be_killed = True
        self._cell.aim(number, 1)
        end_s = time.monotonic() + CUT_AIM_S
        while (
            self._cell.processes.is_running(name) and time.monotonic() < end_s
        ):
            time.sleep(POLL_S)
        self._cell.processes.kill(name)
        with self._lock:
            unsynced = self._cell.lose_power(number, self._power_rng)
        self._checker.log(f'{name} lost power: {unsynced}')

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


def _set_cpu(worker: _soak_checker.CheckedWorker, cpu_millicores: int) -> None:
    with worker.lock:
        capacity = dataclasses.replace(
            worker.facts.capacity, cpu_millicores=cpu_millicores
        )
        worker.facts = dataclasses.replace(worker.facts, capacity=capacity)


def _run_series(
    steps: list[tuple[collections.abc.Callable[[], None], float]],
) -> None:
    """Begin each step a while after the last one, which may go on."""
    with concurrent.futures.ThreadPoolExecutor(len(steps)) as executor:
        running = []
        for step, pause_s in steps:
            running.append(executor.submit(step))
            time.sleep(pause_s)
        for one in running:
            one.result()
