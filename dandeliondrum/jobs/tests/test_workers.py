"""Peers of workers that are removed, replaced or report again."""

import contextlib
import dataclasses

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _audit
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _term
from dandeliondrum.jobs import _workers
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum import utils

W1 = messages.WorkerId('w1')
TASK = jobs.parse_task_key('j.0.0.0')
SMALL = messages.Resources(1_000, 100)


class Leader:
    """Workers of a leader with one job and the worker ``w1``."""

    def __init__(self, resources):
        self.worker = testing.FakeWorker(W1, messages.Resources(4_000, 100), 1)
        self.machine = helpers.Machine(())
        self.node = helpers.LocalNode(self.machine)
        self.term = helpers.new_term(
            self.node, testing.FakeFleet([self.worker])
        )
        supervisor = utils.Supervisor('test')
        self.workers = _workers.Workers(self.term, supervisor)
        resources.callback(supervisor.close)
        resources.callback(self.workers.close)
        self.machine(_commands.SubmitJob(helpers.job('j', helpers.step())))
        self.sequence = 0

    def report(self):
        self.sequence += 1
        self.workers.handle_report(
            jobs.WorkerReport(self.worker.facts, self.sequence)
        )

    def peer(self):
        return self.term.peers.get(W1)

    def wait_usable(self):
        testing.wait_until(lambda: self.peer() and self.peer().usable())

    def phase(self):
        return self.machine.task('j.0.0.0').phase


@pytest.fixture
def leader():
    with contextlib.ExitStack() as resources:
        yield Leader(resources)


def test_a_removed_worker_that_reports_again_is_used(leader, monkeypatch):
    """Regression test: it refused the token of its second peer."""
    leader.report()
    leader.wait_usable()
    monkeypatch.setattr(_workers, 'REMOVE_AFTER_MS', -1)
    leader.workers.check()
    assert leader.peer() is None and not leader.machine.state.workers
    leader.report()
    leader.wait_usable()


def test_a_run_assigned_to_a_worker_just_replaced_is_settled(leader):
    """Regression test: a task stayed assigned forever (violation LOST).

    The assignment is applied between the ends of the worker's runs and its
    removal.
    """
    leader.report()
    leader.wait_usable()
    leader.worker.replaced = True
    leader.node.holds = True
    testing.wait_until(lambda: leader.peer() is None)
    assert leader.machine.assign('j.0.0.0')
    leader.node.holds = False
    leader.node.release()
    testing.wait_until(lambda: W1 not in leader.machine.state.workers)
    assert leader.phase() is _records.TaskPhase.WAITING


def test_a_worker_replaced_by_an_incarnation_with_its_id_is_used(leader):
    leader.report()
    leader.wait_usable()
    leader.worker.replaced = True
    testing.wait_until(lambda: W1 not in leader.machine.state.workers)
    leader.worker.replaced = False
    leader.worker.restart()
    leader.report()
    leader.wait_usable()


def _start(leader, task):
    """Assign a run without the log and send its start order."""
    key = jobs.parse_task_key(task)
    orders = leader.peer().orders
    orders.plan(key, _orders.Order(1, 'payload', '', ''))
    assert leader.machine.assign(task)
    orders.dispatch(key)


def test_leases_are_renewed_while_the_log_commits_nothing(leader, monkeypatch):
    monkeypatch.setattr(_term, 'PROPOSE_TIMEOUT_MS', 60_000)
    worker, node = leader.worker, leader.node
    leader.machine(_commands.SubmitJob(helpers.job('k', helpers.step())))
    leader.report()
    leader.wait_usable()
    worker.run_ms = 60_000
    _start(leader, 'k.0.0.0')
    testing.wait_until(worker.running)
    node.holds = True
    worker.run_ms = 1
    try:
        _start(leader, 'j.0.0.0')
        testing.wait_until(
            lambda: isinstance(node.commands[-1], _commands.EndRuns)
        )
        for _ in range(5):
            lease_ms = worker._lease_ms
            testing.wait_until(
                lambda until_ms=lease_ms: worker._lease_ms > until_ms
            )
        assert worker._ends
    finally:
        node.holds = False
        node.release()
    testing.wait_until(lambda: not worker._ends)
    assert leader.phase() is _records.TaskPhase.DONE


def _refuse_starts(leader, start):
    """Replace the start of runs; return the ids of the workers paused."""
    paused_ids = []
    leader.term.health.record_refusal = lambda worker_id, now_ms: (
        paused_ids.append(worker_id)
    )
    leader.term.port.start = start
    return paused_ids


def test_a_start_that_arrives_after_its_lease_does_not_pause_the_worker(
    leader,
):
    worker = leader.worker

    def start_late(order):
        testing.wait_until(lambda: worker._clock_ms() > order.lease_until_ms)
        return worker.start(order)

    leader.report()
    leader.wait_usable()
    paused_ids = _refuse_starts(leader, start_late)
    _start(leader, 'j.0.0.0')
    testing.wait_until(lambda: leader.phase() is _records.TaskPhase.WAITING)
    assert worker.starts == [] and paused_ids == []


@pytest.mark.parametrize(
    'reason',
    [
        # Its clock is not what the leader takes it for.
        jobs.Refusal.LEASE_PASSED,
        # Regression: the next round sent it the same task again.
        jobs.Refusal.INVALID,
    ],
)
def test_a_worker_that_refuses_a_timely_start_is_paused(leader, reason):
    leader.report()
    leader.wait_usable()
    paused_ids = _refuse_starts(leader, lambda order: jobs.Refused(reason))
    _start(leader, 'j.0.0.0')
    testing.wait_until(lambda: leader.phase() is _records.TaskPhase.WAITING)
    assert paused_ids == [W1]


@pytest.fixture
def audit(leader, monkeypatch):
    monkeypatch.setattr(_orders, 'STUCK_AFTER_MS', 50)
    return _audit.Audit(leader.term, leader.workers)


def _is_settled(leader, audit):
    audit.check()
    return leader.phase() is _records.TaskPhase.WAITING


def test_the_audit_settles_an_assigned_run_that_is_not_dispatched(
    leader, audit
):
    leader.report()
    leader.wait_usable()
    leader.peer().orders.plan(TASK, _orders.Order(1, 'payload', '', ''))
    assert leader.machine.assign('j.0.0.0')
    testing.wait_until(lambda: _is_settled(leader, audit))
    assert leader.worker.starts == []


def test_the_audit_settles_a_start_that_left_the_queue_unsent(leader, audit):
    leader.report()
    leader.wait_usable()
    orders = leader.peer().orders
    orders.plan(TASK, _orders.Order(1, 'payload', '', ''))
    orders.get(TASK, 1).enter(_orders.OrderPhase.QUEUED)
    assert leader.machine.assign('j.0.0.0')
    testing.wait_until(lambda: _is_settled(leader, audit))


def test_the_audit_settles_the_runs_of_a_worker_without_a_peer(leader, audit):
    leader.machine(_commands.PutWorker(leader.worker.facts))
    assert leader.machine.assign('j.0.0.0')
    testing.wait_until(lambda: _is_settled(leader, audit))


def test_the_audit_leaves_a_healthy_run_alone(leader, audit):
    leader.worker.run_ms = 300
    leader.report()
    leader.wait_usable()
    orders = leader.peer().orders
    orders.plan(TASK, _orders.Order(1, 'payload', '', ''))
    assert leader.machine.assign('j.0.0.0')
    orders.dispatch(TASK)

    def is_done():
        audit.check()
        return leader.phase() is _records.TaskPhase.DONE

    testing.wait_until(is_done)
    assert leader.worker.starts == [('j.0.0.0', 1)]


def test_a_repeated_end_does_not_count_against_the_next_worker(leader):
    for worker_id in ('w1', 'w2'):
        leader.machine(_commands.PutWorker(helpers.facts(worker_id)))
    assert leader.machine.assign('j.0.0.0', 1, 'w1')
    end = _commands.RunEnd(TASK, 1, jobs.RunOutcome.FAILED)
    assert leader.workers.record((end,))
    assert leader.machine.assign('j.0.0.0', 2, 'w2')
    assert leader.workers.record((end,))
    health = leader.term.health
    assert health.consecutive_failures('w1') == 1
    assert health.consecutive_failures('w2') == 0


def test_a_repeated_end_in_the_batch_of_the_next_one_does_not_count(leader):
    for worker_id in ('w1', 'w2'):
        leader.machine(_commands.PutWorker(helpers.facts(worker_id)))
    ends = [
        _commands.RunEnd(TASK, run, jobs.RunOutcome.FAILED) for run in (1, 2)
    ]
    assert leader.machine.assign('j.0.0.0', 1, 'w1')
    assert leader.workers.record((ends[0],))
    assert leader.machine.assign('j.0.0.0', 2, 'w2')
    assert leader.workers.record(tuple(ends))
    assert leader.term.health.consecutive_failures('w1') == 1
    assert leader.term.health.consecutive_failures('w2') == 1


def _report_next(leader, **changes):
    leader.worker.facts = dataclasses.replace(leader.worker.facts, **changes)
    leader.report()


def test_an_older_report_that_commits_late_does_not_undo_draining(leader):
    leader.report()
    leader.node.holds = True
    _report_next(leader, address='w1:2')
    _report_next(leader, phase=jobs.WorkerPhase.DRAINING)
    leader.node.release(1)
    assert leader.peer().facts.phase is jobs.WorkerPhase.DRAINING
    leader.node.release()
    assert leader.peer().facts == leader.worker.facts


def test_a_draining_worker_stays_out_of_use_after_the_leader_is_lost(leader):
    """The next leader does not know which reports came before."""
    draining = dataclasses.replace(
        leader.worker.facts, phase=jobs.WorkerPhase.DRAINING
    )
    leader.machine(_commands.PutWorker(draining))
    leader.workers.restore()
    # Sent before the worker began to drain, and delayed on the way.
    leader.report()
    state = leader.machine.state
    assert state.workers[W1].facts.phase is jobs.WorkerPhase.DRAINING
    assert leader.peer().facts.phase is jobs.WorkerPhase.DRAINING
    # Another incarnation may be used.
    _report_next(leader, started_ms=2)
    assert state.workers[W1].facts.phase is jobs.WorkerPhase.READY


def test_a_smaller_capacity_counts_while_it_is_being_committed(leader):
    leader.report()
    leader.node.holds = True
    _report_next(leader, capacity=SMALL)
    assert leader.peer().facts.capacity == SMALL
    leader.node.release()
    assert leader.machine.state.workers[W1].facts == leader.worker.facts


def test_a_round_follows_at_once_when_a_worker_has_grown(leader):
    leader.report()
    _report_next(leader, capacity=SMALL)
    leader.term.round_requested.clear()
    _report_next(leader, capacity=messages.Resources(4_000, 100))
    assert leader.term.round_requested.is_set()
    state = leader.machine.state
    assert state.workers[W1].facts.capacity.cpu_millicores == 4_000


def test_a_worker_may_drain_and_restart_after_it_has_shrunk(leader):
    leader.report()
    facts = leader.worker.facts
    _report_next(leader, capacity=messages.Resources(0, 0))
    _report_next(leader, phase=jobs.WorkerPhase.DRAINING)
    known = leader.machine.state.workers[W1]
    assert known.facts.phase is jobs.WorkerPhase.DRAINING
    assert known.facts.capacity == leader.peer().facts.capacity
    leader.sequence = 0
    restarted = dataclasses.replace(facts, started_ms=2)
    leader.worker.facts = restarted
    leader.report()
    assert leader.peer().facts == restarted
    assert leader.machine.state.workers[W1].facts == restarted


def test_a_worker_that_grows_before_its_shrink_is_committed_is_used(leader):
    leader.report()
    facts = leader.worker.facts
    leader.node.holds = True
    _report_next(leader, capacity=SMALL)
    _report_next(leader, capacity=facts.capacity)
    leader.node.holds = False
    leader.node.release()
    assert leader.machine.state.workers[W1].facts == facts
    assert leader.peer().facts == facts


def test_a_worker_that_grows_after_a_refused_shrink_is_used(leader):
    leader.report()
    facts = leader.worker.facts
    leader.node.refuses = True
    _report_next(leader, capacity=SMALL)
    assert leader.machine.state.workers[W1].facts == facts
    leader.node.refuses = False
    _report_next(leader, capacity=facts.capacity)
    assert leader.peer().facts == facts


def _next_leader(leader, resources):
    """Return the workers of the next leader, which has heard no report."""
    supervisor = utils.Supervisor('next leader')
    workers = _workers.Workers(
        helpers.new_term(leader.node, leader.term.port), supervisor
    )
    resources.callback(supervisor.close)
    resources.callback(workers.close)
    workers.restore()
    return workers


def test_a_late_report_after_a_change_of_leader_does_not_undo_a_shrink(leader):
    late = jobs.WorkerReport(leader.worker.facts, 1)
    leader.report()
    _report_next(leader, capacity=SMALL)
    leader.workers.close()
    with contextlib.ExitStack() as resources:
        workers = _next_leader(leader, resources)
        workers.handle_report(late)
        assert leader.machine.state.workers[W1].facts.capacity == SMALL
        assert workers._term.peers[W1].facts.capacity == SMALL
        grown = dataclasses.replace(late, sequence=leader.sequence + 1)
        workers.handle_report(grown)
        assert leader.machine.state.workers[W1].facts == grown.facts
        assert workers._term.peers[W1].facts == grown.facts


def test_reports_that_are_committed_in_reverse_do_not_undo_a_shrink(leader):
    """Two threads propose the facts of two reports in the other order."""
    leader.report()
    grown = dataclasses.replace(leader.worker.facts, address='w1:2')
    shrunk = dataclasses.replace(grown, capacity=SMALL)
    propose = leader.term.propose

    def propose_after_the_next(command):
        leader.term.propose = propose
        leader.workers.handle_report(jobs.WorkerReport(shrunk, 3))
        return propose(command)

    leader.term.propose = propose_after_the_next
    leader.workers.handle_report(jobs.WorkerReport(grown, 2))
    assert leader.machine.state.workers[W1].facts == shrunk
    assert leader.peer().facts == shrunk


def test_unchanged_reports_are_not_committed(leader):
    for _ in range(3):
        leader.report()
    assert len(leader.node.commands) == 1


def test_a_repeated_report_is_acknowledged_only_once_it_is_committed(leader):
    """Regression test: the next leader gave tasks to a draining worker."""
    leader.report()
    leader.node.refuses = True
    draining = jobs.WorkerReport(
        dataclasses.replace(
            leader.worker.facts, phase=jobs.WorkerPhase.DRAINING
        ),
        sequence=2,
    )
    refused = leader.workers.handle_report(draining).result(0)
    assert isinstance(refused, messages.CallFailed)
    leader.node.refuses, leader.node.holds = False, True
    repeated = leader.workers.handle_report(draining)
    assert not repeated.done()
    leader.node.release()
    assert isinstance(repeated.result(0), _calls.WorkerNoted)
    assert leader.machine.state.workers[W1].facts == draining.facts


def test_a_drained_worker_that_restarts_is_not_suspended_any_more(leader):
    leader.report()
    _report_next(leader, phase=jobs.WorkerPhase.DRAINING)
    leader.term.health.suspend(W1, 0)
    assert leader.term.health.suspended(W1, 1)
    _report_next(leader, phase=jobs.WorkerPhase.READY, started_ms=2)
    assert not leader.term.health.suspended(W1, 1)


def _fail_endless_runs(leader, count):
    """Let an endless task fail once it has been listed for a while."""
    spec = helpers.step(endless=True)
    leader.machine(_commands.SubmitJob(helpers.job('endless', spec)))
    task = jobs.parse_task_key('endless.0.0.0')
    leader.report()
    leader.wait_usable()
    orders = leader.peer().orders
    for run in range(1, count + 1):
        orders.plan(task, _orders.Order(run, '', '', ''))
        assert leader.machine.assign(str(task), run)
        with leader.peer()._state.lock:
            orders.mark_listed(task, run, '')
            orders.get(task, run).enter(_orders.OrderPhase.LISTED)
        end = jobs.RunEnd(task, run, jobs.RunOutcome.FAILED)
        leader.workers.record((end,))


def test_failures_of_a_lasting_task_at_work_do_not_suspend_its_worker(
    leader, monkeypatch
):
    """Regression test: it was suspended for ever longer (LOST)."""
    monkeypatch.setattr(_workers, 'AT_WORK_MS', 0)
    _fail_endless_runs(leader, 6)
    assert leader.term.health.consecutive_failures(W1) == 0
    assert not leader.term.health.suspended(W1, 0)
    assert not leader.term.failed_on


def test_a_worker_that_fails_lasting_tasks_at_once_is_suspended(leader):
    _fail_endless_runs(leader, 3)
    assert leader.term.health.consecutive_failures(W1) == 3
    assert leader.term.health.suspended(W1, 0)
