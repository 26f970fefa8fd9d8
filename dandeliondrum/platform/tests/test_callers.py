"""What callers are answered without a call to the leader."""

import pytest

from dandeliondrum import gateway
from dandeliondrum.platform import _callers
from dandeliondrum.platform import _documents
from dandeliondrum import testing
from dandeliondrum import utils

JOB = '/r1/00000000000000a1'
THREADS_COUNT = 2
ARRIVAL_MS = 3_000


class StubGateway:
    """Knows a policy, and whether the leader confirmed it."""

    def __init__(self):
        self.policy = _documents.decode(testing.document())
        self.is_current = True

    def wait_for_policy(self, timeout_ms):
        return self.policy

    def policy_is_current(self):
        return self.is_current


@pytest.fixture
def stub():
    return StubGateway()


@pytest.fixture
def address(stub):
    timers = utils.TimerService()
    timers.start()
    server = gateway.Server(
        ('127.0.0.1', 0),
        gateway.Application(
            _callers.Callers(stub).routes(), gateway.Metrics()
        ),
        THREADS_COUNT,
        timers,
        ARRIVAL_MS,
    )
    server.open()
    host, port = server.bind_addr[:2]
    yield f'{host}:{port}'
    server.drain(0)
    timers.close()


def status_of(address, path):
    headers = {'Host': 'nony24.example', 'Authorization': 'Token other'}
    return testing.call(f'http://{address}{path}', headers=headers).status


def test_a_confirmed_policy_refuses_for_good(address):
    assert status_of(address, JOB) == 401
    assert status_of(address, '/none/00000000000000a1') == 404


def test_a_policy_that_may_be_old_refuses_nobody_for_good(stub, address):
    """A queue or a key may have been added since."""
    stub.is_current = False
    assert status_of(address, JOB) == 503
    assert status_of(address, '/none/00000000000000a1') == 503
