"""Workers with new room, offered to the tasks that had none.

No worker has room for a blocked bin but those that got room since, so only
these are looked at, one at a time, for the blocked bins that may fit.
"""

import dataclasses
import heapq
import itertools

from dandeliondrum import messages
from dandeliondrum.placement import _bins
from dandeliondrum.placement import _fleet
from dandeliondrum.placement import _index
from dandeliondrum.placement import _regions
from dandeliondrum.placement import _state
from dandeliondrum.placement import _tasks

AT_HOME = 'it is the tightest fit'
CROSSED = 'no room in its region for so long that crossing was worth it'

# A worker is not offered abroad any more after so many bins that it did not
# suit.
REFUSALS_COUNT_MAX = 8
# Workers with new room that are looked at for the first rank alone.
WORKERS_COUNT = 64


@dataclasses.dataclass(slots=True)
class Offer:
    """A worker with new room and the blocked bins that may fit there."""

    worker: _fleet.Worker
    region: messages.Region
    bins: int

    def suits(self, task: _tasks.PendingTask, now_ms: int) -> bool:
        """Return whether the task can go to the worker."""
        if self.worker.worker_id in task.excluded_workers:
            return False
        if not self._is_home(task) and not _regions.may_cross(task, now_ms):
            return False
        return self.worker.has_room(task.resources)

    def reason(self, task: _tasks.PendingTask) -> str:
        """Return why the task goes there, for an operator."""
        return AT_HOME if self._is_home(task) else CROSSED

    def _is_home(self, task: _tasks.PendingTask) -> bool:
        return task.region is None or task.region == self.region


class Offers:
    """Goes through the workers with new room, in the order they got it."""

    def __init__(self, state: _state.State) -> None:
        self._state = state
        # Bins that the worker at hand did not suit after all.
        self._refused = 0
        self._refused_count = 0
        # Whether the worker is offered to other regions by now.
        self._abroad = False
        # When the first task of a blocked bin may cross.
        self._crossings: list[tuple[int, int, _bins.Bin]] = []
        self._numbers = itertools.count()
        # Bins whose search did not look at every worker.
        self._unsure: dict[int, _bins.Bin] = {}

    def note_blocked(
        self, home: _bins.Bin, task: _tasks.PendingTask, now_ms: int
    ) -> None:
        """Note a bin that was just found without room."""
        index = self._state.index.of(task.region)
        if index is not None and index.cut_short:
            self._unsure[home.bit] = home
        if task.region is not None and not _regions.may_cross(task, now_ms):
            at_ms = _regions.crossing_ms(task)
            entry = at_ms, next(self._numbers), home
            heapq.heappush(self._crossings, entry)

    def refresh(self, now_ms: int) -> None:
        """Let bins be searched for again whose time has come."""
        while self._crossings and self._crossings[0][0] <= now_ms:
            self._unblock(heapq.heappop(self._crossings)[2])
        if self._unsure:
            self._unblock(self._unsure.pop(next(iter(self._unsure))))

    def unblock_first_rank(self) -> None:
        """Let urgent tasks and services be searched for on new room."""
        queues = self._state.queues
        classes = queues.masks.classes
        mask = classes[messages.TaskClass.URGENT]
        mask |= classes[messages.TaskClass.SERVICE]
        fitting = 0
        woken = self._state.woken.values()
        for worker in itertools.islice(woken, WORKERS_COUNT):
            levels = _index.levels_of(worker)
            if levels is not None:
                fitting |= queues.masks.fitting(levels)
        queues.unblock(fitting & mask)

    def current(self, now_ms: int, allowed: int) -> Offer | None:
        """Return the worker to be offered now and the bins it may suit.

        Bins that are not ``allowed`` at present become active, so that they
        are looked at again when they are.
        """
        woken = self._state.woken
        queues = self._state.queues
        while woken:
            worker = woken[next(iter(woken))]
            levels = _index.levels_of(worker)
            if levels is not None and worker.facts is not None:
                region = worker.facts.region
                fitting = queues.masks.fitting(levels) & queues.blocked
                queues.unblock(fitting & ~allowed)
                fitting &= allowed & ~self._refused
                if not self._abroad:
                    regions = queues.masks.regions
                    at_home = fitting & (regions[region] | regions[None])
                    if at_home:
                        return Offer(worker, region, at_home)
                if fitting:
                    self._abroad = True
                    return Offer(worker, region, fitting)
            self.finish()
        return None

    def refuse(self, home: _bins.Bin) -> None:
        """Note that the worker at hand does not suit a bin."""
        self._refused |= home.bit
        self._refused_count += 1
        if self._abroad and self._refused_count >= REFUSALS_COUNT_MAX:
            self.finish()

    def release(self, offer: Offer) -> None:
        """Note that none of these bins has a task that may start now.

        They become active, since the worker has room for them later.
        """
        self._state.queues.unblock(offer.bins)

    def finish(self) -> None:
        """Go on to the next worker."""
        woken = self._state.woken
        if woken:
            del woken[next(iter(woken))]
        self._refused = 0
        self._refused_count = 0
        self._abroad = False

    def _unblock(self, home: _bins.Bin) -> None:
        if self._state.queues.masks.by_bit.get(home.bit) is home:
            self._state.queues.unblock(home.bit)
