"""State shared by the steps of the full policy."""

import collections
import collections.abc

from dandeliondrum import messages
from dandeliondrum.placement import _bins
from dandeliondrum.placement import _choosers
from dandeliondrum.placement import _fleet
from dandeliondrum.placement import _fleet_index
from dandeliondrum.placement import _gangs
from dandeliondrum.placement import _ledger
from dandeliondrum.placement import _preemption
from dandeliondrum.placement import _queues
from dandeliondrum.placement import _ranking
from dandeliondrum.placement import _reservation
from dandeliondrum.placement import _tasks
from dandeliondrum.placement import _urgent_reserve

Choosers = collections.abc.Mapping[messages.TaskClass, _choosers.Chooser]


class State:
    """Keeps the indexes and queues consistent with the ledger."""

    def __init__(
        self, ledger: _ledger.Ledger, choosers: Choosers, seed: int
    ) -> None:
        self.ledger = ledger
        self.choosers = choosers
        self.index = _fleet_index.FleetIndex()
        self.ranking = _ranking.Ranking()
        self.queues = _queues.Queues(self.ranking)
        self.gangs = _gangs.GangTracker()
        self.victims = _preemption.VictimIndex(self.ranking, seed)
        self.reserver = _reservation.Reserver(self.index, seed)
        self.reservation: _reservation.Reservation | None = None
        # Workers whose free capacity has grown, in the order in which it did.
        self.freed_workers: dict[messages.WorkerId, _fleet.Worker] = {}
        self.reasons: dict[messages.TaskId, str] = {}
        # Preempted tasks that have not ended yet, and the group that waits.
        self.preempted_for: dict[messages.TaskId, _bins.Group] = {}
        self.urgent_reserve = _urgent_reserve.UrgentReserve(ledger, self.index)
        self._needs_reset = True
        self.ranking.bind(ledger)
        self.queues.bind(ledger)
        self.victims.bind(ledger)

    def add(self, task: _tasks.PendingTask) -> None:
        """Add a pending task."""
        if task.gang_id is not None:
            self.gangs.add(task)
            return
        self.queues.add(task)
        self.urgent_reserve.note_added(task)

    def drop(self, task: _tasks.PendingTask) -> None:
        """Remove a pending task that was not placed."""
        self._unqueue(task)
        if self._is_reserved(task):
            self.drop_reservation()

    def commit(
        self,
        task: _tasks.PendingTask,
        worker_id: messages.WorkerId,
        now_ms: int,
        reason: str,
    ) -> _tasks.Placement:
        """Reserve a placement and update all indexes.

        ``reason`` is kept for ``FairSharePolicy.explain_running``.
        """
        placement = self.ledger.reserve(task, worker_id, now_ms)
        self.queues.note_placed(task, now_ms)
        self._unqueue(task)
        self.reasons[task.task_id] = reason
        self._count(self.ledger.running[task.task_id], 1)
        if self.reservation is not None and self._is_reserved(task):
            self.drop_reservation()
        return placement

    def record(self, running: _tasks.RunningTask) -> None:
        """Add a running task that this policy did not place."""
        self._count(running, 1)

    def release(self, running: _tasks.RunningTask) -> None:
        """Handle a task that released its reservation."""
        task_id = running.task.task_id
        self._count(running, -1)
        self.reasons.pop(task_id, None)
        self.victims.ended(task_id)
        group = self.preempted_for.pop(task_id, None)
        if group is not None:
            group.awaited_count -= 1
        worker = self.ledger.fleet.workers.get(running.worker_id)
        if worker is not None:
            self.note_freed(worker)

    def put_worker(self, worker: _fleet.Worker) -> None:
        """Handle a worker that was added, changed or removed."""
        reservation = self.reservation
        if reservation is not None and worker in reservation.workers():
            self.drop_reservation()
        self.index.remove(worker)
        spread = self.choosers[messages.TaskClass.SERVICE]
        if worker.facts is not None and isinstance(spread, _choosers.Spread):
            spread.note_location(worker.facts, worker.running.values())
        for running in worker.running.values():
            self.victims.add(running)
        self.reserver.note_worker(worker)
        self.note_freed(worker)
        self._needs_reset = True

    def reset(self) -> None:
        """Handle a change of the grants of teams."""
        self._needs_reset = True
        self.drop_reservation()

    def refresh(self) -> None:
        """Reorder all teams if the fleet or the grants have changed."""
        if self._needs_reset:
            self.ranking.reset()
            self.queues.note_all_usage()
        self._needs_reset = False

    def note_freed(self, worker: _fleet.Worker) -> None:
        """Handle a worker that may have room for blocked tasks now."""
        levels = self.index.update(worker)
        reservation = self.reservation
        if reservation is not None and worker.worker_id in reservation.waiting:
            if worker.has_room_for_held():
                reservation.waiting.discard(worker.worker_id)
        if levels is not None:
            self.freed_workers[worker.worker_id] = worker

    def is_contended(self, now_ms: int) -> bool:
        """Return whether any task within its team's limits lacks room.

        Batch tasks lack room as soon as the urgent reserve is reached.
        """
        waiting = self.queues.waiting_bins()
        if waiting & self.queues.blocked:
            return True
        batch = self.queues.masks.by_class[messages.TaskClass.BATCH]
        return bool(waiting & batch) and self.urgent_reserve.is_reached(now_ms)

    def drop_reservation(self) -> None:
        """Release the current reservation and what it holds, if any."""
        reservation = self.reservation
        if reservation is None:
            return
        self.reservation = None
        self.reserver.release(self.ledger, reservation)
        for worker in reservation.workers():
            self.note_freed(worker)
        self.queues.note_usage(reservation.team_id, decreased=True)

    def _count(self, running: _tasks.RunningTask, sign: int) -> None:
        task = running.task
        self.choosers[task.task_class].update_counts(running, sign)
        self.urgent_reserve.count(task, sign)
        self.ranking.note_change(task.team_id)
        self.queues.note_usage(task.team_id, decreased=sign < 0)
        if task.gang_id is not None:
            self.gangs.count_running(task, sign)
        if sign > 0:
            self.victims.add(running)
            worker = self.ledger.fleet.workers[running.worker_id]
            self.index.update(worker)

    def _unqueue(self, task: _tasks.PendingTask) -> None:
        if task.gang_id is not None:
            self.gangs.drop(task)
        else:
            self.queues.drop(task)

    def _is_reserved(self, task: _tasks.PendingTask) -> bool:
        reservation = self.reservation
        return reservation is not None and any(
            member is task for member, _ in reservation.assignments
        )
