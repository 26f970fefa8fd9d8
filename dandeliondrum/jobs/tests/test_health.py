"""Suspension of workers on which runs fail."""

from dandeliondrum import jobs
from dandeliondrum.jobs import _health
from dandeliondrum import messages


def _fail(health, count, now_ms=0):
    for _ in range(count):
        health.record_end('w1', jobs.RunOutcome.FAILED, now_ms)


def test_a_worker_that_fails_everything_is_suspended():
    health = _health.Health()
    _fail(health, _health.CONSECUTIVE_FAILURES_MAX)
    assert health.suspended('w1', 100)
    assert not health.suspended('w2', 100)


def test_a_worker_that_fails_again_is_suspended_for_longer():
    health = _health.Health()
    _fail(health, _health.CONSECUTIVE_FAILURES_MAX)
    later_ms = _health.FIRST_SUSPENSION_MS
    assert not health.suspended('w1', later_ms)
    _fail(health, 1, later_ms)
    assert health.suspended('w1', later_ms + _health.FIRST_SUSPENSION_MS)


def test_one_success_resets_a_worker():
    health = _health.Health()
    _fail(health, 2)
    health.record_end('w1', jobs.RunOutcome.DONE, 0)
    _fail(health, 2)
    assert not health.suspended('w1', 0)


def test_lost_and_stopped_runs_are_ignored():
    health = _health.Health()
    for _ in range(10):
        health.record_end('w1', jobs.RunOutcome.LOST, 0)
        health.record_end('w1', jobs.RunOutcome.STOPPED, 0)
    assert health.consecutive_failures('w1') == 0


def test_at_most_half_of_the_fleet_is_suspended():
    """Tasks that fail through their own fault suspended all workers."""
    health = _health.Health(lambda: 10)
    workers = [f'w{number}' for number in range(10)]
    for worker_id in workers:
        for _ in range(_health.CONSECUTIVE_FAILURES_MAX):
            health.record_end(worker_id, jobs.RunOutcome.FAILED, 0)
    suspended = [one for one in workers if health.suspended(one, 100)]
    assert len(suspended) == 5
    later_ms = _health.FIRST_SUSPENSION_MS
    health.record_end('w9', jobs.RunOutcome.FAILED, later_ms)
    assert health.suspended('w9', later_ms)


def test_at_most_half_of_the_workers_of_a_kind_are_suspended():
    """Regression test for review/10: all that had a label were left out."""
    kind = ['w0', 'w1']
    health = _health.Health(
        lambda: 10, lambda one: kind if one in kind else []
    )
    for worker_id in kind:
        health.suspend(worker_id, 0)
        health.record_refusal(worker_id, 0)
    assert [health.suspended(one, 100) for one in kind] == [True, False]
    health.suspend('w2', 0)
    assert health.suspended('w2', 100)


def test_the_only_worker_is_suspended():
    health = _health.Health(lambda: 1)
    _fail(health, _health.CONSECUTIVE_FAILURES_MAX)
    assert health.suspended('w1', 100)


def test_a_worker_that_refuses_starts_is_left_out_for_longer_each_time():
    health = _health.Health()
    now_ms, pauses_ms = 0, []
    for _ in range(7):
        for _ in range(3):
            health.record_refusal('w1', now_ms)
        ends_ms = next(
            at_ms
            for at_ms in range(now_ms, now_ms + 5_000, 10)
            if not health.suspended('w1', at_ms)
        )
        pauses_ms.append(ends_ms - now_ms)
        now_ms = ends_ms
    assert pauses_ms == [100, 200, 400, 800, 1_600, 1_600, 1_600]
    health.record_end('w1', jobs.RunOutcome.DONE, now_ms)
    health.record_refusal('w1', now_ms)
    assert not health.suspended('w1', now_ms + 100)


def test_a_refusal_does_not_shorten_a_suspension():
    health = _health.Health()
    _fail(health, _health.CONSECUTIVE_FAILURES_MAX)
    health.record_refusal('w1', 1)
    assert health.suspended('w1', _health.FIRST_SUSPENSION_MS - 1)


def _fleet():
    return [messages.WorkerId(f'w{number}') for number in range(10)]


def test_paused_workers_do_not_escape_the_limit_of_suspensions():
    health = _health.Health(lambda: 10)
    for worker_id in _fleet():
        health.record_refusal(worker_id, 0)
    for worker_id in _fleet():
        health.suspend(worker_id, 10)
    suspended = [one for one in _fleet() if health.suspended(one, 1_000)]
    assert len(suspended) <= 5


def test_refusals_pause_at_most_half_of_the_fleet():
    health = _health.Health(lambda: 10)
    for worker_id in _fleet():
        health.record_refusal(worker_id, 0)
    assert sum(health.suspended(one, 50) for one in _fleet()) <= 5


def test_short_pauses_do_not_keep_a_failing_worker_in_use():
    health = _health.Health(lambda: 10)
    for worker_id in _fleet()[:5]:
        health.record_refusal(worker_id, 0)
    failing = _fleet()[9]
    health.suspend(failing, 10)
    assert health.suspended(failing, 1_000)


def test_a_paused_worker_whose_runs_stall_is_suspended_once():
    health = _health.Health(lambda: 10)
    health.record_refusal('w1', 0)
    health.record_stall('w1', 10)
    health.record_stall('w1', 20)
    assert health.suspended('w1', _health.FIRST_SUSPENSION_MS)
    assert not health.suspended('w1', _health.FIRST_SUSPENSION_MS + 10)
