"""Commits of ends that several threads record at the same time."""

import concurrent.futures
import threading
import time

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _end_recorder
from dandeliondrum import testing
from dandeliondrum import utils

TIMEOUT_S = 20


def end(number):
    """Return the end of a run of a job of its own."""
    key = jobs.TaskKey(jobs.JobId(f'j{number}'), 0, 0)
    return jobs.RunEnd(key, 1, jobs.RunOutcome.DONE)


class SlowLog:
    """Commits only when ``free`` is set, with the next of ``outcomes``."""

    def __init__(self, *outcomes):
        self._executor = concurrent.futures.ThreadPoolExecutor(1)
        self.batches = []
        self.free = threading.Event()
        self.effects_count = 0
        self.effects_free = threading.Event()
        self.effects_free.set()
        self._outcomes = list(outcomes)

    def __call__(self, ends):
        self.batches.append(ends)
        return self._executor.submit(self._commit)

    def _commit(self):
        assert self.free.wait(TIMEOUT_S)
        outcome = self._outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return self._handle_effects if outcome else None

    def _handle_effects(self):
        self.effects_count += 1
        assert self.effects_free.wait(TIMEOUT_S)


@pytest.fixture
def threads():
    with concurrent.futures.ThreadPoolExecutor(8) as executor:
        yield executor


@pytest.fixture
def supervisor():
    supervisor = utils.Supervisor('test')
    yield supervisor
    supervisor.close()


def new_recorder(log, supervisor, timeout_s=TIMEOUT_S):
    return _end_recorder.EndRecorder(log, supervisor, 1_000 * timeout_s)


def record_during_a_commit(threads, supervisor, log, count):
    """Return the futures of a first record and of ``count`` during it."""
    recorder = new_recorder(log, supervisor)
    futures = [threads.submit(recorder.record, (end(0),))]
    testing.wait_until(lambda: log.batches)
    for number in range(1, count + 1):
        futures.append(threads.submit(recorder.record, (end(number),)))
    testing.wait_until(lambda: len(recorder._next.ends) == count)
    log.free.set()
    return futures


def test_ends_that_arrive_during_a_commit_are_committed_together(
    threads, supervisor
):
    log = SlowLog(True, True)
    futures = record_during_a_commit(threads, supervisor, log, 5)
    assert all(future.result(TIMEOUT_S) for future in futures)
    assert log.batches[0] == (end(0),)
    assert set(log.batches[1]) == {end(number) for number in range(1, 6)}
    assert len(log.batches) == 2


def test_frequent_ends_are_committed_at_intervals_and_a_single_one_at_once(
    threads,
    supervisor,
):
    log = SlowLog(*100 * [True])
    log.free.set()
    recorder = new_recorder(log, supervisor)
    begin_s = time.monotonic()
    recorder.record((end(0),))
    single_ms = (time.monotonic() - begin_s) * 1_000
    futures = []
    for number in range(1, 100):
        futures.append(threads.submit(recorder.record, (end(number),)))
        time.sleep(0.001)
    assert all(future.result(TIMEOUT_S) for future in futures)
    elapsed_ms = (time.monotonic() - begin_s) * 1_000
    assert single_ms < _end_recorder.COMMIT_INTERVAL_MS
    assert sum(len(batch) for batch in log.batches) == 100
    intervals_count = elapsed_ms / _end_recorder.COMMIT_INTERVAL_MS
    assert len(log.batches) <= intervals_count + 1


def test_effects_that_block_hold_up_neither_their_batch_nor_the_next(
    threads, supervisor
):
    """Regression test: the effects wait for a round of planning to end."""
    log = SlowLog(True, True, True)
    log.effects_free.clear()
    futures = record_during_a_commit(threads, supervisor, log, 2)
    try:
        testing.wait_until(lambda: sum(one.done() for one in futures) == 1)
        assert len(log.batches) == 2
        assert log.effects_count == 2
    finally:
        log.effects_free.set()
    assert all(future.result(TIMEOUT_S) for future in futures)


def test_all_are_told_that_their_batch_was_not_committed(threads, supervisor):
    log = SlowLog(True, False)
    futures = record_during_a_commit(threads, supervisor, log, 3)
    outcomes = [future.result(TIMEOUT_S) for future in futures]
    assert outcomes == [True, False, False, False]


def test_a_commit_that_raises_does_not_hold_up_the_next(threads, supervisor):
    log = SlowLog(ValueError('broken'), True)
    futures = record_during_a_commit(threads, supervisor, log, 2)
    with pytest.raises(ValueError, match='broken'):
        futures[0].result(TIMEOUT_S)
    assert all(future.result(TIMEOUT_S) for future in futures[1:])


def test_a_commit_that_takes_longer_holds_up_no_thread(supervisor):
    log = SlowLog(True, True)
    recorder = new_recorder(log, supervisor)
    first = recorder.begin((end(0),))
    assert first.wait(0.01) is None
    second = recorder.begin((end(1),))
    assert second.wait(0.01) is None
    assert first.wait(0.01) is None
    log.free.set()
    assert first.wait(TIMEOUT_S) is True
    testing.wait_until(lambda: log.effects_count == 1)
    assert second.wait(TIMEOUT_S) is True
    assert log.batches == [(end(0),), (end(1),)]
    assert log.effects_count == 2


def test_ends_of_a_commit_that_takes_too_long_can_be_recorded_again(
    supervisor,
):
    log = SlowLog(True, True)
    recorder = new_recorder(log, supervisor, timeout_s=0)
    recording = recorder.begin((end(0),))
    assert recording.wait(0) is None
    assert recording.wait(TIMEOUT_S) is False
    log.free.set()
    recorder = new_recorder(log, supervisor)
    assert recorder.record((end(0),))


def test_effects_of_a_slow_commit_that_raise_are_not_repeated(supervisor):
    log = SlowLog(True, True)
    log.effects_free = None
    recorder = new_recorder(log, supervisor)
    slow = recorder.begin((end(0),))
    assert slow.wait(0) is None
    log.free.set()
    assert slow.wait(TIMEOUT_S) is True
    testing.wait_until(lambda: log.effects_count == 1)
    log.effects_free = threading.Event()
    log.effects_free.set()
    assert recorder.record((end(1),))
    assert log.effects_count == 2


def test_no_thread_waits_for_ends_once_the_recorder_has_closed(supervisor):
    """A task that a stopping supervisor has not begun never runs."""
    log = SlowLog(True)
    recorder = new_recorder(log, supervisor)
    supervisor.stopping.set()
    committing = recorder.begin((end(0),))
    assert committing.wait(0.01) is None
    waiting = recorder.begin((end(1),))
    recorder.close()
    log.free.set()
    assert committing.wait(TIMEOUT_S) is False
    assert waiting.wait(TIMEOUT_S) is False
    assert not recorder.record((end(2),))
    assert log.batches == [(end(0),)]


def test_a_slow_commit_of_a_former_leader_raises_nothing(supervisor):
    log = SlowLog(True)
    recorder = _end_recorder.EndRecorder(log, supervisor, 20)
    supervisor.close()
    try:
        assert recorder.begin((end(1),)).wait(0.01) is False
    finally:
        log.free.set()
