"""Log lines about steps that wait."""

import structlog.testing

from dandeliondrum.jobs import _wait_tracker
from dandeliondrum.jobs.tests import helpers

BEGIN_MS = 1_000_000
ROUND_MS = 10


def _report_for(duration_ms, steps_count):
    """Return the log lines of a time with short rounds, by job."""
    tracker = _wait_tracker.WaitTracker()
    waiting = [
        helpers.demand(f'j{number}', helpers.step(cpu=9_000))
        for number in range(steps_count)
    ]
    workers = [helpers.available_worker('w1')]
    with structlog.testing.capture_logs() as lines:
        for now_ms in range(BEGIN_MS, BEGIN_MS + duration_ms, ROUND_MS):
            tracker.report(waiting, workers, {}, now_ms)
    return [line['job'] for line in lines]


def test_short_rounds_do_not_log_more_lines_about_many_waiting_steps():
    reported = _report_for(2_000, 300)
    assert 0 < len(reported) <= 30


def test_each_of_a_few_waiting_steps_is_reported_each_second():
    reported = _report_for(3_500, 4)
    for number in range(4):
        assert reported.count(f'j{number}') in (2, 3)


def test_a_report_tells_on_how_many_workers_a_task_would_fit():
    tracker = _wait_tracker.WaitTracker()
    demand = helpers.demand(
        'j', helpers.step(cpu=3_000), tickets={}, granted=set()
    )
    workers = [
        helpers.available_worker('w1'),
        helpers.available_worker('w2', 2_000),
        helpers.available_worker('w3', pool='other'),
    ]
    with structlog.testing.capture_logs() as lines:
        for now_ms in (BEGIN_MS, BEGIN_MS + 2_000):
            tracker.report([demand], workers, {}, now_ms)
    assert [line['with_capacity_count'] for line in lines] == [1]
