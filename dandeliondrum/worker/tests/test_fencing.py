"""Tests of fencing: refused or stopped attempts never start later."""

import threading

import pytest

from dandeliondrum import messages
from dandeliondrum import worker
from dandeliondrum.worker import _attempt
from dandeliondrum.worker import _attempt_table
from dandeliondrum.worker import _fence
from dandeliondrum.worker import _reports
from dandeliondrum.worker.tests import _harness

Kind = worker.EventKind
State = messages.AttemptState


@pytest.fixture
def harness():
    with _harness.running() as running:
        yield running


def assert_never_starts(harness, attempt_id, **fields):
    reply = harness.start(attempt_id, **fields)
    assert (reply.status, reply.refused) == (409, 'fenced')
    assert attempt_id not in {
        each.attempt_id for each in harness.events(Kind.START)
    }


def test_a_start_for_another_incarnation_is_refused_for_good(harness):
    reply = harness.start('team/a#1', incarnation='older', token=5)
    assert (reply.status, reply.refused) == (409, 'incarnation')
    assert_never_starts(harness, 'team/a#1', token=5)


def test_an_attempt_stopped_before_its_start_never_starts(harness):
    assert harness.client.stop('team/a#1').state == 'never_started'
    assert_never_starts(harness, 'team/a#1')


def test_a_fenced_attempt_is_reported_as_never_started(harness):
    harness.gateway.reply_with(stop=('team/a#1',))
    heartbeat = harness.gateway.wait_for_heartbeat(
        lambda each: each.fenced, 5_000
    )
    assert heartbeat.fenced == ('team/a#1',)
    assert [(each.attempt_id, each.state) for each in heartbeat.ended] == [
        ('team/a#1', State.NEVER_STARTED)
    ]
    assert_never_starts(harness, 'team/a#1')
    harness.gateway.reply_with(acknowledged=('team/a#1',))
    assert harness.gateway.wait_for_heartbeat(
        lambda each: not each.fenced and not each.ended,
        5_000,
        after_ms=worker.now_ms(),
    )
    assert_never_starts(harness, 'team/a#1')


def test_a_running_attempt_is_fenced_only_after_it_has_stopped(harness):
    harness.start('team/a#1', body={'hang': True})
    harness.gateway.reply_with(stop=('team/a#1',))
    heartbeat = harness.gateway.wait_for_heartbeat(
        lambda each: each.fenced, 5_000
    )
    assert heartbeat.running == ()
    assert [each.state for each in heartbeat.ended] == [State.STOPPED]
    assert harness.events(Kind.END)[0].reason == 'requested'
    assert harness.start('team/a#1').state == 'stopped'


def test_a_lower_token_of_the_same_task_is_refused(harness):
    harness.start('team/a#2', token=20, wait_ms=5_000)
    reply = harness.start('team/a#1', token=10)
    assert (reply.status, reply.refused) == (409, 'fenced')
    assert harness.start('team/b#1', token=10, wait_ms=5_000).status == 200
    assert harness.start('team/a#3', token=30, wait_ms=5_000).status == 200


@pytest.mark.parametrize('wanted', ['slots', 'memory'])
def test_starts_beyond_capacity_are_refused_and_recorded(harness, wanted):
    big = messages.Resources(1_000, 20_000)
    small = messages.Resources(1_000, 1_000)
    if wanted == 'slots':
        harness.start('team/x#1', body={'hang': True}, resources=small)
    harness.start('team/y#1', body={'hang': True}, resources=big)
    reply = harness.start('team/a#1', resources=big)
    assert (reply.status, reply.refused) == (409, 'full')
    assert harness.events(Kind.OVERLOAD)[0].attempt_id == 'team/a#1'
    harness.client.stop('team/x#1')
    harness.client.stop('team/y#1')
    assert_never_starts(harness, 'team/a#1', token=3)


def test_a_leaving_worker_refuses_starts_and_finishes_attempts(harness):
    harness.start('team/a#1', body={'run_ms': 300, 'echo': 'done'})
    harness.worker.leave()
    reply = harness.start('team/b#1')
    assert (reply.status, reply.refused) == (409, 'leaving')
    assert harness.client.fetch('team/a#1', 5_000).state == 'finished'
    assert harness.gateway.leaving_workers == ('w1',)
    assert harness.gateway.wait_for_heartbeat(lambda each: each.leaving, 5_000)
    harness.wait_for_event(Kind.LEAVING_ACKNOWLEDGED)
    harness.gateway.reply_with(acknowledged=('team/a#1',))
    assert harness.worker.wait_idle(5_000)


def test_a_fenced_attempt_without_stored_state_is_reported_as_lost(harness):
    harness.start('team/a#1', token=5, wait_ms=5_000)
    harness.client.drop('team/a#1')
    harness.gateway.reply_with(acknowledged=('team/a#1',))
    assert harness.gateway.wait_for_heartbeat(
        lambda each: not each.ended, 5_000, after_ms=worker.now_ms()
    )
    reply = harness.start('team/a#1', token=5)
    assert (reply.status, reply.refused) == (410, 'gone')
    harness.gateway.reply_with(stop=('team/a#1',))
    heartbeat = harness.gateway.wait_for_heartbeat(
        lambda each: each.fenced, 5_000
    )
    assert [each.state for each in heartbeat.ended] == [State.LOST]
    assert len(harness.events(Kind.START)) == 1


def test_announcing_again_drops_attempts_and_changes_incarnation(harness):
    before = harness.worker.incarnation
    harness.start('team/a#1', body={'hang': True})
    harness.start('team/b#1', wait_ms=5_000)
    harness.gateway.reply_with(announce_again=True)
    harness.wait_for_event(Kind.END, count=2)
    harness.gateway.reply_with()
    facts = harness.gateway.wait_for_announcement(5_000, count=2)
    assert facts.incarnation == harness.worker.incarnation != before
    late = harness.start('team/c#1', incarnation=before)
    assert (late.status, late.refused) == (409, 'incarnation')
    assert harness.client.fetch('team/b#1').status == 404


def test_the_token_of_an_evicted_task_becomes_a_lower_bound():
    fence = _fence.Fence(tasks_max=2)
    for token, task_id in enumerate('abc', start=1):
        fence.record_token(
            messages.TaskId(task_id), messages.FencingToken(token)
        )
    assert fence.is_fenced('a#1', 'a', 1)
    assert fence.is_fenced('new#1', 'new', 1)
    assert not fence.is_fenced('new#1', 'new', 2)


def test_too_many_tombstones_overflow_the_fence():
    fence = _fence.Fence(tombstones_max=1)
    fence.add_tombstone('a#1')
    assert not fence.overflowed
    fence.add_tombstone('b#1')
    assert fence.overflowed


def test_a_fenced_attempt_has_its_end_in_the_same_heartbeat(monkeypatch):
    # The leader takes a fenced attempt without an end for one that never
    # started. Here ``stop`` is patched to make the attempt slow to stop: it
    # ends while a heartbeat is being built, after the ended attempts were
    # listed.
    stopped, end_attempt = threading.Event(), threading.Event()
    stop = _attempt.Attempt.stop
    unacknowledged = _attempt_table.AttemptTable.unacknowledged

    def stop_when_allowed(attempt, reason):
        stopped.set()
        late = threading.Thread(
            target=lambda: (end_attempt.wait(5), stop(attempt, reason))
        )
        late.start()

    def list_then_end_attempt(attempts):
        ends = unacknowledged(attempts)
        if stopped.is_set():
            end_attempt.set()
            attempts.find('team/a#1').ended.wait(0.5)
        return ends

    monkeypatch.setattr(_attempt.Attempt, 'stop', stop_when_allowed)
    monkeypatch.setattr(
        _attempt_table.AttemptTable, 'unacknowledged', list_then_end_attempt
    )
    with _harness.running(heartbeat_ms=20) as harness:
        harness.start('team/a#1', body={'run_ms': 9_000})
        harness.gateway.reply_with(stop=('team/a#1',))
        heartbeat = harness.gateway.wait_for_heartbeat(
            lambda each: each.fenced, 5_000
        )
        assert heartbeat.running == ()
        assert [each.attempt_id for each in heartbeat.ended] == ['team/a#1']


def test_fenced_ends_come_first_when_there_are_too_many(monkeypatch):
    monkeypatch.setattr(_reports, 'HEARTBEAT_REPORTS_MAX', 2)
    with _harness.running(heartbeat_ms=20) as harness:
        attempt_ids = [f'team/r{number}#1' for number in range(4)]
        for attempt_id in attempt_ids:
            harness.start(attempt_id, wait_ms=5_000)
        harness.gateway.reply_with(stop=tuple(attempt_ids[2:]))
        heartbeat = harness.gateway.wait_for_heartbeat(
            lambda each: each.fenced, 5_000
        )
        assert [each.attempt_id for each in heartbeat.ended] == attempt_ids[2:]
