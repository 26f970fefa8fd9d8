"""Tests of the calls of operators and the metrics collector."""

import hashlib
import json

import pytest

from dandeliondrum.gateway import _operator_handlers
from dandeliondrum.gateway.tests import fakes
from dandeliondrum import messages

KEY_DIGEST = hashlib.sha256(b'secret').hexdigest()
SHOWN = messages.RulesShown(
    messages.RulesVersion(3),
    'text',
    ((messages.GatewayId('g1'), messages.RulesVersion(3)),),
    (),
)


@pytest.fixture
def leader(shared_leader):
    shared_leader.reset()
    return shared_leader


@pytest.fixture
def gw(leader, shared_gateway):
    fakes.wait_until(shared_gateway.ready)
    return shared_gateway


def ask(gw, method, path, body=b'', **headers):
    names = {name.replace('_', '-'): text for name, text in headers.items()}
    return fakes.call(gw.operators_address, method, path, body, names)


def test_the_operators_key_is_needed_where_one_is_set(leader):
    leader.replies[messages.ShowRules] = SHOWN
    with fakes.serving(leader.address, operator_key_digest=KEY_DIGEST) as gw:
        for wrong in ('', 'Bearer', 'Bearer other', 'Basic secret'):
            reply = ask(gw, 'GET', '/v1/rules', Authorization=wrong)
            assert reply.status == 403
        assert leader.received_of(messages.ShowRules) == []
        reply = ask(gw, 'GET', '/v1/rules', Authorization='Bearer secret')
        assert reply.status == 200
        assert reply.json()['gateways'] == [['g1', 3]]
        assert ask(gw, 'GET', '/metrics').status == 200


def test_without_a_key_only_loopback_is_served(gw):
    operators = _operator_handlers.OperatorHandlers(gw._components)

    class FromOutside:
        @staticmethod
        def peer_ip():
            return '192.0.2.7'

    assert not operators._is_authorized(FromOutside())


def test_rules_are_applied_against_the_expected_version(gw, leader):
    leader.replies[messages.ApplyRulesCall] = messages.RulesOutcome(
        True, messages.RulesVersion(4)
    )
    reply = ask(
        gw, 'PUT', '/v1/rules', 'ordentlich \xe9'.encode(),
        If_Match='"3"', Dandeliondrum_Change_Id='c1',
        Dandeliondrum_Operator='anna',
    )  # fmt: skip
    assert (reply.status, reply.headers['ETag']) == (200, '"4"')
    (change,) = leader.received_of(messages.ApplyRulesCall)
    assert change == messages.ApplyRulesCall(
        'c1',
        messages.OperatorId('anna'),
        messages.RulesVersion(3),
        'ordentlich \xe9',
    )


def test_outdated_rules_change_returns_the_current_rules(gw, leader):
    leader.replies[messages.ApplyRulesCall] = messages.RulesOutcome(
        False, messages.RulesVersion(4), 'another was first', 'in force'
    )
    reply = ask(
        gw, 'PUT', '/v1/rules', b'x',
        If_Match='3', Dandeliondrum_Change_Id='c1',
    )  # fmt: skip
    assert reply.status == 412
    assert reply.json()['current_text'] == 'in force'


def test_a_change_without_version_id_or_text_is_refused(gw, leader):
    change = {'If_Match': '3', 'Dandeliondrum_Change_Id': 'c1'}
    for wrong in (
        {**change, 'If_Match': '*'},
        {**change, 'If_Match': ''},
        {**change, 'Dandeliondrum_Change_Id': ''},
    ):
        assert ask(gw, 'PUT', '/v1/rules', b'x', **wrong).status == 400
    assert ask(gw, 'PUT', '/v1/rules', b'\xff', **change).status == 400
    assert leader.received_of(messages.ApplyRulesCall) == []


def test_operators_calls_reach_the_leader(gw, leader):
    leader.replies[messages.DrainWorker] = messages.Done()
    leader.replies[messages.AddController] = messages.Done()
    leader.replies[messages.RemoveController] = messages.CallFailed(
        'the last voter', True
    )
    leader.replies[messages.ExplainTask] = messages.TaskExplained(
        'queued', ((5, 'admitted'),)
    )
    assert ask(gw, 'POST', '/v1/workers/w1/drain').status == 200
    body = json.dumps({'controller_id': 'c4', 'address': '127.0.0.1:1'})
    assert ask(gw, 'POST', '/v1/controllers', body.encode()).status == 200
    reply = ask(gw, 'DELETE', '/v1/controllers/c4')
    assert (reply.status, reply.json()['detail']) == (503, 'the last voter')
    reply = ask(gw, 'GET', '/v1/tasks/r1/explain?team=bureau')
    assert reply.json()['events'] == [[5, 'admitted']]
    assert leader.received_of(messages.ExplainTask)[0].task_id == 'bureau/r1'
    assert ask(gw, 'GET', '/v1/tasks/r1/explain').status == 400


def test_an_order_about_a_domain_follows_the_newest_one(gw, leader):
    leader.replies[messages.ShowDomains] = messages.DomainsShown(
        (
            messages.DomainView(messages.FailureDomain('d1'), True, 2, 5, 7),
            messages.DomainView(messages.FailureDomain('d2'), False, 1, 0, 9),
        )
    )
    leader.replies[messages.ChangeDomain] = messages.Done()
    path = '/v1/domains/d1/evacuation?reason=power+work'
    operator = {'Dandeliondrum_Operator': 'anna'}
    assert ask(gw, 'POST', path, **operator).status == 200
    assert ask(gw, 'DELETE', '/v1/domains/d1/evacuation').status == 200
    assert leader.received_of(messages.ChangeDomain) == [
        messages.ChangeDomain('d1', True, 7, 'anna', 'power work'),
        messages.ChangeDomain('d1', False, 7, 'operator', ''),
    ]
    shown = ask(gw, 'GET', '/v1/domains').json()['domains']
    assert [row['evacuated'] for row in shown] == [True, False]


def test_fleet_is_shown_with_message_field_names(gw, leader):
    leader.replies[messages.ShowFleet] = messages.FleetShown(
        messages.Term(2),
        messages.ControllerId('c1'),
        5,
        (),
        (
            messages.TeamView(
                messages.TeamId('bureau'), 1, 2, messages.Resources(3, 4)
            ),
        ),
        (),
        (),
    )
    shown = ask(gw, 'GET', '/v1/fleet').json()
    assert shown['term'] == 2
    assert shown['teams'][0]['reserved']['memory_mb'] == 4


def test_metrics_count_served_calls(gw, leader, worker):
    leader.start_on(worker)
    fakes.run(gw, Class='urgent')
    fakes.wait_until(lambda: leader.reports())
    text = ask(gw, 'GET', '/metrics').body.decode()
    for line in (
        'dandeliondrum_gateway_calls_total{outcome="answered",'
        'route="POST /v1/tasks",status="200"} 1.0',
        'dandeliondrum_gateway_leader_up 1.0',
        'dandeliondrum_gateway_attempts_total{state="finished"} 1.0',
        'dandeliondrum_gateway_waiting_tasks{task_class="urgent"} 0.0',
        'dandeliondrum_gateway_task_wait_seconds_count'
        '{task_class="urgent"} 1.0',
    ):
        assert line in text, text
