"""The start of an attempt, as it reaches a worker, and its refusals."""

import dataclasses
import enum

from dandeliondrum import messages


class Refused(enum.Enum):
    """Why a start was turned away.

    After each of them the attempt will never start. All but ``GONE`` also
    vouch that this incarnation never started it; ``GONE`` is for an attempt
    that ran here and of which nothing is left.
    """

    INCARNATION = 'incarnation'
    FENCED = 'fenced'
    STALE_LEASE = 'stale_lease'
    FULL = 'full'
    LEAVING = 'leaving'
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class StartCall:
    """One start; ``arrived_ms`` is a reading of the monotonic clock."""

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
