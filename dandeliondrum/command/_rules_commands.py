"""``dandeliondrum rules``."""

from returns import result

from dandeliondrum.command import _arguments
from dandeliondrum.command import _gateways
from dandeliondrum.command import _report
from dandeliondrum.command import _rules_changes
from dandeliondrum.command import _rules_files
from dandeliondrum import messages
from dandeliondrum import rules
from dandeliondrum import tables


class RulesCommands:
    """Check, apply and look at the rules of teams, keys and queues."""

    @_arguments.typed
    def check(self, file: str, *, json: bool = False) -> _report.Command:
        """Check a rules file without applying it.

        Exits with 0 when the file is whole, and with 1 after naming line and
        column of each problem.

        Args:
          file: The rules file.
          json: Print JSON.
        """
        return _report.Command(lambda: _check(file), json)

    @_arguments.typed
    def apply(
        self,
        file: str,
        *,
        expected_version: int,
        operator: str = '',
        change_id: str = '',
        wait_ms: int = _rules_changes.IN_FORCE_WAIT_MS,
        gateways: str = '',
        key_file: str = '',
        json: bool = False,
    ) -> _report.Command:
        """Replace the rules in force by those of a file.

        The rules are only replaced while EXPECTED_VERSION is in force, so
        that two operators can't overwrite each other. Then waits until all
        gateways have them in force. Exits with 0 when the rules are agreed,
        1 when they are refused, 3 when the answer was lost: run it again
        with the same --change-id to learn the outcome.

        Args:
          file: The rules file.
          expected_version: The version that the file was made from; see
            "rules history".
          operator: Who applies; by default the login name.
          change_id: The id of this change; made up unless given.
          wait_ms: How long to wait for the gateways, in ms.
          gateways: Operators' addresses, with commas between them.
          key_file: File with the operators' key.
          json: Print JSON.
        """
        call = (file, expected_version, operator, change_id)
        return _report.Command(
            lambda: _apply(
                _gateways.connect(gateways, key_file), call, wait_ms
            ),
            json,
        )

    @_arguments.typed
    def show(
        self, *, gateways: str = '', key_file: str = '', json: bool = False
    ) -> _report.Command:
        """Print the rules in force as they were applied.

        Args:
          gateways: Operators' addresses, with commas between them.
          key_file: File with the operators' key.
          json: Print JSON, with the version and each gateway's version.
        """
        return _report.Command(
            lambda: _show(_gateways.connect(gateways, key_file)), json
        )

    @_arguments.typed
    def history(
        self, *, gateways: str = '', key_file: str = '', json: bool = False
    ) -> _report.Command:
        """List the changes of the rules, the latest last.

        Args:
          gateways: Operators' addresses, with commas between them.
          key_file: File with the operators' key.
          json: Print JSON.
        """
        return _report.Command(
            lambda: _history(_gateways.connect(gateways, key_file)), json
        )


def _check(file: str) -> _report.Report:
    read = _rules_files.read(file)
    if isinstance(read, result.Failure):
        return read.failure()
    rule_set = rules.parse(read.unwrap()).unwrap()
    counts = {
        'teams': len(rule_set.teams),
        'keys': len(rule_set.keys),
        'queues': len(rule_set.queues),
        'workers': len(rule_set.workers),
    }
    words = ', '.join(f'{name} {count}' for name, count in counts.items())
    return _report.Report(
        _report.ExitCode.DONE,
        text=f'{file}: no problem ({words})',
        data={'problems': [], **counts},
    )


def _apply(
    gateways: _gateways.Gateways,
    wanted: tuple[str, int, str, str],
    wait_ms: int,
) -> _report.Report:
    file, expected_version, operator, change_id = wanted
    read = _rules_files.read(file)
    if isinstance(read, result.Failure):
        return read.failure()
    call = messages.ApplyRulesCall(
        change_id or _rules_changes.new_change_id(),
        messages.OperatorId(operator or _gateways.login_name()),
        messages.RulesVersion(expected_version),
        read.unwrap(),
    )
    outcome = gateways.apply_rules(call)
    if isinstance(outcome, result.Failure):
        return _with_change_id(outcome.failure(), call.change_id)
    return _rules_changes.report(gateways, outcome.unwrap(), wait_ms, {}, '')


def _with_change_id(
    problem: _gateways.Problem, change_id: str
) -> _report.Report:
    report = problem.report()
    if problem.code is not _report.ExitCode.IN_DOUBT:
        return report
    note = (
        f'{report.note}\nwhether the rules were changed is not known; run '
        f'the command again with --change-id {change_id}'
    )
    data = {**report.data, 'change_id': change_id}
    return _report.Report(report.code, note=note, data=data)


def _show(gateways: _gateways.Gateways) -> _report.Report:
    outcome = gateways.show_rules()
    if isinstance(outcome, result.Failure):
        return outcome.failure().report()
    shown = outcome.unwrap()
    data = {
        'version': shown.version,
        'text': shown.text,
        'gateways': dict(shown.gateways),
    }
    return _report.Report(
        _report.ExitCode.DONE,
        text=shown.text.removesuffix('\n'),
        note=f'version {shown.version}',
        data=data,
    )


def _history(gateways: _gateways.Gateways) -> _report.Report:
    outcome = gateways.show_rules()
    if isinstance(outcome, result.Failure):
        return outcome.failure().report()
    rows = [
        {
            'version': change.version,
            'operator': change.operator_id,
            'cell_time_ms': change.cell_time_ms,
            'change_id': change.change_id,
        }
        for change in outcome.unwrap().history
    ]
    head = ('version', 'operator', 'cell_time_ms', 'change_id')
    table = tables.render(head, [tuple(row.values()) for row in rows])
    return _report.Report(_report.ExitCode.DONE, text=table, data=rows)
