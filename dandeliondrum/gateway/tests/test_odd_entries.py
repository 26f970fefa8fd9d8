"""Odd announcements and heartbeats of workers are refused one by one."""

import json
import math
import random

import pytest
from returns import result

from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _json_codec
from dandeliondrum.gateway import _worker_client
from dandeliondrum.gateway import _worker_handlers
from dandeliondrum import messages
from dandeliondrum import transport

FACTS = {
    'worker_id': 'w1',
    'incarnation': 'a',
    'address': '10.0.0.1:80',
    'region': 'gulf',
    'failure_domain': 'd1',
    'rack': 'r1',
    'resources': {
        'cpu_millicores': 1_000,
        'memory_mb': 10,
        'accelerators_count': 0,
    },
    'slots_count': 8,
    'connections_count': 64,
}
HEARTBEAT = {
    'worker_id': 'w1',
    'incarnation': 'a',
    'running': [{'attempt_id': 'h/t#1', 'used': FACTS['resources']}],
    'ended': [
        {
            'attempt_id': 'h/t#2',
            'state': 'failed',
            'detail': 'text',
            'run_ms': 5,
        }
    ],
    'fenced': ['h/t#3'],
    'leaving': False,
}
SURROGATE = '\ud800'
ODD_VALUES = (
    None,
    True,
    -1,
    0,
    1.5,
    2**63,
    -(2**70),
    math.inf,
    '',
    '９',
    SURROGATE,
    'x' * 10_000,
    [],
    {},
    [[]],
)


@pytest.mark.parametrize(
    'address',
    [
        'h:99999',
        'h:0',
        'a b:80',
        '10.0.0.1:８０',
        '10.0.0.1:²',
        f'{SURROGATE}:80',
        '10.0.0.1',
        '10.0.0.1:',
        '10.0.0.1:' + '9' * 5_000,
    ],
)
def test_an_announcement_with_an_odd_address_is_refused(address):
    call = _json_codec.structure(
        {'facts': {**FACTS, 'address': address}}, messages.AnnounceWorker
    )
    checked = call.bind(_worker_handlers._check_facts)
    assert isinstance(checked, result.Failure)
    assert checked.failure().status == 400


@pytest.mark.parametrize(
    'text', ['a b:80', 'h:８０', 'h:65536', ':80', 'h:', 'h']
)
def test_an_address_that_is_none_is_refused(text):
    with pytest.raises(ValueError):
        transport.parse_address(text)


@pytest.mark.parametrize(
    'text, parsed',
    [
        ('10.0.0.1:0', ('10.0.0.1', 0)),
        ('[::1]:65535', ('::1', 65_535)),
        ('localhost:80', ('localhost', 80)),
    ],
)
def test_sound_addresses_are_parsed(text, parsed):
    assert transport.parse_address(text) == parsed


def _mutate(rng, value):
    """Replace or remove something at a random place."""
    if rng.random() < 0.3 or not isinstance(value, list | dict) or not value:
        return rng.choice(ODD_VALUES)
    if isinstance(value, list):
        return [_mutate(rng, value[0]), *value[1:]]
    key = rng.choice(sorted(value))
    if rng.random() < 0.1:
        return {name: one for name, one in value.items() if name != key}
    return {**value, key: _mutate(rng, value[key])}


@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize(
    'kind, sound',
    [
        (messages.AnnounceWorker, {'facts': FACTS}),
        (messages.WorkerHeartbeat, HEARTBEAT),
    ],
)
def test_what_is_accepted_can_be_relayed_with_others(kind, sound, seed):
    """Regression test: no heartbeat of a batch with an odd one was relayed."""
    assert isinstance(_json_codec.structure(sound, kind), result.Success)
    rng = random.Random(seed)
    for _ in range(200):
        body = json.dumps(_mutate(rng, sound)).encode()
        parsed = _http._parse_object(body)
        accepted = parsed.bind(lambda data: _json_codec.structure(data, kind))
        if isinstance(accepted, result.Failure):
            assert accepted.failure().status == 400
            continue
        message = accepted.unwrap()
        if kind is messages.WorkerHeartbeat:
            message = messages.WorkerHeartbeats((message,))
        assert messages.decode(messages.encode(message)).unwrap() == message


@pytest.mark.parametrize(
    'address, header',
    [
        ('h:99999', 'v'),
        ('a b:80', 'v'),
        ('10.0.0.1:８０', 'v'),
        ('127.0.0.1:9', 'v\r\nX: y'),
        ('127.0.0.1:9', SURROGATE),
    ],
)
def test_a_call_that_can_not_be_made_is_not_sent(address, header):
    """Regression test: the calling thread failed."""
    client = _worker_client.WorkerClient(1)
    request = _worker_client.WorkerRequest(
        'POST', address, '/', 500, (('Name', header),), b'', timeout_ms=500
    )
    outcome = client.call(request)
    client.close()
    assert isinstance(outcome, _worker_client.NotSent)
