"""Evacuated failure domains of the product's own engine."""

import pytest

from dandeliondrum.controller import _state
from dandeliondrum.controller.tests import builders
from dandeliondrum.controller.tests import test_heartbeats
from dandeliondrum import messages

DOMAIN = messages.FailureDomain('songkhla')
OPERATOR = messages.OperatorId('anna')


@pytest.fixture
def leader():
    made = test_heartbeats.SingleWorkerLeader()
    made.heartbeat()
    made.heartbeats.check()
    return made


def _order(leader, evacuated=True, after_index=0, domain=DOMAIN):
    call = messages.ChangeDomain(
        domain, evacuated, after_index, OPERATOR, 'power work'
    )
    reply = leader.leadership._operators.handle(call)
    return reply if not hasattr(reply, 'result') else reply.result(0)


def _show(leader):
    (view,) = leader.leadership._operators._domains.show().domains
    return view


def _eligible(leader):
    fleet = leader.context.planner._ledger.fleet
    return fleet.workers[test_heartbeats.WORKER].eligible


def _assign(leader, name):
    """Return whether the state machine takes an assignment."""
    assignment = builders.assignment(builders.spec(name))
    command = messages.AssignTasks(0, (assignment,))
    outcome = leader.log.propose(messages.encode(command)).result()
    return outcome.unwrap()[0].attempt is not None


def test_nothing_is_assigned_in_an_evacuated_domain(leader):
    assert _assign(leader, 'a')
    assert _order(leader) == messages.Done()
    assert not _eligible(leader)
    assert not _assign(leader, 'b')
    view = _show(leader)
    # A running attempt goes on.
    assert (view.evacuated, view.running_count) == (True, 1)
    assert (view.operator_id, view.reason) == (OPERATOR, 'power work')
    assert _order(leader, False, view.index) == messages.Done()
    assert _eligible(leader)
    assert _assign(leader, 'b')


def test_a_repeated_order_is_acknowledged_and_an_outdated_one_is_not(leader):
    assert _order(leader) == _order(leader) == messages.Done()
    index = _show(leader).index
    assert _order(leader, False, index) == messages.Done()
    assert _order(leader, True, _show(leader).index) == messages.Done()
    late = _order(leader, False, index)
    assert isinstance(late, messages.CallFailed) and late.not_done
    assert _show(leader).evacuated


def test_an_order_is_acknowledged_only_once_it_is_committed(leader):
    leader.log.stalled = True
    call = messages.ChangeDomain(DOMAIN, True, 0, OPERATOR, '')
    assert not leader.leadership._operators.handle(call).done()
    leader.log.stalled, leader.log.refuses = False, True
    refused = _order(leader)
    assert isinstance(refused, messages.CallFailed) and refused.not_done


def test_an_unknown_domain_and_a_long_reason_are_refused(leader):
    unknown = _order(leader, domain=messages.FailureDomain('nowhere'))
    assert unknown.not_done and 'songkhla' in unknown.reason
    call = messages.ChangeDomain(DOMAIN, True, 0, OPERATOR, 501 * 'x')
    assert leader.leadership._operators.handle(call).not_done
    assert not leader.state.evacuations.orders


def test_a_start_that_was_assigned_before_an_evacuation_is_not_sent(leader):
    attempt_id = leader.assign('a')
    attempt = leader.state.tasks['harbour/a'].attempt
    _order(leader)
    leader.leadership._dispatch._send(attempt)
    task = leader.state.tasks['harbour/a']
    assert task.attempt is None and not task.may_have_run
    assert leader.context.metrics.withheld._value.get() == 1
    assert attempt_id == attempt.attempt_id


def test_evacuations_are_part_of_snapshots(leader):
    _order(leader)
    copy = _state.CellState()
    copy.restore(leader.state.snapshot())
    assert copy.evacuations.orders == leader.state.evacuations.orders
    assert copy.is_evacuated(builders.facts())


def test_a_snapshot_of_an_earlier_version_has_no_evacuations():
    copy = _state.CellState()
    # Fields with their default value are omitted when they are encoded.
    copy.restore(_state.CellState().snapshot())
    assert not copy.evacuations.domains
