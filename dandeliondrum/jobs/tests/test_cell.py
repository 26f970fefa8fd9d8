"""Controllers and a gateway over loopback, with in-memory workers."""

import contextlib
import dataclasses
import time

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages
from dandeliondrum import testing

CELL = messages.CellId('test')
REGION = messages.Region('gulf')
DOMAIN = messages.FailureDomain('d1')
RUN_MS = 60
DOCUMENT_ACK_MAX_MS = 6_000
# Longer than any test waits.
LONG_LEASE_MS = 60_000


class Cell:
    """Three controllers that form a cell, and one gateway."""

    def __init__(
        self,
        folder,
        resources,
        election_min_ms=300,
        lease_ms=1_000,
        workers_count=3,
    ):
        self.folder = folder
        self.election_min_ms = election_min_ms
        self.lease_ms = lease_ms
        self.resources = resources
        self.adviser = testing.FakeAdviser()
        self.fleet = [
            testing.FakeWorker(
                f'w{number}', messages.Resources(4_000, 1_000), RUN_MS
            )
            for number in range(workers_count)
        ]
        ids = [messages.ControllerId(f'c{number}') for number in range(3)]
        addresses = testing.free_addresses(len(ids))
        self.founders = tuple(zip(ids, addresses, strict=True))
        self.controllers = {}
        for controller_id, address in self.founders:
            self.start(controller_id, address, may_found=True)
        self.gateway = self.new_gateway('g1')

    def new_gateway(self, name):
        gateway = jobs.JobGateway(
            jobs.GatewayOptions(self._link(name)),
            self.adviser,
            helpers.decode_policy,
        )
        gateway.start()
        self.resources.callback(gateway.close)
        return gateway

    def _link(self, name):
        return jobs.LinkOptions(
            messages.GatewayId(name), CELL, REGION, DOMAIN, self.founders
        )

    def start(self, controller_id, address, may_found=False, folder=None):
        controller = jobs.JobController(
            jobs.ControllerOptions(
                self._link(controller_id),
                jobs.LeaderOptions(
                    controller_id,
                    self.lease_ms,
                    self.lease_ms * 3 // 2,
                    60_000,
                    3,
                ),
                jobs.MembershipOptions(
                    controller_id, address, self.founders, may_found
                ),
                address,
                self.folder / (folder or controller_id),
                election_min_ms=self.election_min_ms,
                election_max_ms=2 * self.election_min_ms,
            ),
            jobs.Ports(testing.FakeFleet(self.fleet), self.adviser),
            helpers.decode_policy,
        )
        controller.start().unwrap()
        self.controllers[controller_id] = controller
        self.resources.callback(self.stop, controller_id)
        return controller

    def stop(self, controller_id):
        controller = self.controllers.pop(controller_id, None)
        if controller is not None:
            controller.close()

    def crash(self, controller_id):
        """Stop a controller without a transfer of leadership."""
        controller = self.controllers.pop(controller_id)
        controller.node.close()
        self.resources.callback(controller.close)

    def leader(self):
        for controller_id, controller in self.controllers.items():
            if controller.node.is_leading():
                return controller_id
        return None

    def wait_leader(self):
        return testing.wait_until(self.leader)

    def any_controller(self):
        return next(iter(self.controllers.values()))

    def open(self, advised=False):
        """Wait for a leader, activate a policy and register the workers."""
        self.wait_leader()
        self.change_document(1, helpers.document(1, advised))
        for number, worker in enumerate(self.fleet):
            self.report(worker, number + 1)
        testing.wait_until(lambda: self.gateway.policy.version == 1)

    def change_document(self, version, document):
        """Send a document until it is answered; return what is in force.

        The answer has to come within the time that operators are promised.
        """
        return testing.wait_until(
            lambda: (
                self.any_controller()
                .change_document(version, document, 1_000)
                .value_or(None)
            ),
            DOCUMENT_ACK_MAX_MS,
        )

    def read_document(self):
        return testing.wait_until(
            lambda: self.any_controller().read_document(1_000).value_or(None)
        )

    def report(self, worker, sequence, leaves_in_ms=None, controller=None):
        """Send a report until it is answered, by default to any controller."""
        testing.wait_until(
            lambda: (
                (controller or self.any_controller())
                .report_worker(
                    jobs.WorkerReport(worker.facts, sequence, leaves_in_ms),
                    1_000,
                )
                .value_or(None)
            )
        )

    def submit(self, name, *steps):
        spec = helpers.job(name, *steps, submitted_ms=1)
        return testing.wait_until(
            lambda: self.gateway.submit(spec, 2_000).value_or(None)
        )

    def phase(self, name):
        return self.gateway.query(name, helpers.TEAM, 1_000).value_or(None)

    def wait_done(self, name):
        testing.wait_until(lambda: self.phase(name) is jobs.JobPhase.DONE)

    def starts(self):
        return sorted(start for one in self.fleet for start in one.starts)


@pytest.fixture
def cell(tmp_path):
    with contextlib.ExitStack() as resources:
        yield Cell(tmp_path, resources)


def test_a_job_with_steps_runs_once(cell):
    cell.open()
    cell.submit('j', helpers.step(4), helpers.step(2, after=(0,)))
    cell.wait_done('j')
    names = [name for name, _ in cell.starts()]
    assert len(names) == len(set(names)) == 6


def test_a_queue_with_an_adviser_waits_for_its_grants(cell):
    cell.adviser.refused_ids.add('w0')
    cell.open(advised=True)
    cell.submit('j', helpers.step(6))
    cell.wait_done('j')
    assert cell.fleet[0].starts == []
    assert cell.adviser.requests


@pytest.fixture
def lasting_cell(tmp_path):
    """A cell in which no lease runs out while a leader is elected."""
    with contextlib.ExitStack() as resources:
        yield Cell(tmp_path, resources, lease_ms=LONG_LEASE_MS)


def test_jobs_go_on_after_the_leader_is_lost(lasting_cell):
    cell = lasting_cell
    cell.open()
    for worker in cell.fleet:
        worker.run_ms = 1_500
    cell.submit('j', helpers.step(3))
    testing.wait_until(lambda: len(cell.starts()) == 3)
    cell.crash(cell.wait_leader())
    cell.wait_done('j')
    assert cell.starts() == [(f'j.0.0.{index}', 1) for index in range(3)]
    cell.submit('k', helpers.step())
    cell.wait_done('k')


def test_tasks_of_an_unreachable_worker_are_reassigned(cell):
    cell.open()
    for worker in cell.fleet:
        worker.run_ms = 400
    cell.submit('j', helpers.step(9))
    testing.wait_until(lambda: cell.fleet[0].running())
    cell.fleet[0].silent = True
    cell.wait_done('j')


@pytest.mark.parametrize(
    'reason', [jobs.Refusal.NO_ROOM, jobs.Refusal.LEASE_PASSED]
)
def test_a_worker_that_refuses_all_starts_does_not_hold_a_task(cell, reason):
    refused = []

    def refuse(order, late=False):
        refused.append(order.worker.worker_id)
        return jobs.Refused(reason)

    cell.open()
    cell.fleet[0].start = refuse
    for name in ('j', 'k', 'l'):
        cell.submit(name, helpers.step())
        cell.wait_done(name)
    assert len(refused) <= 5


def test_a_stalled_run_is_moved_to_another_worker(cell):
    cell.open()
    for worker in cell.fleet:
        worker.stall_ms = 600_000
    cell.submit('j', helpers.step(expected_run_ms=RUN_MS))
    testing.wait_until(cell.starts)
    for worker in cell.fleet:
        worker.stall_ms = 0
    cell.wait_done('j')
    (first, second) = cell.starts()
    assert first == ('j.0.0.0', 1) and second[0] == 'j.0.0.0'
    assert not any(worker.running() for worker in cell.fleet)
    assert max(len(worker.starts) for worker in cell.fleet) == 1


def test_a_run_that_outlasts_its_draining_worker_is_moved(cell):
    cell.open()
    cell.fleet[0].run_ms = 600_000
    leaving = cell.fleet[0]
    leaving.facts = dataclasses.replace(
        leaving.facts, capacity=messages.Resources(8_000, 1_000)
    )
    cell.report(leaving, 10)
    # The job fits only on the first worker until another one gets more
    # capacity.
    cell.submit('j', helpers.step(cpu=6_000, expected_run_ms=600_000))
    testing.wait_until(lambda: leaving.starts)
    leaving.facts = dataclasses.replace(
        leaving.facts, phase=jobs.WorkerPhase.DRAINING
    )
    other = cell.fleet[1]
    other.facts = dataclasses.replace(
        other.facts, capacity=messages.Resources(8_000, 1_000)
    )
    cell.report(other, 11)
    cell.report(leaving, 12, leaves_in_ms=60_000)
    cell.wait_done('j')
    assert [len(worker.starts) for worker in cell.fleet] == [1, 1, 0]


def test_the_same_job_at_two_gateways_is_one_job(cell):
    cell.open()
    assert cell.submit('j', helpers.step()) is jobs.JobPhase.QUEUED
    cell.wait_done('j')
    assert cell.submit('j', helpers.step()) is jobs.JobPhase.DONE
    assert len(cell.starts()) == 1


def test_a_job_of_another_team_is_not_shown(cell):
    cell.open()
    cell.submit('j', helpers.step())
    other = messages.TeamId('other')
    assert cell.gateway.query('j', other, 1_000).unwrap() is None
    assert cell.gateway.cancel('j', other, 1_000).unwrap() is None


def test_a_gateway_without_a_leader_reports_that_nothing_was_done(cell):
    cell.open()
    for controller_id in list(cell.controllers):
        cell.stop(controller_id)
    spec = helpers.job('j', helpers.step())
    failure = cell.gateway.submit(spec, 2_000).failure()
    assert failure.not_done


def test_a_caller_waits_for_an_election_but_not_for_a_lost_cell(cell):
    cell.open()
    spec = helpers.job('j', helpers.step())
    for controller_id in list(cell.controllers):
        cell.crash(controller_id)
    first_ms = _time_ms(lambda: cell.gateway.submit(spec, 5_000).failure())
    assert first_ms >= 500
    later_ms = _time_ms(lambda: cell.gateway.submit(spec, 5_000).failure())
    assert later_ms < 200


def _time_ms(function):
    started_s = time.monotonic()
    function()
    return (time.monotonic() - started_s) * 1000


def test_a_controller_with_an_empty_disk_recovers_the_jobs(cell):
    cell.open()
    cell.submit('j', helpers.step())
    cell.wait_done('j')
    leader = cell.wait_leader()
    lost = next(one for one, _ in cell.founders if one != leader)
    address = dict(cell.founders)[lost]
    cell.stop(lost)
    again = cell.start(lost, address, folder='empty')
    testing.wait_until(lambda: again.state.jobs)
    assert again.state.jobs['j'].phase is jobs.JobPhase.DONE


def test_a_voter_that_was_removed_while_offline_rejoins(cell):
    """A removed controller does not receive the log entry that removed it."""
    cell.open()
    leader = cell.wait_leader()
    away = next(one for one, _ in cell.founders if one != leader)
    node = cell.controllers[leader].node
    testing.wait_until(
        lambda: node.remove_member(away).result(5).value_or(True) is None
    )
    testing.wait_until(
        lambda: any(
            one.controller_id == away and one.voter
            for one in node.status().members
        )
    )


def test_a_cancelled_job_stops(cell):
    cell.open()
    for worker in cell.fleet:
        worker.run_ms = 60_000
    cell.submit('j', helpers.step(2))
    testing.wait_until(lambda: len(cell.starts()) == 2)
    cancelled = cell.gateway.cancel('j', helpers.TEAM, 2_000).unwrap()
    assert cancelled is jobs.JobPhase.CANCELLED
    testing.wait_until(lambda: not any(one.running() for one in cell.fleet))


def test_an_older_policy_changes_nothing(cell):
    cell.open()
    newer = helpers.document(3)
    assert cell.change_document(3, newer).version == 3
    assert cell.change_document(2, helpers.document(2)).version == 3
    assert cell.read_document().document == newer
    testing.wait_until(lambda: cell.gateway.policy.version == 3)


def test_a_policy_is_current_while_a_leader_confirms_it(cell):
    assert not cell.gateway.policy_is_current()
    cell.open()
    assert cell.gateway.policy_is_current()
    for controller_id in list(cell.controllers):
        cell.stop(controller_id)
    testing.wait_until(lambda: not cell.gateway.policy_is_current())
    assert cell.gateway.policy.version == 1


def test_a_gateway_that_has_just_started_waits_for_its_first_policy(cell):
    """Regression test: callers used up their retries as power came back."""
    cell.open()
    gateway = cell.new_gateway('g2')
    assert gateway.wait_for_policy(timeout_ms=5_000).version == 1


def test_a_gateway_waits_no_longer_than_a_failover_for_a_policy(cell):
    for controller_id in list(cell.controllers):
        cell.stop(controller_id)
    gateway = cell.new_gateway('g2')
    started_s = time.monotonic()
    assert not gateway.wait_for_policy(timeout_ms=60_000).version
    assert time.monotonic() - started_s < 10
    started_s = time.monotonic()
    assert not gateway.wait_for_policy(timeout_ms=60_000).version
    assert time.monotonic() - started_s < 1
