"""Tests of what the programs import before they can answer.

A returning controller has to be a voter soon after its launch, and on a busy
machine imports take a large share of that time.
"""

import json
import subprocess
import sys

# Packages that no controller needs, and those of an HTTP server.
NEVER_NEEDED = {
    'dandeliondrum.command',
    'dandeliondrum.controller',
    'dandeliondrum.gateway._gateway',
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


def imported_by(program):
    """Return the modules that a program has imported when it ends."""
    listing = 'import json, sys; print(json.dumps(sorted(sys.modules)))'
    done = subprocess.run(
        [sys.executable, '-c', f'{program}\n{listing}'],
        capture_output=True,
        check=True,
        timeout=60,
    )
    return set(json.loads(done.stdout))


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
