"""Calls between a gateway and the leading controller.

A gateway keeps one stream to the leader. Calls get one reply each; pushes go
from the leader to the gateway and get none.
"""

import dataclasses

from dandeliondrum.messages import _codec
from dandeliondrum.messages import _commands
from dandeliondrum.messages import _ids
from dandeliondrum.messages import _states
from dandeliondrum.messages import _task


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class NotLeader:
    """The reply of a controller that does not lead, with a hint who does."""

    leader_id: _ids.ControllerId | None = None
    leader_address: str = ''


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class CallFailed:
    """The reply to a call that could not be carried out.

    ``not_done`` says whether the leader vouches that the call had no effect.
    """

    reason: str
    not_done: bool


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The reply to a call that was carried out and returns nothing else."""


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class RegisterGateway:
    """The first call of a gateway on its stream to the leader."""

    gateway_id: _ids.GatewayId
    region: _ids.Region
    failure_domain: _ids.FailureDomain
    rules_version: _ids.RulesVersion


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class GatewayRegistered:
    """The leader's reply, with the rules in force."""

    term: _ids.Term
    leader_id: _ids.ControllerId
    rules_version: _ids.RulesVersion
    rules_text: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class GatewayHeartbeat:
    """Sent a few times a second; names the rules version that is in force."""

    rules_version: _ids.RulesVersion


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class GatewayHeartbeatReply:
    """Sent only while the leader has heard from a quorum of late.

    ``controllers`` are the members of the cell with their addresses.
    """

    term: _ids.Term
    rules_version: _ids.RulesVersion
    controllers: tuple[tuple[_ids.ControllerId, str], ...] = ()


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class TaskStatus:
    """Where a task stands; also pushed to each gateway that waits for it.

    With state ``REFUSED`` the task was not run and can't start any more;
    with ``IN_DOUBT`` neither can be claimed yet.
    """

    task_id: _ids.TaskId
    state: _states.TaskState
    reason: _states.RefusalReason | None = None
    detail: str = ''
    retry_after_ms: int = 0
    answer: _task.AnswerPlace | None = None
    attempts_count: int = 0
    worker_id: _ids.WorkerId | None = None
    members: 'tuple[TaskStatus, ...]' = ()


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class SubmitTasks:
    """Submit tasks of one team.

    ``bodies`` is empty for tasks that a caller waits for and has one entry
    for each durable task. The reply comes once each task is queued, known
    already, committed (durable tasks) or refused.
    """

    tasks: tuple[_task.TaskSpec, ...]
    bodies: tuple[bytes, ...]
    key: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class TaskStatuses:
    """The reply to calls about tasks, one status each, in their order."""

    statuses: tuple[TaskStatus, ...]


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class QueryTasks:
    """Ask where tasks stand."""

    task_ids: tuple[_ids.TaskId, ...]
    team_id: _ids.TeamId
    key: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class CancelCall:
    """Cancel tasks of one team by their ids."""

    task_ids: tuple[_ids.TaskId, ...]
    team_id: _ids.TeamId
    key: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseAnswers:
    """The caller has these answers; their workers may drop them."""

    task_ids: tuple[_ids.TaskId, ...]
    team_id: _ids.TeamId
    key: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class StartAttempt:
    """Push: start this committed attempt on its worker.

    The gateway sends the body that its caller submitted; for a durable task
    the body comes along.
    """

    attempt_id: _ids.AttemptId
    token: _ids.FencingToken
    spec: _task.TaskSpec
    worker_id: _ids.WorkerId
    worker_address: str
    incarnation: _ids.Incarnation
    lease_ms: int
    body: bytes | None = None


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class ReportAttempts:
    """What became of attempts that this gateway dispatched."""

    reports: tuple[_commands.AttemptReport, ...]


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class RulesPush:
    """Push: these rules are agreed; put them in force."""

    version: _ids.RulesVersion
    text: str
