"""Orders to evacuate failure domains, as operators send them over HTTP."""

import contextlib
import dataclasses
import types

import pytest
from returns import result

from dandeliondrum import gateway
from dandeliondrum import http_server
from dandeliondrum import jobs
from dandeliondrum.jobs import evacuations
from dandeliondrum import messages
from dandeliondrum.platform import _evacuation_api
from dandeliondrum.platform import _settings
from dandeliondrum.platform.tests import helpers
from dandeliondrum.platform.tests import test_programs
from dandeliondrum import testing

DOMAINS = ('sattahip', 'rayong')
ACK_MAX_MS = 6_000


class StubController:
    """Stub of a controller; ``available`` tells whether a leader is known."""

    def __init__(self):
        self.state = types.SimpleNamespace(
            evacuations=evacuations.Evacuations()
        )
        self.orders = []
        self.available = True
        self.reported = frozenset()

    def change_domain(self, domain, evacuated, timeout_ms, by, reason):
        self.orders.append((domain, evacuated, by, reason))
        if not self.available:
            return result.Failure(jobs.Unavailable('no leader', True))
        state = self.state.evacuations
        origin = evacuations.Origin(by, reason, 1_000)
        order = evacuations.DomainOrder(
            domain, evacuated, len(self.orders), origin
        )
        state.apply(order, state.last_index(domain))
        return self.evacuated_domains(timeout_ms)

    def evacuated_domains(self, timeout_ms):
        return result.Success(
            jobs.EvacuatedDomains(self.state.evacuations.orders)
        )

    def reported_domains(self):
        return self.reported


def _parse(**changes):
    values = {**helpers.SETTINGS, **changes}
    return _settings.parse(helpers.lines(values)).unwrap()


SETTINGS = _parse(
    Contracts='base,places,drain', **{f'Zones.{one}': 'r' for one in DOMAINS}
)


@contextlib.contextmanager
def _serving(controller, settings=SETTINGS):
    with contextlib.ExitStack() as resources:
        limits = http_server.Limits(
            header_bytes_max=16_384, body_bytes_max=1_000, arrival_ms=3_000
        )
        routes = _evacuation_api.routes(controller, settings)
        server = gateway.Server(
            ('127.0.0.1', 0),
            gateway.Application(routes, gateway.Metrics()),
            2,
            limits,
            http_server.ByteBudget(1_000_000),
        )
        server.open()
        resources.callback(server.drain, 0)
        yield lambda method, path: testing.call(
            f'http://{server.address}{path}', method
        )


@pytest.fixture
def controller():
    return StubController()


def test_settings_name_contracts_and_failure_domains():
    assert SETTINGS.contracts == {'base', 'places', 'drain'}
    assert SETTINGS.failure_domains == set(DOMAINS)
    assert _parse().contracts == _parse().failure_domains == frozenset()


@pytest.mark.parametrize('contracts', ['', 'base,drain', 'otherplaces'])
def test_there_are_no_routes_without_the_contract(controller, contracts):
    settings = _parse(Contracts=contracts, **{'Zones.rayong': 'r'})
    with _serving(controller, settings) as call:
        for method in ('POST', 'DELETE'):
            assert call(method, '/evacuations/rayong').status == 404
        assert call('GET', '/evacuations').status == 404
    assert controller.orders == []


def test_an_order_is_acknowledged_each_time_it_is_sent(controller):
    with _serving(controller) as call:
        for method in ('POST', 'POST', 'DELETE', 'DELETE'):
            reply = call(method, '/evacuations/rayong')
            assert (reply.status, reply.body) == (200, b'')
    assert [order[:2] for order in controller.orders] == [
        *2 * (('rayong', True),),
        *2 * (('rayong', False),),
    ]


def test_an_unknown_domain_is_refused_and_not_stored(controller):
    with _serving(controller) as call:
        reply = call('POST', '/evacuations/nowhere')
    assert reply.status == 404
    assert b'nowhere' in reply.body and b'rayong, sattahip' in reply.body
    assert controller.orders == []


def test_all_domains_may_be_evacuated(controller):
    with _serving(controller) as call:
        for domain in DOMAINS:
            assert call('POST', f'/evacuations/{domain}').status == 200
    assert controller.state.evacuations.domains == set(DOMAINS)


def test_without_a_leader_an_order_is_to_be_sent_again(controller):
    """Operators give up after a 4xx, but go on after a 5xx."""
    controller.available = False
    with _serving(controller) as call:
        assert call('POST', '/evacuations/rayong').status == 503


def test_without_named_domains_those_of_the_workers_are_known(controller):
    controller.reported = frozenset({messages.FailureDomain('pattaya')})
    settings = dataclasses.replace(SETTINGS, failure_domains=frozenset())
    with _serving(controller, settings) as call:
        for domain, status in (
            ('pattaya', 200),
            (settings.failure_domain, 200),
            ('rayong', 404),
        ):
            assert call('POST', f'/evacuations/{domain}').status == status


def test_who_asked_and_why_is_listed(controller):
    with _serving(controller) as call:
        query = 'by=j.doe&reason=power+work%2C+hall+2'
        call('POST', f'/evacuations/rayong?{query}')
        (listed,) = call('GET', '/evacuations').json()['Evacuations']
        assert listed == {
            'Zone': 'rayong',
            'By': 'j.doe',
            'Reason': 'power work, hall 2',
            'SinceMs': 1_000,
        }
        assert call('POST', f'/evacuations/rayong?by={501 * "x"}').status == (
            400
        )
        call('DELETE', '/evacuations/rayong')
        assert call('GET', '/evacuations').json() == {'Evacuations': []}


@pytest.fixture
def deployment(tmp_path):
    """A cell with one worker in each of two domains."""
    with contextlib.ExitStack() as resources:
        processes = resources.enter_context(testing.Processes(tmp_path))
        workers = testing.make_workers(2, messages.Resources(4_000, 1_000), 50)
        for worker, domain in zip(workers, DOMAINS, strict=True):
            worker.facts = dataclasses.replace(
                worker.facts, failure_domain=messages.FailureDomain(domain)
            )
        yield resources.enter_context(
            test_programs.Deployment(
                tmp_path, processes, workers, failure_domains=DOMAINS
            )
        )


def _order(deployment, domain, evacuated):
    """Send an order to one controller after another until it is answered."""

    def send():
        return 200 in (
            deployment.change_domain(domain, evacuated, number, 1_000)
            for number in range(len(deployment.control))
        )

    testing.wait_until(send, ACK_MAX_MS)


def test_an_order_holds_after_all_controllers_are_killed(deployment):
    """A power loss must not let tasks start in the domain again."""
    deployment.open()
    assert deployment.change_domain('nowhere', True) == 404
    _order(deployment, DOMAINS[0], True)
    for number in range(3):
        deployment.processes.kill(deployment.controller(number))
    for number in range(3):
        deployment.processes.restart(deployment.controller(number))
    job_ids = [f'00000000000000a{digit}' for digit in range(3)]
    for job_id in job_ids:
        testing.wait_until(
            lambda job_id=job_id: deployment.submit(job_id) == 200
        )
    evacuated, other = (one.worker for one in deployment.workers)
    testing.wait_until(
        lambda: all(deployment.state(one) == 'completed' for one in job_ids)
    )
    assert evacuated.starts == []
    assert len(other.starts) == 6
    _order(deployment, DOMAINS[1], True)
    _order(deployment, DOMAINS[0], False)
    assert deployment.submit('00000000000000b1') == 200
    testing.wait_until(lambda: evacuated.starts)
    assert len(other.starts) == 6
