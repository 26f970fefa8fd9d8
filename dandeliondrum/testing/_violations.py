"""Violations that the checker reports, and its tolerances."""

import dataclasses
import enum


class ViolationKind(enum.Enum):
    """The invariant that was violated."""

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
    """A violated invariant.

    ``subject`` is the id of the task, worker or team concerned.
    """

    kind: ViolationKind
    subject: str
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class CheckOptions:
    """Tolerances of the checker.

    Tasks of a withdrawn key may start for another ``withdrawal_ms``, and a
    leaving worker may be sent starts for another ``leaving_ms``.
    ``margin_ms`` is added to both. It also bounds how long the previous
    limit of a team still applies after a change, and how long a resumed
    worker may take to notice that its leases expired. With
    ``withdrawn_queued_may_start``, tasks that were sent before the
    withdrawal of their key may start at any time.
    """

    withdrawal_ms: float = 3_000
    leaving_ms: float = 2_000
    margin_ms: float = 1_000
    withdrawn_queued_may_start: bool = False
