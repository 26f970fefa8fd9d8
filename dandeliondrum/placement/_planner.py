"""The planner, which combines the ledger with a placement policy."""

import collections.abc

from returns import result

from dandeliondrum import messages
from dandeliondrum.placement import _fair_share_policy
from dandeliondrum.placement import _ledger
from dandeliondrum.placement import _policy
from dandeliondrum.placement import _tasks


class Planner:
    """Places pending tasks on workers and explains its decisions.

    Not thread-safe. Equal calls with equal policies give equal plans.

    Example::

        planner = Planner()
        planner.set_teams({team_id: TeamGrant(share=1)})
        planner.put_worker(facts, eligible=True)
        planner.add(task)
        plan = planner.plan(now_ms, placements_max=100)
        ...
        planner.release(task.task_id)
    """

    def __init__(self, policy: _policy.Policy | None = None) -> None:
        self._ledger = _ledger.Ledger()
        self._policy = policy or _fair_share_policy.FairSharePolicy()
        self._policy.bind(self._ledger)

    def set_teams(
        self,
        grants: collections.abc.Mapping[messages.TeamId, _tasks.TeamGrant],
    ) -> None:
        """Replace the grants of all teams.

        Tasks of a team that has lost its grant stay pending until they are
        discarded; its running tasks continue.
        """
        self._ledger.teams.set_grants(grants)
        self._policy.on_teams()

    def put_worker(self, facts: messages.WorkerFacts, eligible: bool) -> None:
        """Add or update a worker; an ineligible one gets no new tasks.

        A call that changes nothing is cheap and has no effect, so this may
        be called for every heartbeat.
        """
        known = self._ledger.fleet.workers.get(facts.worker_id)
        if known is not None and (
            known.facts == facts and known.eligible == eligible
        ):
            return
        worker = self._ledger.fleet.put(facts, eligible)
        self._policy.on_worker(worker)

    def remove_worker(self, worker_id: messages.WorkerId) -> None:
        """Remove a worker.

        The tasks that run there keep their reservations until ``release`` is
        called for each: they count for their team, and for the worker if it
        is added again.
        """
        worker = self._ledger.fleet.remove(worker_id)
        if worker is not None:
            self._policy.on_worker(worker)

    def restore(self, running: _tasks.RunningTask) -> None:
        """Record a task that runs according to the replicated log.

        It is recorded even if the worker is unknown or has no room, because
        the task does run. Nothing else is placed there until there is room.
        """
        task_id = running.task.task_id
        self.release(task_id)
        self.discard(task_id)
        self._ledger.record(running)
        self._policy.on_restored(running)

    def add(
        self, task: _tasks.PendingTask
    ) -> result.Result[None, _tasks.Infeasible]:
        """Add a pending task; a task that is known already is unchanged.

        Fails with ``Infeasible`` if the team is unknown, if the task (for a
        gang, ``gang_size`` such tasks) exceeds the team's upper limit, or if
        workers are known and the task fits within the capacity of none.
        """
        if (
            task.task_id in self._ledger.pending
            or task.task_id in self._ledger.running
        ):
            return result.Success(None)
        reason = self._ledger.infeasible_reason(task)
        if reason is not None:
            return result.Failure(_tasks.Infeasible(reason))
        self._ledger.add(task)
        self._policy.on_added(task)
        return result.Success(None)

    def discard(self, task_id: messages.TaskId) -> bool:
        """Remove a pending task; returns False if there is none."""
        task = self._ledger.drop(task_id)
        if task is None:
            return False
        self._policy.on_dropped(task)
        return True

    def plan(self, now_ms: int, placements_max: int) -> _tasks.Plan:
        """Return the next placements, already reserved, and preemptions.

        ``now_ms`` is a reading of the caller's clock in milliseconds. A gang
        with more members than are left of ``placements_max`` waits for a
        later call. A policy may exceed the limit for a single gang at the
        start of a plan.
        """
        return self._policy.plan(now_ms, placements_max)

    def revert(self, placement: _tasks.Placement) -> None:
        """Undo a placement that was not committed; the task is pending."""
        running = self._ledger.running.get(placement.task_id)
        if running is None or running.worker_id != placement.worker_id:
            return
        self._ledger.release(placement.task_id)
        self._policy.on_released(running)
        self._ledger.add(running.task)
        self._policy.on_added(running.task)

    def release(self, task_id: messages.TaskId) -> None:
        """Release the reservation of a task; unknown ids are ignored."""
        running = self._ledger.release(task_id)
        if running is not None:
            self._policy.on_released(running)

    def pending_count(self, team_id: messages.TeamId | None = None) -> int:
        """Return the number of pending tasks of one team, or of all."""
        if team_id is None:
            return len(self._ledger.pending)
        return self._ledger.pending_by_team.get(team_id, 0)

    def running_count(self, team_id: messages.TeamId) -> int:
        """Return the number of the team's tasks with a reservation."""
        account = self._ledger.teams.accounts.get(team_id)
        return 0 if account is None else account.running_count

    def reserved(self, worker_id: messages.WorkerId) -> messages.Resources:
        """Return the sum of the reservations on a worker."""
        worker = self._ledger.fleet.workers.get(worker_id)
        if worker is None:
            return messages.Resources(0, 0, 0)
        return worker.reserved()

    def unfit_reason(self, task_id: messages.TaskId) -> str:
        """Return why a pending task can't start even on an idle fleet.

        It is empty if the task may start later, or is not pending.
        """
        task = self._ledger.pending.get(task_id)
        return '' if task is None else self._policy.unfit_reason(task)

    def explain(self, task_id: messages.TaskId) -> str:
        """Explain why a task waits, or why it was placed on its worker."""
        task = self._ledger.pending.get(task_id)
        if task is not None:
            return 'waits: ' + self._policy.explain(task)
        running = self._ledger.running.get(task_id)
        if running is None:
            return 'neither pending nor running'
        return (
            f'placed on {running.worker_id} at {running.started_ms} ms: '
            + self._policy.explain_running(running)
        )
