"""Fencing: decides which attempts must not start any more.

The highest fencing token of each task is kept, from both started and refused
attempts; a later start of the task needs a higher one. An attempt whose stop
arrives before its start has no known token, so its id is kept as a tombstone.

Both structures are bounded. When the oldest task is evicted, its token
becomes a lower bound for all tasks that are not stored. Too many tombstones
are an overflow, after which the worker has to take a new incarnation.
"""

import collections

from dandeliondrum import messages

TASKS_MAX = 100_000
TOMBSTONES_MAX = 100_000
RECENT_IDS_MAX = 100_000


class Fence:
    """Stores fencing tokens and tombstones.

    Not thread-safe; callers hold a lock.
    """

    def __init__(
        self,
        tasks_max: int = TASKS_MAX,
        tombstones_max: int = TOMBSTONES_MAX,
    ) -> None:
        self._tasks_max = tasks_max
        self._tombstones_max = tombstones_max
        self._token_floor = 0
        self._tokens: collections.OrderedDict[messages.TaskId, int] = (
            collections.OrderedDict()
        )
        self._tombstones: set[messages.AttemptId] = set()
        self._refused = _RecentIds()
        self._started = _RecentIds()

    def is_fenced(
        self,
        attempt_id: messages.AttemptId,
        task_id: messages.TaskId,
        token: messages.FencingToken,
    ) -> bool:
        """Return whether this start, which was not seen before, is fenced."""
        if attempt_id in self._tombstones or attempt_id in self._refused:
            return True
        return token <= self._tokens.get(task_id, self._token_floor)

    def record_token(
        self, task_id: messages.TaskId, token: messages.FencingToken
    ) -> None:
        """Fence all starts of this task with a token up to this one."""
        highest = self._tokens.pop(task_id, self._token_floor)
        self._tokens[task_id] = max(highest, token)
        if len(self._tokens) > self._tasks_max:
            _, oldest = self._tokens.popitem(last=False)
            self._token_floor = max(self._token_floor, oldest)

    def record_started(self, attempt_id: messages.AttemptId) -> None:
        """Record that this attempt was started on this worker."""
        self._started.add(attempt_id)

    def record_refused(self, attempt_id: messages.AttemptId) -> None:
        """Fence this attempt, whatever token it comes with."""
        self._refused.add(attempt_id)

    def was_started(self, attempt_id: messages.AttemptId) -> bool:
        """Return whether this attempt is among the recently started ones."""
        return attempt_id in self._started

    def add_tombstone(self, attempt_id: messages.AttemptId) -> None:
        """Add a tombstone, so that this attempt never starts."""
        self._tombstones.add(attempt_id)

    @property
    def overflowed(self) -> bool:
        """Whether there are more tombstones than ``tombstones_max``."""
        return len(self._tombstones) > self._tombstones_max


class _RecentIds:
    """The ``RECENT_IDS_MAX`` attempt ids that were added last."""

    def __init__(self) -> None:
        self._ids: collections.OrderedDict[messages.AttemptId, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, attempt_id: messages.AttemptId) -> bool:
        return attempt_id in self._ids

    def add(self, attempt_id: messages.AttemptId) -> None:
        self._ids[attempt_id] = None
        if len(self._ids) > RECENT_IDS_MAX:
            self._ids.popitem(last=False)
