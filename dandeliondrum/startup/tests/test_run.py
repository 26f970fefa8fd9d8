"""Tests of the time in which a process has to be closed."""

import json
import subprocess
import sys
from unittest import mock

import pytest

from dandeliondrum import startup
from dandeliondrum.startup import _run

HANGING = """
import threading
from dandeliondrum import observability
from dandeliondrum import signals
from dandeliondrum import startup
from dandeliondrum.startup import _run

def hang():
    threading.Event().wait()

def start(_startup, resources):
    resources.callback(hang)
    threading.Thread(target=hang, name='reader').start()
    raise startup.NotStartedError('no port')

_run.CLOSE_TIMEOUT_S = 0.5
observability.configure_logging('controller', 'c1')
startup.run(startup.Startup(signals.install()), start)
"""


@pytest.mark.parametrize(
    ('code', 'grace_ms', 'since_stop_ms', 'expected_s'),
    [
        (startup.ExitCode.STOPPED, 6_000, 0, 5.5),
        (startup.ExitCode.STOPPED, 6_000, 1_000, 4.5),
        (startup.ExitCode.STOPPED, 6_000, 9_000, 0),
        (startup.ExitCode.STOPPED, None, 0, None),
        (startup.ExitCode.NOT_STARTED, 6_000, 0, 10),
        (startup.ExitCode.BROKEN, None, 0, 10),
    ],
)
def test_the_time_to_close_ends_before_the_platform_kills_a_process(
    code, grace_ms, since_stop_ms, expected_s
):
    process_signals = mock.Mock(since_stop_ms=lambda: since_stop_ms)
    start = startup.Startup(process_signals)
    start.stop_grace_ms = grace_ms
    assert _run._close_timeout_s(start, code) == expected_s


def test_a_closing_that_hangs_after_a_failed_start_tells_what_it_waits_for():
    """Nobody else ends the process."""
    outcome = subprocess.run(
        [sys.executable, '-c', HANGING],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert outcome.returncode == startup.ExitCode.BROKEN
    line = json.loads(
        (outcome.stdout + outcome.stderr).strip().splitlines()[-1]
    )
    assert line['event'] == 'not closed in time'
    assert any('__main__.hang' in frame for frame in line['waits_in'])
    assert line['threads'] == ['reader']
