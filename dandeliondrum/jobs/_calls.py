"""Calls between the processes about jobs, workers, policy and advice."""

import dataclasses

from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _specs
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
    """Where a job is; ``phase`` is None for a job that is not known."""

    phase: _records.JobPhase | None


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class WaitingQuery:
    """Ask how many jobs of a queue have no task that was started."""

    queue: messages.QueueName


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class WaitingCount:
    """The answer to a WaitingQuery."""

    jobs_count: int


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's heartbeat; ``sequence`` rises within one life of it.

    ``leaves_in_ms`` is how long a draining worker stays at least, None where
    it does not say.
    """

    facts: _commands.WorkerFacts
    sequence: int
    leaves_in_ms: int | None = None


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLeft:
    """A worker says that it ends."""

    worker_id: messages.WorkerId


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerNoted:
    """The leader has a worker's report; where to send later ones."""

    leader_id: messages.ControllerId


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentChange:
    """Ask the leader to put an operator's document in force."""

    version: int
    document: bytes


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentQuery:
    """Ask for the newest document, confirmed by a quorum."""


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentInForce:
    """The newest document; version 0 where there is none yet."""

    version: int
    document: bytes = b''


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequest:
    """A controller without a cell asks the leader to take it in."""

    controller_id: messages.ControllerId
    address: str


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class AdviceRequest:
    """The leader asks another process to call the adviser about a step."""

    step: str
    worker_ids: tuple[messages.WorkerId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A worker that may run the step, with the ticket that proves it."""

    worker_id: messages.WorkerId
    ticket: str


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class AdviceReply:
    """What the adviser granted; ``problem`` is set when it did not answer."""

    grants: tuple[Grant, ...]
    valid_ms: int
    problem: str = ''
