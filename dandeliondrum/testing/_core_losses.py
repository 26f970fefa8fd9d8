"""Losses of controllers, and what is left after the last one.

Real controllers lose power, their disks or their VMs, several at a time, but
never more than the cell is meant to bear. After the last fault, the
configuration that was acknowledged before must be readable, and another one
must be acknowledged. A VM also counts as lost for a while after its start;
its slot is that of the VM which it replaces.

With a seed for losses of power, controllers also lose what they had not synced
(see ``_power_loss``), while documents are sent all the time. No controller may
refuse what is left on its disk.
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
from dandeliondrum.testing import _losses_admission
from dandeliondrum.testing import _losses_power
from dandeliondrum.testing import _losses_schedule
from dandeliondrum.testing import _platform_cell
from dandeliondrum.testing import _processes

CONTROLLERS_COUNT = 5
REGIONS = ('sattahip', 'phuket', 'songkhla')
RECOVERY_S = 12.0
# How long a cell that has not recovered is watched.
WATCH_S = 30.0
OPEN_TIMEOUT_S = 40.0
CALL_TIMEOUT_MS = 1_500
POLL_S = 0.05
KILLED_S = 0.3
SUCCESSOR_S = 1.0
STOPPED_S = 0.1
WORKERS_COUNT = 2
CAPACITY = messages.Resources(1_000, 100_000)
# With losses of power: callers at once that send documents, and how many
# queues make these longer than a block of the disk.
CALLERS_COUNT = 4
ROUTES_COUNT = 12
CALLER_PAUSE_S = 0.02
REFUSALS = ('not started', 'log damaged')


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The result of a run, which passed if there are no violations.

    ``recovered_s`` tells how long after the last return of a controller the
    document was ``readable``, the next one acknowledged (``changed``), and the
    gateway ``ready``; None for never.
    """

    violations: tuple[str, ...]
    events: tuple[str, ...]
    recovered_s: dict[str, float | None]
    admissions: tuple[_losses_admission.Admission, ...]


class CoreLosses:
    """Carries out a schedule on a cell, and checks what is left."""

    def __init__(
        self,
        cell: _platform_cell.PlatformCell,
        processes: _processes.Processes,
        schedule: _losses_schedule.Schedule,
        power_seed: int | None = None,
    ) -> None:
        self._cell = cell
        self._processes = processes
        self._schedule = schedule
        self._loses_power = power_seed is not None
        self._cuts = _losses_power.PowerCuts(
            cell, processes, power_seed or 0, self._note, self._violate
        )
        self._slots = _losses_schedule.Slots(
            range(CONTROLLERS_COUNT), _losses_schedule.LOSSES_MAX
        )
        self._seeds = list(range(_platform_cell.SEEDS_COUNT))
        self._launches: list[_losses_admission.Launch] = []
        self._violations: list[str] = []
        self._events: list[str] = []
        self._began_s = time.monotonic()
        # Protects the versions.
        self._lock = threading.Lock()
        self._version = 0
        self._acknowledged = 0
        self._attempts_count = 0
        # Until a document is read back, no newer one may hide its loss.
        self._may_send = threading.Event()
        self._may_send.set()

    def run(self) -> Outcome:
        """Run the schedule; return what was seen."""
        recovered_s: dict[str, float | None] = {}
        if not self._acknowledge(OPEN_TIMEOUT_S):
            self._violate('the cell did not start')
        else:
            # The founding is over when all that may join have joined.
            time.sleep(_losses_schedule.CATCH_UP_S)
            with self._documents_sent():
                self._apply_all()
                recovered_s = self._apply_last()
        self._check_processes()
        self._check_logs()
        return Outcome(
            tuple(self._violations),
            tuple(self._events),
            recovered_s,
            tuple(self._admissions()),
        )

    def _apply_all(self) -> None:
        faults = self._schedule.faults
        with concurrent.futures.ThreadPoolExecutor(len(faults) + 1) as pool:
            begun = []
            for fault in faults:
                begun.append(pool.submit(self._begin(fault)))
                time.sleep(fault.pause_s)
            for one in begun:
                one.result()

    def _begin(
        self, fault: _losses_schedule.Fault
    ) -> collections.abc.Callable[[], None]:
        """Return what carries out a fault, once it may begin."""
        match fault.kind:
            case _losses_schedule.Kind.NEW_SEEDS:
                return functools.partial(self._change_seeds, fault.choice)
            case _losses_schedule.Kind.POWER_LOSS_ALL:
                self._lose_power_everywhere(fault)
                return lambda: None
            case _losses_schedule.Kind.ADD:
                number = self._cell.add_controller(REGIONS[-1])
                slot = self._slots.add(number)
                self._launch_empty(number, 'added')
                self._slots.restore(slot)
                return lambda: None
        count = 2 if fault.kind is _losses_schedule.Kind.WIPE_TWO else 1
        slots = self._slots.lose(
            count,
            fault.choice,
            self._leader if fault.at_leader else lambda: None,
        )
        names = ', '.join(self._name(slot) for slot in slots)
        aim = ' (aimed at the leader)' if fault.at_leader else ''
        self._note(f'{names}: {fault.kind.value}{aim}')
        return functools.partial(self._carry_out, fault, slots)

    def _carry_out(
        self, fault: _losses_schedule.Fault, slots: list[int]
    ) -> None:
        """Apply a fault; a process that does not obey is a violation."""
        try:
            self._apply(fault, slots)
        except _processes.ProcessError as error:
            self._violate(str(error))
            for slot in slots:
                self._slots.restore(slot)

    def _apply(self, fault: _losses_schedule.Fault, slots: list[int]) -> None:
        processes = self._processes
        names = [self._name(slot) for slot in slots]
        match fault.kind:
            case _losses_schedule.Kind.KILL | _losses_schedule.Kind.POWER_LOSS:
                if fault.is_cut:
                    self._cuts.cut(self._numbers(slots), fault.unsynced_writes)
                else:
                    self._cuts.kill(self._numbers(slots))
                is_short = fault.kind is _losses_schedule.Kind.KILL
                time.sleep(KILLED_S if is_short else fault.length_s)
                self._launch(slots)
                self._restore_after_cuts(fault, slots)
            case _losses_schedule.Kind.FREEZE:
                processes.freeze(names[0])
                time.sleep(fault.length_s)
                processes.thaw(names[0])
                self._slots.restore(slots[0])
            case _losses_schedule.Kind.WIPE | _losses_schedule.Kind.WIPE_TWO:
                self._cuts.kill(self._numbers(slots))
                for slot in slots:
                    self._cell.wipe_disk(self._slots.numbers[slot])
                time.sleep(fault.length_s)
                self._launch(slots, wiped=slots)
                self._restore_after_cuts(fault, slots)
            case _losses_schedule.Kind.REPLACE:
                self._cuts.kill(self._numbers(slots))
                time.sleep(SUCCESSOR_S)
                number = self._launch_successor(slots[0], 'successor')
                self._slots.restore(slots[0], number)
                self._replace_seed(names[0], number)
            case _losses_schedule.Kind.REPLACE_PLANNED:
                number = self._launch_successor(slots[0], 'planned successor')
                time.sleep(_losses_schedule.CATCH_UP_S)
                processes.stop(names[0])
                self._note(f'{names[0]} has stopped')
                # Its successor has had the time to catch up already.
                self._slots.restore(slots[0], number, STOPPED_S)
                self._replace_seed(names[0], number)

    def _launch_successor(self, slot: int, why: str) -> int:
        region = self._cell.region(self._slots.numbers[slot])
        number = self._cell.add_controller(region)
        self._launch_empty(number, why)
        return number

    def _launch(
        self,
        slots: list[int],
        wiped: collections.abc.Container[int] = (),
        why: str = 'disk lost',
    ) -> None:
        """Start controllers again; those in ``wiped`` have empty disks."""
        for slot in slots:
            number = self._slots.numbers[slot]
            if slot in wiped:
                self._launch_empty(number, why)
            else:
                self._cell.launch_controller(number)
                self._note(f'{self._name(slot)} is back')

    def _restore_after_cuts(
        self, fault: _losses_schedule.Fault, slots: list[int]
    ) -> None:
        """Cut the power of started controllers, as often as it is to be."""
        for after_s in fault.cuts_after_s:
            time.sleep(after_s)
            self._cuts.cut(self._numbers(slots), fault.unsynced_writes)
            self._launch(slots)
        for slot in slots:
            self._slots.restore(slot)

    def _lose_power_everywhere(self, fault: _losses_schedule.Fault) -> None:
        """Let all controllers lose power; the cell serves again after it."""
        slots = self._slots.lose_all()
        self._note(fault.kind.value)
        self._cuts.cut(self._numbers(slots), fault.unsynced_writes)
        self._may_send.clear()
        time.sleep(fault.length_s)
        self._launch(slots)
        self._watch_between_cuts(fault, slots)
        for slot in slots:
            self._slots.restore(slot)

    def _watch_between_cuts(
        self,
        fault: _losses_schedule.Fault | _losses_schedule.LastFault,
        slots: list[int],
    ) -> dict[str, float | None]:
        """Cut the power of all again; return when which part recovers."""
        for after_s in fault.cuts_after_s:
            end_s = time.monotonic() + after_s
            while time.monotonic() < end_s:
                if self._read_back(self._acknowledged):
                    self._may_send.set()
                    time.sleep(max(0.0, end_s - time.monotonic()))
            self._cuts.cut(self._numbers(slots), fault.unsynced_writes)
            self._may_send.clear()
            self._launch(slots)
        recovered_s = {}
        for part, time_s in self._watch(self._acknowledged, time.monotonic()):
            self._may_send.set()
            recovered_s[part] = time_s
        return recovered_s

    def _launch_empty(self, number: int, why: str) -> None:
        name = self._cell.controller(number)
        self._launches.append(_losses_admission.Launch(name, why, time.time()))
        self._cell.launch_controller(number)
        self._note(f'{name} is launched: {why}')

    def _change_seeds(self, choice: float) -> None:
        numbers = list(self._slots.numbers)
        chosen = random.Random(choice).sample(
            numbers, _platform_cell.SEEDS_COUNT
        )
        self._seeds = chosen
        self._cell.set_seeds(chosen)
        names = [self._cell.controller(number) for number in chosen]
        self._note(f'new seeds: {", ".join(names)}')

    def _replace_seed(self, name: str, successor: int) -> None:
        """Name a successor in the settings in place of the replaced one."""
        self._seeds = [
            successor if self._cell.controller(number) == name else number
            for number in self._seeds
        ]
        self._cell.set_seeds(self._seeds)

    def _acknowledge(self, timeout_s: float) -> bool:
        """Send documents until one is acknowledged; return whether one was.

        They go to the controller that acknowledged the last one, or to the
        next one after a failure.
        """
        end_s = time.monotonic() + timeout_s
        while True:
            numbers = self._slots.numbers
            number = numbers[self._attempts_count % len(numbers)]
            if self._send_document(number):
                return True
            self._attempts_count += 1
            time.sleep(POLL_S)
            if time.monotonic() >= end_s:
                return False

    def _send_document(self, number: int) -> bool:
        """Send the next document; return whether it was acknowledged."""
        with self._lock:
            self._version += 1
            version = self._version
        body = _platform_cell.document(version)
        if self._loses_power:
            routes = [
                _platform_cell.route(f'r{route}')
                for route in range(1, ROUTES_COUNT + 1)
            ]
            body = _platform_cell.document(version, Routes=routes)
        if self._cell.put_document(body, number, CALL_TIMEOUT_MS) != 200:
            return False
        with self._lock:
            self._acknowledged = max(self._acknowledged, version)
        return True

    @contextlib.contextmanager
    def _documents_sent(self) -> collections.abc.Iterator[None]:
        """Let callers send documents meanwhile, if power is to be lost."""
        if not self._loses_power:
            yield
            return
        stopping = threading.Event()
        with concurrent.futures.ThreadPoolExecutor(CALLERS_COUNT) as pool:
            callers = [
                pool.submit(self._send_documents, caller, stopping)
                for caller in range(CALLERS_COUNT)
            ]
            try:
                yield
            finally:
                stopping.set()
        for one in callers:
            one.result()

    def _send_documents(self, caller: int, stopping: threading.Event) -> None:
        position = caller
        while not stopping.wait(CALLER_PAUSE_S):
            if not self._may_send.is_set():
                continue
            numbers = self._slots.numbers
            number = numbers[position % len(numbers)]
            if not self._send_document(number):
                position += 1

    def _apply_last(self) -> dict[str, float | None]:
        """Apply the last fault; return ``recovered_s`` of the outcome."""
        last = self._schedule.last
        if not self._acknowledge_when_none_is_lost():
            self._violate('no document acknowledged before the last fault')
            return {}
        wiped = self._slots.lose(
            last.wiped_count,
            last.choice,
            self._leader if last.at_leader else lambda: None,
        )
        killed = wiped
        if last.kills_others:
            killed = list(range(len(self._slots.numbers)))
        if last.is_cut:
            self._cuts.cut(
                self._numbers(killed),
                last.unsynced_writes,
                self._numbers(wiped),
            )
        else:
            self._cuts.kill(self._numbers(killed))
        self._may_send.clear()
        self._note(
            f'last fault after version {self._acknowledged}: lost disks of '
            f'{[self._name(slot) for slot in wiped]}, killed '
            f'{[self._name(slot) for slot in killed]}'
        )
        for slot in wiped:
            self._cell.wipe_disk(self._slots.numbers[slot])
        time.sleep(last.back_s)
        self._launch(killed, wiped, 'disk lost last')
        recovered_s = self._watch_between_cuts(last, killed)
        if None not in recovered_s.values():
            # For the admissions of those that lost their disks.
            time.sleep(_losses_schedule.CATCH_UP_S)
        return recovered_s

    def _acknowledge_when_none_is_lost(self) -> bool:
        """Send documents until one is acknowledged as soon as none is lost."""
        end_s = time.monotonic() + self._slots.lost_s() + RECOVERY_S
        while time.monotonic() < end_s:
            acknowledged = self._acknowledge(0)
            left_s = self._slots.lost_s()
            if acknowledged and not left_s:
                return True
            time.sleep(min(POLL_S, left_s))
        return False

    def _watch(
        self, acknowledged: int, back_s: float
    ) -> collections.abc.Iterator[tuple[str, float | None]]:
        """Check that the cell recovers; yield when which part has."""
        parts: list[tuple[str, collections.abc.Callable[[], bool]]] = [
            ('readable', lambda: self._read_back(acknowledged)),
            ('changed', lambda: self._acknowledge(0)),
            ('ready', self._cell.ready),
        ]
        for part, has_recovered in parts:
            passed_s = time.monotonic() - back_s
            while passed_s < WATCH_S and not has_recovered():
                time.sleep(POLL_S)
                passed_s = time.monotonic() - back_s
            if passed_s >= WATCH_S:
                self._violate(f'not {part} {WATCH_S} s after the last fault')
                yield part, None
                return
            passed_s = time.monotonic() - back_s
            if passed_s > RECOVERY_S:
                self._violate(f'{part} {passed_s:.1f} s after the last fault')
            yield part, passed_s

    def _read_back(self, acknowledged: int) -> bool:
        """Return whether a controller shows a document, and check it."""
        numbers = self._slots.numbers
        number = numbers[self._attempts_count % len(numbers)]
        self._attempts_count += 1
        reply = self._cell.read_document(number, CALL_TIMEOUT_MS)
        if reply.status != 200:
            return False
        version = reply.json()['Version']
        if version < acknowledged:
            self._violate(
                f'{self._cell.controller(number)} shows version {version} '
                f'after {acknowledged}'
            )
        return True

    def _check_processes(self) -> None:
        for slot in range(len(self._slots.numbers)):
            name = self._name(slot)
            if not self._processes.is_running(name):
                code = self._processes.exit_code(name)
                self._violate(f'{name} has ended by itself with {code}')

    def _check_logs(self) -> None:
        """Check that no controller refused its disk at any start."""
        for number in range(len(self._cell.control)):
            name = self._cell.controller(number)
            for entry in self._processes.log(name):
                if entry.get('event') in REFUSALS:
                    self._violate(f'{name}: {entry}')

    def _leader(self) -> int | None:
        """Return the number of the controller that began to lead last."""
        terms = {
            number: max(
                (
                    entry.get('term', 0)
                    for entry in self._processes.log(
                        self._cell.controller(number)
                    )
                    if entry.get('event') == 'leading'
                ),
                default=0,
            )
            for number in self._slots.numbers
        }
        newest = max(terms, key=lambda number: terms[number])
        return newest if terms[newest] else None

    def _numbers(self, slots: list[int]) -> list[int]:
        return [self._slots.numbers[slot] for slot in slots]

    def _name(self, slot: int) -> str:
        return self._cell.controller(self._slots.numbers[slot])

    def _note(self, event: str) -> None:
        passed_s = time.monotonic() - self._began_s
        self._events.append(f'{passed_s:.2f} s: {event}')

    def _violate(self, violation: str) -> None:
        self._note(f'VIOLATION {violation}')
        self._violations.append(violation)

    def _admissions(
        self,
    ) -> collections.abc.Iterator[_losses_admission.Admission]:
        names = [
            self._cell.controller(number)
            for number in range(len(self._cell.control))
        ]
        return _losses_admission.read_admissions(
            self._launches, {name: self._processes.log(name) for name in names}
        )


def run_core_losses(
    folder: pathlib.Path,
    schedule: _losses_schedule.Schedule,
    network: str,
    power_seed: int | None = None,
) -> Outcome:
    """Run a schedule on a new cell in ``network``; logs are in ``folder``.

    With ``power_seed``, the disks of controllers can lose power.
    """
    workers = _platform_cell.make_workers(WORKERS_COUNT, CAPACITY, 100)
    with contextlib.ExitStack() as resources:
        processes = resources.enter_context(_processes.Processes(folder))
        cell = resources.enter_context(
            _platform_cell.PlatformCell(
                folder,
                processes,
                workers,
                controllers_count=CONTROLLERS_COUNT,
                network=network,
                regions=REGIONS,
                loses_power=power_seed is not None,
            )
        )
        resources.callback(processes.kill_all)
        outcome = CoreLosses(cell, processes, schedule, power_seed).run()
    (folder / 'events.txt').write_text('\n'.join(outcome.events))
    return outcome


def describe(seed: int, outcome: Outcome) -> str:
    """Return a summary line of a run, followed by its violations."""
    times = ', '.join(
        f'{part} {_losses_admission.after(time_s)}'
        for part, time_s in outcome.recovered_s.items()
    )
    lines = [f'seed {seed}: {len(outcome.violations)} violations, {times}']
    lines += [f'  {one}' for one in outcome.violations]
    lines += [
        f'  {_losses_admission.describe(one)}' for one in outcome.admissions
    ]
    return '\n'.join(lines)
