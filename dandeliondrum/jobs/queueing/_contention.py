"""Detection of pools in which not all due work fits."""

import collections.abc
import dataclasses
import typing

from dandeliondrum import messages


class Demand(typing.Protocol):
    """Resources that a demand asks for; see ``_planner.Demand``."""

    pool: str
    amount: messages.Resources


class Worker(typing.Protocol):
    """Resources of a worker; see ``_planner.AvailableWorker``."""

    pool: str
    free: messages.Resources
    capacity: messages.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class PoolRoom:
    """The resources of a pool's usable workers, and the part that is free."""

    capacity: messages.Resources
    free: messages.Resources


@dataclasses.dataclass(slots=True)
class Running:
    """Running work of a pool: the use of each team by priority, and its ends.

    ``ends`` holds what becomes free by the time from now, in ms. Endless
    tasks are not part of it.
    """

    used: dict[messages.TeamId, dict[int, messages.Resources]] = (
        dataclasses.field(default_factory=dict)
    )
    ends: dict[int, messages.Resources] = dataclasses.field(
        default_factory=dict
    )

    def add(
        self,
        team_id: messages.TeamId,
        priority: int,
        amount: messages.Resources,
        ends_in_ms: int | None,
    ) -> None:
        """Add a run; ``ends_in_ms`` is None for an endless task."""
        by_priority = self.used.setdefault(team_id, {})
        before = by_priority.get(priority)
        by_priority[priority] = amount if before is None else before + amount
        if ends_in_ms is not None:
            before = self.ends.get(ends_in_ms)
            self.ends[ends_in_ms] = (
                amount if before is None else before + amount
            )


@dataclasses.dataclass(frozen=True, slots=True)
class Contention:
    """The state of the fleet that the order depends on.

    ``pools`` holds the pools in which the due work does not fit, ``running``
    what runs in each of them, and ``weights`` the shares of the teams.
    """

    pools: collections.abc.Mapping[str, PoolRoom] = dataclasses.field(
        default_factory=dict
    )
    running: collections.abc.Mapping[str, Running] = dataclasses.field(
        default_factory=dict
    )
    weights: collections.abc.Mapping[messages.TeamId, int] = dataclasses.field(
        default_factory=dict
    )

    def weighs_teams(self) -> bool:
        """Return whether at least two teams have a share."""
        return sum(weight > 0 for weight in self.weights.values()) > 1


def dominant_share(
    amount: messages.Resources, capacity: messages.Resources
) -> float:
    """Return the largest part that an amount is of any one resource."""
    return max(
        amount.cpu_millicores / (capacity.cpu_millicores or 1),
        amount.memory_mb / (capacity.memory_mb or 1),
        amount.accelerators_count / (capacity.accelerators_count or 1),
    )


def pool_rooms(
    workers: collections.abc.Iterable[Worker],
) -> dict[str, PoolRoom]:
    """Return the resources of each pool's workers."""
    totals: dict[str, list[int]] = {}
    for worker in workers:
        total = totals.get(worker.pool)
        if total is None:
            total = totals[worker.pool] = [0, 0, 0, 0, 0, 0]
        free, capacity = worker.free, worker.capacity
        # A worker that has shrunk may run more than it has.
        total[0] += max(0, free.cpu_millicores)
        total[1] += max(0, free.memory_mb)
        total[2] += max(0, free.accelerators_count)
        total[3] += capacity.cpu_millicores
        total[4] += capacity.memory_mb
        total[5] += capacity.accelerators_count
    return {
        pool: PoolRoom(
            messages.Resources(*total[3:]), messages.Resources(*total[:3])
        )
        for pool, total in totals.items()
    }


def contended_pools(
    demands: collections.abc.Iterable[Demand],
    rooms: collections.abc.Mapping[str, PoolRoom],
) -> dict[str, PoolRoom]:
    """Return the pools whose free resources are less than what is due.

    Amounts are sums over the pool, so a task that fits on no single worker
    is not noticed; nothing but its own placement depends on it.
    """
    wanted: dict[str, list[int]] = {}
    for demand in demands:
        total = wanted.get(demand.pool)
        if total is None:
            total = wanted[demand.pool] = [0, 0, 0]
        amount = demand.amount
        total[0] += amount.cpu_millicores
        total[1] += amount.memory_mb
        total[2] += amount.accelerators_count
    return {
        pool: rooms[pool]
        for pool, total in wanted.items()
        if pool in rooms
        and not messages.Resources(*total).fits_in(rooms[pool].free)
    }
