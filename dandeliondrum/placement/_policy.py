"""The interface of placement policies."""

import typing

from dandeliondrum import messages
from dandeliondrum.placement import _fleet
from dandeliondrum.placement import _ledger
from dandeliondrum.placement import _tasks


class Policy(typing.Protocol):
    """Decides which pending task goes to which worker, and when.

    The planner calls the ``on_`` methods after it has changed the ledger; a
    policy may keep indexes of its own by them. A policy belongs to one
    planner.
    """

    def bind(self, ledger: _ledger.Ledger) -> None:
        """Take the ledger to read and to reserve through; called once."""

    def on_added(self, task: _tasks.PendingTask) -> None:
        """Note a task that is pending from now on."""

    def on_dropped(self, task: _tasks.PendingTask) -> None:
        """Note a task that is pending no more and was not placed."""

    def on_released(self, running: _tasks.RunningTask) -> None:
        """Note a task that has freed its worker."""

    def on_restored(self, running: _tasks.RunningTask) -> None:
        """Note a task that runs without this policy having placed it."""

    def on_worker(self, worker: _fleet.Worker) -> None:
        """Note a worker that came, changed or went."""

    def on_teams(self) -> None:
        """Note that the grants of teams have changed."""

    def plan(self, now_ms: int, placements_max: int) -> _tasks.Plan:
        """Reserve at most so many placements and return them."""

    def explain(self, task: _tasks.PendingTask) -> str:
        """Explain to an operator why a pending task waits."""

    def explain_running(self, running: _tasks.RunningTask) -> str:
        """Explain to an operator why a task is where it is."""


def why_waiting(
    ledger: _ledger.Ledger, task: _tasks.PendingTask
) -> str | None:
    """Return a cause of waiting that no policy could change, if any."""
    never = ledger.why_never(task)
    if never is not None:
        return f'{never}; it waits for a change of rules or a worker'
    account = ledger.teams.accounts[task.team_id]
    if not account.allows(task.resources):
        return (
            f'team {task.team_id} is at its upper limit with '
            f'{account.running_count} running'
        )
    if not ledger.fleet.totals.slots_count:
        return 'no worker may be given tasks at present'
    return None


def excluded_note(task: _tasks.PendingTask) -> str:
    """Name the workers that were ruled out by earlier failures."""
    if not task.excluded_workers:
        return ''
    names = ', '.join(sorted(task.excluded_workers))
    return f'; ruled out by earlier failures: {names}'


def gang_key(
    task: _tasks.PendingTask,
) -> tuple[messages.TeamId, messages.GangId] | None:
    """Return what the members of one gang have in common."""
    if task.gang_id is None:
        return None
    return task.team_id, task.gang_id
