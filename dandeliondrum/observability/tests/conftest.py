"""Logs of a test go to a buffer, and the settings are put back after it."""

import io
import json

import pytest
import structlog

from dandeliondrum import observability


class Lines:
    """The log lines that were written so far."""

    def __init__(self):
        self.stream = io.StringIO()

    def all(self):
        return [json.loads(line) for line in self.raw()]

    def raw(self):
        return self.stream.getvalue().splitlines()


@pytest.fixture
def lines():
    before = structlog.get_config()
    written = Lines()
    observability.configure_logging('gateway', 'g1', 'info', written.stream)
    yield written
    structlog.reset_defaults()
    structlog.configure(**before)
