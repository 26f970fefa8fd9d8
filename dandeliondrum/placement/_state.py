"""What the steps of the full policy share: indexes, queues and books."""

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
from dandeliondrum.placement import _reserve
from dandeliondrum.placement import _tasks

Choosers = collections.abc.Mapping[messages.TaskClass, _choosers.Chooser]


class State:
    """Keeps every index in step with the ledger."""

    def __init__(
        self, ledger: _ledger.Ledger, choosers: Choosers, seed: int
    ) -> None:
        self.ledger = ledger
        self.choosers = choosers
        self.index = _fleet_index.FleetIndex()
        self.ranking = _ranking.Ranking()
        self.queues = _queues.Queues(self.ranking)
        self.gangs = _gangs.GangBook()
        self.victims = _preemption.VictimBook(self.ranking, seed)
        self.reserver = _reservation.Reserver(self.index, seed)
        self.reservation: _reservation.Reservation | None = None
        # Workers with new room, in the order in which they got it.
        self.woken: dict[messages.WorkerId, _fleet.Worker] = {}
        self.reasons: dict[messages.TaskId, str] = {}
        self.awaited: dict[messages.TaskId, _bins.Group] = {}
        self.reserve = _reserve.UrgentReserve(ledger, self.index)
        self._reset = True
        self.ranking.bind(ledger)
        self.queues.bind(ledger)
        self.victims.bind(ledger)

    def add(self, task: _tasks.PendingTask) -> None:
        """Take a pending task."""
        if task.gang_id is not None:
            self.gangs.add(task)
            return
        self.queues.add(task)
        self.reserve.note_added(task)

    def drop(self, task: _tasks.PendingTask) -> None:
        """Forget a task that is pending no more and was not placed."""
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
        """Reserve a placement and bring all indexes up to date."""
        placement = self.ledger.reserve(task, worker_id, now_ms)
        self.queues.note_placed(task, now_ms)
        self._unqueue(task)
        self.reasons[task.task_id] = reason
        self._count(self.ledger.running[task.task_id], 1)
        if self.reservation is not None and self._is_reserved(task):
            self.drop_reservation()
        return placement

    def record(self, running: _tasks.RunningTask) -> None:
        """Note a task that runs without having been placed here."""
        self._count(running, 1)

    def release(self, running: _tasks.RunningTask) -> None:
        """Note a task that has freed its worker."""
        task_id = running.task.task_id
        self._count(running, -1)
        self.reasons.pop(task_id, None)
        self.victims.ended(task_id)
        group = self.awaited.pop(task_id, None)
        if group is not None:
            group.awaited_count -= 1
        worker = self.ledger.fleet.workers.get(running.worker_id)
        if worker is not None:
            self.wake(worker)

    def put_worker(self, worker: _fleet.Worker) -> None:
        """Note a worker that came, changed or went."""
        made = self.reservation
        if made is not None and worker in made.workers():
            self.drop_reservation()
        self.index.forget(worker)
        spread = self.choosers[messages.TaskClass.SERVICE]
        if worker.facts is not None and isinstance(spread, _choosers.Spread):
            spread.note_place(worker.facts, worker.running.values())
        for running in worker.running.values():
            self.victims.add(running)
        self.reserver.note_worker(worker)
        self.wake(worker)
        self._reset = True

    def reset(self) -> None:
        """Note that grants have changed."""
        self._reset = True
        self.drop_reservation()

    def refresh(self) -> None:
        """Put all teams where they belong after a change of the fleet."""
        if self._reset:
            self.ranking.reset()
            self.queues.note_all_usage()
        self._reset = False

    def wake(self, worker: _fleet.Worker) -> None:
        """Note a worker that may have room for tasks that had none."""
        levels = self.index.update(worker)
        made = self.reservation
        if made is not None and worker.worker_id in made.waiting:
            if worker.has_room_for_held():
                made.waiting.discard(worker.worker_id)
        if levels is not None:
            self.woken[worker.worker_id] = worker

    def is_contended(self, now_ms: int) -> bool:
        """Return whether a task waits for which there is no room."""
        waiting = self.queues.waiting()
        if waiting & self.queues.blocked:
            return True
        batch = self.queues.masks.classes[messages.TaskClass.BATCH]
        return bool(waiting & batch) and self.reserve.is_reached(now_ms)

    def drop_reservation(self) -> None:
        """Let the room go that is held, if any."""
        made = self.reservation
        if made is None:
            return
        self.reservation = None
        self.reserver.release(self.ledger, made)
        for worker in made.workers():
            self.wake(worker)
        self.queues.note_usage(made.team_id, less=True)

    def _count(self, running: _tasks.RunningTask, sign: int) -> None:
        task = running.task
        self.choosers[task.task_class].count(running, sign)
        self.reserve.count(task, sign)
        self.ranking.note_change(task.team_id)
        self.queues.note_usage(task.team_id, less=sign < 0)
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
        made = self.reservation
        return made is not None and any(
            member is task for member, _ in made.places
        )
