"""The reservation of a gang, or of a single task that has waited too long.

A reservation assigns a worker to each member and holds the capacity there,
whether it is free yet or still used. Held capacity is given to no other task,
so free capacity on these workers only grows until the gang can start, and
tasks placed elsewhere meanwhile (backfill) can't delay it. There is only one
reservation at a time, so that two gangs can't deadlock by waiting for
capacity that the other one holds.
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

# How many eligible workers are sampled for each member that fits on no worker
# yet, and the minimum of the sample for all these members together.
CANDIDATES_PER_MEMBER = 4
CANDIDATES_COUNT_MIN = 32


@dataclasses.dataclass(slots=True)
class Reservation:
    """The workers assigned to the members, and those not free yet.

    ``gang_key`` is None for the reservation of a single task.
    """

    gang_key: _gangs.GangKey | None
    team_id: messages.TeamId
    assignments: list[tuple[_tasks.PendingTask, _fleet.Worker]]
    waiting: set[messages.WorkerId]
    # When all of the held capacity should be free, by expected run times.
    expected_ms: int

    def workers(self) -> list[_fleet.Worker]:
        """Return the distinct workers on which capacity is held."""
        found = {worker.worker_id: worker for _, worker in self.assignments}
        return list(found.values())

    def refresh_waiting(self) -> bool:
        """Update ``waiting`` and return whether everything held is free."""
        self.waiting = {
            worker.worker_id
            for worker in self.workers()
            if not worker.has_room_for_held()
        }
        return not self.waiting


class Reserver:
    """Makes and releases reservations.

    For members without a free worker, a few busy workers are sampled at
    random, and those that are expected to have room first are chosen.
    """

    def __init__(self, index: _fleet_index.FleetIndex, seed: int) -> None:
        self._index = index
        self._random = random.Random(seed)
        self._eligible_ids: list[messages.WorkerId] = []
        self._positions: dict[messages.WorkerId, int] = {}
        self._expected_ms = 0

    def note_worker(self, worker: _fleet.Worker) -> None:
        """Add an eligible worker to those sampled, or remove it."""
        position = self._positions.get(worker.worker_id)
        if worker.eligible and position is None:
            self._positions[worker.worker_id] = len(self._eligible_ids)
            self._eligible_ids.append(worker.worker_id)
        elif not worker.eligible and position is not None:
            last_id = self._eligible_ids.pop()
            del self._positions[worker.worker_id]
            if last_id != worker.worker_id:
                self._eligible_ids[position] = last_id
                self._positions[last_id] = position

    def reserve(
        self,
        ledger: _ledger.Ledger,
        members: list[_tasks.PendingTask],
        gang_key: _gangs.GangKey | None,
        now_ms: int,
    ) -> Reservation | None:
        """Hold capacity for all members, or return None and hold nothing.

        The region of the members is tried first, then all regions.
        """
        region = members[0].region
        regions: list[messages.Region | None] = [region]
        if region is not None:
            regions.append(None)
        for search_region in regions:
            self._expected_ms = now_ms
            assignments = self._assign(ledger, members, search_region, now_ms)
            if assignments is not None:
                reservation = Reservation(
                    gang_key,
                    members[0].team_id,
                    assignments,
                    set(),
                    self._expected_ms,
                )
                reservation.refresh_waiting()
                self._hold_team_limit(ledger, reservation)
                return reservation
        return None

    def release(
        self, ledger: _ledger.Ledger, reservation: Reservation
    ) -> None:
        """Release all that a reservation holds."""
        for task, worker in reservation.assignments:
            worker.hold(task, -1)
            self._index.update(worker)
        account = ledger.teams.account(reservation.team_id)
        account.hold(0, messages.Resources(0, 0, 0))

    def _hold_team_limit(
        self, ledger: _ledger.Ledger, reservation: Reservation
    ) -> None:
        total = messages.Resources(0, 0, 0)
        for task, _ in reservation.assignments:
            total = total + task.resources
        account = ledger.teams.account(reservation.team_id)
        account.hold(len(reservation.assignments), total)

    def _assign(
        self,
        ledger: _ledger.Ledger,
        members: list[_tasks.PendingTask],
        region: messages.Region | None,
        now_ms: int,
    ) -> list[tuple[_tasks.PendingTask, _fleet.Worker]] | None:
        assignments: list[tuple[_tasks.PendingTask, _fleet.Worker]] = []
        unplaced: list[_tasks.PendingTask] = []
        for task in members:
            worker = self._free_worker(task, region)
            if worker is None:
                unplaced.append(task)
            else:
                self._hold(assignments, task, worker)
        if unplaced and not self._hold_busy(
            ledger, unplaced, region, assignments, now_ms
        ):
            for task, worker in assignments:
                worker.hold(task, -1)
                self._index.update(worker)
            return None
        return assignments

    def _free_worker(
        self, task: _tasks.PendingTask, region: messages.Region | None
    ) -> _fleet.Worker | None:
        if task.isolated:
            return self._index.idle_worker(task, region)
        free = self._index.for_region(region)
        if free is None:
            return None
        return free.tightest_fit(
            _index.required_levels(task.resources),
            task.resources,
            task.excluded_workers,
        )

    def _hold(
        self,
        assignments: list[tuple[_tasks.PendingTask, _fleet.Worker]],
        task: _tasks.PendingTask,
        worker: _fleet.Worker,
    ) -> None:
        worker.hold(task, 1)
        self._index.update(worker)
        assignments.append((task, worker))

    def _hold_busy(
        self,
        ledger: _ledger.Ledger,
        members: list[_tasks.PendingTask],
        region: messages.Region | None,
        assignments: list[tuple[_tasks.PendingTask, _fleet.Worker]],
        now_ms: int,
    ) -> bool:
        """Hold capacity on busy workers for members without a free one."""
        candidates = self._candidates(ledger, len(members), region)
        for task in members:
            best: _fleet.Worker | None = None
            best_ms = 0
            for worker in candidates:
                if worker.worker_id in task.excluded_workers:
                    continue
                free_ms = expected_free_ms(worker, task, now_ms)
                if free_ms is not None and (best is None or free_ms < best_ms):
                    best = worker
                    best_ms = free_ms
            if best is None:
                return False
            self._hold(assignments, task, best)
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
        ids = self._eligible_ids
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
    worker: _fleet.Worker, task: _tasks.PendingTask, now_ms: int
) -> int | None:
    """Return when a worker is expected to have room besides what is held.

    0 if it has the room already, and None if it won't have it even after all
    of its tasks have ended. Services have no end. See ``expected_end_ms`` for
    tasks that run longer than expected.
    """
    if worker.held_isolated_count or (
        task.isolated and worker.held_slots_count
    ):
        return None
    resources = task.resources
    obstacles_count = worker.isolated_count
    if task.isolated:
        obstacles_count = len(worker.running)
    cpu = worker.cpu_millicores - worker.held_cpu_millicores
    memory = worker.memory_mb - worker.held_memory_mb
    accelerators = worker.accelerators_count - worker.held_accelerators_count
    slots = worker.slots_count - worker.held_slots_count
    ends = sorted(
        (expected_end_ms(one, now_ms), task_id)
        for task_id, one in worker.running.items()
        if one.task.task_class is not messages.TaskClass.SERVICE
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
            if task.isolated or worker.running[task_id].task.isolated:
                obstacles_count -= 1
        if (
            slots >= 1
            and not obstacles_count
            and resources.cpu_millicores <= cpu
            and resources.memory_mb <= memory
            and resources.accelerators_count <= accelerators
        ):
            return free_ms
    return None


def expected_end_ms(running: _tasks.RunningTask, now_ms: int) -> int:
    """Return when a task is expected to end, always after ``now_ms``.

    A task that has exceeded its expected run time is assumed to run for as
    long again as it has run so far.
    """
    end_ms = running.started_ms + running.task.expected_run_ms
    if end_ms > now_ms:
        return end_ms
    return now_ms + max(1, now_ms - running.started_ms)


def format_waiting_workers(reservation: Reservation) -> str:
    """Return the ids of the workers that a reservation waits for."""
    return ', '.join(
        collections.OrderedDict.fromkeys(sorted(reservation.waiting))
    )
