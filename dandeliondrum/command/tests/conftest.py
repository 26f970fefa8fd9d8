"""Fixtures that run the command line against a fake gateway."""

import dataclasses
import json

import pytest

from dandeliondrum import command
from dandeliondrum.command.tests import fake_gateway


@dataclasses.dataclass
class CommandResult:
    """The exit code and output of a command."""

    code: int
    out: str
    err: str

    def data(self):
        return json.loads(self.out)


@pytest.fixture
def run(capfd, monkeypatch):
    """Return a function that runs the command line in this process."""
    for name in ('GATEWAYS', 'OPERATOR_KEY', 'CALLERS', 'KEY'):
        monkeypatch.delenv(f'DANDELIONDRUM_{name}', raising=False)

    def run_command(*words):
        with pytest.raises(SystemExit) as exit_info:
            command.main(list(words))
        captured = capfd.readouterr()
        return CommandResult(
            int(exit_info.value.code), captured.out, captured.err
        )

    return run_command


@pytest.fixture
def gateway():
    fake = fake_gateway.FakeGateway()
    yield fake
    fake.close()


@pytest.fixture
def gateways_flag(gateway):
    """The ``--gateways`` flag with the address of the fake gateway."""
    return f'--gateways={gateway.address}'
