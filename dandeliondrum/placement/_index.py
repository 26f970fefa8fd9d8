"""Index of workers by free capacity.

Free processors and memory are rounded down to levels, four to an octave,
and workers of equal levels share a bucket. Bit masks show which buckets hold
any worker, so a search costs a few operations on integers for each level of
processors, however many workers there are.
"""

import bisect
import collections.abc
import typing

from dandeliondrum import messages
from dandeliondrum.placement import _fleet

STEPS_PER_OCTAVE = 4
SMALLEST_AMOUNT = 64
LEVELS_COUNT = 64
ACCELERATORS_LEVEL_MAX = 63

# How many workers of a bucket at the edge of what a task needs are looked at
# in one search. Those that have no room go to the end of their bucket, so
# that later searches come to the others.
EDGE_SCAN_COUNT = 8

_BOUNDS = [
    round(SMALLEST_AMOUNT * 2 ** (step / STEPS_PER_OCTAVE))
    for step in range(LEVELS_COUNT - 1)
]


def level_of(amount: int) -> int:
    """Return the level of an amount of millicores or MB, rounded down."""
    return bisect.bisect_right(_BOUNDS, amount)


class Need(typing.NamedTuple):
    """The levels of what a task needs."""

    accelerators: int
    cpu: int
    memory: int


def need_of(resources: messages.Resources) -> Need:
    """Return the levels of a task's resources."""
    return Need(
        min(resources.accelerators_count, ACCELERATORS_LEVEL_MAX),
        level_of(resources.cpu_millicores),
        level_of(resources.memory_mb),
    )


def levels_of(worker: _fleet.Worker) -> Need | None:
    """Return the levels of what is free on a worker, None if nothing is."""
    slots_count = worker.slots_count - worker.held_slots_count
    cpu_millicores = worker.cpu_millicores - worker.held_cpu_millicores
    memory_mb = worker.memory_mb - worker.held_memory_mb
    if (
        not worker.eligible
        or slots_count < 1
        or cpu_millicores < 0
        or memory_mb < 0
    ):
        return None
    accelerators = worker.accelerators_count - worker.held_accelerators_count
    return Need(
        max(0, min(accelerators, ACCELERATORS_LEVEL_MAX)),
        level_of(cpu_millicores),
        level_of(memory_mb),
    )


_Bucket = dict[messages.WorkerId, _fleet.Worker]
_Ids = frozenset[messages.WorkerId]


class _Plane:
    """Buckets of workers with equally many free accelerators."""

    __slots__ = ('cpu_mask', 'memory_masks', 'buckets')

    def __init__(self) -> None:
        self.cpu_mask = 0
        self.memory_masks = [0] * LEVELS_COUNT
        self.buckets: dict[int, _Bucket] = {}

    def add(self, levels: Need, worker: _fleet.Worker) -> None:
        code = levels.cpu * LEVELS_COUNT + levels.memory
        bucket = self.buckets.get(code)
        if bucket is None:
            self.buckets[code] = {worker.worker_id: worker}
            self.memory_masks[levels.cpu] |= 1 << levels.memory
            self.cpu_mask |= 1 << levels.cpu
        else:
            bucket[worker.worker_id] = worker

    def remove(self, levels: Need, worker: _fleet.Worker) -> None:
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
    """Workers by what is free on them.

    ``best`` finds the tightest fit: the smallest sum of levels left over in
    processors and memory, on a worker with as few free accelerators as will
    do. So nearly full workers are filled up and empty ones stay empty.
    """

    def __init__(self) -> None:
        self._planes: dict[int, _Plane] = {}
        self._order: list[int] = []
        # Whether the last search left workers out that may have room.
        self.cut_short = False

    def add(self, levels: Need, worker: _fleet.Worker) -> None:
        """Take a worker in at its levels."""
        plane = self._planes.get(levels.accelerators)
        if plane is None:
            plane = _Plane()
            self._planes[levels.accelerators] = plane
            bisect.insort(self._order, levels.accelerators)
        plane.add(levels, worker)

    def remove(self, levels: Need, worker: _fleet.Worker) -> None:
        """Take a worker out that was added at these levels."""
        self._planes[levels.accelerators].remove(levels, worker)

    def best(
        self, need: Need, resources: messages.Resources, excluded: _Ids
    ) -> _fleet.Worker | None:
        """Return the tightest worker with room that isn't excluded."""
        self.cut_short = False
        start = bisect.bisect_left(self._order, need.accelerators)
        for accelerators in self._order[start:]:
            plane = self._planes[accelerators]
            if plane.cpu_mask >> need.cpu:
                worker, cut = _tightest(plane, need, resources, excluded)
                self.cut_short = self.cut_short or cut
                if worker is not None:
                    return worker
        return None

    def some(
        self, need: Need, resources: messages.Resources, count: int
    ) -> collections.abc.Iterator[_fleet.Worker]:
        """Yield at most ``count`` workers with room, tight buckets first."""
        start = bisect.bisect_left(self._order, need.accelerators)
        looked_at = 0
        for accelerators in self._order[start:]:
            plane = self._planes[accelerators]
            for cpu in _bits(plane.cpu_mask, need.cpu):
                for memory in _bits(plane.memory_masks[cpu], need.memory):
                    bucket = plane.buckets[cpu * LEVELS_COUNT + memory]
                    for worker in bucket.values():
                        looked_at += 1
                        if worker.has_room(resources):
                            yield worker
                        if looked_at >= count:
                            return


def _bits(mask: int, start: int) -> collections.abc.Iterator[int]:
    """Yield the positions of set bits from ``start`` upwards."""
    mask = mask >> start << start
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low


def _tightest(
    plane: _Plane,
    need: Need,
    resources: messages.Resources,
    excluded: _Ids,
) -> tuple[_fleet.Worker | None, bool]:
    best: _fleet.Worker | None = None
    best_score = 2 * LEVELS_COUNT
    cut_short = False
    cpu_mask = plane.cpu_mask >> need.cpu << need.cpu
    while cpu_mask:
        low = cpu_mask & -cpu_mask
        cpu_mask ^= low
        cpu = low.bit_length() - 1
        left_over = cpu - need.cpu
        if left_over >= best_score:
            break
        memory_mask = plane.memory_masks[cpu] >> need.memory
        while memory_mask:
            low = memory_mask & -memory_mask
            memory_mask ^= low
            memory = low.bit_length() - 1
            if left_over + memory >= best_score:
                break
            bucket = plane.buckets[cpu * LEVELS_COUNT + memory + need.memory]
            edge = not left_over or not memory
            worker, cut = _pick(bucket, resources, edge, excluded)
            cut_short = cut_short or cut
            if worker is not None:
                best = worker
                best_score = left_over + memory
                break
    return best, cut_short


def _pick(
    bucket: _Bucket,
    resources: messages.Resources,
    edge: bool,
    excluded: _Ids,
) -> tuple[_fleet.Worker | None, bool]:
    """Return a worker of the bucket with room, looking at a few.

    Also says whether others were not looked at.
    """
    if not edge and not excluded:
        for worker in bucket.values():
            if worker.has_room(resources):
                return worker, False
            break
    cut_short = False
    passed: list[_fleet.Worker] = []
    found = None
    for worker in bucket.values():
        if worker.has_room(resources) and worker.worker_id not in excluded:
            found = worker
            break
        passed.append(worker)
        if len(passed) >= EDGE_SCAN_COUNT:
            cut_short = len(bucket) > EDGE_SCAN_COUNT
            break
    if len(passed) < len(bucket):
        for worker in passed:
            del bucket[worker.worker_id]
            bucket[worker.worker_id] = worker
    return found, cut_short and found is None
