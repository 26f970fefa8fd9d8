"""Offers of workers with freed capacity to blocked bins.

Only workers whose free capacity has grown since a bin was blocked can have
room for it. So only these workers are examined, one at a time, for the
blocked bins that may fit.
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

TIGHTEST_FIT_REASON = 'it was the tightest fit'
CROSSED_REGION_REASON = (
    'its region had no room until the delay for crossing regions was over'
)

# A worker is no longer offered to bins of other regions after this many bins
# that it did not fit.
REJECTIONS_COUNT_MAX = 8
# How many workers with freed capacity are examined for the first rank before
# gangs get reservations.
FIRST_RANK_WORKERS_COUNT = 64


@dataclasses.dataclass(slots=True)
class Offer:
    """A worker with freed capacity and the blocked bins that may fit."""

    worker: _fleet.Worker
    region: messages.Region
    bins: int

    def accepts(self, task: _tasks.PendingTask, now_ms: int) -> bool:
        """Return whether the task can be placed on the worker."""
        if not self._is_in_region(task) and not _regions.may_cross(
            task, now_ms
        ):
            return False
        return self.worker.allows(task)

    def reason(self, task: _tasks.PendingTask) -> str:
        """Return why the task is placed there, for an operator."""
        return (
            TIGHTEST_FIT_REASON
            if self._is_in_region(task)
            else CROSSED_REGION_REASON
        )

    def _is_in_region(self, task: _tasks.PendingTask) -> bool:
        return task.region is None or task.region == self.region


class Offers:
    """Goes through the workers in the order in which capacity was freed."""

    def __init__(self, state: _state.State) -> None:
        self._state = state
        # Bins that the current worker did not fit after all.
        self._rejected_bins = 0
        self._rejected_count = 0
        # Whether the current worker is offered to bins of other regions.
        self._cross_region = False
        # Blocked bins by the time at which their first task may cross.
        self._crossings: list[tuple[int, int, _bins.Bin]] = []
        self._numbers = itertools.count()
        # Blocked bins whose search did not examine every worker.
        self._incomplete_searches: dict[int, _bins.Bin] = {}

    def note_blocked(
        self, bin_: _bins.Bin, task: _tasks.PendingTask, now_ms: int
    ) -> None:
        """Schedule a new search for a bin that was just blocked, if needed.

        That is when its task may cross regions, or soon if the search did
        not examine every worker.
        """
        index = self._state.index.for_region(task.region)
        if index is not None and index.truncated and not task.isolated:
            self._incomplete_searches[bin_.bit] = bin_
        if task.region is not None and not _regions.may_cross(task, now_ms):
            at_ms = _regions.crossing_allowed_ms(task)
            entry = at_ms, next(self._numbers), bin_
            heapq.heappush(self._crossings, entry)

    def refresh(self, now_ms: int) -> None:
        """Unblock the bins whose new search is due.

        Of the bins with an incomplete search, one is unblocked in each call.
        """
        while self._crossings and self._crossings[0][0] <= now_ms:
            self._unblock(heapq.heappop(self._crossings)[2])
        if self._incomplete_searches:
            self._unblock(
                self._incomplete_searches.pop(
                    next(iter(self._incomplete_searches))
                )
            )

    def unblock_first_rank(self) -> None:
        """Unblock urgent and service bins that may fit freed capacity."""
        queues = self._state.queues
        classes = queues.masks.by_class
        mask = classes[messages.TaskClass.URGENT]
        mask |= classes[messages.TaskClass.SERVICE]
        fitting = 0
        freed_workers = self._state.freed_workers.values()
        for worker in itertools.islice(
            freed_workers, FIRST_RANK_WORKERS_COUNT
        ):
            levels = _index.free_levels(worker)
            if levels is not None:
                fitting |= queues.masks.fitting(levels)
        queues.unblock(fitting & mask)

    def current(self, now_ms: int, allowed: int) -> Offer | None:
        """Return the current worker and the blocked bins that may fit.

        Bins of its region come first, then those of other regions. Bins that
        may fit but are not ``allowed`` at present are unblocked, so that
        they are considered again as soon as they are allowed.
        """
        freed_workers = self._state.freed_workers
        queues = self._state.queues
        while freed_workers:
            worker = freed_workers[next(iter(freed_workers))]
            levels = _index.free_levels(worker)
            if levels is not None and worker.facts is not None:
                region = worker.facts.region
                fitting = queues.masks.fitting(levels) & queues.blocked
                queues.unblock(fitting & ~allowed)
                fitting &= allowed & ~self._rejected_bins
                if not self._cross_region:
                    regions = queues.masks.by_region
                    in_region = fitting & (regions[region] | regions[None])
                    if in_region:
                        return Offer(worker, region, in_region)
                if fitting:
                    self._cross_region = True
                    return Offer(worker, region, fitting)
            self.advance()
        return None

    def reject(self, bin_: _bins.Bin) -> None:
        """Record that the current worker does not fit a bin."""
        self._rejected_bins |= bin_.bit
        self._rejected_count += 1
        if self._cross_region and self._rejected_count >= REJECTIONS_COUNT_MAX:
            self.advance()

    def reactivate(self, offer: Offer) -> None:
        """Unblock the offered bins because none has a task to start now.

        The worker may still have room for them later.
        """
        self._state.queues.unblock(offer.bins)

    def advance(self) -> None:
        """Continue with the next worker."""
        freed_workers = self._state.freed_workers
        if freed_workers:
            del freed_workers[next(iter(freed_workers))]
        self._rejected_bins = 0
        self._rejected_count = 0
        self._cross_region = False

    def _unblock(self, bin_: _bins.Bin) -> None:
        if self._state.queues.masks.by_bit.get(bin_.bit) is bin_:
            self._state.queues.unblock(bin_.bit)
