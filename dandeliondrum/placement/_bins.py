"""Equivalence classes of pending tasks (bins) and bit masks over them.

Tasks of the same class, region, size level, excluded workers and isolation
share a ``Bin``; those of one team in a bin form a ``Group``. The search for a
worker is done once for a bin and the order of teams is decided between groups,
so the cost of neither depends on the number of pending tasks. Each bin has a
bit of its own, and sets of bins are integers.
"""

import bisect
import collections
import collections.abc
import heapq
import typing

from dandeliondrum import messages
from dandeliondrum.placement import _index
from dandeliondrum.placement import _shares
from dandeliondrum.placement import _tasks


class BinKey(typing.NamedTuple):
    """The properties that all tasks of a bin share."""

    task_class: messages.TaskClass
    region: messages.Region | None
    need: _index.CapacityLevels
    excluded_workers: frozenset[messages.WorkerId]
    isolated: bool


_CLASS_ORDER = {
    messages.TaskClass.URGENT: 0,
    messages.TaskClass.SERVICE: 1,
    messages.TaskClass.GANG: 2,
    messages.TaskClass.BATCH: 3,
}

# Rank of the class, submission time of the first task in milliseconds, and
# the bit of the bin.
GroupSortKey = tuple[int, int, int]


class Group:
    """The pending tasks of one team in one bin, oldest first."""

    __slots__ = (
        'account',
        'bin',
        'number',
        'heap',
        'count',
        'sort_key',
        'awaited_count',
        'make_room_ms',
    )

    def __init__(
        self, account: _shares.TeamAccount, bin_: 'Bin', number: int
    ) -> None:
        self.account = account
        self.bin = bin_
        self.number = number
        self.heap: list[tuple[int, int, _tasks.PendingTask]] = []
        self.count = 0
        # Its entry in ``TeamQueue.order``; None if it has no task to place.
        self.sort_key: GroupSortKey | None = None
        # Number of the group's tasks for which preempted tasks still have to
        # end, and the time before which no more victims are searched for.
        self.awaited_count = 0
        self.make_room_ms = 0


class Bin:
    """The groups of all teams with tasks of one ``BinKey``."""

    __slots__ = ('key', 'bit', 'groups', 'placed_ms', 'unfit')

    def __init__(self, key: BinKey, bit: int, since_ms: int) -> None:
        self.key = key
        self.bit = bit
        self.groups: dict[messages.TeamId, Group] = {}
        # When a task of this bin was last placed, or the first submitted.
        self.placed_ms = since_ms
        # The resources for which no worker had room when it was blocked.
        self.unfit: messages.Resources | None = None


class TeamQueue:
    """The groups of one team."""

    __slots__ = (
        'account',
        'number',
        'mask',
        'parked',
        'groups',
        'order',
        'sort_keys',
    )

    def __init__(self, account: _shares.TeamAccount, number: int) -> None:
        self.account = account
        self.number = number
        # Bins in which the team's limits allow a task to be placed.
        self.mask = 0
        # Bins whose first task would exceed the team's upper limit.
        self.parked = 0
        self.groups: dict[int, Group] = {}
        # Groups by class and age of their first task. An entry may be stale:
        # a first task that has left is noticed when the group is selected.
        self.order: list[GroupSortKey] = []
        # The team's keys in the two orders of ``_team_order.TeamOrder``.
        self.sort_keys: tuple[float, float] = (0.0, 0.0)

    def insert_group(self, group: Group, task: _tasks.PendingTask) -> None:
        """Insert or move a group according to its first task."""
        self.remove_group(group)
        class_order = _CLASS_ORDER[task.task_class]
        group.sort_key = class_order, task.submitted_ms, group.bin.bit
        bisect.insort(self.order, group.sort_key)

    def remove_group(self, group: Group) -> None:
        """Remove a group from the order, if it is there."""
        if group.sort_key is not None:
            del self.order[bisect.bisect_left(self.order, group.sort_key)]
            group.sort_key = None


class BinMasks:
    """Assigns bits to bins and finds the bins that fit a free capacity."""

    def __init__(self) -> None:
        self.by_bit: dict[int, Bin] = {}
        self.by_class: collections.defaultdict[messages.TaskClass, int] = (
            collections.defaultdict(int)
        )
        self.by_region: collections.defaultdict[
            messages.Region | None, int
        ] = collections.defaultdict(int)
        # Bins that require at most this level.
        self._by_cpu = [0] * _index.LEVELS_COUNT
        self._by_memory = [0] * _index.LEVELS_COUNT
        self._by_accelerators = [0] * (_index.ACCELERATORS_LEVEL_MAX + 1)
        self._free_bits: list[int] = []
        self._bits_count = 0

    def new_bin(self, key: BinKey, since_ms: int) -> Bin:
        """Return a new bin with the lowest unused bit."""
        if self._free_bits:
            bit = heapq.heappop(self._free_bits)
        else:
            bit = 1 << self._bits_count
            self._bits_count += 1
        bin_ = Bin(key, bit, since_ms)
        self.by_bit[bit] = bin_
        self._toggle(bin_)
        return bin_

    def remove(self, bin_: Bin) -> None:
        """Remove a bin and free its bit."""
        self._toggle(bin_)
        del self.by_bit[bin_.bit]
        heapq.heappush(self._free_bits, bin_.bit)

    def fitting(self, levels: _index.CapacityLevels) -> int:
        """Return the bins whose levels fit in these free levels.

        Levels are rounded down, so a task may still not fit.
        """
        return (
            self._by_cpu[levels.cpu]
            & self._by_memory[levels.memory]
            & self._by_accelerators[levels.accelerators]
        )

    def _toggle(self, bin_: Bin) -> None:
        """Set or clear the bin's bit in all masks to which it belongs."""
        key = bin_.key
        self.by_class[key.task_class] ^= bin_.bit
        self.by_region[key.region] ^= bin_.bit
        for masks, need in (
            (self._by_cpu, key.need.cpu),
            (self._by_memory, key.need.memory),
            (self._by_accelerators, key.need.accelerators),
        ):
            for level in range(need, len(masks)):
                masks[level] ^= bin_.bit


def bits(mask: int) -> collections.abc.Iterator[int]:
    """Yield the set bits of a mask, the lowest first."""
    while mask:
        bit = mask & -mask
        yield bit
        mask ^= bit
