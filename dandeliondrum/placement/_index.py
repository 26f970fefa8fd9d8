"""Index of workers by free capacity.

Free CPU and memory are rounded down to logarithmic levels, four for each
doubling, and workers of equal levels share a bucket. Bit masks mark the
buckets that are not empty, so a search costs a few integer operations for
each CPU level, independent of the number of workers.
"""

import bisect
import collections.abc
import typing

from dandeliondrum import messages
from dandeliondrum.placement import _fleet

LEVELS_PER_DOUBLING = 4
# Amounts of millicores or MB below this have level 0.
FIRST_LEVEL_BOUND = 64
LEVELS_COUNT = 64
ACCELERATORS_LEVEL_MAX = 63

# How many workers one search examines in a bucket at exactly the required
# level of CPU or memory, where rounding down hides whether there is room.
# Those without room move to the end of the bucket, so that later searches
# examine the others.
EDGE_SCAN_COUNT = 8

_LEVEL_BOUNDS = [
    round(FIRST_LEVEL_BOUND * 2 ** (step / LEVELS_PER_DOUBLING))
    for step in range(LEVELS_COUNT - 1)
]


def level_of(amount: int) -> int:
    """Return the level of an amount of millicores or MB, rounded down."""
    return bisect.bisect_right(_LEVEL_BOUNDS, amount)


class CapacityLevels(typing.NamedTuple):
    """Levels of free or required amounts."""

    accelerators: int
    cpu: int
    memory: int


def required_levels(resources: messages.Resources) -> CapacityLevels:
    """Return the levels that a task requires."""
    return CapacityLevels(
        min(resources.accelerators_count, ACCELERATORS_LEVEL_MAX),
        level_of(resources.cpu_millicores),
        level_of(resources.memory_mb),
    )


def free_levels(worker: _fleet.Worker) -> CapacityLevels | None:
    """Return the levels of a worker's free capacity.

    None if the worker can't take any task at present.
    """
    slots_count = worker.slots_count - worker.held_slots_count
    cpu_millicores = worker.cpu_millicores - worker.held_cpu_millicores
    memory_mb = worker.memory_mb - worker.held_memory_mb
    if (
        not worker.eligible
        or worker.is_closed()
        or slots_count < 1
        or cpu_millicores < 0
        or memory_mb < 0
    ):
        return None
    accelerators = worker.accelerators_count - worker.held_accelerators_count
    return CapacityLevels(
        max(0, min(accelerators, ACCELERATORS_LEVEL_MAX)),
        level_of(cpu_millicores),
        level_of(memory_mb),
    )


_Bucket = dict[messages.WorkerId, _fleet.Worker]
_WorkerIds = frozenset[messages.WorkerId]


class _BucketGrid:
    """Buckets by CPU and memory level, for one number of accelerators.

    All workers in it have that many free accelerators.
    """

    __slots__ = ('cpu_mask', 'memory_masks', 'buckets')

    def __init__(self) -> None:
        self.cpu_mask = 0
        self.memory_masks = [0] * LEVELS_COUNT
        self.buckets: dict[int, _Bucket] = {}

    def add(self, levels: CapacityLevels, worker: _fleet.Worker) -> None:
        code = levels.cpu * LEVELS_COUNT + levels.memory
        bucket = self.buckets.get(code)
        if bucket is None:
            self.buckets[code] = {worker.worker_id: worker}
            self.memory_masks[levels.cpu] |= 1 << levels.memory
            self.cpu_mask |= 1 << levels.cpu
        else:
            bucket[worker.worker_id] = worker

    def remove(self, levels: CapacityLevels, worker: _fleet.Worker) -> None:
        code = levels.cpu * LEVELS_COUNT + levels.memory
        bucket = self.buckets[code]
        del bucket[worker.worker_id]
        if bucket:
            return
        del self.buckets[code]
        self.memory_masks[levels.cpu] &= ~(1 << levels.memory)
        if not self.memory_masks[levels.cpu]:
            self.cpu_mask &= ~(1 << levels.cpu)


class FreeIndex:
    """Workers indexed by their free capacity.

    ``tightest_fit`` minimizes the sum of the CPU and memory levels that are
    left over, among the workers with the fewest free accelerators that
    suffice. This fills up nearly full workers and keeps empty ones free for
    large tasks.
    """

    def __init__(self) -> None:
        self._grids: dict[int, _BucketGrid] = {}
        self._accelerators_counts: list[int] = []
        # Whether the last search skipped workers that may have room.
        self.truncated = False

    def add(self, levels: CapacityLevels, worker: _fleet.Worker) -> None:
        """Add a worker at the levels of its free capacity."""
        grid = self._grids.get(levels.accelerators)
        if grid is None:
            grid = _BucketGrid()
            self._grids[levels.accelerators] = grid
            bisect.insort(self._accelerators_counts, levels.accelerators)
        grid.add(levels, worker)

    def remove(self, levels: CapacityLevels, worker: _fleet.Worker) -> None:
        """Remove a worker that was added at these levels."""
        self._grids[levels.accelerators].remove(levels, worker)

    def tightest_fit(
        self,
        need: CapacityLevels,
        resources: messages.Resources,
        excluded: _WorkerIds,
    ) -> _fleet.Worker | None:
        """Return the worker with the tightest fit that isn't excluded.

        Sets ``truncated``; if that is True, a result of None does not mean
        that no worker has room.
        """
        self.truncated = False
        start = bisect.bisect_left(
            self._accelerators_counts, need.accelerators
        )
        for accelerators in self._accelerators_counts[start:]:
            grid = self._grids[accelerators]
            if grid.cpu_mask >> need.cpu:
                worker, was_truncated = _tightest_in_grid(
                    grid, need, resources, excluded
                )
                self.truncated = self.truncated or was_truncated
                if worker is not None:
                    return worker
        return None

    def candidates(
        self, need: CapacityLevels, resources: messages.Resources, count: int
    ) -> collections.abc.Iterator[_fleet.Worker]:
        """Yield workers with room, those of tight buckets first.

        At most ``count`` workers are examined.
        """
        start = bisect.bisect_left(
            self._accelerators_counts, need.accelerators
        )
        looked_at = 0
        for accelerators in self._accelerators_counts[start:]:
            grid = self._grids[accelerators]
            for cpu in _bits(grid.cpu_mask, need.cpu):
                for memory in _bits(grid.memory_masks[cpu], need.memory):
                    bucket = grid.buckets[cpu * LEVELS_COUNT + memory]
                    for worker in bucket.values():
                        looked_at += 1
                        if worker.has_room(resources):
                            yield worker
                        if looked_at >= count:
                            return


def _bits(mask: int, start: int) -> collections.abc.Iterator[int]:
    """Yield the positions of set bits from ``start`` in rising order."""
    mask = mask >> start << start
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low


def _tightest_in_grid(
    grid: _BucketGrid,
    need: CapacityLevels,
    resources: messages.Resources,
    excluded: _WorkerIds,
) -> tuple[_fleet.Worker | None, bool]:
    best: _fleet.Worker | None = None
    best_score = 2 * LEVELS_COUNT
    truncated = False
    cpu_mask = grid.cpu_mask >> need.cpu << need.cpu
    while cpu_mask:
        low = cpu_mask & -cpu_mask
        cpu_mask ^= low
        cpu = low.bit_length() - 1
        left_over = cpu - need.cpu
        if left_over >= best_score:
            break
        memory_mask = grid.memory_masks[cpu] >> need.memory
        while memory_mask:
            low = memory_mask & -memory_mask
            memory_mask ^= low
            memory = low.bit_length() - 1
            if left_over + memory >= best_score:
                break
            bucket = grid.buckets[cpu * LEVELS_COUNT + memory + need.memory]
            edge = not left_over or not memory
            worker, was_truncated = _pick_from_bucket(
                bucket, resources, edge, excluded
            )
            truncated = truncated or was_truncated
            if worker is not None:
                best = worker
                best_score = left_over + memory
                break
    return best, truncated


def _pick_from_bucket(
    bucket: _Bucket,
    resources: messages.Resources,
    edge: bool,
    excluded: _WorkerIds,
) -> tuple[_fleet.Worker | None, bool]:
    """Return a worker of the bucket with room, or None.

    ``edge`` says that the bucket is at exactly the required level of CPU or
    memory, so that its workers may have too little of it. The second value
    says whether none was found but some workers were not examined.
    """
    if not edge and not excluded:
        for worker in bucket.values():
            if worker.has_room(resources):
                return worker, False
            break
    truncated = False
    skipped: list[_fleet.Worker] = []
    found = None
    for worker in bucket.values():
        if worker.has_room(resources) and worker.worker_id not in excluded:
            found = worker
            break
        skipped.append(worker)
        if len(skipped) >= EDGE_SCAN_COUNT:
            truncated = len(bucket) > EDGE_SCAN_COUNT
            break
    if len(skipped) < len(bucket):
        for worker in skipped:
            del bucket[worker.worker_id]
            bucket[worker.worker_id] = worker
    return found, truncated and found is None
