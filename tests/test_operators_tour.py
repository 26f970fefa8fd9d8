"""An operator's day by the command line, with real processes."""

import base64
import json
import os
import subprocess
import sys
import time

import pytest

from dandeliondrum import rules
from tests import cells

TIMEOUT_S = 60


class Desk:
    """Where an operator and a caller type their commands."""

    def __init__(self, cell):
        self.cell = cell
        self.variables = {
            'DANDELIONDRUM_GATEWAYS': cell.addresses['g1/operators'],
            'DANDELIONDRUM_CALLERS': cell.addresses['g1/callers'],
        }

    def run(self, *words, code=0, key=''):
        ended = subprocess.run(
            [sys.executable, '-m', 'dandeliondrum.command', *words],
            cwd=cells.REPOSITORY,
            env={**os.environ, **self.variables, 'DANDELIONDRUM_KEY': key},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        assert ended.returncode == code, (words, ended)
        return ended.stdout

    def data(self, *words, **options):
        return json.loads(self.run(*words, '--json', **options))

    def submit(self, queue, *words, **options):
        body = json.dumps({'echo': 'ring 1'})
        return self.data('submit', queue, f'--body={body}', *words, **options)


@pytest.fixture
def desk(make_cell):
    """A cell of one of each role that nobody has formed yet."""
    cell = make_cell()
    cell.addresses['c1'] = f'127.0.0.1:{cells.free_port()}'
    cell.controller('c1', ['c1'])
    cell.gateway('g1', ['c1'])
    made = Desk(cell)
    wait_for_port(cell.addresses['c1'])
    return made


def wait_for_port(address):
    host, port = address.split(':')

    def listens():
        try:
            cells.socket.create_connection((host, int(port)), 1).close()
        except OSError:
            return False
        return True

    cells.wait_until(listens)


def form(desk, **options):
    member = f'c1={desk.cell.addresses["c1"]}'
    words = ('controllers', 'form', member, f'--cell-id={cells.CELL}')
    return desk.data(*words, **options)


def serve(desk, tmp_path):
    form(desk)
    desk.cell.ready(['g1'])
    (tmp_path / 'test.rules').write_text(cells.RULES)
    applied = desk.data(
        'rules', 'apply', str(tmp_path / 'test.rules'), '--expected-version=0'
    )
    assert (applied['version'], applied['behind']) == (1, [])
    desk.cell.workers(1, ['g1'])
    desk.cell.ready(['g1'], workers_count=1)


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


def test_a_raced_change_is_refused_with_what_is_in_force(desk, tmp_path):
    serve(desk, tmp_path)
    stale = ('rules', 'apply', str(tmp_path / 'test.rules'))
    refused = desk.data(*stale, '--expected-version=0', code=1)
    assert 'version 0 was expected' in refused['detail']
    assert desk.data('rules', 'show')['version'] == 1


def test_planned_stops_end_with_0_and_json_logs(desk, tmp_path):
    serve(desk, tmp_path)
    started_s = time.monotonic()
    for name in ('w1', 'g1', 'c1'):
        assert desk.cell.stop(name) == 0, name
    assert time.monotonic() - started_s < 3 * cells.STOP_TIMEOUT_S
    roles = {'w1': 'worker', 'g1': 'gateway', 'c1': 'controller'}
    for name, role in roles.items():
        log = (desk.cell.folder / f'{name}.log').read_text()
        lines = [json.loads(line) for line in log.splitlines()]
        assert {(line['role'], line['id']) for line in lines} == {(role, name)}
        events = [line['event'] for line in lines]
        assert 'started' in events
        assert events.index('started') < events.index('stopping')
        assert events[-1] == 'stopped'


def test_a_daemon_with_bad_settings_says_where(desk, tmp_path):
    path = tmp_path / 'bad.jsonc'
    path.write_text('{\n  "worker_id": "w1",\n  "slots": 3\n}\n')
    ended = subprocess.run(
        [
            sys.executable,
            '-m',
            'dandeliondrum.command',
            'run',
            'worker',
            f'--settings={path}',
        ],
        cwd=cells.REPOSITORY,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert ended.returncode == 1
    assert f'{path}:3: slots: found an unknown field' in ended.stderr
    assert 'did you mean "slots_count"?' in ended.stderr
