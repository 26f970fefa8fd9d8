"""Enforcement of evacuations by the state machine, the leader and the cell."""

import contextlib
import dataclasses
import threading

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _snapshots
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import test_cell
from dandeliondrum.jobs.tests import test_scheduler
from dandeliondrum import messages
from dandeliondrum import testing

DOMAIN = messages.FailureDomain('d1')
OTHER = messages.FailureDomain('d2')


@pytest.fixture
def machine():
    return helpers.Machine()


@pytest.fixture
def node(machine):
    return helpers.LocalNode(machine)


@pytest.fixture
def leadership(machine, node):
    return helpers.new_leadership(machine, node)


def _change(leadership, evacuated=True, after_index=0):
    message = _calls.DomainChange(DOMAIN, evacuated, after_index)
    return leadership.handle(None, message)


def test_no_run_is_assigned_in_an_evacuated_domain(machine):
    machine(_commands.SubmitJob(helpers.job('j', helpers.step(2))))
    assert machine.assign('j.0.0.0')
    machine(_commands.EvacuateDomain(DOMAIN))
    assert not machine.assign('j.0.0.1')
    # A run that was assigned before is not ended.
    assert machine.task('j.0.0.0').worker_id == 'w1'
    index = machine.state.evacuations.last_index(DOMAIN)
    machine(_commands.RestoreDomain(DOMAIN, index))
    assert machine.assign('j.0.0.1')


def test_a_worker_belongs_to_the_domain_of_its_newest_report(machine):
    machine(_commands.EvacuateDomain(DOMAIN))
    machine(_commands.SubmitJob(helpers.job('j', helpers.step())))
    moved = helpers.facts('w1', failure_domain=OTHER, started_ms=2)
    machine(_commands.PutWorker(moved))
    assert machine.assign('j.0.0.0')


def test_evacuations_are_part_of_snapshots(machine):
    machine(_commands.EvacuateDomain(DOMAIN))
    copy = helpers.Machine(())
    copy.state.restore(machine.state.snapshot())
    assert copy.state.evacuations.orders == machine.state.evacuations.orders
    copy(_commands.SubmitJob(helpers.job('j', helpers.step())))
    assert not copy.assign('j.0.0.0')


def test_a_snapshot_of_an_earlier_version_has_no_evacuations(machine):
    snapshot = messages.decode(machine.state.snapshot()).unwrap()
    fields = [field.name for field in dataclasses.fields(snapshot)]
    # Fields with their default value are omitted when they are encoded.
    assert fields[-1] == 'domain_orders' and not snapshot.domain_orders
    machine(_commands.EvacuateDomain(DOMAIN))
    _snapshots.read(machine.state, messages.encode(snapshot))
    assert not machine.state.evacuations.domains


def test_an_order_is_acknowledged_only_once_it_is_committed(leadership, node):
    node.holds = True
    reply = _change(leadership)
    assert not reply.done()
    node.release()
    assert reply.result(0).domains == {DOMAIN}


def test_an_order_that_the_log_refuses_is_not_acknowledged(leadership, node):
    node.refuses = True
    reply = _change(leadership).result(0)
    assert isinstance(reply, messages.CallFailed) and reply.not_done


def test_a_repeated_order_is_acknowledged_again(leadership, machine):
    first = _change(leadership).result(0)
    assert _change(leadership).result(0) == first
    index = machine.state.evacuations.last_index(DOMAIN)
    assert not _change(leadership, False, index).result(0).domains
    assert not _change(leadership, False, index).result(0).is_outdated
    query = leadership.handle(None, _calls.DomainQuery()).result(0)
    assert query.orders == machine.state.evacuations.orders


def test_an_order_that_was_held_up_on_a_link_has_no_effect(
    leadership, machine
):
    """A delayed revocation would undo an evacuation acknowledged since."""
    _change(leadership)
    first_index = machine.state.evacuations.last_index(DOMAIN)
    _change(leadership, False, first_index)
    _change(leadership, True, machine.state.evacuations.last_index(DOMAIN))
    assert _change(leadership, False, first_index).result(0).is_outdated
    assert machine.state.evacuations.domains == {DOMAIN}


def test_a_round_places_tasks_outside_of_evacuated_domains():
    leader = test_scheduler.Leader()
    moved = helpers.facts('w2', failure_domain=OTHER)
    leader.machine(_commands.PutWorker(moved, 1))
    leader.term.peers['w2'].facts = moved
    leader.machine(_commands.EvacuateDomain(OTHER))
    leader.machine(
        _commands.SubmitJob(helpers.job('k', helpers.step(12, cpu=500)))
    )
    for _ in range(3):
        leader.scheduler.run_round(threading.Event())
    placed_on = [run.worker_id for run in leader.proposed_runs()]
    assert len(placed_on) >= 6 and set(placed_on) == {'w1'}


def test_a_plan_made_before_an_evacuation_is_not_registered():
    leader = test_scheduler.Leader()
    plan = leader.scheduler._plan

    def evacuate_meanwhile(inputs):
        groups = plan(inputs)
        leader.machine(_commands.EvacuateDomain(DOMAIN))
        return groups

    leader.scheduler._plan = evacuate_meanwhile
    leader.scheduler.run_round(threading.Event())
    assert leader.proposed_runs() == []
    assert all(
        peer.orders.get(test_scheduler.TASK, 1) is None
        for peer in leader.term.peers.values()
    )


def test_the_adviser_is_not_asked_about_evacuated_workers():
    leader = test_scheduler.Leader()
    document = helpers.document(2, advised=True)
    leader.machine(_commands.PutPolicy(2, document))
    leader.machine(_commands.EvacuateDomain(DOMAIN))
    asked = []
    leader.scheduler._advice_requester._call = lambda request, policy: (
        asked.append(request) or True
    )
    leader.scheduler.run_round(threading.Event())
    assert asked == []


@pytest.fixture
def cell(tmp_path):
    """A cell whose worker w0 alone is in another domain."""
    with contextlib.ExitStack() as resources:
        made = test_cell.Cell(tmp_path, resources)
        made.fleet[0].facts = dataclasses.replace(
            made.fleet[0].facts, failure_domain=OTHER
        )
        made.open()
        yield made


def _order(cell, domain, evacuated, controller=None):
    """Send an order until it is acknowledged."""
    return testing.wait_until(
        lambda: (
            (controller or cell.any_controller())
            .change_domain(domain, evacuated, 900, 'operator', 'test')
            .value_or(None)
        ),
        test_cell.DOCUMENT_ACK_MAX_MS,
    )


def _run(cell, name, tasks_count=6):
    cell.submit(name, helpers.step(tasks_count))
    cell.wait_done(name)


def test_an_acknowledged_order_holds_after_the_loss_of_the_leader(cell):
    """The next leader must neither start tasks there nor forget the order."""
    _order(cell, DOMAIN, True)
    cell.crash(cell.wait_leader())
    _run(cell, 'j')
    assert not cell.fleet[1].starts and not cell.fleet[2].starts
    again = _order(cell, DOMAIN, True)
    assert again.domains == {DOMAIN} and len(again.orders) == 1
    _order(cell, DOMAIN, False)
    _run(cell, 'k', 12)
    assert cell.fleet[1].starts and cell.fleet[2].starts


def test_an_acknowledged_order_survives_a_restart_of_all_controllers(cell):
    _order(cell, DOMAIN, True)
    for controller_id, _ in cell.founders:
        cell.stop(controller_id)
    for controller_id, address in cell.founders:
        cell.start(controller_id, address)
    cell.wait_leader()
    _run(cell, 'j')
    assert not cell.fleet[1].starts and not cell.fleet[2].starts


def test_a_follower_forwards_orders_and_knows_the_newest(cell):
    leader_id = cell.wait_leader()
    follower = next(
        one for name, one in cell.controllers.items() if name != leader_id
    )
    for evacuated in (True, False, True, False, True):
        reply = _order(cell, OTHER, evacuated, follower)
        assert (OTHER in reply.domains) is evacuated
    listed = follower.evacuated_domains(900).unwrap()
    (order,) = listed.orders
    assert (order.origin.requested_by, order.origin.reason) == (
        'operator',
        'test',
    )
    assert order.origin.requested_unix_ms


def test_no_order_is_acknowledged_without_a_quorum(cell):
    leader_id = cell.wait_leader()
    leader = cell.controllers[leader_id]
    for name in list(cell.controllers):
        if name != leader_id:
            cell.crash(name)
    failure = leader.change_domain(DOMAIN, True, 900).failure()
    assert isinstance(failure, jobs.Unavailable)


def test_a_task_whose_worker_is_lost_starts_outside_of_the_domain(cell):
    for worker in cell.fleet:
        worker.run_ms = 1_000
    cell.submit('j', helpers.step(6))
    testing.wait_until(lambda: len(cell.starts()) == 6)
    _order(cell, DOMAIN, True)
    lost = cell.fleet[1]
    assert lost.running()
    starts_counts = [len(worker.starts) for worker in cell.fleet]
    lost.silent = True
    cell.wait_done('j')
    assert len(cell.fleet[0].starts) > starts_counts[0]
    assert [len(worker.starts) for worker in cell.fleet[1:]] == (
        starts_counts[1:]
    )
