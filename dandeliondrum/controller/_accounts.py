"""The one account of capacity and limits for the whole cell.

It is checked again whenever an assignment is applied, on every controller,
so that no plan, however wrong, gives a worker more than it has or a team
more than its upper limit.
"""

from dandeliondrum.controller import _records
from dandeliondrum import messages
from dandeliondrum import rules as rules_lib
from dandeliondrum import utils

_NOTHING = messages.Resources(0, 0)


class Accounts:
    """Reserves and frees capacity of workers and teams together."""

    def __init__(self) -> None:
        self._uses: dict[messages.TeamId, _records.TeamUse] = {}

    def use(self, team_id: messages.TeamId) -> _records.TeamUse:
        """Return what the team has running."""
        return self._uses.setdefault(team_id, _records.TeamUse())

    def teams(self) -> dict[messages.TeamId, _records.TeamUse]:
        """Return the use of every team that ever ran something."""
        return self._uses

    def why_not(
        self,
        worker: _records.WorkerRecord,
        spec: messages.TaskSpec,
        rules: rules_lib.RuleSet,
    ) -> str:
        """Return why the task can't start there now; empty when it can."""
        if not worker.fits(spec.resources):
            return 'worker has too little left'
        rule = rules.teams.get(spec.team_id)
        if rule is None:
            return 'team is not in the rules'
        use = self.use(spec.team_id)
        running_max = rule.running_max
        if running_max is not None and use.running_count >= running_max:
            return 'team is at its upper limit of running tasks'
        resources_max = rule.resources_max
        after = use.reserved + spec.resources
        if resources_max is not None and not after.fits_in(resources_max):
            return 'team is at its upper limit of resources'
        return ''

    def reserve(
        self,
        worker: _records.WorkerRecord,
        attempt: _records.AttemptRecord,
        spec: messages.TaskSpec,
    ) -> None:
        """Take the task's resources from its worker and its team."""
        worker.reserved = worker.reserved + spec.resources
        worker.attempts[attempt.attempt_id] = spec.task_id
        use = self.use(spec.team_id)
        use.running_count += 1
        use.reserved = use.reserved + spec.resources

    def free(
        self,
        worker: _records.WorkerRecord,
        attempt: _records.AttemptRecord,
        spec: messages.TaskSpec,
    ) -> None:
        """Give back what :meth:`reserve` took."""
        if worker.attempts.pop(attempt.attempt_id, None) is None:
            raise utils.InvariantError(
                f'{attempt.attempt_id} freed twice on {attempt.worker_id}'
            )
        worker.reserved = worker.reserved - spec.resources
        use = self.use(spec.team_id)
        use.running_count -= 1
        use.reserved = use.reserved - spec.resources
        below = not _NOTHING.fits_in(worker.reserved)
        if below or use.running_count < 0:
            raise utils.InvariantError(
                f'account of {attempt.worker_id} or {spec.team_id} below zero'
            )
