"""Waiting tasks in order of age, so that none starves."""

import collections

from dandeliondrum.placement import _ledger
from dandeliondrum.placement import _tasks

# One placement in so many goes to a task that has waited long, whatever its
# class and its team's share.
PLACEMENTS_PER_AGED = 20
AGED_MS = 60_000
TRIED_COUNT = 4
# Tasks that wait no more are cleared out beyond this many.
ENDED_COUNT_MAX = 1_024


class AgedTasks:
    """Tasks in order of arrival; a few of the oldest are offered in turn.

    One that can't be placed goes to the end, so that it can't keep the
    others from their turn.
    """

    def __init__(self, ledger: _ledger.Ledger) -> None:
        self._ledger = ledger
        self._tasks: collections.deque[_tasks.PendingTask] = (
            collections.deque()
        )
        self._placements_count = 0

    def add(self, task: _tasks.PendingTask) -> None:
        """Take a task that waits."""
        self._tasks.append(task)
        limit = 2 * len(self._ledger.pending) + ENDED_COUNT_MAX
        if len(self._tasks) > limit:
            self._tasks = collections.deque(
                one for one in self._tasks if self._waits(one)
            )

    def count_placement(self) -> None:
        """Count a placement that was made in the usual order."""
        self._placements_count += 1

    def due(self, now_ms: int) -> list[_tasks.PendingTask]:
        """Return tasks to be tried now, oldest first; mostly none."""
        if self._placements_count < PLACEMENTS_PER_AGED:
            return []
        self._placements_count = 0
        found: list[_tasks.PendingTask] = []
        looked_at = 0
        while self._tasks and looked_at < TRIED_COUNT:
            task = self._tasks[0]
            if not self._waits(task):
                self._tasks.popleft()
                continue
            if now_ms - task.submitted_ms < AGED_MS:
                break
            looked_at += 1
            self._tasks.rotate(-1)
            if task.deadline_ms is None or task.deadline_ms > now_ms:
                found.append(task)
        return found

    def _waits(self, task: _tasks.PendingTask) -> bool:
        return self._ledger.pending.get(task.task_id) is task
