"""Usage, help, exit codes; the fleet, drain, explain, submit."""

import base64

import pytest

from dandeliondrum import command
from dandeliondrum.command.tests import fake_gateway


@pytest.mark.parametrize(
    'words',
    [
        (),
        ('rules',),
        ('nonsense',),
        ('rules', 'check'),
        ('drain', 'w1', '--nonsense=3'),
        ('drain', 'w1', 'w2'),
        ('rules', 'apply', 'file', '3'),
        ('keys', 'grant', 'harbour'),
        ('top', '--every-ms=soon'),
        ('run', 'king', '--settings=x'),
        ('controllers', 'form', 'c1', '--cell-id=a'),
        ('controllers', 'form', '--cell-id=a'),
        ('explain', 'r1'),
    ],
)
def test_wrong_usage(run, gateway, monkeypatch, words):
    monkeypatch.setenv('DANDELIONDRUM_GATEWAYS', gateway.address)
    assert run(*words).code == command.ExitCode.USAGE
    assert gateway.calls == []


@pytest.mark.parametrize(
    ('words', 'expected'),
    [
        (('--help',), 'Exit codes: 0 done; 1 refused'),
        (('rules', '--help'), 'Replace the rules in force by those of a'),
        (('rules', 'apply', '--help'), 'The version that the file was made'),
        (('keys', 'grant', '--help'), 'Who asked for the key'),
        (('run', '--help'), 'One of controller, gateway, worker.'),
        (('submit', '--help'), 'in doubt'),
        (('controllers', 'form', '--help'), 'Found a new cell'),
    ],
)
def test_help(run, words, expected):
    ended = run(*words)
    assert ended.code == 0
    assert expected in ended.err
    assert 'FIRE_METADATA' not in ended.err


def test_status(run, at):
    ended = run('status', at)
    assert ended.code == 0
    assert 'leader c1, term 3' in ended.out
    assert 'workers: 2 active, 1 quarantined' in ended.out
    data = run('status', at, '--json').data()
    assert data['teams'][0]['queued_count'] == 12
    assert len(data['workers']) == 3


def test_top_shows_the_fullest_worker_first(run, at):
    ended = run('top', '--rounds=2', '--every-ms=1', at)
    assert ended.code == 0
    assert ended.out.count('leader c1, term 3') == 2
    assert ended.out.index('w2 ') < ended.out.index('w1 ')


def test_top_goes_on_when_nobody_answers(run):
    words = ('--rounds=2', '--every-ms=1', '--gateways=127.0.0.1:1')
    ended = run('top', *words)
    assert ended.code == 4
    assert ended.err.count('no gateway could be reached') == 2


def test_drain(run, gateway, at):
    ended = run('drain', 'w1', '--operator=Nöi', at)
    assert ended.code == 0
    method, path, headers, _ = gateway.calls[0]
    assert (method, path) == ('POST', '/v1/workers/w1/drain')
    sent = headers['Dandeliondrum-Operator'].encode('latin-1').decode()
    assert sent == 'Nöi'


def test_drain_of_an_unknown_worker_is_refused(run, at):
    ended = run('drain', 'w9', at)
    assert ended.code == 1
    assert 'no such worker' in ended.err


def test_a_header_cannot_be_smuggled_in(run, gateway, at):
    ended = run('drain', 'w1', '--operator=a\r\nX: y', at)
    assert ended.code == 4
    assert gateway.calls == []


@pytest.mark.parametrize(
    'words', [('harbour/r/1',), ('r/1', '--team=harbour')]
)
def test_explain(run, gateway, at, words):
    ended = run('explain', *words, at)
    assert ended.code == 0
    assert ended.out.startswith('harbour/r/1: done')
    assert 'assigned to w2: most free' in ended.out
    assert fake_gateway.query(gateway.calls[0][1]) == {'team': 'harbour'}


def test_a_change_of_members_is_tried_once(run, gateway):
    gateway.lose_answers = 5
    both = f'--gateways={gateway.address},{gateway.address}'
    assert run('controllers', 'add', 'c4', '10.0.0.4:7001', both).code == 3
    assert run('controllers', 'remove', 'c4', both).code == 3
    assert len(gateway.calls) == 2


def test_members_are_added_and_removed(run, gateway, at):
    assert run('controllers', 'add', 'c4', '10.0.0.4:7001', at).code == 0
    assert run('controllers', 'remove', 'c4', at).code == 0
    assert b'"address":"10.0.0.4:7001"' in gateway.calls[0][3]


def test_submit_prints_the_answer(run, gateway):
    gateway.answer[1]['Dandeliondrum-Attempt'] = 'harbour/r1#1'
    callers = f'--callers={gateway.address}'
    words = ('submit', 'figuring', '--team=harbour', '--body=007', callers)
    ended = run(*words)
    assert (ended.code, ended.out) == (0, 'ground\n')
    _, _, headers, body = gateway.calls[0]
    assert body == b'007'
    assert headers['Dandeliondrum-First-Sending'] == 'true'
    assert headers['Dandeliondrum-Idempotent'] == 'false'
    data = run(*words, '--json').data()
    assert base64.b64decode(data['body_base64']) == b'ground'
    assert data['attempt_id'] == 'harbour/r1#1'


def test_a_given_request_id_is_not_vouched_for(run, gateway):
    run(
        'submit',
        'figuring',
        '--body=x',
        '--request-id=1e5',
        '--idempotent=True',
        f'--callers={gateway.address}',
    )
    headers = gateway.calls[0][2]
    assert headers['Dandeliondrum-Request-Id'] == '1e5'
    assert headers['Dandeliondrum-Idempotent'] == 'true'
    assert 'Dandeliondrum-First-Sending' not in headers


@pytest.mark.parametrize(
    ('status', 'outcome', 'code'),
    [
        (429, 'refused_not_run', 1),
        (502, 'in_doubt', 3),
        (500, 'answered', 1),
        (500, '', 3),
        (200, '', 3),
    ],
)
def test_exit_codes_of_submit(run, gateway, status, outcome, code):
    headers = {'Dandeliondrum-Outcome': outcome} if outcome else {}
    gateway.answer = (status, headers, b'why')
    callers = f'--callers={gateway.address}'
    assert run('submit', 'q', '--body=x', callers).code == code


def test_a_lost_answer_of_a_task_is_in_doubt_and_not_sent_again(run, gateway):
    gateway.lose_answers = 5
    both = f'--callers={gateway.address},{gateway.address}'
    ended = run('submit', 'q', '--body=x', both)
    assert ended.code == 3
    assert 'ask again for the same task with --request-id' in ended.err
    assert len(gateway.calls) == 1


def test_a_cut_answer_is_never_taken_for_a_whole_one(run, gateway):
    gateway.answer = (
        200,
        {'Dandeliondrum-Outcome': 'answered', 'Content-Length': '9999'},
        b'ground',
    )
    callers = f'--callers={gateway.address}'
    ended = run('submit', 'q', '--body=x', '--timeout-ms=1', callers)
    assert (ended.code, ended.out) == (3, '')


def test_submit_to_nobody_is_not_run(run):
    ended = run('submit', 'q', '--body=x', '--callers=127.0.0.1:1', '--json')
    assert ended.code == 4
    assert ended.data()['outcome'] == 'refused_not_run'


def test_settings_check(run, tmp_path):
    path = tmp_path / 'worker.json5'
    path.write_text('{"worker_id": "w1",\n "rack": 7}')
    ended = run('settings', 'check', str(path))
    assert ended.code == 1
    assert f'{path}:2: rack: found 7, allowed: a name' in ended.err
    problems = run('settings', 'check', str(path), '--json').data()['problems']
    assert {'line': 2, 'field': 'rack'}.items() <= problems[-1].items()
