"""Workers with new room, offered to the tasks that had none.

No worker has room for a blocked bin but those that got room since, so only
these are looked at, each against the blocked bins of its region and some of
the others. That costs nothing for the tasks that still don't fit.
"""

import heapq

from dandeliondrum import messages
from dandeliondrum.placement import _bins
from dandeliondrum.placement import _fleet
from dandeliondrum.placement import _index
from dandeliondrum.placement import _queues
from dandeliondrum.placement import _ranking
from dandeliondrum.placement import _regions
from dandeliondrum.placement import _state
from dandeliondrum.placement import _tasks

AT_HOME = 'it is the tightest fit'
CROSSED = 'no room in its region for so long that crossing was worth it'

# Bins of other regions that a worker is offered to at most.
CROSSING_BINS_COUNT = 32

Offer = tuple[_ranking.Key, _tasks.PendingTask, messages.WorkerId, str]


class Offers:
    """Finds the first blocked task that a worker with new room can take."""

    def __init__(self, state: _state.State) -> None:
        self._state = state
        # When the first task of a blocked bin may cross.
        self._crossings: list[tuple[int, int, _bins.Bin]] = []
        # Bins whose search did not look at every worker.
        self._unsure: dict[int, _bins.Bin] = {}

    def note_blocked(
        self, home: _bins.Bin, task: _tasks.PendingTask, now_ms: int
    ) -> None:
        """Note a bin that was just found without room."""
        index = self._state.index.of(task.region)
        if index is not None and index.cut_short:
            self._unsure[home.number] = home
        if task.region is not None and not _regions.may_cross(task, now_ms):
            at_ms = _regions.crossing_ms(task)
            heapq.heappush(self._crossings, (at_ms, home.number, home))

    def refresh(self, now_ms: int) -> None:
        """Let bins be searched for again whose time has come."""
        queues = self._state.queues
        while self._crossings and self._crossings[0][0] <= now_ms:
            home = heapq.heappop(self._crossings)[2]
            if home.blocked:
                queues.set_blocked(home, False)
        if self._unsure:
            home = self._unsure.pop(next(iter(self._unsure)))
            if home.blocked:
                queues.set_blocked(home, False)

    def next(
        self, now_ms: int, batch_may: bool, before: _queues.Turn | None
    ) -> Offer | None:
        """Return the first offer that comes before an active bin's turn."""
        woken = self._state.woken
        while woken:
            worker = woken[next(iter(woken))]
            levels = _index.levels_of(worker)
            if levels is not None and worker.facts is not None:
                offer = self._for_worker(worker, levels, now_ms, batch_may)
                if offer is not None:
                    if before is not None and before[0] < offer[0]:
                        return None
                    return offer
            del woken[worker.worker_id]
        return None

    def _for_worker(
        self,
        worker: _fleet.Worker,
        levels: _index.Need,
        now_ms: int,
        batch_may: bool,
    ) -> Offer | None:
        if worker.facts is None:
            return None
        best: Offer | None = None
        region = worker.facts.region
        for home_region in (region, None):
            offer = self._in_line(
                worker, levels, home_region, now_ms, batch_may, None
            )
            if offer is not None and (best is None or offer[0] < best[0]):
                best = offer
        if best is not None:
            return best
        for other in self._state.queues.blocked_regions():
            if other in (None, region):
                continue
            best = self._in_line(
                worker, levels, other, now_ms, batch_may, CROSSING_BINS_COUNT
            )
            if best is not None:
                return best
        return None

    def _in_line(
        self,
        worker: _fleet.Worker,
        levels: _index.Need,
        region: messages.Region | None,
        now_ms: int,
        batch_may: bool,
        crossing_count: int | None,
    ) -> Offer | None:
        """Return the first task of a line that the worker has room for."""
        queues = self._state.queues
        best: Offer | None = None
        # A copy, since settling moves bins about.
        for turn, _, home in queues.blocked_turns(region)[:crossing_count]:
            need = home.key.need
            if (
                need.cpu > levels.cpu
                or need.memory > levels.memory
                or need.accelerators > levels.accelerators
            ):
                continue
            if best is not None and best[0] < turn:
                break
            found = queues.settle(home, now_ms)
            if found is None:
                continue
            key, _, task = found
            if best is not None and best[0] < key:
                continue
            if not worker.has_room(task.resources):
                continue
            if worker.worker_id in task.excluded_workers:
                continue
            if home.key.task_class is messages.TaskClass.BATCH:
                if not batch_may:
                    queues.set_blocked(home, False)
                    continue
            reason = AT_HOME
            if crossing_count is not None:
                if not _regions.may_cross(task, now_ms):
                    continue
                reason = CROSSED
            best = key, task, worker.worker_id, reason
        return best
