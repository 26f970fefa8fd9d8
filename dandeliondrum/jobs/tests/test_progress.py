"""Detection of stalled runs and slow workers from listed progress."""

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _progress

EVERY_MS = 500
EXPECTED_MS = 2_000
TASK = jobs.parse_task_key('j.0.0.0')


class Listings:
    """Simulates the lists of workers, one every half second."""

    def __init__(self):
        self.progress = _progress.Progress()
        self.now_ms = 0

    def feed(self, worker_id, percents, task=TASK, run=1, **fields):
        """Return the time at which the run was found stalled, or None."""
        fields = {'expected_ms': EXPECTED_MS, **fields}
        start_ms = self.now_ms
        for percent in percents:
            self.now_ms += EVERY_MS
            one = _progress.RunProgress(task, run, percent, **fields)
            found = self.progress.record_list(
                worker_id, [one], self.now_ms, self.now_ms
            )
            if found:
                return self.now_ms - start_ms
        return None


@pytest.fixture
def listings():
    return Listings()


def test_a_run_that_makes_progress_is_not_stalled(listings):
    assert listings.feed('w1', range(0, 100, 25)) is None


def test_a_run_that_never_begins_is_stalled(listings):
    assert listings.feed('w1', [0] * 9) <= 2_000


def test_a_run_that_stops_midway_is_stalled(listings):
    found_ms = listings.feed('w1', [0, 25, 50] + [50] * 9)
    assert 1_500 < found_ms <= 3_000


def test_a_slow_run_of_a_long_task_is_not_stalled(listings):
    # Ten minutes at a quarter of the speed: a percent takes 24 s.
    percents = [n // 48 for n in range(200)]
    found = listings.feed('w1', percents, expected_ms=600_000)
    assert found is None


def test_a_run_may_restore_its_checkpoint_first(listings):
    waits = {'startup_allowance_ms': _progress.RESTORE_MS}
    assert listings.feed('w1', [40, 40, 40, 60, 80], **waits) is None
    assert listings.feed('w1', [40] * 9, run=2, **waits) is not None


def test_a_gang_may_wait_for_its_members(listings):
    waits = {'startup_allowance_ms': _progress.GANG_START_MS}
    assert listings.feed('w1', [0] * 8 + [10, 40, 70], **waits) is None


def test_a_run_that_has_done_its_part_waits_for_its_gang(listings):
    assert listings.feed('w1', [0, 50] + [100] * 9) is None


def test_one_missed_listing_is_no_stall(listings):
    # The worker itself was suspended: its clock advanced without any list.
    listings.feed('w1', [0, 20])
    listings.now_ms += 5_000
    assert listings.feed('w1', [20, 40, 60]) is None


def test_a_task_that_stalls_everywhere_is_not_moved_again(listings):
    for run in range(1, 1 + _progress.STALLS_MAX):
        assert listings.feed(f'w{run}', [0] * 9, run=run) is not None
    assert listings.feed('w9', [0] * 9, run=9) is None
    listings.progress.forget_jobs({TASK.job_id})
    assert listings.feed('w9', [0] * 9, run=10) is not None


def test_a_worker_of_a_quarter_of_the_speed_is_slow(listings):
    for number in range(5):
        listings.feed(f'w{number}', range(0, 100, 25))
    listings.feed('late', [0, 6, 12, 18, 24])
    assert listings.progress.slow_workers(listings.now_ms) == {'late'}


def test_estimates_that_are_off_make_no_worker_slow(listings):
    for number in range(5):
        listings.feed(f'w{number}', range(0, 100, 25))
    listings.feed('w9', range(0, 100, 13))
    assert not listings.progress.slow_workers(listings.now_ms)


def test_a_slow_worker_is_tried_again(listings):
    for number in range(5):
        listings.feed(f'w{number}', range(0, 100, 25))
    listings.feed('late', [0, 6, 12, 18, 24])
    later_ms = listings.now_ms + _progress.SPEED_AGE_MAX_MS + 1
    assert not listings.progress.slow_workers(later_ms)


def test_a_worker_that_restarts_has_no_history(listings):
    for number in range(5):
        listings.feed(f'w{number}', range(0, 100, 25))
    listings.feed('late', [0, 6, 12, 18, 24])
    listings.progress.forget('late')
    assert not listings.progress.slow_workers(listings.now_ms + 1_000)


@pytest.mark.parametrize(
    ('percent', 'checkpointing', 'left_ms', 'moves'),
    [
        (0, False, 1_500, True),
        (0, False, 2_500, False),
        (60, False, 500, False),
        (60, True, 500, True),
        (60, True, 900, False),
    ],
)
def test_a_run_that_ends_after_its_worker_is_moved(
    percent, checkpointing, left_ms, moves
):
    one = _progress.RunProgress(
        TASK, 1, percent, EXPECTED_MS, checkpointing=checkpointing
    )
    progress = _progress.Progress()
    progress.record_list('w1', [one], 0, 0)
    assert bool(progress.late_runs('w1', [one], left_ms)) == moves
    assert not progress.late_runs('w1', [one], left_ms)


def test_a_run_is_not_stalled_because_its_lists_are_read_late(listings):
    """Only the worker's clock counts; here the leader is short of time."""
    track = listings.progress
    percents = (0, 10, 20, 30, 40)
    for number, percent in enumerate(percents):
        one = _progress.RunProgress(TASK, 1, percent, EXPECTED_MS)
        clock_ms = number * 200
        assert not track.record_list('w1', [one], clock_ms, number * 10_000)
    one = _progress.RunProgress(TASK, 1, percents[-1], EXPECTED_MS)
    for number in range(4):
        clock_ms += 200
        now_ms = (len(percents) + number) * 10_000
        assert not track.record_list('w1', [one], clock_ms, now_ms)
