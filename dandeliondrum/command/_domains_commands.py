"""Commands of ``dandeliondrum domains``."""

import datetime

from returns import result

from dandeliondrum.command import _arguments
from dandeliondrum.command import _control_ports
from dandeliondrum.command import _exit_code
from dandeliondrum.command import _gateways
from dandeliondrum.command import _report
from dandeliondrum import messages
from dandeliondrum import tables

_HEADER = (
    'domain',
    'state',
    'workers',
    'running',
    'since',
    'operator',
    'reason',
)


class DomainsCommands:
    """Evacuate failure domains, and restore them.

    With --control, the orders go to controllers of the platform; otherwise to
    gateways.
    """

    @_arguments.convert_arguments
    def evacuate(
        self,
        domain: str,
        *,
        reason: str = '',
        operator: str = '',
        control: str = '',
        gateways: str = '',
        key_file: str = '',
        json: bool = False,
    ) -> _report.Command:
        """Start no task in a failure domain; its running tasks finish.

        The order holds until "domains restore". It may be repeated.

        Args:
          domain: The failure domain.
          reason: Why; shown by "domains list".
          operator: The operator's name; by default the login name.
          control: Listen.Control of the platform's controllers, separated by
            commas.
          gateways: Operator addresses of gateways, separated by commas.
          key_file: File with the operator key.
          json: Print JSON.
        """
        return _report.Command(
            lambda: _change(
                _client(control, gateways, key_file),
                messages.FailureDomain(domain),
                True,
                operator,
                reason,
            ),
            json,
        )

    @_arguments.convert_arguments
    def restore(
        self,
        domain: str,
        *,
        reason: str = '',
        operator: str = '',
        control: str = '',
        gateways: str = '',
        key_file: str = '',
        json: bool = False,
    ) -> _report.Command:
        """Revoke the evacuation of a failure domain.

        Args:
          domain: The failure domain.
          reason: Why.
          operator: The operator's name; by default the login name.
          control: Listen.Control of the platform's controllers, separated by
            commas.
          gateways: Operator addresses of gateways, separated by commas.
          key_file: File with the operator key.
          json: Print JSON.
        """
        return _report.Command(
            lambda: _change(
                _client(control, gateways, key_file),
                messages.FailureDomain(domain),
                False,
                operator,
                reason,
            ),
            json,
        )

    @_arguments.convert_arguments
    def list(
        self,
        *,
        control: str = '',
        gateways: str = '',
        key_file: str = '',
        json: bool = False,
    ) -> _report.Command:
        """Show the failure domains that are evacuated, by whom and why.

        Gateways also show the domains that are in use.

        Args:
          control: Listen.Control of the platform's controllers, separated by
            commas.
          gateways: Operator addresses of gateways, separated by commas.
          key_file: File with the operator key.
          json: Print JSON.
        """
        return _report.Command(
            lambda: _list(_client(control, gateways, key_file)), json
        )


def _client(
    control: str, gateways: str, key_file: str
) -> _gateways.Gateways | _control_ports.ControlPorts:
    if control:
        return _control_ports.connect(control)
    return _gateways.connect(gateways, key_file)


def _change(
    client: _gateways.Gateways | _control_ports.ControlPorts,
    domain: messages.FailureDomain,
    evacuated: bool,
    operator: str,
    reason: str,
) -> _report.Report:
    outcome = client.change_domain(
        domain, evacuated, operator or _gateways.login_name(), reason
    )
    if isinstance(outcome, result.Failure):
        return outcome.failure().report()
    text = (
        f'{domain} is evacuated: no task is started there, and what runs '
        'there ends by itself'
        if evacuated
        else f'{domain} is restored'
    )
    return _report.Report(
        _exit_code.ExitCode.DONE,
        text=text,
        data={'domain': domain, 'evacuated': evacuated, 'outcome': 'done'},
    )


def _list(
    client: _gateways.Gateways | _control_ports.ControlPorts,
) -> _report.Report:
    outcome = client.show_domains()
    if isinstance(outcome, result.Failure):
        return outcome.failure().report()
    views = outcome.unwrap().domains
    rows = [
        (
            view.failure_domain,
            'evacuated' if view.evacuated else 'in use',
            '' if view.workers_count is None else view.workers_count,
            '' if view.running_count is None else view.running_count,
            _time_text(view.requested_unix_ms) if view.evacuated else '',
            view.operator_id if view.evacuated else '',
            view.reason if view.evacuated else '',
        )
        for view in views
    ]
    data = [
        {
            'domain': view.failure_domain,
            'evacuated': view.evacuated,
            'workers_count': view.workers_count,
            'running_count': view.running_count,
            'operator': view.operator_id,
            'reason': view.reason,
            'requested_unix_ms': view.requested_unix_ms,
        }
        for view in views
    ]
    return _report.Report(
        _exit_code.ExitCode.DONE,
        text=tables.render(_HEADER, rows),
        data={'domains': data},
    )


def _time_text(unix_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(unix_ms / 1000, datetime.UTC)
    return moment.isoformat(timespec='seconds')
