"""Commands of ``dandeliondrum keys``."""

import datetime

from returns import result

from dandeliondrum.command import _arguments
from dandeliondrum.command import _exit_code
from dandeliondrum.command import _gateways
from dandeliondrum.command import _report
from dandeliondrum.command import _rules_changes
from dandeliondrum import messages
from dandeliondrum import rules


class KeysCommands:
    """Grant and withdraw the API keys of teams."""

    @_arguments.convert_arguments
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
        """Create a key for a team and print it; it is shown only once.

        Args:
          team: The team.
          asked_by: Who asked for the key; becomes the rule's comment.
          operator: The operator's name; by default the login name.
          wait_ms: How long to wait for the gateways, in ms.
          gateways: Operator addresses of gateways, separated by commas.
          key_file: File with the operator key.
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

    @_arguments.convert_arguments
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
          operator: The operator's name; by default the login name.
          wait_ms: How long to wait for the gateways, in ms.
          gateways: Operator addresses of gateways, separated by commas.
          key_file: File with the operator key.
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
    generated = rules.new_key(messages.TeamId(team), f'{asked_by}, {today}')
    outcome = _rules_changes.edit(
        gateways,
        operator,
        lambda text: result.Success(rules.add_line(text, generated.rule_line)),
    )
    if isinstance(outcome, result.Failure):
        return _unconfirmed_key_report(outcome.failure(), generated)
    extra_data = {'key': generated.text, 'key_id': generated.key_id}
    return _rules_changes.report(
        gateways, outcome.unwrap(), wait_ms, extra_data, generated.text
    )


def _unconfirmed_key_report(
    problem: _gateways.Problem, generated: rules.NewKey
) -> _report.Report:
    report = problem.report()
    if problem.code is not _exit_code.ExitCode.IN_DOUBT:
        return report
    note = (
        f'{report.note}\nit is unknown whether the key below is granted; '
        f'"rules show" says whether {generated.key_id} is in force'
    )
    data = {**report.data, 'key': generated.text, 'key_id': generated.key_id}
    return _report.Report(report.code, generated.text, note, data)


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
