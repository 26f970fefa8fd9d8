"""Checks whether a team and a key may submit work to a queue."""

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
    """Return success if the work may be accepted, or why it is refused.

    A queue that is not open requires a key of the team. An open queue
    requires none, and ``team_id`` may be empty if the rule of the queue names
    the team to which such work is charged (see :func:`team_for`). A queue
    without a rule accepts nothing and gives ``BAD_REQUEST``. If ``queue`` is
    empty, as for a status query or a cancellation, only the key of the team
    is checked.
    """
    if not queue:
        return _authorize_team(rule_set, team_id, key)
    queue_rule = rule_set.queues.get(queue)
    if queue_rule is None:
        return result.Failure(messages.RefusalReason.BAD_REQUEST)
    charged_team = team_for(rule_set, team_id, queue)
    if charged_team is None:
        return result.Failure(messages.RefusalReason.UNKNOWN_TEAM)
    if queue_rule.is_open or _is_valid_key(rule_set, charged_team, key):
        return result.Success(None)
    return result.Failure(messages.RefusalReason.BAD_KEY)


def team_for(
    rule_set: _model.RuleSet,
    team_id: messages.TeamId,
    queue: messages.QueueName,
) -> messages.TeamId | None:
    """Return the team to which work is charged, or None."""
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
    if _is_valid_key(rule_set, team_id, key):
        return result.Success(None)
    return result.Failure(messages.RefusalReason.BAD_KEY)


def _is_valid_key(
    rule_set: _model.RuleSet, team_id: messages.TeamId, key: str
) -> bool:
    key_id, _, secret = key.partition('.')
    rule = rule_set.keys.get(key_id)
    if rule is None or rule.team_id != team_id:
        return False
    return _keys.matches(rule, secret)
