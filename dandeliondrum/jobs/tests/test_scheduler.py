"""Assignments that the log applies late."""

import threading

from returns import result

from dandeliondrum import jobs
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _term
from dandeliondrum.jobs.tests import test_leadership
from dandeliondrum import messages

leadership = test_leadership.leadership
node = test_leadership.node

TASK = jobs.parse_task_key('j.0.0.0')


class FakePeer:
    """Worker of which only the order book matters."""

    def __init__(self):
        self.orders = _orders.OrderBook(threading.RLock())

    def list_age_ms(self):
        return 0


def _commit(leadership, monkeypatch):
    """Propose a run whose order is planned; the log does not answer."""
    monkeypatch.setattr(_term, 'PROPOSE_TIMEOUT_MS', 20)
    peer = leadership._term.peers['w1'] = FakePeer()
    peer.orders.plan(TASK, _orders.Order(1, 'payload', '', ''))
    run = _commands.RunAssignment(TASK, 1, messages.WorkerId('w1'))
    leadership._scheduler._commit(((run,),))
    return peer


def test_a_run_that_the_log_assigns_late_is_started(
    leadership, node, monkeypatch
):
    peer = _commit(leadership, monkeypatch)
    assert peer.orders.next(0) is None
    node.proposals[0].set_result(result.Success((True,)))
    assert peer.orders.next(0) == TASK


def test_a_second_assignment_that_is_refused_keeps_the_order_of_the_first(
    leadership, node, monkeypatch
):
    peer = _commit(leadership, monkeypatch)
    node.proposals[0].set_result(result.Success((True,)))
    run = _commands.RunAssignment(TASK, 1, messages.WorkerId('w1'))
    leadership._scheduler._dispatch(run, assigned=False)
    assert peer.orders.next(0) == TASK
    assert peer.orders.get(TASK, 1) is not None


def test_a_run_that_the_log_refuses_late_is_dropped(
    leadership, node, monkeypatch
):
    peer = _commit(leadership, monkeypatch)
    node.proposals[0].set_result(result.Success((False,)))
    assert peer.orders.next(0) is None
    assert peer.orders.get(TASK, 1) is None
