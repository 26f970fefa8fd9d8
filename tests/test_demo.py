"""The ``demo`` command, run in a subprocess for a few seconds."""

import json
import pathlib
import subprocess
import sys

import pytest

REPOSITORY = pathlib.Path(__file__).parent.parent
TIMEOUT_S = 100
KEYS = {
    'requests',
    'answered',
    'refused_not_run',
    'in_doubt',
    'lost',
    'run_twice',
    'over_limit',
    'overloaded_workers',
    'wait_p50_ms',
    'wait_p99_ms',
    'packing_ratio',
    'share_error_max',
}
MUST_BE_0 = ('lost', 'run_twice', 'over_limit', 'overloaded_workers')


def run_demo(*arguments):
    return subprocess.run(
        [sys.executable, '-m', 'dandeliondrum.command', 'demo', *arguments],
        cwd=REPOSITORY,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


@pytest.fixture(scope='module')
def folder(tmp_path_factory):
    return tmp_path_factory.mktemp('demo')


@pytest.fixture(scope='module')
def completed(folder):
    return run_demo('--length-s=8', '--seed=1', f'--folder={folder}')


@pytest.fixture(scope='module')
def summary(completed):
    return json.loads(completed.stdout.splitlines()[-1])


def test_it_ends_well_with_a_line_of_json(completed, summary):
    assert completed.returncode == 0, completed
    assert KEYS <= summary.keys()
    assert {name: summary[name] for name in MUST_BE_0} == dict.fromkeys(
        MUST_BE_0, 0
    )


def test_each_request_has_one_outcome(summary):
    found = ('answered', 'refused_not_run', 'in_doubt', 'lost')
    assert summary['requests'] == sum(summary[name] for name in found)
    assert summary['answered'] > 0
    assert summary['replicas_started'] == summary['replicas'] == 3


def test_it_shows_its_progress_and_tables(completed):
    for expected in (
        '24 workers are up',
        'submitted a gang',
        'is lost',
        'leads after',
        'Waiting time by class',
        'Share against grant',
        'Packing and control cost',
    ):
        assert expected in completed.stdout
    # Log lines go to a file instead.
    assert '"level"' not in completed.stdout + completed.stderr


def test_its_log_is_json_lines(completed, folder):
    lines = (folder / 'demo.log').read_text().splitlines()
    assert 'leading' in {json.loads(line)['event'] for line in lines}


def test_a_length_that_is_none_is_a_usage_error():
    assert run_demo('--length-s=0').returncode == 2
