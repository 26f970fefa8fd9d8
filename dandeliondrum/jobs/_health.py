"""Suspension of workers on which runs fail repeatedly.

A worker that accepts every run and fails it always has free resources, so it
would use up the attempts of many tasks.
"""

import collections

from dandeliondrum.jobs import _commands
from dandeliondrum import messages

# Consecutive failures after which a worker is suspended.
FAILURES_IN_ROW_MAX = 3
# Duration of the first suspension, doubled each time up to the maximum. A
# task takes seconds.
FIRST_PAUSE_MS = 3_000
LONGEST_PAUSE_MS = 24_000


class Health:
    """Counts consecutive failures; one success resets a worker."""

    def __init__(self) -> None:
        self._in_row: collections.Counter[messages.WorkerId] = (
            collections.Counter()
        )
        self._pause_ms: dict[messages.WorkerId, int] = {}
        self._until_ms: dict[messages.WorkerId, int] = {}

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
            self._in_row[worker_id] += 1
            if self._in_row[worker_id] >= FAILURES_IN_ROW_MAX:
                self.suspend(worker_id, now_ms)

    def suspend(self, worker_id: messages.WorkerId, now_ms: int) -> None:
        """Suspend the worker, for twice as long each time."""
        pause_ms = self._pause_ms.get(worker_id, FIRST_PAUSE_MS)
        self._until_ms[worker_id] = now_ms + pause_ms
        self._pause_ms[worker_id] = min(2 * pause_ms, LONGEST_PAUSE_MS)

    def suspended(self, worker_id: messages.WorkerId, now_ms: int) -> bool:
        """Return whether the worker is suspended."""
        return now_ms < self._until_ms.get(worker_id, 0)

    def consecutive_failures(self, worker_id: messages.WorkerId) -> int:
        """Return the number of consecutive failures on the worker."""
        return self._in_row[worker_id]

    def forget(self, worker_id: messages.WorkerId) -> None:
        """Reset the failures and the suspension of a worker."""
        self._in_row.pop(worker_id, None)
        self._pause_ms.pop(worker_id, None)
        self._until_ms.pop(worker_id, None)
