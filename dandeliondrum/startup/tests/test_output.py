"""A program exits at once when an invariant is broken."""

import json
import subprocess
import sys

from dandeliondrum import command
from dandeliondrum import startup

PROGRAM = """
from dandeliondrum import observability
from dandeliondrum import startup
from dandeliondrum import utils
observability.configure_logging('controller', 'c1')
try:
    startup.end_broken_process(utils.InvariantError('freed twice'))
finally:
    print('acted on')
"""


def test_a_broken_invariant_ends_the_process_at_once():
    process = subprocess.run(
        [sys.executable, '-c', PROGRAM],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert process.returncode == command.ExitCode.BROKEN
    assert process.stdout == ''
    line = json.loads(process.stderr)
    assert (line['level'], line['why']) == ('critical', 'freed twice')


def test_a_daemon_reports_the_exit_codes_of_its_end_unchanged():
    for code in startup.ExitCode:
        assert command.ExitCode(code) == code
