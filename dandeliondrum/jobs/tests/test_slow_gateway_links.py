"""Tests of gateways whose link needs seconds for the whole policy."""

import base64
import contextlib
import json
import random

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import test_cell
from dandeliondrum import messages
from dandeliondrum import testing

LINK_BYTES_PER_S = 250_000
# The link needs 1.6 s for the document.
DOCUMENT_BYTES = 400_000
TRANSFER_MAX_MS = 5_000
CALLER_TIMEOUT_MS = 2_850


def large_document(version):
    """Return a document that can't be compressed by much."""
    noise = random.Random(version).randbytes(DOCUMENT_BYTES * 3 // 4)
    fields = json.loads(helpers.document(version))
    fields['noise'] = base64.b64encode(noise).decode()
    return json.dumps(fields).encode()


class SlowLinkCell(test_cell.Cell):
    """A cell whose gateways reach the controllers over one slow link."""

    def new_gateway(self, name):
        self.proxies = []
        proxied = []
        for controller_id, address in self.founders:
            proxy = self.resources.enter_context(testing.Proxy(address))
            self.proxies.append(proxy)
            proxied.append((controller_id, proxy.address))
        self.limit_link(LINK_BYTES_PER_S)
        gateway = jobs.JobGateway(
            jobs.GatewayOptions(
                jobs.LinkOptions(
                    messages.GatewayId(name),
                    test_cell.CELL,
                    test_cell.REGION,
                    test_cell.DOMAIN,
                    tuple(proxied),
                )
            ),
            self.adviser,
            helpers.decode_policy,
        )
        gateway.start()
        self.resources.callback(gateway.close)
        return gateway

    def limit_link(self, bytes_per_s):
        """Limit the bytes to the newest gateway."""
        pacer = testing.Pacer(bytes_per_s)
        for proxy in self.proxies:
            proxy.set(testing.Faults(backward_pacer=pacer))


@pytest.fixture
def cell(tmp_path):
    with contextlib.ExitStack() as resources:
        cell = SlowLinkCell(tmp_path, resources)
        cell.wait_leader()
        yield cell


def query(gateway):
    return gateway.query(
        jobs.JobId('unknown'), helpers.TEAM, CALLER_TIMEOUT_MS
    )


def test_a_gateway_registers_although_its_link_is_slow_for_the_policy(cell):
    """The transfer took longer than a registration, and began anew."""
    cell.change_document(1, large_document(1))
    gateway = cell.new_gateway('g2')
    testing.wait_until(gateway.has_leader, TRANSFER_MAX_MS)
    assert query(gateway).unwrap() is None
    testing.wait_until(lambda: gateway.policy.version == 1, TRANSFER_MAX_MS)


def test_queries_are_answered_while_large_policies_are_sent(cell):
    """Replies to heartbeats waited behind them, so the leader was given up."""
    cell.change_document(1, helpers.document(1))
    testing.wait_until(lambda: cell.gateway.policy.version == 1)
    for version in (2, 3, 4):
        cell.change_document(version, large_document(version))
    answers = []
    while cell.gateway.policy.version < 4 and len(answers) < 1_000:
        answers.append(query(cell.gateway))
    assert not [one for one in answers if one.value_or(True) is not None]
    assert cell.gateway.policy.version == 4


def test_a_gateway_that_still_reads_a_policy_does_not_call_it_current(cell):
    cell.change_document(1, helpers.document(1))
    testing.wait_until(cell.gateway.policy_is_current)
    # Slower than the time after which an unconfirmed policy may be outdated.
    cell.limit_link(LINK_BYTES_PER_S // 3)
    cell.change_document(2, large_document(2))
    testing.wait_until(lambda: not cell.gateway.policy_is_current())
    assert cell.gateway.has_leader()
    assert cell.gateway.policy.version == 1
    testing.wait_until(cell.gateway.policy_is_current, 3 * TRANSFER_MAX_MS)
    assert cell.gateway.policy.version == 2
