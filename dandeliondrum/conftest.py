"""Logs of all tests."""

import pytest
import structlog


@pytest.fixture(scope='session', autouse=True)
def precise_log_times() -> None:
    """Log with microseconds, since a trace needs the order of events."""
    precise = structlog.processors.TimeStamper('%H:%M:%S.%f', utc=False)
    processors = [
        precise
        if isinstance(processor, structlog.processors.TimeStamper)
        else processor
        for processor in structlog.get_config()['processors']
    ]
    structlog.configure(processors=processors)
