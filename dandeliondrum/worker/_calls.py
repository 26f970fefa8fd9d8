"""The request that starts an attempt, and the reasons to refuse it."""

import dataclasses
import enum

from dandeliondrum import messages


class Refused(enum.Enum):
    """Why a start was refused.

    A refused attempt never starts later. All reasons but ``GONE`` also
    guarantee that this incarnation has not started the attempt; ``GONE``
    means that it ran here and its answer is no longer stored.
    """

    INCARNATION = 'incarnation'
    FENCED = 'fenced'
    STALE_LEASE = 'stale_lease'
    FULL = 'full'
    LEAVING = 'leaving'
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class StartCall:
    """A request to start an attempt.

    ``arrived_ms`` is the monotonic time at which the request arrived.
    """

    attempt_id: messages.AttemptId
    task_id: messages.TaskId
    token: messages.FencingToken
    incarnation: messages.Incarnation
    lease_ms: int
    durable: bool
    team_id: messages.TeamId
    queue: messages.QueueName
    resources: messages.Resources
    trace_parent: str
    body: bytes
    arrived_ms: float
