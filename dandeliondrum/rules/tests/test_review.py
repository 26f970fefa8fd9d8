"""Valid rules that are most likely mistakes, and differences of rules."""

import pytest

from dandeliondrum import messages
from dandeliondrum import rules

TEAM = '{"rule": "team", "team": "harbour", "share": 1}  // asked by S. P.\n'
OTHER = TEAM.replace('harbour', 'prisms')
KEY = (
    '{"rule": "key", "team": "harbour", "key_id": "0123456789abcdef", '
    f'"salt": "{"a" * 32}", "digest": "{"b" * 64}"}}  // asked by S. P.\n'
)
CLOSED = (
    '{"rule": "queue", "queue": "figuring", "open": false, "class": "batch"}'
    '  // asked by S. P.\n'
)
OPEN = CLOSED.replace('figuring', 'status').replace('false', 'true')
WORKER = (
    '{"rule": "worker", "worker": "w1", "state": "quarantined"}'
    '  // asked by S. P.\n'
)
FINE = TEAM + KEY + CLOSED


def _parse(text):
    return rules.parse(text).unwrap()


def _limited(limit):
    return FINE.replace('"share": 1', f'"share": 1, "upper_limit": {limit}')


def test_rules_that_can_all_apply_raise_no_doubts():
    assert rules.find_doubts(_parse(FINE)) == ()
    assert rules.find_doubts(_parse(TEAM + OPEN)) == ()


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (TEAM + CLOSED, ('team "harbour" has no key', 'queue "figuring"')),
        (FINE + OTHER, ('team "prisms" has no key and no queue is open',)),
        (OPEN, ('queue "status" is open, and there is no team',)),
        (FINE.replace('"share": 1', '"share": 5'), ('the only one',)),
        (_limited('{"running": 0}'), ('upper limit of 0 for running,',)),
        (
            _limited('{"running": 9, "memory_mb": 0, "cpu_millicores": 0}'),
            ('0 for cpu_millicores and memory_mb,',),
        ),
        (
            FINE.replace('"batch"', '"batch", "policy": "p"'),
            ('queue "figuring" has a policy, which has no effect',),
        ),
        (
            _limited('{"running": 1}').replace('"batch"', '"gang"'),
            ('team "harbour" may run 1 task, which is below any gang',),
        ),
    ],
)
def test_a_rule_without_effect_is_named(text, expected):
    """Such rules are valid, so nothing else tells the operator."""
    doubts = rules.find_doubts(_parse(text))
    assert len(doubts) == len(expected)
    for part, doubt in zip(expected, doubts, strict=True):
        assert part in doubt.detail
        assert f'{doubt.kind} "{doubt.name}"' in doubt.detail


def test_a_limit_of_accelerators_of_0_is_no_contradiction():
    assert rules.find_doubts(_parse(_limited('{"accelerators": 0}'))) == ()


def test_a_rule_about_an_unknown_worker_is_named_if_workers_are_known():
    rule_set = _parse(FINE + WORKER)
    assert rules.find_doubts(rule_set) == ()
    assert rules.find_doubts(rule_set, {'w1', 'w2'}) == ()
    (doubt,) = rules.find_doubts(rule_set, {'w2'})
    assert 'worker "w1" is not known' in doubt.detail
    assert (doubt.kind, doubt.name) == ('worker', 'w1')


@pytest.mark.parametrize(
    ('known', 'expected'),
    [(('w1', 'w2'), []), (('w1',), ['quarantined']), ((), ['unknown'])],
)
def test_queues_without_workers_are_named_if_workers_are_known(
    known, expected
):
    doubts = rules.find_doubts(_parse(FINE + WORKER), known)
    found = [doubt.detail.split()[-1] for doubt in doubts if not doubt.kind]
    assert found == expected


@pytest.mark.parametrize(
    ('limit', 'expected'),
    [
        ('{"running": 3, "cpu_millicores": 2500}', None),
        ('{"running": 2}', 'uses 3 tasks now'),
        ('{"memory_mb": 4095}', 'uses (2500, 4096, 0) now'),
        (
            '{"running": 2, "cpu_millicores": 1}',
            'uses 3 tasks and (2500, 4096, 0) now',
        ),
    ],
)
def test_a_limit_below_what_a_team_uses_is_named(limit, expected):
    """Nothing new of the team would start, maybe for a long time."""
    amounts = messages.Resources(2_500, 4_096, 0)
    views = [
        messages.TeamView(messages.TeamId(name), 3, 12, amounts)
        for name in ('harbour', 'removed')
    ]
    doubts = rules.find_doubts(_parse(_limited(limit)), None, views)
    assert len(doubts) == (expected is not None)
    assert all(expected in doubt.detail for doubt in doubts)


def test_the_lines_of_rules_are_found():
    lines = rules.find_lines(f'// comment\n\n{FINE}{WORKER}')
    assert lines == {
        ('team', 'harbour'): 3,
        ('key', '0123456789abcdef'): 4,
        ('queue', 'figuring'): 5,
        ('worker', 'w1'): 6,
    }


def test_equal_rules_do_not_differ():
    """Comments and the order of lines are no differences."""
    lines = (FINE + OTHER).splitlines(keepends=True)
    text = ''.join(reversed(lines)).replace('S. P.', 'M. L.')
    assert rules.compare(_parse(FINE + OTHER), _parse(text)) == ()


def test_each_difference_is_told_in_a_line():
    before = FINE + OTHER + WORKER
    after = _limited('{"running": 4, "cpu_millicores": 8000}') + OPEN
    after = after.replace('"batch"', '"urgent"').replace('b' * 64, 'c' * 64)
    after += '{"rule": "defaults", "lease_ms": {"urgent": 5000}}  // S. P.\n'
    changes = rules.compare(_parse(before), _parse(after))
    assert changes[:-1] == (
        'team "harbour": running_max none -> 4',
        'team "harbour": resources_max none -> (8000, no limit, no limit)',
        'team "prisms": removed',
        'key "0123456789abcdef": another digest',
        'queue "figuring": task_class batch -> urgent',
        'queue "status": added',
        'worker "w1": removed',
    )
    assert 'urgent 4000' in changes[-1] and 'urgent 5000' in changes[-1]
