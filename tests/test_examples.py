"""The examples are complete, and each deployment is consistent."""

import collections
import pathlib

import pytest

from dandeliondrum import rules
from dandeliondrum import settings

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
DEPLOYMENTS = {'bureau': (16_000, 32_768), 'tag-yard': (32_000, 65_536)}
REGIONS = {
    'sattahip': 'gulf',
    'songkhla': 'gulf',
    'phuket': 'andaman',
    'pamplemousses': 'north-isle',
    'grand-baie': 'north-isle',
    'mahebourg': 'south-isle',
}


def load_all(folder):
    return [
        settings.load_any(path).unwrap()
        for path in sorted(folder.glob('*.jsonc'))
    ]


def of_type(loaded, settings_type):
    return [item for item in loaded if isinstance(item, settings_type)]


@pytest.mark.parametrize('path', sorted(EXAMPLES.rglob('*.rules')), ids=str)
def test_rules_files_have_no_problem(path):
    rule_set = rules.parse(path.read_text()).unwrap()
    assert rule_set.teams
    assert not rule_set.keys, 'an example key would be a known key'


@pytest.mark.parametrize('path', sorted(EXAMPLES.rglob('*.rules')), ids=str)
def test_rules_files_lack_nothing_but_keys(path):
    """Teams get their keys later, with ``keys grant``."""
    doubts = rules.find_doubts(rules.parse(path.read_text()).unwrap())
    assert all('needs a key' in doubt.detail for doubt in doubts)


@pytest.mark.parametrize('role', ['controller', 'gateway', 'worker'])
def test_the_example_of_a_role_has_every_parameter(role):
    path = EXAMPLES / f'{role}.jsonc'
    loaded = settings.load_any(path).unwrap()
    text = path.read_text()
    for parameter in settings.parameters(type(loaded)):
        assert text.count(f'\n  "{parameter.name}": ') == 1
        assert parameter.meaning.split()[0] in text


@pytest.mark.parametrize('name', DEPLOYMENTS)
def test_settings_of_a_deployment_are_consistent(name):
    loaded = load_all(EXAMPLES / name)
    controllers = of_type(loaded, settings.ControllerSettings)
    gateways = of_type(loaded, settings.GatewaySettings)
    workers = of_type(loaded, settings.WorkerSettings)
    assert 6 <= len(controllers) + len(gateways) <= 8
    listen_addresses = {
        item.controller_id: item.listen_address for item in controllers
    }
    for item in controllers + gateways:
        assert item.cell_id == name
        configured = {
            one.controller_id: one.address for one in item.controllers
        }
        assert configured == listen_addresses
    for item in loaded:
        assert REGIONS[item.failure_domain] == item.region
    workers_addresses = {gateway.workers_address for gateway in gateways}
    for worker in workers:
        assert set(worker.gateways) == workers_addresses
        assert (worker.cpu_millicores, worker.memory_mb) == DEPLOYMENTS[name]
        assert (worker.slots_count, worker.connections_count) == (8, 64)


@pytest.mark.parametrize('name', DEPLOYMENTS)
def test_one_region_has_a_majority_and_no_domain_has(name):
    loaded = load_all(EXAMPLES / name)
    controllers = of_type(loaded, settings.ControllerSettings)
    majority = len(controllers) // 2 + 1
    regions = collections.Counter(item.region for item in controllers)
    domains = collections.Counter(item.failure_domain for item in controllers)
    assert max(regions.values()) >= majority
    assert len(controllers) - max(domains.values()) >= majority


@pytest.mark.parametrize('name', DEPLOYMENTS)
def test_each_deployment_has_six_teams(name):
    text = (EXAMPLES / name / f'{name}.rules').read_text()
    assert len(rules.parse(text).unwrap().teams) == 6
