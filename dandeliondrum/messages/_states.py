"""Enums used in messages and in the replicated state."""

import enum


class TaskClass(enum.Enum):
    """Kind of a task; each kind has its own placement policy."""

    URGENT = 'urgent'
    BATCH = 'batch'
    GANG = 'gang'
    SERVICE = 'service'


class TaskState(enum.Enum):
    """State of a task according to the replicated log."""

    UNKNOWN = 'unknown'
    QUEUED = 'queued'
    ASSIGNED = 'assigned'
    DONE = 'done'
    FAILED = 'failed'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'
    IN_DOUBT = 'in_doubt'


class AttemptState(enum.Enum):
    """State of one attempt to run a task.

    ``NEVER_STARTED`` means that the worker guarantees that it has not started
    the attempt and never will. ``UNCERTAIN`` means that the start call was
    sent and got no reply. ``LOST`` means that the lease and its margin have
    expired: the attempt no longer runs, but it may have run before.
    """

    ASSIGNED = 'assigned'
    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'
    NEVER_STARTED = 'never_started'
    UNCERTAIN = 'uncertain'
    LOST = 'lost'


class WorkerState(enum.Enum):
    """State of a worker; only active workers are given tasks."""

    ACTIVE = 'active'
    LEAVING = 'leaving'
    QUARANTINED = 'quarantined'
    GONE = 'gone'


class RefusalReason(enum.Enum):
    """Reason why a task or a call was refused."""

    BAD_REQUEST = 'bad_request'
    BAD_KEY = 'bad_key'
    UNKNOWN_TEAM = 'unknown_team'
    ID_CONFLICT = 'id_conflict'
    NEVER_FITS = 'never_fits'
    QUEUE_FULL = 'queue_full'
    OVER_LIMIT = 'over_limit'
    DEADLINE_PASSED = 'deadline_passed'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    CANCELLED = 'cancelled'
    WORKERS_FAILED = 'workers_failed'
    SHUTTING_DOWN = 'shutting_down'
    STORAGE_FULL = 'storage_full'
