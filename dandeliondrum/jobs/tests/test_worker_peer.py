"""Management of one worker, tested with an in-memory worker."""

import contextlib
import dataclasses
import threading
import time

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _worker_peer
from dandeliondrum.jobs import _workers
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages
from dandeliondrum import testing

TIMEOUT_S = 20


class FakeLeader:
    """Leader that records ends in a local state machine, without a log."""

    def __init__(self, worker, lease_ms=1_000):
        self.machine = helpers.Machine(())
        self.machine(_commands.PutWorker(worker.facts))
        self.worker = worker
        self.acting = True
        self.outcomes = []
        self.gone_ids = []
        self.refusals = []
        self.lease_ms = lease_ms
        self.stopping = threading.Event()
        self.peer = self.open_peer(messages.Term(1))

    def open_peer(self, term):
        return _worker_peer.WorkerPeer(
            self.worker.facts,
            term,
            testing.FakeFleet([self.worker]),
            self,
            _worker_peer.PeerOptions(self.lease_ms, self.lease_ms),
        )

    def submit(self, name, *steps):
        self.machine(_commands.SubmitJob(helpers.job(name, *steps)))

    def start(self, task, run=1):
        key = jobs.parse_task_key(task)
        self.peer.orders.plan(key, _orders.Order(run, 'payload', '', ''))
        assert self.machine.assign(task, run, self.worker.facts.worker_id)
        self.peer.orders.dispatch(key)

    def may_act(self):
        return self.acting

    def record(self, ends):
        with self.machine.state.lock:
            self.machine(_commands.EndRuns(ends))
            self.outcomes += [
                (str(end.task), end.run, end.outcome.name) for end in ends
            ]
        return True

    def assigned(self, worker_id):
        with self.machine.state.lock:
            return dict(self.machine.state.workers[worker_id].runs)

    def obsolete(self, runs):
        state = self.machine.state
        with state.lock:
            return [
                (key, run)
                for key, run in runs
                if _workers._is_obsolete(state.jobs[key.job_id], key, run)
            ]

    def misplaced(self, worker_id, lists):
        """Return nothing; progress is tested elsewhere."""
        return []

    def refused(self, worker_id, task, reason):
        self.refusals.append(reason)

    def worker_replaced(self, worker_id):
        self.gone_ids.append(worker_id)

    def request_round(self):
        """Do nothing; there is no scheduler."""


@contextlib.contextmanager
def serving(leader, peer=None):
    peer = peer or leader.peer
    threads = [
        threading.Thread(target=task, args=(leader.stopping,))
        for task in (peer.watch, *2 * (peer.sender.run,))
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        leader.stopping.set()
        peer.close()
        for thread in threads:
            thread.join()
        leader.stopping.clear()


@pytest.fixture
def worker():
    return testing.FakeWorker('w1', messages.Resources(4_000, 100), 50)


def test_a_run_is_started_and_its_end_recorded(worker):
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(
            lambda: leader.machine.phase('j') is jobs.JobPhase.DONE
        )
    assert leader.outcomes == [('j.0.0.0', 1, 'DONE')]


def test_a_start_carried_out_late_does_not_run_twice(worker):
    worker.run_ms = 400
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        worker.delays_starts = True
        leader.start('j.0.0.0')
        testing.wait_until(lambda: worker.late_starts)
        worker.delays_starts = False
        testing.wait_until(worker.running)
        worker.carry_out_late_starts()
        testing.wait_until(
            lambda: leader.machine.phase('j') is jobs.JobPhase.DONE
        )
        worker.carry_out_late_starts()
    assert worker.starts == [('j.0.0.0', 1)]


def test_a_start_that_is_never_answered_is_fenced_off_before_another(worker):
    leader = FakeLeader(worker, lease_ms=60_000)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        worker.delays_starts = True
        leader.start('j.0.0.0')
        testing.wait_until(lambda: ('j.0.0.0', 1, 'LOST') in leader.outcomes)
        worker.carry_out_late_starts()
    assert worker.starts == []


def test_a_silent_worker_keeps_its_runs_until_the_lease_is_over(worker):
    worker.run_ms = 60_000
    leader = FakeLeader(worker, lease_ms=600)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(worker.running)
        worker.silent = True
        testing.wait_until(lambda: leader.outcomes)
        assert worker.running() == {}
    assert leader.outcomes == [('j.0.0.0', 1, 'LAPSED')]


def test_a_new_leader_finds_runs_that_were_not_listed(worker):
    """A run that was assigned but never started is recorded as lost."""
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    assert leader.machine.assign('j.0.0.0')
    with serving(leader):
        testing.wait_until(lambda: leader.outcomes)
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]


def test_a_start_of_an_earlier_leader_is_fenced_off(worker):
    """The order arrives after the next leader has recorded the run as lost."""
    earlier = FakeLeader(worker)
    earlier.submit('j', helpers.step())
    with serving(earlier):
        testing.wait_until(earlier.peer.usable)
        worker.delays_starts = True
        earlier.start('j.0.0.0')
        testing.wait_until(lambda: worker.late_starts)
    earlier.peer = earlier.open_peer(messages.Term(2))
    with serving(earlier):
        testing.wait_until(lambda: earlier.outcomes)
        worker.carry_out_late_starts()
    assert worker.starts == []
    assert earlier.outcomes == [('j.0.0.0', 1, 'LOST')]


def test_a_worker_that_restarts_under_the_same_id_loses_its_runs(worker):
    worker.run_ms = 60_000
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(worker.running)
        worker.restart()
        testing.wait_until(lambda: leader.outcomes)
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]


def test_a_late_start_to_a_restarted_worker_is_fenced_off(worker):
    leader = FakeLeader(worker, lease_ms=60_000)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        worker.delays_starts = True
        leader.start('j.0.0.0')
        testing.wait_until(lambda: worker.late_starts)
        worker.restart()
        testing.wait_until(lambda: leader.outcomes)
        worker.carry_out_late_starts()
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]
    assert worker.starts == []


def test_another_incarnation_at_the_address_ends_all_runs(worker):
    worker.run_ms = 60_000
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(worker.running)
        worker.replaced = True
        testing.wait_until(lambda: leader.gone_ids)
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]
    assert leader.gone_ids == ['w1']


def test_runs_of_a_cancelled_job_are_stopped(worker):
    worker.run_ms = 60_000
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(worker.running)
        leader.machine(_commands.CancelJob('j'))
        testing.wait_until(lambda: leader.outcomes)
    assert leader.outcomes == [('j.0.0.0', 1, 'STOPPED')]


def test_an_unassigned_run_is_stopped_before_the_worker_is_used(worker):
    """Guards against overload: such a run uses unaccounted resources."""
    worker.run_ms = 60_000
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    key = jobs.parse_task_key('j.0.0.0')
    worker.start(jobs.StartOrder(worker.facts, 0, key, 7, '', 60_000, '', ''))
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        assert worker.running() == {}


def test_a_leader_that_may_not_act_sends_nothing(worker):
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.acting = False
        leader.start('j.0.0.0')
        time.sleep(0.3)
        assert worker.starts == []
        leader.acting = True
        testing.wait_until(lambda: worker.starts)


def test_a_start_that_was_planned_before_a_drain_is_not_sent(worker):
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.acting = False
        leader.start('j.0.0.0')
        leader.peer.facts = dataclasses.replace(
            worker.facts, phase=jobs.WorkerPhase.DRAINING
        )
        leader.acting = True
        testing.wait_until(lambda: leader.outcomes)
    assert worker.starts == []
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]


def test_a_worker_that_left_is_used_again_after_a_restart(worker):
    leader = FakeLeader(worker)
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.peer.leave()
        assert not leader.peer.usable()
        worker.restart()
        testing.wait_until(leader.peer.usable)


def test_an_order_without_an_answer_does_not_hold_up_another(worker):
    """One of two starts hangs until the other one has run."""
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step(2))
    answered = threading.Event()
    port = testing.FakeFleet([worker])

    def start(order):
        if order.task.index == 0:
            answered.wait(TIMEOUT_S)
        return worker.start(order)

    port.start = start
    leader.peer._state.port = port
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        leader.start('j.0.0.1')
        try:
            testing.wait_until(
                lambda: ('j.0.0.1', 1, 'DONE') in leader.outcomes
            )
        finally:
            answered.set()


def _after_an_unanswered_start(worker):
    """Return a peer with an unanswered start order, and its task key.

    The threads of the peer are stopped.
    """
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    leader.start('j.0.0.0')
    leader.stopping.set()
    key = jobs.parse_task_key('j.0.0.0')
    assert leader.peer.orders.next(0) == key
    worker.delays_starts = True
    leader.peer.sender._send_start(key, leader.stopping)
    worker.delays_starts = False
    return leader.peer, key


def _fail_first_records(leader, count):
    """Let the log refuse the first ``count`` ends of runs."""
    record = leader.record
    refused = []

    def record_later(ends):
        if len(refused) < count:
            refused.append(ends)
            return False
        return record(ends)

    leader.record = record_later
    return refused


def test_a_refused_start_that_the_log_did_not_record_is_recorded_later(worker):
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    refused = _fail_first_records(leader, 2)
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        worker.start = lambda order: jobs.Refused(jobs.Refusal.NO_ROOM)
        leader.start('j.0.0.0')
        testing.wait_until(lambda: leader.outcomes, timeout_ms=3_000)
    assert len(refused) == 2
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]


def test_a_stopped_start_that_the_log_did_not_record_is_recorded_later(worker):
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        refused = _fail_first_records(leader, 2)
        leader.acting = False
        leader.start('j.0.0.0')
        leader.peer.facts = dataclasses.replace(
            worker.facts, phase=jobs.WorkerPhase.DRAINING
        )
        leader.acting = True
        testing.wait_until(lambda: leader.outcomes, timeout_ms=3_000)
    assert len(refused) == 2
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]
    assert not worker.starts


class StopCountingWorker(testing.FakeWorker):
    """Worker that counts the stop orders sent to it."""

    stops_count = 0

    def stop(self, order):
        self.stops_count += 1
        return super().stop(order)


def test_a_stop_that_fails_at_once_is_not_sent_in_a_tight_loop():
    worker = StopCountingWorker('w1', messages.Resources(4_000, 100), 5_000)
    leader = FakeLeader(worker, lease_ms=60_000)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(worker.running)
        worker.silent = True
        leader.peer.orders.stop(jobs.parse_task_key('j.0.0.0'), 1)
        time.sleep(0.5)
        assert 1 <= worker.stops_count <= 7
        worker.silent = False
        testing.wait_until(lambda: not worker.running())


def test_a_start_is_not_sent_again_after_a_stop(worker):
    """Regression test: a task stayed assigned forever (violation LOST).

    The repeated start was refused because of the stop. As a stop had just
    been sent, no further stop followed and nothing settled the order.
    """
    peer, key = _after_an_unanswered_start(worker)
    peer.orders.stop(key, 1)
    peer.sender._send_stop(key, 1)
    peer.sender._send_start(key, threading.Event())
    assert peer.orders.is_lost(key, 1, read=1)


def test_a_stop_while_a_start_is_under_way_settles_it(worker):
    """The stop is answered before the start is found to be unanswered."""
    peer, key = _after_an_unanswered_start(worker)
    peer.orders.stop(key, 1)
    peer.sender._send_stop(key, 1)
    order = peer.orders.get(key, 1)
    peer.sender._handle_unanswered_start(key, order, True, 'no answer')
    assert peer.orders.is_lost(key, 1, read=1)


def test_a_run_that_is_stopped_before_its_start_is_sent_never_starts(worker):
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    leader.start('j.0.0.0')
    key = jobs.parse_task_key('j.0.0.0')
    leader.peer.orders.stop(key, 1)
    leader.peer.sender._send_start(key, leader.stopping)
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]
    assert worker.starts == []


def test_a_stop_that_is_settled_just_before_the_start_is_sent_counts(worker):
    """The stop is settled during the checks that precede the start."""
    peer, key = _after_an_unanswered_start(worker)
    leader = peer._events

    def stop_meanwhile(runs):
        peer.orders.stop(key, 1)
        peer.sender._send_stop(key, 1)
        return []

    leader.obsolete = stop_meanwhile
    peer.sender._send_start(key, leader.stopping)
    assert peer.orders.is_lost(key, 1, read=1)
