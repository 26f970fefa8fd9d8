"""Which workers fail what they start, judged by the ends of runs.

Answers the load of a worker that accepts everything and fails it: it has
room all the time and would otherwise use up the attempts of many tasks.
"""

import collections

from dandeliondrum.jobs import _commands
from dandeliondrum import messages

# A worker that failed so many runs in a row gets nothing for a while.
FAILURES_IN_ROW_MAX = 3
# First pause, doubled each time up to the longest; a task takes seconds.
FIRST_PAUSE_MS = 3_000
LONGEST_PAUSE_MS = 24_000


class Health:
    """Counts failures in a row; one success clears a worker."""

    def __init__(self) -> None:
        self._in_row: collections.Counter[messages.WorkerId] = (
            collections.Counter()
        )
        self._pause_ms: dict[messages.WorkerId, int] = {}
        self._until_ms: dict[messages.WorkerId, int] = {}

    def ended(
        self,
        worker_id: messages.WorkerId,
        outcome: _commands.RunOutcome,
        now_ms: int,
    ) -> None:
        """Take in the end of a run; ends of other kinds say nothing."""
        if outcome is _commands.RunOutcome.DONE:
            self.forget(worker_id)
        elif outcome is _commands.RunOutcome.FAILED:
            self._in_row[worker_id] += 1
            if self._in_row[worker_id] >= FAILURES_IN_ROW_MAX:
                self.suspend(worker_id, now_ms)

    def suspend(self, worker_id: messages.WorkerId, now_ms: int) -> None:
        """Give the worker nothing for a while, longer each time."""
        pause_ms = self._pause_ms.get(worker_id, FIRST_PAUSE_MS)
        self._until_ms[worker_id] = now_ms + pause_ms
        self._pause_ms[worker_id] = min(2 * pause_ms, LONGEST_PAUSE_MS)

    def suspended(self, worker_id: messages.WorkerId, now_ms: int) -> bool:
        """Return whether the worker is to be left out."""
        return now_ms < self._until_ms.get(worker_id, 0)

    def suspicion(self, worker_id: messages.WorkerId) -> int:
        """Return how many runs in a row failed on the worker."""
        return self._in_row[worker_id]

    def forget(self, worker_id: messages.WorkerId) -> None:
        """Trust the worker again."""
        self._in_row.pop(worker_id, None)
        self._pause_ms.pop(worker_id, None)
        self._until_ms.pop(worker_id, None)
