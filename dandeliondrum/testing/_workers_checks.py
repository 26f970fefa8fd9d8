"""Checks on the events that workers recorded."""

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
    """Find non-idempotent tasks that were started more than once."""
    non_idempotent = {
        sending.task_id
        for sending in history.sendings
        if not sending.idempotent
    }
    for task_id, task_runs in runs_by_task.items():
        if task_id in non_idempotent and len(task_runs) > 1:
            starts = ', '.join(run.location for run in task_runs)
            yield _violations.Violation(
                _Kind.RUN_TWICE, task_id, f'started as {starts}'
            )


def check_two_places(
    runs_by_task: dict[messages.TaskId, list[_runs.Run]],
) -> _Violations:
    """Find tasks of which two attempts ran at the same time."""
    for task_id, task_runs in runs_by_task.items():
        for active in _runs.active_runs_at_starts(task_runs):
            if len(active.running) > 1:
                places = ', '.join(run.location for run in active.running)
                yield _violations.Violation(
                    _Kind.TWO_PLACES,
                    task_id,
                    f'at {active.started.start.at_ms} as {places}',
                )


def check_workers(
    history: _history.History, all_runs: collections.abc.Iterable[_runs.Run]
) -> _Violations:
    """Find workers that were sent or ran more than their capacity."""
    for event in history.worker_events:
        if event.kind is worker.EventKind.OVERLOAD:
            what = event.attempt_id or event.reason
            yield _violations.Violation(
                _Kind.WORKER_OVERLOADED,
                event.worker_id,
                f'was sent {what} at {event.at_ms}',
            )
    all_begun_events = [
        event
        for event in history.worker_events
        if event.kind is worker.EventKind.BEGUN
    ]
    for worker_id, worker_runs in _runs.by_worker(all_runs).items():
        begun_events = [
            each for each in all_begun_events if each.worker_id == worker_id
        ]
        for active in _runs.active_runs_at_starts(worker_runs):
            yield from _capacity_violations(begun_events, worker_id, active)


def _capacity_violations(
    begun_events: list[worker.Event],
    worker_id: messages.WorkerId,
    active: _runs.ActiveRuns,
) -> _Violations:
    at_ms = active.started.start.at_ms
    begun = max(
        (event for event in begun_events if event.at_ms <= at_ms),
        key=lambda event: event.at_ms,
        default=None,
    )
    if begun is None or begun.resources is None:
        yield _violations.Violation(
            _Kind.WORKER_OVERLOADED, worker_id, 'capacity unknown'
        )
        return
    fits_in_capacity = active.total.fits_in(begun.resources)
    if not fits_in_capacity or len(active.running) > begun.slots_count:
        yield _violations.Violation(
            _Kind.WORKER_OVERLOADED,
            worker_id,
            f'{len(active.running)} attempts with {active.total} at {at_ms}',
        )


def check_teams(
    history: _history.History,
    all_runs: collections.abc.Iterable[_runs.Run],
    margin_ms: float,
) -> _Violations:
    """Find starts that exceeded the upper limit of a team."""
    for team_id, team_runs in _runs.by_team(all_runs).items():
        for active in _runs.active_runs_at_starts(team_runs):
            at_ms = active.started.start.at_ms
            limits = _limits_around(history, team_id, at_ms, margin_ms)
            if limits and not any(
                _is_within_limit(active, each) for each in limits
            ):
                yield _violations.Violation(
                    _Kind.TEAM_OVER_LIMIT,
                    team_id,
                    f'{len(active.running)} attempts with {active.total} '
                    f'at {at_ms}',
                )


def _limits_around(
    history: _history.History,
    team_id: messages.TeamId,
    at_ms: float,
    margin_ms: float,
) -> list[_history.TeamLimit]:
    """Return the limits that may be in force within the margin of a time."""
    in_force: list[_history.TeamLimit] = []
    for limit in sorted(history.limits, key=lambda each: each.at_ms):
        if limit.team_id != team_id or limit.at_ms > at_ms + margin_ms:
            continue
        if limit.at_ms <= at_ms - margin_ms:
            in_force = []
        in_force.append(limit)
    return in_force


def _is_within_limit(
    active: _runs.ActiveRuns, limit: _history.TeamLimit
) -> bool:
    if limit.running_max is not None:
        if len(active.running) > limit.running_max:
            return False
    if limit.resources_max is not None:
        return active.total.fits_in(limit.resources_max)
    return True


def check_leaving(
    history: _history.History, options: _violations.CheckOptions
) -> _Violations:
    """Find starts sent to a worker after the grace period of its leaving."""
    allowed_ms = options.leaving_ms + options.margin_ms
    leaving_since_ms = {
        (event.worker_id, event.incarnation): event.at_ms
        for event in history.worker_events
        if event.kind is worker.EventKind.LEAVING_ACKNOWLEDGED
    }
    for event in history.worker_events:
        key = (event.worker_id, event.incarnation)
        if key not in leaving_since_ms or not _was_sent_work(event):
            continue
        if event.at_ms > leaving_since_ms[key] + allowed_ms:
            yield _violations.Violation(
                _Kind.LEAVING_WORKER,
                event.worker_id,
                f'was sent {event.attempt_id} at {event.at_ms}, '
                f'acknowledged as leaving at {leaving_since_ms[key]}',
            )


def _was_sent_work(event: worker.Event) -> bool:
    if event.kind is worker.EventKind.REFUSED:
        return event.reason == worker.Refused.LEAVING.value
    return event.kind is worker.EventKind.START
