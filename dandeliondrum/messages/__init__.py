"""Typed messages between the components of a cell, and their codec."""

import typing

from dandeliondrum.messages._codec import CodecError
from dandeliondrum.messages._codec import decode
from dandeliondrum.messages._codec import encode
from dandeliondrum.messages._codec import message
from dandeliondrum.messages._commands import Admission
from dandeliondrum.messages._commands import AdmitTasks
from dandeliondrum.messages._commands import ApplyRules
from dandeliondrum.messages._commands import Assignment
from dandeliondrum.messages._commands import AssignTasks
from dandeliondrum.messages._commands import AttemptReport
from dandeliondrum.messages._commands import CancelTasks
from dandeliondrum.messages._commands import EndAttempts
from dandeliondrum.messages._commands import ForgetTasks
from dandeliondrum.messages._commands import OrderDomain
from dandeliondrum.messages._commands import Refusal
from dandeliondrum.messages._commands import RefuseTasks
from dandeliondrum.messages._commands import RegisterWorker
from dandeliondrum.messages._commands import SetWorkerState
from dandeliondrum.messages._gateway_calls import CallFailed
from dandeliondrum.messages._gateway_calls import CancelCall
from dandeliondrum.messages._gateway_calls import Done
from dandeliondrum.messages._gateway_calls import GatewayHeartbeat
from dandeliondrum.messages._gateway_calls import GatewayHeartbeatReply
from dandeliondrum.messages._gateway_calls import GatewayRegistered
from dandeliondrum.messages._gateway_calls import NotLeader
from dandeliondrum.messages._gateway_calls import QueryTasks
from dandeliondrum.messages._gateway_calls import RegisterGateway
from dandeliondrum.messages._gateway_calls import ReleaseAnswers
from dandeliondrum.messages._gateway_calls import ReportAttempts
from dandeliondrum.messages._gateway_calls import RulesChanged
from dandeliondrum.messages._gateway_calls import RulesPart
from dandeliondrum.messages._gateway_calls import RulesPartQuery
from dandeliondrum.messages._gateway_calls import RulesPush
from dandeliondrum.messages._gateway_calls import StartAttempt
from dandeliondrum.messages._gateway_calls import SubmitTasks
from dandeliondrum.messages._gateway_calls import TaskStatus
from dandeliondrum.messages._gateway_calls import TaskStatuses
from dandeliondrum.messages._handshake import Hello
from dandeliondrum.messages._handshake import PeerKind
from dandeliondrum.messages._ids import AttemptId
from dandeliondrum.messages._ids import CellId
from dandeliondrum.messages._ids import ControllerId
from dandeliondrum.messages._ids import FailureDomain
from dandeliondrum.messages._ids import FencingToken
from dandeliondrum.messages._ids import GangId
from dandeliondrum.messages._ids import GatewayId
from dandeliondrum.messages._ids import Incarnation
from dandeliondrum.messages._ids import LogIndex
from dandeliondrum.messages._ids import OperatorId
from dandeliondrum.messages._ids import QueueName
from dandeliondrum.messages._ids import Rack
from dandeliondrum.messages._ids import Region
from dandeliondrum.messages._ids import RulesVersion
from dandeliondrum.messages._ids import TaskId
from dandeliondrum.messages._ids import TeamId
from dandeliondrum.messages._ids import Term
from dandeliondrum.messages._ids import WorkerId
from dandeliondrum.messages._states import AttemptState
from dandeliondrum.messages._states import RefusalReason
from dandeliondrum.messages._states import TaskClass
from dandeliondrum.messages._states import TaskState
from dandeliondrum.messages._states import WorkerState
from dandeliondrum.messages._task import AnswerPlace
from dandeliondrum.messages._task import Resources
from dandeliondrum.messages._task import TaskSpec
from dandeliondrum.messages._task import WorkerFacts
from dandeliondrum import utils

if typing.TYPE_CHECKING:
    from dandeliondrum.messages._operator_calls import AddController
    from dandeliondrum.messages._operator_calls import ApplyRulesCall
    from dandeliondrum.messages._operator_calls import ChangeDomain
    from dandeliondrum.messages._operator_calls import ControllerView
    from dandeliondrum.messages._operator_calls import DomainsShown
    from dandeliondrum.messages._operator_calls import DomainView
    from dandeliondrum.messages._operator_calls import DrainWorker
    from dandeliondrum.messages._operator_calls import ExplainTask
    from dandeliondrum.messages._operator_calls import FleetShown
    from dandeliondrum.messages._operator_calls import FormCell
    from dandeliondrum.messages._operator_calls import RemoveController
    from dandeliondrum.messages._operator_calls import RulesChange
    from dandeliondrum.messages._operator_calls import RulesOutcome
    from dandeliondrum.messages._operator_calls import RulesShown
    from dandeliondrum.messages._operator_calls import ShowDomains
    from dandeliondrum.messages._operator_calls import ShowFleet
    from dandeliondrum.messages._operator_calls import ShowRules
    from dandeliondrum.messages._operator_calls import TaskExplained
    from dandeliondrum.messages._operator_calls import TeamView
    from dandeliondrum.messages._operator_calls import TransferLeadership
    from dandeliondrum.messages._operator_calls import WorkerView
    from dandeliondrum.messages._worker_calls import AnnounceWorker
    from dandeliondrum.messages._worker_calls import RunningAttempt
    from dandeliondrum.messages._worker_calls import WorkerHeartbeat
    from dandeliondrum.messages._worker_calls import WorkerHeartbeatReplies
    from dandeliondrum.messages._worker_calls import WorkerHeartbeatReply
    from dandeliondrum.messages._worker_calls import WorkerHeartbeats
else:
    __getattr__ = utils.import_on_use(
        __name__,
        {
            '_operator_calls': (
                'AddController',
                'ApplyRulesCall',
                'ChangeDomain',
                'ControllerView',
                'DomainsShown',
                'DomainView',
                'DrainWorker',
                'ExplainTask',
                'FleetShown',
                'FormCell',
                'RemoveController',
                'RulesChange',
                'RulesOutcome',
                'RulesShown',
                'ShowDomains',
                'ShowFleet',
                'ShowRules',
                'TaskExplained',
                'TeamView',
                'TransferLeadership',
                'WorkerView',
            ),
            '_worker_calls': (
                'AnnounceWorker',
                'RunningAttempt',
                'WorkerHeartbeat',
                'WorkerHeartbeatReplies',
                'WorkerHeartbeatReply',
                'WorkerHeartbeats',
            ),
        },
    )

__all__ = [
    'AddController',
    'Admission',
    'AdmitTasks',
    'AnnounceWorker',
    'AnswerPlace',
    'ApplyRules',
    'ApplyRulesCall',
    'AssignTasks',
    'Assignment',
    'AttemptId',
    'AttemptReport',
    'AttemptState',
    'CallFailed',
    'CancelCall',
    'CancelTasks',
    'CellId',
    'ChangeDomain',
    'CodecError',
    'ControllerId',
    'ControllerView',
    'DomainView',
    'DomainsShown',
    'Done',
    'DrainWorker',
    'EndAttempts',
    'ExplainTask',
    'FailureDomain',
    'FencingToken',
    'FleetShown',
    'ForgetTasks',
    'FormCell',
    'GangId',
    'GatewayHeartbeat',
    'GatewayHeartbeatReply',
    'GatewayId',
    'GatewayRegistered',
    'Hello',
    'Incarnation',
    'LogIndex',
    'NotLeader',
    'OperatorId',
    'OrderDomain',
    'PeerKind',
    'QueryTasks',
    'QueueName',
    'Rack',
    'Refusal',
    'RefusalReason',
    'RefuseTasks',
    'Region',
    'RegisterGateway',
    'RegisterWorker',
    'ReleaseAnswers',
    'RemoveController',
    'ReportAttempts',
    'Resources',
    'RulesChange',
    'RulesChanged',
    'RulesOutcome',
    'RulesPart',
    'RulesPartQuery',
    'RulesPush',
    'RulesShown',
    'RulesVersion',
    'RunningAttempt',
    'SetWorkerState',
    'ShowDomains',
    'ShowFleet',
    'ShowRules',
    'StartAttempt',
    'SubmitTasks',
    'TaskClass',
    'TaskExplained',
    'TaskId',
    'TaskSpec',
    'TaskState',
    'TaskStatus',
    'TaskStatuses',
    'TeamId',
    'TeamView',
    'Term',
    'TransferLeadership',
    'WorkerHeartbeat',
    'WorkerHeartbeatReplies',
    'WorkerHeartbeatReply',
    'WorkerHeartbeats',
    'WorkerFacts',
    'WorkerId',
    'WorkerState',
    'WorkerView',
    'decode',
    'encode',
    'message',
]
