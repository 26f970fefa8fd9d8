"""The order in which due steps get capacity.

Pure decisions on plain values: how urgent a step still is to the callers of
its job, and which step goes first if not everything fits.
"""

from dandeliondrum.jobs.queueing._backlog import Backlog
from dandeliondrum.jobs.queueing._objectives import objective_ms
from dandeliondrum.jobs.queueing._objectives import slack_ms
from dandeliondrum.jobs.queueing._objectives import SubmissionTimes
from dandeliondrum.jobs.queueing._order import Demand
from dandeliondrum.jobs.queueing._order import sort_key
from dandeliondrum.jobs.queueing._urgency import Urgency
from dandeliondrum.jobs.queueing._urgency import urgency_at
from dandeliondrum.jobs.queueing._value import KindMeans
from dandeliondrum.jobs.queueing._value import work_core_ms

__all__ = [
    'Backlog',
    'Demand',
    'KindMeans',
    'SubmissionTimes',
    'Urgency',
    'objective_ms',
    'slack_ms',
    'sort_key',
    'urgency_at',
    'work_core_ms',
]
