"""Losses of power: controllers end at once, and lose what was not synced."""

import collections.abc
import random
import signal
import threading
import time

from dandeliondrum.testing import _platform_cell
from dandeliondrum.testing import _processes

# How long a cut waits for the moment that it is aimed at.
AIM_S = 4.0
POLL_S = 0.001


class PowerCuts:
    """Ends controllers and takes what their disks had not synced.

    A controller that has ended before is a violation: it may have refused its
    own log.
    """

    def __init__(
        self,
        cell: _platform_cell.PlatformCell,
        processes: _processes.Processes,
        seed: int,
        note: collections.abc.Callable[[str], None],
        violate: collections.abc.Callable[[str], None],
    ) -> None:
        self._cell = cell
        self._processes = processes
        self._rng = random.Random(f'{seed} cuts')
        self._note = note
        self._violate = violate
        self._lock = threading.Lock()

    def kill(self, numbers: list[int]) -> None:
        """Kill controllers at the same moment."""
        names = [self._cell.controller(number) for number in numbers]
        self._processes.kill_together(names)
        for name in names:
            code = self._processes.exit_code(name)
            if code != -signal.SIGKILL:
                self._violate(f'{name} has ended by itself with {code}')

    def cut(
        self,
        numbers: list[int],
        unsynced_writes: int = 0,
        wiped: collections.abc.Container[int] = (),
    ) -> None:
        """Cut the power of controllers at the same moment.

        The moment is when one of them is about to sync as many writes to one
        file, if there is one soon. It is none of the ``wiped``, which are to
        lose their disks as well. Of several writes, the last survives and the
        one before it does not, as in issue 47.
        """
        aimed = [number for number in numbers if number not in wiped]
        is_met = not unsynced_writes or self._wait_for_aim(
            aimed, unsynced_writes
        )
        self.kill(numbers)
        lost = []
        with self._lock:
            for number in numbers:
                unsynced = self._cell.lose_power(
                    number, self._rng, keeps_last_write=unsynced_writes > 1
                )
                lost.append(
                    f'{self._cell.controller(number)} '
                    f'{unsynced.changes_count}/{unsynced.writes_count_max}'
                )
        aim = f', aimed at {unsynced_writes}' if unsynced_writes else ''
        self._note(
            f'power cut{aim}{"" if is_met else " (missed)"}; changes not '
            f'synced, writes to one file: {", ".join(lost)}'
        )

    def _wait_for_aim(self, numbers: list[int], unsynced_writes: int) -> bool:
        for number in numbers:
            self._cell.aim(number, unsynced_writes)
        names = [self._cell.controller(number) for number in numbers]
        end_s = time.monotonic() + AIM_S
        while all(self._processes.is_running(name) for name in names):
            if time.monotonic() >= end_s:
                return False
            time.sleep(POLL_S)
        return True
