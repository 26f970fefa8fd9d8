"""Latest rules that a gateway received from the leader."""

import threading

from returns import result
import structlog

from dandeliondrum import messages
from dandeliondrum import rules as rules_lib

_logger = structlog.get_logger()


class ActiveRules:
    """Holds the latest rules that the leader sent. Thread-safe.

    The leader checks all API keys itself. The gateway needs the rules only to
    determine the team of requests that don't name one.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._rule_set: rules_lib.RuleSet = rules_lib.EMPTY
        self.version = messages.RulesVersion(0)

    def update_if_newer(
        self, version: messages.RulesVersion, text: str
    ) -> None:
        """Replace the rules if ``version`` is newer than the current one."""
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
        """Return the team that a request is accounted to.

        A team named by the request is returned even if the rules don't define
        it, so that the leader can refuse it. Otherwise the team comes from
        the rule of the queue; the result is empty if no rule names one.
        """
        if team_id:
            return team_id
        with self._lock:
            rule_set = self._rule_set
        found = rules_lib.team_for(rule_set, team_id, queue)
        return found or messages.TeamId('')
