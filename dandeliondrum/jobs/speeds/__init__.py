"""Speeds of workers, learned from the progress of the runs on them.

Workers of one pool may differ in speed although they report the same
capacity. Callers' estimates of run times are off by a fifth and more, so a
speed is derived from several steps, corrected by how the same steps run
elsewhere, and rounded to a few tiers that exist only in a pool that is
clearly uneven. See docs/design/speeds.md.

Example::

    table = SpeedTable()
    table.record(worker_id, step, done_ms=900, elapsed_ms=1_500, now_ms=now_ms)
    table.refresh({worker_id: 'pool'}, now_ms)
    table.relative_speed(worker_id, now_ms)  # 1.0 is the pool's median
"""

from dandeliondrum.jobs.speeds._estimates import Estimate
from dandeliondrum.jobs.speeds._report import log_change
from dandeliondrum.jobs.speeds._table import PoolSpeeds
from dandeliondrum.jobs.speeds._table import SpeedTable
from dandeliondrum.jobs.speeds._tiers import Tier

__all__ = ['Estimate', 'PoolSpeeds', 'SpeedTable', 'Tier', 'log_change']
