"""Task placement: admission, fair sharing, packing and preemption."""

from dandeliondrum.placement._admission import AdmissionPolicy
from dandeliondrum.placement._admission import WaitEstimator
from dandeliondrum.placement._choosers import BestFit
from dandeliondrum.placement._choosers import Chooser
from dandeliondrum.placement._choosers import Spread
from dandeliondrum.placement._fair_share_policy import FairSharePolicy
from dandeliondrum.placement._first_fit import FirstComeFirstFit
from dandeliondrum.placement._health import WorkerHealth
from dandeliondrum.placement._planner import Planner
from dandeliondrum.placement._policy import Policy
from dandeliondrum.placement._retries import NoRetry
from dandeliondrum.placement._retries import Retry
from dandeliondrum.placement._retries import RetryBudget
from dandeliondrum.placement._sizes import Estimate
from dandeliondrum.placement._sizes import MEMORY_MARGIN
from dandeliondrum.placement._sizes import UsageEstimator
from dandeliondrum.placement._tasks import Infeasible
from dandeliondrum.placement._tasks import PendingTask
from dandeliondrum.placement._tasks import Placement
from dandeliondrum.placement._tasks import Plan
from dandeliondrum.placement._tasks import Preemption
from dandeliondrum.placement._tasks import RunningTask
from dandeliondrum.placement._tasks import TeamGrant

__all__ = [
    'AdmissionPolicy',
    'BestFit',
    'Chooser',
    'Estimate',
    'FairSharePolicy',
    'FirstComeFirstFit',
    'Infeasible',
    'MEMORY_MARGIN',
    'NoRetry',
    'PendingTask',
    'Placement',
    'Plan',
    'Planner',
    'Policy',
    'Preemption',
    'Retry',
    'RetryBudget',
    'RunningTask',
    'Spread',
    'TeamGrant',
    'UsageEstimator',
    'WaitEstimator',
    'WorkerHealth',
]
