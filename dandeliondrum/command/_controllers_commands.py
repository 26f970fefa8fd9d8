"""Commands of ``dandeliondrum controllers``."""

from returns import result

from dandeliondrum.command import _arguments
from dandeliondrum.command import _exit_code
from dandeliondrum.command import _gateways
from dandeliondrum.command import _report
from dandeliondrum import messages
from dandeliondrum import transport

FORM_TIMEOUT_MS = 10_000


class ControllersCommands:
    """Form a cell, and add or remove controllers."""

    @_arguments.convert_arguments
    def form(
        self, *members: str, cell_id: str, json: bool = False
    ) -> _report.Command:
        """Found a new cell; done once in the lifetime of a cell.

        Each member is CONTROLLER_ID=ADDRESS, where ADDRESS is its
        listen_address. The request goes to the first one; a controller that
        already has a log refuses.

        Args:
          members: The first controllers, as c1=10.0.0.1:7001.
          cell_id: The cell_id of their settings.
          json: Print JSON.
        """
        return _report.Command(lambda: _form(members, cell_id), json)

    @_arguments.convert_arguments
    def add(
        self,
        controller_id: str,
        address: str,
        *,
        gateways: str = '',
        key_file: str = '',
        json: bool = False,
    ) -> _report.Command:
        """Add a controller, first as a learner, then as a voter.

        Args:
          controller_id: Its id; never reuse an id with another disk.
          address: Its listen_address.
          gateways: Operator addresses of gateways, separated by commas.
          key_file: File with the operator key.
          json: Print JSON.
        """
        call = messages.AddController(
            messages.ControllerId(controller_id), address
        )
        return _report.Command(
            lambda: _membership_report(
                _gateways.connect(gateways, key_file).add_controller(call),
                f'{controller_id} is taken in',
            ),
            json,
        )

    @_arguments.convert_arguments
    def remove(
        self,
        controller_id: str,
        *,
        gateways: str = '',
        key_file: str = '',
        json: bool = False,
    ) -> _report.Command:
        """Remove a controller from the voters.

        Args:
          controller_id: Its id.
          gateways: Operator addresses of gateways, separated by commas.
          key_file: File with the operator key.
          json: Print JSON.
        """
        call = messages.RemoveController(messages.ControllerId(controller_id))
        return _report.Command(
            lambda: _membership_report(
                _gateways.connect(gateways, key_file).remove_controller(call),
                f'{controller_id} is no longer a voter',
            ),
            json,
        )


def _membership_report(
    outcome: result.Result[messages.Done, _gateways.Problem], text: str
) -> _report.Report:
    if isinstance(outcome, result.Failure):
        return outcome.failure().report()
    return _report.Report(
        _exit_code.ExitCode.DONE, text=text, data={'outcome': 'done'}
    )


def _form(members: tuple[str, ...], cell_id: str) -> _report.Report:
    parsed = _parse_members(members)
    if isinstance(parsed, result.Failure):
        return _report.Report(_exit_code.ExitCode.USAGE, note=parsed.failure())
    controllers = parsed.unwrap()
    hello = messages.Hello(
        messages.CellId(cell_id),
        transport.PROTOCOL_VERSION,
        messages.PeerKind.GATEWAY,
        f'operator {_gateways.login_name()}',
    )
    first, address = controllers[0]
    try:
        connection = transport.connect(address, hello, transport.Callbacks())
    except OSError as error:
        return _gateways.Problem(
            _exit_code.ExitCode.UNREACHABLE, f'{first} at {address}: {error}'
        ).report()
    try:
        reply = connection.call(
            messages.FormCell(controllers), FORM_TIMEOUT_MS
        )
    finally:
        connection.close()
    return _formation_report(reply, [name for name, _ in controllers])


def _parse_members(
    members: tuple[str, ...],
) -> result.Result[tuple[tuple[messages.ControllerId, str], ...], str]:
    controllers = []
    for member in members:
        name, _, address = member.partition('=')
        try:
            transport.parse_address(address)
        except ValueError as error:
            return result.Failure(f'{member}: {error}')
        controllers.append((messages.ControllerId(name), address))
    names = [name for name, _ in controllers]
    if not names or len(set(names)) != len(names) or '' in names:
        return result.Failure(
            'give each controller once, as CONTROLLER_ID=ADDRESS'
        )
    return result.Success(tuple(controllers))


def _formation_report(
    reply: result.Result[object, transport.CallError], names: list[str]
) -> _report.Report:
    match reply:
        case result.Success(messages.Done()):
            return _report.Report(
                _exit_code.ExitCode.DONE,
                text='formed with ' + ', '.join(names),
                data={'outcome': 'done', 'controllers': names},
            )
        case result.Success(messages.CallFailed(reason, not_done)):
            code = _exit_code.ExitCode.IN_DOUBT
            if not_done:
                code = _exit_code.ExitCode.REFUSED
            return _gateways.Problem(code, reason).report()
        case result.Failure(
            transport.CallError(transport.CallFailure.NOT_SENT)
        ):
            return _gateways.Problem(
                _exit_code.ExitCode.UNREACHABLE,
                'the controller closed the connection',
            ).report()
        case result.Failure(error):
            return _gateways.Problem(
                _exit_code.ExitCode.IN_DOUBT,
                f'no answer ({error.failure.value}); check cell_id, and use '
                '"status" to see whether the cell is formed',
            ).report()
    return _gateways.Problem(
        _exit_code.ExitCode.IN_DOUBT, f'unexpected reply: {reply}'
    ).report()
