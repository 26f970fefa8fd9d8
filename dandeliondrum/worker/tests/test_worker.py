"""A worker takes starts, answers them and reports their ends."""

import hashlib
import json

import pytest

from dandeliondrum import messages
from dandeliondrum import worker
from dandeliondrum.worker.tests import _rig

Kind = worker.EventKind
State = messages.AttemptState


@pytest.fixture
def rig():
    with _rig.running() as running:
        yield running


def test_a_start_is_answered_with_the_echo_of_its_body(rig):
    reply = rig.start(body={'run_ms': 5, 'echo': 'prism'}, wait_ms=5_000)
    assert (reply.status, reply.state) == (200, 'finished')
    assert json.loads(reply.body) == {
        'echo': 'prism',
        'task_id': 'team/r1',
        'attempt_id': 'team/r1#1',
        'worker_id': 'w1',
    }
    digest = hashlib.sha256(reply.body).hexdigest()
    assert reply.headers['answer-digest'] == digest


def test_the_same_start_sent_again_starts_nothing_anew(rig):
    body = {'run_ms': 200, 'echo': 'once'}
    first = rig.start(body=body, token=7)
    again = rig.start(body=body, token=7, wait_ms=5_000)
    assert (first.status, again.status) == (202, 200)
    assert len(rig.events(Kind.START)) == 1


def test_an_end_is_reported_until_it_is_acknowledged(rig):
    rig.start(body={'echo': 'kept'}, durable=True, wait_ms=5_000)
    beat = rig.gateway.wait_for_beat(lambda each: each.ended, 5_000)
    (report,) = beat.ended
    assert report.state is State.FINISHED
    assert json.loads(report.answer.body)['echo'] == 'kept'
    assert rig.client.fetch('team/r1#1').status == 200
    rig.gateway.tell(acknowledged=('team/r1#1',), release=('team/r1#1',))
    now_ms = worker.now_ms()
    assert rig.gateway.wait_for_beat(
        lambda each: not each.ended, 5_000, after_ms=now_ms
    )
    assert rig.client.fetch('team/r1#1').status == 404
