"""Tests of granting, checking and withdrawing keys."""

import pytest
from returns import result

from dandeliondrum import messages
from dandeliondrum import rules

HARBOUR = messages.TeamId('harbour')
PRISMS = messages.TeamId('prisms')
CLOSED = messages.QueueName('figuring')
OPEN = messages.QueueName('status')
BASE = """
{"rule": "team", "team": "harbour", "share": 3}  // asked by S. Prasert
{"rule": "team", "team": "prisms", "share": 1}  // asked by S. Prasert
{"rule": "queue", "queue": "figuring", "open": false, "class": "batch"}  // ops
{"rule": "queue", "queue": "status", "open": true, "class": "urgent",\
 "team": "prisms"}  // asked by S. Prasert
"""


def grant_key(team_id=HARBOUR, text=BASE):
    key = rules.new_key(team_id, 'N. Boonmee, 2026-12-01')
    return key, rules.add_line(text, key.rule_line)


def authorize(text, team_id, queue, key):
    return rules.authorize(rules.parse(text).unwrap(), team_id, queue, key)


def refusal(reason):
    return result.Failure(reason)


def test_key_is_valid_only_for_its_team():
    key, text = grant_key()
    assert authorize(text, HARBOUR, CLOSED, key.text) == result.Success(None)
    bad_key = refusal(messages.RefusalReason.BAD_KEY)
    assert authorize(text, PRISMS, CLOSED, key.text) == bad_key


def test_rules_text_does_not_contain_the_secret():
    key, text = grant_key()
    secret = key.text.partition('.')[2]
    assert len(secret) >= 43
    assert secret not in text
    assert 'asked by N. Boonmee, 2026-12-01' in text


@pytest.mark.parametrize('case', ['', 'x', '.', 'id only', 'wrong', 'ä'])
def test_wrong_key_is_refused(case):
    key, text = grant_key()
    shown = {
        'id only': key.key_id,
        'wrong': key.text[:-1] + ('A' if key.text[-1] != 'A' else 'B'),
        'ä': f'{key.key_id}.ä\ud800',
    }.get(case, case)
    bad_key = refusal(messages.RefusalReason.BAD_KEY)
    assert authorize(text, HARBOUR, CLOSED, shown) == bad_key


def test_withdrawn_key_is_refused():
    key, text = grant_key()
    other, text = grant_key(text=text)
    text = rules.remove_key(text, key.key_id).unwrap()
    bad_key = refusal(messages.RefusalReason.BAD_KEY)
    assert authorize(text, HARBOUR, CLOSED, key.text) == bad_key
    assert authorize(text, HARBOUR, CLOSED, other.text) == result.Success(None)


def test_withdrawing_a_key_keeps_other_lines():
    key, text = grant_key()
    assert rules.remove_key(text, key.key_id).unwrap() == BASE


def test_withdrawing_an_unknown_key_fails():
    assert 'no key "abc"' in rules.remove_key(BASE, 'abc').failure().detail


def test_open_queue_accepts_known_team_or_no_team():
    unknown = messages.TeamId('nobody')
    assert authorize(BASE, HARBOUR, OPEN, '') == result.Success(None)
    assert authorize(BASE, messages.TeamId(''), OPEN, '') == result.Success(
        None
    )
    assert authorize(BASE, unknown, OPEN, '') == refusal(
        messages.RefusalReason.UNKNOWN_TEAM
    )
    rule_set = rules.parse(BASE).unwrap()
    assert rules.team_for(rule_set, messages.TeamId(''), OPEN) == PRISMS
    assert rules.team_for(rule_set, HARBOUR, OPEN) == HARBOUR


def test_closed_queue_requires_a_team():
    key, text = grant_key()
    assert authorize(text, messages.TeamId(''), CLOSED, key.text) == refusal(
        messages.RefusalReason.UNKNOWN_TEAM
    )


def test_queue_without_a_rule_refuses_everything():
    key, text = grant_key()
    no_queue = messages.QueueName('none')
    assert authorize(text, HARBOUR, no_queue, key.text) == refusal(
        messages.RefusalReason.BAD_REQUEST
    )


def test_empty_rule_set_refuses_everything():
    outcome = rules.authorize(rules.EMPTY, HARBOUR, CLOSED, 'a.b')
    assert isinstance(outcome, result.Failure)


def test_without_a_queue_only_the_key_is_checked():
    key, text = grant_key()
    no_queue = messages.QueueName('')
    assert authorize(text, HARBOUR, no_queue, key.text) == result.Success(None)
    bad_key = refusal(messages.RefusalReason.BAD_KEY)
    assert authorize(text, PRISMS, no_queue, key.text) == bad_key
    assert authorize(text, HARBOUR, no_queue, '') == bad_key
    nobody = messages.TeamId('')
    assert authorize(text, nobody, no_queue, key.text) == refusal(
        messages.RefusalReason.UNKNOWN_TEAM
    )
