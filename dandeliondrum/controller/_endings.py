"""State transitions of a task when one of its attempts ends."""

import typing

from dandeliondrum.controller import _accounts
from dandeliondrum.controller import _crashes
from dandeliondrum.controller import _records
from dandeliondrum import messages
from dandeliondrum import rules as rules_lib


class CellStateProtocol(typing.Protocol):
    """Part of the cell state that the end of an attempt changes."""

    tasks: dict[messages.TaskId, _records.TaskRecord]
    workers: dict[messages.WorkerId, _records.WorkerRecord]
    fenced_on: dict[messages.AttemptId, messages.WorkerId]
    accounts: _accounts.Accounts
    rules: rules_lib.RuleSet
    cell_time_ms: int


_END_STATES = frozenset(
    (
        messages.AttemptState.FINISHED,
        messages.AttemptState.FAILED,
        messages.AttemptState.STOPPED,
        messages.AttemptState.NEVER_STARTED,
        messages.AttemptState.LOST,
    )
)

# End states that leave open whether the task took effect.
_MAY_HAVE_RUN_STATES = frozenset(
    (messages.AttemptState.STOPPED, messages.AttemptState.LOST)
)


def end_attempt(
    state: CellStateProtocol,
    task: _records.TaskRecord,
    report: messages.AttemptReport,
) -> _records.EndedAttempt | None:
    """Apply a report; return None if it changes nothing."""
    if report.state not in _END_STATES:
        return None
    current = task.attempt
    if current is not None and current.attempt_id == report.attempt_id:
        _end_current(state, task, current, report)
        return _records.EndedAttempt(task, current.worker_id, report)
    return _apply_late_report(state, task, report)


def resolves_doubt(
    task: _records.TaskRecord, report: messages.AttemptReport
) -> bool:
    """Return whether a report tells the outcome of a task in doubt."""
    last = task.last_attempt
    if last is None or last.attempt_id != report.attempt_id:
        return False
    return (
        report.state in _END_STATES
        and report.state not in _MAY_HAVE_RUN_STATES
    )


def end_worker_attempts(
    state: CellStateProtocol,
    worker: _records.WorkerRecord,
    last_heard_ms: int | None,
) -> tuple[_records.EndedAttempt, ...]:
    """End all attempts on a worker whose process has ended.

    Unless the worker was leaving, its process has crashed. This counts for
    the tasks of its attempts, and of those lost before that it never fenced.
    """
    ended = []
    has_crashed = worker.state is not messages.WorkerState.LEAVING
    was_alone = len(worker.attempts) + len(worker.fences) == 1
    if has_crashed:
        for attempt_id, task_id in worker.fences.items():
            ended_attempt = _record_late_crash(
                state, worker, attempt_id, task_id, was_alone
            )
            if ended_attempt is not None:
                ended.append(ended_attempt)
    for attempt_id, task_id in list(worker.attempts.items()):
        task = state.tasks[task_id]
        if has_crashed:
            _crashes.record_crash(
                task, attempt_id, was_alone, state.cell_time_ms
            )
            _crashes.note_start(task, last_heard_ms)
        report = messages.AttemptReport(
            attempt_id,
            messages.AttemptState.STOPPED,
            detail='the worker has started anew',
        )
        ended_attempt = end_attempt(state, task, report)
        if ended_attempt is not None:
            ended.append(ended_attempt)
    return tuple(ended)


def _record_late_crash(
    state: CellStateProtocol,
    worker: _records.WorkerRecord,
    attempt_id: messages.AttemptId,
    task_id: messages.TaskId,
    was_alone: bool,
) -> _records.EndedAttempt | None:
    """Count a crash for a task whose attempt has been declared lost.

    Return the end if the task waits for another attempt and is closed.
    """
    task = state.tasks.get(task_id)
    if task is None or task.ended_ms is not None:
        return None
    _crashes.record_crash(task, attempt_id, was_alone, state.cell_time_ms)
    is_queued = task.state is messages.TaskState.QUEUED
    if not is_queued or not _crashes.is_over_limit(task):
        return None
    _finish_crashed(task, state.cell_time_ms)
    report = messages.AttemptReport(attempt_id, messages.AttemptState.LOST)
    return _records.EndedAttempt(task, worker.facts.worker_id, report)


def cancel_task(task: _records.TaskRecord, time_ms: int) -> None:
    """Cancel a queued task at once; request the stop of a running one."""
    match task.state:
        case messages.TaskState.QUEUED:
            _finish_cancelled(task, time_ms)
        case messages.TaskState.ASSIGNED:
            task.cancel_requested = True
            task.add_event(time_ms, 'cancel requested')


def _end_current(
    state: CellStateProtocol,
    task: _records.TaskRecord,
    attempt: _records.AttemptRecord,
    report: messages.AttemptReport,
) -> None:
    time_ms = state.cell_time_ms
    worker = state.workers[attempt.worker_id]
    state.accounts.release(worker, attempt, task.spec)
    task.attempt = None
    task.add_event(
        time_ms,
        f'{attempt.attempt_id} {report.state.value} {report.detail}'.strip(),
    )
    if report.state is messages.AttemptState.LOST:
        worker.fences[attempt.attempt_id] = task.spec.task_id
        state.fenced_on[attempt.attempt_id] = attempt.worker_id
    if report.state is not messages.AttemptState.NEVER_STARTED:
        task.may_have_run = True
    match report.state:
        case messages.AttemptState.FINISHED:
            _apply_finished(task, report, time_ms)
        case messages.AttemptState.FAILED:
            retries_max = state.rules.defaults.retries_max
            _apply_failed(task, attempt, report, time_ms, retries_max)
        case messages.AttemptState.NEVER_STARTED:
            _requeue(task, time_ms)
        case _:
            _apply_interrupted(task, attempt, report, time_ms)


def _apply_finished(
    task: _records.TaskRecord,
    report: messages.AttemptReport,
    time_ms: int,
) -> None:
    if _is_restarted(task):
        _requeue(task, time_ms)
        return
    _finish(task, messages.TaskState.DONE, time_ms)
    task.answer = report.answer


def _apply_failed(
    task: _records.TaskRecord,
    attempt: _records.AttemptRecord,
    report: messages.AttemptReport,
    time_ms: int,
    retries_max: int,
) -> None:
    task.failures_count += 1
    task.failed_workers = (*task.failed_workers[-7:], attempt.worker_id)
    may_retry = (
        task.spec.idempotent
        and report.may_retry
        and task.failures_count <= retries_max
    )
    if may_retry or _is_restarted(task):
        _requeue(task, time_ms)
        return
    _finish(task, messages.TaskState.FAILED, time_ms)
    task.answer = report.answer
    task.detail = report.detail


def _apply_interrupted(
    task: _records.TaskRecord,
    attempt: _records.AttemptRecord,
    report: messages.AttemptReport,
    time_ms: int,
) -> None:
    if task.cancel_requested:
        _finish(task, messages.TaskState.CANCELLED, time_ms)
        task.detail = 'cancelled while it ran'
    elif _crashes.is_over_limit(task):
        _finish_crashed(task, time_ms)
        if task.state is messages.TaskState.IN_DOUBT:
            task.last_attempt = attempt
    elif task.spec.idempotent or _is_restarted(task):
        _requeue(task, time_ms)
    else:
        _finish(task, messages.TaskState.IN_DOUBT, time_ms)
        task.detail = f'attempt {report.state.value}, it may have run'
        task.last_attempt = attempt


def _apply_late_report(
    state: CellStateProtocol,
    task: _records.TaskRecord,
    report: messages.AttemptReport,
) -> _records.EndedAttempt | None:
    """Apply a worker's report of an attempt that has already been ended."""
    last = task.last_attempt
    fenced_on = state.fenced_on.pop(report.attempt_id, None)
    if fenced_on is not None and fenced_on in state.workers:
        state.workers[fenced_on].fences.pop(report.attempt_id, None)
    if last is None or not resolves_doubt(task, report):
        return None
    task.last_attempt = None
    time_ms = state.cell_time_ms
    task.add_event(
        time_ms, f'{report.attempt_id} turned out {report.state.value}'
    )
    match report.state:
        case messages.AttemptState.FINISHED:
            _finish(task, messages.TaskState.DONE, time_ms)
            task.answer = report.answer
        case messages.AttemptState.FAILED:
            _finish(task, messages.TaskState.FAILED, time_ms)
            task.answer = report.answer
        case messages.AttemptState.NEVER_STARTED:
            _finish(task, messages.TaskState.REFUSED, time_ms)
            task.reason = messages.RefusalReason.WORKERS_FAILED
            task.detail = 'its worker vouches that it was never started'
    worker = state.workers.get(last.worker_id)
    is_former = (
        worker is not None and worker.facts.incarnation != last.incarnation
    )
    return _records.EndedAttempt(task, last.worker_id, report, is_former)


def _is_restarted(task: _records.TaskRecord) -> bool:
    is_service = task.spec.task_class is messages.TaskClass.SERVICE
    return is_service and not task.cancel_requested


def _requeue(task: _records.TaskRecord, time_ms: int) -> None:
    if task.cancel_requested:
        _finish_cancelled(task, time_ms)
    else:
        task.state = messages.TaskState.QUEUED


def _finish_cancelled(task: _records.TaskRecord, time_ms: int) -> None:
    """Cancel a queued task.

    The reason says that the task was not run, so it is set only if no attempt
    may have run.
    """
    _finish(task, messages.TaskState.CANCELLED, time_ms)
    if task.may_have_run:
        task.detail = 'cancelled between two attempts'
    else:
        task.reason = messages.RefusalReason.CANCELLED
        task.detail = 'cancelled before it was run'


def _finish_crashed(task: _records.TaskRecord, time_ms: int) -> None:
    """Close a task under which too many workers have crashed.

    A durable task gets a definite answer. The caller of another one is told
    that it may have run.
    """
    state = messages.TaskState.IN_DOUBT
    if task.spec.durable:
        state = messages.TaskState.FAILED
    _finish(task, state, time_ms)
    task.detail = _crashes.DETAIL


def _finish(
    task: _records.TaskRecord, state: messages.TaskState, time_ms: int
) -> None:
    task.state = state
    task.ended_ms = time_ms
    task.body = None
