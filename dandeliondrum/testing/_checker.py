"""Checks a history against the invariants of the scheduler."""

from dandeliondrum.testing import _callers_checks
from dandeliondrum.testing import _history
from dandeliondrum.testing import _runs
from dandeliondrum.testing import _violations
from dandeliondrum.testing import _workers_checks


def check(
    history: _history.History,
    options: _violations.CheckOptions | None = None,
) -> tuple[_violations.Violation, ...]:
    """Return all violations of the invariants in a history.

    The run has to be over: requests whose callers still wait at the end of
    the history are reported as lost.
    """
    options = options or _violations.CheckOptions()
    sendings = _callers_checks.all_sending_outcomes(history)
    runs = _runs.runs(history, options.margin_ms)
    by_task = _runs.by_task(runs)
    return (
        *_callers_checks.check_lost(sendings),
        *_callers_checks.check_answers(sendings),
        *_callers_checks.check_refusals(sendings, by_task),
        *_callers_checks.check_withdrawals(history, by_task, options),
        *_workers_checks.check_run_twice(history, by_task),
        *_workers_checks.check_two_places(by_task),
        *_workers_checks.check_workers(history, runs),
        *_workers_checks.check_teams(history, runs, options.margin_ms),
        *_workers_checks.check_leaving(history, options),
    )
