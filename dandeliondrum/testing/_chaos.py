"""Injects random faults, drawn from a seed, into a cell under load."""

import collections.abc
import contextlib
import dataclasses
import pathlib
import random
import time

import structlog

from dandeliondrum import messages
from dandeliondrum import rules
from dandeliondrum.testing import _callers
from dandeliondrum.testing import _cell
from dandeliondrum.testing import _checker
from dandeliondrum.testing import _mesh
from dandeliondrum.testing import _recorder
from dandeliondrum.testing import _violations

FAULT_DURATION_MS = (300, 5_000)
PAUSE_MS = (100, 1_500)
SETTLE_MS = 3_000
INSPECTORS_RUNNING_MAX = 3

_RULES = """
{"rule": "team", "team": "harbour", "share": 1}  // asked by the chaos run
{"rule": "team", "team": "inspectors", "share": 3, "upper_limit": {"running": 3}}  // asked by the chaos run
{"rule": "queue", "queue": "lens", "open": false, "class": "urgent"}  // asked by the chaos run
{"rule": "defaults", "retries_max": 3, "lease_ms": {"urgent": 1500, "batch": 1500, "gang": 1500, "service": 1500}}  // asked by the chaos run
"""  # noqa: E501

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class ChaosOutcome:
    """The result of a chaos run.

    ``faults`` lists the injected faults in order; runs with the same seed draw
    the same sequence.
    """

    seed: int
    faults: tuple[str, ...]
    outcomes_count: int
    answered_count: int
    violations: tuple[_violations.Violation, ...]


def run_chaos(
    folder: str | pathlib.Path, seed: int, length_s: float
) -> ChaosOutcome:
    """Run a cell of 3 controllers, 2 gateways and 3 workers under faults.

    The faults are kills with a restart, freezes, cuts of links in one or both
    directions, isolation of one process, and connections that go silent. At
    times two are in effect at once. Logs and settings go to ``folder``.
    """
    with contextlib.ExitStack() as resources:
        mesh = resources.enter_context(_mesh.ProxyMesh(seed))
        cell = resources.enter_context(_cell.Cell(pathlib.Path(folder), mesh))
        keys = _prepare(cell)
        recorder = _recorder.Recorder()
        recorder.limited(
            messages.TeamId('inspectors'), running_max=INSPECTORS_RUNNING_MAX
        )
        work = _callers.Workload(keys=keys, timeout_ms=8_000, seed=seed)
        callers = _callers.Callers(cell, work, recorder)
        with callers:
            faults = _FaultInjector(cell, mesh, seed).run(length_s)
            time.sleep(SETTLE_MS / 1000)
        history = recorder.history(cell.journals(), cell.processes.outages)
        return ChaosOutcome(
            seed,
            tuple(faults),
            len(history.outcomes),
            callers.answered_count(),
            _checker.check(history),
        )


def _prepare(cell: _cell.Cell) -> dict[str, str]:
    """Form the cell, apply rules with new keys and return the keys by team."""
    cell.add_controllers(3)
    cell.add_gateways(2)
    cell.wait_ready()
    keys = {
        team: rules.new_key(messages.TeamId(team))
        for team in ('harbour', 'inspectors')
    }
    lines = [key.rule_line for key in keys.values()]
    reply = cell.apply_rules(_RULES + '\n'.join(lines) + '\n', 0)
    if reply.status != 200:
        raise RuntimeError(f'rules were rejected: {reply.body!r}')
    cell.add_workers(3)
    cell.wait_ready()
    return {team: key.text for team, key in keys.items()}


@dataclasses.dataclass(frozen=True)
class _Fault:
    """A fault that can be injected and removed again."""

    name: str
    inject: collections.abc.Callable[[], object]
    remove: collections.abc.Callable[[], object]


class _FaultInjector:
    """Draws faults from a seed and injects them one after another."""

    def __init__(
        self, cell: _cell.Cell, mesh: _mesh.ProxyMesh, seed: int
    ) -> None:
        self._cell = cell
        self._mesh = mesh
        self._rng = random.Random(seed)

    def run(self, length_s: float) -> list[str]:
        """Inject faults for some time; return their names in order."""
        injected = []
        end_s = time.monotonic() + length_s
        while time.monotonic() < end_s:
            faults = [self._random_fault()]
            if self._rng.random() < 0.3:
                faults.append(self._random_fault())
            injected.append(' + '.join(fault.name for fault in faults))
            _logger.info('fault', what=injected[-1])
            self._inject(faults)
            time.sleep(self._rng.randint(*PAUSE_MS) / 1000)
        return injected

    def _inject(self, faults: list[_Fault]) -> None:
        for fault in faults:
            fault.inject()
        time.sleep(self._rng.randint(*FAULT_DURATION_MS) / 1000)
        for fault in reversed(faults):
            fault.remove()

    def _random_fault(self) -> _Fault:
        names = [
            *self._cell.controllers,
            *self._cell.gateways,
            *self._cell.workers,
        ]
        process, peer = self._rng.sample(names, 2)
        kind = self._rng.choice(
            ('kill', 'freeze', 'cut', 'one way', 'isolate', 'silence')
        )
        match kind:
            case 'kill':
                return self._kill(process)
            case 'freeze':
                return self._freeze(process)
        return self._link_fault(kind, process, peer)

    def _kill(self, name: str) -> _Fault:
        processes = self._cell.processes

        def inject() -> None:
            if processes.is_running(name):
                processes.kill(name)

        def remove() -> None:
            if not processes.is_running(name):
                processes.restart(name)

        return _Fault(f'kill {name}', inject, remove)

    def _freeze(self, name: str) -> _Fault:
        processes = self._cell.processes

        def inject() -> None:
            if processes.is_running(name):
                processes.freeze(name)

        def remove() -> None:
            if processes.is_running(name):
                processes.thaw(name)

        return _Fault(f'freeze {name}', inject, remove)

    def _link_fault(self, kind: str, process: str, peer: str) -> _Fault:
        mesh = self._mesh
        inject = {
            'cut': lambda: mesh.blackhole(process, peer),
            'one way': lambda: mesh.cut_one_way(process, peer),
            'isolate': lambda: mesh.isolate(process),
            'silence': lambda: self._silence(process),
        }[kind]
        return _Fault(f'{kind} {process} {peer}', inject, mesh.heal)

    def _silence(self, name: str) -> None:
        for proxy in self._mesh.links_of(name):
            proxy.silence()
