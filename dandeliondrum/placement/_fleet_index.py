"""Indexes of free capacity of the fleet, its regions and domains."""

import dataclasses

from dandeliondrum import messages
from dandeliondrum.placement import _fleet
from dandeliondrum.placement import _index


@dataclasses.dataclass(slots=True)
class _Entry:
    levels: _index.Need
    indexes: tuple[_index.FreeIndex, ...]
    slots_count: int = 0
    cpu_millicores: int = 0
    memory_mb: int = 0


class FleetIndex:
    """Indexes of the fleet, of each region and of each failure domain.

    It also keeps the sums of what is free on eligible workers.
    """

    def __init__(self) -> None:
        self.everywhere = _index.FreeIndex()
        self.regions: dict[messages.Region, _index.FreeIndex] = {}
        self.domains: dict[
            messages.Region, dict[messages.FailureDomain, _index.FreeIndex]
        ] = {}
        self.free_slots_count = 0
        self.free_cpu_millicores = 0
        self.free_memory_mb = 0
        self._entries: dict[messages.WorkerId, _Entry] = {}

    def update(self, worker: _fleet.Worker) -> _index.Need | None:
        """Note what is free on a worker now; returns its levels."""
        levels = _index.levels_of(worker)
        entry = self._entries.get(worker.worker_id)
        if entry is not None:
            self._sum(entry, -1)
            if levels == entry.levels:
                self._measure(entry, worker)
                return levels
            del self._entries[worker.worker_id]
            for index in entry.indexes:
                index.remove(entry.levels, worker)
        if levels is None or worker.facts is None:
            return None
        indexes = entry.indexes if entry else self._indexes(worker.facts)
        entry = _Entry(levels, indexes)
        self._entries[worker.worker_id] = entry
        for index in entry.indexes:
            index.add(levels, worker)
        self._measure(entry, worker)
        return levels

    def forget(self, worker: _fleet.Worker) -> None:
        """Take a worker out, whose place may change."""
        entry = self._entries.pop(worker.worker_id, None)
        if entry is None:
            return
        self._sum(entry, -1)
        for index in entry.indexes:
            index.remove(entry.levels, worker)

    def of(self, region: messages.Region | None) -> _index.FreeIndex | None:
        """Return the index of a region, or of the fleet for None."""
        if region is None:
            return self.everywhere
        return self.regions.get(region)

    def domains_of(
        self, region: messages.Region | None
    ) -> list[tuple[messages.FailureDomain, _index.FreeIndex]]:
        """Return the indexes of failure domains, of one region or all."""
        regions = [region] if region is not None else sorted(self.domains)
        return [
            pair
            for name in regions
            for pair in sorted(
                self.domains.get(name, {}).items(), key=lambda one: one[0]
            )
        ]

    def _indexes(
        self, facts: messages.WorkerFacts
    ) -> tuple[_index.FreeIndex, ...]:
        region = self.regions.setdefault(facts.region, _index.FreeIndex())
        domains = self.domains.setdefault(facts.region, {})
        domain = domains.setdefault(facts.failure_domain, _index.FreeIndex())
        return self.everywhere, region, domain

    def _measure(self, entry: _Entry, worker: _fleet.Worker) -> None:
        entry.slots_count = worker.slots_count - worker.held_slots_count
        entry.cpu_millicores = (
            worker.cpu_millicores - worker.held_cpu_millicores
        )
        entry.memory_mb = worker.memory_mb - worker.held_memory_mb
        self._sum(entry, 1)

    def _sum(self, entry: _Entry, sign: int) -> None:
        self.free_slots_count += sign * entry.slots_count
        self.free_cpu_millicores += sign * entry.cpu_millicores
        self.free_memory_mb += sign * entry.memory_mb
