"""Use of the leader's locks by heartbeats and planning rounds."""

import concurrent.futures
import threading
from unittest import mock

import pytest
from returns import result

from dandeliondrum import jobs
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _leadership
from dandeliondrum.jobs import _metrics
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _scheduler
from dandeliondrum.jobs import _term
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages
from dandeliondrum import utils

TIMEOUT_S = 5
OPTIONS = jobs.LeaderOptions(
    messages.ControllerId('c1'), 1_000, 1_500, 60_000, 3
)


class Node:
    """A log whose proposals are applied at once."""

    def __init__(self, machine):
        self._machine = machine

    def is_leading(self):
        return True

    def propose(self, command):
        self._machine.index += 1
        value = self._machine.state.apply(self._machine.index, command)
        return utils.completed_future(result.Success(value))

    def status(self):
        return mock.Mock(addresses=lambda: ())


class Peer:
    """A worker that answers."""

    def __init__(self, worker_id):
        self.facts = helpers.facts(worker_id)
        self.orders = _orders.OrderBook(threading.RLock())

    def usable(self):
        return True

    def list_age_ms(self):
        return 0


@pytest.fixture
def machine():
    return helpers.Machine(('w1', 'w2'))


@pytest.fixture
def term(machine):
    term = _term.Term(
        OPTIONS,
        messages.Term(1),
        machine.state,
        Node(machine),
        None,
        None,
        _metrics.Metrics(),
    )
    for worker_id in machine.state.workers:
        term.peers[worker_id] = Peer(worker_id)
    return term


def _in_thread(function):
    """Return the result of a function that another thread calls."""
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        return executor.submit(function).result(TIMEOUT_S)


def _is_free(lock):
    acquired = lock.acquire(blocking=False)
    if acquired:
        lock.release()
    return acquired


def test_a_heartbeat_is_answered_while_the_locks_are_held(machine):
    leadership = _leadership.Leadership(
        OPTIONS,
        messages.Term(1),
        machine.state,
        Node(machine),
        None,
        None,
        _metrics.Metrics(),
        utils.TimerService(),
    )
    heartbeat = messages.GatewayHeartbeat(messages.RulesVersion(1))
    answered = threading.Event()

    def send_heartbeat():
        reply = leadership.handle(None, heartbeat)
        answered.set()
        return reply

    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        with machine.state.lock:
            replied = executor.submit(send_heartbeat)
            in_time = answered.wait(TIMEOUT_S)
        assert in_time
        assert replied.result().rules_version == 1


def _plan_with(during):
    """Patch the planner to call a function in each round first."""
    plan = _planner.plan

    def observed(*arguments):
        during()
        return plan(*arguments)

    return mock.patch.object(_planner, 'plan', observed)


def test_a_round_plans_without_holding_the_locks(machine, term):
    machine(_commands.SubmitJob(helpers.job('j', helpers.step(3))))
    free = []

    def look():
        locks = (term.lock, term.state.lock)
        free.append(
            [_in_thread(lambda one=one: _is_free(one)) for one in locks]
        )

    with _plan_with(look):
        _scheduler.Scheduler(term).run_round(threading.Event())
    assert free == [[True, True]]
    assert machine.task('j.0.0.2').phase.value == 'assigned'


def test_what_changed_during_planning_is_left_out(machine, term):
    machine(_commands.SubmitJob(helpers.job('gone', helpers.step(1))))
    machine(_commands.SubmitJob(helpers.job('kept', helpers.step(1))))

    def cancel():
        machine(_commands.CancelJob(jobs.JobId('gone')))

    with _plan_with(cancel):
        _scheduler.Scheduler(term).run_round(threading.Event())
    assert machine.task('gone.0.0.0').run == 0
    assert machine.task('kept.0.0.0').run == 1
    gone = jobs.parse_task_key('gone.0.0.0')
    assert all(
        peer.orders.get(gone, 1) is None for peer in term.peers.values()
    )


def test_a_worker_that_left_during_planning_gets_no_run(machine, term):
    machine(_commands.SubmitJob(helpers.job('j', helpers.step(1))))

    def leave():
        for worker_id in list(term.peers):
            del term.peers[worker_id]

    scheduler = _scheduler.Scheduler(term)
    with _plan_with(leave):
        scheduler.run_round(threading.Event())
    assert machine.task('j.0.0.0').run == 0


def test_a_worker_that_shrank_during_planning_is_not_overloaded(machine, term):
    machine(_commands.SubmitJob(helpers.job('j', helpers.step(1, 4_000))))

    def restart():
        for worker_id in ('w1', 'w2'):
            facts = helpers.facts(worker_id, cpu=1_000, started_ms=2)
            machine(_commands.PutWorker(facts))
            term.peers[worker_id].facts = facts

    with _plan_with(restart):
        _scheduler.Scheduler(term).run_round(threading.Event())
    for worker in machine.state.workers.values():
        used = worker.used.cpu_millicores
        assert used <= worker.facts.capacity.cpu_millicores


def test_a_worker_that_announced_its_end_during_planning_gets_no_run(
    machine, term
):
    machine(_commands.SubmitJob(helpers.job('j', helpers.step(1))))

    def leave():
        for peer in term.peers.values():
            peer.usable = lambda: False

    with _plan_with(leave):
        _scheduler.Scheduler(term).run_round(threading.Event())
    assert machine.task('j.0.0.0').run == 0


def test_planning_leaves_three_quarters_of_the_time_to_others(machine, term):
    machine(_commands.SubmitJob(helpers.job('j', helpers.step(1))))
    scheduler = _scheduler.Scheduler(term)
    assert scheduler.pause_ms() == _scheduler.ROUND_MIN_MS
    with _plan_with(lambda: threading.Event().wait(0.02)):
        scheduler.run_round(threading.Event())
    assert 60 <= scheduler.pause_ms() <= _scheduler.ROUND_MAX_MS
    scheduler.run_round(threading.Event())
    assert scheduler.pause_ms() == _scheduler.ROUND_MIN_MS
