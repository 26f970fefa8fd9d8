"""The history checker detects controllers that are broken on purpose.

Each test replaces a safeguard of the controllers, runs a cell under the fault
against which the safeguard protects, and expects the checker to report the
violation.
"""

import time

import pytest

from dandeliondrum import testing
from dandeliondrum import worker

RETRIES_INTERRUPTED_RUNS = """
from dandeliondrum.controller import _endings
_endings._apply_interrupted = (
    lambda task, attempt, report, time_ms: _endings._requeue(task, time_ms)
)
"""

IGNORES_LEASES = """
from dandeliondrum.controller import _heartbeats
from dandeliondrum import messages
def lost_at_once(self, worker, silent_ms):
    return [
        messages.AttemptReport(attempt_id, messages.AttemptState.LOST)
        for attempt_id in worker.attempts
    ]
_heartbeats.Heartbeats._lost_attempts = lost_at_once
"""

IGNORES_LIMITS = """
from dandeliondrum.controller import _accounts
from dandeliondrum.controller import _operators
from dandeliondrum import placement
_accounts.Accounts.rejection_reason = lambda *_: ''
_operators.team_grants = lambda rules: {
    team_id: placement.TeamGrant(1) for team_id in rules.teams
}
"""


@pytest.fixture
def recorder():
    recorder = testing.Recorder()
    recorder.limited('inspectors', running_max=2)
    return recorder


def violations_under(cell, keys, recorder, fault, seconds=4, **work):
    """Run callers with a fault in the middle; return kinds of violations."""
    texts = {team: key.text for team, key in keys.items()}
    options = {'run_ms': (300, 900), 'callers_count': 16, **work}
    callers = testing.Callers(
        cell, testing.Workload(keys=texts, **options), recorder
    )
    with callers:
        testing.wait_until(lambda: callers.answered_count() > 3)
        fault()
        time.sleep(seconds)
    history = recorder.history(cell.journals(), cell.processes.outages)
    return {violation.kind for violation in testing.check(history)}


def kill_and_restart(cell):
    for name in cell.workers:
        cell.processes.kill(name)
        cell.processes.restart(name)


def test_an_unmodified_build_passes_the_same_run(make_cell, keys, recorder):
    cell = make_cell()
    violations = violations_under(
        cell,
        keys,
        recorder,
        lambda: kill_and_restart(cell),
        idempotent_portion=0.0,
    )
    assert violations == set()


def test_a_retry_of_what_may_have_run_is_noticed(make_cell, keys, recorder):
    cell = make_cell(broken_by={'controller': RETRIES_INTERRUPTED_RUNS})
    violations = violations_under(
        cell,
        keys,
        recorder,
        lambda: kill_and_restart(cell),
        idempotent_portion=0.0,
    )
    assert testing.ViolationKind.RUN_TWICE in violations


def test_leases_that_are_not_waited_for_are_noticed(
    make_meshed_cell, keys, recorder, rules_text
):
    cell = make_meshed_cell(broken_by={'controller': IGNORES_LEASES})
    assert (
        cell.apply_rules(rules_text.replace('1500', '8000'), 1).status == 200
    )

    def newest_start(since_ms):
        starts = [
            event
            for event in cell.journals()
            if event.kind is worker.EventKind.START and event.at_ms >= since_ms
        ]
        return max(starts, key=lambda one: one.at_ms, default=None)

    def cut_off():
        # The second run starts three seconds later, so the first one must
        # have started only just now.
        now_ms = worker.now_ms()
        started = testing.wait_until(lambda: newest_start(now_ms))
        cell.mesh.isolate(started.worker_id)
        time.sleep(7)
        cell.mesh.heal()

    # Runs last longer than the silence after which a worker counts as lost,
    # and leases last longer than runs. A controller that does not wait for
    # the leases therefore starts a second run while the first one goes on.
    violations = violations_under(
        cell,
        keys,
        recorder,
        cut_off,
        seconds=6,
        run_ms=(7_000, 7_500),
        callers_count=8,
        idempotent_portion=1.0,
        timeout_ms=20_000,
    )
    assert testing.ViolationKind.TWO_PLACES in violations


def test_limits_that_are_not_kept_are_noticed(make_cell, keys, recorder):
    cell = make_cell(broken_by={'controller': IGNORES_LIMITS})
    violations = violations_under(cell, keys, recorder, lambda: None)
    assert testing.ViolationKind.TEAM_OVER_LIMIT in violations
