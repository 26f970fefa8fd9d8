"""Fixture that captures the log of a test."""

import io
import json

import pytest
import structlog

from dandeliondrum import observability


class LogLines:
    """The log lines written so far."""

    def __init__(self):
        self.stream = io.StringIO()

    def all(self):
        return [json.loads(line) for line in self.raw()]

    def raw(self):
        return self.stream.getvalue().splitlines()


@pytest.fixture
def lines():
    previous_config = structlog.get_config()
    written = LogLines()
    observability.configure_logging('gateway', 'g1', 'info', written.stream)
    yield written
    structlog.reset_defaults()
    structlog.configure(**previous_config)
