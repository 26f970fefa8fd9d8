"""A daemon exits at once when an invariant is broken."""

import json
import subprocess
import sys

from dandeliondrum import command

PROGRAM = """
from dandeliondrum.command import _daemon
from dandeliondrum import observability
from dandeliondrum import utils
observability.configure_logging('controller', 'c1')
try:
    _daemon.end_process(utils.InvariantError('freed twice'))
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
