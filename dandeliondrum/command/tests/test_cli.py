"""Tests of usage errors, help, exit codes and the fleet and task commands."""

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
    result = run(*words)
    assert result.code == 0
    assert expected in result.err
    assert 'FIRE_METADATA' not in result.err


def test_status(run, gateways_flag):
    result = run('status', gateways_flag)
    assert result.code == 0
    assert 'leader c1, term 3' in result.out
    assert 'workers: 2 active, 1 quarantined' in result.out
    data = run('status', gateways_flag, '--json').data()
    assert data['teams'][0]['queued_count'] == 12
    assert len(data['workers']) == 3


def test_top_shows_the_most_utilized_worker_first(run, gateways_flag):
    result = run('top', '--rounds=2', '--every-ms=1', gateways_flag)
    assert result.code == 0
    assert result.out.count('leader c1, term 3') == 2
    assert result.out.index('w2 ') < result.out.index('w1 ')


def test_top_continues_when_no_gateway_is_reachable(run):
    words = ('--rounds=2', '--every-ms=1', '--gateways=127.0.0.1:1')
    result = run('top', *words)
    assert result.code == 4
    assert result.err.count('no gateway could be reached') == 2


def test_drain(run, gateway, gateways_flag):
    result = run('drain', 'w1', '--operator=Nöi', gateways_flag)
    assert result.code == 0
    method, path, headers, _ = gateway.calls[0]
    assert (method, path) == ('POST', '/v1/workers/w1/drain')
    operator = headers['Dandeliondrum-Operator'].encode('latin-1').decode()
    assert operator == 'Nöi'


def test_drain_of_an_unknown_worker_is_refused(run, gateways_flag):
    result = run('drain', 'w9', gateways_flag)
    assert result.code == 1
    assert 'no such worker' in result.err


def test_a_value_with_a_line_break_is_not_sent(run, gateway, gateways_flag):
    result = run('drain', 'w1', '--operator=a\r\nX: y', gateways_flag)
    assert result.code == 4
    assert gateway.calls == []


@pytest.mark.parametrize(
    'words', [('harbour/r/1',), ('r/1', '--team=harbour')]
)
def test_explain(run, gateway, gateways_flag, words):
    result = run('explain', *words, gateways_flag)
    assert result.code == 0
    assert result.out.startswith('harbour/r/1: done')
    assert 'assigned to w2: most free' in result.out
    assert fake_gateway.query(gateway.calls[0][1]) == {'team': 'harbour'}


def test_a_membership_change_is_not_retried(run, gateway):
    gateway.drop_responses_count = 5
    same_gateway_twice = f'--gateways={gateway.address},{gateway.address}'
    assert (
        run(
            'controllers', 'add', 'c4', '10.0.0.4:7001', same_gateway_twice
        ).code
        == 3
    )
    assert run('controllers', 'remove', 'c4', same_gateway_twice).code == 3
    assert len(gateway.calls) == 2


def test_members_are_added_and_removed(run, gateway, gateways_flag):
    assert (
        run('controllers', 'add', 'c4', '10.0.0.4:7001', gateways_flag).code
        == 0
    )
    assert run('controllers', 'remove', 'c4', gateways_flag).code == 0
    assert b'"address":"10.0.0.4:7001"' in gateway.calls[0][3]


def test_submit_prints_the_answer(run, gateway):
    gateway.answer[1]['Dandeliondrum-Attempt'] = 'harbour/r1#1'
    callers = f'--callers={gateway.address}'
    words = ('submit', 'figuring', '--team=harbour', '--body=007', callers)
    result = run(*words)
    assert (result.code, result.out) == (0, 'ground\n')
    _, _, headers, body = gateway.calls[0]
    assert body == b'007'
    assert headers['Dandeliondrum-First-Sending'] == 'true'
    assert headers['Dandeliondrum-Idempotent'] == 'false'
    data = run(*words, '--json').data()
    assert base64.b64decode(data['body_base64']) == b'ground'
    assert data['attempt_id'] == 'harbour/r1#1'


def test_a_given_request_id_is_not_marked_as_first_sending(run, gateway):
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


def test_a_task_without_a_response_is_in_doubt_and_not_retried(run, gateway):
    gateway.drop_responses_count = 5
    same_gateway_twice = f'--callers={gateway.address},{gateway.address}'
    result = run('submit', 'q', '--body=x', same_gateway_twice)
    assert result.code == 3
    assert 'ask again for the same task with --request-id' in result.err
    assert len(gateway.calls) == 1


def test_a_truncated_answer_is_in_doubt(run, gateway):
    gateway.answer = (
        200,
        {'Dandeliondrum-Outcome': 'answered', 'Content-Length': '9999'},
        b'ground',
    )
    callers = f'--callers={gateway.address}'
    result = run('submit', 'q', '--body=x', '--timeout-ms=1', callers)
    assert (result.code, result.out) == (3, '')


def test_submit_without_a_reachable_gateway_is_not_run(run):
    result = run('submit', 'q', '--body=x', '--callers=127.0.0.1:1', '--json')
    assert result.code == 4
    assert result.data()['outcome'] == 'refused_not_run'


def test_settings_check(run, tmp_path):
    path = tmp_path / 'worker.json5'
    path.write_text('{"worker_id": "w1",\n "rack": 7}')
    result = run('settings', 'check', str(path))
    assert result.code == 1
    assert f'{path}:2: rack: found 7, allowed: a name' in result.err
    problems = run('settings', 'check', str(path), '--json').data()['problems']
    assert {'line': 2, 'field': 'rack'}.items() <= problems[-1].items()
