"""Tests of leases, which begin when a heartbeat is sent."""

import contextlib
import itertools
import time

import pytest

from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum import utils
from dandeliondrum import worker
from dandeliondrum.worker import _attempt_table
from dandeliondrum.worker import _calls
from dandeliondrum.worker import _journal
from dandeliondrum.worker import _leases
from dandeliondrum.worker.tests import _harness

Kind = worker.EventKind
State = messages.AttemptState


def _call(arrived_ms, lease_ms):
    return _calls.StartCall(
        attempt_id=messages.AttemptId('team/a#1'),
        task_id=messages.TaskId('team/a'),
        token=messages.FencingToken(1),
        incarnation=messages.Incarnation(''),
        lease_ms=lease_ms,
        durable=False,
        team_id=messages.TeamId('team'),
        queue=messages.QueueName('lens'),
        resources=messages.Resources(1_000, 512),
        trace_parent='',
        body=b'',
        arrived_ms=arrived_ms,
    )


def test_renewed_leases_let_an_attempt_run_longer_than_one_lease():
    with _harness.running() as harness:
        reply = harness.start(
            body={'run_ms': 1_500}, lease_ms=700, wait_ms=9_000
        )
        assert reply.state == 'finished'


def test_an_expired_lease_stops_the_attempt():
    with _harness.running() as harness:
        harness.gateway.answering = False
        reply = harness.start(body={'hang': True}, lease_ms=300, wait_ms=9_000)
        assert (reply.status, reply.state) == (200, 'stopped')
        end = harness.wait_for_event(Kind.END)
        assert (end.state, end.reason) == (State.STOPPED, 'lease')
        (start,) = harness.events(Kind.START)
        assert end.expired_ms <= end.at_ms
        assert end.expired_ms - start.at_ms <= 300


def test_late_replies_do_not_extend_leases():
    # Each reply takes 700 ms. The next reply therefore arrives 1,400 ms after
    # the previous answered heartbeat was sent, so a lease of 900 ms expires.
    with _harness.running() as harness:
        harness.gateway.answer_delay_ms = 700
        sent_before = len(harness.gateway.heartbeats)
        assert testing.wait_for(
            lambda: len(harness.gateway.heartbeats) >= sent_before + 2,
            _harness.TIMEOUT_MS,
        )
        reply = harness.start(
            body={'run_ms': 4_000}, lease_ms=900, wait_ms=9_000
        )
        assert reply.state == 'stopped'
        assert harness.wait_for_event(Kind.END).reason == 'lease'


def test_each_attempt_has_its_own_lease():
    with _harness.running() as harness:
        harness.gateway.answering = False
        harness.start('team/long#1', body={'run_ms': 900}, lease_ms=60_000)
        harness.start('team/short#1', body={'hang': True}, lease_ms=200)
        short = harness.client.fetch('team/short#1', wait_ms=9_000)
        long = harness.client.fetch('team/long#1', wait_ms=9_000)
        assert (short.state, long.state) == ('stopped', 'finished')


def test_a_renewal_after_expiry_does_not_extend_the_lease():
    # The reply to a heartbeat arrives between the stop of an attempt and its
    # end, which can happen right after the process was frozen.
    with contextlib.closing(utils.TimerService()) as timers:
        timers.start()
        leases = _leases.Leases(timers, lambda: None)
        journal = _journal.Journal(messages.WorkerId('w1'), '')
        attempts = _attempt_table.AttemptTable(
            _harness.options(), journal, leases, lambda _: None, lambda _: None
        )
        arrived_ms = worker.now_ms()
        leases.record_answered_heartbeat(arrived_ms)
        attempt = attempts.start(_call(arrived_ms, lease_ms=20))
        time.sleep(0.05)
        attempts.stop_expired()
        leases.record_answered_heartbeat(worker.now_ms())
        attempts.finish(attempt, State.FINISHED, b'', '')
    (end,) = [one for one in journal.events() if one.kind is Kind.END]
    assert (end.state, end.reason) == (State.STOPPED, 'lease')
    assert end.expired_ms == arrived_ms + 20


@pytest.mark.parametrize('stops', [(), ('team/r1#1',)])
def test_a_renewal_before_the_timer_does_not_extend_an_expired_lease(
    monkeypatch, stops
):
    # After a freeze, the timer may run later than the next heartbeat.
    monkeypatch.setattr(_leases.Leases, 'schedule', lambda *_: None)
    with _harness.running() as harness:
        harness.gateway.answering = False
        harness.start(body={'hang': True}, lease_ms=300)
        time.sleep(0.4)
        harness.gateway.reply_with(stop=stops)
        harness.gateway.answering = True
        reply = harness.client.fetch('team/r1#1', wait_ms=9_000)
        end = harness.wait_for_event(Kind.END)
    (start,) = harness.events(Kind.START)
    assert reply.state == 'stopped'
    assert end.reason == 'lease'
    assert end.expired_ms - start.at_ms <= 300


def test_an_end_after_the_lease_counts_as_stopped():
    # The attempt finishes at about the time at which its lease expires, so
    # that both orders occur over several runs.
    with _harness.running(slots_count=1) as harness:
        harness.gateway.answering = False
        for number in range(5):
            attempt_id = f'team/r{number}#1'
            harness.start(attempt_id, body={'run_ms': 60}, lease_ms=60)
            harness.client.fetch(attempt_id, wait_ms=9_000)
        ends = harness.events(Kind.END)
        assert len(ends) == 5
        starts = {each.attempt_id: each for each in harness.events(Kind.START)}
        for end in ends:
            ran_ms = end.at_ms - starts[end.attempt_id].at_ms
            assert end.state is State.STOPPED or ran_ms < 60


def test_starts_are_refused_when_the_last_renewal_is_too_old():
    with _harness.running() as harness:
        assert harness.gateway.wait_for_heartbeat(
            lambda _: True, _harness.TIMEOUT_MS
        )
        harness.gateway.answering = False
        numbers = itertools.count()

        def refused():
            reply = harness.start(f'team/r{next(numbers)}#1')
            return reply.refused == 'stale_lease'

        assert testing.wait_for(refused, _harness.TIMEOUT_MS)
        last_ms = harness.gateway.heartbeats[-1].at_ms
        first = harness.events(Kind.REFUSED)[0]
        assert first.at_ms - last_ms >= worker.START_FRESHNESS_MS - 1_000
        harness.gateway.answering = True
        assert testing.wait_for(
            lambda: harness.start(f'team/r{next(numbers)}#1').status != 409,
            _harness.TIMEOUT_MS,
        )
