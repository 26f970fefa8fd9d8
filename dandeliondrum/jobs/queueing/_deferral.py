"""The choice of what to defer if not all demands can be in time.

The forecast places demands one after the other on the aggregate of their
pool: list scheduling on what is free, what becomes free when running tasks
end, and what becomes free when the demands before have ended. It ignores how
resources are spread over workers, so it is optimistic: it defers too little
rather than too much.
"""

import collections.abc
import copy
import heapq
import itertools
import math
import typing

from dandeliondrum.jobs import _specs
from dandeliondrum.jobs.queueing import _contention
from dandeliondrum.jobs.queueing import _standing
from dandeliondrum import messages

# A forecast looks at most at so many pieces of room; a demand takes a few.
# What comes after them counts as late, so it changes nothing.
PIECES_MAX = 4_096
# At most so many denied demands are looked at for one that is placed.
DENIED_MAX = 16
# Amounts are parts of the pool; differences below this are rounding errors.
_EPSILON = 1e-9


class Demand(typing.Protocol):
    """Fields that the forecast reads; see ``_planner.Demand``."""

    spec: _specs.StepSpec
    amount: messages.Resources
    priority: int
    latest_start_ms: int
    objective_ms: int | None
    left_core_ms: float
    value: float
    standing: _standing.Standing


_AnyDemand = typing.TypeVar('_AnyDemand', bound=Demand)
# Value for the work left, number in the order, part of the pool, demand.
_Entry = tuple[float, int, float, _AnyDemand]


class Forecast:
    """Free room of a pool over time, as parts of its largest resource."""

    def __init__(
        self, room: _contention.PoolRoom, running: _contention.Running
    ) -> None:
        self._capacity = room.capacity
        self._pieces_left = PIECES_MAX
        # Amounts by the time, in ms from now, from which they are free.
        self._free: list[tuple[float, float]] = [(0.0, _free_part(room))]
        self._free += [
            (
                float(ends_in_ms),
                _contention.dominant_share(amount, room.capacity),
            )
            for ends_in_ms, amount in running.ends.items()
        ]
        self._free = [slot for slot in self._free if slot[1] > _EPSILON]
        heapq.heapify(self._free)

    def copy(self) -> 'Forecast':
        """Return a forecast that changes apart from this one."""
        other = copy.copy(self)
        other._free = self._free.copy()
        return other

    def place(
        self, demand: Demand, limit_ms: float = math.inf
    ) -> tuple[float, float]:
        """Place the tasks of a demand on the earliest room.

        Returns when the last one starts, in ms from now, and the part that
        would not start by ``limit_ms``; nothing is placed unless that is 0.
        Tasks may follow each other on the same room.
        """
        missing = self.part(demand)
        run_ms = max(1, demand.spec.expected_run_ms)
        free = self._free
        taken: list[tuple[float, float]] = []
        # Room that the tasks leave again.
        left: list[tuple[float, float]] = []
        start_ms = 0.0
        while missing > _EPSILON and self._pieces_left > 0:
            self._pieces_left -= 1
            source = (
                left if left and not (free and free[0] < left[0]) else free
            )
            if not source or source[0][0] > limit_ms:
                break
            start_ms, size = heapq.heappop(source)
            used = min(size, missing)
            if source is free:
                taken.append((start_ms, size))
            missing -= used
            if size > used + _EPSILON:
                heapq.heappush(left, (start_ms, size - used))
            heapq.heappush(left, (start_ms + run_ms, used))
        is_placed = missing <= _EPSILON
        for slot in left if is_placed else taken:
            heapq.heappush(free, slot)
        return (start_ms, 0.0) if is_placed else (math.inf, missing)

    def part(self, demand: Demand) -> float:
        """Return the part of the pool that all tasks of a demand use."""
        return _contention.dominant_share(demand.amount, self._capacity)


def starts_ms(
    demands: collections.abc.Iterable[Demand],
    room: _contention.PoolRoom,
    running: _contention.Running,
) -> list[float]:
    """Return when the last tasks of demands start, in ms from now.

    The demands are placed in the given order; infinity if there is no room.
    """
    forecast = Forecast(room, running)
    return [forecast.place(demand)[0] for demand in demands]


def deferred(
    demands: collections.abc.Iterable[_AnyDemand],
    room: _contention.PoolRoom,
    running: _contention.Running,
    now_ms: int,
) -> list[_AnyDemand]:
    """Return the demands to defer so that what is in time is worth most.

    ``demands`` are those that can still be in time, in scheduling order. As
    in Moore and Hodgson's rule for the fewest late jobs, they are taken in
    the order of their deadlines; if one would be late, those taken before of
    the same priority and share band give way that are worth least for the
    work left, or else the demand itself. Nothing is deferred unless more is
    in time for it: a step that would be late alone keeps its place, since the
    forecast may be wrong.
    """
    forecast = Forecast(room, running)
    found: list[_AnyDemand] = []
    for _, members in itertools.groupby(
        demands, lambda demand: (demand.priority, demand.standing.share_band)
    ):
        group = list(members)
        in_order = forecast.copy()
        late_value = sum(
            demand.value
            for demand in group
            if in_order.place(demand)[0] > _limit_ms(demand, now_ms)
        )
        if late_value:
            choice: _Choice[_AnyDemand] = _Choice()
            chosen = forecast.copy()
            for demand in group:
                _, missing = chosen.place(demand, _limit_ms(demand, now_ms))
                if demand.objective_ms is not None:
                    choice.add(demand, chosen.part(demand), missing)
            given_up = choice.deferred()
            if sum(demand.value for demand in given_up) < late_value:
                found += given_up
                in_order = chosen
        forecast = in_order
    return found


def _limit_ms(demand: Demand, now_ms: int) -> float:
    """Return how long a demand may wait to be in time."""
    if demand.objective_ms is None:
        return math.inf
    return demand.latest_start_ms - now_ms


class _Choice(typing.Generic[_AnyDemand]):
    """The choice among demands of one priority and share band.

    A demand that takes over the room of an earlier one starts in time, since
    that room is free no later than the earlier one had to start.
    """

    def __init__(self) -> None:
        # Demands that are in time, by value for the work left.
        self._kept: list[_Entry[_AnyDemand]] = []
        # Demands that are not, and the part of each that is missing.
        self._denied: list[tuple[float, _Entry[_AnyDemand]]] = []
        self._gave_way: list[_AnyDemand] = []
        self._count = 0

    def add(self, demand: _AnyDemand, part: float, missing: float) -> None:
        """Add the next demand, of which ``missing`` would start too late."""
        density = demand.value / (demand.left_core_ms or 1.0)
        entry = (density, self._count, part, demand)
        self._count += 1
        if missing:
            self._denied.append((missing, entry))
            self._replace()
        else:
            heapq.heappush(self._kept, entry)

    def deferred(self) -> list[_AnyDemand]:
        """Return the demands that are not in time by this choice."""
        return self._gave_way + [entry[3] for _, entry in self._denied]

    def _replace(self) -> None:
        """Let the newest demand, with others denied, replace earlier ones.

        Nothing changes unless what comes in is worth more than what gives
        way, and each that gives way is worth less for the work left.
        """
        missing, newest = self._denied[-1]
        victims: list[_Entry[_AnyDemand]] = []
        room = value = 0.0
        while (
            self._kept
            and self._kept[0][0] < newest[0]
            and room < missing - _EPSILON
        ):
            victims.append(heapq.heappop(self._kept))
            room += victims[-1][2]
            value += victims[-1][3].value
        if room < missing - _EPSILON:
            victors = []
        else:
            victors = self._victors(room, max(v[1] for v in victims))
        if sum(entry[3].value for _, entry in victors) > value:
            self._gave_way += [victim[3] for victim in victims]
            for victor in victors:
                self._denied.remove(victor)
                heapq.heappush(self._kept, victor[1])
        else:
            for victim in victims:
                heapq.heappush(self._kept, victim)

    def _victors(
        self, room: float, after: int
    ) -> list[tuple[float, '_Entry[_AnyDemand]']]:
        """Return the newest denied demands whose missing parts fit."""
        found = []
        for missing, entry in reversed(self._denied[-DENIED_MAX:]):
            if entry[1] > after and missing <= room + _EPSILON:
                found.append((missing, entry))
                room -= missing
        return found


def _free_part(room: _contention.PoolRoom) -> float:
    """Return the least part of any resource of a pool that is free."""
    pairs = (
        (room.free.cpu_millicores, room.capacity.cpu_millicores),
        (room.free.memory_mb, room.capacity.memory_mb),
    )
    return min(
        (free / capacity for free, capacity in pairs if capacity), default=0.0
    )
