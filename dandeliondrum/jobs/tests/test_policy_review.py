"""Valid policies with entries that are most likely mistakes."""

import dataclasses

import pytest

from dandeliondrum import jobs
from dandeliondrum import messages

QUEUE = jobs.QueuePolicy(
    name=messages.QueueName('q'),
    host='nony24.example',
    path_prefix='/q/',
    pool='pool',
    priority=1,
    attempts_max=4,
    latency_target_ms=500,
    stretch=2.0,
)
TEAM = jobs.TeamPolicy(
    messages.TeamId('t'), ('k1',), 3, messages.Resources(0, 0, 0)
)
OTHER = dataclasses.replace(TEAM, team_id=messages.TeamId('u'), keys=('k2',))


def find(queues=(QUEUE,), teams=(TEAM, OTHER), pools=('pool',)):
    policy = jobs.Policy(1, tuple(queues), tuple(teams), tuple(pools))
    return [
        (found.doubt.name, found.entry, found.other)
        for found in jobs.find_policy_doubts(policy)
    ]


def test_entries_that_can_all_take_effect_raise_no_doubts():
    advice = jobs.AdvicePolicy(832.0, 7.4, 1500)
    nested = dataclasses.replace(
        QUEUE, name='r', path_prefix='/q/r/', stretch=1.0, latency_target_ms=0
    )
    limit = messages.Resources(1, 0, 0)
    teams = [dataclasses.replace(TEAM, limit=limit, share=0), TEAM, OTHER]
    assert find([dataclasses.replace(QUEUE, advice=advice), nested]) == []
    assert find(teams=teams) == []
    assert find([dataclasses.replace(QUEUE, is_open=True)], ()) == []


@pytest.mark.parametrize(
    ('changes', 'doubt'),
    [
        ({'host': ''}, 'QUEUE_HOST_IMPOSSIBLE'),
        ({'host': 'nony24.example:80'}, 'QUEUE_HOST_IMPOSSIBLE'),
        ({'path_prefix': ''}, 'QUEUE_PREFIX_IMPOSSIBLE'),
        ({'path_prefix': 'q/'}, 'QUEUE_PREFIX_IMPOSSIBLE'),
        ({'path_prefix': '/q?x='}, 'QUEUE_PREFIX_IMPOSSIBLE'),
        ({'latency_target_ms': -1}, 'QUEUE_TARGET_NEGATIVE'),
        ({'latency_target_ms': 0}, 'QUEUE_STRETCH_WITHOUT_EFFECT'),
        ({'stretch': 0.5}, 'QUEUE_STRETCH_TOO_SHORT'),
        ({'advice': jobs.AdvicePolicy(1, 1, 0)}, 'QUEUE_GRANTS_EXPIRED'),
    ],
)
def test_a_queue_that_is_never_matched_or_never_in_time(changes, doubt):
    queue = dataclasses.replace(QUEUE, **changes)
    assert find([queue]) == [(doubt, 'q', '')]


@pytest.mark.parametrize(
    ('prefix', 'takes_jobs'),
    [
        ('/q/a', True),
        ('/q/0123456789abcdeF', True),
        ('/q/0123456789abcdef0', False),
        ('/q/a/', False),
        ('/q/x', False),
    ],
)
def test_a_prefix_that_is_the_start_of_an_id_takes_jobs(prefix, takes_jobs):
    """Jobs whose ids begin like it would go to the wrong queue."""
    other = dataclasses.replace(QUEUE, name='r', path_prefix=prefix)
    expected = [('QUEUE_TAKES_JOBS_OF_ANOTHER', 'r', 'q')]
    assert find([QUEUE, other]) == (expected if takes_jobs else [])
    elsewhere = dataclasses.replace(other, host='other.example')
    assert find([QUEUE, elsewhere]) == []


def test_a_pool_that_no_queue_uses():
    assert find(pools=('pool', 'idle')) == [('POOL_UNUSED', 'idle', '')]


def test_a_queue_that_needs_a_key_while_nobody_has_one():
    teams = [dataclasses.replace(team, keys=()) for team in (TEAM, OTHER)]
    assert find(teams=teams) == [
        ('QUEUE_WITHOUT_KEYS', 'q', ''),
        ('TEAM_WITHOUT_KEYS', 't', ''),
        ('TEAM_WITHOUT_KEYS', 'u', ''),
    ]


@pytest.mark.parametrize(
    ('changes', 'doubts'),
    [
        ({'keys': ()}, ['TEAM_WITHOUT_KEYS']),
        ({'keys': ('k1', '')}, ['TEAM_KEY_EMPTY']),
        ({'keys': ('k1 ',)}, ['TEAM_KEY_IMPOSSIBLE']),
        (
            {'share': -1},
            ['TEAM_SHARE_WITHOUT_EFFECT', 'TEAM_SHARE_NEGATIVE'],
        ),
        ({'limit': messages.Resources(5, -1, 0)}, ['TEAM_LIMIT_NEGATIVE']),
    ],
)
def test_a_team_that_can_not_act_or_run_as_it_says(changes, doubts):
    found = find(teams=[dataclasses.replace(TEAM, **changes), OTHER])
    assert [doubt for doubt, _entry, _other in found] == doubts


def test_the_share_of_the_only_team():
    assert find(teams=[TEAM]) == [('TEAM_SHARE_WITHOUT_EFFECT', 't', '')]
