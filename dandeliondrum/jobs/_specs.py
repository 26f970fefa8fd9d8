"""Specifications of jobs, steps and tasks as declared by callers."""

import dataclasses
import re
import typing

from dandeliondrum import messages

JobId = typing.NewType('JobId', str)
RunNumber = typing.NewType('RunNumber', int)
StepIndex = typing.NewType('StepIndex', int)

# Occurrences of a repeated job are numbered from 0; a job that is not repeated
# has only the first.
FIRST_OCCURRENCE = 0
_TASK_KEY = re.compile(
    rf'([!-~]{{1,128}})\.{FIRST_OCCURRENCE}\.(0|[1-9][0-9]{{0,8}})'
    r'\.(0|[1-9][0-9]{0,8})'
)
# Number of tasks that fit if they need no resources.
ANY_NUMBER = 1 << 30


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class TaskKey:
    """Identifies a task by its job, its step and its index in the step.

    Example::

        str(TaskKey(JobId('5c0e7a21'), StepIndex(1), 17)) == '5c0e7a21.0.1.17'
    """

    job_id: JobId
    step: StepIndex
    index: int

    def __str__(self) -> str:
        return f'{step_name(self.job_id, self.step)}.{self.index}'


def step_name(job_id: JobId, step: StepIndex) -> str:
    """Return the name of a step in calls to the adviser."""
    return f'{job_id}.{FIRST_OCCURRENCE}.{step}'


def parse_task_key(text: str) -> TaskKey | None:
    """Return the key that :meth:`TaskKey.__str__` wrote, or None."""
    match = _TASK_KEY.fullmatch(text)
    if match is None:
        return None
    return TaskKey(JobId(match[1]), StepIndex(int(match[2])), int(match[3]))


@dataclasses.dataclass(frozen=True, slots=True)
class StepSpec:
    """A step: a number of tasks with the same requirements.

    ``after`` holds the positions of earlier steps that must be done first.
    The tasks of a ``gang`` start together and end together.
    ``per_worker_max`` limits the tasks of the step on one worker; 0 means no
    limit. A step with ``uses_idle_cpu`` uses CPU that other tasks leave idle,
    so its CPU is not charged.
    """

    tasks_count: int
    resources: messages.Resources
    expected_run_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    near_rack: str = ''
    per_worker_max: int = 0
    checkpointing: bool = False
    speculative: bool = False
    endless: bool = False
    uses_idle_cpu: bool = False

    def charged(self) -> messages.Resources:
        """Return the resources charged to the worker for one task."""
        if not self.uses_idle_cpu:
            return self.resources
        return dataclasses.replace(self.resources, cpu_millicores=0)


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as it was accepted.

    ``payload`` is passed to each task unchanged. ``submitted_ms`` is the time
    of receipt on the clock of the gateway, in milliseconds since 1970.
    """

    job_id: JobId
    team_id: messages.TeamId
    queue: messages.QueueName
    payload: str
    steps: tuple[StepSpec, ...]
    submitted_ms: int


def find_job_problem(spec: JobSpec) -> str:
    """Return why a job is invalid, or an empty string."""
    if not spec.steps:
        return 'a job needs at least one step'
    for position, step in enumerate(spec.steps):
        if step.tasks_count < 1:
            return f'step {position} has no tasks'
        amounts = dataclasses.astuple(step.resources)
        if min(amounts) < 0 or step.per_worker_max < 0:
            return f'step {position} has a negative resource amount or limit'
        if any(not 0 <= before < position for before in step.after):
            return f'step {position} depends on a step that is not before it'
    return ''


def tasks_that_fit(
    charge: messages.Resources, available: messages.Resources
) -> int:
    """Return how many tasks of this charge fit into the resources."""
    pairs = (
        (charge.cpu_millicores, available.cpu_millicores),
        (charge.memory_mb, available.memory_mb),
        (charge.accelerators_count, available.accelerators_count),
    )
    return max(
        0,
        min(
            (free // needed for needed, free in pairs if needed),
            default=ANY_NUMBER,
        ),
    )
