"""What a check can find wrong with a history."""

import dataclasses
import enum


class ViolationKind(enum.Enum):
    """Which of the things that must always hold was broken."""

    LOST = 'lost'
    RUN_TWICE = 'run_twice'
    TWO_PLACES = 'two_places'
    RAN_AFTER_REFUSAL = 'ran_after_refusal'
    WRONG_ANSWER = 'wrong_answer'
    WORKER_OVERLOADED = 'worker_overloaded'
    TEAM_OVER_LIMIT = 'team_over_limit'
    WITHDRAWN_KEY = 'withdrawn_key'
    LEAVING_WORKER = 'leaving_worker'


@dataclasses.dataclass(frozen=True)
class Violation:
    """One thing that is wrong: which task, worker or team, and why."""

    kind: ViolationKind
    subject: str
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class CheckOptions:
    """How much time the system has for what it needs time for.

    A withdrawn key may start work for ``withdrawal_ms`` and a leaving worker
    may be sent starts for ``leaving_ms``. ``margin_ms`` is added to both; it
    also bounds how long after a change the former limit of a team counts,
    and how long a thawed worker may take to notice that its leases ran out.
    With ``withdrawn_queued_may_start`` work that was sent before its key was
    withdrawn may start at any time.
    """

    withdrawal_ms: float = 3_000
    leaving_ms: float = 2_000
    margin_ms: float = 1_000
    withdrawn_queued_may_start: bool = False
