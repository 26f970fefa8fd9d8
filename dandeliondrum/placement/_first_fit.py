"""First come, first served placement on the first worker that fits.

The simplest policy that keeps every limit, used as a baseline for others.
"""

from dandeliondrum import messages
from dandeliondrum.placement import _fleet
from dandeliondrum.placement import _ledger
from dandeliondrum.placement import _policy
from dandeliondrum.placement import _tasks


class FirstComeFirstFit:
    """Tries tasks in order of submission on workers in order of id.

    A task that fits nowhere at present is skipped. A gang is placed when all
    of its members fit at once; nothing is reserved for it. Shares and task
    classes are ignored.

    Example::

        planner = Planner(FirstComeFirstFit())
    """

    def __init__(self) -> None:
        self._ledger = _ledger.Ledger()

    def bind(self, ledger: _ledger.Ledger) -> None:
        """See ``Policy.bind``."""
        self._ledger = ledger

    def on_added(self, task: _tasks.PendingTask) -> None:
        """See ``Policy.on_added``."""

    def on_dropped(self, task: _tasks.PendingTask) -> None:
        """See ``Policy.on_dropped``."""

    def on_released(self, running: _tasks.RunningTask) -> None:
        """See ``Policy.on_released``."""

    def on_restored(self, running: _tasks.RunningTask) -> None:
        """See ``Policy.on_restored``."""

    def on_worker(self, worker: _fleet.Worker) -> None:
        """See ``Policy.on_worker``."""

    def on_teams(self) -> None:
        """See ``Policy.on_teams``."""

    def plan(self, now_ms: int, placements_max: int) -> _tasks.Plan:
        """See ``Policy.plan``."""
        scan = _Scan(self._ledger, now_ms, placements_max)
        return _tasks.Plan(scan.run(), ())

    def explain(self, task: _tasks.PendingTask) -> str:
        """See ``Policy.explain``."""
        reason = _policy.blocking_reason(self._ledger, task)
        if reason is None:
            reason = 'no worker has room for it at present'
        return reason + _policy.restrictions_note(task)

    def unfit_reason(self, task: _tasks.PendingTask) -> str:
        """See ``Policy.unfit_reason``."""
        return self._ledger.infeasible_reason(task) or ''

    def explain_running(self, running: _tasks.RunningTask) -> str:
        """See ``Policy.explain_running``."""
        return f'{running.worker_id} was the first worker with room'


class _Scan:
    """One pass over the pending tasks, which reserves placements."""

    def __init__(
        self, ledger: _ledger.Ledger, now_ms: int, placements_max: int
    ) -> None:
        self._ledger = ledger
        self._now_ms = now_ms
        self._placements_left = placements_max
        self._groups: list[tuple[_tasks.Placement, ...]] = []
        # Shapes of single tasks that fitted nowhere. They can't fit later in
        # the pass, since a gang that is rolled back frees only what it took.
        self._infeasible_shapes: set[object] = set()
        self._workers = [
            ledger.fleet.workers[worker_id]
            for worker_id in sorted(ledger.fleet.workers)
        ]

    def run(self) -> tuple[tuple[_tasks.Placement, ...], ...]:
        order = sorted(
            self._ledger.pending.values(), key=lambda task: task.submitted_ms
        )
        gangs: dict[object, list[_tasks.PendingTask]] = {}
        for task in order:
            if self._placements_left <= 0:
                break
            if task.deadline_ms is not None and (
                task.deadline_ms <= self._now_ms
            ):
                continue
            key = _policy.gang_key(task)
            if key is None:
                self._place([task])
                continue
            members = gangs.setdefault(key, [])
            members.append(task)
            if len(members) >= self._missing_members_count(task):
                self._place(members)
                gangs[key] = []
        return tuple(self._groups)

    def _missing_members_count(self, task: _tasks.PendingTask) -> int:
        key = _policy.gang_key(task)
        running_count = sum(
            1
            for running in self._ledger.running.values()
            if _policy.gang_key(running.task) == key
        )
        return max(1, task.gang_size - running_count)

    def _place(self, members: list[_tasks.PendingTask]) -> None:
        if len(members) > self._placements_left:
            return
        placements: list[_tasks.Placement] = []
        for task in members:
            placement = self._place_one(task)
            if placement is None:
                self._roll_back(placements)
                return
            placements.append(placement)
        self._placements_left -= len(placements)
        self._groups.append(tuple(placements))

    def _place_one(self, task: _tasks.PendingTask) -> _tasks.Placement | None:
        account = self._ledger.teams.account(task.team_id)
        if not account.allows(task.resources):
            return None
        shape = (task.resources, task.excluded_workers, task.isolated)
        if shape in self._infeasible_shapes:
            return None
        for worker in self._workers:
            if worker.allows(task):
                return self._ledger.reserve(
                    task, worker.worker_id, self._now_ms
                )
        if task.gang_id is None:
            self._infeasible_shapes.add(shape)
        return None

    def _roll_back(self, placements: list[_tasks.Placement]) -> None:
        for placement in placements:
            running = self._ledger.release(messages.TaskId(placement.task_id))
            if running is not None:
                self._ledger.add(running.task)
