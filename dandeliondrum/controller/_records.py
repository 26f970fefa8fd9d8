"""Records of the replicated state.

They change only while a command of the log is applied, so every controller
holds the same ones.
"""

import dataclasses

from dandeliondrum import messages

EVENTS_PER_TASK = 16


@dataclasses.dataclass(slots=True)
class AttemptRecord:
    """One agreed attempt at a task."""

    attempt_id: messages.AttemptId
    task_id: messages.TaskId
    token: messages.FencingToken
    worker_id: messages.WorkerId
    incarnation: messages.Incarnation
    gateway_id: messages.GatewayId
    lease_ms: int
    assigned_ms: int


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """What the log knows about a task.

    ``attempt`` is the attempt that may be running. ``last_attempt`` is the
    latest one that ended without an answer; a worker that comes back may
    still report what became of it. ``may_have_run`` is set once an attempt
    ended in any other way than by never having been started.
    """

    spec: messages.TaskSpec
    state: messages.TaskState
    deadline_ms: int
    body: bytes | None = None
    attempt: AttemptRecord | None = None
    last_attempt: AttemptRecord | None = None
    attempts_count: int = 0
    failures_count: int = 0
    may_have_run: bool = False
    failed_workers: tuple[messages.WorkerId, ...] = ()
    cancel_requested: bool = False
    ended_ms: int | None = None
    reason: messages.RefusalReason | None = None
    detail: str = ''
    retry_after_ms: int = 0
    answer: messages.AnswerPlace | None = None
    events: tuple[tuple[int, str], ...] = ()

    def note(self, time_ms: int, event: str) -> None:
        """Remember an event for whoever asks why."""
        kept = self.events[-EVENTS_PER_TASK + 1 :]
        self.events = (*kept, (time_ms, event))

    def status(self) -> messages.TaskStatus:
        """Return the status as callers and gateways see it."""
        return messages.TaskStatus(
            task_id=self.spec.task_id,
            state=self.state,
            reason=self.reason,
            detail=self.detail,
            retry_after_ms=self.retry_after_ms,
            answer=self.answer,
            attempts_count=self.attempts_count,
            worker_id=self.attempt.worker_id if self.attempt else None,
        )


@dataclasses.dataclass(slots=True)
class WorkerRecord:
    """A worker of the fleet and what is reserved on it.

    ``fences`` holds attempts that were declared lost and that the worker has
    not yet vouched for.
    """

    facts: messages.WorkerFacts
    state: messages.WorkerState
    reserved: messages.Resources = messages.Resources(0, 0)
    attempts: dict[messages.AttemptId, messages.TaskId] = dataclasses.field(
        default_factory=dict
    )
    fences: dict[messages.AttemptId, messages.TaskId] = dataclasses.field(
        default_factory=dict
    )

    def fits(self, resources: messages.Resources) -> bool:
        """Return whether one more task of this size stays within bounds."""
        return len(self.attempts) < self.facts.slots_count and (
            self.reserved + resources
        ).fits_in(self.facts.resources)


@dataclasses.dataclass(slots=True)
class TeamUse:
    """What a team has running, over the whole fleet."""

    running_count: int = 0
    reserved: messages.Resources = messages.Resources(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class RulesRecord:
    """The rules in force, and the outcomes of the changes that led there."""

    version: messages.RulesVersion = messages.RulesVersion(0)
    text: str = ''
    history: tuple[messages.RulesChange, ...] = ()
    outcomes: tuple[tuple[str, bool, messages.RulesVersion, str], ...] = ()


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The whole replicated state at one index of the log."""

    cell_time_ms: int
    rules: RulesRecord
    workers: tuple[WorkerRecord, ...]
    tasks: tuple[TaskRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndedAttempt:
    """The end of an attempt that was news, and the task it leaves behind."""

    task: TaskRecord
    worker_id: messages.WorkerId
    report: messages.AttemptReport


@dataclasses.dataclass(frozen=True, slots=True)
class AssignOutcome:
    """What applying one assignment gave: an attempt, or why there is none."""

    task_id: messages.TaskId
    attempt: AttemptRecord | None
    rejected_because: str = ''
