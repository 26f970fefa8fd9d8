"""Decides whether a queue takes work of a team with a key."""

from returns import result

from dandeliondrum import messages
from dandeliondrum.rules import _keys
from dandeliondrum.rules import _model


def authorize(
    rule_set: _model.RuleSet,
    team_id: messages.TeamId,
    queue: messages.QueueName,
    key: str,
) -> result.Result[None, messages.RefusalReason]:
    """Return whether work may be taken.

    A queue that is not open needs a key of the team. An open queue needs
    none; there ``team_id`` may be empty if the rule of the queue names the
    team that such work counts for (see :func:`team_for`). A queue without a
    rule takes nothing and gives ``BAD_REQUEST``. With an empty ``queue`` the
    question is only whether the key is one of the team's, as for a status or
    a cancellation.
    """
    if not queue:
        return _authorize_team(rule_set, team_id, key)
    queue_rule = rule_set.queues.get(queue)
    if queue_rule is None:
        return result.Failure(messages.RefusalReason.BAD_REQUEST)
    payer = team_for(rule_set, team_id, queue)
    if payer is None:
        return result.Failure(messages.RefusalReason.UNKNOWN_TEAM)
    if queue_rule.is_open or _is_key_of(rule_set, payer, key):
        return result.Success(None)
    return result.Failure(messages.RefusalReason.BAD_KEY)


def team_for(
    rule_set: _model.RuleSet,
    team_id: messages.TeamId,
    queue: messages.QueueName,
) -> messages.TeamId | None:
    """Return the team that work counts for; None when there is none."""
    if team_id:
        return team_id if team_id in rule_set.teams else None
    queue_rule = rule_set.queues.get(queue)
    if queue_rule is None or not queue_rule.is_open:
        return None
    return queue_rule.team_id


def _authorize_team(
    rule_set: _model.RuleSet, team_id: messages.TeamId, key: str
) -> result.Result[None, messages.RefusalReason]:
    if team_id not in rule_set.teams:
        return result.Failure(messages.RefusalReason.UNKNOWN_TEAM)
    if _is_key_of(rule_set, team_id, key):
        return result.Success(None)
    return result.Failure(messages.RefusalReason.BAD_KEY)


def _is_key_of(
    rule_set: _model.RuleSet, team_id: messages.TeamId, key: str
) -> bool:
    key_id, _, secret = key.partition('.')
    rule = rule_set.keys.get(key_id)
    if rule is None or rule.team_id != team_id:
        return False
    return _keys.matches(rule, secret)
