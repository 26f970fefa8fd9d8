"""Tests of the ``rules`` and ``keys`` commands."""

import pytest

from dandeliondrum import messages
from dandeliondrum import rules

TEAM = '{"rule": "team", "team": "harbour", "share": 3}  // asked by S. P.\n'
OTHER = TEAM.replace('harbour', 'prisms')
UNREACHABLE = '127.0.0.1:1'


@pytest.fixture
def rules_file(tmp_path):
    path = tmp_path / 'bureau.rules'
    path.write_text(TEAM)
    return path


def put_calls(gateway):
    return [call for call in gateway.calls if call[0] == 'PUT']


def test_check_counts_the_rules_of_a_valid_file(run, rules_file):
    result = run('rules', 'check', str(rules_file))
    assert (result.code, result.err) == (0, '')
    assert 'no problem (teams 1, keys 0' in result.out
    assert (
        run('rules', 'check', '--json', str(rules_file)).data()['teams'] == 1
    )


def test_check_names_file_line_and_column(run, rules_file):
    rules_file.write_text(f'{TEAM}{TEAM}\nnonsense\n')
    result = run('rules', 'check', str(rules_file))
    assert (result.code, result.out) == (1, '')
    first, second = result.err.splitlines()
    assert first.startswith(
        f'{rules_file}:2:1: team "harbour" has a rule on line 1'
    )
    assert second.startswith(f'{rules_file}:4:1: a rule begins with')
    data = run('rules', 'check', str(rules_file), '--json').data()
    assert [item['line'] for item in data['problems']] == [2, 4]


@pytest.mark.parametrize('data', [b'\xff\xfe', b'\x00\x01\x02{{'])
def test_check_of_binary_data(run, rules_file, data):
    rules_file.write_bytes(data)
    assert run('rules', 'check', str(rules_file)).code == 1


def test_check_of_a_missing_file(run, tmp_path):
    result = run('rules', 'check', str(tmp_path / 'none'))
    assert result.code == 1
    assert 'No such file' in result.err


def test_check_warns_and_compares_with_another_file(run, rules_file, tmp_path):
    """Valid rules that have no effect would otherwise be applied unnoticed."""
    other = tmp_path / 'other.rules'
    other.write_text(TEAM.replace('3', '2') + OTHER)
    result = run('rules', 'check', str(rules_file), f'--against={other}')
    assert result.code == 0
    assert result.out.splitlines()[1:] == [
        'team "harbour": share 2 -> 3',
        'team "prisms": removed',
    ]
    assert f'{rules_file}:1: warning: team "harbour" has no key' in result.err


def test_a_strict_check_fails_for_a_warning(run, rules_file):
    result = run('rules', 'check', str(rules_file), '--strict', '--json')
    assert result.code == 5
    assert result.data()['problems'] == []
    assert len(result.data()['warnings']) == 2
    assert result.data()['warnings'][0]['line'] == 1


def test_check_compares_with_the_rules_in_force(
    run, gateway, gateways_flag, rules_file
):
    gateway.text = TEAM + OTHER
    words = ('--against=in-force', gateways_flag)
    result = run('rules', 'check', str(rules_file), *words)
    assert result.code == 0
    assert result.out.splitlines()[1:] == ['team "prisms": removed']
    gateway.text = TEAM
    result = run('rules', 'check', str(rules_file), *words)
    assert result.out.splitlines()[1:] == ['no difference']
    assert put_calls(gateway) == []


def test_check_compares_with_a_version_if_it_is_in_force(
    run, gateway, gateways_flag, rules_file
):
    """A cell keeps no text of other versions, and must not seem to."""
    gateway.text, gateway.version = TEAM + OTHER, 7
    words = ('rules', 'check', str(rules_file), gateways_flag)
    result = run(*words, '--against=7')
    assert result.code == 0
    assert result.out.splitlines()[1:] == ['team "prisms": removed']
    result = run(*words, '--against=6')
    assert (result.code, result.out) == (1, '')
    assert 'version 6 is not in force; version 7 is' in result.err


def test_check_against_the_cell_warns_of_limits_below_the_use(
    run, gateway, gateways_flag, rules_file
):
    gateway.text = TEAM
    limited = TEAM.replace('3', '3, "upper_limit": {"running": 2}')
    rules_file.write_text(f'\n{limited}')
    words = ('--against=in-force', gateways_flag)
    result = run('rules', 'check', str(rules_file), *words)
    assert result.code == 0
    assert f'{rules_file}:2: warning: team "harbour" uses 3 ' in result.err


def test_check_against_an_unreachable_cell_fails(run, rules_file):
    words = ('--against=in-force', f'--gateways={UNREACHABLE}')
    assert run('rules', 'check', str(rules_file), *words).code == 4


def test_check_against_an_invalid_file_names_that_file(
    run, rules_file, tmp_path
):
    other = tmp_path / 'other.rules'
    other.write_text('nonsense')
    result = run('rules', 'check', str(rules_file), f'--against={other}')
    assert result.code == 1
    assert result.err.startswith(f'{other}:1:1: ')


def test_apply_waits_until_the_rules_are_in_force(
    run, gateway, gateways_flag, rules_file
):
    result = run(
        'rules',
        'apply',
        str(rules_file),
        '--expected-version=0',
        gateways_flag,
    )
    assert result.code == 0
    assert 'version 1 is agreed; in force on 1 of 1' in result.out
    assert gateway.text == TEAM


def test_apply_says_which_gateway_is_behind(
    run, gateway, gateways_flag, rules_file
):
    gateway.versions_behind = 1
    words = ('--expected-version=0', '--wait-ms=1', gateways_flag, '--json')
    result = run('rules', 'apply', str(rules_file), *words)
    assert result.code == 0
    assert result.data()['behind'] == ['g1']


def test_apply_of_an_invalid_file_calls_no_gateway(
    run, gateway, gateways_flag, rules_file
):
    rules_file.write_text('nonsense')
    result = run(
        'rules',
        'apply',
        str(rules_file),
        '--expected-version=0',
        gateways_flag,
    )
    assert result.code == 1
    assert gateway.calls == []


def test_apply_after_a_concurrent_change_is_refused(
    run, gateway, gateways_flag, rules_file
):
    gateway.concurrent_texts = [OTHER]
    result = run(
        'rules',
        'apply',
        str(rules_file),
        '--expected-version=0',
        gateways_flag,
    )
    assert result.code == 1
    assert 'nothing was changed: 1 is in force' in result.err
    assert gateway.text == OTHER


def test_apply_is_retried_under_the_same_change_id(run, gateway, rules_file):
    gateway.drop_responses_count = 1
    same_gateway_twice = f'--gateways={gateway.address},{gateway.address}'
    result = run(
        'rules',
        'apply',
        str(rules_file),
        '--expected-version=0',
        same_gateway_twice,
    )
    assert result.code == 0
    first, second = put_calls(gateway)
    name = 'Dandeliondrum-Change-Id'
    assert first[2][name] == second[2][name]
    assert gateway.version == 1


def test_apply_in_doubt_can_be_repeated_with_its_change_id(
    run, gateway, gateways_flag, rules_file
):
    gateway.drop_responses_count = 1
    words = (
        'rules',
        'apply',
        str(rules_file),
        '--expected-version=0',
        gateways_flag,
    )
    result = run(*words)
    assert result.code == 3
    change_id = result.err.split('--change-id ')[1].strip()
    again = run(*words, f'--change-id={change_id}')
    assert again.code == 0
    assert gateway.version == 1


def test_the_next_gateway_is_tried_when_one_is_down(run, gateway, rules_file):
    both_gateways = f'--gateways={UNREACHABLE},{gateway.address}'
    result = run(
        'rules',
        'apply',
        str(rules_file),
        '--expected-version=0',
        both_gateways,
    )
    assert result.code == 0


def test_no_gateway_is_unreachable(run, rules_file):
    words = ('--expected-version=0', f'--gateways={UNREACHABLE}')
    result = run('rules', 'apply', str(rules_file), *words)
    assert result.code == 4
    assert 'no gateway could be reached' in result.err


def test_show_prints_the_applied_text(run, gateway, gateways_flag):
    gateway.text = TEAM
    result = run('rules', 'show', gateways_flag)
    assert (result.code, result.out) == (0, TEAM)
    assert result.err == 'version 0\n'
    assert run('rules', 'show', gateways_flag, '--json').data()['text'] == TEAM


def test_history_lists_the_changes(run, gateway, gateways_flag, rules_file):
    flags = (gateways_flag, '--operator=A. Saetang', '--change-id=0012')
    run('rules', 'apply', str(rules_file), '--expected-version=0', *flags)
    assert run('rules', 'history', gateways_flag, '--json').data() == [
        {
            'version': 1,
            'operator': 'A. Saetang',
            'cell_time_ms': 1_000,
            'change_id': '0012',
        }
    ]
    assert 'A. Saetang' in run('rules', 'history', gateways_flag).out


def test_a_granted_key_works_and_a_withdrawn_one_does_not(
    run, gateway, gateways_flag
):
    gateway.text = TEAM + (
        '{"rule": "queue", "queue": "q", "open": false, "class": "batch"}'
        '  // asked by S. P.\n'
    )
    granted = run(
        'keys', 'grant', 'harbour', '--asked-by=N. Boonmee', gateways_flag
    )
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
    assert run('keys', 'withdraw', key_id, gateways_flag).code == 0
    assert key_id not in gateway.text
    assert run('keys', 'withdraw', key_id, gateways_flag).code == 1


@pytest.mark.parametrize('key_id', ['12345678e1234567', '1234567812345678'])
def test_key_ids_that_look_like_numbers_are_unchanged(
    run, gateway, gateways_flag, key_id
):
    gateway.text = TEAM + rules.new_key(
        messages.TeamId('harbour')
    ).rule_line.replace('"key_id": "', f'"key_id": "{key_id}', 1)
    stored = gateway.text.split('"key_id": "')[1].split('"')[0]
    gateway.text = gateway.text.replace(stored, key_id)
    assert run('keys', 'withdraw', key_id, gateways_flag).code == 0
    assert key_id not in gateway.text


def test_grant_retries_after_concurrent_changes(run, gateway, gateways_flag):
    gateway.text = TEAM
    gateway.concurrent_texts = [TEAM + OTHER, OTHER + TEAM]
    result = run(
        'keys', 'grant', 'harbour', '--asked-by=N. Boonmee', gateways_flag
    )
    assert result.code == 0
    assert gateway.text.startswith(OTHER + TEAM)
    assert len(put_calls(gateway)) == 3


def test_grant_gives_up_after_many_concurrent_changes(
    run, gateway, gateways_flag
):
    gateway.text = TEAM
    gateway.concurrent_texts = [TEAM] * 100
    result = run(
        'keys', 'grant', 'harbour', '--asked-by=N. Boonmee', gateways_flag
    )
    assert result.code == 1
    assert 'nothing was changed' in result.err


def test_grant_without_a_response_is_in_doubt(run, gateway, gateways_flag):
    gateway.text = TEAM
    run('rules', 'show', gateways_flag)
    gateway.original_handle = gateway.handle

    def handle(method, *rest):
        gateway.drop_responses_count = int(method == 'PUT')
        return gateway.original_handle(method, *rest)

    gateway.handle = handle
    result = run(
        'keys', 'grant', 'harbour', '--asked-by=N. Boonmee', gateways_flag
    )
    assert result.code == 3
    key_id = result.out.partition('.')[0]
    assert key_id in gateway.text
    assert f'says whether {key_id} is in force' in result.err


def test_the_operator_key_is_read_from_a_file(
    run, gateway, gateways_flag, tmp_path
):
    (tmp_path / 'key').write_text('secret\n')
    run('rules', 'show', gateways_flag, f'--key-file={tmp_path / "key"}')
    assert gateway.calls[0][2]['Authorization'] == 'Bearer secret'
    missing = run(
        'rules', 'show', gateways_flag, f'--key-file={tmp_path / "none"}'
    )
    assert missing.code == 1
    assert 'No such file' in missing.err
