"""Records of jobs, steps, tasks and workers in the replicated state."""

import dataclasses
import enum

from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _specs
from dandeliondrum import messages


class TaskPhase(enum.Enum):
    """Phase of a task."""

    WAITING = 'waiting'
    ASSIGNED = 'assigned'
    DONE = 'done'


class JobPhase(enum.Enum):
    """Phase of a job; it is RUNNING from the first start on a worker on."""

    QUEUED = 'queued'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    def ended(self) -> bool:
        """Return whether no task of the job is to be run any more."""
        return self not in (JobPhase.QUEUED, JobPhase.RUNNING)


class EarlyCancel(enum.Enum):
    """Outcome of the cancelling of an id that is not known.

    ``REFUSED`` means that as many of them as possible are recorded.
    """

    RECORDED = 'recorded'
    REFUSED = 'refused'


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """One task; ``run`` is the number of its newest run, 0 if none.

    ``crashes_count`` is the number of workers that crashed under the task,
    and ``crashed_run`` the last run that was counted. A task with
    ``is_suspect`` is run apart from other jobs. ``is_confirmed`` tells that
    no start of the run may be carried out any more.
    """

    run: int = 0
    phase: TaskPhase = TaskPhase.WAITING
    worker_id: messages.WorkerId | None = None
    failures_count: int = 0
    checkpoint: str = ''
    crashes_count: int = 0
    crashed_run: int = 0
    is_suspect: bool = False
    is_confirmed: bool = False


@dataclasses.dataclass(slots=True)
class StepRecord:
    """The tasks of one step.

    For a gang, ``failed_run`` is the last run that failed, and ``finished``
    is set once one member is done, which completes the whole gang.
    """

    tasks: list[TaskRecord]
    failed_run: int = 0
    finished: bool = False

    def done(self) -> bool:
        """Return whether all tasks are done."""
        return self.finished or all(
            task.phase is TaskPhase.DONE for task in self.tasks
        )

    def idle(self) -> bool:
        """Return whether no task is assigned."""
        return all(task.phase is not TaskPhase.ASSIGNED for task in self.tasks)


@dataclasses.dataclass(slots=True)
class JobRecord:
    """One job; ``ended_index`` is the log index of its end, else 0.

    ``changes_count`` grows with each change of the tasks. It is not part of
    snapshots, since it only tells readers in this process what has changed.
    """

    spec: _specs.JobSpec
    steps: list[StepRecord]
    phase: JobPhase = JobPhase.QUEUED
    ended_index: int = 0
    changes_count: int = dataclasses.field(default=0, compare=False)

    def task(self, key: _specs.TaskKey) -> TaskRecord | None:
        """Return the record of a task, None if the job has no such task."""
        if not 0 <= key.step < len(self.steps):
            return None
        tasks = self.steps[key.step].tasks
        return tasks[key.index] if 0 <= key.index < len(tasks) else None

    def step_is_due(self, step: int) -> bool:
        """Return whether all steps on which this one depends are done."""
        return all(
            self.steps[before].done() for before in self.spec.steps[step].after
        )


@dataclasses.dataclass(slots=True)
class WorkerRecord:
    """A worker, the runs assigned to it, and the resources they use.

    A run counts until its end is recorded, even while it is being stopped.
    ``endless_used`` is the part that runs of endless tasks use.
    ``sequence`` is that of the report with the facts.
    """

    facts: _commands.WorkerFacts
    used: messages.Resources = messages.Resources(0, 0)
    runs: dict[_specs.TaskKey, int] = dataclasses.field(default_factory=dict)
    sequence: int = 0
    endless_used: messages.Resources = messages.Resources(0, 0)

    def is_newer(self, facts: _commands.WorkerFacts, sequence: int) -> bool:
        """Return whether the facts here are newer than those of a report."""
        return (self.facts.started_ms, self.sequence) > (
            facts.started_ms,
            sequence,
        )
