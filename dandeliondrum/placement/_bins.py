"""Bins of like tasks, groups in them by team, and bit masks over bins.

Tasks of the same class, region, size and exclusions share a ``Bin``, and
those of one team in it a ``Group``. Whether there is room anywhere is a
question of the bin, whose turn it is one of the group, so neither depends on
how many tasks wait. Each bin has a bit, and sets of bins are integers.
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
    """What the tasks of a bin have in common."""

    task_class: messages.TaskClass
    region: messages.Region | None
    need: _index.Need
    excluded_workers: frozenset[messages.WorkerId]


_CLASS_ORDER = {
    messages.TaskClass.URGENT: 0,
    messages.TaskClass.SERVICE: 1,
    messages.TaskClass.GANG: 2,
    messages.TaskClass.BATCH: 3,
}

# Order of the class, when the first task was submitted, and the bin's bit.
Place = tuple[int, int, int]


class Group:
    """The waiting tasks of one team in one bin, oldest first."""

    __slots__ = (
        'account',
        'bin',
        'number',
        'heap',
        'count',
        'place',
        'awaited_count',
        'make_room_ms',
    )

    def __init__(
        self, account: _shares.TeamAccount, home: 'Bin', number: int
    ) -> None:
        self.account = account
        self.bin = home
        self.number = number
        self.heap: list[tuple[int, int, _tasks.PendingTask]] = []
        self.count = 0
        # Its entry in the order of its team; None if it has no task to place.
        self.place: Place | None = None
        # Preemptions on their way for these tasks, and when to look for
        # more if none could be found.
        self.awaited_count = 0
        self.make_room_ms = 0


class Bin:
    """Groups of teams whose tasks fit the same workers."""

    __slots__ = ('key', 'bit', 'groups', 'placed_ms', 'unfit')

    def __init__(self, key: BinKey, bit: int, since_ms: int) -> None:
        self.key = key
        self.bit = bit
        self.groups: dict[messages.TeamId, Group] = {}
        # When a task of this bin was placed last, or the first came.
        self.placed_ms = since_ms
        # What no room was found for when it was blocked.
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
        'places',
    )

    def __init__(self, account: _shares.TeamAccount, number: int) -> None:
        self.account = account
        self.number = number
        # Bins in which a task of the team could be placed, as to its limits.
        self.mask = 0
        # Bins whose first task is over the team's upper limit.
        self.parked = 0
        self.groups: dict[int, Group] = {}
        # Groups by class and age of their first task, which may be older
        # here than it is by now.
        self.order: list[Place] = []
        # The team's keys in the orders of teams.
        self.places: tuple[float, float] = (0.0, 0.0)

    def place(self, group: Group, task: _tasks.PendingTask) -> None:
        """Put a group where its first task belongs."""
        self.displace(group)
        class_order = _CLASS_ORDER[task.task_class]
        group.place = class_order, task.submitted_ms, group.bin.bit
        bisect.insort(self.order, group.place)

    def displace(self, group: Group) -> None:
        """Take a group out of the order, if it is in it."""
        if group.place is not None:
            del self.order[bisect.bisect_left(self.order, group.place)]
            group.place = None


class BinMasks:
    """Bits of bins, and which bins fit where."""

    def __init__(self) -> None:
        self.by_bit: dict[int, Bin] = {}
        self.classes: collections.defaultdict[messages.TaskClass, int] = (
            collections.defaultdict(int)
        )
        self.regions: collections.defaultdict[messages.Region | None, int] = (
            collections.defaultdict(int)
        )
        # Bins that need at most this level.
        self._cpu = [0] * _index.LEVELS_COUNT
        self._memory = [0] * _index.LEVELS_COUNT
        self._accelerators = [0] * (_index.ACCELERATORS_LEVEL_MAX + 1)
        self._free_bits: list[int] = []
        self._bits_count = 0

    def new_bin(self, key: BinKey, since_ms: int) -> Bin:
        """Return a bin with a bit of its own, the lowest one free."""
        if self._free_bits:
            bit = heapq.heappop(self._free_bits)
        else:
            bit = 1 << self._bits_count
            self._bits_count += 1
        home = Bin(key, bit, since_ms)
        self.by_bit[bit] = home
        self._change(home)
        return home

    def remove(self, home: Bin) -> None:
        """Give a bin's bit back."""
        self._change(home)
        del self.by_bit[home.bit]
        heapq.heappush(self._free_bits, home.bit)

    def fitting(self, levels: _index.Need) -> int:
        """Return the bins whose tasks fit in such free amounts."""
        return (
            self._cpu[levels.cpu]
            & self._memory[levels.memory]
            & self._accelerators[levels.accelerators]
        )

    def _change(self, home: Bin) -> None:
        """Set the bin's bit in all masks it belongs to, or clear it."""
        key = home.key
        self.classes[key.task_class] ^= home.bit
        self.regions[key.region] ^= home.bit
        for masks, need in (
            (self._cpu, key.need.cpu),
            (self._memory, key.need.memory),
            (self._accelerators, key.need.accelerators),
        ):
            for level in range(need, len(masks)):
                masks[level] ^= home.bit


def bits(mask: int) -> collections.abc.Iterator[int]:
    """Yield the set bits of a mask, the lowest first."""
    while mask:
        bit = mask & -mask
        yield bit
        mask ^= bit
