"""Tests of what the programs import before they can answer.

A returning controller has to be a voter soon after its launch, and on a busy
machine imports take a large share of that time.
"""

import json
import subprocess
import sys

import pytest

from dandeliondrum import testing

# Packages that no controller needs, and those of an HTTP server.
NEVER_NEEDED = {
    'dandeliondrum.command',
    'dandeliondrum.controller',
    'dandeliondrum.gateway._gateway',
    'dandeliondrum.messages._operator_calls',
    'dandeliondrum.messages._worker_calls',
    'dandeliondrum.rules',
    'dandeliondrum.testing',
    'dandeliondrum.worker',
    'fire',
    'json5',
    'matplotlib',
    'opentelemetry',
    'psutil',
    'pytest',
}
HTTP_SERVER = {'cheroot', 'werkzeug'}
LEADER = {
    'dandeliondrum.jobs._leadership',
    'dandeliondrum.jobs._scheduler',
    'dandeliondrum.jobs._term',
    'dandeliondrum.jobs.queueing',
}


def imported_by(program):
    """Return the modules that a program has imported when it ends."""
    listing = 'import json, sys; print(json.dumps(sorted(sys.modules)))'
    return output_of(f'{program}\n{listing}')


def output_of(program):
    """Return the names in the last line that a program prints.

    It may have logged before.
    """
    done = subprocess.run(
        [sys.executable, '-c', program],
        capture_output=True,
        check=True,
        timeout=60,
    )
    return set(json.loads(done.stdout.splitlines()[-1]))


def test_the_jobs_package_does_not_pull_in_the_http_gateway():
    imported = imported_by('import dandeliondrum.jobs')
    assert 'dandeliondrum.jobs' in imported
    assert not imported & (NEVER_NEEDED | HTTP_SERVER)


def test_logging_does_not_pull_in_the_packages_of_traces_and_metrics():
    imported = imported_by(
        'from dandeliondrum import observability\n'
        'import sys\n'
        'import structlog\n'
        "observability.configure_logging('r', 'i', 'info', sys.stderr)\n"
        "structlog.get_logger().info('line')"
    )
    assert 'dandeliondrum.observability' in imported
    unneeded = NEVER_NEEDED | HTTP_SERVER | {'prometheus_client'}
    assert not imported & unneeded


# Ends the process with the list when the function would be called.
STARTING = """
import importlib, json, os, sys
from dandeliondrum.platform import __main__ as program

def report(*_):
    sys.stdout.write(json.dumps(sorted(sys.modules)))
    sys.stdout.flush()
    os._exit(0)

place = importlib.import_module({module!r}){owner}
place.start = report
program.main(['controller'])
"""
OPENING = STARTING.format(module='dandeliondrum.transport', owner='.Server')
CONTROL = STARTING.format(
    module='dandeliondrum.platform._control_server', owner=''
)


@pytest.fixture
def settings_file(tmp_path, monkeypatch):
    """Let programs read the settings of a controller."""
    ip, _, port = testing.free_address().rpartition(':')
    settings = {
        'Node': 'c1',
        'Ip': ip,
        'Zone': 'sattahip',
        'Region': 'gulf',
        'PortRange': f'{port},{port}',
        'Seeds': '',
        'DataDir': str(tmp_path / 'data'),
        'Listen.Control': testing.free_address(),
        'FaultTolerance.Machines': '1',
        'Bounds.GraceS': '6',
        'Bounds.HoldMaxMs': '6000',
        'Bounds.status_s': '120',
    }
    path = tmp_path / 'c1.conf'
    path.write_text(
        ''.join(f'{name}={value}\n' for name, value in settings.items())
    )
    monkeypatch.setenv('DANDELIONDRUM_SETTINGS', str(path))


@pytest.fixture
def imported_at_the_opening(settings_file):
    """Return what a controller has imported when it opens its stream port."""
    return output_of(OPENING)


def test_a_controller_answers_its_peers_before_it_imports_http_servers(
    imported_at_the_opening,
):
    assert 'dandeliondrum.consensus' in imported_at_the_opening
    assert not imported_at_the_opening & HTTP_SERVER


def test_a_controller_imports_no_package_of_other_roles_at_its_start(
    imported_at_the_opening,
):
    assert not imported_at_the_opening & NEVER_NEEDED


def test_a_controller_answers_its_peers_before_it_imports_the_scheduler(
    imported_at_the_opening,
):
    assert not imported_at_the_opening & LEADER


def test_no_election_waits_for_the_import_of_the_scheduler(settings_file):
    assert output_of(CONTROL) >= LEADER
