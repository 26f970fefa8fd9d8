"""The rules that a gateway has in force, as the leader sent them."""

import threading

from returns import result
import structlog

from dandeliondrum import messages
from dandeliondrum import rules as rules_lib

_logger = structlog.get_logger()


class RulesInForce:
    """Takes newer rules only; safe for any thread.

    The leader judges every key itself. The gateway needs the rules to know
    for which team work counts that names none.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._rule_set: rules_lib.RuleSet = rules_lib.EMPTY
        self.version = messages.RulesVersion(0)

    def take(self, version: messages.RulesVersion, text: str) -> None:
        """Put rules in force unless they are older than those that are."""
        with self._lock:
            if version <= self.version:
                return
            match rules_lib.parse(text):
                case result.Success(rule_set):
                    self._rule_set = rule_set
                    self.version = version
                case result.Failure(problems):
                    _logger.error(
                        'rules not readable',
                        version=version,
                        why=str(problems[0]),
                    )

    def team_for(
        self, team_id: messages.TeamId, queue: messages.QueueName
    ) -> messages.TeamId:
        """Return the team that work counts for.

        A team that is named stays, also one that the rules don't know, so
        that the leader can refuse it. Work without a team counts for the one
        that the queue's rule names; without that it counts for none.
        """
        if team_id:
            return team_id
        with self._lock:
            rule_set = self._rule_set
        found = rules_lib.team_for(rule_set, team_id, queue)
        return found or messages.TeamId('')
