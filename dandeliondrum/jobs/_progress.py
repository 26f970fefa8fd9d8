"""Detection of stalled runs and slow workers from reported progress.

A worker may answer and renew its lease while its runs make no progress or
take many times as long as elsewhere. This module works on plain values and
the clock of the worker, so that tests can simulate any sequence of lists.
"""

import collections
import collections.abc
import dataclasses
import statistics

from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import speeds
from dandeliondrum import messages

# A run without progress for this long is stalled. The limit is only two reads
# of the lists at their longest interval because urgent tasks take a second.
STALL_MS = 1_000
STALLED_LISTINGS_MIN = 3
# Extra time for a run that restores a checkpoint, which takes up to 600 ms.
RESTORE_MS = 1_000
# Extra time for gang members, which wait up to 4 s for the last one to start.
GANG_START_MS = 5_000
# A percent of progress may take this many times longer on a slow worker,
# according to the users' site files. It only affects tasks of more than 12 s.
SLOWEST_FACTOR = 8
COMPLETE_PERCENT = 100
# A task that stalled this often is not moved again: its worker is not the
# cause.
STALLS_MAX = 2
# Workers below this fraction of the median speed are slow. Estimates are off
# by up to a half, and slow workers take four times as long.
SLOW_FRACTION = 0.35
# Lower bound of the speed, which keeps remaining times finite.
SPEED_MIN = 0.05
# Weight of the newest sample in the moving average of a worker's speed.
SPEED_SMOOTHING_FACTOR = 0.5
# A run without checkpoints is moved off a draining worker only below this
# progress.
RESTART_PERCENT_MAX = 20
# Older speed samples are ignored, so that a slow worker is tried again.
SPEED_AGE_MAX_MS = 6_000
# Interval at which the median speed of the fleet is recomputed.
MEDIAN_INTERVAL_MS = 200
# A worker whose lists are this far apart was suspended or cut off, so its runs
# are not measured in between. Lists are read each 500 ms.
LIST_GAP_MAX_MS = 1_200
# A run without progress for longer than this, and than a percent takes on a
# slow worker, has paused. The pause says nothing about the worker's speed.
PAUSE_MS = 700


@dataclasses.dataclass(frozen=True, slots=True)
class RunProgress:
    """Progress of a run.

    ``percent`` is the completed part of its work, ``expected_ms`` the
    estimated duration of all of it. ``startup_allowance_ms`` is how long the
    run may legitimately make no progress at its beginning. A
    ``checkpointing`` run keeps its progress when it is stopped. A member of a
    ``gang`` ends when all members are done.
    """

    task: _specs.TaskKey
    run: int
    percent: float
    expected_ms: int
    startup_allowance_ms: int = 0
    checkpointing: bool = False
    gang: bool = False


@dataclasses.dataclass(slots=True)
class _RunTrack:
    """A run since its last progress.

    ``is_measured`` tells that the time since then counts for the speed of the
    worker.
    """

    percent: float
    since_ms: int
    expected_ms: int
    is_measured: bool
    gang: bool
    listings_count: int = 1
    has_progressed: bool = False
    reported_late: bool = False


@dataclasses.dataclass(slots=True)
class _Speed:
    value: float
    at_ms: int


class Progress:
    """Tracks the runs of all workers.

    Not thread-safe: the caller holds a lock.
    """

    def __init__(self, table: speeds.SpeedTable | None = None) -> None:
        self._table = table or speeds.SpeedTable()
        # Time of the last list of each worker, on its clock.
        self._listed_ms: dict[messages.WorkerId, int] = {}
        self._tracks: dict[
            messages.WorkerId, dict[tuple[_specs.TaskKey, int], _RunTrack]
        ] = {}
        self._speeds: dict[messages.WorkerId, _Speed] = {}
        self._stalls: collections.Counter[_specs.TaskKey] = (
            collections.Counter()
        )
        self._slow: frozenset[messages.WorkerId] = frozenset()
        self._slow_at_ms: int | None = None

    def record_list(
        self,
        worker_id: messages.WorkerId,
        runs: list[RunProgress],
        clock_ms: int,
        now_ms: int,
        done: collections.abc.Collection[tuple[_specs.TaskKey, int]] = (),
    ) -> list[RunProgress]:
        """Record a worker's list of runs; return the runs now found stalled.

        ``clock_ms`` is the time of the list on the worker's clock, ``now_ms``
        the time on the clock of this process. ``done`` holds the runs that
        are listed as ended successfully.
        """
        before = self._tracks.get(worker_id, {})
        gap_ms = clock_ms - self._listed_ms.get(worker_id, clock_ms)
        self._listed_ms[worker_id] = clock_ms
        if not 0 <= gap_ms <= LIST_GAP_MAX_MS:
            for known in before.values():
                known.is_measured = False
        for key in done:
            if key in before and not before[key].gang:
                self._measure(
                    worker_id,
                    key[0],
                    before[key],
                    COMPLETE_PERCENT,
                    clock_ms,
                    now_ms,
                )
        tracks = {}
        stalled = []
        for run in runs:
            key = (run.task, run.run)
            track = before.get(key)
            if track is None:
                track = _RunTrack(
                    run.percent,
                    clock_ms,
                    run.expected_ms,
                    run.percent > 0 and not run.startup_allowance_ms,
                    run.gang,
                )
            elif run.percent > track.percent:
                self._advance(worker_id, track, run, clock_ms, now_ms)
            else:
                track.listings_count += 1
                if _is_paused(track, clock_ms):
                    track.is_measured = False
                if self._is_stalled(track, run, clock_ms):
                    stalled.append(run)
                    track.since_ms, track.listings_count = clock_ms, 1
            tracks[key] = track
        self._tracks[worker_id] = tracks
        for run in stalled:
            self._stalls[run.task] += 1
        return stalled

    def late_runs(
        self,
        worker_id: messages.WorkerId,
        runs: list[RunProgress],
        left_ms: int,
    ) -> list[RunProgress]:
        """Return the runs to restart elsewhere before their worker leaves.

        A run that can't end in time on a draining worker would be lost with
        the worker, so it is restarted elsewhere at once. A run without
        checkpoints that has made much progress stays, since workers often
        leave later than announced. Each run is returned only once.
        """
        speed = max(self.speed(worker_id), SPEED_MIN)
        tracks = self._tracks.get(worker_id, {})
        found = []
        for run in runs:
            track = tracks.get((run.task, run.run))
            if track is None or track.reported_late:
                continue
            if not run.checkpointing and run.percent >= RESTART_PERCENT_MAX:
                continue
            rest_ms = (1 - run.percent / 100) * run.expected_ms / speed
            if rest_ms > left_ms:
                track.reported_late = True
                found.append(run)
        return found

    def slow_workers(self, now_ms: int) -> frozenset[messages.WorkerId]:
        """Return the workers that are much slower than the median."""
        at_ms = self._slow_at_ms
        if at_ms is None or now_ms - at_ms >= MEDIAN_INTERVAL_MS:
            self._slow_at_ms = now_ms
            self._slow = self._find_slow(now_ms)
        return self._slow

    def speed(self, worker_id: messages.WorkerId) -> float:
        """Return the speed of a worker.

        1 if it meets the estimates or has no samples.
        """
        known = self._speeds.get(worker_id)
        return known.value if known is not None else 1.0

    def percent(
        self, worker_id: messages.WorkerId, task: _specs.TaskKey, run: int
    ) -> float:
        """Return the last known progress of a run, 0 if it is not listed.

        It may be called without the lock: the tracks of a worker are replaced
        as a whole.
        """
        track = self._tracks.get(worker_id, {}).get((task, run))
        return track.percent if track is not None else 0.0

    def forget(self, worker_id: messages.WorkerId) -> None:
        """Drop the history of a worker that has restarted."""
        self._tracks.pop(worker_id, None)
        self._speeds.pop(worker_id, None)
        self._listed_ms.pop(worker_id, None)
        self._table.forget(worker_id)

    def forget_jobs(self, job_ids: set[_specs.JobId]) -> None:
        """Drop the history of jobs that have ended."""
        for task in [key for key in self._stalls if key.job_id in job_ids]:
            del self._stalls[task]

    def _advance(
        self,
        worker_id: messages.WorkerId,
        track: _RunTrack,
        run: RunProgress,
        clock_ms: int,
        now_ms: int,
    ) -> None:
        # The first progress is not measured: it includes a startup of unknown
        # duration.
        elapsed_ms = clock_ms - track.since_ms
        if track.has_progressed and elapsed_ms > 0:
            done_ms = (run.percent - track.percent) / 100 * run.expected_ms
            self._update_speed(worker_id, done_ms / elapsed_ms, now_ms)
        if run.percent < COMPLETE_PERCENT:
            # Nobody knows since when a complete member waits for its gang.
            self._measure(
                worker_id, run.task, track, run.percent, clock_ms, now_ms
            )
        track.is_measured = True
        track.percent, track.since_ms = run.percent, clock_ms
        track.listings_count, track.has_progressed = 1, True

    def _measure(
        self,
        worker_id: messages.WorkerId,
        task: _specs.TaskKey,
        track: _RunTrack,
        percent: float,
        clock_ms: int,
        now_ms: int,
    ) -> None:
        """Record the progress of a run for the speed of its worker."""
        if not track.is_measured:
            return
        self._table.record(
            worker_id,
            (task.job_id, task.step),
            (percent - track.percent) / 100 * track.expected_ms,
            clock_ms - track.since_ms,
            now_ms,
        )

    def _update_speed(
        self, worker_id: messages.WorkerId, value: float, now_ms: int
    ) -> None:
        known = self._speeds.get(worker_id)
        if known is not None and now_ms - known.at_ms <= SPEED_AGE_MAX_MS:
            value = (
                SPEED_SMOOTHING_FACTOR * value
                + (1 - SPEED_SMOOTHING_FACTOR) * known.value
            )
        self._speeds[worker_id] = _Speed(value, now_ms)

    def _is_stalled(
        self, track: _RunTrack, run: RunProgress, clock_ms: int
    ) -> bool:
        if track.listings_count < STALLED_LISTINGS_MIN:
            return False
        if run.percent >= COMPLETE_PERCENT:
            # A gang member that is done waits for the other members.
            return False
        if self._stalls[run.task] >= STALLS_MAX:
            return False
        percent_ms = run.expected_ms / 100 * SLOWEST_FACTOR
        limit_ms = max(STALL_MS, percent_ms)
        if not track.has_progressed:
            limit_ms += run.startup_allowance_ms
        return clock_ms - track.since_ms >= limit_ms

    def _find_slow(self, now_ms: int) -> frozenset[messages.WorkerId]:
        fresh = {
            worker_id: speed.value
            for worker_id, speed in self._speeds.items()
            if now_ms - speed.at_ms <= SPEED_AGE_MAX_MS
        }
        if not fresh:
            return frozenset()
        limit = SLOW_FRACTION * statistics.median(fresh.values())
        return frozenset(
            worker_id for worker_id, value in fresh.items() if value < limit
        )


def _is_paused(track: _RunTrack, clock_ms: int) -> bool:
    percent_ms = track.expected_ms / 100 * SLOWEST_FACTOR
    return clock_ms - track.since_ms > max(PAUSE_MS, percent_ms)
