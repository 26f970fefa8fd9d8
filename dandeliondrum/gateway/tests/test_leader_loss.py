"""Tests of a gateway whose leader is lost, unresponsive or missing."""

import contextlib
import itertools
import time

import pytest

from dandeliondrum.gateway import _leader_link
from dandeliondrum.gateway.tests import fakes
from dandeliondrum import messages
from dandeliondrum import transport


def get_readiness(gw):
    return fakes.call(gw.callers_address, 'GET', '/readyz')


def test_a_task_is_submitted_again_when_the_leader_is_lost_before_its_start(
    worker,
):
    with (
        contextlib.closing(fakes.Leader('c1')) as old,
        contextlib.closing(fakes.Leader('c2', term=2)) as new,
    ):
        new.start_on(worker)
        with fakes.serving(old.address, new.address) as gw:
            call = fakes.BackgroundCall(fakes.run, gw, Request_Id='r1')
            fakes.wait_until(lambda: old.received_of(messages.SubmitTasks))
            old.close()
            reply = call.result()
    assert (reply.status, reply.body) == (200, b'echo:lens')
    (first,) = old.received_of(messages.SubmitTasks)
    (second,) = new.received_of(messages.SubmitTasks)
    assert first.tasks[0].task_id == second.tasks[0].task_id
    assert second.tasks[0].timeout_ms <= first.tasks[0].timeout_ms


def test_an_answer_arrives_although_the_leader_is_lost_after_the_start(
    worker,
):
    with (
        contextlib.closing(fakes.Leader('c1')) as old,
        contextlib.closing(fakes.Leader('c2', term=2)) as new,
    ):
        worker.on_start = lambda _seen: (
            old.close() or fakes.ended(b'all the same')
        )
        old.start_on(worker)
        with fakes.serving(old.address, new.address) as gw:
            assert fakes.run(gw).body == b'all the same'
            # The report that the old leader missed is sent to the new one.
            fakes.wait_until(new.reports)
    assert new.reports()[0].state is messages.AttemptState.FINISHED


def test_a_report_is_sent_again_until_it_is_confirmed(gw, leader, worker):
    tries = itertools.count()
    leader.replies[messages.ReportAttempts] = lambda _call: (
        messages.CallFailed('not now', False)
        if next(tries) < 2
        else messages.Done()
    )
    leader.start_on(worker)
    fakes.run(gw)
    fakes.wait_until(lambda: len(leader.reports()) == 3)
    assert len({report.attempt_id for report in leader.reports()}) == 1


def test_leader_that_stops_answering_heartbeats_is_replaced(worker):
    with (
        contextlib.closing(fakes.Leader('c1')) as unresponsive,
        contextlib.closing(fakes.Leader('c2', term=2)) as new,
    ):
        new.not_leader = messages.NotLeader()
        with fakes.serving(unresponsive.address, new.address) as gw:
            unresponsive.silent = True
            # The stream stays open and pings continue; only heartbeats fail.
            fakes.wait_until(lambda: not gw.ready())
            assert get_readiness(gw).status == 503
            new.not_leader = None
            new.start_on(worker)
            assert fakes.run(gw).status == 200


# Slows the search down, but not the busy machine that runs the tests.
SLOWDOWN = 10


@pytest.fixture
def slow_search(monkeypatch):
    for name in (
        'CONNECT_TIMEOUT_MS',
        'LATE_LEADER_WAIT_MS',
        'REGISTER_TIMEOUT_MS',
        'ROUND_PAUSE_MS',
        'UNRESPONSIVE_SKIP_MS',
    ):
        usual_ms = getattr(_leader_link, name)
        monkeypatch.setattr(_leader_link, name, SLOWDOWN * usual_ms)


def test_a_silent_leader_does_not_hold_up_the_search_for_its_successor(
    slow_search,
):
    with (
        contextlib.closing(fakes.Leader('c1')) as unresponsive,
        contextlib.closing(fakes.Leader('c2', term=2)) as new,
    ):
        new.not_leader = messages.NotLeader(messages.ControllerId('c1'))
        with fakes.serving(unresponsive.address, new.address) as gw:
            unresponsive.silent = True
            fakes.wait_until(lambda: new.received_of(messages.RegisterGateway))
            asked_count = len(
                unresponsive.received_of(messages.RegisterGateway)
            )
            # Several rounds pass before the successor is elected.
            fakes.wait_until(
                lambda: len(new.received_of(messages.RegisterGateway)) == 3
            )
            new.not_leader = None
            fakes.wait_until(gw.ready)
            assert (
                len(unresponsive.received_of(messages.RegisterGateway))
                == asked_count
            )


def test_unresponsive_port_is_skipped(leader):
    with contextlib.closing(fakes.UnresponsivePort()) as unresponsive:
        with fakes.serving(unresponsive.address, leader.address):
            assert unresponsive.accepted


def test_a_hint_is_followed_to_the_configured_address():
    with (
        contextlib.closing(fakes.Leader('c1')) as follower,
        contextlib.closing(fakes.Leader('c3')) as leading,
    ):
        follower.not_leader = messages.NotLeader(
            messages.ControllerId('c3'), fakes.free_port()
        )
        # The second controller is down; the hint leads to the third.
        with fakes.serving(
            follower.address, fakes.free_port(), leading.address
        ):
            assert leading.received_of(messages.RegisterGateway)


def test_a_hint_to_a_controller_outside_the_settings_is_followed():
    with (
        contextlib.closing(fakes.Leader('c1')) as follower,
        contextlib.closing(fakes.Leader('c9')) as leading,
    ):
        follower.not_leader = messages.NotLeader(
            messages.ControllerId('c9'), leading.address
        )
        with fakes.serving(follower.address):
            assert leading.received_of(messages.RegisterGateway)


def test_gateway_leaves_a_deposed_leader_for_its_successor(worker):
    with (
        contextlib.closing(fakes.Leader('c1')) as old,
        contextlib.closing(fakes.Leader('c2', term=2)) as new,
    ):
        new.start_on(worker)
        with fakes.serving(old.address, new.address) as gw:
            old.not_leader = messages.NotLeader(messages.ControllerId('c2'))
            assert fakes.run(gw).status == 200


@pytest.mark.parametrize(
    ('headers', 'outcome'),
    [
        ({}, 'refused_not_run'),
        ({'Request_Id': 'r1', 'First_Sending': 'true'}, 'refused_not_run'),
        ({'Request_Id': 'r1'}, 'in_doubt'),
        ({'Request_Id': 'r1', 'First_Sending': 'false'}, 'in_doubt'),
    ],
)
def test_without_a_leader_only_a_new_id_is_reported_as_not_run(
    headers, outcome
):
    with fakes.serving(fakes.free_port(), wait=False) as gw:
        reply = fakes.run(gw, Timeout_Ms=50, **headers)
    assert reply.outcome == outcome
    assert reply.status == (503 if outcome == 'refused_not_run' else 502)


@pytest.mark.parametrize(
    ('answer', 'outcome'),
    [
        (transport.CallFuture, 'in_doubt'),
        (lambda: messages.CallFailed('why', False), 'in_doubt'),
        (lambda: messages.CallFailed('why', True), 'refused_not_run'),
        (lambda: messages.NotLeader(), 'refused_not_run'),
        (lambda: messages.Done(), 'in_doubt'),
    ],
    ids=['unanswered', 'call_failed', 'not_done', 'not_leader', 'done'],
)
def test_outcome_of_a_submission_without_a_status(leader, answer, outcome):
    leader.on_submit = lambda *_: answer()
    with fakes.serving(leader.address) as gw:
        reply = fakes.run(
            gw, Timeout_Ms=50, Request_Id='r1', First_Sending='true'
        )
    assert reply.outcome == outcome


def test_a_stream_lost_after_a_submit_leaves_it_in_doubt(leader):
    def on_submit(connection, _call):
        connection.close()
        leader.not_leader = messages.NotLeader()
        return messages.Done()

    leader.on_submit = on_submit
    with fakes.serving(leader.address) as gw:
        reply = fakes.run(
            gw, Timeout_Ms=200, Request_Id='r1', First_Sending='true'
        )
    assert reply.outcome == 'in_doubt'


def test_a_gateway_is_ready_only_with_a_leader():
    with contextlib.closing(fakes.Leader()) as late:
        late.not_leader = messages.NotLeader()
        with fakes.serving(late.address, wait=False) as gw:
            reply = get_readiness(gw)
            assert reply.status == 503
            assert reply.json()['detail'] == 'no leader answers'
            assert (
                fakes.call(gw.operators_address, 'GET', '/healthz').status
                == 200
            )
            late.not_leader = None
            fakes.wait_until(lambda: get_readiness(gw).status == 200)


def test_the_rules_version_of_a_push_is_in_the_next_heartbeats(gw, leader):
    leader.push(messages.RulesPush(messages.RulesVersion(9), ''))
    fakes.wait_until(
        lambda: any(
            heartbeat.rules_version == 9
            for heartbeat in leader.received_of(messages.GatewayHeartbeat)[-1:]
        )
    )


def test_a_stop_does_not_wait_for_a_leader():
    began_s = time.monotonic()
    with fakes.serving(fakes.free_port(), wait=False):
        pass
    assert time.monotonic() - began_s < fakes.WAIT_S
