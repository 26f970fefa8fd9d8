"""When a task may be placed outside its region.

Traffic between regions goes over a paid link.
"""

from dandeliondrum import messages
from dandeliondrum.placement import _tasks

# A task may leave its region once it has waited there for as long as the
# crossing costs (ski rental): waiting and crossing together never cost more
# than twice the cheaper of the two.
CROSSING_WAIT_MS = {
    messages.TaskClass.URGENT: 200,
    messages.TaskClass.SERVICE: 5_000,
    messages.TaskClass.BATCH: 10_000,
    messages.TaskClass.GANG: 30_000,
}


def crossing_allowed_ms(task: _tasks.PendingTask) -> int:
    """Return the time in milliseconds from which a task may cross."""
    return task.submitted_ms + CROSSING_WAIT_MS[task.task_class]


def may_cross(task: _tasks.PendingTask, now_ms: int) -> bool:
    """Return whether a task has waited long enough to cross."""
    return now_ms >= crossing_allowed_ms(task)


def regions_to_try(
    task: _tasks.PendingTask, now_ms: int
) -> tuple[messages.Region | None, ...]:
    """Return the regions to try in this order; None means any region."""
    if task.region is None:
        return (None,)
    if may_cross(task, now_ms):
        return task.region, None
    return (task.region,)
