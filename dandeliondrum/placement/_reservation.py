"""The reservation of one gang, or of one task that has waited too long.

A reservation names a worker for each member and holds the room there, taken
or not. What is held is given to nobody else, so on these workers room only
grows until all of it is there and the gang starts; what runs elsewhere
(backfill) can't delay it. There is one reservation at a time, so two gangs
can't each wait for what the other holds.
"""

import collections
import dataclasses
import random

from dandeliondrum import messages
from dandeliondrum.placement import _fleet
from dandeliondrum.placement import _fleet_index
from dandeliondrum.placement import _gangs
from dandeliondrum.placement import _index
from dandeliondrum.placement import _ledger
from dandeliondrum.placement import _tasks

# How many workers are looked at for each member that fits nowhere yet.
CANDIDATES_PER_MEMBER = 4
CANDIDATES_COUNT_MIN = 32


@dataclasses.dataclass(slots=True)
class Reservation:
    """Members, where each will go, and for which workers they still wait."""

    gang_key: _gangs.GangKey | None
    team_id: messages.TeamId
    places: list[tuple[_tasks.PendingTask, _fleet.Worker]]
    waiting: set[messages.WorkerId]
    # When all of the room should be there, as the tasks' run times say.
    expected_ms: int

    def workers(self) -> list[_fleet.Worker]:
        """Return the workers on which room is held, each once."""
        found = {worker.worker_id: worker for _, worker in self.places}
        return list(found.values())

    def has_all(self) -> bool:
        """Return whether all the room is there; note what is awaited."""
        self.waiting = {
            worker.worker_id
            for worker in self.workers()
            if not worker.has_room_for_held()
        }
        return not self.waiting


class Reserver:
    """Makes reservations and lets them go.

    Workers for members that fit nowhere yet are drawn at random, a few for
    each member, and those that are expected to be free first are taken.
    """

    def __init__(self, index: _fleet_index.FleetIndex, seed: int) -> None:
        self._index = index
        self._random = random.Random(seed)
        self._ids: list[messages.WorkerId] = []
        self._positions: dict[messages.WorkerId, int] = {}
        self._expected_ms = 0

    def note_worker(self, worker: _fleet.Worker) -> None:
        """Take a worker in for drawing, or out if it isn't eligible."""
        position = self._positions.get(worker.worker_id)
        if worker.eligible and position is None:
            self._positions[worker.worker_id] = len(self._ids)
            self._ids.append(worker.worker_id)
        elif not worker.eligible and position is not None:
            last_id = self._ids.pop()
            del self._positions[worker.worker_id]
            if last_id != worker.worker_id:
                self._ids[position] = last_id
                self._positions[last_id] = position

    def reserve(
        self,
        ledger: _ledger.Ledger,
        members: list[_tasks.PendingTask],
        gang_key: _gangs.GangKey | None,
        now_ms: int,
    ) -> Reservation | None:
        """Hold room for all members, or for none and return None."""
        region = members[0].region
        regions: list[messages.Region | None] = [region]
        if region is not None:
            regions.append(None)
        for where in regions:
            self._expected_ms = now_ms
            places = self._places(ledger, members, where, now_ms)
            if places is not None:
                made = Reservation(
                    gang_key,
                    members[0].team_id,
                    places,
                    set(),
                    self._expected_ms,
                )
                made.has_all()
                self._hold_limit(ledger, made)
                return made
        return None

    def release(self, ledger: _ledger.Ledger, made: Reservation) -> None:
        """Let all held room go."""
        for task, worker in made.places:
            worker.hold(task.resources, -1)
            self._index.update(worker)
        account = ledger.teams.account(made.team_id)
        account.hold(0, messages.Resources(0, 0, 0))

    def _hold_limit(self, ledger: _ledger.Ledger, made: Reservation) -> None:
        total = messages.Resources(0, 0, 0)
        for task, _ in made.places:
            total = total + task.resources
        account = ledger.teams.account(made.team_id)
        account.hold(len(made.places), total)

    def _places(
        self,
        ledger: _ledger.Ledger,
        members: list[_tasks.PendingTask],
        region: messages.Region | None,
        now_ms: int,
    ) -> list[tuple[_tasks.PendingTask, _fleet.Worker]] | None:
        places: list[tuple[_tasks.PendingTask, _fleet.Worker]] = []
        later: list[_tasks.PendingTask] = []
        for task in members:
            worker = self._free_worker(task, region)
            if worker is None:
                later.append(task)
            else:
                self._hold(places, task, worker)
        if later and not self._hold_busy(
            ledger, later, region, places, now_ms
        ):
            for task, worker in places:
                worker.hold(task.resources, -1)
                self._index.update(worker)
            return None
        return places

    def _free_worker(
        self, task: _tasks.PendingTask, region: messages.Region | None
    ) -> _fleet.Worker | None:
        free = self._index.of(region)
        if free is None:
            return None
        return free.best(
            _index.need_of(task.resources),
            task.resources,
            task.excluded_workers,
        )

    def _hold(
        self,
        places: list[tuple[_tasks.PendingTask, _fleet.Worker]],
        task: _tasks.PendingTask,
        worker: _fleet.Worker,
    ) -> None:
        worker.hold(task.resources, 1)
        self._index.update(worker)
        places.append((task, worker))

    def _hold_busy(
        self,
        ledger: _ledger.Ledger,
        members: list[_tasks.PendingTask],
        region: messages.Region | None,
        places: list[tuple[_tasks.PendingTask, _fleet.Worker]],
        now_ms: int,
    ) -> bool:
        """Hold room on busy workers for members that fit nowhere yet."""
        candidates = self._candidates(ledger, len(members), region)
        for task in members:
            best: _fleet.Worker | None = None
            best_ms = 0
            for worker in candidates:
                if worker.worker_id in task.excluded_workers:
                    continue
                free_ms = expected_free_ms(worker, task.resources, now_ms)
                if free_ms is not None and (best is None or free_ms < best_ms):
                    best = worker
                    best_ms = free_ms
            if best is None:
                return False
            self._hold(places, task, best)
            self._expected_ms = max(self._expected_ms, best_ms)
        return True

    def _candidates(
        self,
        ledger: _ledger.Ledger,
        members_count: int,
        region: messages.Region | None,
    ) -> list[_fleet.Worker]:
        count = max(
            CANDIDATES_COUNT_MIN, CANDIDATES_PER_MEMBER * members_count
        )
        ids = self._ids
        if count < len(ids):
            ids = self._random.sample(ids, count)
        workers = [ledger.fleet.workers[worker_id] for worker_id in ids]
        return [
            worker
            for worker in workers
            if worker.facts is not None
            and (region is None or worker.facts.region == region)
        ]


def expected_free_ms(
    worker: _fleet.Worker, resources: messages.Resources, now_ms: int
) -> int | None:
    """Return when a worker is expected to have room besides what is held.

    A task that runs longer than was said is taken to run as long again.

    None if it won't have it even when all of its tasks have ended.
    """
    cpu = worker.cpu_millicores - worker.held_cpu_millicores
    memory = worker.memory_mb - worker.held_memory_mb
    accelerators = worker.accelerators_count - worker.held_accelerators_count
    slots = worker.slots_count - worker.held_slots_count
    ends = sorted(
        (expected_end_ms(one, now_ms), task_id)
        for task_id, one in worker.running.items()
    )
    free_ms = 0
    for end_ms, task_id in [(0, None), *ends]:
        if task_id is not None:
            ended = worker.running[task_id].task.resources
            cpu += ended.cpu_millicores
            memory += ended.memory_mb
            accelerators += ended.accelerators_count
            slots += 1
            free_ms = end_ms
        if (
            slots >= 1
            and resources.cpu_millicores <= cpu
            and resources.memory_mb <= memory
            and resources.accelerators_count <= accelerators
        ):
            return free_ms
    return None


def expected_end_ms(running: _tasks.RunningTask, now_ms: int) -> int:
    """Return when a task is expected to end, in the future."""
    end_ms = running.started_ms + running.task.expected_run_ms
    if end_ms > now_ms:
        return end_ms
    return now_ms + max(1, now_ms - running.started_ms)


def waiting_names(made: Reservation) -> str:
    """Name the workers that a reservation waits for."""
    return ', '.join(collections.OrderedDict.fromkeys(sorted(made.waiting)))
