"""The whole state of jobs as bytes, and back."""

import dataclasses
import typing

from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _policy
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _specs
from dandeliondrum import messages

if typing.TYPE_CHECKING:
    from dandeliondrum.jobs import _state


@dataclasses.dataclass(frozen=True, slots=True)
class _Task:
    run: int
    phase: _records.TaskPhase
    worker_id: messages.WorkerId | None
    failures_count: int
    checkpoint: str


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
    """Jobs, workers and the policy; indexes are made anew when read."""

    jobs: tuple[_Job, ...]
    workers: tuple[_commands.WorkerFacts, ...]
    document: bytes
    former_queues: tuple[_policy.QueuePolicy, ...] = ()


def write(state: '_state.JobsState') -> bytes:
    """Return the state as bytes; the caller holds its lock."""
    return messages.encode(
        JobsSnapshot(
            tuple(_pack_job(job) for job in state.jobs.values()),
            tuple(worker.facts for worker in state.workers.values()),
            state.document,
            tuple(state.queues.values()),
        )
    )


def read(state: '_state.JobsState', data: bytes) -> None:
    """Fill the state from bytes; the caller holds its lock."""
    snapshot: JobsSnapshot = messages.decode(data).unwrap()
    state.workers = {
        facts.worker_id: _records.WorkerRecord(facts)
        for facts in snapshot.workers
    }
    state.team_used = {}
    state.jobs = {job.spec.job_id: _unpack_job(job) for job in snapshot.jobs}
    state.open_jobs = {
        job_id: job
        for job_id, job in state.jobs.items()
        if not job.phase.ended()
    }
    state.queues = {queue.name: queue for queue in snapshot.former_queues}
    if snapshot.document:
        state.take_policy(snapshot.document)
    for job in state.jobs.values():
        _index_runs(state, job)


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


def _index_runs(state: '_state.JobsState', job: _records.JobRecord) -> None:
    for position, step in enumerate(job.steps):
        for index, task in enumerate(step.tasks):
            if task.worker_id is None:
                continue
            key = _specs.TaskKey(
                job.spec.job_id, _specs.StepIndex(position), index
            )
            state.occupy(job, key, task.run, task.worker_id)
