"""What goes into the planner and what comes out of it."""

import dataclasses

from dandeliondrum import messages


@dataclasses.dataclass(frozen=True, slots=True)
class PendingTask:
    """A task that waits for a worker.

    ``submitted_ms`` and ``deadline_ms`` are readings of the clock that is
    given to ``Planner.plan``. The members of a gang share ``gang_id`` and
    ``gang_size``; they are placed once as many members as that are pending
    or running, so one member that is tried again while the others have
    ended needs a smaller ``gang_size``. ``excluded_workers`` are those
    where earlier attempts failed.
    """

    task_id: messages.TaskId
    team_id: messages.TeamId
    queue: messages.QueueName
    task_class: messages.TaskClass
    resources: messages.Resources
    submitted_ms: int
    deadline_ms: int | None
    expected_run_ms: int
    region: messages.Region | None = None
    gang_id: messages.GangId | None = None
    gang_size: int = 1
    excluded_workers: frozenset[messages.WorkerId] = frozenset()
    preemptible: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A task and the worker whose capacity it holds."""

    task: PendingTask
    worker_id: messages.WorkerId
    started_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TeamGrant:
    """What a team was granted.

    ``share`` is its weight when everything is full. ``running_max`` and
    ``resources_max`` are upper limits over the whole fleet; None means that
    there is no such limit.
    """

    share: int
    running_max: int | None = None
    resources_max: messages.Resources | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A task goes to a worker."""

    task_id: messages.TaskId
    worker_id: messages.WorkerId


@dataclasses.dataclass(frozen=True, slots=True)
class Preemption:
    """A running task has to make room: checkpoint it, then stop it.

    It keeps its reservation until ``Planner.ended`` is called for it.
    """

    task_id: messages.TaskId
    worker_id: messages.WorkerId
    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Decisions of one call; a group of more than one placement is a gang."""

    groups: tuple[tuple[Placement, ...], ...]
    preemptions: tuple[Preemption, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NeverFits:
    """Why a task can't run on this fleet under these grants."""

    detail: str
