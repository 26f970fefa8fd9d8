"""Output of whole operator sessions, compared with golden files.

To regenerate the files, set DANDELIONDRUM_WRITE_GOLDEN and review the diff;
a test that wrote its file fails.
"""

import os
import pathlib

import pytest

from dandeliondrum import command
from dandeliondrum.command.tests import fake_gateway

GOLDEN = pathlib.Path(__file__).parent / 'golden'
TEAM = '{"rule": "team", "team": "harbour", "share": 3}  // asked by S. P.\n'
QUEUE = (
    '{"rule": "queue", "queue": "status", "open": true, "class": "urgent", '
    '"team": "harbour"}  // asked by S. P.\n'
)
BAD_RULES = """// every line below has a problem
{"rule": "team", "team": "harbour", "share": 3}
{"rule": "team", "team": "harbour", "share": "3"}  // asked by S. P.
{"rule": "team", "team": "prisms", "share": 3, "share": 4}  // asked by S. P.
{"rule": "teem", "team": "prisms"}  // asked by S. P.
{"rule": "team", "team": "a", "share": 1, "upper_limit": {"memory_gb": 1}} // x
{"rule": "key", "team": "nobody", "key_id": "00ff00ff"}  // asked by S. P.
{"rule": "queue", "queue": "q", "open": "yes", "class": "fast"}  // asked by me
{"rule": "worker", "worker": "w1", "state": "gone"}  // asked by S. P.
{"rule": "defaults", "lease_ms": {"batch": 3}}  // asked by S. P.
harbour gets 3
"""
BAD_SETTINGS = """{
  // a gateway with most things wrong
  "gateway_id": "g 1",
  "cell_id": "bureau",
  "cell_id": "tag-yard",
  "regio": "gulf",
  "callers_address": "localhost:8001",
  "workers_address": "10.0.0.1:99999",
  "operators_address": "10.0.0.1:8003",
  "controllers": [
    {"controller_id": "c1", "address": "10.0.0.1:7000"},
    {"controller_id": "c1", "adress": "10.0.0.2:7000"}
  ],
  "drain_max_ms": "30 s",
  "operator_key_digest": "secret",
  "log_level": "loud"
}
"""
RULES_SESSION = (
    'rules check bad.rules',
    'rules check good.rules',
    'rules apply bad.rules --expected-version=0',
    'rules apply good.rules --expected-version=0 --operator=a --change-id=one',
    'rules apply team.rules --expected-version=0 --operator=b --change-id=two',
    'rules apply team.rules --expected-version=1 --operator=b '
    '--change-id=three',
    'rules apply good.rules --expected-version=0 --operator=a --change-id=one',
    'rules show',
    'rules history',
    'rules history --json',
    'keys withdraw 00ff00ff',
)
FLEET_SESSION = (
    'settings check bad.jsonc',
    'status',
    'top --rounds=1',
    'status --json',
    'explain harbour/r/1',
    'drain w1',
    'drain w9',
    'controllers add c4 10.0.0.4:7001',
    'controllers remove c4 --json',
    'controllers form c1=nowhere --cell-id=bureau',
)


@pytest.fixture
def gateway(tmp_path, monkeypatch):
    """Start a fake gateway in a folder with the files of the sessions."""
    fake = fake_gateway.FakeGateway()
    monkeypatch.setenv('DANDELIONDRUM_GATEWAYS', fake.address)
    monkeypatch.chdir(tmp_path)
    (tmp_path / 'bad.rules').write_text(BAD_RULES)
    (tmp_path / 'good.rules').write_text(TEAM + QUEUE)
    (tmp_path / 'team.rules').write_text(TEAM)
    (tmp_path / 'bad.jsonc').write_text(BAD_SETTINGS)
    yield fake
    fake.close()


def transcript(capfd, lines):
    """Run commands; return what each printed and its exit code."""
    text = ''
    for line in lines:
        with pytest.raises(SystemExit) as ended:
            command.main(line.split())
        printed = capfd.readouterr()
        text += f'$ dandeliondrum {line}\n'
        text += ''.join(f'! {note}\n' for note in printed.err.splitlines())
        text += f'{printed.out}exit {int(ended.value.code)}\n\n'
    return text


def compare(name, text):
    path = GOLDEN / name
    if os.environ.get('DANDELIONDRUM_WRITE_GOLDEN'):
        path.write_text(text)
        pytest.fail(f'{path} was written')
    assert text == path.read_text()


def test_a_session_about_rules(gateway, capfd):
    compare('rules-session.txt', transcript(capfd, RULES_SESSION))
    assert gateway.version == 2


def test_a_session_about_the_fleet(gateway, capfd):
    compare('fleet-session.txt', transcript(capfd, FLEET_SESSION))
