"""Commands about failure domains, at gateways and at control ports."""

import pytest

from dandeliondrum.command import _control_ports
from dandeliondrum.command.tests import fake_gateway


@pytest.mark.parametrize(
    ('command', 'method'), [('evacuate', 'POST'), ('restore', 'DELETE')]
)
def test_an_order_is_sent_to_a_gateway(
    run, gateway, gateways_flag, command, method
):
    words = ('--reason=power & work', '--operator=anna', gateways_flag)
    assert run('domains', command, 'd1', *words).code == 0
    called, path, headers, _ = gateway.calls[0]
    assert (called, path.split('?')[0]) == (
        method,
        '/v1/domains/d1/evacuation',
    )
    assert fake_gateway.query(path) == {'reason': 'power & work'}
    assert headers['Dandeliondrum-Operator'] == 'anna'


@pytest.mark.parametrize('flag', ['gateways', 'control'])
def test_the_list_shows_who_asked_when_and_why(run, gateway, flag):
    result = run('domains', 'list', f'--{flag}={gateway.address}')
    assert result.code == 0
    for text in ('d1', 'evacuated', 'anna', 'power work', '2025-12-06T'):
        assert text in result.out
    words = (f'--{flag}={gateway.address}', '--json')
    domains = run('domains', 'list', *words).data()['domains']
    assert domains[0]['evacuated']
    assert domains[0]['workers_count'] == (2 if flag == 'gateways' else None)


def test_an_order_goes_to_the_next_controller(run, gateway):
    """A controller that is down must not end an operator's order."""
    control = f'--control=127.0.0.1:1,{gateway.address}'
    words = ('--operator=anna', '--reason=power work', control)
    assert run('domains', 'evacuate', 'd1', *words).code == 0
    (call,) = gateway.calls
    assert fake_gateway.query(call[1]) == {
        'by': 'anna',
        'reason': 'power work',
    }


def test_an_unknown_domain_ends_an_order_at_once(run, gateway):
    result = run('domains', 'evacuate', 'd9', f'--control={gateway.address}')
    assert result.code == 1
    assert "unknown failure domain 'd9'" in result.err
    assert len(gateway.calls) == 1


def test_an_order_without_an_acknowledgement_is_in_doubt(
    run, gateway, monkeypatch
):
    monkeypatch.setattr(_control_ports, 'ACK_MAX_MS', 200)
    gateway.control_status = 503
    control = f'--control={gateway.address},127.0.0.1:1'
    result = run('domains', 'restore', 'd1', control)
    assert result.code == 3
    assert 'send it again' in result.err
    assert len(gateway.calls) >= 2


def test_an_order_that_reaches_no_controller_does_nothing(run, monkeypatch):
    monkeypatch.setattr(_control_ports, 'ACK_MAX_MS', 200)
    assert run('domains', 'evacuate', 'd1', '--control=127.0.0.1:1').code == 4
