"""Random faults on a busy cell, drawn from a seed."""

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

FAULT_MS = (300, 5_000)
CALM_MS = (100, 1_500)
SETTLE_MS = 3_000
LIMITED_RUNNING_MAX = 3

_RULES = """
{"rule": "team", "team": "harbour", "share": 1}  // asked by the chaos run
{"rule": "team", "team": "inspectors", "share": 3, "upper_limit": {"running": 3}}  // asked by the chaos run
{"rule": "queue", "queue": "lens", "open": false, "class": "urgent"}  // asked by the chaos run
{"rule": "defaults", "retries_max": 3, "lease_ms": {"urgent": 1500, "batch": 1500, "gang": 1500, "service": 1500}}  // asked by the chaos run
"""  # noqa: E501

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class ChaosOutcome:
    """What a run of random faults came to.

    ``faults`` lists what was done, in order; the same seed draws the same.
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

    The faults are kills with a restart, freezes, cuts both ways and one way,
    isolation of one process, and links that go silent; at times two at once.
    """
    with contextlib.ExitStack() as resources:
        mesh = resources.enter_context(_mesh.ProxyMesh(seed))
        cell = resources.enter_context(_cell.Cell(pathlib.Path(folder), mesh))
        keys = _prepare(cell)
        recorder = _recorder.Recorder()
        recorder.limited(
            messages.TeamId('inspectors'), running_max=LIMITED_RUNNING_MAX
        )
        work = _callers.Work(keys=keys, timeout_ms=8_000, seed=seed)
        callers = _callers.Callers(cell, work, recorder)
        with callers:
            faults = _Faults(cell, mesh, seed).run(length_s)
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
    """Found the cell, apply rules with new keys and return the keys."""
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
        raise RuntimeError(f'rules not accepted: {reply.body!r}')
    cell.add_workers(3)
    cell.wait_ready()
    return {team: key.text for team, key in keys.items()}


@dataclasses.dataclass(frozen=True)
class _Fault:
    """Something that goes wrong and is put right again."""

    name: str
    begin: collections.abc.Callable[[], object]
    end: collections.abc.Callable[[], object]


class _Faults:
    """Draws faults from a seed and brings them about, one after another."""

    def __init__(
        self, cell: _cell.Cell, mesh: _mesh.ProxyMesh, seed: int
    ) -> None:
        self._cell = cell
        self._mesh = mesh
        self._chance = random.Random(seed)

    def run(self, length_s: float) -> list[str]:
        """Bring faults about for so long; return what was done."""
        done = []
        end_s = time.monotonic() + length_s
        while time.monotonic() < end_s:
            faults = [self._draw()]
            if self._chance.random() < 0.3:
                faults.append(self._draw())
            done.append(' + '.join(fault.name for fault in faults))
            _logger.info('fault', what=done[-1])
            self._bring_about(faults)
            time.sleep(self._chance.randint(*CALM_MS) / 1000)
        return done

    def _bring_about(self, faults: list[_Fault]) -> None:
        for fault in faults:
            fault.begin()
        time.sleep(self._chance.randint(*FAULT_MS) / 1000)
        for fault in reversed(faults):
            fault.end()

    def _draw(self) -> _Fault:
        names = [
            *self._cell.controllers,
            *self._cell.gateways,
            *self._cell.workers,
        ]
        one, other = self._chance.sample(names, 2)
        kind = self._chance.choice(
            ('kill', 'freeze', 'cut', 'one way', 'isolate', 'silence')
        )
        match kind:
            case 'kill':
                return self._kill(one)
            case 'freeze':
                return self._freeze(one)
        return self._of_links(kind, one, other)

    def _kill(self, name: str) -> _Fault:
        processes = self._cell.processes

        def begin() -> None:
            if processes.is_running(name):
                processes.kill(name)

        def end() -> None:
            if not processes.is_running(name):
                processes.restart(name)

        return _Fault(f'kill {name}', begin, end)

    def _freeze(self, name: str) -> _Fault:
        processes = self._cell.processes

        def begin() -> None:
            if processes.is_running(name):
                processes.freeze(name)

        def end() -> None:
            if processes.is_running(name):
                processes.thaw(name)

        return _Fault(f'freeze {name}', begin, end)

    def _of_links(self, kind: str, one: str, other: str) -> _Fault:
        mesh = self._mesh
        begin = {
            'cut': lambda: mesh.blackhole(one, other),
            'one way': lambda: mesh.cut_one_way(one, other),
            'isolate': lambda: mesh.isolate(one),
            'silence': lambda: self._silence(one),
        }[kind]
        return _Fault(f'{kind} {one} {other}', begin, mesh.heal)

    def _silence(self, name: str) -> None:
        for proxy in self._mesh.of(name):
            proxy.silence()
