"""Table of the learned speeds of all workers of one term."""

import collections
import collections.abc
import dataclasses
import math
import typing

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
# Interval at which the speeds are computed.
REFRESH_INTERVAL_MS = 1_000

_T = typing.TypeVar('_T')


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
    """Learned speeds of workers.

    Not thread-safe: the caller holds a lock.
    """

    def __init__(self) -> None:
        self._measured: dict[
            messages.WorkerId,
            collections.OrderedDict[_estimates.StepKey, _Measured],
        ] = {}
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
        steps = self._measured.setdefault(worker_id, collections.OrderedDict())
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
        self._measured.pop(worker_id, None)
        self._speeds.pop(worker_id, None)
        for name, pool in self.pools.items():
            if worker_id in pool.estimates:
                self.pools[name] = dataclasses.replace(
                    pool,
                    estimates=_without(pool.estimates, worker_id),
                    tiers=_without(pool.tiers, worker_id),
                )

    def refresh(
        self,
        pool_by_worker: collections.abc.Mapping[messages.WorkerId, str],
        now_ms: int,
    ) -> dict[str, list[messages.WorkerId]]:
        """Compute the speeds anew.

        Returns the workers of each pool that have changed their tier. Workers
        that are not in ``pool_by_worker`` are forgotten.
        """
        self._refreshed_ms = now_ms
        samples: dict[
            str, dict[messages.WorkerId, list[_estimates.Sample]]
        ] = collections.defaultdict(dict)
        for worker_id in list(self._measured):
            pool_name = pool_by_worker.get(worker_id)
            if pool_name is None:
                self.forget(worker_id)
                continue
            found = self._samples(worker_id, now_ms)
            if found:
                samples[pool_name][worker_id] = found
        before = self.pools
        self.pools = {
            name: _compute(
                samples.get(name, {}), before.get(name, PoolSpeeds())
            )
            for name in samples.keys() | before.keys()
        }
        self._speeds = {
            worker_id: pool.tier_speeds[tier]
            for pool in self.pools.values()
            for worker_id, tier in pool.tiers.items()
        }
        changes = {
            name: _changed(before.get(name, PoolSpeeds()).tiers, pool.tiers)
            for name, pool in self.pools.items()
        }
        return {name: found for name, found in changes.items() if found}

    def is_due(self, now_ms: int) -> bool:
        """Return whether the speeds are to be computed anew."""
        at_ms = self._refreshed_ms
        return at_ms is None or now_ms - at_ms >= REFRESH_INTERVAL_MS

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

    def _samples(
        self, worker_id: messages.WorkerId, now_ms: int
    ) -> list[_estimates.Sample]:
        steps = self._measured[worker_id]
        for step, one in list(steps.items()):
            if now_ms - one.at_ms > SAMPLE_AGE_MAX_MS:
                del steps[step]
        if not steps:
            del self._measured[worker_id]
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
    found: collections.abc.Mapping[messages.WorkerId, _T],
    worker_id: messages.WorkerId,
) -> dict[messages.WorkerId, _T]:
    return {key: value for key, value in found.items() if key != worker_id}
