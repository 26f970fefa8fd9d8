"""The full policy: shares, classes, gangs, packing, regions, preemption."""

import collections.abc

from dandeliondrum import messages
from dandeliondrum.placement import _bins
from dandeliondrum.placement import _choosers
from dandeliondrum.placement import _explain
from dandeliondrum.placement import _fleet
from dandeliondrum.placement import _gang_step
from dandeliondrum.placement import _ledger
from dandeliondrum.placement import _offers
from dandeliondrum.placement import _policy
from dandeliondrum.placement import _preempt_step
from dandeliondrum.placement import _regions
from dandeliondrum.placement import _state
from dandeliondrum.placement import _tasks

# Part of the fleet that batch tasks leave free for urgent ones, as long as
# an urgent task came within the last minutes.
RESERVE_PORTION = 0.02
RESERVE_MEMORY_MS = 600_000

AGED = 'it was the oldest and had waited long'


def default_choosers() -> dict[messages.TaskClass, _choosers.Chooser]:
    """Return how workers are chosen for each class by default."""
    return {
        messages.TaskClass.URGENT: _choosers.BestFit(),
        messages.TaskClass.BATCH: _choosers.BestFit(),
        messages.TaskClass.GANG: _choosers.BestFit(),
        messages.TaskClass.SERVICE: _choosers.Spread(),
    }


class FullPolicy:
    """Orders by class and share, places by class, and makes room.

    ``choosers`` replaces how workers are chosen, by class of task. Equal
    seeds and calls give equal plans.

    Example::

        policy = FullPolicy(seed=7)
        planner = Planner(policy)
    """

    def __init__(
        self,
        seed: int = 0,
        choosers: collections.abc.Mapping[
            messages.TaskClass, _choosers.Chooser
        ]
        | None = None,
    ) -> None:
        self._seed = seed
        self._choosers = {**default_choosers(), **(choosers or {})}
        self.bind(_ledger.Ledger())

    def bind(self, ledger: _ledger.Ledger) -> None:
        """See ``Policy.bind``."""
        self._state = _state.State(ledger, self._choosers, self._seed)
        self._gang_step = _gang_step.GangStep(self._state)
        self._preempt_step = _preempt_step.PreemptStep(self._state)
        self._offers = _offers.Offers(self._state)
        self._last_urgent_ms: int | None = None

    def on_added(self, task: _tasks.PendingTask) -> None:
        """See ``Policy.on_added``."""
        self._state.add(task)
        if task.gang_id is not None:
            self._gang_step.note_change()
        elif task.task_class is messages.TaskClass.URGENT:
            self._last_urgent_ms = max(
                task.submitted_ms, self._last_urgent_ms or 0
            )

    def on_dropped(self, task: _tasks.PendingTask) -> None:
        """See ``Policy.on_dropped``."""
        self._state.drop(task)

    def on_released(self, running: _tasks.RunningTask) -> None:
        """See ``Policy.on_released``."""
        self._state.release(running)

    def on_restored(self, running: _tasks.RunningTask) -> None:
        """See ``Policy.on_restored``."""
        self._state.record(running)

    def on_worker(self, worker: _fleet.Worker) -> None:
        """See ``Policy.on_worker``."""
        self._state.put_worker(worker)
        self._gang_step.note_fleet()

    def on_teams(self) -> None:
        """See ``Policy.on_teams``."""
        self._state.reset()
        self._gang_step.note_fleet()

    def plan(self, now_ms: int, placements_max: int) -> _tasks.Plan:
        """See ``Policy.plan``."""
        self._state.refresh()
        self._offers.refresh(now_ms)
        groups = self._gang_step.run(now_ms, placements_max)
        left = placements_max - sum(len(group) for group in groups)
        while left > 0:
            placement = self._place_next(now_ms)
            if placement is None:
                break
            groups.append((placement,))
            left -= 1
        preemptions = self._preempt_step.run(now_ms)
        return _tasks.Plan(tuple(groups), tuple(preemptions))

    def explain(self, task: _tasks.PendingTask) -> str:
        """See ``Policy.explain``."""
        why = _explain.why_waiting(self._state, self._gang_step, task)
        return why + _policy.excluded_note(task)

    def explain_running(self, running: _tasks.RunningTask) -> str:
        """See ``Policy.explain_running``."""
        task_id = running.task.task_id
        why = self._state.reasons.get(
            task_id, 'it ran when this leader took office'
        )
        if self._state.victims.is_leaving(task_id):
            why += '; it was told to leave'
        return why

    def _place_next(self, now_ms: int) -> _tasks.Placement | None:
        """Place the task whose turn it is; None when none can be."""
        queues = self._state.queues
        while True:
            allowed = -1
            if self._reserve_is_reached(now_ms):
                allowed = ~queues.masks.classes[messages.TaskClass.BATCH]
            offer = self._offers.current(now_ms, allowed)
            among = queues.active | (offer.bins if offer is not None else 0)
            group = queues.select(among & allowed, now_ms)
            if group is None and offer is None:
                return None
            placement = self._try(group, offer, now_ms)
            if placement is not None:
                return placement

    def _try(
        self,
        group: _bins.Group | None,
        offer: _offers.Offer | None,
        now_ms: int,
    ) -> _tasks.Placement | None:
        """Place a group's first task, or note why it can't be."""
        task = None
        if group is not None:
            task = self._state.queues.head(group, now_ms)
        if group is None or task is None:
            self._offers.finish()
            return None
        home = group.bin
        if offer is None or not offer.bins & home.bit:
            return self._place(home, task, now_ms)
        if not offer.suits(task, now_ms):
            self._offers.refuse(home)
            return None
        return self._commit(
            task, offer.worker.worker_id, now_ms, offer.reason(task)
        )

    def _place(
        self, home: _bins.Bin, task: _tasks.PendingTask, now_ms: int
    ) -> _tasks.Placement | None:
        """Place a task or mark its bin as blocked."""
        for region in _regions.allowed(task, now_ms):
            worker_id = self._choose(task, region)
            if worker_id is not None:
                reason = (
                    _offers.AT_HOME
                    if region == task.region
                    else _offers.CROSSED
                )
                return self._commit(task, worker_id, now_ms, reason)
        self._state.queues.blocked |= home.bit
        self._offers.note_blocked(home, task, now_ms)
        return None

    def _commit(
        self,
        task: _tasks.PendingTask,
        worker_id: messages.WorkerId,
        now_ms: int,
        reason: str,
    ) -> _tasks.Placement:
        """Place a task, or instead one that has waited long, if any is due.

        It is asked only here, when there is known to be room.
        """
        for aged in self._state.queues.pop_aged(now_ms):
            for region in _regions.allowed(aged, now_ms):
                aged_worker_id = self._choose(aged, region)
                if aged_worker_id is not None:
                    return self._state.commit(
                        aged, aged_worker_id, now_ms, AGED
                    )
        return self._state.commit(task, worker_id, now_ms, reason)

    def _choose(
        self, task: _tasks.PendingTask, region: messages.Region | None
    ) -> messages.WorkerId | None:
        return self._choosers[task.task_class].choose(
            self._state.index,
            task,
            self._state.queues.need(task.resources),
            region,
        )

    def _reserve_is_reached(self, now_ms: int) -> bool:
        """Tell whether what is left is kept for urgent tasks."""
        if (
            self._last_urgent_ms is None
            or now_ms - self._last_urgent_ms > RESERVE_MEMORY_MS
        ):
            return False
        index = self._state.index
        totals = self._state.ledger.fleet.totals
        return (
            index.free_slots_count <= RESERVE_PORTION * totals.slots_count
            or index.free_cpu_millicores
            <= RESERVE_PORTION * totals.cpu_millicores
            or index.free_memory_mb <= RESERVE_PORTION * totals.memory_mb
        )
