"""The planner: the ledger and the policy behind one face."""

import collections.abc

from returns import result

from dandeliondrum import messages
from dandeliondrum.placement import _full
from dandeliondrum.placement import _ledger
from dandeliondrum.placement import _policy
from dandeliondrum.placement import _tasks


class Planner:
    """Decides which task goes to which worker, when, and why.

    Not safe for threads: one caller at a time. The same calls with the same
    policy give the same plans.

    Example::

        planner = Planner()
        planner.set_teams({team_id: TeamGrant(share=1)})
        planner.put_worker(facts, eligible=True)
        planner.add(task)
        plan = planner.plan(now_ms, placements_max=100)
        ...
        planner.ended(task.task_id)
    """

    def __init__(self, policy: _policy.Policy | None = None) -> None:
        self._ledger = _ledger.Ledger()
        self._policy = policy or _full.FullPolicy()
        self._policy.bind(self._ledger)

    def set_teams(
        self,
        grants: collections.abc.Mapping[messages.TeamId, _tasks.TeamGrant],
    ) -> None:
        """Replace the grants of all teams.

        Tasks of a team that has lost its grant stay pending until they are
        discarded, and what it has running goes on.
        """
        self._ledger.teams.set_grants(grants)
        self._policy.on_teams()

    def put_worker(self, facts: messages.WorkerFacts, eligible: bool) -> None:
        """Add a worker or change it; one not eligible gets nothing new.

        Nothing is done for one that is known just so, so this may be called
        for every heartbeat.
        """
        known = self._ledger.fleet.workers.get(facts.worker_id)
        if known is not None and (
            known.facts == facts and known.eligible == eligible
        ):
            return
        worker = self._ledger.fleet.put(facts, eligible)
        self._policy.on_worker(worker)

    def remove_worker(self, worker_id: messages.WorkerId) -> None:
        """Forget a worker.

        What runs there keeps counting for its team, and for the worker
        should it come back, until ``ended`` is called for each.
        """
        worker = self._ledger.fleet.remove(worker_id)
        if worker is not None:
            self._policy.on_worker(worker)

    def restore(self, running: _tasks.RunningTask) -> None:
        """Count a task as running, as the replicated log says.

        It is counted even where the worker is unknown or has no room, for
        it does run; nothing more is placed there until there is room.
        """
        task_id = running.task.task_id
        self.ended(task_id)
        self.discard(task_id)
        self._ledger.record(running)
        self._policy.on_restored(running)

    def add(
        self, task: _tasks.PendingTask
    ) -> result.Result[None, _tasks.NeverFits]:
        """Take a task; one that is known already is left as it is.

        Fails with ``NeverFits`` if the task is larger than any worker known
        (with workers known), is over its team's upper limit by itself, or
        if the team is unknown.
        """
        if (
            task.task_id in self._ledger.pending
            or task.task_id in self._ledger.running
        ):
            return result.Success(None)
        why = self._ledger.why_never(task)
        if why is not None:
            return result.Failure(_tasks.NeverFits(why))
        self._ledger.add(task)
        self._policy.on_added(task)
        return result.Success(None)

    def discard(self, task_id: messages.TaskId) -> bool:
        """Forget a pending task; False if there is none of this id."""
        task = self._ledger.drop(task_id)
        if task is None:
            return False
        self._policy.on_dropped(task)
        return True

    def plan(self, now_ms: int, placements_max: int) -> _tasks.Plan:
        """Decide, and reserve what was decided.

        A gang whose members don't all fit in what is left of
        ``placements_max`` waits for a later call.
        """
        return self._policy.plan(now_ms, placements_max)

    def revert(self, placement: _tasks.Placement) -> None:
        """Take back a placement that was not committed."""
        running = self._ledger.running.get(placement.task_id)
        if running is None or running.worker_id != placement.worker_id:
            return
        self._ledger.release(placement.task_id)
        self._policy.on_released(running)
        self._ledger.add(running.task)
        self._policy.on_added(running.task)

    def ended(self, task_id: messages.TaskId) -> None:
        """Free what a task had reserved; unknown ids are ignored."""
        running = self._ledger.release(task_id)
        if running is not None:
            self._policy.on_released(running)

    def pending_count(self, team_id: messages.TeamId | None = None) -> int:
        """Return how many tasks wait, of one team or of all."""
        if team_id is None:
            return len(self._ledger.pending)
        return self._ledger.pending_by_team.get(team_id, 0)

    def running_count(self, team_id: messages.TeamId) -> int:
        """Return how many tasks of the team hold a reservation."""
        account = self._ledger.teams.accounts.get(team_id)
        return 0 if account is None else account.running_count

    def reserved(self, worker_id: messages.WorkerId) -> messages.Resources:
        """Return the sum of what is reserved on a worker."""
        worker = self._ledger.fleet.workers.get(worker_id)
        if worker is None:
            return messages.Resources(0, 0, 0)
        return worker.reserved()

    def explain(self, task_id: messages.TaskId) -> str:
        """Explain why a task waits, or why it is where it is."""
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
