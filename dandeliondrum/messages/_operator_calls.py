"""Calls of operators, relayed by a gateway to the leading controller."""

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
    """Whether the rules were accepted, and the version now in force.

    When another operator was first, ``accepted`` is false and
    ``current_text`` holds what is in force instead.
    """

    accepted: bool
    version: _ids.RulesVersion
    detail: str = ''
    current_text: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RulesChange:
    """One entry of the rules' history."""

    version: _ids.RulesVersion
    operator_id: _ids.OperatorId
    cell_time_ms: int
    change_id: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class ShowRules:
    """Ask for the rules in force."""


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class RulesShown:
    """The rules in force and which version each gateway applies."""

    version: _ids.RulesVersion
    text: str
    gateways: tuple[tuple[_ids.GatewayId, _ids.RulesVersion], ...]
    history: tuple[RulesChange, ...]


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class DrainWorker:
    """Give a worker nothing new; what runs there ends by itself."""

    worker_id: _ids.WorkerId
    operator_id: _ids.OperatorId


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class ShowFleet:
    """Ask for the state of the fleet."""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerView:
    """One worker as the leader sees it."""

    facts: _task.WorkerFacts
    state: _states.WorkerState
    silent_ms: int
    running_count: int
    reserved: _task.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class TeamView:
    """One team's use of the fleet."""

    team_id: _ids.TeamId
    running_count: int
    queued_count: int
    reserved: _task.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class ControllerView:
    """One controller as the leader sees it."""

    controller_id: _ids.ControllerId
    address: str
    role: str
    last_index: _ids.LogIndex


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class FleetShown:
    """The fleet as the leader sees it."""

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
    """Ask what was decided about a task, when and why."""

    task_id: _ids.TaskId


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class TaskExplained:
    """What was decided about a task, oldest first."""

    status_line: str
    events: tuple[tuple[int, str], ...]


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class FormCell:
    """Found a new cell with these voters; refused by a disk with a log."""

    controllers: tuple[tuple[_ids.ControllerId, str], ...]


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class AddController:
    """Take in a controller, first as a learner, then as a voter."""

    controller_id: _ids.ControllerId
    address: str


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class RemoveController:
    """Take a controller out of the voters."""

    controller_id: _ids.ControllerId


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Hand the lead to another voter, before a planned stop."""
