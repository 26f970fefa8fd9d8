"""Retry policy and retry budget."""

import dataclasses
import random
import threading


@dataclasses.dataclass(frozen=True)
class RetryPolicy:
    """Capped exponential backoff with full jitter and a retry budget.

    Each call adds ``budget_per_call`` retries to the budget, up to
    ``budget_max``, so that retries cannot amplify an overload. A connection
    without received data for ``silence_s`` is closed, and the same id is sent
    again without using the budget.
    """

    first_pause_ms: int = 50
    longest_pause_ms: int = 5_000
    budget_per_call: float = 0.2
    budget_max: float = 20.0
    silence_s: int = 10

    def pause_ms(
        self,
        retries_count: int,
        requested_pause_ms: int,
        generator: random.Random,
    ) -> int:
        """Return the pause before a retry.

        It is at least ``requested_pause_ms``, which the gateway asked for.
        """
        # Without the bound the shifted value would grow with every retry.
        doubled_ms = self.first_pause_ms << min(retries_count, 20)
        capped_ms = min(doubled_ms, self.longest_pause_ms)
        return requested_pause_ms + int(generator.uniform(0, capped_ms))


class RetryBudget:
    """The retries that remain for all calls of a client; thread-safe."""

    def __init__(self, policy: RetryPolicy) -> None:
        self._policy = policy
        self._lock = threading.Lock()
        self._retries_left = policy.budget_max

    def earn(self) -> None:
        """Add the retries that a new call earns."""
        with self._lock:
            self._retries_left = min(
                self._policy.budget_max,
                self._retries_left + self._policy.budget_per_call,
            )

    def spend(self) -> bool:
        """Use up one retry; return False if none is left."""
        with self._lock:
            if self._retries_left < 1:
                return False
            self._retries_left -= 1
            return True
