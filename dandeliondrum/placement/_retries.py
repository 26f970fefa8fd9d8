"""Whether, when and where not a failed task is tried again."""

import collections
import dataclasses
import enum
import random

from returns import result

from dandeliondrum import messages

ATTEMPTS_COUNT_MAX = 4
# Retries that each start of a team earns, and how many may be saved up.
RETRIES_PER_START = 0.1
SAVED_COUNT_MAX = 20.0
# What a team has before its first start.
SAVED_COUNT_FIRST = 5.0

FIRST_BACKOFF_MS = 100
LONGEST_BACKOFF_MS = 30_000


class NoRetry(enum.Enum):
    """Why a task is not tried again."""

    ATTEMPTS_USED_UP = 'attempts used up'
    BUDGET_USED_UP = "too many of the team's tasks fail"


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Try again after the delay, on none of these workers."""

    delay_ms: int
    excluded_workers: frozenset[messages.WorkerId]


class RetryBudget:
    """Lets retries be only a part of all starts, team by team.

    So tasks that always fail can't fill the fleet with their retries. The
    delay doubles with each attempt, with full jitter from the seed.

    Example::

        budget.record_start(team_id)
        ...
        match budget.decide(team_id, attempts_count=1, failed_workers=failed):
            case result.Success(retry):
                ...
    """

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._saved: collections.defaultdict[messages.TeamId, float] = (
            collections.defaultdict(lambda: SAVED_COUNT_FIRST)
        )

    def record_start(self, team_id: messages.TeamId) -> None:
        """Count the first start of a task; a retry doesn't count."""
        saved = self._saved[team_id] + RETRIES_PER_START
        self._saved[team_id] = min(saved, SAVED_COUNT_MAX)

    def decide(
        self,
        team_id: messages.TeamId,
        attempts_count: int,
        failed_workers: frozenset[messages.WorkerId],
    ) -> result.Result[Retry, NoRetry]:
        """Decide about a task that has failed, and spend if it goes again.

        ``attempts_count`` is how many attempts were made so far.
        """
        if attempts_count >= ATTEMPTS_COUNT_MAX:
            return result.Failure(NoRetry.ATTEMPTS_USED_UP)
        if self._saved[team_id] < 1:
            return result.Failure(NoRetry.BUDGET_USED_UP)
        self._saved[team_id] -= 1
        longest_ms = min(
            FIRST_BACKOFF_MS * 2 ** max(attempts_count, 0), LONGEST_BACKOFF_MS
        )
        delay_ms = self._random.randint(longest_ms // 2, longest_ms)
        return result.Success(Retry(delay_ms, failed_workers))
