"""Input and output types of the planner."""

import dataclasses

from dandeliondrum import messages


@dataclasses.dataclass(frozen=True, slots=True)
class PendingTask:
    """A task that waits for a worker.

    ``submitted_ms`` and ``deadline_ms`` are in milliseconds of the clock
    whose readings are passed to ``Planner.plan``. The members of a gang
    have the same ``gang_id`` and ``gang_size``. They are placed once at
    least ``gang_size`` members are pending or running, so a member that is
    retried after the others have ended needs a smaller ``gang_size``.
    ``excluded_workers`` are the workers on which earlier attempts failed.
    An ``isolated`` task runs only on a worker that runs nothing else.
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
    isolated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A task and the worker on which it has reserved capacity."""

    task: PendingTask
    worker_id: messages.WorkerId
    started_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TeamGrant:
    """The share and the upper limits of a team.

    ``share`` is the team's weight in fair sharing when the fleet is full.
    ``running_max`` and ``resources_max`` are upper limits over the whole
    fleet; None means no limit.
    """

    share: int
    running_max: int | None = None
    resources_max: messages.Resources | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The assignment of one task to one worker."""

    task_id: messages.TaskId
    worker_id: messages.WorkerId


@dataclasses.dataclass(frozen=True, slots=True)
class Preemption:
    """A request to checkpoint a running task and then to stop it.

    The task keeps its reservation until ``Planner.release`` is called for it.
    """

    task_id: messages.TaskId
    worker_id: messages.WorkerId
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The decisions of one planning call.

    Each group is started as a whole; a group of several placements is a
    gang.
    """

    groups: tuple[tuple[Placement, ...], ...]
    preemptions: tuple[Preemption, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Infeasible:
    """The reason why a task can't run on this fleet under these grants."""

    detail: str
