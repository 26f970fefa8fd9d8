"""The order in which due steps get capacity.

Pure decisions on plain values: how urgent a step still is to the callers of
its job, and which step goes first if not everything fits.
"""

from dandeliondrum.jobs.queueing._backlog import Backlog
from dandeliondrum.jobs.queueing._contention import contended_pools
from dandeliondrum.jobs.queueing._contention import Contention
from dandeliondrum.jobs.queueing._contention import pool_rooms
from dandeliondrum.jobs.queueing._contention import PoolRoom
from dandeliondrum.jobs.queueing._contention import Running
from dandeliondrum.jobs.queueing._deferral import starts_ms
from dandeliondrum.jobs.queueing._objectives import objective_ms
from dandeliondrum.jobs.queueing._objectives import slack_ms
from dandeliondrum.jobs.queueing._objectives import SubmissionTimes
from dandeliondrum.jobs.queueing._order import cause_of
from dandeliondrum.jobs.queueing._order import Demand
from dandeliondrum.jobs.queueing._order import order
from dandeliondrum.jobs.queueing._order import sort_key
from dandeliondrum.jobs.queueing._order import WAIT_MAX_MS
from dandeliondrum.jobs.queueing._standing import Cause
from dandeliondrum.jobs.queueing._standing import NEUTRAL
from dandeliondrum.jobs.queueing._standing import Standing
from dandeliondrum.jobs.queueing._urgency import Urgency
from dandeliondrum.jobs.queueing._urgency import urgency_at
from dandeliondrum.jobs.queueing._value import KindMeans
from dandeliondrum.jobs.queueing._value import work_core_ms

__all__ = [
    'Backlog',
    'Cause',
    'Contention',
    'Demand',
    'KindMeans',
    'NEUTRAL',
    'PoolRoom',
    'Running',
    'Standing',
    'SubmissionTimes',
    'Urgency',
    'WAIT_MAX_MS',
    'cause_of',
    'contended_pools',
    'objective_ms',
    'order',
    'pool_rooms',
    'slack_ms',
    'sort_key',
    'starts_ms',
    'urgency_at',
    'work_core_ms',
]
