"""Table of the learned speeds of all workers of one term."""

import collections
import collections.abc
import dataclasses
import math
import threading

from dandeliondrum.jobs.speeds import _estimates
from dandeliondrum.jobs.speeds import _tiers
from dandeliondrum import messages

# Newest steps of a worker that are kept.
SAMPLES_MAX = 12
# Older samples are dropped. A slow worker is chosen last and may run little,
# so its speed is kept for longer than a burst of load lasts.
SAMPLE_AGE_MAX_MS = 120_000
# A step counts once its runs on a worker were measured for this long; shorter
# ones are dominated by the whole percents that workers report.
MEASURED_MIN_MS = 400
# No worker is this much faster than estimated: the run has restored a
# checkpoint between two lists.
RATE_MAX = 6.0
# Least rate of a sample, which keeps logarithms finite.
RATE_MIN = 0.02


@dataclasses.dataclass(slots=True)
class _Measured:
    """Work done by the runs of a step on a worker, and the time it took."""

    done_ms: float = 0.0
    elapsed_ms: float = 0.0
    at_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSpeeds:
    """The speeds of the workers of a pool.

    ``rate`` is the median speed relative to the callers' estimates.
    ``tiers`` is empty in an even pool.
    """

    rate: float = 1.0
    estimates: collections.abc.Mapping[
        messages.WorkerId, _estimates.Estimate
    ] = dataclasses.field(default_factory=dict)
    tiers: collections.abc.Mapping[messages.WorkerId, _tiers.Tier] = (
        dataclasses.field(default_factory=dict)
    )
    tier_speeds: collections.abc.Mapping[_tiers.Tier, float] = (
        dataclasses.field(default_factory=dict)
    )

    def count(self, tier: _tiers.Tier) -> int:
        """Return the number of workers of a tier among those with samples."""
        if tier is _tiers.Tier.NORMAL:
            return len(self.estimates) - len(self.tiers)
        return sum(one is tier for one in self.tiers.values())

    def trusted_count(self) -> int:
        """Return the number of workers with enough samples."""
        return sum(
            one.samples_count >= _tiers.SAMPLES_MIN
            for one in self.estimates.values()
        )


class SpeedTable:
    """Learned speeds of workers; thread-safe.

    Speeds are computed by :meth:`refresh`, which only one thread calls, and
    replaced as a whole, so that they are read without a lock.
    """

    def __init__(self) -> None:
        # Protects the samples, and the replacement of what was computed.
        self._lock = threading.Lock()
        self._measured: dict[
            messages.WorkerId,
            collections.OrderedDict[_estimates.StepKey, _Measured],
        ] = {}
        # Workers that have restarted since the last refresh began.
        self._forgotten: set[messages.WorkerId] = set()
        self._speeds: dict[messages.WorkerId, float] = {}
        self._refreshed_ms: int | None = None
        self.pools: dict[str, PoolSpeeds] = {}

    def record(
        self,
        worker_id: messages.WorkerId,
        step: _estimates.StepKey,
        done_ms: float,
        elapsed_ms: float,
        now_ms: int,
    ) -> None:
        """Record that a run of a step advanced on a worker.

        ``done_ms`` is the part of the estimated run time that was completed
        in ``elapsed_ms`` on the worker's clock.
        """
        if elapsed_ms <= 0 or done_ms > RATE_MAX * elapsed_ms:
            return
        with self._lock:
            steps = self._measured.setdefault(
                worker_id, collections.OrderedDict()
            )
            measured = steps.setdefault(step, _Measured())
            steps.move_to_end(step)
            measured.done_ms += done_ms
            measured.elapsed_ms += elapsed_ms
            measured.at_ms = now_ms
            if len(steps) > SAMPLES_MAX:
                steps.popitem(last=False)

    def forget(self, worker_id: messages.WorkerId) -> None:
        """Drop what is known of a worker that has restarted.

        It may be of another kind now.
        """
        with self._lock:
            self._measured.pop(worker_id, None)
            self._forgotten.add(worker_id)
            self._speeds = _without(self._speeds, {worker_id})

    def refresh(
        self,
        pool_by_worker: collections.abc.Mapping[messages.WorkerId, str],
        now_ms: int,
    ) -> dict[str, list[messages.WorkerId]]:
        """Compute the speeds anew.

        Returns the workers of each pool that have changed their tier. Workers
        that are not in ``pool_by_worker`` are forgotten.
        """
        before = self.pools
        samples = self._read_samples(pool_by_worker, now_ms)
        pools = {
            name: _compute(
                samples.get(name, {}), before.get(name, PoolSpeeds())
            )
            for name in samples.keys() | before.keys()
        }
        speeds = {
            worker_id: pool.tier_speeds[tier]
            for pool in pools.values()
            for worker_id, tier in pool.tiers.items()
        }
        with self._lock:
            self.pools = pools
            self._speeds = _without(speeds, self._forgotten)
            self._refreshed_ms = now_ms
        changes = {
            name: _changed(before.get(name, PoolSpeeds()).tiers, pool.tiers)
            for name, pool in pools.items()
        }
        return {name: found for name, found in changes.items() if found}

    def pool(self, name: str) -> PoolSpeeds:
        """Return the speeds of a pool, without workers if it is unknown."""
        return self.pools.get(name, PoolSpeeds())

    def relative_speed(
        self, worker_id: messages.WorkerId, now_ms: int
    ) -> float:
        """Return the speed of a worker's tier; 1.0 is the pool's median.

        It is 1.0 in an even pool, for a worker with too few samples, and if
        the speeds have not been computed for long.
        """
        at_ms = self._refreshed_ms
        if at_ms is None or now_ms - at_ms > SAMPLE_AGE_MAX_MS:
            return 1.0
        return self._speeds.get(worker_id, 1.0)

    def uneven_speeds(
        self, now_ms: int
    ) -> collections.abc.Mapping[messages.WorkerId, float]:
        """Return the relative speeds that are not 1.0."""
        at_ms = self._refreshed_ms
        if at_ms is None or now_ms - at_ms > SAMPLE_AGE_MAX_MS:
            return {}
        return self._speeds

    def expected_run_ms(
        self,
        worker_id: messages.WorkerId,
        expected_ms: int,
        now_ms: int,
        percent: float = 0.0,
    ) -> int:
        """Return how long a run will take, or what is left of it.

        ``expected_ms`` is the caller's estimate and ``percent`` the part that
        is done. The estimate is used as it is, except on workers that are
        clearly slower or faster than their pool.
        """
        left_ms = (1 - min(percent, 100.0) / 100) * expected_ms
        return math.ceil(left_ms / self.relative_speed(worker_id, now_ms))

    def expected_end_ms(
        self,
        worker_id: messages.WorkerId,
        expected_ms: int,
        now_ms: int,
        percent: float = 0.0,
    ) -> int:
        """Return when a run is expected to end if it goes on from now."""
        return now_ms + self.expected_run_ms(
            worker_id, expected_ms, now_ms, percent
        )

    def _read_samples(
        self,
        pool_by_worker: collections.abc.Mapping[messages.WorkerId, str],
        now_ms: int,
    ) -> dict[str, dict[messages.WorkerId, list[_estimates.Sample]]]:
        """Return the samples of each pool; drop old ones."""
        with self._lock:
            self._forgotten.clear()
            worker_ids = list(self._measured)
        samples: dict[
            str, dict[messages.WorkerId, list[_estimates.Sample]]
        ] = collections.defaultdict(dict)
        for worker_id in worker_ids:
            pool_name = pool_by_worker.get(worker_id)
            # Threads that record samples hold the lock of the term, so this
            # lock is held only briefly.
            with self._lock:
                found = self._samples_of(worker_id, now_ms)
                if pool_name is None:
                    self._measured.pop(worker_id, None)
            if found and pool_name is not None:
                samples[pool_name][worker_id] = found
        return samples

    def _samples_of(
        self, worker_id: messages.WorkerId, now_ms: int
    ) -> list[_estimates.Sample]:
        """Return the samples of a worker; the caller holds the lock."""
        steps = self._measured.get(worker_id)
        while steps:
            step, oldest = next(iter(steps.items()))
            if now_ms - oldest.at_ms <= SAMPLE_AGE_MAX_MS:
                return _samples(steps, now_ms)
            del steps[step]
        self._measured.pop(worker_id, None)
        return []


def _samples(
    steps: collections.abc.Mapping[_estimates.StepKey, _Measured], now_ms: int
) -> list[_estimates.Sample]:
    return [
        _estimates.Sample(
            step,
            math.log(max(RATE_MIN, one.done_ms / one.elapsed_ms)),
            now_ms - one.at_ms,
        )
        for step, one in steps.items()
        if one.elapsed_ms >= MEASURED_MIN_MS
    ]


def _compute(
    samples: collections.abc.Mapping[
        messages.WorkerId, list[_estimates.Sample]
    ],
    before: PoolSpeeds,
) -> PoolSpeeds:
    speeds_before = {
        worker_id: one.speed for worker_id, one in before.estimates.items()
    }
    estimates, rate = _estimates.estimate(
        samples, speeds_before, _tiers.SAMPLES_MIN
    )
    tiers = _tiers.find_tiers(estimates, before.tiers)
    return PoolSpeeds(
        rate, estimates, tiers, _tiers.tier_speeds(estimates, tiers)
    )


def _changed(
    before: _tiers.Tiers, after: _tiers.Tiers
) -> list[messages.WorkerId]:
    return sorted(
        worker_id
        for worker_id in before.keys() | after.keys()
        if before.get(worker_id) is not after.get(worker_id)
    )


def _without(
    speeds: collections.abc.Mapping[messages.WorkerId, float],
    worker_ids: collections.abc.Set[messages.WorkerId],
) -> dict[messages.WorkerId, float]:
    return {
        worker_id: speed
        for worker_id, speed in speeds.items()
        if worker_id not in worker_ids
    }
