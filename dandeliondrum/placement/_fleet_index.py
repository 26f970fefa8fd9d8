"""Indexes of free capacity by fleet, region and failure domain."""

import dataclasses

from dandeliondrum import messages
from dandeliondrum.placement import _fleet
from dandeliondrum.placement import _index
from dandeliondrum.placement import _tasks


@dataclasses.dataclass(slots=True)
class _Entry:
    levels: _index.CapacityLevels
    indexes: tuple[_index.FreeIndex, ...]
    slots_count: int = 0
    cpu_millicores: int = 0
    memory_mb: int = 0


class FleetIndex:
    """Indexes for the fleet, for each region and each failure domain.

    It also keeps the totals of free capacity of the indexed workers.
    """

    def __init__(self) -> None:
        self.whole_fleet = _index.FreeIndex()
        self.regions: dict[messages.Region, _index.FreeIndex] = {}
        self.domains: dict[
            messages.Region, dict[messages.FailureDomain, _index.FreeIndex]
        ] = {}
        self.free_slots_count = 0
        self.free_cpu_millicores = 0
        self.free_memory_mb = 0
        self._entries: dict[messages.WorkerId, _Entry] = {}
        self._idle: dict[messages.WorkerId, _fleet.Worker] = {}

    def update(self, worker: _fleet.Worker) -> _index.CapacityLevels | None:
        """Index the free capacity of a worker again and return its levels.

        None if the worker can't take any task; it is not indexed then.
        """
        levels = _index.free_levels(worker)
        if levels is not None and worker.is_idle():
            self._idle[worker.worker_id] = worker
        else:
            self._idle.pop(worker.worker_id, None)
        entry = self._entries.get(worker.worker_id)
        if entry is not None:
            self._add_to_sums(entry, -1)
            if levels == entry.levels:
                self._record_free(entry, worker)
                return levels
            del self._entries[worker.worker_id]
            for index in entry.indexes:
                index.remove(entry.levels, worker)
        if levels is None or worker.facts is None:
            return None
        indexes = entry.indexes if entry else self._indexes_for(worker.facts)
        entry = _Entry(levels, indexes)
        self._entries[worker.worker_id] = entry
        for index in entry.indexes:
            index.add(levels, worker)
        self._record_free(entry, worker)
        return levels

    def remove(self, worker: _fleet.Worker) -> None:
        """Remove a worker whose region or failure domain may change."""
        self._idle.pop(worker.worker_id, None)
        entry = self._entries.pop(worker.worker_id, None)
        if entry is None:
            return
        self._add_to_sums(entry, -1)
        for index in entry.indexes:
            index.remove(entry.levels, worker)

    def for_region(
        self, region: messages.Region | None
    ) -> _index.FreeIndex | None:
        """Return the index of a region, of the whole fleet for None."""
        if region is None:
            return self.whole_fleet
        return self.regions.get(region)

    def domain_indexes(
        self, region: messages.Region | None
    ) -> list[tuple[messages.FailureDomain, _index.FreeIndex]]:
        """Return the failure domain indexes of one region, of all for None."""
        regions = [region] if region is not None else sorted(self.domains)
        return [
            pair
            for name in regions
            for pair in sorted(
                self.domains.get(name, {}).items(), key=lambda one: one[0]
            )
        ]

    def idle_worker(
        self, task: _tasks.PendingTask, region: messages.Region | None
    ) -> _fleet.Worker | None:
        """Return the smallest idle worker that allows the task, if any.

        All idle workers are examined; few tasks are isolated.
        """
        allowed = (
            worker
            for worker in self._idle.values()
            if worker.facts is not None
            and (region is None or worker.facts.region == region)
            and worker.allows(task)
        )
        return min(
            allowed,
            key=lambda worker: (
                worker.accelerators_count,
                worker.cpu_millicores,
                worker.memory_mb,
                worker.worker_id,
            ),
            default=None,
        )

    def _indexes_for(
        self, facts: messages.WorkerFacts
    ) -> tuple[_index.FreeIndex, ...]:
        region = self.regions.setdefault(facts.region, _index.FreeIndex())
        domains = self.domains.setdefault(facts.region, {})
        domain = domains.setdefault(facts.failure_domain, _index.FreeIndex())
        return self.whole_fleet, region, domain

    def _record_free(self, entry: _Entry, worker: _fleet.Worker) -> None:
        entry.slots_count = worker.slots_count - worker.held_slots_count
        entry.cpu_millicores = (
            worker.cpu_millicores - worker.held_cpu_millicores
        )
        entry.memory_mb = worker.memory_mb - worker.held_memory_mb
        self._add_to_sums(entry, 1)

    def _add_to_sums(self, entry: _Entry, sign: int) -> None:
        self.free_slots_count += sign * entry.slots_count
        self.free_cpu_millicores += sign * entry.cpu_millicores
        self.free_memory_mb += sign * entry.memory_mb
