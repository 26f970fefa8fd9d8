"""Bins of like tasks, groups in them by team, and lines of bins.

Tasks of the same class, region, size and exclusions share a ``Bin``, and
those of one team in it a ``Group``. Whether there is room anywhere is a
question of the bin, whose turn it is one of the group, so neither depends on
how many tasks wait.
"""

import bisect
import dataclasses

from dandeliondrum import messages
from dandeliondrum.placement import _index
from dandeliondrum.placement import _ranking
from dandeliondrum.placement import _shares
from dandeliondrum.placement import _tasks


@dataclasses.dataclass(frozen=True, slots=True)
class BinKey:
    """What the tasks of a bin have in common."""

    task_class: messages.TaskClass
    region: messages.Region | None
    need: _index.Need
    excluded_workers: frozenset[messages.WorkerId]


class Group:
    """The waiting tasks of one team in one bin, oldest first."""

    __slots__ = ('account', 'bin', 'number', 'heap', 'version', 'count')

    def __init__(
        self, account: _shares.TeamAccount, home: 'Bin', number: int
    ) -> None:
        self.account = account
        self.bin = home
        self.number = number
        self.heap: list[tuple[int, int, _tasks.PendingTask]] = []
        # Entries of the bin's heap with another version are void.
        self.version = 0
        self.count = 0


class Bin:
    """Groups of teams whose tasks fit the same workers."""

    __slots__ = (
        'key',
        'number',
        'groups',
        'heap',
        'line',
        'turn',
        'blocked',
        'awaited_count',
        'make_room_ms',
        'placed_ms',
    )

    def __init__(self, key: BinKey, number: int) -> None:
        self.key = key
        self.number = number
        self.groups: dict[messages.TeamId, Group] = {}
        self.heap: list[tuple[_ranking.Key, int, int, int, Group]] = []
        # Where it stands, and under which key; the key may be too small by
        # now, but never too large. None if nothing in it can be placed.
        self.line: Line | None = None
        self.turn: _ranking.Key | None = None
        # No worker of its region has room.
        self.blocked = False
        # Preemptions on their way for tasks of this bin.
        self.awaited_count = 0
        # When to look for tasks to preempt again.
        self.make_room_ms = 0
        # When a task of this bin was placed last; None if none was.
        self.placed_ms: int | None = None


class Line:
    """Bins in order of their turn."""

    __slots__ = ('entries',)

    def __init__(self) -> None:
        self.entries: list[tuple[_ranking.Key, int, Bin]] = []

    def add(self, home: Bin, turn: _ranking.Key) -> None:
        """Put a bin where it belongs."""
        home.line = self
        home.turn = turn
        bisect.insort(self.entries, (turn, home.number, home))

    @staticmethod
    def remove(home: Bin) -> None:
        """Take a bin out of the line it is in, if any."""
        if home.line is None or home.turn is None:
            return
        entries = home.line.entries
        del entries[bisect.bisect_left(entries, (home.turn, home.number))]
        home.line = None
        home.turn = None
