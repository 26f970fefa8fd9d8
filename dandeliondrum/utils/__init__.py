"""Utilities for clocks, timers, futures and supervised threads."""

from dandeliondrum.utils._clock import monotonic_ms
from dandeliondrum.utils._futures import gather
from dandeliondrum.utils._futures import resolved
from dandeliondrum.utils._futures import then
from dandeliondrum.utils._supervisor import FIRST_PAUSE_MS
from dandeliondrum.utils._supervisor import InvariantError
from dandeliondrum.utils._supervisor import LONGEST_PAUSE_MS
from dandeliondrum.utils._supervisor import Supervisor
from dandeliondrum.utils._supervisor import Task
from dandeliondrum.utils._timers import Subscription
from dandeliondrum.utils._timers import TimerService

__all__ = [
    'FIRST_PAUSE_MS',
    'InvariantError',
    'LONGEST_PAUSE_MS',
    'Subscription',
    'Supervisor',
    'Task',
    'TimerService',
    'gather',
    'monotonic_ms',
    'resolved',
    'then',
]
