"""Which parts of a run are measured for the speed of its worker."""

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _progress
from dandeliondrum.jobs import speeds

EVERY_MS = 500
EXPECTED_MS = 3_000
TASK = jobs.parse_task_key('j.0.0.0')


class Recorder(speeds.SpeedTable):
    """Keeps the rates that are recorded."""

    def __init__(self):
        super().__init__()
        self.rates = []

    def record(self, worker_id, step, done_ms, elapsed_ms, now_ms):
        self.rates.append(done_ms / elapsed_ms)


def _rates(*percents, gaps_ms=None, is_done=False, **fields):
    """Return the rates measured from lists of one run.

    ``gaps_ms`` maps positions of lists to the time before them. With
    ``is_done`` the last list has the end of the run.
    """
    recorder = Recorder()
    progress = _progress.Progress(recorder)
    now_ms = 0
    for position, percent in enumerate(percents):
        now_ms += (gaps_ms or {}).get(position, EVERY_MS)
        run = _progress.RunProgress(TASK, 1, percent, EXPECTED_MS, **fields)
        progress.record_list('w1', [run], now_ms, now_ms)
    if is_done:
        now_ms += EVERY_MS
        progress.record_list('w1', [], now_ms, now_ms, [(TASK, 1)])
    return recorder.rates


def test_progress_between_lists_is_measured():
    assert _rates(10, 25, 40) == pytest.approx([0.9, 0.9])


def test_the_rest_of_a_run_that_has_ended_is_measured():
    # Short tasks are in few lists.
    assert _rates(85, is_done=True) == pytest.approx([0.9])


def test_the_start_of_a_run_is_not_measured():
    # It takes a while of unknown length.
    assert _rates(0, 10, 25) == pytest.approx([0.9])


def test_a_run_that_stalls_is_not_measured_until_it_goes_on():
    # Its worker would look like one of a tenth of the speed.
    rates = _rates(10, 25, *[25] * 8, 26, 41)
    assert rates == pytest.approx([0.9, 0.9])


def test_a_slow_run_of_a_long_task_is_measured():
    # A percent takes 1,100 ms, so that each second list shows no progress.
    percents = [n * EVERY_MS // 1_100 for n in range(3, 30)]
    recorder = Recorder()
    progress = _progress.Progress(recorder)
    for position, percent in enumerate(percents):
        now_ms = position * EVERY_MS
        run = _progress.RunProgress(TASK, 1, percent, 60_000)
        progress.record_list('w1', [run], now_ms, now_ms)
    assert len(recorder.rates) == percents[-1] - percents[0]


def test_a_worker_that_was_suspended_is_not_measured_meanwhile():
    # Its clock went on without any progress, and without lists.
    rates = _rates(10, 25, 26, 41, gaps_ms={2: 4_000})
    assert rates == pytest.approx([0.9, 0.9])


def test_a_clock_that_is_stepped_back_is_not_measured():
    rates = _rates(10, 25, 40, 55, gaps_ms={2: -2_000})
    assert rates == pytest.approx([0.9, 0.9])


def test_a_restored_checkpoint_is_not_progress():
    # The run is listed with its checkpoint's percent, or without it, while
    # it is restored. Neither the jump nor the pause is the worker's speed.
    waits = {'startup_allowance_ms': _progress.RESTORE_MS}
    assert _rates(40, 40, 48, 63, **waits) == pytest.approx([0.9])
    assert _rates(0, 48, 63, **waits) == pytest.approx([0.9])
    assert _rates(48, is_done=True, **waits) == []


def test_a_gang_member_that_waits_for_the_others_is_not_measured():
    rates = _rates(10, 25, 100, 100, is_done=True, gang=True)
    assert rates == pytest.approx([0.9])
    assert _rates(10, is_done=True, gang=True) == []


def test_a_jump_of_progress_is_no_sample():
    # A run that is restored between two lists after its start.
    table = speeds.SpeedTable()
    table.record('w1', ('j', 0), 40_000, EVERY_MS, 0)
    table.refresh({'w1': 'pool'}, 0)
    assert not table.pool('pool').estimates
