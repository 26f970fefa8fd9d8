"""Crashes of workers, as the management of one worker finds them."""

import dataclasses

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import test_worker_peer
from dandeliondrum import messages
from dandeliondrum import testing


@pytest.fixture
def worker():
    return testing.FakeWorker('w1', messages.Resources(4_000, 100), 60_000)


class _Leader(test_worker_peer.FakeLeader):
    """Leader that keeps the ends that it recorded."""

    def __init__(self, worker, lease_ms=1_000):
        self.ends = []
        super().__init__(worker, lease_ms)

    def record(self, ends):
        recorded = super().record(ends)
        if recorded:
            self.ends += ends
        return recorded

    def crashes(self):
        """Return the suspicions against the tasks in crashes."""
        return [
            (str(end.task), end.run, end.suspicion)
            for end in self.ends
            if end.outcome is jobs.RunOutcome.CRASHED
        ]


def _leader(worker, *names, lease_ms=60_000):
    """Return the leader of a worker with runs of jobs to start."""
    leader = _Leader(worker, lease_ms)
    for name in names:
        leader.submit(name, helpers.step())
    return leader


def _start(leader, name):
    testing.wait_until(leader.peer.usable)
    leader.start(f'{name}.0.0.0')
    key = jobs.parse_task_key(f'{name}.0.0.0')
    testing.wait_until(lambda: leader.peer.orders.is_listed(key, 1))


def _make_old(leader, name):
    """Let a run be listed for long."""
    order = leader.peer.orders.get(jobs.parse_task_key(f'{name}.0.0.0'), 1)
    order.since_ms -= 60_000


def _replace(worker):
    worker.replaced = True


def _restart(worker):
    worker.restart()


@pytest.mark.parametrize('crash', [_replace, _restart])
def test_a_run_that_is_alone_is_blamed_for_the_crash(worker, crash):
    leader = _leader(worker, 'a')
    with test_worker_peer.serving(leader):
        _start(leader, 'a')
        _make_old(leader, 'a')
        crash(worker)
        testing.wait_until(lambda: leader.ends and leader.crashed_ids)
    assert leader.crashes() == [('a.0.0.0', 1, jobs.Suspicion.ALONE)]
    assert leader.crashed_ids == ['w1']


@pytest.mark.parametrize('crash', [_replace, _restart])
def test_a_run_that_is_starting_is_blamed_more_than_others(worker, crash):
    leader = _leader(worker, 'a', 'b')
    with test_worker_peer.serving(leader):
        _start(leader, 'a')
        _make_old(leader, 'a')
        _start(leader, 'b')
        crash(worker)
        testing.wait_until(lambda: len(leader.ends) == 2)
    assert leader.crashes() == [
        ('a.0.0.0', 1, jobs.Suspicion.SHARED),
        ('b.0.0.0', 1, jobs.Suspicion.SOLE),
    ]


def test_a_start_that_reached_another_incarnation_is_not_blamed(worker):
    leader = _leader(worker, 'a', 'b')
    with test_worker_peer.serving(leader):
        _start(leader, 'a')
        worker.silent = True
        testing.wait_until(lambda: not leader.peer._state.is_responding)
        worker.replaced, worker.silent = True, False
        leader.start('b.0.0.0')
        testing.wait_until(lambda: leader.gone_ids)
    assert leader.crashes() == [('a.0.0.0', 1, jobs.Suspicion.ALONE)]


@pytest.mark.parametrize('crash', [_replace, _restart])
def test_a_worker_that_drains_has_not_crashed(worker, crash):
    leader = _leader(worker, 'a')
    with test_worker_peer.serving(leader):
        _start(leader, 'a')
        worker.facts = dataclasses.replace(
            worker.facts, phase=_commands.WorkerPhase.DRAINING
        )
        leader.peer.facts = worker.facts
        crash(worker)
        testing.wait_until(lambda: leader.ends)
    assert leader.outcomes == [('a.0.0.0', 1, 'LOST')]
    assert leader.crashed_ids == []


@pytest.mark.parametrize('crash', [_replace, _restart])
def test_a_worker_that_announced_its_shutdown_has_not_crashed(worker, crash):
    leader = _leader(worker, 'a')
    with test_worker_peer.serving(leader):
        _start(leader, 'a')
        leader.peer.leave()
        crash(worker)
        testing.wait_until(lambda: leader.ends)
    assert leader.outcomes == [('a.0.0.0', 1, 'LOST')]
    assert leader.crashed_ids == []


def test_a_restart_reported_before_it_is_seen_keeps_the_departure(worker):
    """The facts of the next incarnation arrive before its lists are read."""
    leader = _leader(worker, 'a')
    with test_worker_peer.serving(leader):
        _start(leader, 'a')
        leader.peer.facts = dataclasses.replace(
            worker.facts, phase=_commands.WorkerPhase.DRAINING
        )
        with worker.lock:
            worker.restart()
            leader.peer.facts = worker.facts
        testing.wait_until(lambda: leader.ends)
    assert leader.outcomes == [('a.0.0.0', 1, 'LOST')]


@pytest.mark.parametrize('crash', [_replace, _restart])
def test_a_crash_found_after_the_lapse_is_counted(worker, crash):
    leader = _leader(worker, 'a', lease_ms=600)
    with test_worker_peer.serving(leader):
        _start(leader, 'a')
        worker.silent = True
        testing.wait_until(lambda: leader.outcomes)
        assert leader.outcomes == [('a.0.0.0', 1, 'LAPSED')]
        crash(worker)
        worker.silent = False
        testing.wait_until(lambda: len(leader.outcomes) > 1)
    assert leader.crashes() == [('a.0.0.0', 1, jobs.Suspicion.ALONE)]
    assert leader.machine.task('a.0.0.0').crashes_count == 1
    assert leader.crashed_ids == ['w1']


def test_a_worker_that_was_silent_and_answers_again_has_not_crashed(worker):
    leader = _leader(worker, 'a', lease_ms=600)
    with test_worker_peer.serving(leader):
        _start(leader, 'a')
        worker.silent = True
        testing.wait_until(lambda: leader.outcomes)
        worker.silent = False
        testing.wait_until(lambda: leader.peer._state.is_responding)
        worker.replaced = True
        testing.wait_until(lambda: leader.gone_ids)
    # The worker reports the lapse as well.
    assert set(leader.outcomes) == {('a.0.0.0', 1, 'LAPSED')}
    assert leader.crashed_ids == []


def test_a_crash_is_recorded_again_if_the_log_refused_it(worker):
    leader = _leader(worker, 'a')
    with test_worker_peer.serving(leader):
        _start(leader, 'a')
        leader.log_refuses = True
        worker.restart()
        testing.wait_until(lambda: leader.crashed_ids)
        leader.log_refuses = False
        testing.wait_until(lambda: leader.ends)
    assert leader.crashes() == [('a.0.0.0', 1, jobs.Suspicion.ALONE)]
    assert leader.machine.task('a.0.0.0').crashes_count == 1


def test_a_task_that_crashes_its_worker_is_not_started_for_ever(worker):
    """Regression test: it was started after each restart (BUDGET)."""
    leader = _leader(worker, 'a')
    with test_worker_peer.serving(leader):
        for run in range(1, 7):
            testing.wait_until(leader.peer.usable)
            if leader.machine.phase('a') is jobs.JobPhase.FAILED:
                break
            leader.start('a.0.0.0', run)
            testing.wait_until(worker.running)
            worker.restart()
            testing.wait_until(lambda: len(leader.outcomes) == run)
            leader.peer.facts = worker.facts
    assert leader.machine.phase('a') is jobs.JobPhase.FAILED
    assert len(leader.outcomes) == 3
