"""Tasks under which workers crash, and the limit of such crashes.

A worker has crashed if it announces a new incarnation without having been
drained. Only the tasks that it ran then are counted; an attempt that is lost
because its worker is silent is not a crash until the worker is back.
"""

from dandeliondrum.controller import _records
from dandeliondrum import messages

CRASHES_MAX = 3
# A worker crashed at the start of an attempt if its last heartbeat came at
# most this long before or after the assignment. What is assigned later than
# that did not reach the worker.
START_MS = 1_000
# A service runs without end, so that unrelated crashes of its workers add up.
# They count together only if less time than this lies between them.
SERVICE_CRASH_INTERVAL_MS = 600_000

DETAIL = 'worker crashed repeatedly'


def record_crash(
    task: _records.TaskRecord,
    attempt_id: messages.AttemptId,
    was_alone: bool,
    time_ms: int,
) -> None:
    """Count a crash of a worker that ran an attempt at this task.

    ``was_alone`` says that the worker ran no other task.
    """
    is_service = task.spec.task_class is messages.TaskClass.SERVICE
    since_last_ms = time_ms - task.crashed_ms
    if is_service and since_last_ms >= SERVICE_CRASH_INTERVAL_MS:
        task.crashes_count = 0
    task.crashes_count += 1
    task.crashed_alone = was_alone
    task.crashed_ms = time_ms
    task.add_event(time_ms, f'the worker of {attempt_id} crashed')


def note_start(task: _records.TaskRecord, last_heard_ms: int | None) -> None:
    """Note whether the worker of the current attempt crashed at its start.

    ``last_heard_ms`` is the time of the worker's last heartbeat, if known.
    """
    attempt = task.attempt
    if attempt is None or last_heard_ms is None:
        return
    if abs(last_heard_ms - attempt.assigned_ms) <= START_MS:
        task.crashed_at_start = True


def is_suspect(task: _records.TaskRecord) -> bool:
    """Return whether the task must not share its next worker.

    A service has no end, so that it would keep its worker to itself for long;
    a single crash at its start is not enough.
    """
    if task.crashes_count >= CRASHES_MAX:
        return True
    is_service = task.spec.task_class is messages.TaskClass.SERVICE
    return task.crashed_at_start and not is_service


def is_over_limit(task: _records.TaskRecord) -> bool:
    """Return whether the task is to be closed instead of tried again.

    A task that shared its last worker with others is not closed, since one
    of them may have caused the crash.
    """
    return task.crashed_alone and task.crashes_count >= CRASHES_MAX
