"""Records of the replicated state.

They change only when a command of the log is applied, so that they are equal
on every controller.
"""

import dataclasses

from dandeliondrum.jobs import evacuations
from dandeliondrum import messages

EVENTS_PER_TASK = 16
FORMER_INCARNATIONS_MAX = 16


@dataclasses.dataclass(slots=True)
class AttemptRecord:
    """A committed attempt at a task."""

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
    """The replicated record of a task.

    ``attempt`` is the attempt that may be running. ``last_attempt`` is the
    attempt that ended without an answer and put the task in doubt; its
    worker may still report the outcome. ``may_have_run`` is set once an
    attempt has ended in any state other than ``NEVER_STARTED``. The fields
    about crashes are described in :mod:`_crashes`.
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
    crashes_count: int = 0
    crashed_alone: bool = False
    crashed_ms: int = 0
    crashed_at_start: bool = False

    def add_event(self, time_ms: int, event: str) -> None:
        """Append an event to the history that operators can query.

        Only the latest EVENTS_PER_TASK events are kept.
        """
        kept = self.events[-EVENTS_PER_TASK + 1 :]
        self.events = (*kept, (time_ms, event))

    def status(self) -> messages.TaskStatus:
        """Return the status that is sent to gateways and callers."""
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
    """A worker of the fleet and its reserved resources.

    ``fences`` maps attempts that were declared lost to their tasks until the
    worker confirms that they do not run. ``former_incarnations`` are those
    that the current one has replaced, the latest last.
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
    former_incarnations: tuple[messages.Incarnation, ...] = ()

    def fits(self, resources: messages.Resources) -> bool:
        """Return whether a task with these resources fits in what is free."""
        return len(self.attempts) < self.facts.slots_count and (
            self.reserved + resources
        ).fits_in(self.facts.resources)


@dataclasses.dataclass(slots=True)
class TeamUse:
    """Running tasks and reserved resources of a team in the whole fleet."""

    running_count: int = 0
    reserved: messages.Resources = messages.Resources(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class RulesRecord:
    """The rules in force, their history and recent outcomes of changes.

    ``outcomes`` holds change id, acceptance, version and detail of recent
    changes, so that a resent change gets its first outcome.
    """

    version: messages.RulesVersion = messages.RulesVersion(0)
    text: str = ''
    history: tuple[messages.RulesChange, ...] = ()
    outcomes: tuple[tuple[str, bool, messages.RulesVersion, str], ...] = ()


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class StateSnapshot:
    """Snapshot of the replicated state at one index of the log."""

    cell_time_ms: int
    rules: RulesRecord
    workers: tuple[WorkerRecord, ...]
    tasks: tuple[TaskRecord, ...]
    domain_orders: tuple[evacuations.DomainOrder, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EndedAttempt:
    """The end of an attempt that changed the state of its task.

    ``is_former`` tells that the worker has started again since.
    """

    task: TaskRecord
    worker_id: messages.WorkerId
    report: messages.AttemptReport
    is_former: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AssignOutcome:
    """Outcome of applying an assignment: an attempt or a rejection."""

    task_id: messages.TaskId
    attempt: AttemptRecord | None
    rejection_reason: str = ''
