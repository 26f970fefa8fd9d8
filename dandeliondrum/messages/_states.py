"""Enumerated states that messages and the replicated state share."""

import enum


class TaskClass(enum.Enum):
    """What kind of work a task is; each has a placement policy of its own."""

    URGENT = 'urgent'
    BATCH = 'batch'
    GANG = 'gang'
    SERVICE = 'service'


class TaskState(enum.Enum):
    """Where a task stands, as far as the replicated log knows."""

    UNKNOWN = 'unknown'
    QUEUED = 'queued'
    ASSIGNED = 'assigned'
    DONE = 'done'
    FAILED = 'failed'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'
    IN_DOUBT = 'in_doubt'


class AttemptState(enum.Enum):
    """Where one attempt at a task stands.

    ``NEVER_STARTED`` means that the worker vouches that it did not start the
    attempt and never will. ``UNCERTAIN`` means that the start call was sent
    and nothing came back. ``LOST`` means that the lease and its margin have
    run out, so that the attempt no longer runs, but it may have run before.
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
    """Whether a worker may be given tasks."""

    ACTIVE = 'active'
    LEAVING = 'leaving'
    QUARANTINED = 'quarantined'
    GONE = 'gone'


class RefusalReason(enum.Enum):
    """Why a task was refused or a call could not be served."""

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
