"""Calls by operators, which a gateway relays to the leader."""

import dataclasses

from dandeliondrum.messages import _codec
from dandeliondrum.messages import _ids
from dandeliondrum.messages import _states
from dandeliondrum.messages import _task


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class ApplyRulesCall:
    """Apply a rules file; see :class:`ApplyRules`."""

    change_id: str
    operator_id: _ids.OperatorId
    expected_version: _ids.RulesVersion
    text: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class RulesOutcome:
    """Whether the rules were accepted, and the version that is now current.

    If another change was committed first, ``accepted`` is false and
    ``current_text`` holds the current rules.
    """

    accepted: bool
    version: _ids.RulesVersion
    detail: str = ''
    current_text: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RulesChange:
    """One entry in the history of the rules."""

    version: _ids.RulesVersion
    operator_id: _ids.OperatorId
    cell_time_ms: int
    change_id: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class ShowRules:
    """Request the current rules."""


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class RulesShown:
    """The current rules, and the version that each gateway applies."""

    version: _ids.RulesVersion
    text: str
    gateways: tuple[tuple[_ids.GatewayId, _ids.RulesVersion], ...]
    history: tuple[RulesChange, ...]


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class DrainWorker:
    """Assign no new tasks to a worker; running attempts continue."""

    worker_id: _ids.WorkerId
    operator_id: _ids.OperatorId


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeDomain:
    """Assign no new tasks in a failure domain, or revoke that.

    Running attempts continue. ``after_index`` is as in :class:`OrderDomain`.
    """

    failure_domain: _ids.FailureDomain
    evacuated: bool
    after_index: int
    operator_id: _ids.OperatorId
    reason: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class ShowDomains:
    """Request the failure domains and the orders about them."""


@dataclasses.dataclass(frozen=True, slots=True)
class DomainView:
    """A failure domain, and the newest order about it.

    The counts are None if they are not known. ``index`` is 0 and the fields
    after it are empty without an order.
    """

    failure_domain: _ids.FailureDomain
    evacuated: bool
    workers_count: int | None = None
    running_count: int | None = None
    index: int = 0
    operator_id: _ids.OperatorId = _ids.OperatorId('')
    reason: str = ''
    requested_unix_ms: int = 0


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class DomainsShown:
    """The failure domains of the workers and those with an order."""

    domains: tuple[DomainView, ...]


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class ShowFleet:
    """Request the state of the fleet."""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerView:
    """State of one worker, as known to the leader.

    ``running_count`` counts the attempts that the worker has started, while
    ``reserved`` includes those that are only assigned to it.
    """

    facts: _task.WorkerFacts
    state: _states.WorkerState
    silent_ms: int
    running_count: int
    reserved: _task.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class TeamView:
    """Usage of the fleet by one team.

    Tasks that are assigned and that no worker has started yet count as
    queued; their resources are ``reserved`` already.
    """

    team_id: _ids.TeamId
    running_count: int
    queued_count: int
    reserved: _task.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class ControllerView:
    """State of one controller, as known to the leader."""

    controller_id: _ids.ControllerId
    address: str
    role: str
    last_index: _ids.LogIndex


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class FleetShown:
    """State of the fleet, as known to the leader."""

    term: _ids.Term
    leader_id: _ids.ControllerId
    cell_time_ms: int
    workers: tuple[WorkerView, ...]
    teams: tuple[TeamView, ...]
    controllers: tuple[ControllerView, ...]
    gateways: tuple[tuple[_ids.GatewayId, _ids.RulesVersion], ...]


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class ExplainTask:
    """Request the decisions about a task, with their times and reasons."""

    task_id: _ids.TaskId


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class TaskExplained:
    """The decisions about a task, oldest first."""

    status_line: str
    events: tuple[tuple[int, str], ...]


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class FormCell:
    """Create a new cell with these voters.

    Refused by a controller whose disk holds a log already.
    """

    controllers: tuple[tuple[_ids.ControllerId, str], ...]


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class AddController:
    """Add a controller, first as a learner and then as a voter."""

    controller_id: _ids.ControllerId
    address: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class RemoveController:
    """Remove a controller from the voters."""

    controller_id: _ids.ControllerId


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Transfer leadership to another voter before a planned stop."""
