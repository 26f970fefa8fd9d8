"""Which attempts may never start.

Every attempt that was started or refused leaves its token under its task, and
later starts need a higher one. An attempt that was stopped before it came has
no token yet, so its id itself is kept. Both memories are bounded: the oldest
tokens give way to a floor below which nothing starts, and too many ids are an
overflow, after which the worker has to take a new incarnation.
"""

import collections

from dandeliondrum import messages

TASKS_MAX = 100_000
TOMBSTONES_MAX = 100_000
IDS_MAX = 100_000


class Fence:
    """Remembers tokens and tombstones; the owner holds the lock."""

    def __init__(
        self,
        tasks_max: int = TASKS_MAX,
        tombstones_max: int = TOMBSTONES_MAX,
    ) -> None:
        self._tasks_max = tasks_max
        self._tombstones_max = tombstones_max
        self._floor = 0
        self._tokens: collections.OrderedDict[messages.TaskId, int] = (
            collections.OrderedDict()
        )
        self._tombstones: set[messages.AttemptId] = set()
        self._refused = _RecentIds()
        self._started = _RecentIds()

    def bars(
        self,
        attempt_id: messages.AttemptId,
        task_id: messages.TaskId,
        token: messages.FencingToken,
    ) -> bool:
        """Return whether this start, not seen before, may not happen."""
        if attempt_id in self._tombstones or attempt_id in self._refused:
            return True
        return token <= self._tokens.get(task_id, self._floor)

    def note(
        self, task_id: messages.TaskId, token: messages.FencingToken
    ) -> None:
        """Let nothing of this task start any more up to this token."""
        seen = self._tokens.pop(task_id, self._floor)
        self._tokens[task_id] = max(seen, token)
        if len(self._tokens) > self._tasks_max:
            _, oldest = self._tokens.popitem(last=False)
            self._floor = max(self._floor, oldest)

    def remember_started(self, attempt_id: messages.AttemptId) -> None:
        """Keep in mind that this attempt was started here."""
        self._started.add(attempt_id)

    def remember_refused(self, attempt_id: messages.AttemptId) -> None:
        """Let this attempt never start, whatever token it comes with."""
        self._refused.add(attempt_id)

    def was_started(self, attempt_id: messages.AttemptId) -> bool:
        """Return whether this attempt was started here, as far as known."""
        return attempt_id in self._started

    def bury(self, attempt_id: messages.AttemptId) -> None:
        """Let this attempt never start."""
        self._tombstones.add(attempt_id)

    @property
    def overflowed(self) -> bool:
        """Whether there are more tombstones than may be kept."""
        return len(self._tombstones) > self._tombstones_max


class _RecentIds:
    """The attempt ids that were added last."""

    def __init__(self) -> None:
        self._ids: collections.OrderedDict[messages.AttemptId, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, attempt_id: messages.AttemptId) -> bool:
        return attempt_id in self._ids

    def add(self, attempt_id: messages.AttemptId) -> None:
        self._ids[attempt_id] = None
        if len(self._ids) > IDS_MAX:
            self._ids.popitem(last=False)
