"""The interface of placement policies."""

import typing

from dandeliondrum import messages
from dandeliondrum.placement import _fleet
from dandeliondrum.placement import _ledger
from dandeliondrum.placement import _tasks


class Policy(typing.Protocol):
    """Decides which pending task is placed on which worker, and when.

    The planner calls the ``on_`` methods after it has changed the ledger, so
    that a policy can update indexes of its own. A policy instance must not
    be shared between planners.
    """

    def bind(self, ledger: _ledger.Ledger) -> None:
        """Set the ledger to read from and to reserve in; called once."""

    def on_added(self, task: _tasks.PendingTask) -> None:
        """Handle a task that became pending."""

    def on_dropped(self, task: _tasks.PendingTask) -> None:
        """Handle a pending task that was removed without being placed."""

    def on_released(self, running: _tasks.RunningTask) -> None:
        """Handle a task that released its reservation."""

    def on_restored(self, running: _tasks.RunningTask) -> None:
        """Handle a running task that this policy did not place."""

    def on_worker(self, worker: _fleet.Worker) -> None:
        """Handle a worker that was added, changed or removed."""

    def on_teams(self) -> None:
        """Handle a change of the grants of teams."""

    def plan(self, now_ms: int, placements_max: int) -> _tasks.Plan:
        """Reserve at most ``placements_max`` placements and return them."""

    def explain(self, task: _tasks.PendingTask) -> str:
        """Return the reason why a pending task waits, for an operator."""

    def unfit_reason(self, task: _tasks.PendingTask) -> str:
        """Return why a pending task can't start even on an idle fleet.

        It is empty if that is not known; it may change with the fleet.
        """

    def explain_running(self, running: _tasks.RunningTask) -> str:
        """Return why a task was placed on its worker, for an operator."""


def blocking_reason(
    ledger: _ledger.Ledger, task: _tasks.PendingTask
) -> str | None:
    """Return a reason for waiting that holds under every policy, if any."""
    infeasible = ledger.infeasible_reason(task)
    if infeasible is not None:
        return f'{infeasible}; it waits for new rules or another worker'
    account = ledger.teams.accounts[task.team_id]
    if not account.allows(task.resources):
        return (
            f'team {task.team_id} is at its upper limit with '
            f'{account.running_count} running tasks'
        )
    if not ledger.fleet.totals.slots_count:
        return 'no worker is eligible for new tasks at present'
    return None


def restrictions_note(task: _tasks.PendingTask) -> str:
    """Return clauses on the workers that the task may not use, '' if none."""
    note = ''
    if task.excluded_workers:
        names = ', '.join(sorted(task.excluded_workers))
        note += f'; excluded after earlier failures: {names}'
    if task.isolated:
        note += '; it needs an idle worker, since workers crashed under it'
    return note


def gang_key(
    task: _tasks.PendingTask,
) -> tuple[messages.TeamId, messages.GangId] | None:
    """Return the key that the members of a gang share, None for no gang."""
    if task.gang_id is None:
        return None
    return task.team_id, task.gang_id
