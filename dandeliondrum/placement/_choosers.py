"""Strategies that choose a worker for one task."""

import collections
import collections.abc
import typing

from dandeliondrum import messages
from dandeliondrum.placement import _fleet_index
from dandeliondrum.placement import _index
from dandeliondrum.placement import _tasks

# How many workers are examined in each failure domain for one replica.
SPREAD_SCAN_COUNT = 16


class Chooser(typing.Protocol):
    """Chooses a worker with room for one task.

    A policy uses one chooser for each task class.
    """

    def choose(
        self,
        index: _fleet_index.FleetIndex,
        task: _tasks.PendingTask,
        need: _index.CapacityLevels,
        region: messages.Region | None,
    ) -> messages.WorkerId | None:
        """Return a worker with room, or None if none was found.

        ``need`` holds the levels of the task's resources. Only workers of
        ``region`` are considered, or those of all regions if it is None.
        """

    def update_counts(self, running: _tasks.RunningTask, sign: int) -> None:
        """Count a task of the class that started (1) or ended (-1)."""


class BestFit:
    """Chooses the worker with the tightest fit, for dense packing."""

    def choose(
        self,
        index: _fleet_index.FleetIndex,
        task: _tasks.PendingTask,
        need: _index.CapacityLevels,
        region: messages.Region | None,
    ) -> messages.WorkerId | None:
        """See ``Chooser.choose``."""
        free = index.for_region(region)
        if free is None:
            return None
        excluded = task.excluded_workers
        worker = free.tightest_fit(need, task.resources, excluded)
        return None if worker is None else worker.worker_id

    def update_counts(self, running: _tasks.RunningTask, sign: int) -> None:
        """See ``Chooser.update_counts``."""


_Location = tuple[messages.FailureDomain, messages.Rack]
_Service = tuple[messages.TeamId, messages.QueueName]


class Spread:
    """Spreads the replicas of a service over domains, racks and workers.

    The tasks of one queue of a team are taken as replicas of one service.
    """

    def __init__(self) -> None:
        self._locations: dict[messages.WorkerId, _Location] = {}
        # The location under which each replica was counted, so that its end
        # is subtracted there even if the worker's location has changed.
        self._counted_at: dict[messages.TaskId, _Location] = {}
        self._by_domain: collections.Counter[
            tuple[_Service, messages.FailureDomain]
        ] = collections.Counter()
        self._by_rack: collections.Counter[
            tuple[_Service, messages.FailureDomain, messages.Rack]
        ] = collections.Counter()
        self._by_worker: collections.Counter[
            tuple[_Service, messages.WorkerId]
        ] = collections.Counter()

    def note_location(
        self,
        facts: messages.WorkerFacts,
        running: collections.abc.Iterable[_tasks.RunningTask],
    ) -> None:
        """Set the location of a worker and count the replicas there.

        Replicas that were restored before their worker was known are
        counted by domain and rack here.
        """
        location = facts.failure_domain, facts.rack
        self._locations[facts.worker_id] = location
        for one in running:
            if one.task.task_class is not messages.TaskClass.SERVICE:
                continue
            if one.task.task_id not in self._counted_at:
                self.update_counts(one, -1)
                self.update_counts(one, 1)

    def choose(
        self,
        index: _fleet_index.FleetIndex,
        task: _tasks.PendingTask,
        need: _index.CapacityLevels,
        region: messages.Region | None,
    ) -> messages.WorkerId | None:
        """See ``Chooser.choose``."""
        service = task.team_id, task.queue
        domains = sorted(
            index.domain_indexes(region),
            key=lambda pair: self._by_domain[service, pair[0]],
        )
        for _, free in domains:
            found = [
                worker.worker_id
                for worker in free.candidates(
                    need, task.resources, SPREAD_SCAN_COUNT
                )
                if worker.worker_id not in task.excluded_workers
            ]
            if found:
                return min(
                    found, key=lambda name: self._crowding(service, name)
                )
        return BestFit().choose(index, task, need, region)

    def update_counts(self, running: _tasks.RunningTask, sign: int) -> None:
        """See ``Chooser.update_counts``."""
        service = running.task.team_id, running.task.queue
        worker_id = running.worker_id
        self._adjust(self._by_worker, (service, worker_id), sign)
        task_id = running.task.task_id
        if sign < 0:
            location = self._counted_at.pop(task_id, None)
        else:
            location = self._locations.get(worker_id)
        if location is not None:
            if sign > 0:
                self._counted_at[task_id] = location
            self._adjust(self._by_domain, (service, location[0]), sign)
            self._adjust(self._by_rack, (service, *location), sign)

    def _crowding(
        self, service: _Service, worker_id: messages.WorkerId
    ) -> tuple[int, int]:
        domain, rack = self._locations[worker_id]
        return (
            self._by_rack.get((service, domain, rack), 0),
            self._by_worker.get((service, worker_id), 0),
        )

    def _adjust(
        self,
        counter: collections.Counter[typing.Any],
        key: object,
        sign: int,
    ) -> None:
        counter[key] += sign
        if not counter[key]:
            del counter[key]
