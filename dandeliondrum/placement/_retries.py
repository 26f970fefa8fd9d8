"""Retries of failed tasks: budget, backoff and excluded workers."""

import collections
import dataclasses
import enum
import random

from returns import result

from dandeliondrum import messages

ATTEMPTS_COUNT_MAX = 4
# Retry tokens added for each first start of a team's task, and their limit.
RETRIES_PER_START = 0.1
RETRY_TOKENS_MAX = 20.0
# Tokens of a team before its first start.
INITIAL_RETRY_TOKENS = 5.0

INITIAL_BACKOFF_MS = 100
BACKOFF_MS_MAX = 30_000


class NoRetry(enum.Enum):
    """The reason why a task is not retried."""

    ATTEMPTS_USED_UP = 'attempts used up'
    BUDGET_USED_UP = "too many of the team's tasks fail"


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Retry after a delay, not on the excluded workers."""

    delay_ms: int
    excluded_workers: frozenset[messages.WorkerId]


class RetryBudget:
    """Limits the retries of each team to a fraction of its starts.

    So retries of tasks that always fail can't fill the fleet. The longest
    delay doubles with each attempt; the delay is drawn at random between
    half of it and all of it, by a generator with the given seed.

    Example::

        budget.record_start(team_id)
        ...
        match budget.decide(team_id, attempts_count=1, failed_workers=failed):
            case result.Success(retry):
                ...
    """

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._tokens: collections.defaultdict[messages.TeamId, float] = (
            collections.defaultdict(lambda: INITIAL_RETRY_TOKENS)
        )

    def record_start(self, team_id: messages.TeamId) -> None:
        """Count the first start of a task; not to be called for retries."""
        tokens = self._tokens[team_id] + RETRIES_PER_START
        self._tokens[team_id] = min(tokens, RETRY_TOKENS_MAX)

    def decide(
        self,
        team_id: messages.TeamId,
        attempts_count: int,
        failed_workers: frozenset[messages.WorkerId],
    ) -> result.Result[Retry, NoRetry]:
        """Decide whether to retry a failed task; a retry costs one token.

        ``attempts_count`` is the number of attempts made so far, and
        ``failed_workers`` become the excluded workers of the retry.
        """
        if attempts_count >= ATTEMPTS_COUNT_MAX:
            return result.Failure(NoRetry.ATTEMPTS_USED_UP)
        if self._tokens[team_id] < 1:
            return result.Failure(NoRetry.BUDGET_USED_UP)
        self._tokens[team_id] -= 1
        backoff_ms = min(
            INITIAL_BACKOFF_MS * 2 ** max(attempts_count, 0), BACKOFF_MS_MAX
        )
        delay_ms = self._random.randint(backoff_ms // 2, backoff_ms)
        return result.Success(Retry(delay_ms, failed_workers))
