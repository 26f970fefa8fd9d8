"""Bookkeeping of pending tasks, running tasks and free capacity.

Every policy makes its reservations through the ledger, which rejects one
that would exceed a worker's capacity or a team's upper limit.
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
    """The planner's tasks, workers and teams, shared with its policy."""

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
        """Add a task that is neither pending nor running."""
        self.pending[task.task_id] = task
        self.pending_by_team[task.team_id] += 1

    def drop(self, task_id: messages.TaskId) -> _tasks.PendingTask | None:
        """Remove a pending task; returns None if there is none."""
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
        """Change a pending task to running on a worker with room for it.

        Raises ``utils.InvariantError`` if the worker does not allow the task,
        if the team's upper limit would be exceeded, or if the task is not
        pending.
        Each of these is a fault of the calling policy.
        """
        worker = self.fleet.workers.get(worker_id)
        if worker is None or not worker.allows(task):
            raise utils.InvariantError(
                f'worker {worker_id} has no room for task {task.task_id}'
            )
        if not self.teams.account(task.team_id).allows(task.resources):
            raise utils.InvariantError(
                f'task {task.task_id} exceeds the limits of team '
                f'{task.team_id}'
            )
        if self.drop(task.task_id) is None:
            raise utils.InvariantError(f'task {task.task_id} is not pending')
        self.record(_tasks.RunningTask(task, worker_id, now_ms))
        return _tasks.Placement(task.task_id, worker_id)

    def record(self, running: _tasks.RunningTask) -> None:
        """Count a task as running without checking that it fits.

        It may not fit if it was restored: the task runs in any case.
        """
        self.running[running.task.task_id] = running
        self.fleet.get_or_add(running.worker_id).reserve(running)
        self.teams.account(running.task.team_id).count(running.task, 1)

    def release(self, task_id: messages.TaskId) -> _tasks.RunningTask | None:
        """Release the reservation of a running task, None if unknown."""
        running = self.running.pop(task_id, None)
        if running is None:
            return None
        worker = self.fleet.workers[running.worker_id]
        worker.release(running)
        self.fleet.remove_if_unused(worker)
        self.teams.account(running.task.team_id).count(running.task, -1)
        return running

    def infeasible_reason(self, task: _tasks.PendingTask) -> str | None:
        """Return why a task can't run with this fleet and these grants.

        None if it may run. The sizes of workers are not checked while no
        worker is known.
        """
        account = self.teams.accounts.get(task.team_id)
        if account is None or account.grant is None:
            return f'team {task.team_id} is unknown'
        grant = account.grant
        count = task.gang_size if task.gang_id is not None else 1
        if grant.running_max is not None and count > grant.running_max:
            return (
                f'{count} tasks at once exceed the upper limit of team '
                f'{task.team_id}, {grant.running_max} running tasks'
            )
        limit = grant.resources_max
        if limit is not None and not multiply(task.resources, count).fits_in(
            limit
        ):
            return (
                f'{count} x {format_resources(task.resources)} exceeds '
                f'the upper limit of team {task.team_id}, '
                f'{format_resources(limit)}'
            )
        sizes = list(self.fleet.sizes())
        if sizes and not any(task.resources.fits_in(size) for size in sizes):
            return (
                f'{format_resources(task.resources)} fits in none of '
                f'the {len(sizes)} worker sizes'
            )
        return None

    def _count_pending(self, team_id: messages.TeamId, change: int) -> None:
        self.pending_by_team[team_id] += change
        if not self.pending_by_team[team_id]:
            del self.pending_by_team[team_id]


def multiply(resources: messages.Resources, count: int) -> messages.Resources:
    """Return the resources of ``count`` equal tasks."""
    return messages.Resources(
        resources.cpu_millicores * count,
        resources.memory_mb * count,
        resources.accelerators_count * count,
    )


def format_resources(resources: messages.Resources) -> str:
    """Format resources for messages to an operator."""
    return (
        f'{resources.cpu_millicores} millicores, {resources.memory_mb} MB, '
        f'{resources.accelerators_count} accelerators'
    )
