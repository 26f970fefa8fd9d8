"""How workers advance their runs, judged by the progress that they list.

Answers the load of workers that answer and renew their leases, but on which
runs stand still or take many times as long as elsewhere. Works on plain
values and the clock of the worker, so that any listing can be played to it.
"""

import collections
import dataclasses
import statistics

from dandeliondrum.jobs import _specs
from dandeliondrum import messages

# Without progress for so long a run counts as stalled: two reads of the lists
# at their longest interval, as urgent tasks take a second.
STALL_MS = 1_000
STALLED_LISTINGS_MIN = 3
# A run that continues from a checkpoint first restores it, in up to 600 ms.
RESTORE_MS = 1_000
# The members of a gang wait up to 4 s for the last one, at no progress.
GANG_START_MS = 5_000
# How much longer a percent may take on a slow worker, by the users' site
# files; it matters to tasks of more than 12 s.
SLOWEST_FACTOR = 8
ALL_DONE_PERCENT = 100
# A task that stalled so often is left alone: its worker is not the cause.
STALLS_MAX = 2
# Estimates are off by up to a half, and slow workers take four times as long.
SLOW_PART = 0.35
# Keeps the time that a run on a slow worker still takes finite.
SPEED_MIN = 0.05
# How much the newest figure counts in the mean speed of a worker.
NEWEST_WEIGHT = 0.5
# What a run that saves nothing may have done when it is given up early.
GIVEN_UP_PERCENT_MAX = 20
# Older figures say nothing; a slow worker is tried again after that.
SPEED_AGE_MAX_MS = 6_000
# The fleet's median is worked out again after this.
MEDIAN_EVERY_MS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class RunProgress:
    """Where a run stands.

    ``percent`` is the part of its work that is done, ``expected_ms`` the
    estimate for all of it. ``may_wait_ms`` is how long it may stand still at
    its beginning for reasons of its own. What a ``checkpointing`` run has
    done is kept when it is stopped.
    """

    task: _specs.TaskKey
    run: int
    percent: float
    expected_ms: int
    may_wait_ms: int = 0
    checkpointing: bool = False


@dataclasses.dataclass(slots=True)
class _Track:
    percent: float
    since_ms: int
    listings_count: int = 1
    moved: bool = False
    given_up: bool = False


@dataclasses.dataclass(slots=True)
class _Speed:
    value: float
    at_ms: int


class Progress:
    """Follows the runs of all workers; the caller locks."""

    def __init__(self) -> None:
        self._tracks: dict[
            messages.WorkerId, dict[tuple[_specs.TaskKey, int], _Track]
        ] = {}
        self._speeds: dict[messages.WorkerId, _Speed] = {}
        self._stalls: collections.Counter[_specs.TaskKey] = (
            collections.Counter()
        )
        self._slow: frozenset[messages.WorkerId] = frozenset()
        self._slow_at_ms: int | None = None

    def listed(
        self,
        worker_id: messages.WorkerId,
        runs: list[RunProgress],
        clock_ms: int,
        now_ms: int,
    ) -> list[RunProgress]:
        """Take in a listing; return the runs that are found stalled now.

        ``clock_ms`` is the worker's time of the listing, ``now_ms`` ours.
        """
        before = self._tracks.get(worker_id, {})
        tracks = {}
        stalled = []
        for one in runs:
            key = (one.task, one.run)
            track = before.get(key)
            if track is None:
                track = _Track(one.percent, clock_ms)
            elif one.percent > track.percent:
                self._advance(worker_id, track, one, clock_ms, now_ms)
            else:
                track.listings_count += 1
                if self._is_stalled(track, one, clock_ms):
                    stalled.append(one)
                    track.since_ms, track.listings_count = clock_ms, 1
            tracks[key] = track
        self._tracks[worker_id] = tracks
        for one in stalled:
            self._stalls[one.task] += 1
        return stalled

    def too_long(
        self,
        worker_id: messages.WorkerId,
        runs: list[RunProgress],
        left_ms: int,
    ) -> list[RunProgress]:
        """Return runs to restart elsewhere before their worker leaves.

        Answers the load of workers that drain: a run that can't end in time
        would be lost with its worker, and begin anew only then. One that has
        done much and saves nothing stays, as workers often leave later. Each
        run of the last listing is returned once.
        """
        speed = max(self.speed(worker_id), SPEED_MIN)
        tracks = self._tracks.get(worker_id, {})
        found = []
        for one in runs:
            track = tracks.get((one.task, one.run))
            if track is None or track.given_up:
                continue
            if not one.checkpointing and one.percent >= GIVEN_UP_PERCENT_MAX:
                continue
            rest_ms = (1 - one.percent / 100) * one.expected_ms / speed
            if rest_ms > left_ms:
                track.given_up = True
                found.append(one)
        return found

    def slow_workers(self, now_ms: int) -> frozenset[messages.WorkerId]:
        """Return the workers that are much slower than most."""
        at_ms = self._slow_at_ms
        if at_ms is None or now_ms - at_ms >= MEDIAN_EVERY_MS:
            self._slow_at_ms = now_ms
            self._slow = self._find_slow(now_ms)
        return self._slow

    def speed(self, worker_id: messages.WorkerId) -> float:
        """Return the work done in a time, 1 where estimates are met."""
        known = self._speeds.get(worker_id)
        return known.value if known is not None else 1.0

    def forget(self, worker_id: messages.WorkerId) -> None:
        """Drop what is known of a worker that has started anew."""
        self._tracks.pop(worker_id, None)
        self._speeds.pop(worker_id, None)

    def forget_jobs(self, job_ids: set[_specs.JobId]) -> None:
        """Drop what is known of jobs that have ended."""
        for task in [one for one in self._stalls if one.job_id in job_ids]:
            del self._stalls[task]

    def _advance(
        self,
        worker_id: messages.WorkerId,
        track: _Track,
        one: RunProgress,
        clock_ms: int,
        now_ms: int,
    ) -> None:
        # The first step follows a start of unknown length.
        elapsed_ms = clock_ms - track.since_ms
        if track.moved and elapsed_ms > 0:
            done_ms = (one.percent - track.percent) / 100 * one.expected_ms
            self._note_speed(worker_id, done_ms / elapsed_ms, now_ms)
        track.percent, track.since_ms = one.percent, clock_ms
        track.listings_count, track.moved = 1, True

    def _note_speed(
        self, worker_id: messages.WorkerId, value: float, now_ms: int
    ) -> None:
        known = self._speeds.get(worker_id)
        if known is not None and now_ms - known.at_ms <= SPEED_AGE_MAX_MS:
            value = NEWEST_WEIGHT * value + (1 - NEWEST_WEIGHT) * known.value
        self._speeds[worker_id] = _Speed(value, now_ms)

    def _is_stalled(
        self, track: _Track, one: RunProgress, clock_ms: int
    ) -> bool:
        if track.listings_count < STALLED_LISTINGS_MIN:
            return False
        if one.percent >= ALL_DONE_PERCENT:
            # The member of a gang waits for others that are not done yet.
            return False
        if self._stalls[one.task] >= STALLS_MAX:
            return False
        percent_ms = one.expected_ms / 100 * SLOWEST_FACTOR
        limit_ms = max(STALL_MS, percent_ms)
        if not track.moved:
            limit_ms += one.may_wait_ms
        return clock_ms - track.since_ms >= limit_ms

    def _find_slow(self, now_ms: int) -> frozenset[messages.WorkerId]:
        fresh = {
            worker_id: speed.value
            for worker_id, speed in self._speeds.items()
            if now_ms - speed.at_ms <= SPEED_AGE_MAX_MS
        }
        if not fresh:
            return frozenset()
        limit = SLOW_PART * statistics.median(fresh.values())
        return frozenset(
            worker_id for worker_id, value in fresh.items() if value < limit
        )
