"""The account of everything pending, running and free.

All reservations go through the ledger, whichever policy decides, and it
refuses one that would exceed a worker's capacity or a team's upper limit.
"""

import collections.abc
import dataclasses

from dandeliondrum import messages
from dandeliondrum.placement import _fleet
from dandeliondrum.placement import _shares
from dandeliondrum.placement import _tasks
from dandeliondrum import utils


@dataclasses.dataclass(slots=True)
class Ledger:
    """What the planner knows; policies read it and reserve through it."""

    fleet: _fleet.Fleet = dataclasses.field(default_factory=_fleet.Fleet)
    teams: _shares.Teams = dataclasses.field(default_factory=_shares.Teams)
    pending: dict[messages.TaskId, _tasks.PendingTask] = dataclasses.field(
        default_factory=dict
    )
    running: dict[messages.TaskId, _tasks.RunningTask] = dataclasses.field(
        default_factory=dict
    )
    pending_by_team: collections.Counter[messages.TeamId] = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, task: _tasks.PendingTask) -> None:
        """Take a task that is neither pending nor running."""
        self.pending[task.task_id] = task
        self.pending_by_team[task.team_id] += 1

    def drop(self, task_id: messages.TaskId) -> _tasks.PendingTask | None:
        """Forget a pending task."""
        task = self.pending.pop(task_id, None)
        if task is not None:
            self._count_pending(task.team_id, -1)
        return task

    def reserve(
        self,
        task: _tasks.PendingTask,
        worker_id: messages.WorkerId,
        now_ms: int,
    ) -> _tasks.Placement:
        """Move a pending task to running on a worker that has room for it.

        Raises ``utils.InvariantError`` where a capacity or an upper limit
        would be exceeded: the policy that asks has a fault.
        """
        worker = self.fleet.workers.get(worker_id)
        if worker is None or not worker.has_room(task.resources):
            raise utils.InvariantError(
                f'no room for {task.task_id} on {worker_id}'
            )
        if not self.teams.account(task.team_id).allows(task.resources):
            raise utils.InvariantError(
                f'{task.task_id} is over the limit of {task.team_id}'
            )
        if self.drop(task.task_id) is None:
            raise utils.InvariantError(f'{task.task_id} is not pending')
        self.record(_tasks.RunningTask(task, worker_id, now_ms))
        return _tasks.Placement(task.task_id, worker_id)

    def record(self, running: _tasks.RunningTask) -> None:
        """Count a task as running, whether it fits or not: it does run."""
        self.running[running.task.task_id] = running
        self.fleet.worker(running.worker_id).take(running)
        self.teams.account(running.task.team_id).count(running.task, 1)

    def release(self, task_id: messages.TaskId) -> _tasks.RunningTask | None:
        """Free what a running task has reserved."""
        running = self.running.pop(task_id, None)
        if running is None:
            return None
        worker = self.fleet.workers[running.worker_id]
        worker.give_back(running)
        self.fleet.forget_if_unused(worker)
        self.teams.account(running.task.team_id).count(running.task, -1)
        return running

    def why_never(self, task: _tasks.PendingTask) -> str | None:
        """Say why the task can't ever run here, or None if it may."""
        account = self.teams.accounts.get(task.team_id)
        if account is None or account.grant is None:
            return f'team {task.team_id} is unknown'
        grant = account.grant
        count = task.gang_size if task.gang_id is not None else 1
        if grant.running_max is not None and count > grant.running_max:
            return (
                f'{count} tasks at once are over the upper limit of team '
                f'{task.team_id}, {grant.running_max} running'
            )
        limit = grant.resources_max
        if limit is not None and not times(task.resources, count).fits_in(
            limit
        ):
            return (
                f'{count} times {describe(task.resources)} is over the upper '
                f'limit of team {task.team_id}, {describe(limit)}'
            )
        sizes = list(self.fleet.sizes())
        if sizes and not any(task.resources.fits_in(size) for size in sizes):
            return (
                f'{describe(task.resources)} is larger than any of the '
                f'{len(sizes)} sizes of worker'
            )
        return None

    def _count_pending(self, team_id: messages.TeamId, change: int) -> None:
        self.pending_by_team[team_id] += change
        if not self.pending_by_team[team_id]:
            del self.pending_by_team[team_id]


def times(resources: messages.Resources, count: int) -> messages.Resources:
    """Return the amounts that ``count`` equal tasks need."""
    return messages.Resources(
        resources.cpu_millicores * count,
        resources.memory_mb * count,
        resources.accelerators_count * count,
    )


def describe(resources: messages.Resources) -> str:
    """Return the amounts as words for an operator."""
    return (
        f'{resources.cpu_millicores} millicores, {resources.memory_mb} MB, '
        f'{resources.accelerators_count} accelerators'
    )
