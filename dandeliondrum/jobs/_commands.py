"""The commands that change the replicated state of jobs."""

import dataclasses
import enum

from dandeliondrum.jobs import _specs
from dandeliondrum import messages


class RunOutcome(enum.Enum):
    """How a run ended.

    ``LOST`` is a run of which it is certain that it neither runs nor will.
    ``BROKEN`` and ``ALONE`` are ends of gang members: another member ended,
    or the others did not come.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'
    LOST = 'lost'


class WorkerPhase(enum.Enum):
    """Whether a worker may be given tasks."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerFacts:
    """What a worker reports about itself.

    ``address`` is ``host:port`` by IP number. ``started_ms`` tells one life
    of the worker from the next under the same id.
    """

    worker_id: messages.WorkerId
    address: str
    pool: str
    failure_domain: messages.FailureDomain
    rack: messages.Rack
    labels: tuple[str, ...]
    capacity: messages.Resources
    started_ms: int
    phase: WorkerPhase = WorkerPhase.READY


@dataclasses.dataclass(frozen=True, slots=True)
class RunAssignment:
    """A run of a task is to start on a worker."""

    task: _specs.TaskKey
    run: int
    worker_id: messages.WorkerId


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """A run ended on a worker; ``checkpoint`` is empty where there is none."""

    task: _specs.TaskKey
    run: int
    outcome: RunOutcome
    checkpoint: str = ''


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class SubmitJob:
    """Accept a job, unless its id is known."""

    spec: _specs.JobSpec


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class CancelJob:
    """Let a job end without its tasks."""

    job_id: _specs.JobId


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class AssignRuns:
    """Give tasks to workers; each group starts whole or not at all."""

    groups: tuple[tuple[RunAssignment, ...], ...]


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class EndRuns:
    """Record the ends of runs."""

    ends: tuple[RunEnd, ...]


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class PutWorker:
    """Record a worker, or what is new about it."""

    facts: WorkerFacts


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class RemoveWorker:
    """Forget a worker that has left and runs nothing."""

    worker_id: messages.WorkerId


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class PutPolicy:
    """Put an operator's document in force if its version is the highest."""

    version: int
    document: bytes


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class ForgetJobs:
    """Drop jobs that ended long ago."""

    job_ids: tuple[_specs.JobId, ...]
