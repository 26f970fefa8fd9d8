"""Tests of the last line of a process."""

import json
import subprocess
import sys

import pytest

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


@pytest.mark.parametrize(
    'program',
    (BROKEN, 'from dandeliondrum import startup\nstartup.end_process(70)'),
)
def test_a_process_without_an_output_ends_with_its_code(program):
    shell = 'exec "$0" -c "$1" >&- 2>&-'
    command = ['sh', '-c', shell, sys.executable, program]
    assert subprocess.run(command).returncode == 70
