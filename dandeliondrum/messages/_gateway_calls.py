"""Messages between a gateway and the leading controller.

A gateway has one connection to the leader. Each call gets one reply. Pushes
are sent by the leader to the gateway and get no reply.
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
    """The reply of a controller that is not the leader.

    It names the leader if the controller knows it.
    """

    leader_id: _ids.ControllerId | None = None
    leader_address: str = ''


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class CallFailed:
    """The reply to a call that failed.

    ``not_done`` is true if the leader guarantees that it had no effect.
    ``retry_after_ms`` is set if the leader refuses such calls for now; the
    call is then not to be sent again before that time.
    """

    reason: str
    not_done: bool
    retry_after_ms: int = 0


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The reply to a successful call that returns no data."""


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class RegisterGateway:
    """The first call of a gateway on its connection to the leader.

    ``takes_parts`` tells that it requests large rules in parts.
    ``process_age_ms`` is the time since the start of its process, None from
    one that doesn't tell. It shows whether a process without a disk is new.
    """

    gateway_id: _ids.GatewayId
    region: _ids.Region
    failure_domain: _ids.FailureDomain
    rules_version: _ids.RulesVersion
    takes_parts: bool = False
    process_age_ms: int | None = None


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class GatewayRegistered:
    """The reply to :class:`RegisterGateway`, with the current rules.

    Large rules are left out, with version 0, if the gateway takes parts.
    ``newest_rules_version`` is None from a leader that serves no parts.
    """

    term: _ids.Term
    leader_id: _ids.ControllerId
    rules_version: _ids.RulesVersion
    rules_text: str
    newest_rules_version: _ids.RulesVersion | None = None


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class GatewayHeartbeat:
    """Sent several times a second, with the rules version in use."""

    rules_version: _ids.RulesVersion


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class GatewayHeartbeatReply:
    """Sent only if the leader has recently had contact with a quorum.

    ``controllers`` lists the ids and addresses of the cell's members.
    """

    term: _ids.Term
    rules_version: _ids.RulesVersion
    controllers: tuple[tuple[_ids.ControllerId, str], ...] = ()


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class TaskStatus:
    """Status of a task; also pushed to each gateway that waits for it.

    ``REFUSED`` means that the task was not run and can no longer start.
    With ``IN_DOUBT`` neither can be guaranteed yet.
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

    ``bodies`` has one entry for each durable task and is empty for tasks
    whose callers wait. The reply is sent once each task is queued, already
    known, committed (durable tasks) or refused.
    """

    tasks: tuple[_task.TaskSpec, ...]
    bodies: tuple[bytes, ...]
    key: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class TaskStatuses:
    """The reply to calls about tasks: one status per task, in order."""

    statuses: tuple[TaskStatus, ...]


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class QueryTasks:
    """Request the status of tasks of one team."""

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
    """Report that these answers were delivered; workers may drop them."""

    task_ids: tuple[_ids.TaskId, ...]
    team_id: _ids.TeamId
    key: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class StartAttempt:
    """Push: start this committed attempt on its worker.

    ``body`` is set for durable tasks only; otherwise the gateway sends the
    body that the caller submitted.
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
    """Report the outcomes of attempts that this gateway dispatched."""

    reports: tuple[_commands.AttemptReport, ...]


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class RulesPush:
    """Push: these rules are committed and have to be applied."""

    version: _ids.RulesVersion
    text: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class RulesChanged:
    """Push: rules of this version are committed and can be requested."""

    version: _ids.RulesVersion


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class RulesPartQuery:
    """Request a part of compressed rules; no digest means the newest."""

    digest: str
    offset: int


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class RulesPart:
    """A part of the compressed rules, which have ``size_bytes`` in all.

    ``digest`` identifies the compressed rules, and ``offset`` is the position
    of ``data`` in them.
    """

    version: _ids.RulesVersion
    digest: str
    size_bytes: int
    offset: int
    data: bytes
