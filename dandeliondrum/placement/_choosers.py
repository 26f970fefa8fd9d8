"""How a worker is chosen for one task, by class of task."""

import collections
import collections.abc
import typing

from dandeliondrum import messages
from dandeliondrum.placement import _fleet_index
from dandeliondrum.placement import _index
from dandeliondrum.placement import _tasks

# How many workers with room are compared for one replica of a service.
SPREAD_SCAN_COUNT = 16


class Chooser(typing.Protocol):
    """Chooses a worker with room, in one region or anywhere (None)."""

    def choose(
        self,
        index: _fleet_index.FleetIndex,
        task: _tasks.PendingTask,
        need: _index.Need,
        region: messages.Region | None,
    ) -> messages.WorkerId | None:
        """Return the worker, or None if none was found with room."""

    def count(self, running: _tasks.RunningTask, sign: int) -> None:
        """Note a task of the class that runs (1) or has ended (-1)."""


class BestFit:
    """Fills up the worker that the task fits most tightly."""

    def choose(
        self,
        index: _fleet_index.FleetIndex,
        task: _tasks.PendingTask,
        need: _index.Need,
        region: messages.Region | None,
    ) -> messages.WorkerId | None:
        """See ``Chooser.choose``."""
        free = index.of(region)
        if free is None:
            return None
        excluded = task.excluded_workers
        worker = free.best(need, task.resources, excluded)
        return None if worker is None else worker.worker_id

    def count(self, running: _tasks.RunningTask, sign: int) -> None:
        """See ``Chooser.count``."""


_Place = tuple[messages.FailureDomain, messages.Rack]
_Service = tuple[messages.TeamId, messages.QueueName]


class Spread:
    """Spreads the replicas of a service over domains, racks and workers.

    The tasks of one queue of a team count as one service.
    """

    def __init__(self) -> None:
        self._places: dict[messages.WorkerId, _Place] = {}
        # Replicas and where they were counted.
        self._counted: dict[messages.TaskId, _Place] = {}
        self._by_domain: collections.Counter[
            tuple[_Service, messages.FailureDomain]
        ] = collections.Counter()
        self._by_rack: collections.Counter[
            tuple[_Service, messages.FailureDomain, messages.Rack]
        ] = collections.Counter()
        self._by_worker: collections.Counter[
            tuple[_Service, messages.WorkerId]
        ] = collections.Counter()

    def note_place(
        self,
        facts: messages.WorkerFacts,
        running: collections.abc.Iterable[_tasks.RunningTask],
    ) -> None:
        """Note where a worker is, and what was found running there."""
        place = facts.failure_domain, facts.rack
        self._places[facts.worker_id] = place
        for one in running:
            if one.task.task_class is not messages.TaskClass.SERVICE:
                continue
            if one.task.task_id not in self._counted:
                self.count(one, -1)
                self.count(one, 1)

    def choose(
        self,
        index: _fleet_index.FleetIndex,
        task: _tasks.PendingTask,
        need: _index.Need,
        region: messages.Region | None,
    ) -> messages.WorkerId | None:
        """See ``Chooser.choose``."""
        service = task.team_id, task.queue
        domains = sorted(
            index.domains_of(region),
            key=lambda pair: self._by_domain[service, pair[0]],
        )
        for _, free in domains:
            found = [
                worker.worker_id
                for worker in free.some(
                    need, task.resources, SPREAD_SCAN_COUNT
                )
                if worker.worker_id not in task.excluded_workers
            ]
            if found:
                return min(
                    found, key=lambda name: self._crowding(service, name)
                )
        return BestFit().choose(index, task, need, region)

    def count(self, running: _tasks.RunningTask, sign: int) -> None:
        """See ``Chooser.count``."""
        service = running.task.team_id, running.task.queue
        worker_id = running.worker_id
        self._change(self._by_worker, (service, worker_id), sign)
        task_id = running.task.task_id
        if sign < 0:
            place = self._counted.pop(task_id, None)
        else:
            place = self._places.get(worker_id)
        if place is not None:
            if sign > 0:
                self._counted[task_id] = place
            self._change(self._by_domain, (service, place[0]), sign)
            self._change(self._by_rack, (service, *place), sign)

    def _crowding(
        self, service: _Service, worker_id: messages.WorkerId
    ) -> tuple[int, int]:
        domain, rack = self._places[worker_id]
        return (
            self._by_rack.get((service, domain, rack), 0),
            self._by_worker.get((service, worker_id), 0),
        )

    def _change(
        self,
        counter: collections.Counter[typing.Any],
        key: object,
        sign: int,
    ) -> None:
        counter[key] += sign
        if not counter[key]:
            del counter[key]
