"""Starts that are disturbed by signals, ports and files, as soak faults."""

import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import enum
import random
import signal
import socket
import time

from dandeliondrum.testing import _lives
from dandeliondrum.testing import _platform_cell
from dandeliondrum.testing import _soak_checker
from dandeliondrum.testing import _soak_exits
from dandeliondrum import transport

LAUNCHES_COUNT = (1, 4)
# When signals arrive after a launch, and how many of them.
SIGNALS_AT_S = (0.0, 1.5)
HANG_UPS_COUNT = (0, 5)
# How long a process is down, and its port is taken after the launch. A start
# waits for 10 s.
DOWN_S = (0.0, 1.0)
PORT_TAKEN_S = (0.5, 9.5)
PORT_SHARE = 0.35
REWRITE_SHARE = 0.35
REWRITE_AT_S = (-0.4, 0.5)
CUTS_COUNT = (1, 3)
CUT_PAUSE_S = (0.02, 1.2)
TARGETS_COUNT = (1, 6)
HANG_UP_EVERY_S = (0.0, 0.3)
CONNECTIONS_MAX = 4
# How long a start waits until no other fault uses its process.
RESERVE_TIMEOUT_S = 5.0

Fault = tuple[str, collections.abc.Callable[[], None]]
Reserve = collections.abc.Callable[
    ..., contextlib.AbstractContextManager[bool]
]
Cuts = tuple[tuple[float, float], ...]


class Ending(enum.Enum):
    """How a process ends before the next one of its name is launched."""

    KILL = 'kill'
    STOP = 'stop'
    # The next one is launched while this one drains.
    SUCCEED = 'succeed'


@dataclasses.dataclass(frozen=True)
class Rewrite:
    """A change of seeds that is written in parts; ``at_s`` after a launch."""

    at_s: float
    seeds: tuple[int, ...]
    cuts: Cuts


@dataclasses.dataclass(frozen=True)
class Launch:
    """One launch of a process, and what disturbs its start.

    ``port`` is the number of a port that is taken until ``port_s`` after the
    launch. The next launch comes ``lasts_s`` after this one.
    """

    ending: Ending
    down_s: float
    port: int | None
    port_s: float
    rewrite: Rewrite | None
    hang_ups_s: tuple[float, ...]
    lasts_s: float


class DisturbedStarts:
    """Draws disturbed starts from a seed, and carries them out.

    ``reserve`` is asked for processes, and ``kill`` kills one.
    With ``succeeds`` a successor may run beside its predecessor.
    """

    def __init__(
        self,
        cell: _platform_cell.PlatformCell,
        checker: _soak_checker.InvariantChecker,
        exits: _soak_exits.ExitChecker,
        reserve: Reserve,
        kill: collections.abc.Callable[[str], None],
        succeeds: bool,
    ) -> None:
        self._cell = cell
        self._checker = checker
        self._exits = exits
        self._reserve = reserve
        self._kill = kill
        self._succeeds = succeeds

    def draw(self, rng: random.Random) -> Fault:
        """Draw the next fault."""
        controllers = [
            self._cell.controller(number)
            for number in range(len(self._cell.control))
        ]
        gateways = [f'g{number}' for number in range(len(self._cell.callers))]
        names = [*controllers, *gateways]
        match rng.choice(
            ['start'] * 4 + ['role'] + ['signals'] * 3 + ['file']
        ):
            case 'start':
                name = rng.choice(names)
                launches = self._draw_launches(rng)
                kinds = '+'.join(one.ending.value for one in launches)
                return (
                    f'disturbed start of {name} ({kinds})',
                    lambda: self._disturb(name, launches),
                )
            case 'role':
                role = rng.choice([controllers, gateways])
                plans = {name: self._draw_launch(rng) for name in role}
                return (
                    f'all started together {role[0]}...',
                    lambda: self._start_together(plans),
                )
            case 'signals':
                count = rng.randint(*TARGETS_COUNT)
                targets = [
                    (rng.choice(names), rng.uniform(*HANG_UP_EVERY_S))
                    for _ in range(count)
                ]
                return f'SIGHUP to {", ".join(one for one, _ in targets)}', (
                    lambda: self._hang_up(targets)
                )
        chosen = rng.sample(names, min(len(names), rng.randint(1, 3)))
        rewrite = self._draw_rewrite(rng)
        return (
            f'settings rewritten of {", ".join(chosen)}',
            lambda: self._rewrite_all(chosen, rewrite),
        )

    def _draw_launches(self, rng: random.Random) -> list[Launch]:
        return [
            self._draw_launch(rng) for _ in range(rng.randint(*LAUNCHES_COUNT))
        ]

    def _draw_launch(self, rng: random.Random) -> Launch:
        ending = rng.choice(list(Ending))
        if ending is Ending.SUCCEED and not self._succeeds:
            ending = Ending.STOP
        port = rng.randrange(2) if rng.random() < PORT_SHARE else None
        rewrite = self._draw_rewrite(rng)
        return Launch(
            ending=ending,
            down_s=rng.uniform(*DOWN_S),
            # The predecessor holds it.
            port=None if ending is Ending.SUCCEED else port,
            port_s=rng.uniform(*PORT_TAKEN_S),
            rewrite=rewrite if rng.random() < REWRITE_SHARE else None,
            hang_ups_s=tuple(
                sorted(
                    rng.uniform(*SIGNALS_AT_S)
                    for _ in range(rng.randint(*HANG_UPS_COUNT))
                )
            ),
            lasts_s=rng.uniform(*SIGNALS_AT_S),
        )

    def _draw_rewrite(self, rng: random.Random) -> Rewrite:
        count = len(self._cell.control)
        seeds = rng.sample(range(count), _platform_cell.SEEDS_COUNT)
        shares = sorted(rng.random() for _ in range(rng.randint(*CUTS_COUNT)))
        cuts = tuple((one, rng.uniform(*CUT_PAUSE_S)) for one in shares)
        return Rewrite(rng.uniform(*REWRITE_AT_S), tuple(seeds), cuts)

    def _disturb(self, name: str, launches: list[Launch]) -> None:
        with self._reserve_soon(name) as reserved:
            if reserved:
                self._launch_all(name, launches)

    def _launch_all(
        self, name: str, launches: list[Launch], is_down: bool = False
    ) -> None:
        """Launch a process several times, the last one for good."""
        with concurrent.futures.ThreadPoolExecutor(
            3 * len(launches)
        ) as executor:
            running = []
            for launch in launches:
                life, disturbances = self._launch(
                    name, launch, executor, is_down
                )
                running += disturbances
                is_down = False
                if launch is not launches[-1]:
                    time.sleep(launch.lasts_s)
            for one in running:
                one.result()
        self._exits.wait_until_started(life)

    def _launch(
        self,
        name: str,
        launch: Launch,
        executor: concurrent.futures.ThreadPoolExecutor,
        is_down: bool,
    ) -> tuple[_lives.Life, list[concurrent.futures.Future[None]]]:
        """End a process, launch it again, and disturb it meanwhile."""
        running = []
        if not is_down:
            self._end(name, launch.ending)
        with contextlib.ExitStack() as resources:
            if launch.port is not None:
                address = self._cell.ports(name)[launch.port]
                self._take_port(address, resources)
            rewrite = launch.rewrite
            if rewrite is not None:
                wait_s = max(0.0, launch.down_s + rewrite.at_s)
                running.append(
                    executor.submit(self._rewrite, name, rewrite, wait_s)
                )
            time.sleep(launch.down_s)
            life = self._cell.processes.relaunch(name, beside=True)
            running.append(
                executor.submit(self._signal, life, launch.hang_ups_s)
            )
            taken = resources.pop_all()
            running.append(executor.submit(_release, taken, launch.port_s))
        return life, running

    def _end(self, name: str, ending: Ending) -> None:
        """End a process, or let it drain."""
        life = self._cell.processes.life(name)
        if ending is Ending.KILL:
            self._kill(name)
        elif self._exits.wait_for_handlers(life):
            if ending is Ending.STOP:
                self._cell.processes.stop(name)
            else:
                life.send(signal.SIGTERM)

    def _take_port(
        self, address: str, resources: contextlib.ExitStack
    ) -> None:
        """Listen on a port, unless somebody else does."""
        try:
            taken = socket.create_server(
                transport.parse_address(address), backlog=CONNECTIONS_MAX
            )
        except OSError as error:
            self._checker.log(f'{address} not taken: {error}')
            return
        self._checker.log(f'{address} is taken')
        resources.callback(self._checker.log, f'{address} is given back')
        resources.enter_context(taken)

    def _signal(self, life: _lives.Life, at_s: tuple[float, ...]) -> None:
        """Send SIGHUP at some times after a launch."""
        self._exits.wait_for_handlers(life)
        for one_s in at_s:
            time.sleep(max(0.0, life.launched_s + one_s - time.monotonic()))
            self._exits.hang_up(life)

    def _start_together(self, plans: dict[str, Launch]) -> None:
        """Kill all processes of a role and launch them together."""
        with self._reserve_soon(*plans) as reserved:
            if not reserved:
                return
            with concurrent.futures.ThreadPoolExecutor(len(plans)) as executor:
                for one in [executor.submit(self._kill, one) for one in plans]:
                    one.result()
                starts = [
                    executor.submit(self._launch_all, name, [launch], True)
                    for name, launch in plans.items()
                ]
                for start in starts:
                    start.result()

    @contextlib.contextmanager
    def _reserve_soon(self, *names: str) -> collections.abc.Iterator[bool]:
        """Reserve processes once they are available, or yield False."""
        end_s = time.monotonic() + RESERVE_TIMEOUT_S
        while True:
            with self._reserve(*names) as reserved:
                if reserved or time.monotonic() > end_s:
                    if not reserved:
                        self._checker.log(f'passed over: {", ".join(names)}')
                    yield reserved
                    return
            time.sleep(_soak_exits.POLL_S)

    def _hang_up(self, targets: list[tuple[str, float]]) -> None:
        for name, pause_s in targets:
            self._exits.hang_up(self._cell.processes.life(name))
            time.sleep(pause_s)

    def _rewrite_all(self, names: list[str], rewrite: Rewrite) -> None:
        with concurrent.futures.ThreadPoolExecutor(len(names)) as executor:
            running = [
                executor.submit(self._rewrite, name, rewrite, 0)
                for name in names
            ]
            for one in running:
                one.result()

    def _rewrite(self, name: str, rewrite: Rewrite, wait_s: float) -> None:
        """Write settings in parts, and send SIGHUP to who uses them."""
        time.sleep(wait_s)
        with self._reserve(f'settings {name}') as reserved:
            if reserved:
                self._cell.write_settings_slowly(
                    name, rewrite.seeds, rewrite.cuts
                )
                self._exits.hang_up(self._cell.processes.life(name))


def _release(taken: contextlib.ExitStack, after_s: float) -> None:
    """Give a port back after a while."""
    with taken:
        time.sleep(after_s)
