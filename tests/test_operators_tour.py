"""An operator's day by the command line, with real processes."""

import base64
import json
import os
import pathlib
import subprocess
import sys

import pytest

from dandeliondrum import rules
from dandeliondrum import testing

TIMEOUT_S = 60
RULES = """
{"rule": "team", "team": "harbour", "share": 1}  // asked by S. Prasert
{"rule": "queue", "queue": "lens", "open": false, "class": "batch"}  // ops
{"rule": "queue", "queue": "walk-in", "open": true, "class": "urgent",\
 "team": "harbour"}  // asked by S. Prasert
"""


REPOSITORY = pathlib.Path(__file__).parent.parent


def command(*words, **variables):
    return subprocess.run(
        [sys.executable, '-m', 'dandeliondrum.command', *words],
        cwd=REPOSITORY,
        env={**os.environ, **variables},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


class Desk:
    """Where an operator and a caller type their commands."""

    def __init__(self, cell):
        self.cell = cell

    def run(self, *words, code=0, key=''):
        ended = command(
            *words,
            DANDELIONDRUM_GATEWAYS=self.cell.addresses['g1/operators'],
            DANDELIONDRUM_CALLERS=self.cell.addresses['g1/callers'],
            DANDELIONDRUM_KEY=key,
        )
        assert ended.returncode == code, (words, ended)
        return ended.stdout

    def data(self, *words, **options):
        return json.loads(self.run(*words, '--json', **options))

    def submit(self, queue, *words, **options):
        body = json.dumps({'echo': 'ring 1'})
        return self.data('submit', queue, f'--body={body}', *words, **options)


@pytest.fixture
def desk(tmp_path):
    """A cell of one of each role that nobody has formed yet."""
    with testing.Cell(tmp_path) as cell:
        cell.add_controllers(1, form=False)
        cell.add_gateways(1)
        cell.processes.wait_ready('c1')
        cell.processes.wait_ready('g1')
        yield Desk(cell)


def form(desk, **options):
    member = f'c1={desk.cell.addresses["c1"]}'
    settings = json.loads((desk.cell.folder / 'c1.json').read_text())
    cell_id = f'--cell-id={settings["cell_id"]}'
    words = ('controllers', 'form', member, cell_id)
    return desk.data(*words, **options)


def serve(desk, tmp_path):
    form(desk)
    desk.cell.wait_ready(0)
    (tmp_path / 'test.rules').write_text(RULES)
    applied = desk.data(
        'rules', 'apply', str(tmp_path / 'test.rules'), '--expected-version=0'
    )
    assert (applied['version'], applied['behind']) == (1, [])
    desk.cell.add_workers(1)
    desk.cell.wait_ready()


def test_a_cell_is_formed_once(desk):
    assert form(desk) == {'outcome': 'done', 'controllers': ['c1']}
    assert form(desk, code=1)['outcome'] == 'refused'


def test_a_day_of_work(desk, tmp_path):
    serve(desk, tmp_path)
    granted = desk.data('keys', 'grant', 'harbour', '--asked-by=S. Prasert')
    key = granted['key']
    answered = desk.submit('lens', '--team=harbour', key=key)
    body = base64.b64decode(answered['body_base64'])
    assert json.loads(body)['echo'] == 'ring 1'
    task = f'harbour/{answered["request_id"]}'
    explained = desk.data('explain', task)
    assert explained['status'].startswith('done')
    assert any('w1' in event['what'] for event in explained['events'])
    walk_in = desk.submit('walk-in', '--team=harbour')
    assert walk_in['outcome'] == 'answered'
    refused = desk.submit('lens', '--team=harbour', key='a.b', code=1)
    assert refused['outcome'] == 'refused_not_run'
    words = ('keys', 'grant', 'nobody', '--asked-by=S. Prasert')
    assert 'has no rule' in desk.data(*words, code=1)['detail']
    history = desk.data('rules', 'history')
    assert [change['version'] for change in history] == [1, 2]
    assert 'w1' in desk.run('top', '--rounds=1')


def test_an_open_queue_takes_work_that_names_no_team(desk, tmp_path):
    serve(desk, tmp_path)
    assert desk.submit('walk-in')['outcome'] == 'answered'


def test_a_withdrawn_key_stops_working_within_seconds(desk, tmp_path):
    serve(desk, tmp_path)
    key = desk.data('keys', 'grant', 'harbour', '--asked-by=S. Prasert')['key']
    desk.submit('lens', '--team=harbour', key=key)
    withdrawn = desk.data('keys', 'withdraw', key.partition('.')[0])
    assert withdrawn['behind'] == []
    refused = desk.submit('lens', '--team=harbour', key=key, code=1)
    assert refused['status'] == 403
    text = desk.data('rules', 'show')['text']
    assert rules.parse(text).unwrap().keys == {}


def test_a_drained_worker_is_shown_as_leaving(desk, tmp_path):
    serve(desk, tmp_path)
    desk.run('drain', 'w1', '--operator=A. Saetang')
    (worker,) = desk.data('status')['workers']
    assert worker['state'] == 'leaving'
    assert desk.run('drain', 'w9', code=1) == ''


def quarantine(desk, tmp_path):
    """Put w1 in quarantine by a rule."""
    serve(desk, tmp_path)
    path = tmp_path / 'quarantine.rules'
    line = '{"rule": "worker", "worker": "w1", "state": "quarantined"}'
    path.write_text(f'{RULES}{line}  // asked by A. Saetang\n')
    desk.data('rules', 'apply', str(path), '--expected-version=1')


def test_a_worker_that_the_rules_quarantine_gets_no_task(desk, tmp_path):
    quarantine(desk, tmp_path)
    words = ('--team=harbour', '--timeout-ms=1500')
    refused = desk.submit('walk-in', *words, code=1)
    assert refused['outcome'] == 'refused_not_run'


def test_a_worker_that_the_rules_quarantine_is_shown_so(desk, tmp_path):
    quarantine(desk, tmp_path)
    (worker,) = desk.data('status')['workers']
    assert worker['state'] == 'quarantined'


def test_a_raced_change_is_refused_with_what_is_in_force(desk, tmp_path):
    serve(desk, tmp_path)
    stale = ('rules', 'apply', str(tmp_path / 'test.rules'))
    refused = desk.data(*stale, '--expected-version=0', code=1)
    assert 'version 0 was expected' in refused['detail']
    assert desk.data('rules', 'show')['version'] == 1


def test_planned_stops_end_with_0_and_json_logs(desk, tmp_path):
    serve(desk, tmp_path)
    roles = {'w1': 'worker', 'g1': 'gateway', 'c1': 'controller'}
    for name, role in roles.items():
        assert desk.cell.processes.stop(name) == 0, name
        log = (tmp_path / 'logs' / f'{name}.err').read_text()
        lines = [json.loads(line) for line in log.splitlines()]
        assert {(line['role'], line['id']) for line in lines} == {(role, name)}
        events = [line['event'] for line in lines]
        assert events.index('started') < events.index('stopping')
        assert events[-1] == 'stopped'


def test_a_daemon_with_bad_settings_says_where(tmp_path):
    path = tmp_path / 'bad.jsonc'
    path.write_text('{\n  "worker_id": "w1",\n  "slots": 3\n}\n')
    ended = command('run', 'worker', f'--settings={path}')
    assert ended.returncode == 1
    assert f'{path}:3: slots: found an unknown field' in ended.stderr
    assert 'did you mean "slots_count"?' in ended.stderr


def test_a_daemon_that_cannot_listen_ends_with_1(desk, tmp_path):
    settings = tmp_path / 'g2.jsonc'
    text = (tmp_path / 'g1.json').read_text()
    settings.write_text(text.replace('"g1"', '"g2"'))
    ended = command('run', 'gateway', f'--settings={settings}')
    assert ended.returncode == 1
    (line,) = [
        line
        for line in map(json.loads, ended.stderr.splitlines())
        if line['event'] == 'not started'
    ]
    assert line['id'] == 'g2' and 'in use' in line['why']
