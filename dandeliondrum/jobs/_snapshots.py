"""Serialization of the state of jobs to snapshots."""

import dataclasses

from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _policy
from dandeliondrum.jobs import _record_store
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import evacuations
from dandeliondrum import messages


@dataclasses.dataclass(frozen=True, slots=True)
class _Task:
    run: int
    phase: _records.TaskPhase
    worker_id: messages.WorkerId | None
    failures_count: int
    checkpoint: str
    crashes_count: int = 0
    crashed_run: int = 0
    is_suspect: bool = False
    is_confirmed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Step:
    failed_run: int
    finished: bool
    tasks: tuple[_Task, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Job:
    spec: _specs.JobSpec
    phase: _records.JobPhase
    ended_index: int
    steps: tuple[_Step, ...]


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class JobsSnapshot:
    """Jobs, workers and the policy; derived data is rebuilt when read.

    ``sequences`` are those of the reports with the facts of ``workers``, in
    the same order; empty in snapshots of earlier versions. ``early_cancels``
    are the ids that were cancelled before their submission.
    ``domain_orders`` are the newest orders about failure domains.
    """

    jobs: tuple[_Job, ...]
    workers: tuple[_commands.WorkerFacts, ...]
    document: bytes
    former_queues: tuple[_policy.QueuePolicy, ...] = ()
    sequences: tuple[int, ...] = ()
    early_cancels: tuple[tuple[_specs.JobId, messages.TeamId, int], ...] = ()
    domain_orders: tuple[evacuations.DomainOrder, ...] = ()


def write(store: _record_store.RecordStore) -> bytes:
    """Return the serialized records."""
    return messages.encode(
        JobsSnapshot(
            tuple(_pack_job(job) for job in store.jobs.values()),
            tuple(worker.facts for worker in store.workers.values()),
            store.document,
            tuple(store.queues.values()),
            tuple(worker.sequence for worker in store.workers.values()),
            tuple(
                (job_id, team_id, index)
                for (job_id, team_id), index in store.early_cancels.items()
            ),
            store.evacuations.orders,
        )
    )


def read(store: _record_store.RecordStore, data: bytes) -> bytes:
    """Restore the records from a snapshot; return the policy document."""
    snapshot: JobsSnapshot = messages.decode(data).unwrap()
    sequences = snapshot.sequences or (0,) * len(snapshot.workers)
    store.workers = {
        facts.worker_id: _records.WorkerRecord(facts, sequence=sequence)
        for facts, sequence in zip(snapshot.workers, sequences, strict=True)
    }
    store.team_used = {}
    store.suspects = set()
    store.early_cancels = {
        (job_id, team_id): index
        for job_id, team_id, index in snapshot.early_cancels
    }
    store.evacuations = evacuations.Evacuations(snapshot.domain_orders)
    store.jobs = {job.spec.job_id: _unpack_job(job) for job in snapshot.jobs}
    store.open_jobs = {
        job_id: job
        for job_id, job in store.jobs.items()
        if not job.phase.ended()
    }
    store.queues = {queue.name: queue for queue in snapshot.former_queues}
    for job in store.jobs.values():
        _index_tasks(store, job)
    return snapshot.document


def _pack_job(job: _records.JobRecord) -> _Job:
    steps = tuple(
        _Step(
            step.failed_run,
            step.finished,
            tuple(
                _Task(
                    task.run,
                    task.phase,
                    task.worker_id,
                    task.failures_count,
                    task.checkpoint,
                    task.crashes_count,
                    task.crashed_run,
                    task.is_suspect,
                    task.is_confirmed,
                )
                for task in step.tasks
            ),
        )
        for step in job.steps
    )
    return _Job(job.spec, job.phase, job.ended_index, steps)


def _unpack_job(packed: _Job) -> _records.JobRecord:
    steps = [
        _records.StepRecord(
            [
                _records.TaskRecord(
                    task.run,
                    task.phase,
                    task.worker_id,
                    task.failures_count,
                    task.checkpoint,
                    task.crashes_count,
                    task.crashed_run,
                    task.is_suspect,
                    task.is_confirmed,
                )
                for task in step.tasks
            ],
            step.failed_run,
            step.finished,
        )
        for step in packed.steps
    ]
    return _records.JobRecord(
        packed.spec, steps, packed.phase, packed.ended_index
    )


def _index_tasks(
    store: _record_store.RecordStore, job: _records.JobRecord
) -> None:
    for position, step in enumerate(job.steps):
        for index, task in enumerate(step.tasks):
            key = _specs.TaskKey(
                job.spec.job_id, _specs.StepIndex(position), index
            )
            if task.is_suspect and not job.phase.ended():
                store.suspects.add(key)
            if task.worker_id is not None:
                store.add_usage(job, key, task.run, task.worker_id)
