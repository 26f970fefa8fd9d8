"""Effects of the end of a run on its task, its gang and its job."""

from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _record_store
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _specs

FIRST_GANG_MEMBER = 0
# Number of crashes after which a task is a suspect although other jobs ran on
# each of the workers.
SHARED_CRASHES_MAX = 3
# Number of crashes after which a task is given up, if the last one can't be
# due to the start of another job.
CRASHES_MAX = 3

_CERTAIN_SUSPICIONS = (
    _commands.Suspicion.SOLE,
    _commands.Suspicion.ALONE,
)
# Only a run that has started ends so. A run is also LAPSED, LOST or CRASHED if
# its start order was never carried out.
_STARTED_OUTCOMES = frozenset(
    (
        _commands.RunOutcome.DONE,
        _commands.RunOutcome.FAILED,
        _commands.RunOutcome.STOPPED,
        _commands.RunOutcome.BROKEN,
        _commands.RunOutcome.ALONE,
    )
)


def end_runs(
    store: _record_store.RecordStore, index: int, command: _commands.EndRuns
) -> tuple[_specs.TaskKey, ...]:
    """Record starts and ends of runs; return the tasks given up for crashes.

    Repeated ends have no effect. Of the ends of earlier runs only two have
    one: ``DONE`` completes a task that is not done yet, and ``CRASHED``
    counts the crash.
    """
    for job_id in command.begun:
        begun = store.jobs.get(job_id)
        if begun is not None:
            _begin(begun)
    for key, run in command.confirmed:
        job = store.jobs.get(key.job_id)
        task = job.task(key) if job is not None else None
        if task is not None and task.run == run:
            task.is_confirmed = True
    given_up = []
    for end in command.ends:
        job = store.jobs.get(end.task.job_id)
        task = job.task(end.task) if job is not None else None
        if job is None or task is None:
            continue
        _end_run(store, index, job, task, end)
        if end.outcome is _commands.RunOutcome.CRASHED and _count_crash(
            store, index, job, task, end
        ):
            given_up.append(end.task)
    return tuple(given_up)


def _begin(job: _records.JobRecord) -> None:
    if job.phase is _records.JobPhase.QUEUED:
        job.phase = _records.JobPhase.RUNNING


def _end_run(
    store: _record_store.RecordStore,
    index: int,
    job: _records.JobRecord,
    task: _records.TaskRecord,
    end: _commands.RunEnd,
) -> None:
    job.changes_count += 1
    if end.outcome in _STARTED_OUTCOMES:
        _begin(job)
    done = end.outcome is _commands.RunOutcome.DONE
    current = task.phase is _records.TaskPhase.ASSIGNED and task.run == end.run
    if current:
        _release(store, job, task, end.task)
        if end.checkpoint:
            task.checkpoint = end.checkpoint
    elif not done or task.phase is _records.TaskPhase.DONE:
        return
    if done and not job.spec.steps[end.task.step].endless:
        _complete(job, end.task)
    elif job.steps[end.task.step].finished:
        task.phase = _records.TaskPhase.DONE
    elif end.outcome is _commands.RunOutcome.FAILED:
        task.is_suspect = False
        store.suspects.discard(end.task)
        _count_failure(store, index, job, task, end)
    if not job.phase.ended() and all(step.done() for step in job.steps):
        store.finish(job, index, _records.JobPhase.DONE)


def _release(
    store: _record_store.RecordStore,
    job: _records.JobRecord,
    task: _records.TaskRecord,
    key: _specs.TaskKey,
) -> None:
    task.phase = _records.TaskPhase.WAITING
    if task.worker_id is not None:
        store.remove_usage(job, key, task.worker_id)
        task.worker_id = None


def _complete(job: _records.JobRecord, key: _specs.TaskKey) -> None:
    """Mark a task as done; one gang member completes the whole gang.

    The other members occupy their workers until their own ends are recorded.
    """
    step = job.steps[key.step]
    members = [step.tasks[key.index]]
    if job.spec.steps[key.step].gang:
        step.finished = True
        members = step.tasks
    for member in members:
        if member.phase is _records.TaskPhase.WAITING:
            member.phase = _records.TaskPhase.DONE


def _count_failure(
    store: _record_store.RecordStore,
    index: int,
    job: _records.JobRecord,
    task: _records.TaskRecord,
    end: _commands.RunEnd,
) -> None:
    spec = job.spec.steps[end.task.step]
    if spec.endless:
        return
    counted = task
    if spec.gang:
        step = job.steps[end.task.step]
        if step.failed_run == end.run:
            return
        step.failed_run = end.run
        counted = step.tasks[FIRST_GANG_MEMBER]
    counted.failures_count += 1
    queue = store.queue_of(job)
    if queue is None or job.phase.ended():
        return
    if counted.failures_count >= queue.attempts_max:
        store.finish(job, index, _records.JobPhase.FAILED)


def _count_crash(
    store: _record_store.RecordStore,
    index: int,
    job: _records.JobRecord,
    task: _records.TaskRecord,
    end: _commands.RunEnd,
) -> bool:
    """Count a crash once; return whether the job was given up for it."""
    if (
        job.phase.ended()
        or task.phase is _records.TaskPhase.DONE
        or end.suspicion is _commands.Suspicion.NONE
        or end.run <= task.crashed_run
    ):
        return False
    task.crashed_run = end.run
    task.crashes_count += 1
    is_certain = end.suspicion in _CERTAIN_SUSPICIONS
    if (
        is_certain
        or end.suspicion is _commands.Suspicion.STARTING
        or task.crashes_count >= SHARED_CRASHES_MAX
    ):
        task.is_suspect = True
        store.suspects.add(end.task)
    if task.crashes_count < CRASHES_MAX or not is_certain:
        return False
    store.finish(job, index, _records.JobPhase.FAILED)
    return True
