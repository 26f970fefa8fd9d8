"""Commands of the replicated log, and the records that they contain.

Every command has ``cell_time_ms``, the leader's value of the cell clock. The
cell clock continues from the last value in the log at the rate of the
leader's monotonic clock. It therefore never goes back and is independent of
jumps of wall clocks.
"""

import dataclasses

from dandeliondrum.messages import _codec
from dandeliondrum.messages import _ids
from dandeliondrum.messages import _states
from dandeliondrum.messages import _task


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """A durable task and the body of its request."""

    spec: _task.TaskSpec
    body: bytes


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class AdmitTasks:
    """Accept durable tasks into the queue.

    Once this is committed, each of them must get an answer.
    """

    cell_time_ms: int
    admissions: tuple[Admission, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """One attempt: its task, its worker and the gateway that dispatches it.

    ``spec`` is set if the task is not in the log yet.
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
    """Commit attempts before any of them is dispatched.

    The assignments of one gang share a command with ``all_or_none``: either
    all of them are applied or none. Otherwise each is applied independently.
    """

    cell_time_ms: int
    assignments: tuple[Assignment, ...]
    all_or_none: bool = False


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class AttemptReport:
    """Outcome of an attempt, as observed by a gateway or a worker.

    ``may_retry`` is True unless the leader clears it, before it writes the
    report to the log, for a failed task without retries left.
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
    """Record the ends of attempts, which frees capacity on their workers."""

    cell_time_ms: int
    reports: tuple[AttemptReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A task that was not run and that can no longer start."""

    task_id: _ids.TaskId
    team_id: _ids.TeamId
    body_digest: str
    reason: _states.RefusalReason
    detail: str
    retry_after_ms: int = 0


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class RefuseTasks:
    """Record refusals, so that all gateways report "not run" for them."""

    cell_time_ms: int
    refusals: tuple[Refusal, ...]


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class CancelTasks:
    """Cancel tasks: running ones are stopped, queued ones never start."""

    cell_time_ms: int
    task_ids: tuple[_ids.TaskId, ...]
    team_id: _ids.TeamId


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class RegisterWorker:
    """Add a worker, or a new incarnation of one, to the fleet.

    ``last_heard_ms`` is the cell time of the last heartbeat of the previous
    incarnation, None if the leader has received none.
    """

    cell_time_ms: int
    facts: _task.WorkerFacts
    last_heard_ms: int | None = None


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class SetWorkerState:
    """Change the state of a worker: drain, quarantine, readmit or remove."""

    cell_time_ms: int
    worker_id: _ids.WorkerId
    incarnation: _ids.Incarnation
    state: _states.WorkerState
    why: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class ApplyRules:
    """Replace the rules if the current version is the expected one.

    A repeated ``change_id`` gets the same answer as its first application,
    even if the rules have changed since.
    """

    cell_time_ms: int
    change_id: str
    operator_id: _ids.OperatorId
    expected_version: _ids.RulesVersion
    text: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class ForgetTasks:
    """Remove ended tasks whose retention time is over."""

    cell_time_ms: int
    ended_before_ms: int


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class OrderDomain:
    """Evacuate a failure domain, or restore it.

    No task is assigned in an evacuated domain. ``after_index`` is the log
    index of the newest order about the domain that the operator has seen; if
    there is a newer one, the command has no effect. ``requested_unix_ms`` is
    the time of day of the leader.
    """

    cell_time_ms: int
    failure_domain: _ids.FailureDomain
    evacuated: bool
    after_index: int
    operator_id: _ids.OperatorId
    reason: str
    requested_unix_ms: int
