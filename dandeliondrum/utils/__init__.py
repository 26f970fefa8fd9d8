"""Utilities for clocks, timers, futures and supervised threads."""

from dandeliondrum.utils._accept_failures import AcceptFailures
from dandeliondrum.utils._allocator import return_large_blocks
from dandeliondrum.utils._clock import monotonic_ms
from dandeliondrum.utils._clock import process_age_ms
from dandeliondrum.utils._collector import limit_collections
from dandeliondrum.utils._futures import chain_future
from dandeliondrum.utils._futures import completed_future
from dandeliondrum.utils._futures import gather
from dandeliondrum.utils._futures import log_failure
from dandeliondrum.utils._futures import map_future
from dandeliondrum.utils._lazy_imports import import_on_use
from dandeliondrum.utils._passing_errors import is_passing
from dandeliondrum.utils._processor_time import ProcessorTime
from dandeliondrum.utils._processor_time import UNKNOWN_PART
from dandeliondrum.utils._supervisor import InvariantError
from dandeliondrum.utils._supervisor import RESTART_BACKOFF_MAX_MS
from dandeliondrum.utils._supervisor import RESTART_BACKOFF_MIN_MS
from dandeliondrum.utils._supervisor import Supervisor
from dandeliondrum.utils._supervisor import Task
from dandeliondrum.utils._timers import Subscription
from dandeliondrum.utils._timers import TimerService

__all__ = [
    'AcceptFailures',
    'InvariantError',
    'ProcessorTime',
    'RESTART_BACKOFF_MAX_MS',
    'RESTART_BACKOFF_MIN_MS',
    'Subscription',
    'Supervisor',
    'Task',
    'TimerService',
    'UNKNOWN_PART',
    'chain_future',
    'completed_future',
    'gather',
    'import_on_use',
    'is_passing',
    'limit_collections',
    'log_failure',
    'map_future',
    'monotonic_ms',
    'process_age_ms',
    'return_large_blocks',
]
