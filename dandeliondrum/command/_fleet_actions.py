"""Implements the commands about the fleet, workers and tasks."""

import sys
import time

from returns import result

from dandeliondrum.command import _exit_code
from dandeliondrum.command import _fleet_views
from dandeliondrum.command import _gateways
from dandeliondrum.command import _report
from dandeliondrum import messages
from dandeliondrum import tables

CLEAR_SCREEN = '\x1b[2J\x1b[H'


def status(gateways: _gateways.Gateways) -> _report.Report:
    """Show the controllers, gateways and teams once."""
    outcome = gateways.show_fleet()
    if isinstance(outcome, result.Failure):
        return outcome.failure().report()
    fleet = outcome.unwrap()
    return _report.Report(
        _exit_code.ExitCode.DONE,
        text=_fleet_views.summary(fleet),
        data=_fleet_views.as_data(fleet),
    )


def top(
    gateways: _gateways.Gateways, every_ms: int, rounds: int, as_json: bool
) -> _report.Report:
    """Show the fleet repeatedly; 0 rounds run until interrupted.

    A failed refresh shows its problem and doesn't end the command.
    """
    rounds_done = 0
    report = _report.Report(_exit_code.ExitCode.DONE)
    try:
        while True:
            report = _refresh(gateways)
            rounds_done += 1
            if rounds and rounds_done >= rounds:
                return report
            _write(report, as_json)
            time.sleep(every_ms / 1000)
    except KeyboardInterrupt:
        return _report.Report(_exit_code.ExitCode.DONE, data=report.data)


def _refresh(gateways: _gateways.Gateways) -> _report.Report:
    outcome = gateways.show_fleet()
    if isinstance(outcome, result.Failure):
        return outcome.failure().report()
    fleet = outcome.unwrap()
    parts = (_fleet_views.summary(fleet), _fleet_views.workers(fleet))
    return _report.Report(
        _exit_code.ExitCode.DONE,
        text='\n\n'.join(parts),
        data=_fleet_views.as_data(fleet),
    )


def _write(report: _report.Report, as_json: bool) -> None:
    if sys.stdout.isatty() and not as_json:
        print(CLEAR_SCREEN, end='')
    _report.write_report(report, as_json)


def drain(
    gateways: _gateways.Gateways, worker_id: str, operator: str
) -> _report.Report:
    """Stop the assignment of new tasks to a worker."""
    outcome = gateways.drain(
        messages.DrainWorker(
            messages.WorkerId(worker_id), messages.OperatorId(operator)
        )
    )
    if isinstance(outcome, result.Failure):
        return outcome.failure().report()
    return _report.Report(
        _exit_code.ExitCode.DONE,
        text=f'{worker_id} gets no new tasks; what runs there ends by itself',
        data={'worker_id': worker_id, 'outcome': 'done'},
    )


def explain(
    gateways: _gateways.Gateways, task: str, team: str
) -> _report.Report:
    """Show the scheduling decisions about a task."""
    team_id, request_id = _parse_task(task, team)
    if not team_id or not request_id:
        return _report.Report(
            _exit_code.ExitCode.USAGE,
            note='give the task as TEAM/REQUEST_ID, or its team by --team',
        )
    outcome = gateways.explain(team_id, request_id)
    if isinstance(outcome, result.Failure):
        return outcome.failure().report()
    explained = outcome.unwrap()
    table = tables.render(('cell_time_ms', 'what'), explained.events)
    data = {
        'task_id': f'{team_id}/{request_id}',
        'status': explained.status_line,
        'events': [
            {'cell_time_ms': at_ms, 'what': what}
            for at_ms, what in explained.events
        ],
    }
    return _report.Report(
        _exit_code.ExitCode.DONE,
        text=f'{team_id}/{request_id}: {explained.status_line}\n\n{table}',
        data=data,
    )


def _parse_task(task: str, team: str) -> tuple[str, str]:
    if team:
        return team, task.removeprefix(f'{team}/')
    team_id, _, request_id = task.partition('/')
    return team_id, request_id
