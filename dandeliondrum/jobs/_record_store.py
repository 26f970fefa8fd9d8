"""Records of jobs and workers, and the resources that runs occupy."""

import dataclasses

from dandeliondrum.jobs import _policy
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import evacuations
from dandeliondrum import messages


class RecordStore:
    """Records of the replicated state, with the usage of workers and teams."""

    def __init__(self) -> None:
        self.document = b''
        self.jobs: dict[_specs.JobId, _records.JobRecord] = {}
        self.open_jobs: dict[_specs.JobId, _records.JobRecord] = {}
        self.workers: dict[messages.WorkerId, _records.WorkerRecord] = {}
        self.team_used: dict[messages.TeamId, messages.Resources] = {}
        # Ids that were cancelled before their submission, and the log index of
        # the last cancelling of each, in the order of these.
        self.early_cancels: dict[
            tuple[_specs.JobId, messages.TeamId], int
        ] = {}
        # Tasks of open jobs that are suspected of crashing workers.
        self.suspects: set[_specs.TaskKey] = set()
        # Includes queues that were removed from the policy, since accepted
        # jobs may still refer to them.
        self.queues: dict[messages.QueueName, _policy.QueuePolicy] = {}
        self.evacuations = evacuations.Evacuations()

    def queue_of(self, job: _records.JobRecord) -> _policy.QueuePolicy | None:
        """Return the queue of a job as the policy last defined it."""
        return self.queues.get(job.spec.queue)

    def finish(
        self, job: _records.JobRecord, index: int, phase: _records.JobPhase
    ) -> None:
        """Record that a job has ended in the given phase."""
        job.phase = phase
        job.ended_index = index
        # No run starts any more, so the payload is not needed.
        job.spec = dataclasses.replace(job.spec, payload='')
        self.open_jobs.pop(job.spec.job_id, None)
        self.suspects = {
            key for key in self.suspects if key.job_id != job.spec.job_id
        }

    def add_usage(
        self,
        job: _records.JobRecord,
        key: _specs.TaskKey,
        run: int,
        worker_id: messages.WorkerId,
    ) -> None:
        """Add the resources of a run to the usage of its worker and team."""
        spec = job.spec.steps[key.step]
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.runs[key] = run
            worker.used += spec.charged()
            if spec.endless:
                worker.endless_used += spec.charged()
        team_id = job.spec.team_id
        self.team_used[team_id] = self.team_usage(team_id) + spec.resources

    def remove_usage(
        self,
        job: _records.JobRecord,
        key: _specs.TaskKey,
        worker_id: messages.WorkerId,
    ) -> None:
        """Release the resources that :meth:`add_usage` added."""
        spec = job.spec.steps[key.step]
        worker = self.workers.get(worker_id)
        if worker is not None and worker.runs.pop(key, None) is not None:
            worker.used -= spec.charged()
            if spec.endless:
                worker.endless_used -= spec.charged()
        team_id = job.spec.team_id
        self.team_used[team_id] = self.team_usage(team_id) - spec.resources

    def team_usage(self, team_id: messages.TeamId) -> messages.Resources:
        """Return the resources of a team's assigned runs."""
        return self.team_used.get(team_id, messages.Resources(0, 0))
