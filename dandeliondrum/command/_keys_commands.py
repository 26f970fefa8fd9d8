"""``dandeliondrum keys``."""

import datetime

from returns import result

from dandeliondrum.command import _arguments
from dandeliondrum.command import _gateways
from dandeliondrum.command import _report
from dandeliondrum.command import _rules_changes
from dandeliondrum import messages
from dandeliondrum import rules


class KeysCommands:
    """Grant and withdraw the keys that teams show."""

    @_arguments.typed
    def grant(
        self,
        team: str,
        *,
        asked_by: str,
        operator: str = '',
        wait_ms: int = _rules_changes.IN_FORCE_WAIT_MS,
        gateways: str = '',
        key_file: str = '',
        json: bool = False,
    ) -> _report.Command:
        """Make a key for a team and print it; it is shown only here.

        Args:
          team: The team.
          asked_by: Who asked for the key; becomes the rule's comment.
          operator: Who grants; by default the login name.
          wait_ms: How long to wait for the gateways, in ms.
          gateways: Operators' addresses, with commas between them.
          key_file: File with the operators' key.
          json: Print JSON.
        """
        return _report.Command(
            lambda: _grant(
                _gateways.connect(gateways, key_file),
                team,
                asked_by,
                operator or _gateways.login_name(),
                wait_ms,
            ),
            json,
        )

    @_arguments.typed
    def withdraw(
        self,
        key_id: str,
        *,
        operator: str = '',
        wait_ms: int = _rules_changes.IN_FORCE_WAIT_MS,
        gateways: str = '',
        key_file: str = '',
        json: bool = False,
    ) -> _report.Command:
        """Withdraw a key by its id, the part before the dot.

        Args:
          key_id: The id of the key.
          operator: Who withdraws; by default the login name.
          wait_ms: How long to wait for the gateways, in ms.
          gateways: Operators' addresses, with commas between them.
          key_file: File with the operators' key.
          json: Print JSON.
        """
        return _report.Command(
            lambda: _withdraw(
                _gateways.connect(gateways, key_file),
                key_id.partition('.')[0],
                operator or _gateways.login_name(),
                wait_ms,
            ),
            json,
        )


def _grant(
    gateways: _gateways.Gateways,
    team: str,
    asked_by: str,
    operator: str,
    wait_ms: int,
) -> _report.Report:
    today = datetime.date.today().isoformat()
    made = rules.new_key(messages.TeamId(team), f'{asked_by}, {today}')
    outcome = _rules_changes.edit(
        gateways,
        operator,
        lambda text: result.Success(rules.add_line(text, made.rule_line)),
    )
    if isinstance(outcome, result.Failure):
        return _doubtful_key(outcome.failure(), made)
    more = {'key': made.text, 'key_id': made.key_id}
    return _rules_changes.report(
        gateways, outcome.unwrap(), wait_ms, more, made.text
    )


def _doubtful_key(
    problem: _gateways.Problem, made: rules.NewKey
) -> _report.Report:
    report = problem.report()
    if problem.code is not _report.ExitCode.IN_DOUBT:
        return report
    note = (
        f'{report.note}\nwhether the key below is granted is not known; '
        f'"rules show" says whether {made.key_id} is in force'
    )
    data = {**report.data, 'key': made.text, 'key_id': made.key_id}
    return _report.Report(report.code, made.text, note, data)


def _withdraw(
    gateways: _gateways.Gateways, key_id: str, operator: str, wait_ms: int
) -> _report.Report:
    outcome = _rules_changes.edit(
        gateways, operator, lambda text: rules.remove_key(text, key_id)
    )
    if isinstance(outcome, result.Failure):
        return outcome.failure().report()
    return _rules_changes.report(
        gateways, outcome.unwrap(), wait_ms, {'key_id': key_id}, ''
    )
