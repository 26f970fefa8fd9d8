"""Gangs: which are complete, and which of them comes next."""

import dataclasses
import heapq
import itertools

from dandeliondrum import messages
from dandeliondrum.placement import _policy
from dandeliondrum.placement import _tasks

GangKey = tuple[messages.TeamId, messages.GangId]


@dataclasses.dataclass(slots=True)
class Gang:
    """The members of a gang that are known."""

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
        """Return whether all members that have to be together are here."""
        return (
            bool(self.pending)
            and len(self.pending) + self.running_count >= self.size
        )

    def members(self) -> list[_tasks.PendingTask]:
        """Return the members to place, the largest first."""
        return sorted(
            self.pending.values(),
            key=lambda task: (
                -task.resources.accelerators_count,
                -task.resources.cpu_millicores,
                -task.resources.memory_mb,
                task.task_id,
            ),
        )


class GangBook:
    """Collects members and keeps complete gangs in order, by team."""

    def __init__(self) -> None:
        self._gangs: dict[GangKey, Gang] = {}
        self._numbers = itertools.count()
        self._ready: dict[messages.TeamId, list[tuple[int, int, GangKey]]] = {}

    def add(self, task: _tasks.PendingTask) -> None:
        """Take a pending member."""
        gang = self._gang(task)
        gang.pending[task.task_id] = task
        gang.size = task.gang_size
        gang.submitted_ms = min(gang.submitted_ms, task.submitted_ms)
        if gang.ready:
            heapq.heappush(
                self._ready.setdefault(task.team_id, []),
                (gang.submitted_ms, gang.number, gang.key),
            )

    def drop(self, task: _tasks.PendingTask) -> None:
        """Note that a member is pending no more."""
        key = _policy.gang_key(task)
        gang = self._gangs.get(key) if key is not None else None
        if gang is not None:
            gang.pending.pop(task.task_id, None)
            self._forget_if_empty(gang)

    def count_running(self, task: _tasks.PendingTask, sign: int) -> None:
        """Note a member that runs (1) or has ended (-1)."""
        gang = self._gang(task)
        gang.running_count += sign
        self._forget_if_empty(gang)

    def get(self, key: GangKey) -> Gang | None:
        """Return a gang of which anything is pending or running."""
        return self._gangs.get(key)

    def firsts(self) -> list[Gang]:
        """Return the oldest complete gang of each team."""
        found = []
        for team_id in list(self._ready):
            gang = self._first(team_id)
            if gang is not None:
                found.append(gang)
        return found

    def has_ready(self) -> bool:
        """Return whether there may be a complete gang that waits."""
        return bool(self._ready)

    def defer(self, gang: Gang) -> None:
        """Let the other gangs of the team come first for once."""
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

    def _gang(self, task: _tasks.PendingTask) -> Gang:
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

    def _forget_if_empty(self, gang: Gang) -> None:
        if not gang.pending and gang.running_count <= 0:
            del self._gangs[gang.key]
