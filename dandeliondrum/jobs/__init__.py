"""Scheduling of jobs that consist of steps.

A job has steps, and a step has tasks. Jobs, runs and the ends of runs are
committed to the replicated log. The leader assigns tasks to workers, asks an
adviser for permission where the queue requires it, and calls the workers
through a :class:`WorkerPort`.
"""

from dandeliondrum.jobs._calls import AdviceReply
from dandeliondrum.jobs._calls import EvacuatedDomains
from dandeliondrum.jobs._calls import Grant
from dandeliondrum.jobs._calls import WorkerReport
from dandeliondrum.jobs._commands import RunEnd
from dandeliondrum.jobs._commands import RunOutcome
from dandeliondrum.jobs._commands import Suspicion
from dandeliondrum.jobs._commands import WorkerFacts
from dandeliondrum.jobs._commands import WorkerPhase
from dandeliondrum.jobs._controller import ControllerOptions
from dandeliondrum.jobs._controller import JobController
from dandeliondrum.jobs._controller import Ports
from dandeliondrum.jobs._gateway import GatewayOptions
from dandeliondrum.jobs._gateway import JobGateway
from dandeliondrum.jobs._leader_calls import LinkOptions
from dandeliondrum.jobs._leader_calls import Unavailable
from dandeliondrum.jobs._leader_options import LeaderOptions
from dandeliondrum.jobs._membership import MembershipOptions
from dandeliondrum.jobs._policy import AdvicePolicy
from dandeliondrum.jobs._policy import Policy
from dandeliondrum.jobs._policy import QueuePolicy
from dandeliondrum.jobs._policy import TeamPolicy
from dandeliondrum.jobs._policy_review import Doubt
from dandeliondrum.jobs._policy_review import find_policy_doubts
from dandeliondrum.jobs._policy_review import PolicyDoubt
from dandeliondrum.jobs._port import Accepted
from dandeliondrum.jobs._port import AdviserPort
from dandeliondrum.jobs._port import EndListing
from dandeliondrum.jobs._port import LeaseRequest
from dandeliondrum.jobs._port import ListingOutcome
from dandeliondrum.jobs._port import OrderOutcome
from dandeliondrum.jobs._port import Refusal
from dandeliondrum.jobs._port import Refused
from dandeliondrum.jobs._port import RunListing
from dandeliondrum.jobs._port import StartOrder
from dandeliondrum.jobs._port import StopOrder
from dandeliondrum.jobs._port import Unanswered
from dandeliondrum.jobs._port import WorkerListing
from dandeliondrum.jobs._port import WorkerPort
from dandeliondrum.jobs._port import WorkerReplaced
from dandeliondrum.jobs._records import JobPhase
from dandeliondrum.jobs._specs import find_job_problem
from dandeliondrum.jobs._specs import JobId
from dandeliondrum.jobs._specs import JobSpec
from dandeliondrum.jobs._specs import parse_task_key
from dandeliondrum.jobs._specs import StepSpec
from dandeliondrum.jobs._specs import TaskKey

__all__ = [
    'Accepted',
    'AdvicePolicy',
    'AdviceReply',
    'AdviserPort',
    'ControllerOptions',
    'Doubt',
    'EndListing',
    'EvacuatedDomains',
    'GatewayOptions',
    'Grant',
    'JobController',
    'JobGateway',
    'JobId',
    'JobPhase',
    'JobSpec',
    'LeaderOptions',
    'LeaseRequest',
    'LinkOptions',
    'ListingOutcome',
    'MembershipOptions',
    'OrderOutcome',
    'Policy',
    'PolicyDoubt',
    'Ports',
    'QueuePolicy',
    'Refusal',
    'Refused',
    'RunEnd',
    'RunListing',
    'RunOutcome',
    'StartOrder',
    'StepSpec',
    'StopOrder',
    'Suspicion',
    'TaskKey',
    'TeamPolicy',
    'Unanswered',
    'Unavailable',
    'WorkerFacts',
    'WorkerListing',
    'WorkerPhase',
    'WorkerPort',
    'WorkerReplaced',
    'WorkerReport',
    'find_job_problem',
    'find_policy_doubts',
    'parse_task_key',
]
