"""Tiers of the workers of a pool that is clearly uneven."""

import collections
import collections.abc
import enum
import statistics

from dandeliondrum.jobs.speeds import _estimates
from dandeliondrum import messages


class Tier(enum.Enum):
    """How fast a worker is compared with the others of its pool."""

    FAST = 'fast'
    NORMAL = 'normal'
    SLOW = 'slow'


# A worker is slow or fast if four fifths of its samples say that its speed
# differs by a quarter or a third from the median. Workers that are meant to
# be equal differ by a few percent.
SLOW_BELOW = 0.75
FAST_ABOVE = 1 / SLOW_BELOW
# It stays so until its speed is back within this, so that it does not change
# its tier with each sample.
SLOW_UNTIL = 0.85
FAST_UNTIL = 1 / SLOW_UNTIL
# Different steps that a worker must have run. With estimates that are spread
# evenly from 0.7 to 1.4, one sample in eight of an equal worker is below the
# limit, so that all of four are with one worker in 4,000.
SAMPLES_MIN = 4
# Part of the workers with samples that must have enough of them. The median
# of the first few workers is not that of the pool.
TRUSTED_SHARE = 0.5
# A pool is uneven if at least this many and this part of its workers with
# enough samples are slow or fast, and is until they are fewer than half that
# part. A single slow worker is left to the penalty of slow workers.
UNEVEN_WORKERS_MIN = 2
UNEVEN_SHARE = 0.1
# Speeds of tiers are rounded to multiples of this.
SPEED_STEP = 0.05

Estimates = collections.abc.Mapping[messages.WorkerId, _estimates.Estimate]
Tiers = collections.abc.Mapping[messages.WorkerId, Tier]


def find_tiers(
    estimates: Estimates, before: Tiers
) -> dict[messages.WorkerId, Tier]:
    """Return the tiers of slow and fast workers, none in an even pool.

    ``before`` holds the result of the last call. All other workers are of the
    normal tier. A slow worker runs little, so few samples are enough to keep
    its tier.
    """
    trusted = {
        worker_id: one
        for worker_id, one in estimates.items()
        if one.samples_count >= SAMPLES_MIN or worker_id in before
    }
    if not before and len(trusted) < TRUSTED_SHARE * len(estimates):
        return {}
    found: dict[messages.WorkerId, Tier] = {}
    for worker_id, one in trusted.items():
        tier = _tier(one, before.get(worker_id, Tier.NORMAL))
        if tier is not Tier.NORMAL:
            found[worker_id] = tier
    share = UNEVEN_SHARE / 2 if before else UNEVEN_SHARE
    if len(found) < max(UNEVEN_WORKERS_MIN, share * len(trusted)):
        return {}
    return found


def tier_speeds(estimates: Estimates, tiers: Tiers) -> dict[Tier, float]:
    """Return the median speed of each tier; that of the normal one is 1."""
    members = collections.defaultdict(list)
    for worker_id, tier in tiers.items():
        members[tier].append(estimates[worker_id].speed)
    return {
        tier: max(
            SPEED_STEP,
            round(
                round(statistics.median(found) / SPEED_STEP) * SPEED_STEP, 2
            ),
        )
        for tier, found in members.items()
    }


def _tier(one: _estimates.Estimate, before: Tier) -> Tier:
    if one.high < SLOW_BELOW:
        return Tier.SLOW
    if one.low > FAST_ABOVE:
        return Tier.FAST
    if before is Tier.SLOW and one.speed < SLOW_UNTIL:
        return before
    if before is Tier.FAST and one.speed > FAST_UNTIL:
        return before
    return Tier.NORMAL
