"""Tests of replies to callers that need no call to the leader."""

import json

import pytest
from returns import result

from dandeliondrum import gateway
from dandeliondrum import http_server
from dandeliondrum import jobs
from dandeliondrum.platform import _caller_api
from dandeliondrum.platform import _documents
from dandeliondrum import testing

JOB = '/r1/00000000000000a1'
THREADS_COUNT = 2
REQUEST_READ_TIMEOUT_MS = 3_000


class StubGateway:
    """Stub of a gateway with a policy that is confirmed or not."""

    def __init__(self):
        self.policy = _documents.decode(testing.document())
        self.is_current = True
        self.failure = jobs.Unavailable('overloaded', True, 2_500)

    def submit(self, spec, timeout_ms):
        return result.Failure(self.failure)

    def wait_for_policy(self, timeout_ms):
        return self.policy

    def policy_is_current(self):
        return self.is_current


@pytest.fixture
def stub():
    return StubGateway()


@pytest.fixture
def address(stub):
    limits = http_server.Limits(
        header_bytes_max=16_384,
        body_bytes_max=1_000_000,
        arrival_ms=REQUEST_READ_TIMEOUT_MS,
    )
    server = gateway.Server(
        ('127.0.0.1', 0),
        gateway.Application(
            _caller_api.CallerApi(stub).routes(), gateway.Metrics()
        ),
        THREADS_COUNT,
        limits,
        http_server.ByteBudget(10_000_000),
    )
    server.open()
    host, port = server.bind_addr[:2]
    yield f'{host}:{port}'
    server.drain(0)


def status_of(address, path):
    headers = {'Host': 'nony24.example', 'Authorization': 'Token other'}
    return testing.call(f'http://{address}{path}', headers=headers).status


def test_confirmed_policy_refuses_permanently(address):
    assert status_of(address, JOB) == 401
    assert status_of(address, '/none/00000000000000a1') == 404


def test_unconfirmed_policy_refuses_with_retryable_error(stub, address):
    """A queue or key may have been added since; 404 or 401 would be wrong."""
    stub.is_current = False
    assert status_of(address, JOB) == 503
    assert status_of(address, '/none/00000000000000a1') == 503


def submit(address):
    body = {'Spec': 'x', 'Steps': [{'Count': 1, 'Cpu': 1, 'MemMb': 1}]}
    return testing.call(
        f'http://{address}{JOB}',
        'POST',
        json.dumps(body).encode(),
        {'Host': 'nony24.example', 'Authorization': 'Token k1'},
    )


def test_an_overloaded_leader_refuses_with_the_time_to_retry(stub, address):
    reply = submit(address)
    assert reply.status == 503
    assert reply.headers['retry-after'] == '3'


def test_a_refusal_after_an_unanswered_attempt_is_in_doubt(stub, address):
    stub.failure = jobs.Unavailable('overloaded', False, 2_500)
    assert submit(address).status == 504
