"""Checks of what workers did."""

import collections.abc

from dandeliondrum import messages
from dandeliondrum.testing import _history
from dandeliondrum.testing import _runs
from dandeliondrum.testing import _violations
from dandeliondrum import worker

_Kind = _violations.ViolationKind
_Violations = collections.abc.Iterator[_violations.Violation]


def check_run_twice(
    history: _history.History,
    runs_by_task: dict[messages.TaskId, list[_runs.Run]],
) -> _Violations:
    """Find tasks that are not idempotent and were started more than once."""
    once = {
        sending.task_id
        for sending in history.sendings
        if not sending.idempotent
    }
    for task_id, task_runs in runs_by_task.items():
        if task_id in once and len(task_runs) > 1:
            starts = ', '.join(run.where for run in task_runs)
            yield _violations.Violation(
                _Kind.RUN_TWICE, task_id, f'started as {starts}'
            )


def check_two_places(
    runs_by_task: dict[messages.TaskId, list[_runs.Run]],
) -> _Violations:
    """Find tasks of which two attempts ran at one time."""
    for task_id, task_runs in runs_by_task.items():
        for moment in _runs.moments(task_runs):
            if len(moment.running) > 1:
                places = ', '.join(run.where for run in moment.running)
                yield _violations.Violation(
                    _Kind.TWO_PLACES,
                    task_id,
                    f'at {moment.started.start.at_ms} as {places}',
                )


def check_workers(
    history: _history.History, all_runs: collections.abc.Iterable[_runs.Run]
) -> _Violations:
    """Find workers that had, or were sent, more than they have."""
    for event in history.worker_events:
        if event.kind is worker.EventKind.OVERLOAD:
            what = event.attempt_id or event.reason
            yield _violations.Violation(
                _Kind.WORKER_OVERLOADED,
                event.worker_id,
                f'was sent {what} at {event.at_ms}',
            )
    all_begun = [
        event
        for event in history.worker_events
        if event.kind is worker.EventKind.BEGUN
    ]
    for worker_id, worker_runs in _runs.by_worker(all_runs).items():
        begun = [each for each in all_begun if each.worker_id == worker_id]
        for moment in _runs.moments(worker_runs):
            yield from _overloads(begun, worker_id, moment)


def _overloads(
    begun: list[worker.Event],
    worker_id: messages.WorkerId,
    moment: _runs.Moment,
) -> _Violations:
    at_ms = moment.started.start.at_ms
    capacity = max(
        (event for event in begun if event.at_ms <= at_ms),
        key=lambda event: event.at_ms,
        default=None,
    )
    if capacity is None or capacity.resources is None:
        yield _violations.Violation(
            _Kind.WORKER_OVERLOADED, worker_id, 'has no known capacity'
        )
        return
    fits = moment.total.fits_in(capacity.resources)
    if not fits or len(moment.running) > capacity.slots_count:
        yield _violations.Violation(
            _Kind.WORKER_OVERLOADED,
            worker_id,
            f'{len(moment.running)} attempts with {moment.total} at {at_ms}',
        )


def check_teams(
    history: _history.History,
    all_runs: collections.abc.Iterable[_runs.Run],
    margin_ms: float,
) -> _Violations:
    """Find starts that took a team above its upper limit."""
    for team_id, team_runs in _runs.by_team(all_runs).items():
        for moment in _runs.moments(team_runs):
            at_ms = moment.started.start.at_ms
            limits = _limits(history, team_id, at_ms, margin_ms)
            if limits and not any(_within(moment, each) for each in limits):
                yield _violations.Violation(
                    _Kind.TEAM_OVER_LIMIT,
                    team_id,
                    f'{len(moment.running)} attempts with {moment.total} '
                    f'at {at_ms}',
                )


def _limits(
    history: _history.History,
    team_id: messages.TeamId,
    at_ms: float,
    margin_ms: float,
) -> list[_history.TeamLimit]:
    """Return the limits that may be in force around a moment."""
    in_force: list[_history.TeamLimit] = []
    for limit in sorted(history.limits, key=lambda each: each.at_ms):
        if limit.team_id != team_id or limit.at_ms > at_ms + margin_ms:
            continue
        if limit.at_ms <= at_ms - margin_ms:
            in_force = []
        in_force.append(limit)
    return in_force


def _within(moment: _runs.Moment, limit: _history.TeamLimit) -> bool:
    if limit.running_max is not None:
        if len(moment.running) > limit.running_max:
            return False
    if limit.resources_max is not None:
        return moment.total.fits_in(limit.resources_max)
    return True


def check_leaving(
    history: _history.History, options: _violations.CheckOptions
) -> _Violations:
    """Find starts that were sent to a worker long after it said it leaves."""
    grace_ms = options.leaving_ms + options.margin_ms
    left_ms = {
        (event.worker_id, event.incarnation): event.at_ms
        for event in history.worker_events
        if event.kind is worker.EventKind.LEAVING_ACKNOWLEDGED
    }
    for event in history.worker_events:
        key = (event.worker_id, event.incarnation)
        if key not in left_ms or not _was_sent_work(event):
            continue
        if event.at_ms > left_ms[key] + grace_ms:
            yield _violations.Violation(
                _Kind.LEAVING_WORKER,
                event.worker_id,
                f'was sent {event.attempt_id} at {event.at_ms}, '
                f'said that it leaves at {left_ms[key]}',
            )


def _was_sent_work(event: worker.Event) -> bool:
    if event.kind is worker.EventKind.REFUSED:
        return event.reason == worker.Refused.LEAVING.value
    return event.kind is worker.EventKind.START
