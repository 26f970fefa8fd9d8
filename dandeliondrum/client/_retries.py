"""When to try again, and how long to wait before."""

import dataclasses
import random
import threading


@dataclasses.dataclass(frozen=True)
class RetryPolicy:
    """Capped exponential backoff with full jitter, and a budget.

    Each first try earns ``budget_per_call`` retries, of which at most
    ``budget_max`` are kept, so that retries can't multiply an overload.
    A connection on which nothing came for ``silence_s`` is given up and the
    same id is sent on a new one, at no cost to the budget.
    """

    first_pause_ms: int = 50
    longest_pause_ms: int = 5_000
    budget_per_call: float = 0.2
    budget_max: float = 20.0
    silence_s: int = 10

    def pause_ms(
        self, retries_count: int, asked_ms: int, generator: random.Random
    ) -> int:
        """Return how long to wait; at least what the gateway asked for."""
        # The exponent is bounded, or the power would grow without end.
        doubled_ms = self.first_pause_ms << min(retries_count, 20)
        capped_ms = min(doubled_ms, self.longest_pause_ms)
        return asked_ms + int(generator.uniform(0, capped_ms))


class RetryBudget:
    """Counts how many retries are left to all calls of a client."""

    def __init__(self, policy: RetryPolicy) -> None:
        self._policy = policy
        self._lock = threading.Lock()
        self._left = policy.budget_max

    def earn(self) -> None:
        """Note a first try."""
        with self._lock:
            self._left = min(
                self._policy.budget_max,
                self._left + self._policy.budget_per_call,
            )

    def spend(self) -> bool:
        """Take a retry; false when none is left."""
        with self._lock:
            if self._left < 1:
                return False
            self._left -= 1
            return True
