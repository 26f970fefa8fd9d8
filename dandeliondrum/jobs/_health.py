"""Suspension of workers on which runs fail repeatedly.

A worker that accepts every run and fails it always has free resources, so it
would use up the attempts of many tasks. One that refuses every start seems
free as well and would draw the same tasks in each round.
"""

import collections

from dandeliondrum.jobs import _commands
from dandeliondrum import messages

# Consecutive failures after which a worker is suspended.
CONSECUTIVE_FAILURES_MAX = 3
# Duration of the first suspension, doubled each time up to the maximum. A
# task takes seconds.
FIRST_SUSPENSION_MS = 3_000
SUSPENSION_MAX_MS = 24_000
# Duration of the first suspension after a refused start, doubled each time up
# to the maximum. The resources may be free again after a few calls.
FIRST_REFUSAL_PAUSE_MS = 100
REFUSAL_PAUSE_MAX_MS = 1_600


class Health:
    """Counts consecutive failures; one success resets a worker."""

    def __init__(self) -> None:
        self._failures: collections.Counter[messages.WorkerId] = (
            collections.Counter()
        )
        self._next_duration_ms: dict[messages.WorkerId, int] = {}
        self._suspended_until_ms: dict[messages.WorkerId, int] = {}
        self._next_refusal_pause_ms: dict[messages.WorkerId, int] = {}

    def record_end(
        self,
        worker_id: messages.WorkerId,
        outcome: _commands.RunOutcome,
        now_ms: int,
    ) -> None:
        """Record the end of a run; only DONE and FAILED have an effect."""
        if outcome is _commands.RunOutcome.DONE:
            self.forget(worker_id)
        elif outcome is _commands.RunOutcome.FAILED:
            self._failures[worker_id] += 1
            if self._failures[worker_id] >= CONSECUTIVE_FAILURES_MAX:
                self.suspend(worker_id, now_ms)

    def suspend(self, worker_id: messages.WorkerId, now_ms: int) -> None:
        """Suspend the worker, each time for twice as long up to a maximum."""
        duration_ms = self._next_duration_ms.get(
            worker_id, FIRST_SUSPENSION_MS
        )
        self._suspended_until_ms[worker_id] = now_ms + duration_ms
        self._next_duration_ms[worker_id] = min(
            2 * duration_ms, SUSPENSION_MAX_MS
        )

    def record_refusal(
        self, worker_id: messages.WorkerId, now_ms: int
    ) -> None:
        """Suspend a worker that refused a start for a short time.

        Refusals of starts that were sent before have no further effect.
        """
        if self.suspended(worker_id, now_ms):
            return
        pause_ms = self._next_refusal_pause_ms.get(
            worker_id, FIRST_REFUSAL_PAUSE_MS
        )
        self._suspended_until_ms[worker_id] = now_ms + pause_ms
        self._next_refusal_pause_ms[worker_id] = min(
            2 * pause_ms, REFUSAL_PAUSE_MAX_MS
        )

    def suspended(self, worker_id: messages.WorkerId, now_ms: int) -> bool:
        """Return whether the worker is suspended."""
        return now_ms < self._suspended_until_ms.get(worker_id, 0)

    def consecutive_failures(self, worker_id: messages.WorkerId) -> int:
        """Return the number of consecutive failures on the worker."""
        return self._failures[worker_id]

    def forget(self, worker_id: messages.WorkerId) -> None:
        """Reset the failures and the suspension of a worker."""
        self._failures.pop(worker_id, None)
        self._next_duration_ms.pop(worker_id, None)
        self._suspended_until_ms.pop(worker_id, None)
        self._next_refusal_pause_ms.pop(worker_id, None)
