"""Runs the command line in this process, against a fake gateway."""

import dataclasses
import json

import pytest

from dandeliondrum import command
from dandeliondrum.command.tests import fake_gateway


@dataclasses.dataclass
class Ended:
    """What a command came to."""

    code: int
    out: str
    err: str

    def data(self):
        return json.loads(self.out)


@pytest.fixture
def run(capfd, monkeypatch):
    """Return a function that runs the command line."""
    for name in ('GATEWAYS', 'OPERATOR_KEY', 'CALLERS', 'KEY'):
        monkeypatch.delenv(f'DANDELIONDRUM_{name}', raising=False)

    def run_it(*words):
        with pytest.raises(SystemExit) as ended:
            command.main(list(words))
        captured = capfd.readouterr()
        return Ended(int(ended.value.code), captured.out, captured.err)

    return run_it


@pytest.fixture
def gateway():
    fake = fake_gateway.FakeGateway()
    yield fake
    fake.close()


@pytest.fixture
def at(gateway):
    """The flag that names the fake gateway."""
    return f'--gateways={gateway.address}'
