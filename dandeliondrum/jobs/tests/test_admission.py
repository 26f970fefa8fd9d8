"""Tests of admission by the start delay, with a simulated clock."""

from unittest import mock

import pytest

from dandeliondrum.jobs import _admission
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages

PRIORITIES = (0, 1, 2)
START_TARGET_MS = 1_300
CALLER_BUDGET_MS = 3_000


class Leader:
    """A leader that commits one job after the other, on a simulated clock."""

    def __init__(self, commit_ms):
        self.admission = _admission.Admission()
        self.commit_ms = commit_ms
        self.now_ms = 0
        self.waits_ms = []
        self.refused = []
        self._queue = []
        self._busy_until_ms = 0

    def run(self, duration_ms, jobs_per_second, priorities=PRIORITIES):
        """Let jobs of these priorities in turn arrive for a while."""
        arrivals = 0.0
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += 1
            arrivals += jobs_per_second / 1_000
            while arrivals >= 1:
                arrivals -= 1
                self._arrive(priorities[self.now_ms % len(priorities)])
            while self._queue and self._busy_until_ms <= self.now_ms:
                commit_id, began_ms = self._queue.pop(0)
                self.admission.end_commit(commit_id, self.now_ms)
                self.waits_ms.append(self.now_ms - began_ms)
                if self._queue:
                    self._busy_until_ms = self.now_ms + self.commit_ms
            if self.now_ms % _admission.SAMPLE_INTERVAL_MS == 0:
                self.admission.sample(PRIORITIES, self.now_ms)

    def _arrive(self, priority):
        retry_after_ms = self.admission.retry_after_ms(priority, self.now_ms)
        if retry_after_ms is not None:
            self.refused.append((priority, retry_after_ms))
            return
        if not self._queue:
            self._busy_until_ms = self.now_ms + self.commit_ms
        commit_id = self.admission.begin_commit(self.now_ms)
        self._queue.append((commit_id, self.now_ms))


def sample(admission, duration_ms, began_ms=0):
    step_ms = _admission.SAMPLE_INTERVAL_MS
    for now_ms in range(began_ms, began_ms + duration_ms + 1, step_ms):
        admission.sample(PRIORITIES, now_ms)
    return began_ms + duration_ms


def test_nothing_is_refused_below_the_capacity():
    leader = Leader(commit_ms=10)
    leader.run(60_000, jobs_per_second=90)
    assert leader.refused == []


def test_a_burst_that_is_worked_off_at_once_is_accepted():
    leader = Leader(commit_ms=10)
    for _ in range(10):
        leader.run(100, jobs_per_second=500)
        leader.run(1_900, jobs_per_second=10)
    assert leader.refused == []


def test_a_pause_of_the_process_refuses_nothing():
    admission = _admission.Admission()
    sample(admission, 1_000)
    admission.sample(PRIORITIES, 2_500)
    sample(admission, 1_000, began_ms=2_600)
    assert not admission.is_overloaded()


def test_accepted_jobs_are_committed_in_time_beyond_the_capacity():
    leader = Leader(commit_ms=10)
    leader.run(5_000, jobs_per_second=300)
    assert leader.refused
    assert max(leader.waits_ms) < CALLER_BUDGET_MS
    leader.waits_ms.clear()
    leader.run(25_000, jobs_per_second=300)
    assert max(leader.waits_ms) < START_TARGET_MS
    assert len(leader.waits_ms) > 25 * 0.95 * 1_000 / leader.commit_ms


def test_the_least_urgent_jobs_are_refused_first():
    leader = Leader(commit_ms=10)
    leader.run(5_000, jobs_per_second=130)
    leader.refused.clear()
    leader.run(25_000, jobs_per_second=130)
    counts = [
        sum(priority == one for one, _ in leader.refused)
        for priority in PRIORITIES
    ]
    assert counts == sorted(counts)
    assert counts[2] and not counts[0]


def test_all_jobs_are_accepted_again_once_the_load_has_fallen():
    leader = Leader(commit_ms=10)
    leader.run(10_000, jobs_per_second=300)
    leader.run(3_000, jobs_per_second=50)
    leader.refused.clear()
    leader.run(5_000, jobs_per_second=50)
    assert leader.refused == []


def retry_after_ms(admission, now_ms):
    return [admission.retry_after_ms(one, now_ms) for one in PRIORITIES]


def test_a_stuck_commit_refuses_all_priorities():
    admission = _admission.Admission()
    admission.begin_commit(0)
    now_ms = sample(admission, 2_500)
    assert all(retry_after_ms(admission, now_ms))


def test_slow_rounds_refuse_jobs_until_they_are_fast_again():
    admission = _admission.Admission()
    admission.begin_round(0)
    now_ms = sample(admission, 2_000)
    assert all(retry_after_ms(admission, now_ms))
    admission.end_round(now_ms)
    admission.begin_round(now_ms)
    admission.end_round(now_ms + 10)
    now_ms = sample(admission, 100, began_ms=now_ms + 100)
    assert not any(retry_after_ms(admission, now_ms))
    sample(admission, _admission.RECOVERED_AFTER_MS, began_ms=now_ms + 100)
    assert not admission.is_overloaded()


def test_less_urgent_callers_return_later():
    admission = _admission.Admission()
    admission.begin_commit(0)
    now_ms = sample(admission, 3_000)
    samples = [retry_after_ms(admission, now_ms) for _ in range(200)]
    waits_ms = [min(one) for one in zip(*samples, strict=True)]
    assert waits_ms == sorted(waits_ms)
    assert waits_ms[0] >= _admission.RETRY_AFTER_MIN_MS


@pytest.mark.parametrize('fails_in', ['encode', 'propose'])
def test_a_proposal_that_raises_does_not_count_as_a_pending_commit(fails_in):
    node = helpers.LocalNode(helpers.Machine(()))
    term = helpers.new_term(node)
    owner = messages if fails_in == 'encode' else node
    with mock.patch.object(owner, fails_in, side_effect=ValueError):
        with pytest.raises(ValueError):
            term.propose(_commands.ForgetJobs(()))
    later_ms = _clock.elapsed_ms() + 10 * _admission.START_DELAY_MAX_MS
    assert term.admission.start_delay_ms(later_ms) == 0
