"""Messages between processes about jobs, workers, policy and advice."""

import dataclasses

from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import evacuations
from dandeliondrum import messages


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class JobSubmission:
    """Ask the leader to accept a job; the reply is a JobStatus."""

    spec: _specs.JobSpec


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class JobQuery:
    """Ask for the state of a job; the reply is a JobStatus."""

    job_id: _specs.JobId
    team_id: messages.TeamId


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class JobCancellation:
    """Ask the leader to cancel a job; the reply is a JobStatus."""

    job_id: _specs.JobId
    team_id: messages.TeamId


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class JobStatus:
    """The phase of a job; None if the job is not known.

    ``detail`` tells why a job can't run on the workers that are usable now,
    if that is so.
    """

    phase: _records.JobPhase | None
    detail: str = ''


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class WaitingQuery:
    """Ask how many jobs of a queue have not started any task."""

    queue: messages.QueueName


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class WaitingCount:
    """The reply to a WaitingQuery."""

    jobs_count: int


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's heartbeat.

    ``sequence`` increases until the worker restarts. ``leaves_in_ms`` is the
    minimum time for which a draining worker stays available, None if it is
    not given.
    """

    facts: _commands.WorkerFacts
    sequence: int
    leaves_in_ms: int | None = None


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLeft:
    """A worker announces that it shuts down.

    ``started_ms`` tells which incarnation does, 0 if the worker has not given
    it.
    """

    worker_id: messages.WorkerId
    started_ms: int = 0


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerNoted:
    """Acknowledges a worker's report and names the leader for later ones."""

    leader_id: messages.ControllerId


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentChange:
    """Ask the leader to activate an operator's policy document."""

    version: int
    document: bytes


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentQuery:
    """Ask for the newest policy document, confirmed by a quorum.

    The reply leaves the document out if it is of ``known_version``.
    """

    known_version: int = 0


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentInForce:
    """The newest policy document; version 0 if there is none yet.

    The document is empty if the query was sent with its version.
    """

    version: int
    document: bytes = b''


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class DomainChange:
    """Ask the leader to evacuate or restore a failure domain.

    ``after_index`` is the log index of the newest order about the domain that
    the sender has seen. The reply is an EvacuatedDomains.
    """

    failure_domain: messages.FailureDomain
    evacuated: bool
    after_index: int = 0
    origin: evacuations.Origin = evacuations.Origin()


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class DomainQuery:
    """Ask for the orders about failure domains, confirmed by a quorum."""


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class EvacuatedDomains:
    """The newest order about each failure domain, also of restored ones.

    ``is_outdated`` tells that the order of the DomainChange had no effect, as
    there is a newer one than its sender has seen.
    """

    orders: tuple[evacuations.DomainOrder, ...] = ()
    is_outdated: bool = False

    @property
    def domains(self) -> frozenset[messages.FailureDomain]:
        """The domains that are evacuated."""
        return evacuations.Evacuations(self.orders).domains


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequest:
    """A controller asks the leader to be added to the cell."""

    controller_id: messages.ControllerId
    address: str


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class LeaveRequest:
    """A controller that stops asks the leader to replace it.

    The reply is a LeaveReply.
    """

    controller_id: messages.ControllerId


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class LeaveReply:
    """Whether another controller takes the place of one that stops.

    If so, it votes already, or, where the leader itself stops, is ready to.
    """

    has_successor: bool


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Ask another process to call the adviser about a step."""

    step: str
    worker_ids: tuple[messages.WorkerId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A worker that may run the step, and the ticket to present to it."""

    worker_id: messages.WorkerId
    ticket: str


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class AdviceReply:
    """The adviser's grants.

    The tickets are valid for ``valid_ms``. ``problem`` is set if the adviser
    did not answer.
    """

    grants: tuple[Grant, ...]
    valid_ms: int
    problem: str = ''
