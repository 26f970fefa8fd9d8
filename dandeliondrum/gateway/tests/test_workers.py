"""Tests of the calls of workers."""

import json

import pytest

from dandeliondrum.gateway.tests import fakes
from dandeliondrum import messages

FACTS = {
    'worker_id': 'lathe-1',
    'incarnation': 'a1',
    'address': '127.0.0.1:7100',
    'region': 'gulf',
    'failure_domain': 'sattahip',
    'rack': 's-1',
    'resources': {'cpu_millicores': 16_000, 'memory_mb': 32_768},
    'slots_count': 8,
    'connections_count': 64,
}


@pytest.fixture
def leader(shared_leader):
    shared_leader.reset()
    return shared_leader


@pytest.fixture
def gw(leader, shared_gateway):
    fakes.wait_until(shared_gateway.ready)
    return shared_gateway


def heartbeat(number=1, **changes):
    return {
        'worker_id': f'lathe-{number}',
        'incarnation': 'a1',
        'running': [],
        **changes,
    }


def post(gw, call, value):
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    return fakes.call(gw.workers_address, 'POST', f'/v1/workers/{call}', body)


@pytest.mark.parametrize('body', [FACTS, {'facts': FACTS}])
def test_a_worker_is_announced_to_the_leader(gw, leader, body):
    reply = post(gw, 'announce', body)
    assert reply.status == 200
    (announced,) = leader.received_of(messages.AnnounceWorker)
    assert announced.facts.slots_count == 8
    assert announced.facts.resources == messages.Resources(16_000, 32_768)


@pytest.mark.parametrize(
    ('change', 'named'),
    [
        ({'slots_count': 0}, 'slots_count'),
        ({'slots_count': '8'}, 'int expected'),
        ({'slots_count': True}, 'int expected'),
        ({'address': 'lathe.example:7100'}, 'lathe.example'),
        ({'address': '127.0.0.1'}, 'host:port'),
        ({'address': '127.0.0.1:70000'}, '70000'),
        ({'resources': {'cpu_millicores': -1, 'memory_mb': 1}}, 'cpu'),
        ({'resources': [1, 2]}, 'object'),
        ({'colour': 'red'}, 'colour'),
        ({'incarnation': 'a\r\nToken: 7'}, 'not a valid name'),
    ],
)
def test_invalid_facts_are_rejected(gw, leader, change, named):
    reply = post(gw, 'announce', {**FACTS, **change})
    assert reply.status == 400
    assert named in reply.json()['detail']
    assert leader.received_of(messages.AnnounceWorker) == []


def test_a_missing_field_is_named(gw):
    facts = {name: FACTS[name] for name in FACTS if name != 'rack'}
    reply = post(gw, 'announce', facts)
    assert reply.status == 400
    assert 'rack' in reply.json()['detail']


@pytest.mark.parametrize('body', [b'', b'{', b'[]', b'[' * 100_000, b'\xff'])
def test_body_that_is_not_a_json_object_is_rejected(gw, body):
    reply = post(gw, 'heartbeat', body)
    assert reply.status == 400
    assert reply.json()['reason'] == 'bad_request'


def test_concurrent_heartbeats_are_batched(gw, leader):
    calls = [
        fakes.BackgroundCall(post, gw, 'heartbeat', heartbeat(number))
        for number in range(8)
    ]
    for number, call in enumerate(calls):
        assert call.result().json()['worker_id'] == f'lathe-{number}'
    sent = leader.received_of(messages.WorkerHeartbeats)
    assert sum(len(call.heartbeats) for call in sent) == 8
    assert len(sent) < 8


def test_a_heartbeat_carries_usage_and_ends(gw, leader):
    reply = post(
        gw,
        'heartbeat',
        heartbeat(
            running=[
                {
                    'attempt_id': 'bureau/r1#1',
                    'used': {'cpu_millicores': 5, 'memory_mb': 6},
                }
            ],
            ended=[{'attempt_id': 'bureau/r0#1', 'state': 'finished'}],
            fenced=['bureau/r2#1'],
        ),
    )
    assert reply.status == 200
    (sent,) = leader.received_of(messages.WorkerHeartbeats)[0].heartbeats
    assert sent.running[0].used == messages.Resources(5, 6)
    assert sent.ended[0].state is messages.AttemptState.FINISHED
    assert sent.fenced == ('bureau/r2#1',)


def test_leaving_worker_is_reported_to_the_leader(gw, leader):
    reply = post(gw, 'leave', {'worker_id': 'lathe-1', 'incarnation': 'a1'})
    assert reply.status == 200
    assert (
        leader.received_of(messages.WorkerHeartbeats)[0].heartbeats[0].leaving
    )


def test_a_heartbeat_the_leader_leaves_unanswered_gets_503(gw, leader):
    leader.silent = True
    reply = post(gw, 'heartbeat', heartbeat())
    assert reply.status == 503


def test_heartbeats_without_a_leader_get_503():
    with fakes.serving(fakes.free_port(), wait=False) as gw:
        assert post(gw, 'heartbeat', heartbeat()).status == 503
        assert post(gw, 'announce', FACTS).status == 503


def test_reply_for_another_worker_is_discarded(gw, leader):
    leader.on_heartbeats = lambda _call: messages.WorkerHeartbeatReplies(
        (messages.WorkerHeartbeatReply(messages.WorkerId('other')),)
    )
    assert post(gw, 'heartbeat', heartbeat()).status == 503
