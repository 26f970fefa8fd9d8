"""Tests of the last line of a process."""

import json
import subprocess
import sys

BROKEN = """
from dandeliondrum import observability, startup, utils

observability.configure_logging('controller', 'c1')
try:
    {}['missing']
except KeyError as error:
    broken = utils.InvariantError('entry 7 not applied')
    broken.__cause__ = error
startup.end_broken_process(broken)
"""


def test_the_last_line_of_a_broken_process_shows_where_its_cause_arose():
    outcome = subprocess.run(
        [sys.executable, '-c', BROKEN], capture_output=True, text=True
    )
    assert outcome.returncode == 70
    line = json.loads(outcome.stderr)
    assert line['why'] == 'entry 7 not applied'
    assert 'line 6, in <module>' in line['exception']
    assert "KeyError: 'missing'" in line['exception']
