"""Jobs and workers on record, and what runs take of workers and teams."""

import dataclasses

from dandeliondrum.jobs import _policy
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _specs
from dandeliondrum import messages


class Ledger:
    """The records of the replicated state, with their sums kept in step."""

    def __init__(self) -> None:
        self.document = b''
        self.jobs: dict[_specs.JobId, _records.JobRecord] = {}
        self.open_jobs: dict[_specs.JobId, _records.JobRecord] = {}
        self.workers: dict[messages.WorkerId, _records.WorkerRecord] = {}
        self.team_used: dict[messages.TeamId, messages.Resources] = {}
        # Queues stay known after they left the policy, for accepted jobs.
        self.queues: dict[messages.QueueName, _policy.QueuePolicy] = {}

    def queue_of(self, job: _records.JobRecord) -> _policy.QueuePolicy | None:
        """Return the queue of a job as it was last in force."""
        return self.queues.get(job.spec.queue)

    def finish(
        self, job: _records.JobRecord, index: int, phase: _records.JobPhase
    ) -> None:
        """Let a job end."""
        job.phase = phase
        job.ended_index = index
        # No run starts any more, so nothing needs the payload.
        job.spec = dataclasses.replace(job.spec, payload='')
        self.open_jobs.pop(job.spec.job_id, None)

    def occupy(
        self,
        job: _records.JobRecord,
        key: _specs.TaskKey,
        run: int,
        worker_id: messages.WorkerId,
    ) -> None:
        """Charge a run to its worker and its team."""
        spec = job.spec.steps[key.step]
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.runs[key] = run
            worker.used += spec.charged()
        team_id = job.spec.team_id
        self.team_used[team_id] = self.team_usage(team_id) + spec.resources

    def vacate(
        self,
        job: _records.JobRecord,
        key: _specs.TaskKey,
        worker_id: messages.WorkerId,
    ) -> None:
        """Take back what :meth:`occupy` charged."""
        spec = job.spec.steps[key.step]
        worker = self.workers.get(worker_id)
        if worker is not None and worker.runs.pop(key, None) is not None:
            worker.used -= spec.charged()
        team_id = job.spec.team_id
        self.team_used[team_id] = self.team_usage(team_id) - spec.resources

    def team_usage(self, team_id: messages.TeamId) -> messages.Resources:
        """Return what a team has running or assigned."""
        return self.team_used.get(team_id, messages.Resources(0, 0))
