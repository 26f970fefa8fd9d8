"""Tracks the members of gangs and the order of complete gangs."""

import dataclasses
import heapq
import itertools

from dandeliondrum import messages
from dandeliondrum.placement import _policy
from dandeliondrum.placement import _tasks

GangKey = tuple[messages.TeamId, messages.GangId]


@dataclasses.dataclass(slots=True)
class Gang:
    """The pending members of a gang and the number of running ones."""

    key: GangKey
    size: int
    submitted_ms: int
    number: int
    pending: dict[messages.TaskId, _tasks.PendingTask] = dataclasses.field(
        default_factory=dict
    )
    running_count: int = 0

    @property
    def ready(self) -> bool:
        """Whether enough members are pending or running to place them."""
        return (
            bool(self.pending)
            and len(self.pending) + self.running_count >= self.size
        )

    def members(self) -> list[_tasks.PendingTask]:
        """Return the pending members, the largest first."""
        return sorted(
            self.pending.values(),
            key=lambda task: (
                -task.resources.accelerators_count,
                -task.resources.cpu_millicores,
                -task.resources.memory_mb,
                task.task_id,
            ),
        )


class GangTracker:
    """Collects gang members and orders the complete gangs of each team."""

    def __init__(self) -> None:
        self._gangs: dict[GangKey, Gang] = {}
        self._numbers = itertools.count()
        self._ready: dict[messages.TeamId, list[tuple[int, int, GangKey]]] = {}

    def add(self, task: _tasks.PendingTask) -> None:
        """Add a pending member."""
        gang = self._get_or_create(task)
        gang.pending[task.task_id] = task
        gang.size = task.gang_size
        gang.submitted_ms = min(gang.submitted_ms, task.submitted_ms)
        if gang.ready:
            heapq.heappush(
                self._ready.setdefault(task.team_id, []),
                (gang.submitted_ms, gang.number, gang.key),
            )

    def drop(self, task: _tasks.PendingTask) -> None:
        """Remove a member that is no longer pending."""
        key = _policy.gang_key(task)
        gang = self._gangs.get(key) if key is not None else None
        if gang is not None:
            gang.pending.pop(task.task_id, None)
            self._remove_if_empty(gang)

    def count_running(self, task: _tasks.PendingTask, sign: int) -> None:
        """Count a member that started (1) or ended (-1)."""
        gang = self._get_or_create(task)
        gang.running_count += sign
        self._remove_if_empty(gang)

    def get(self, key: GangKey) -> Gang | None:
        """Return a gang with pending or running members, else None."""
        return self._gangs.get(key)

    def first_gangs(self) -> list[Gang]:
        """Return the oldest complete gang of each team."""
        found = []
        for team_id in list(self._ready):
            gang = self._first(team_id)
            if gang is not None:
                found.append(gang)
        return found

    def has_ready(self) -> bool:
        """Return whether there may be a complete pending gang."""
        return bool(self._ready)

    def defer(self, gang: Gang) -> None:
        """Move a gang behind the other complete gangs of its team."""
        heap = self._ready.get(gang.key[0])
        if heap and heap[0][2] == gang.key:
            gang.number = next(self._numbers)
            last_ms = max(entry[0] for entry in heap)
            heapq.heapreplace(heap, (last_ms, gang.number, gang.key))

    def _first(self, team_id: messages.TeamId) -> Gang | None:
        heap = self._ready[team_id]
        while heap:
            gang = self._gangs.get(heap[0][2])
            if gang is not None and gang.ready and (gang.number == heap[0][1]):
                return gang
            heapq.heappop(heap)
        del self._ready[team_id]
        return None

    def _get_or_create(self, task: _tasks.PendingTask) -> Gang:
        key = _policy.gang_key(task)
        if key is None:
            raise ValueError(f'{task.task_id} is not a gang member')
        gang = self._gangs.get(key)
        if gang is None:
            gang = Gang(
                key, task.gang_size, task.submitted_ms, next(self._numbers)
            )
            self._gangs[key] = gang
        return gang

    def _remove_if_empty(self, gang: Gang) -> None:
        if not gang.pending and gang.running_count <= 0:
            del self._gangs[gang.key]
