"""``rules`` and ``keys``: what is changed, reported and resent."""

import pytest

from dandeliondrum import messages
from dandeliondrum import rules

TEAM = '{"rule": "team", "team": "harbour", "share": 3}  // asked by S. P.\n'
OTHER = TEAM.replace('harbour', 'prisms')
DOWN = '127.0.0.1:1'


@pytest.fixture
def file(tmp_path):
    path = tmp_path / 'bureau.rules'
    path.write_text(TEAM)
    return path


def puts(gateway):
    return [call for call in gateway.calls if call[0] == 'PUT']


def test_check_counts_what_a_whole_file_has(run, file):
    ended = run('rules', 'check', str(file))
    assert (ended.code, ended.err) == (0, '')
    assert 'no problem (teams 1, keys 0' in ended.out
    assert run('rules', 'check', '--json', str(file)).data()['teams'] == 1


def test_check_names_file_line_and_column(run, file):
    file.write_text(f'{TEAM}{TEAM}\nnonsense\n')
    ended = run('rules', 'check', str(file))
    assert (ended.code, ended.out) == (1, '')
    first, second = ended.err.splitlines()
    assert first.startswith(f'{file}:2:1: team "harbour" has a rule on line 1')
    assert second.startswith(f'{file}:4:1: a rule begins with')
    data = run('rules', 'check', str(file), '--json').data()
    assert [item['line'] for item in data['problems']] == [2, 4]


@pytest.mark.parametrize('data', [b'\xff\xfe', b'\x00\x01\x02{{'])
def test_check_of_bytes_that_are_no_rules(run, file, data):
    file.write_bytes(data)
    assert run('rules', 'check', str(file)).code == 1


def test_check_of_a_file_that_is_not_there(run, tmp_path):
    ended = run('rules', 'check', str(tmp_path / 'none'))
    assert ended.code == 1
    assert 'No such file' in ended.err


def test_apply_waits_until_the_gateways_have_it(run, gateway, at, file):
    ended = run('rules', 'apply', str(file), '--expected-version=0', at)
    assert ended.code == 0
    assert 'version 1 is agreed; in force on 1 of 1' in ended.out
    assert gateway.text == TEAM


def test_apply_says_which_gateway_is_behind(run, gateway, at, file):
    gateway.lag = 1
    words = ('--expected-version=0', '--wait-ms=1', at, '--json')
    ended = run('rules', 'apply', str(file), *words)
    assert ended.code == 0
    assert ended.data()['behind'] == ['g1']


def test_apply_of_a_bad_file_asks_no_gateway(run, gateway, at, file):
    file.write_text('nonsense')
    ended = run('rules', 'apply', str(file), '--expected-version=0', at)
    assert ended.code == 1
    assert gateway.calls == []


def test_apply_after_somebody_else_changes_nothing(run, gateway, at, file):
    gateway.rivals = [OTHER]
    ended = run('rules', 'apply', str(file), '--expected-version=0', at)
    assert ended.code == 1
    assert 'nothing was changed: 1 is in force' in ended.err
    assert gateway.text == OTHER


def test_apply_is_sent_again_under_its_id(run, gateway, file):
    gateway.lose_answers = 1
    twice = f'--gateways={gateway.address},{gateway.address}'
    ended = run('rules', 'apply', str(file), '--expected-version=0', twice)
    assert ended.code == 0
    first, second = puts(gateway)
    name = 'Dandeliondrum-Change-Id'
    assert first[2][name] == second[2][name]
    assert gateway.version == 1


def test_a_lost_answer_is_in_doubt_and_can_be_asked_for(
    run, gateway, at, file
):
    gateway.lose_answers = 1
    words = ('rules', 'apply', str(file), '--expected-version=0', at)
    ended = run(*words)
    assert ended.code == 3
    change_id = ended.err.split('--change-id ')[1].strip()
    again = run(*words, f'--change-id={change_id}')
    assert again.code == 0
    assert gateway.version == 1


def test_the_next_gateway_is_tried_when_one_is_down(run, gateway, file):
    both = f'--gateways={DOWN},{gateway.address}'
    ended = run('rules', 'apply', str(file), '--expected-version=0', both)
    assert ended.code == 0


def test_no_gateway_is_unreachable(run, file):
    words = ('--expected-version=0', f'--gateways={DOWN}')
    ended = run('rules', 'apply', str(file), *words)
    assert ended.code == 4
    assert 'no gateway could be reached' in ended.err


def test_show_prints_the_text_as_it_was_applied(run, gateway, at):
    gateway.text = TEAM
    ended = run('rules', 'show', at)
    assert (ended.code, ended.out) == (0, TEAM)
    assert ended.err == 'version 0\n'
    assert run('rules', 'show', at, '--json').data()['text'] == TEAM


def test_history_lists_who_changed_what(run, gateway, at, file):
    flags = (at, '--operator=A. Saetang', '--change-id=0012')
    run('rules', 'apply', str(file), '--expected-version=0', *flags)
    assert run('rules', 'history', at, '--json').data() == [
        {
            'version': 1,
            'operator': 'A. Saetang',
            'cell_time_ms': 1_000,
            'change_id': '0012',
        }
    ]
    assert 'A. Saetang' in run('rules', 'history', at).out


def test_a_granted_key_works_and_a_withdrawn_one_does_not(run, gateway, at):
    gateway.text = TEAM + (
        '{"rule": "queue", "queue": "q", "open": false, "class": "batch"}'
        '  // asked by S. P.\n'
    )
    granted = run('keys', 'grant', 'harbour', '--asked-by=N. Boonmee', at)
    assert granted.code == 0
    key = granted.out.strip()
    assert 'asked by N. Boonmee, ' in gateway.text
    allowed = rules.authorize(
        rules.parse(gateway.text).unwrap(),
        messages.TeamId('harbour'),
        messages.QueueName('q'),
        key,
    )
    assert allowed.value_or('refused') is None
    key_id = key.partition('.')[0]
    assert run('keys', 'withdraw', key_id, at).code == 0
    assert key_id not in gateway.text
    assert run('keys', 'withdraw', key_id, at).code == 1


@pytest.mark.parametrize('key_id', ['12345678e1234567', '1234567812345678'])
def test_key_ids_that_look_like_numbers_stay_as_they_are(
    run, gateway, at, key_id
):
    gateway.text = TEAM + rules.new_key(
        messages.TeamId('harbour')
    ).rule_line.replace('"key_id": "', f'"key_id": "{key_id}', 1)
    stored = gateway.text.split('"key_id": "')[1].split('"')[0]
    gateway.text = gateway.text.replace(stored, key_id)
    assert run('keys', 'withdraw', key_id, at).code == 0
    assert key_id not in gateway.text


def test_a_grant_survives_a_race(run, gateway, at):
    gateway.text = TEAM
    gateway.rivals = [TEAM + OTHER, OTHER + TEAM]
    ended = run('keys', 'grant', 'harbour', '--asked-by=N. Boonmee', at)
    assert ended.code == 0
    assert gateway.text.startswith(OTHER + TEAM)
    assert len(puts(gateway)) == 3


def test_a_grant_gives_up_after_many_races(run, gateway, at):
    gateway.text = TEAM
    gateway.rivals = [TEAM] * 100
    ended = run('keys', 'grant', 'harbour', '--asked-by=N. Boonmee', at)
    assert ended.code == 1
    assert 'nothing was changed' in ended.err


def test_a_grant_without_an_answer_is_in_doubt(run, gateway, at):
    gateway.text = TEAM
    run('rules', 'show', at)
    gateway.take_before = gateway.take

    def take(method, *rest):
        gateway.lose_answers = int(method == 'PUT')
        return gateway.take_before(method, *rest)

    gateway.take = take
    ended = run('keys', 'grant', 'harbour', '--asked-by=N. Boonmee', at)
    assert ended.code == 3
    key_id = ended.out.partition('.')[0]
    assert key_id in gateway.text
    assert f'says whether {key_id} is in force' in ended.err


def test_the_operators_key_is_shown_from_a_file(run, gateway, at, tmp_path):
    (tmp_path / 'key').write_text('secret\n')
    run('rules', 'show', at, f'--key-file={tmp_path / "key"}')
    assert gateway.calls[0][2]['Authorization'] == 'Bearer secret'
    missing = run('rules', 'show', at, f'--key-file={tmp_path / "none"}')
    assert missing.code == 1
    assert 'No such file' in missing.err
