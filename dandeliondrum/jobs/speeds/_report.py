"""Log lines about changes of the speeds of workers."""

import collections.abc

import structlog

from dandeliondrum.jobs.speeds import _table
from dandeliondrum.jobs.speeds import _tiers
from dandeliondrum import messages

# Workers that are described in one line.
WORKERS_PER_LINE_MAX = 10

_logger = structlog.get_logger()


def log_change(
    name: str,
    pool: _table.PoolSpeeds,
    worker_ids: collections.abc.Sequence[messages.WorkerId],
) -> None:
    """Log that workers of a pool have changed their tier.

    The speeds are computed each 2 s, so there are few lines for each pool.
    """
    _logger.info(
        'worker speeds changed',
        pool=name,
        uneven=bool(pool.tiers),
        rate=round(pool.rate, 2),
        measured_count=pool.trusted_count(),
        slow_count=pool.count(_tiers.Tier.SLOW),
        fast_count=pool.count(_tiers.Tier.FAST),
        tier_speeds={
            tier.value: round(speed, 2)
            for tier, speed in pool.tier_speeds.items()
        },
        changed_count=len(worker_ids),
        changed={
            worker_id: _describe(pool, worker_id)
            for worker_id in worker_ids[:WORKERS_PER_LINE_MAX]
        },
    )


def _describe(pool: _table.PoolSpeeds, worker_id: messages.WorkerId) -> str:
    """Return for example ``slow 0.46, 5 samples, 800 ms old``."""
    tier = pool.tiers.get(worker_id, _tiers.Tier.NORMAL).value
    one = pool.estimates.get(worker_id)
    if one is None:
        return f'{tier}, no samples'
    return (
        f'{tier} {one.speed:.2f}, {one.samples_count} samples, '
        f'{one.age_ms} ms old'
    )
