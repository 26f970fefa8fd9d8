"""Log commands that change the replicated state of jobs."""

import dataclasses
import enum

from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import evacuations
from dandeliondrum import messages


class RunOutcome(enum.Enum):
    """How a run ended.

    ``LAPSED`` means that the lease of the worker expired. ``LOST`` means that
    the run is certain neither to be running nor to start later. ``CRASHED``
    means that the process of the worker ended under the run. ``BROKEN`` and
    ``ALONE`` are outcomes of gang members: another member ended, or the other
    members did not start.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'
    LOST = 'lost'
    CRASHED = 'crashed'


class Suspicion(enum.Enum):
    """Evidence that a run crashed its worker.

    ``SHARED`` means that it ran beside runs of other jobs, ``STARTING`` that
    it had just been started, ``SOLE`` that no other job had just been started,
    and ``ALONE`` that no other job was running.
    """

    NONE = 'none'
    SHARED = 'shared'
    STARTING = 'starting'
    SOLE = 'sole'
    ALONE = 'alone'


class WorkerPhase(enum.Enum):
    """Whether a worker accepts new tasks."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerFacts:
    """What a worker reports about itself.

    ``address`` is ``host:port`` with a numeric IP address. ``started_ms``
    distinguishes the restarts of a worker under the same id.
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
    """Assignment of a run of a task to a worker."""

    task: _specs.TaskKey
    run: int
    worker_id: messages.WorkerId


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run; ``checkpoint`` is empty if there is none.

    ``suspicion`` is only used with ``CRASHED``.
    """

    task: _specs.TaskKey
    run: int
    outcome: RunOutcome
    checkpoint: str = ''
    suspicion: Suspicion = Suspicion.NONE


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class SubmitJob:
    """Accept a job, unless its id is already known."""

    spec: _specs.JobSpec


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class CancelJob:
    """End a job before its tasks are done.

    An id that is not known is cancelled before its submission: the team's job
    with this id never runs. Commands of earlier versions name no team, and
    have no effect on ids that are not known.
    """

    job_id: _specs.JobId
    team_id: messages.TeamId | None = None


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class AssignRuns:
    """Assign tasks to workers; each group is assigned as a whole or not."""

    groups: tuple[tuple[RunAssignment, ...], ...]


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class EndRuns:
    """Record the ends of runs, and the jobs of which a run has started.

    ``confirmed`` are runs, with their numbers, that a worker has listed and
    of which no start may be carried out any more.
    """

    ends: tuple[RunEnd, ...]
    begun: tuple[_specs.JobId, ...] = ()
    confirmed: tuple[tuple[_specs.TaskKey, int], ...] = ()


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class PutWorker:
    """Add or update the record of a worker.

    ``sequence`` is that of the report with these facts. They are used instead
    of those of the incarnation ``replaces_started_ms`` whatever the clock of
    the worker says.
    """

    facts: WorkerFacts
    sequence: int = 0
    replaces_started_ms: int | None = None


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class RemoveWorker:
    """Remove a worker without runs from the state.

    If ``started_ms`` is given, only this incarnation is removed.
    """

    worker_id: messages.WorkerId
    started_ms: int | None = None


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class PutPolicy:
    """Activate an operator's document if its version is the highest."""

    version: int
    document: bytes


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class ForgetJobs:
    """Remove ended jobs from the state.

    Also removes the ids that were cancelled before their submission, by
    commands up to ``early_cancels_until_index`` in the log.
    """

    job_ids: tuple[_specs.JobId, ...]
    early_cancels_until_index: int = 0


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class EvacuateDomain:
    """Assign no further runs to the workers of a failure domain.

    ``after_index`` is the log index of the newest order about the domain that
    the sender has seen. If there is a newer one, the command has no effect.
    """

    failure_domain: messages.FailureDomain
    after_index: int = 0
    origin: evacuations.Origin = evacuations.Origin()


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class RestoreDomain:
    """Revoke the evacuation of a failure domain; see EvacuateDomain."""

    failure_domain: messages.FailureDomain
    after_index: int = 0
    origin: evacuations.Origin = evacuations.Origin()
