"""Large policies on the narrow link of a gateway."""

import concurrent.futures
import contextlib
import dataclasses
import hashlib
import json
import time

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import test_cell
from dandeliondrum import messages
from dandeliondrum import testing

LINK_BYTES_PER_SECOND = 250_000
# 15 Mbit/s.
REGION_BYTES_PER_SECOND = 1_875_000
# A policy has to be in force this long after its acknowledgement.
APPLY_MAX_MS = 3_000
READS_COUNT = 8
READ_TIMEOUT_MS = 900
NARROW = messages.GatewayId('narrow')


def large_document(version, routes_count=1_920):
    """Return a document as long as one with this many routes."""
    routes = [
        {
            'Name': f'r-{_digits(version, number, 6)}',
            'Host': f'{_digits(0, number % 20, 8)}.example',
            'PathPrefix': f'/{_digits(0, number, 7)}/',
            'Type': 'non_idempotent',
            'TimeoutMs': 3000 + version,
            'TargetLatencyMs': 1200,
            'Priority': 1,
            'Service': 'pool',
            'MaxAttempts': 4,
            'Stretch': 2.2,
        }
        for number in range(routes_count)
    ]
    fields = {'version': version, 'advised': False, 'routes': routes}
    return json.dumps(fields).encode()


def _digits(version, number, count):
    text = f'{version}.{number}'.encode()
    return hashlib.sha256(text).hexdigest()[:count]


@pytest.fixture
def cell(tmp_path):
    with contextlib.ExitStack() as resources:
        cell = test_cell.Cell(tmp_path, resources)
        cell.open()
        yield cell


def new_narrow_gateway(cell):
    """Return a gateway that receives through one link of 2 Mbit/s."""
    pacer = testing.Pacer(LINK_BYTES_PER_SECOND)
    controllers = []
    for controller_id, address in cell.founders:
        proxy = cell.resources.enter_context(testing.Proxy(address))
        proxy.change(delay_ms=10, backward_pacer=pacer)
        controllers.append((controller_id, proxy.address))
    link = jobs.LinkOptions(
        NARROW,
        test_cell.CELL,
        test_cell.REGION,
        test_cell.DOMAIN,
        tuple(controllers),
    )
    gateway = jobs.JobGateway(
        jobs.GatewayOptions(link), cell.adviser, helpers.decode_policy
    )
    gateway.start()
    cell.resources.callback(gateway.close)
    return gateway


def test_a_gateway_on_a_narrow_link_registers_under_a_large_policy(cell):
    cell.change_document(2, large_document(2))
    gateway = new_narrow_gateway(cell)
    testing.wait_until(gateway.has_leader, APPLY_MAX_MS)
    testing.wait_until(lambda: gateway.policy.version == 2, APPLY_MAX_MS)


def test_large_policies_in_quick_succession_do_not_cost_a_gateway_its_leader(
    cell,
):
    gateway = new_narrow_gateway(cell)
    testing.wait_until(lambda: gateway.policy.version == 1)
    for version in range(2, 7):
        cell.change_document(version, large_document(version))
    acknowledged_s = time.monotonic()
    while gateway.policy.version < 6:
        assert gateway.has_leader()
        assert time.monotonic() - acknowledged_s < APPLY_MAX_MS / 1000
        time.sleep(0.02)


def test_a_gateway_gets_some_version_while_policies_keep_changing(cell):
    gateway = new_narrow_gateway(cell)
    testing.wait_until(lambda: gateway.policy.version == 1)
    begin_s = time.monotonic()
    version = 1
    while time.monotonic() - begin_s < APPLY_MAX_MS / 1000:
        version += 1
        cell.change_document(version, large_document(version))
        time.sleep(0.05)
    assert gateway.policy.version > 1


class RegionalCell(test_cell.Cell):
    """A cell whose processes share the bandwidth of one link to the leader."""

    def _link(self, name):
        pacer = testing.Pacer(REGION_BYTES_PER_SECOND)
        controllers = []
        for controller_id, address in self.founders:
            proxy = self.resources.enter_context(testing.Proxy(address))
            proxy.change(delay_ms=20, backward_pacer=pacer)
            controllers.append((controller_id, proxy.address))
        return dataclasses.replace(
            super()._link(name), controllers=tuple(controllers)
        )


def test_concurrent_reads_of_a_large_policy_are_answered_in_time(tmp_path):
    with contextlib.ExitStack() as resources:
        cell = RegionalCell(tmp_path, resources)
        cell.open()
        document = large_document(2)
        cell.change_document(2, document)
        followers = cell.controllers.keys() - {cell.leader()}
        follower = cell.controllers[min(followers)]
        testing.wait_until(
            lambda: (
                follower.calls.link.is_answering()
                and follower.state.active_document.version == 2
            )
        )
        pool = resources.enter_context(
            concurrent.futures.ThreadPoolExecutor(READS_COUNT)
        )
        reads = [
            pool.submit(follower.read_document, READ_TIMEOUT_MS)
            for _ in range(READS_COUNT)
        ]
        texts = {read.result().unwrap().document for read in reads}
        assert texts == {document}
