"""Commands of operators and callers against a cell of real processes."""

import base64
import json
import os
import pathlib
import subprocess
import sys

import pytest

from dandeliondrum import rules
from dandeliondrum import testing
from dandeliondrum import worker

TIMEOUT_S = 60
RULES = """
{"rule": "team", "team": "harbour", "share": 1}  // asked by S. Prasert
{"rule": "queue", "queue": "lens", "open": false, "class": "batch"}  // ops
{"rule": "queue", "queue": "walk-in", "open": true, "class": "urgent",\
 "team": "harbour"}  // asked by S. Prasert
"""


REPOSITORY = pathlib.Path(__file__).parent.parent


def run_command(*arguments, **environment):
    return subprocess.run(
        [sys.executable, '-m', 'dandeliondrum.command', *arguments],
        cwd=REPOSITORY,
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


class CommandLine:
    """Runs the commands of operators and callers against one cell."""

    def __init__(self, cell):
        self.cell = cell

    def run(self, *arguments, code=0, key=''):
        completed = run_command(
            *arguments,
            DANDELIONDRUM_GATEWAYS=self.cell.addresses['g1/operators'],
            DANDELIONDRUM_CALLERS=self.cell.addresses['g1/callers'],
            DANDELIONDRUM_KEY=key,
        )
        assert completed.returncode == code, (arguments, completed)
        return completed.stdout

    def run_json(self, *arguments, **options):
        return json.loads(self.run(*arguments, '--json', **options))

    def submit(self, queue, *arguments, **options):
        body = json.dumps({'echo': 'ring 1'})
        return self.run_json(
            'submit', queue, f'--body={body}', *arguments, **options
        )


@pytest.fixture
def cli(tmp_path):
    """Start one controller and one gateway of a cell not yet formed."""
    with testing.Cell(tmp_path) as cell:
        cell.add_controllers(1, form=False)
        cell.add_gateways(1)
        cell.processes.wait_ready('c1')
        cell.processes.wait_ready('g1')
        yield CommandLine(cell)


def form(cli, **options):
    member = f'c1={cli.cell.addresses["c1"]}'
    settings = json.loads((cli.cell.folder / 'c1.json').read_text())
    cell_id = f'--cell-id={settings["cell_id"]}'
    arguments = ('controllers', 'form', member, cell_id)
    return cli.run_json(*arguments, **options)


def set_up_cell(cli, tmp_path):
    form(cli)
    cli.cell.wait_ready(0)
    (tmp_path / 'test.rules').write_text(RULES)
    applied = cli.run_json(
        'rules', 'apply', str(tmp_path / 'test.rules'), '--expected-version=0'
    )
    assert (applied['version'], applied['behind']) == (1, [])
    cli.cell.add_workers(1)
    cli.cell.wait_ready()


def test_a_cell_is_formed_once(cli):
    assert form(cli) == {'outcome': 'done', 'controllers': ['c1']}
    assert form(cli, code=1)['outcome'] == 'refused'


def test_a_day_of_work(cli, tmp_path):
    set_up_cell(cli, tmp_path)
    granted = cli.run_json('keys', 'grant', 'harbour', '--asked-by=S. Prasert')
    key = granted['key']
    answered = cli.submit('lens', '--team=harbour', key=key)
    body = base64.b64decode(answered['body_base64'])
    assert json.loads(body)['echo'] == 'ring 1'
    task = f'harbour/{answered["request_id"]}'
    explained = cli.run_json('explain', task)
    assert explained['status'].startswith('done')
    assert any('w1' in event['what'] for event in explained['events'])
    walk_in = cli.submit('walk-in', '--team=harbour')
    assert walk_in['outcome'] == 'answered'
    refused = cli.submit('lens', '--team=harbour', key='a.b', code=1)
    assert refused['outcome'] == 'refused_not_run'
    arguments = ('keys', 'grant', 'nobody', '--asked-by=S. Prasert')
    assert 'has no rule' in cli.run_json(*arguments, code=1)['detail']
    history = cli.run_json('rules', 'history')
    assert [change['version'] for change in history] == [1, 2]
    assert 'w1' in cli.run('top', '--rounds=1')


def _starts_count(cell, worker_id):
    return sum(
        event.kind is worker.EventKind.START
        for event in cell.journal(worker_id)
    )


def test_nothing_starts_in_an_evacuated_domain(cli, tmp_path):
    """The order has to be known to the planner, and to hold until revoked."""
    set_up_cell(cli, tmp_path)
    cli.cell.add_worker('w2', failure_domain='rayong')
    testing.wait_until(
        lambda: len(cli.run_json('domains', 'list')['domains']) == 2
    )
    cli.run('domains', 'evacuate', 'sattahip', '--reason=power work')
    for _ in range(3):
        assert cli.submit('walk-in')['outcome'] == 'answered'
    assert _starts_count(cli.cell, 'w1') == 0
    (listed,) = [
        one
        for one in cli.run_json('domains', 'list')['domains']
        if one['evacuated']
    ]
    assert (listed['domain'], listed['reason']) == ('sattahip', 'power work')
    cli.run('domains', 'restore', 'sattahip')
    cli.run('domains', 'evacuate', 'rayong')
    assert cli.submit('walk-in')['outcome'] == 'answered'
    assert _starts_count(cli.cell, 'w1') == 1
    unknown = cli.run_json('domains', 'evacuate', 'nowhere', code=1)
    assert 'rayong, sattahip' in unknown['detail']


def test_an_open_queue_takes_work_that_names_no_team(cli, tmp_path):
    set_up_cell(cli, tmp_path)
    assert cli.submit('walk-in')['outcome'] == 'answered'


def test_a_withdrawn_key_stops_working_within_seconds(cli, tmp_path):
    set_up_cell(cli, tmp_path)
    key = cli.run_json('keys', 'grant', 'harbour', '--asked-by=S. Prasert')[
        'key'
    ]
    cli.submit('lens', '--team=harbour', key=key)
    withdrawn = cli.run_json('keys', 'withdraw', key.partition('.')[0])
    assert withdrawn['behind'] == []
    refused = cli.submit('lens', '--team=harbour', key=key, code=1)
    assert refused['status'] == 403
    text = cli.run_json('rules', 'show')['text']
    assert rules.parse(text).unwrap().keys == {}


def test_a_drained_worker_is_shown_as_leaving(cli, tmp_path):
    set_up_cell(cli, tmp_path)
    cli.run('drain', 'w1', '--operator=A. Saetang')
    (worker,) = cli.run_json('status')['workers']
    assert worker['state'] == 'leaving'
    assert cli.run('drain', 'w9', code=1) == ''


def quarantine(cli, tmp_path):
    """Set up the cell and quarantine w1 with a rule."""
    set_up_cell(cli, tmp_path)
    path = tmp_path / 'quarantine.rules'
    line = '{"rule": "worker", "worker": "w1", "state": "quarantined"}'
    path.write_text(f'{RULES}{line}  // asked by A. Saetang\n')
    cli.run_json('rules', 'apply', str(path), '--expected-version=1')


def test_a_worker_that_the_rules_quarantine_gets_no_task(cli, tmp_path):
    quarantine(cli, tmp_path)
    arguments = ('--team=harbour', '--timeout-ms=1500')
    refused = cli.submit('walk-in', *arguments, code=1)
    assert refused['outcome'] == 'refused_not_run'


def test_a_worker_that_the_rules_quarantine_is_shown_so(cli, tmp_path):
    quarantine(cli, tmp_path)
    (worker,) = cli.run_json('status')['workers']
    assert worker['state'] == 'quarantined'


def test_a_raced_change_is_refused_with_what_is_in_force(cli, tmp_path):
    set_up_cell(cli, tmp_path)
    stale = ('rules', 'apply', str(tmp_path / 'test.rules'))
    refused = cli.run_json(*stale, '--expected-version=0', code=1)
    assert 'version 0 was expected' in refused['detail']
    assert cli.run_json('rules', 'show')['version'] == 1


def test_planned_stops_end_with_0_and_json_logs(cli, tmp_path):
    set_up_cell(cli, tmp_path)
    roles = {'w1': 'worker', 'g1': 'gateway', 'c1': 'controller'}
    for name, role in roles.items():
        assert cli.cell.processes.stop(name) == 0, name
        log = (tmp_path / 'logs' / f'{name}.err').read_text()
        lines = [json.loads(line) for line in log.splitlines()]
        assert {(line['role'], line['id']) for line in lines} == {(role, name)}
        events = [line['event'] for line in lines]
        assert events.index('started') < events.index('stopping')
        assert events[-1] == 'stopped'


def test_a_daemon_with_bad_settings_says_where(tmp_path):
    path = tmp_path / 'bad.jsonc'
    path.write_text('{\n  "worker_id": "w1",\n  "slots": 3\n}\n')
    completed = run_command('run', 'worker', f'--settings={path}')
    assert completed.returncode == 1
    assert f'{path}:3: slots: found an unknown field' in completed.stderr
    assert 'did you mean "slots_count"?' in completed.stderr


def test_a_daemon_that_cannot_listen_ends_with_1(cli, tmp_path):
    settings = tmp_path / 'g2.jsonc'
    text = (tmp_path / 'g1.json').read_text()
    settings.write_text(text.replace('"g1"', '"g2"'))
    completed = run_command('run', 'gateway', f'--settings={settings}')
    assert completed.returncode == 1
    (line,) = [
        line
        for line in map(json.loads, completed.stderr.splitlines())
        if line['event'] == 'not started'
    ]
    assert line['id'] == 'g2' and 'in use' in line['why']
