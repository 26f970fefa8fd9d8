"""What the end of an attempt means for its task."""

import typing

from dandeliondrum.controller import _accounts
from dandeliondrum.controller import _records
from dandeliondrum import messages
from dandeliondrum import rules as rules_lib


class Cell(typing.Protocol):
    """The part of a cell's state that the end of an attempt changes."""

    tasks: dict[messages.TaskId, _records.TaskRecord]
    workers: dict[messages.WorkerId, _records.WorkerRecord]
    fenced_on: dict[messages.AttemptId, messages.WorkerId]
    accounts: _accounts.Accounts
    rules: rules_lib.RuleSet
    cell_time_ms: int


_ENDS = frozenset(
    (
        messages.AttemptState.FINISHED,
        messages.AttemptState.FAILED,
        messages.AttemptState.STOPPED,
        messages.AttemptState.NEVER_STARTED,
        messages.AttemptState.LOST,
    )
)

# States after which nobody knows whether the task had its effect.
_MAY_HAVE_RUN = frozenset(
    (messages.AttemptState.STOPPED, messages.AttemptState.LOST)
)


def end(
    state: Cell,
    task: _records.TaskRecord,
    report: messages.AttemptReport,
) -> _records.EndedAttempt | None:
    """Apply a report; None when it says nothing new."""
    if report.state not in _ENDS:
        return None
    current = task.attempt
    if current is not None and current.attempt_id == report.attempt_id:
        _end_current(state, task, current, report)
        return _records.EndedAttempt(task, current.worker_id, report)
    return _resolve_late(state, task, report)


def resolves(
    task: _records.TaskRecord, report: messages.AttemptReport
) -> bool:
    """Return whether a report settles what became of a task in doubt."""
    last = task.last_attempt
    if last is None or last.attempt_id != report.attempt_id:
        return False
    return report.state in _ENDS and report.state not in _MAY_HAVE_RUN


def end_all_on(
    state: Cell, worker: _records.WorkerRecord
) -> tuple[_records.EndedAttempt, ...]:
    """End what ran on a worker whose process is known to be gone."""
    ended = []
    for attempt_id, task_id in list(worker.attempts.items()):
        task = state.tasks[task_id]
        report = messages.AttemptReport(
            attempt_id,
            messages.AttemptState.STOPPED,
            detail='the worker has started anew',
        )
        news = end(state, task, report)
        if news is not None:
            ended.append(news)
    return tuple(ended)


def cancel(task: _records.TaskRecord, time_ms: int) -> None:
    """Cancel a task: at once when it waits, by its stop when it runs."""
    match task.state:
        case messages.TaskState.QUEUED:
            _cancelled(task, time_ms)
        case messages.TaskState.ASSIGNED:
            task.cancel_requested = True
            task.note(time_ms, 'cancel requested')


def _end_current(
    state: Cell,
    task: _records.TaskRecord,
    attempt: _records.AttemptRecord,
    report: messages.AttemptReport,
) -> None:
    time_ms = state.cell_time_ms
    worker = state.workers[attempt.worker_id]
    state.accounts.free(worker, attempt, task.spec)
    task.attempt = None
    task.note(
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
            _finished(task, report, time_ms)
        case messages.AttemptState.FAILED:
            retries_max = state.rules.defaults.retries_max
            _failed(task, attempt, report, time_ms, retries_max)
        case messages.AttemptState.NEVER_STARTED:
            _again(task, time_ms)
        case _:
            _broken_off(task, attempt, report, time_ms)


def _finished(
    task: _records.TaskRecord,
    report: messages.AttemptReport,
    time_ms: int,
) -> None:
    if _restarts(task):
        _again(task, time_ms)
        return
    _finish(task, messages.TaskState.DONE, time_ms)
    task.answer = report.answer


def _failed(
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
    if may_retry or _restarts(task):
        _again(task, time_ms)
        return
    _finish(task, messages.TaskState.FAILED, time_ms)
    task.answer = report.answer
    task.detail = report.detail


def _broken_off(
    task: _records.TaskRecord,
    attempt: _records.AttemptRecord,
    report: messages.AttemptReport,
    time_ms: int,
) -> None:
    if task.cancel_requested:
        _finish(task, messages.TaskState.CANCELLED, time_ms)
        task.detail = 'cancelled while it ran'
    elif task.spec.idempotent or _restarts(task):
        _again(task, time_ms)
    else:
        _finish(task, messages.TaskState.IN_DOUBT, time_ms)
        task.detail = f'attempt {report.state.value}, it may have run'
        task.last_attempt = attempt


def _resolve_late(
    state: Cell,
    task: _records.TaskRecord,
    report: messages.AttemptReport,
) -> _records.EndedAttempt | None:
    """Take what a worker reports about an attempt that was given up."""
    last = task.last_attempt
    fenced_on = state.fenced_on.pop(report.attempt_id, None)
    if fenced_on is not None and fenced_on in state.workers:
        state.workers[fenced_on].fences.pop(report.attempt_id, None)
    if last is None or not resolves(task, report):
        return None
    task.last_attempt = None
    time_ms = state.cell_time_ms
    task.note(time_ms, f'{report.attempt_id} turned out {report.state.value}')
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
    return _records.EndedAttempt(task, last.worker_id, report)


def _restarts(task: _records.TaskRecord) -> bool:
    is_service = task.spec.task_class is messages.TaskClass.SERVICE
    return is_service and not task.cancel_requested


def _again(task: _records.TaskRecord, time_ms: int) -> None:
    if task.cancel_requested:
        _cancelled(task, time_ms)
    else:
        task.state = messages.TaskState.QUEUED


def _cancelled(task: _records.TaskRecord, time_ms: int) -> None:
    """Cancel a task that waits; the reason says "not run" where it is true."""
    _finish(task, messages.TaskState.CANCELLED, time_ms)
    if task.may_have_run:
        task.detail = 'cancelled between two attempts'
    else:
        task.reason = messages.RefusalReason.CANCELLED
        task.detail = 'cancelled before it was run'


def _finish(
    task: _records.TaskRecord, state: messages.TaskState, time_ms: int
) -> None:
    task.state = state
    task.ended_ms = time_ms
    task.body = None
