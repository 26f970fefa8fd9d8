"""Tests of the last line and the code of a process."""

import json
import subprocess
import sys

import pytest

from dandeliondrum import command
from dandeliondrum import startup

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
