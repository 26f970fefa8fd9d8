"""A late message about a worker does not affect its next incarnation."""

import contextlib
import dataclasses

import pytest
from returns import result

from dandeliondrum import jobs
from dandeliondrum.jobs import _advice
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _worker_peer
from dandeliondrum.jobs import _workers
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import test_workers
from dandeliondrum import testing
from dandeliondrum import utils

W1 = test_workers.W1
TASK = test_workers.TASK


@pytest.fixture
def leader():
    with contextlib.ExitStack() as resources:
        leader = test_workers.Leader(resources)
        leader.worker.run_ms = 60_000
        leader.report()
        leader.wait_usable()
        yield leader


def _restart(leader, **changes):
    """Start the worker again; its next report is acknowledged."""
    leader.worker.restart()
    leader.worker.facts = dataclasses.replace(leader.worker.facts, **changes)
    leader.sequence = 0
    leader.report()


def test_a_late_shutdown_does_not_keep_a_restarted_worker_out_of_use(
    leader, monkeypatch
):
    """Regression test: it was out of use for good (LOST)."""
    monkeypatch.setattr(_worker_peer, 'LEAVE_TIMEOUT_MS', 100)
    _restart(leader)
    leader.wait_usable()
    leader.workers.handle_leave(_calls.WorkerLeft(W1))
    assert not leader.peer().usable()
    leader.wait_usable()


def test_a_shutdown_of_a_former_incarnation_is_ignored(leader):
    former_ms = leader.worker.facts.started_ms
    _restart(leader)
    leader.wait_usable()
    leader.workers.handle_leave(_calls.WorkerLeft(W1, former_ms))
    assert leader.peer().usable()


def test_a_shutdown_of_the_current_incarnation_is_final(leader, monkeypatch):
    monkeypatch.setattr(_worker_peer, 'LEAVE_TIMEOUT_MS', 0)
    started_ms = leader.worker.facts.started_ms
    leader.workers.handle_leave(_calls.WorkerLeft(W1, started_ms))
    reads_count = leader.peer()._state.reads_count
    testing.wait_until(lambda: leader.peer()._state.reads_count > reads_count)
    assert not leader.peer().usable()


def test_a_worker_that_shuts_down_is_out_of_use_until_it_has_ended(leader):
    leader.workers.handle_leave(_calls.WorkerLeft(W1))
    leader.worker.silent = True
    testing.wait_until(lambda: not leader.peer()._state.is_responding)
    assert not leader.peer().usable()
    assert leader.peer()._state.is_departing


@pytest.mark.parametrize(
    'changes',
    [{'labels': ('b', 'r1')}, {'pool': 'other'}, {}],
    ids=['label', 'pool', 'restart'],
)
def test_a_queued_start_is_not_sent_to_the_next_incarnation(leader, changes):
    """Regression test: it ran on a worker of another kind (ROUTE)."""
    orders = leader.peer().orders
    planned = leader.worker.facts
    orders.plan(TASK, _orders.Order(1, '', '', '', worker=planned))
    assert leader.machine.assign(str(TASK))
    _restart(leader, **changes)
    orders.dispatch(TASK)
    waiting = _records.TaskPhase.WAITING
    testing.wait_until(lambda: leader.phase() is waiting)
    assert not leader.worker.starts


def test_a_queued_start_waits_for_no_report_of_the_restart(leader):
    """The lists show the restart before the first report arrives."""
    orders = leader.peer().orders
    planned = leader.worker.facts
    orders.plan(TASK, _orders.Order(1, '', '', '', worker=planned))
    assert leader.machine.assign(str(TASK))
    leader.worker.restart()
    restarted_ms = leader.worker.facts.started_ms
    testing.wait_until(lambda: leader.peer().answers_as(restarted_ms))
    orders.dispatch(TASK)
    waiting = _records.TaskPhase.WAITING
    testing.wait_until(lambda: leader.phase() is waiting)
    assert not leader.worker.starts


def test_a_start_that_was_sent_before_the_restart_is_stopped(leader):
    leader.worker.delays_starts = True
    orders = leader.peer().orders
    planned = leader.worker.facts
    orders.plan(TASK, _orders.Order(1, '', '', '', worker=planned))
    assert leader.machine.assign(str(TASK))
    orders.dispatch(TASK)
    testing.wait_until(lambda: leader.worker.late_starts)
    _restart(leader, labels=('b', 'r1'))
    testing.wait_until(lambda: leader.phase() is _records.TaskPhase.WAITING)
    leader.worker.carry_out_late_starts()
    assert not leader.worker.starts


def test_a_start_is_sent_after_a_change_of_address(leader):
    orders = leader.peer().orders
    planned = leader.worker.facts
    orders.plan(TASK, _orders.Order(1, '', '', '', worker=planned))
    assert leader.machine.assign(str(TASK))
    leader.worker.facts = dataclasses.replace(planned, address='w1:2')
    leader.report()
    orders.dispatch(TASK)
    testing.wait_until(lambda: leader.worker.starts)


def test_a_worker_whose_clock_was_stepped_back_is_used_again(leader):
    """Regression test: its reports were acknowledged and ignored (LOST)."""
    later = dataclasses.replace(leader.worker.facts, started_ms=5_000)
    leader.worker.facts = later
    leader.report()
    leader.wait_usable()
    leader.worker.restart()
    leader.worker.facts = dataclasses.replace(later, started_ms=4_000)
    leader.sequence = 0

    def is_used():
        leader.report()
        known_ms = leader.machine.state.workers[W1].facts.started_ms
        return known_ms == 4_000 and leader.peer().usable()

    testing.wait_until(is_used)


def test_a_late_report_of_a_former_incarnation_changes_nothing(leader):
    former = jobs.WorkerReport(leader.worker.facts, 99)
    _restart(leader, labels=('b', 'r1'))
    leader.wait_usable()
    leader.workers.handle_report(former)
    state = leader.machine.state
    assert state.workers[W1].facts == leader.worker.facts
    assert leader.peer().facts == leader.worker.facts


def test_the_removal_of_a_worker_does_not_remove_its_next_incarnation(
    leader, monkeypatch
):
    """Regression test: the new one was removed after its report."""
    monkeypatch.setattr(_workers, 'REMOVE_AFTER_MS', -1)
    leader.node.holds = True
    leader.workers.check()
    removal = leader.node._pending.pop()
    _restart(leader)
    leader.node.release()
    leader.node._pending.append(removal)
    leader.node.release()
    leader.node.holds = False
    assert leader.machine.state.workers[W1].facts == leader.worker.facts
    leader.wait_usable()


def test_a_worker_that_reports_during_its_removal_keeps_its_peer(leader):
    """Regression test: it was recorded and in use by no one."""
    peer = leader.peer()
    removed = utils.completed_future(result.Success(True))
    leader.machine(_commands.RemoveWorker(W1))
    leader.machine(_commands.PutWorker(leader.worker.facts))
    leader.workers._on_removed(W1, removed)
    assert leader.peer() is peer


def test_a_late_replacement_does_not_remove_the_next_incarnation(leader):
    """Regression test: its later reports were ignored for good (LOST)."""
    former_ms = leader.worker.facts.started_ms
    leader.worker.restart()
    leader.machine(_commands.PutWorker(leader.worker.facts))
    leader.workers.worker_replaced(W1, former_ms)
    leader.report()
    leader.wait_usable()
    assert leader.machine.state.workers[W1].facts == leader.worker.facts


def test_a_failure_of_a_former_incarnation_is_not_counted(leader):
    assert leader.machine.assign(str(TASK))
    end = jobs.RunEnd(TASK, 1, jobs.RunOutcome.FAILED)
    incarnations = leader.workers._workers_of((end,))
    _restart(leader)
    leader.workers._handle_ends((end,), incarnations, ())
    assert leader.term.health.consecutive_failures(W1) == 0
    assert not leader.term.failed_on


def test_a_restarted_worker_is_not_avoided_for_failures_before(leader):
    leader.term.failed_on['j', 0] = {W1}
    _restart(leader)
    assert leader.term.failed_on['j', 0] == set()


def test_a_refusal_of_a_former_incarnation_does_not_pause_the_next(leader):
    answered = []

    def refuse(order, late=False):
        _restart(leader)
        answered.append(order)
        return jobs.Refused(jobs.Refusal.UNHEALTHY)

    leader.worker.start = refuse
    orders = leader.peer().orders
    orders.plan(TASK, _orders.Order(1, '', '', ''))
    assert leader.machine.assign(str(TASK))
    orders.dispatch(TASK)
    waiting = _records.TaskPhase.WAITING
    testing.wait_until(lambda: answered and leader.phase() is waiting)
    assert not leader.term.health.suspended(W1, 0)


def test_progress_in_lists_of_another_incarnation_moves_no_run(leader):
    spec = helpers.step(expected_run_ms=1)
    leader.machine(_commands.SubmitJob(helpers.job('k', spec)))
    assert leader.machine.assign('k.0.0.0')
    task = jobs.parse_task_key('k.0.0.0')
    leader.worker.restart()
    restarted_ms = leader.worker.facts.started_ms
    testing.wait_until(lambda: leader.peer().answers_as(restarted_ms))
    listed = jobs.RunListing(task, 1, '', 0.0)
    for clock_ms in (0, 60_000, 120_000):
        lists = jobs.WorkerListing(clock_ms, restarted_ms, (listed,), ())
        assert leader.workers.misplaced(W1, lists) == []


def test_a_draining_worker_that_ends_has_not_crashed(leader):
    """Its report may arrive before the lists show that it has restarted."""
    leader.worker.silent = True
    testing.wait_until(lambda: not leader.peer()._state.is_responding)
    _restart(leader, phase=jobs.WorkerPhase.DRAINING)
    restarted_ms = leader.worker.facts.started_ms
    leader.worker.silent = False
    testing.wait_until(lambda: leader.peer().answers_as(restarted_ms))
    assert leader.peer()._state.is_departing


def test_advice_that_was_asked_for_before_a_restart_gives_no_ticket():
    """Regression test: starts were refused for a ticket of a former life."""
    advice = _advice.GrantCache()
    candidates = [_advice.Candidate(W1, True)]
    reply = jobs.AdviceReply((jobs.Grant(W1, 't'),), 1_500)
    included = advice.select_workers('s', candidates, 0)
    advice.record_call('s', 0)
    advice.forget_worker(W1)
    advice.record_reply('s', included, reply, 10)
    assert advice.tickets('s', 20) == {}
    assert advice.select_workers('s', candidates, 20) == included
    advice.record_call('s', 20)
    advice.record_reply('s', included, reply, 30)
    assert advice.tickets('s', 40) == {W1: 't'}
