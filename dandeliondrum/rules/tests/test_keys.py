"""Keys: granting, checking, withdrawing."""

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


def granted(team_id=HARBOUR, text=BASE):
    key = rules.new_key(team_id, 'N. Boonmee, 2026-12-01')
    return key, rules.add_line(text, key.rule_line)


def decide(text, team_id, queue, key):
    return rules.authorize(rules.parse(text).unwrap(), team_id, queue, key)


def refused(reason):
    return result.Failure(reason)


def test_a_key_opens_its_team_and_no_other():
    key, text = granted()
    assert decide(text, HARBOUR, CLOSED, key.text) == result.Success(None)
    bad_key = refused(messages.RefusalReason.BAD_KEY)
    assert decide(text, PRISMS, CLOSED, key.text) == bad_key


def test_the_file_does_not_hold_the_secret():
    key, text = granted()
    secret = key.text.partition('.')[2]
    assert len(secret) >= 43
    assert secret not in text
    assert 'asked by N. Boonmee, 2026-12-01' in text


@pytest.mark.parametrize('spoil', ['', 'x', '.', 'id only', 'wrong', 'ä'])
def test_a_wrong_key_is_refused(spoil):
    key, text = granted()
    shown = {
        'id only': key.key_id,
        'wrong': key.text[:-1] + ('A' if key.text[-1] != 'A' else 'B'),
        'ä': f'{key.key_id}.ä\ud800',
    }.get(spoil, spoil)
    bad_key = refused(messages.RefusalReason.BAD_KEY)
    assert decide(text, HARBOUR, CLOSED, shown) == bad_key


def test_a_withdrawn_key_is_refused():
    key, text = granted()
    other, text = granted(text=text)
    text = rules.remove_key(text, key.key_id).unwrap()
    bad_key = refused(messages.RefusalReason.BAD_KEY)
    assert decide(text, HARBOUR, CLOSED, key.text) == bad_key
    assert decide(text, HARBOUR, CLOSED, other.text) == result.Success(None)


def test_withdrawing_changes_no_other_line():
    key, text = granted()
    assert rules.remove_key(text, key.key_id).unwrap() == BASE


def test_an_unknown_key_cannot_be_withdrawn():
    assert 'no key "abc"' in rules.remove_key(BASE, 'abc').failure().detail


def test_open_queues_take_known_teams_or_none():
    unknown = messages.TeamId('nobody')
    assert decide(BASE, HARBOUR, OPEN, '') == result.Success(None)
    assert decide(BASE, messages.TeamId(''), OPEN, '') == result.Success(None)
    assert decide(BASE, unknown, OPEN, '') == refused(
        messages.RefusalReason.UNKNOWN_TEAM
    )
    rule_set = rules.parse(BASE).unwrap()
    assert rules.team_for(rule_set, messages.TeamId(''), OPEN) == PRISMS
    assert rules.team_for(rule_set, HARBOUR, OPEN) == HARBOUR


def test_a_closed_queue_takes_no_work_without_a_team():
    key, text = granted()
    assert decide(text, messages.TeamId(''), CLOSED, key.text) == refused(
        messages.RefusalReason.UNKNOWN_TEAM
    )


def test_a_queue_without_a_rule_takes_nothing():
    key, text = granted()
    no_queue = messages.QueueName('none')
    assert decide(text, HARBOUR, no_queue, key.text) == refused(
        messages.RefusalReason.BAD_REQUEST
    )


def test_nothing_is_taken_without_rules():
    outcome = rules.authorize(rules.EMPTY, HARBOUR, CLOSED, 'a.b')
    assert isinstance(outcome, result.Failure)


def test_without_a_queue_the_key_has_to_be_the_teams():
    key, text = granted()
    no_queue = messages.QueueName('')
    assert decide(text, HARBOUR, no_queue, key.text) == result.Success(None)
    bad_key = refused(messages.RefusalReason.BAD_KEY)
    assert decide(text, PRISMS, no_queue, key.text) == bad_key
    assert decide(text, HARBOUR, no_queue, '') == bad_key
    nobody = messages.TeamId('')
    assert decide(text, nobody, no_queue, key.text) == refused(
        messages.RefusalReason.UNKNOWN_TEAM
    )
