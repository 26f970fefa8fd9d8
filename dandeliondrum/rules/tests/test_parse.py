"""Tests of valid rules files and of each kind of problem in one."""

import random

import pytest
from returns import result

from dandeliondrum import messages
from dandeliondrum import rules

TEAM = (
    '{"rule": "team", "team": "harbour", "share": 3}  // asked by S. Prasert'
)
LIMITED = (
    '{"rule": "team", "team": "figuring", "share": 5, "upper_limit": '
    '{"running": 40, "cpu_millicores": 200000}}  // asked by A. Saetang'
)
QUEUE = (
    '{"rule": "queue", "queue": "status", "open": true, "class": "urgent", '
    '"queued_max": 50, "team": "harbour"}  // asked by S. Prasert'
)


def problems_of(text):
    outcome = rules.parse(text)
    assert isinstance(outcome, result.Failure), outcome
    return outcome.failure()


def test_parses_rules_of_every_kind():
    text = '\n'.join(
        [
            '// rules of the Bureau',
            '',
            TEAM,
            LIMITED,
            QUEUE,
            '{"rule": "worker", "worker": "w7", "state": "quarantined"} //ops',
            '{"rule": "defaults", "retries_max": 2, '
            '"lease_ms": {"service": 120000}}  // asked by ops',
        ]
    )
    rule_set = rules.parse(text).unwrap()
    assert rule_set.teams['harbour'] == rules.TeamRule(
        messages.TeamId('harbour'), 3, None, None, 'S. Prasert'
    )
    assert rule_set.teams['figuring'].running_max == 40
    assert rule_set.teams['figuring'].resources_max == messages.Resources(
        200_000, rules.UNLIMITED, rules.UNLIMITED
    )
    queue = rule_set.queues['status']
    assert queue.is_open and queue.queued_max == 50
    assert queue.task_class is messages.TaskClass.URGENT
    state = rule_set.workers['w7'].state
    assert state is messages.WorkerState.QUARANTINED
    assert rule_set.defaults.retries_max == 2
    leases = rule_set.defaults.lease_ms
    assert leases[messages.TaskClass.SERVICE] == 120_000
    assert leases[messages.TaskClass.BATCH] == 8_000


def test_empty_file_gives_empty_rule_set():
    assert rules.parse('').unwrap() == rules.EMPTY


def test_accepts_crlf_line_ends():
    assert rules.parse(f'{TEAM}\r\n{LIMITED}\r\n').unwrap().teams.keys() == {
        'harbour',
        'figuring',
    }


@pytest.mark.parametrize(
    ('line', 'column', 'detail'),
    [
        (TEAM.split('  //')[0], 48, 'no comment that names who asked'),
        (TEAM.split('asked')[0], 50, 'does not name who asked'),
        (TEAM.split('asked')[0] + 'asked by 12', 50, 'does not name who'),
        (TEAM.replace('//', '#'), 50, 'only a "//" comment'),
        (TEAM.replace('"team",', '"tem",'), 2, 'did you mean "team"?'),
        (TEAM.replace('"rule"', '"kind"'), 1, 'field "rule" is missing'),
        (TEAM.replace('3}', '3, "shar": 1}'), 49, 'did you mean "share"?'),
        (TEAM.replace('3}', '"3"}'), 37, 'found "3", allowed is a whole'),
        (TEAM.replace('3}', '3.5}'), 37, 'found 3.5'),
        (TEAM.replace('3}', 'true}'), 37, 'found true'),
        (TEAM.replace('3}', '0}'), 37, 'from 1 to 1000000'),
        (TEAM.replace('3}', 'NaN}'), 1, 'not JSON'),
        (TEAM.replace(', "share": 3', ''), 1, 'field "share" is missing'),
        (TEAM.replace('harbour', 'har/bour'), 18, 'field "team"'),
        (TEAM.replace('3}', '3, "share": 4}'), 49, '"share" is given twice'),
        (LIMITED.replace('cpu_millicores', 'cpu_cores'), 81, 'cpu_millicores'),
        (LIMITED.replace('200000', '"200 cores"'), 81, 'of millicores'),
        (LIMITED.replace('40', '-1'), 66, 'number of tasks from 0'),
        (TEAM.replace('3}', '3, "upper_limit": {}}'), 49, 'at least one'),
        (QUEUE.replace('true', '"yes"'), 38, 'true or false'),
        (QUEUE.replace('"urgent"', '"fast"'), 52, '"urgent", "batch"'),
        (TEAM.replace('"share"', 'share'), 37, 'not JSON'),
        ('team harbour gets 3', 1, 'a rule begins with "{"'),
        ('{"rule": ' + '[' * 100_000, 1, 'not JSON'),
    ],
)
def test_invalid_line_is_reported_with_line_and_column(line, column, detail):
    text = f'// first\n{TEAM.replace("harbour", "prisms")}\n{line}\n'
    (problem,) = problems_of(text)
    assert (problem.line, problem.column) == (3, column), problem
    assert detail in problem.detail


@pytest.mark.parametrize('line', [TEAM, QUEUE])
def test_duplicate_rule_is_refused(line):
    first = '' if line is TEAM else TEAM
    (problem,) = problems_of(f'{first}\n{line}\n{line}')
    assert problem.line == 3
    assert 'has a rule on line 2 already' in problem.detail


def test_references_to_unknown_teams_are_refused():
    key = rules.new_key(messages.TeamId('nobody')).rule_line
    (first, second) = problems_of(f'{key}\n{QUEUE}')
    assert (first.line, second.line) == (1, 2)
    assert 'names team "nobody", which has no rule' in first.detail


def test_closed_queue_must_not_name_a_team():
    closed = QUEUE.replace('true', 'false')
    (problem,) = problems_of(f'{TEAM}\n{closed}')
    assert problem.line == 2
    assert 'only an open queue' in problem.detail


def test_all_problems_are_reported_together():
    text = f'{TEAM}\nnonsense\n{TEAM}\n' + TEAM.replace('3}', '"x", "y": 1}')
    found = problems_of(text)
    assert [problem.line for problem in found] == [2, 3, 4, 4]


def test_problem_detail_is_encodable_for_lone_surrogates():
    text = TEAM.replace('3}', r'3, "\ud800": 1}')
    (problem,) = problems_of(text)
    assert problem.detail.encode()


def test_damaged_files_never_raise():
    source = random.Random(20261206)
    text = '\n'.join([TEAM, LIMITED, QUEUE])
    for _ in range(500):
        letters = list(text)
        for _ in range(source.randrange(1, 4)):
            letters[source.randrange(len(letters))] = chr(
                source.choice([source.randrange(128), 0x2028, 0xD800])
            )
        outcome = rules.parse(''.join(letters))
        assert isinstance(outcome, result.Result)
        for problem in outcome.failure() if is_failure(outcome) else ():
            assert problem.detail.encode()
            assert 1 <= problem.line <= 4 + text.count('\n')


def is_failure(outcome):
    return isinstance(outcome, result.Failure)


def test_random_text_is_reported_as_problems():
    source = random.Random(20261207)
    for _ in range(300):
        noise = source.randbytes(source.randrange(3, 200)).decode('latin-1')
        assert problems_of('{' + noise)


def test_refused_file_does_not_affect_later_parsing():
    before = rules.parse(TEAM).unwrap()
    problems_of(f'{TEAM}\nnonsense')
    assert rules.parse(TEAM).unwrap() == before
