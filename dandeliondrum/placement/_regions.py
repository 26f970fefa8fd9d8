"""When a task may cross the paid link between regions."""

from dandeliondrum import messages
from dandeliondrum.placement import _tasks

# A task crosses once it has waited at home for as long as crossing would be
# worth, so the sum of both is never more than twice the better of the two.
CROSSING_WAIT_MS = {
    messages.TaskClass.URGENT: 200,
    messages.TaskClass.SERVICE: 5_000,
    messages.TaskClass.BATCH: 10_000,
    messages.TaskClass.GANG: 30_000,
}


def crossing_ms(task: _tasks.PendingTask) -> int:
    """Return when a task may leave its region."""
    return task.submitted_ms + CROSSING_WAIT_MS[task.task_class]


def may_cross(task: _tasks.PendingTask, now_ms: int) -> bool:
    """Return whether a task has waited long enough to leave its region."""
    return now_ms >= crossing_ms(task)


def allowed(
    task: _tasks.PendingTask, now_ms: int
) -> tuple[messages.Region | None, ...]:
    """Return the regions to try in order; None stands for all of them."""
    if task.region is None:
        return (None,)
    if may_cross(task, now_ms):
        return task.region, None
    return (task.region,)
