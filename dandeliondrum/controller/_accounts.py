"""Accounting of capacity and limits for the whole cell.

Every controller checks both again when it applies an assignment, so that a
wrong plan cannot give a worker more than its capacity or a team more than
its upper limit.
"""

from dandeliondrum.controller import _records
from dandeliondrum import messages
from dandeliondrum import rules as rules_lib
from dandeliondrum import utils

_NO_RESOURCES = messages.Resources(0, 0)


class Accounts:
    """Reserves and releases resources of a worker and a team together."""

    def __init__(self) -> None:
        self._use_by_team: dict[messages.TeamId, _records.TeamUse] = {}

    def use(self, team_id: messages.TeamId) -> _records.TeamUse:
        """Return the current resource use of a team."""
        return self._use_by_team.setdefault(team_id, _records.TeamUse())

    def teams(self) -> dict[messages.TeamId, _records.TeamUse]:
        """Return the resource use of every team seen so far, by team."""
        return self._use_by_team

    def rejection_reason(
        self,
        worker: _records.WorkerRecord,
        spec: messages.TaskSpec,
        rules: rules_lib.RuleSet,
    ) -> str:
        """Return why the worker cannot start the task now; empty if it can."""
        if not worker.fits(spec.resources):
            return 'worker has no free slot or not enough free resources'
        rule = rules.teams.get(spec.team_id)
        if rule is None:
            return 'team is not in the rules'
        use = self.use(spec.team_id)
        running_max = rule.running_max
        if running_max is not None and use.running_count >= running_max:
            return 'team is at its upper limit of running tasks'
        resources_max = rule.resources_max
        total = use.reserved + spec.resources
        if resources_max is not None and not total.fits_in(resources_max):
            return 'team is at its upper limit of resources'
        return ''

    def reserve(
        self,
        worker: _records.WorkerRecord,
        attempt: _records.AttemptRecord,
        spec: messages.TaskSpec,
    ) -> None:
        """Reserve the task's resources on its worker and for its team."""
        worker.reserved = worker.reserved + spec.resources
        worker.attempts[attempt.attempt_id] = spec.task_id
        use = self.use(spec.team_id)
        use.running_count += 1
        use.reserved = use.reserved + spec.resources

    def release(
        self,
        worker: _records.WorkerRecord,
        attempt: _records.AttemptRecord,
        spec: messages.TaskSpec,
    ) -> None:
        """Release what :meth:`reserve` reserved.

        Raises InvariantError if the attempt holds no reservation, or if the
        worker's reservation or the team's running count becomes negative.
        """
        if worker.attempts.pop(attempt.attempt_id, None) is None:
            raise utils.InvariantError(
                f'attempt {attempt.attempt_id} released twice on worker '
                f'{attempt.worker_id}'
            )
        worker.reserved = worker.reserved - spec.resources
        use = self.use(spec.team_id)
        use.running_count -= 1
        use.reserved = use.reserved - spec.resources
        is_negative = not _NO_RESOURCES.fits_in(worker.reserved)
        if is_negative or use.running_count < 0:
            raise utils.InvariantError(
                f'negative reservation on worker {attempt.worker_id} or '
                f'negative running count of team {spec.team_id}'
            )
