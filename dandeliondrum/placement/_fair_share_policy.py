"""Policy with fair shares, gangs, packing, regions and preemption."""

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

AGED_REASON = 'it was placed out of turn after a long wait'


def default_choosers() -> dict[messages.TaskClass, _choosers.Chooser]:
    """Return the default chooser of each task class."""
    return {
        messages.TaskClass.URGENT: _choosers.BestFit(),
        messages.TaskClass.BATCH: _choosers.BestFit(),
        messages.TaskClass.GANG: _choosers.BestFit(),
        messages.TaskClass.SERVICE: _choosers.Spread(),
    }


class FairSharePolicy:
    """Orders tasks by class and share, packs them, and preempts.

    ``choosers`` replaces the choosers of some or all task classes. Equal
    seeds and calls give equal plans.

    Example::

        policy = FairSharePolicy(seed=7)
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

    def on_added(self, task: _tasks.PendingTask) -> None:
        """See ``Policy.on_added``."""
        self._state.add(task)
        if task.gang_id is not None:
            self._gang_step.note_change()

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
        groups = self._gang_step.start_reserved(now_ms)
        if self._gang_step.is_due(now_ms):
            # Place tasks of the first rank before a gang gets a reservation.
            if self._state.gangs.has_ready():
                self._offers.unblock_first_rank()
                self._place_singles(groups, now_ms, placements_max, True)
            groups.extend(
                self._gang_step.run(
                    now_ms, placements_max - _count(groups), not groups
                )
            )
        self._place_singles(groups, now_ms, placements_max, False)
        preemptions = self._preempt_step.run(now_ms)
        return _tasks.Plan(tuple(groups), tuple(preemptions))

    def explain(self, task: _tasks.PendingTask) -> str:
        """See ``Policy.explain``."""
        reason = _explain.waiting_reason(self._state, self._gang_step, task)
        return reason + _policy.restrictions_note(task)

    def unfit_reason(self, task: _tasks.PendingTask) -> str:
        """See ``Policy.unfit_reason``."""
        return _explain.unfit_reason(self._state, self._gang_step, task)

    def explain_running(self, running: _tasks.RunningTask) -> str:
        """See ``Policy.explain_running``."""
        task_id = running.task.task_id
        reason = self._state.reasons.get(
            task_id, 'it was running when this leader was elected'
        )
        if self._state.victims.is_preempted(task_id):
            reason += '; it is being preempted'
        return reason

    def _place_singles(
        self,
        groups: list[tuple[_tasks.Placement, ...]],
        now_ms: int,
        placements_max: int,
        first_rank_only: bool,
    ) -> None:
        left = placements_max - _count(groups)
        while left > 0:
            placement = self._place_next(now_ms, first_rank_only)
            if placement is None:
                return
            groups.append((placement,))
            left -= 1

    def _place_next(
        self, now_ms: int, first_rank_only: bool
    ) -> _tasks.Placement | None:
        """Place the next task in order; None if no task can be placed."""
        queues = self._state.queues
        while True:
            allowed = -1
            if self._state.urgent_reserve.is_reached(now_ms):
                allowed = ~queues.masks.by_class[messages.TaskClass.BATCH]
            offer = None
            candidates = queues.active
            if not first_rank_only:
                offer = self._offers.current(now_ms, allowed)
            if offer is not None:
                candidates |= offer.bins
            group = queues.select(
                candidates & allowed, now_ms, first_rank_only
            )
            if group is None and offer is None:
                return None
            placement = self._try_place(group, offer, now_ms)
            if placement is not None:
                return placement

    def _try_place(
        self,
        group: _bins.Group | None,
        offer: _offers.Offer | None,
        now_ms: int,
    ) -> _tasks.Placement | None:
        """Place a group's first task, or record why it can't be placed."""
        task = None
        if group is not None:
            task = self._state.queues.head(group, now_ms)
        if group is None or task is None:
            if offer is not None:
                self._offers.reactivate(offer)
            return None
        bin_ = group.bin
        if offer is None or not offer.bins & bin_.bit:
            return self._place_or_block(bin_, task, now_ms)
        if not offer.accepts(task, now_ms):
            self._offers.reject(bin_)
            return None
        return self._commit_or_prefer_aged(
            task, offer.worker.worker_id, now_ms, offer.reason(task)
        )

    def _place_or_block(
        self, bin_: _bins.Bin, task: _tasks.PendingTask, now_ms: int
    ) -> _tasks.Placement | None:
        """Place a task, or block its bin if no worker has room."""
        for region in _regions.regions_to_try(task, now_ms):
            worker_id = self._choose(task, region)
            if worker_id is not None:
                reason = (
                    _offers.TIGHTEST_FIT_REASON
                    if region == task.region
                    else _offers.CROSSED_REGION_REASON
                )
                return self._commit_or_prefer_aged(
                    task, worker_id, now_ms, reason
                )
        self._state.queues.block(bin_, task)
        self._offers.note_blocked(bin_, task, now_ms)
        return None

    def _commit_or_prefer_aged(
        self,
        task: _tasks.PendingTask,
        worker_id: messages.WorkerId,
        now_ms: int,
        reason: str,
    ) -> _tasks.Placement:
        """Place a task, or instead of it one of an aged group that is due.

        Aged groups are tried only here, when some worker is known to have
        room.
        """
        for aged in self._state.queues.pop_aged(now_ms):
            for region in _regions.regions_to_try(aged, now_ms):
                aged_worker_id = self._choose(aged, region)
                if aged_worker_id is not None:
                    self._state.queues.aged.spend(aged)
                    return self._state.commit(
                        aged, aged_worker_id, now_ms, AGED_REASON
                    )
        return self._state.commit(task, worker_id, now_ms, reason)

    def _choose(
        self, task: _tasks.PendingTask, region: messages.Region | None
    ) -> messages.WorkerId | None:
        if task.isolated:
            worker = self._state.index.idle_worker(task, region)
            return None if worker is None else worker.worker_id
        return self._choosers[task.task_class].choose(
            self._state.index,
            task,
            self._state.queues.need(task.resources),
            region,
        )


def _count(groups: list[tuple[_tasks.Placement, ...]]) -> int:
    return sum(len(group) for group in groups)
