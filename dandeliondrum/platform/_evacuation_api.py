"""HTTP API of a controller for the evacuation of failure domains."""

import typing

import structlog
import werkzeug

from dandeliondrum import gateway
from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.platform import _control_api
from dandeliondrum.platform import _settings

# Name of the contract with these routes.
CONTRACT = 'places'
# Below 1 s, after which operators try another controller.
TIMEOUT_MS = 900
# Stored for each domain, so it is bounded.
TEXT_CHARS_MAX = 500

_logger = structlog.get_logger()


def routes(
    controller: jobs.JobController, settings: _settings.Settings
) -> tuple[gateway.Route, ...]:
    """Return the routes of the API, none if the contract is not in use."""
    if CONTRACT not in settings.contracts:
        return ()
    return EvacuationApi(controller, settings).routes()


class EvacuationApi:
    """Serves orders to evacuate failure domains and to restore them."""

    def __init__(
        self, controller: jobs.JobController, settings: _settings.Settings
    ) -> None:
        self._controller = controller
        self._settings = settings

    def routes(self) -> tuple[gateway.Route, ...]:
        """Return the routes of the API."""
        return (
            gateway.Route('GET', '/evacuations', self._list),
            gateway.Route('POST', '/evacuations/<domain>', self._evacuate),
            gateway.Route('DELETE', '/evacuations/<domain>', self._restore),
        )

    def _evacuate(self, call: gateway.Call, domain: str) -> werkzeug.Response:
        return self._change(call, messages.FailureDomain(domain), True)

    def _restore(self, call: gateway.Call, domain: str) -> werkzeug.Response:
        return self._change(call, messages.FailureDomain(domain), False)

    def _change(
        self,
        call: gateway.Call,
        domain: messages.FailureDomain,
        evacuated: bool,
    ) -> werkzeug.Response:
        known = self._known_domains()
        if domain not in known:
            _logger.warning('unknown domain', failure_domain=f'{domain:.80}')
            return _control_api.problem(
                404,
                f'unknown failure domain {domain!r:.80}; known are: '
                f'{", ".join(sorted(known))}',
            )
        by = call.request.args.get('by', call.peer_ip())
        reason = call.request.args.get('reason', '')
        if len(by) > TEXT_CHARS_MAX or len(reason) > TEXT_CHARS_MAX:
            return _control_api.problem(
                400, f'by and reason have at most {TEXT_CHARS_MAX} characters'
            )
        outcome = self._controller.change_domain(
            domain, evacuated, TIMEOUT_MS, by, reason
        )

        def respond(current: jobs.EvacuatedDomains) -> werkzeug.Response:
            if evacuated and known <= current.domains:
                # The operator decides, so the order is obeyed.
                _logger.warning(
                    'all failure domains are evacuated',
                    failure_domains=sorted(current.domains),
                )
            return werkzeug.Response(status=200)

        return _control_api.reply(outcome, respond)

    def _known_domains(self) -> frozenset[messages.FailureDomain]:
        """Return the domains of the settings, and those with an order.

        Without any in the settings, these are the domains of this process and
        of the workers. An order can also be revoked after its domain was
        removed from the settings.
        """
        settings = self._settings
        named = settings.failure_domains or (
            self._controller.reported_domains() | {settings.failure_domain}
        )
        return named | self._controller.state.evacuations.domains

    def _list(self, _call: gateway.Call) -> werkzeug.Response:
        return _control_api.reply(
            self._controller.evacuated_domains(TIMEOUT_MS), _list_response
        )


def _list_response(current: typing.Any) -> werkzeug.Response:
    return gateway.json_response(
        {
            'Evacuations': [
                {
                    'Zone': order.failure_domain,
                    'By': order.origin.requested_by,
                    'Reason': order.origin.reason,
                    'SinceMs': order.origin.requested_unix_ms,
                }
                for order in current.orders
                if order.evacuated
            ]
        }
    )
