"""Commits of assignments, with a log whose delays a test controls."""

import contextlib
import random
import threading

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _scheduler
from dandeliondrum.jobs import _term
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages
from dandeliondrum import testing

TASK = jobs.parse_task_key('j.0.0.0')


class ReadyPeer:
    """Peer of a worker that accepts tasks; keeps its orders."""

    def __init__(self, facts):
        self.facts = facts
        self.orders = _orders.OrderBook(threading.RLock())

    def usable(self):
        return True

    def list_age_ms(self):
        return 0


class Leader:
    """Scheduler of a leader with two workers and one waiting job."""

    def __init__(self):
        self.machine = helpers.Machine(('w1', 'w2'))
        self.node = helpers.LocalNode(self.machine)
        self.term = helpers.new_term(self.node)
        self.scheduler = _scheduler.Scheduler(self.term)
        for worker_id in ('w1', 'w2'):
            facts = helpers.facts(worker_id)
            self.term.peers[facts.worker_id] = ReadyPeer(facts)
        self.machine(_commands.SubmitJob(helpers.job('j', helpers.step())))

    def proposed_runs(self):
        return [
            run
            for command in self.node.commands
            for group in command.groups
            for run in group
        ]

    def order(self):
        worker_id = self.proposed_runs()[0].worker_id
        return self.term.peers[worker_id].orders.get(TASK, 1)

    @contextlib.contextmanager
    def scheduling(self):
        stopping = threading.Event()
        thread = threading.Thread(target=self.scheduler.run, args=(stopping,))
        thread.start()
        try:
            yield
        finally:
            stopping.set()
            self.term.round_requested.set()
            thread.join()


@pytest.fixture
def leader(monkeypatch):
    monkeypatch.setattr(_term, 'PROPOSE_TIMEOUT_MS', 50)
    return Leader()


def test_a_run_whose_assignment_is_applied_late_is_dispatched(leader):
    """Regression test: a task stayed assigned forever (violation LOST)."""
    leader.node.holds = True
    with leader.scheduling():
        testing.wait_until(leader.proposed_runs)
        # Longer than the timeout of other commands.
        threading.Event().wait(0.3)
        leader.node.holds = False
        leader.node.release()
        testing.wait_until(
            lambda: leader.order().phase is _orders.OrderPhase.QUEUED
        )
    worker_id = leader.machine.task('j.0.0.0').worker_id
    assert worker_id == leader.proposed_runs()[0].worker_id


def test_a_task_is_not_planned_again_while_its_assignment_is_pending(leader):
    leader.node.holds = True
    with leader.scheduling():
        testing.wait_until(leader.proposed_runs)
        for _ in range(3):
            leader.term.round_requested.set()
            threading.Event().wait(0.1)
        assert len(leader.proposed_runs()) == 1


def test_a_plan_for_a_worker_that_has_shrunk_meanwhile_is_made_anew(leader):
    leader.node.holds = True
    with leader.scheduling():
        testing.wait_until(leader.proposed_runs)
        shrunk_id = leader.proposed_runs()[0].worker_id
        leader.machine(_commands.PutWorker(helpers.facts(shrunk_id, 500)))
        leader.node.holds = False
        leader.node.release()
        testing.wait_until(
            lambda: (
                leader.machine.task('j.0.0.0').phase
                is _records.TaskPhase.ASSIGNED
            )
        )
    assert leader.machine.task('j.0.0.0').worker_id != shrunk_id
    assert leader.term.peers[shrunk_id].orders.get(TASK, 1) is None


def test_a_worker_whose_smaller_capacity_is_being_committed_is_not_used(
    leader,
):
    for worker_id, peer in leader.term.peers.items():
        peer.facts = helpers.facts(worker_id, 500)
    leader.scheduler.run_round(threading.Event())
    assert not leader.proposed_runs()
    for worker_id, peer in leader.term.peers.items():
        peer.facts = helpers.facts(worker_id)
    leader.scheduler.run_round(threading.Event())
    assert leader.proposed_runs()


def _change_randomly(leader, rng):
    """Let a worker shrink or grow and some of the runs end."""
    worker_id = rng.choice(sorted(leader.term.peers))
    capacity = messages.Resources(
        rng.choice((0, 500, 2_000, 4_000)), rng.choice((0, 25, 1_000))
    )
    facts = helpers.facts(worker_id, capacity=capacity)
    leader.machine(_commands.PutWorker(facts))
    leader.term.peers[worker_id].facts = facts
    workers = leader.machine.state.workers.values()
    for task, run in [item for one in workers for item in one.runs.items()]:
        if rng.random() < 0.3:
            leader.machine.end(str(task), run, jobs.RunOutcome.STOPPED)


@pytest.mark.parametrize('seed', range(5))
def test_workers_that_shrink_and_grow_get_no_more_than_they_have(leader, seed):
    rng = random.Random(seed)
    for name, more in (
        ('gang', {'gang': True}),
        ('filling', {'uses_idle_cpu': True}),
        ('saving', {'checkpointing': True}),
    ):
        spec = helpers.job(name, helpers.step(4, cpu=700, **more))
        leader.machine(_commands.SubmitJob(spec))
    workers = leader.machine.state.workers
    starts_count = 0
    for _ in range(200):
        _change_randomly(leader, rng)
        before = {
            worker_id: dict(workers[worker_id].runs) for worker_id in workers
        }
        leader.scheduler.run_round(threading.Event())
        for worker_id, worker in workers.items():
            if worker.runs != before[worker_id]:
                starts_count += 1
                assert worker.used.fits_in(worker.facts.capacity)
    assert starts_count > 50


def test_the_orders_of_a_refused_assignment_are_discarded(leader):
    leader.node.refuses = True
    with leader.scheduling():
        testing.wait_until(leader.proposed_runs)
        testing.wait_until(lambda: leader.order() is None)
        leader.node.refuses = False
        testing.wait_until(
            lambda: (
                leader.machine.task('j.0.0.0').phase
                is _records.TaskPhase.ASSIGNED
            )
        )
