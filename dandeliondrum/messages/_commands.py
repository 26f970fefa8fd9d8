"""Commands of the replicated log, and the records that they carry.

Every command carries ``cell_time_ms``, the leader's reading of the cell's
own clock. That clock goes on from the last value in the log at the pace of
the leader's monotonic clock, so it never goes back and no wall clock that
jumps can move it.
"""

import dataclasses

from dandeliondrum.messages import _codec
from dandeliondrum.messages import _ids
from dandeliondrum.messages import _states
from dandeliondrum.messages import _task


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """A durable task and its request body."""

    spec: _task.TaskSpec
    body: bytes


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class AdmitTasks:
    """Take durable tasks for later; from here on they are owed an answer."""

    cell_time_ms: int
    admissions: tuple[Admission, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """One attempt: a task, the worker it goes to, the gateway that sends it.

    ``spec`` is given for a task that the log does not hold yet.
    """

    task_id: _ids.TaskId
    worker_id: _ids.WorkerId
    incarnation: _ids.Incarnation
    gateway_id: _ids.GatewayId
    lease_ms: int
    spec: _task.TaskSpec | None = None


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class AssignTasks:
    """Agree on attempts before any of them is dispatched.

    The assignments of one gang share a command and are applied all or none;
    the others are applied each for itself.
    """

    cell_time_ms: int
    assignments: tuple[Assignment, ...]
    all_or_none: bool = False


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class AttemptReport:
    """What became of an attempt, as a gateway or a worker saw it.

    ``may_retry`` is the leader's: it clears it where a failed task has used
    up its retries, before the report goes into the log.
    """

    attempt_id: _ids.AttemptId
    state: _states.AttemptState
    answer: _task.AnswerPlace | None = None
    detail: str = ''
    run_ms: int = 0
    peak_resources: _task.Resources | None = None
    may_retry: bool = True


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class EndAttempts:
    """Record how attempts ended; their workers' capacity is free again."""

    cell_time_ms: int
    reports: tuple[AttemptReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A task that was not run and, from here on, can't start any more."""

    task_id: _ids.TaskId
    team_id: _ids.TeamId
    body_digest: str
    reason: _states.RefusalReason
    detail: str
    retry_after_ms: int = 0


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class RefuseTasks:
    """Record refusals, so that "not run" is true on every gateway."""

    cell_time_ms: int
    refusals: tuple[Refusal, ...]


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class CancelTasks:
    """Cancel tasks; running ones are stopped, queued ones never start."""

    cell_time_ms: int
    task_ids: tuple[_ids.TaskId, ...]
    team_id: _ids.TeamId


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class RegisterWorker:
    """Take a worker, or a new incarnation of one, into the fleet."""

    cell_time_ms: int
    facts: _task.WorkerFacts


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class SetWorkerState:
    """Drain, quarantine, readmit or forget a worker."""

    cell_time_ms: int
    worker_id: _ids.WorkerId
    incarnation: _ids.Incarnation
    state: _states.WorkerState
    why: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class ApplyRules:
    """Replace the rules file if its version is still the expected one.

    The same ``change_id`` sent again gets the first answer, whatever has
    happened since.
    """

    cell_time_ms: int
    change_id: str
    operator_id: _ids.OperatorId
    expected_version: _ids.RulesVersion
    text: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class ForgetTasks:
    """Drop ended tasks whose retention is over."""

    cell_time_ms: int
    ended_before_ms: int
