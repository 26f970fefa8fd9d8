"""Schedules of losses of controllers, and how many may be lost at a time."""

import collections.abc
import dataclasses
import enum
import random
import threading
import time
import typing

LOSSES_MAX = 2
# A VM stays lost for this time after its start.
CATCH_UP_S = 4.0
POWER_LOSS_S = (0.5, 3.5)
FINAL_BACK_S = (0.5, 1.5)
PAUSE_S = (0.0, 5.0)
FAULTS_COUNT = (3, 8)
AIMED_SHARE = 0.4
ADDITION_SHARE = 0.2
# Of losses of power: how many follow a start, and how long after it; how many
# writes to one file have not been synced.
CUTS_COUNT = (0, 0, 1, 1, 2, 3)
CUT_AFTER_S = (0.0, 4.0)
UNSYNCED_WRITES = (0, 1, 2, 2)
CUT_ALL_SHARE = 0.5


class Kind(enum.Enum):
    """Kind of a fault of a controller."""

    KILL = 'killed'
    POWER_LOSS = 'without power'
    FREEZE = 'frozen'
    WIPE = 'disk lost'
    WIPE_TWO = 'two disks lost'
    REPLACE = 'lost and replaced'
    REPLACE_PLANNED = 'replaced as planned'
    NEW_SEEDS = 'new seeds'
    ADD = 'added'
    POWER_LOSS_ALL = 'all without power'


# After these a voter has to be admitted or readmitted.
ADMITTING_KINDS = (
    Kind.WIPE,
    Kind.WIPE_TWO,
    Kind.REPLACE,
    Kind.REPLACE_PLANNED,
)


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault, how long it lasts, and the time until the next one.

    Its target is the leader, or one that ``choice``, a number from 0 to 1,
    selects among the controllers that are not lost. With ``is_cut``, it loses
    what it has not synced; the power is cut once ``unsynced_writes`` to one
    file are not. It loses power again so long after its next starts as
    ``cuts_after_s`` says.
    """

    kind: Kind
    at_leader: bool = False
    choice: float = 0.0
    length_s: float = 1.0
    pause_s: float = 0.0
    is_cut: bool = False
    unsynced_writes: int = 0
    cuts_after_s: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True)
class LastFault:
    """The last fault, right after an acknowledged document.

    The disks of ``wiped_count`` controllers are lost, of those selected by
    ``choice`` or first the leader's; the others are killed, too, or are not.
    All are back after ``back_s``. With ``is_cut``, those killed lose power as
    in a Fault, and then all of them.
    """

    wiped_count: int = LOSSES_MAX
    kills_others: bool = True
    at_leader: bool = False
    choice: float = 0.0
    back_s: float = 0.5
    is_cut: bool = False
    unsynced_writes: int = 0
    cuts_after_s: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True)
class Schedule:
    """The faults of a run in their order."""

    faults: tuple[Fault, ...]
    last: LastFault


# The last fault hits controllers other than the replaced one.
PLANNED = Schedule((Fault(Kind.REPLACE_PLANNED),), LastFault(choice=0.3))
UNPLANNED = Schedule((Fault(Kind.REPLACE),), LastFault(choice=0.3))
# How long after the launch of a controller that lost its disk the leader is
# frozen, and for how long. It is readmitted after 0.4 to 0.6 s and promoted
# 0.2 s later; a short freeze may leave the leader in its role.
FREEZES_S = (
    (0.4, 0.5),
    (0.5, 1.5),
    (0.6, 0.5),
    (0.7, 1.0),
    (0.8, 0.5),
    (1.0, 1.5),
)


def _frozen_while_admitting() -> collections.abc.Iterator[Fault]:
    for number, (after_s, length_s) in enumerate(FREEZES_S):
        choice = number / len(FREEZES_S)
        yield Fault(Kind.WIPE, choice=choice, pause_s=1.0 + after_s)
        # Until neither of the two counts as lost.
        yield Fault(
            Kind.FREEZE,
            at_leader=True,
            length_s=length_s,
            pause_s=length_s + CATCH_UP_S + 0.5,
        )


# The leader is frozen while it admits a controller that lost its disk.
FROZEN = Schedule(tuple(_frozen_while_admitting()), LastFault(choice=0.3))
# With the disk of issue 47: each survivor loses power with several appends
# that were not synced, and again while the cell recovers.
POWER = Schedule(
    (),
    LastFault(choice=0.3, is_cut=True, unsynced_writes=2, cuts_after_s=(2.5,)),
)


def draw_schedule(seed: int) -> Schedule:
    """Return the schedule of a seed."""
    rng = random.Random(seed)
    faults = []
    kinds = [one for one in Kind if one not in (Kind.ADD, Kind.POWER_LOSS_ALL)]
    for _ in range(rng.randint(*FAULTS_COUNT)):
        faults.append(
            Fault(
                rng.choice(kinds),
                rng.random() < AIMED_SHARE,
                rng.random(),
                rng.uniform(*POWER_LOSS_S),
                rng.uniform(*PAUSE_S),
            )
        )
    # The last fault of all meets one that leaves a voter to be admitted, as
    # soon as it may.
    faults[-1] = dataclasses.replace(
        faults[-1], kind=rng.choice(ADMITTING_KINDS), pause_s=0.0
    )
    if rng.random() < ADDITION_SHARE:
        # There are few addresses for further controllers.
        faults.insert(rng.randrange(len(faults)), Fault(Kind.ADD))
    wiped_count, kills_others = rng.choice(
        [(2, True), (2, True), (2, True), (2, False), (0, True)]
    )
    last = LastFault(
        wiped_count,
        kills_others,
        rng.random() < AIMED_SHARE,
        rng.random(),
        rng.uniform(*FINAL_BACK_S),
    )
    return Schedule(tuple(faults), last)


def draw_power_schedule(seed: int) -> Schedule:
    """Return the schedule of a seed, whose controllers lose power."""
    schedule = draw_schedule(seed)
    rng = random.Random(f'{seed} power')
    faults = [_cut(fault, rng) for fault in schedule.faults]
    if rng.random() < CUT_ALL_SHARE:
        everywhere = Fault(
            Kind.POWER_LOSS_ALL, length_s=rng.uniform(*FINAL_BACK_S)
        )
        faults.insert(rng.randrange(len(faults)), _cut(everywhere, rng))
    # Four of five runs end as in issue 47.
    last = dataclasses.replace(schedule.last, is_cut=True, kills_others=True)
    if rng.random() < 0.8:
        last = dataclasses.replace(last, wiped_count=LOSSES_MAX)
    return Schedule(tuple(faults), _cut(last, rng))


_AnyFault = typing.TypeVar('_AnyFault', Fault, LastFault)


def _cut(fault: _AnyFault, rng: random.Random) -> _AnyFault:
    """Return a fault with the losses of power that may be in it."""
    cuts_after_s = tuple(
        rng.uniform(*CUT_AFTER_S) for _ in range(rng.choice(CUTS_COUNT))
    )
    unsynced_writes = rng.choice(UNSYNCED_WRITES)
    is_cut = rng.random() < 0.5
    if isinstance(fault, LastFault):
        is_cut = True
    elif fault.kind is not Kind.KILL:
        is_cut = fault.kind in (Kind.POWER_LOSS, Kind.POWER_LOSS_ALL)
    elif not is_cut and not cuts_after_s:
        # What a killed process has not synced is lost after its next start.
        cuts_after_s = (rng.uniform(*CUT_AFTER_S),)
    return dataclasses.replace(
        fault,
        is_cut=is_cut,
        unsynced_writes=unsynced_writes,
        cuts_after_s=cuts_after_s,
    )


class Slots:
    """The controllers that count, and until when each is lost.

    ``numbers`` are those of the controllers in the cell.
    """

    def __init__(
        self, numbers: collections.abc.Iterable[int], losses_max: int
    ) -> None:
        self.numbers = list(numbers)
        self._losses_max = losses_max
        self._until_s = [0.0] * len(self.numbers)
        self._changed = threading.Condition()

    def lose(
        self,
        count: int,
        choice: float,
        leader: collections.abc.Callable[[], int | None] = lambda: None,
    ) -> list[int]:
        """Wait until as many more may be lost; return the slots.

        The first is that of the number that ``leader`` returns, if it is not
        lost already.
        """
        with self._changed:
            self._wait(count)
            left_s = self._left_s()
            free = [slot for slot, left in enumerate(left_s) if left <= 0]
            first = int(choice * len(free))
            ordered = free[first:] + free[:first]
            leading = leader()
            ordered.sort(key=lambda slot: self.numbers[slot] != leading)
            for slot in ordered[:count]:
                self._until_s[slot] = float('inf')
            return ordered[:count]

    def lose_all(self) -> list[int]:
        """Wait until none is lost; return all slots."""
        with self._changed:
            while max(self._left_s()) > 0:
                self._changed.wait(min(max(self._left_s()), CATCH_UP_S))
            self._until_s = [float('inf')] * len(self._until_s)
            return list(range(len(self._until_s)))

    def restore(
        self,
        slot: int,
        number: int | None = None,
        catch_up_s: float = CATCH_UP_S,
    ) -> None:
        """Take a slot as lost for ``catch_up_s`` from now, and no longer.

        Another controller is in it, if ``number`` is given.
        """
        with self._changed:
            if number is not None:
                self.numbers[slot] = number
            self._until_s[slot] = time.monotonic() + catch_up_s
            self._changed.notify_all()

    def add(self, number: int) -> int:
        """Wait until one more may be lost; add and return a lost slot."""
        with self._changed:
            self._wait(1)
            self.numbers.append(number)
            self._until_s.append(float('inf'))
            return len(self.numbers) - 1

    def lost_s(self) -> float:
        """Return after which time none will be lost."""
        with self._changed:
            return max(0.0, *self._left_s())

    def _left_s(self) -> list[float]:
        now_s = time.monotonic()
        return [until_s - now_s for until_s in self._until_s]

    def _wait(self, count: int) -> None:
        """Wait until as many more may be lost; the caller holds the lock."""
        while True:
            left_s = [left for left in self._left_s() if left > 0]
            if len(left_s) + count <= self._losses_max:
                return
            self._changed.wait(min(*left_s, CATCH_UP_S))
