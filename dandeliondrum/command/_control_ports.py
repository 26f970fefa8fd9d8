"""Client of the control ports of the platform's controllers."""

import collections.abc
import json
import time
import urllib.parse

from returns import result

from dandeliondrum.command import _exit_code
from dandeliondrum.command import _gateways
from dandeliondrum.command import _http
from dandeliondrum import messages

# After this time without an answer a call is sent to another controller.
CALL_TIMEOUT_MS = 1_000
# The platform promises to acknowledge an order within this time.
ACK_MAX_MS = 6_000
RETRY_DELAY_MS = 100


def connect(control_flag: str) -> 'ControlPorts':
    """Return a client of the controllers that a command was given."""
    return ControlPorts(_gateways.addresses(control_flag))


class ControlPorts:
    """Sends each call to one controller after another until it is answered.

    All calls are idempotent.
    """

    def __init__(self, addresses: collections.abc.Sequence[str]) -> None:
        self._addresses = addresses

    def change_domain(
        self,
        domain: messages.FailureDomain,
        evacuated: bool,
        operator: str,
        reason: str,
    ) -> result.Result[messages.Done, _gateways.Problem]:
        """Evacuate a failure domain or restore it."""
        query = urllib.parse.urlencode({'by': operator, 'reason': reason})
        path = f'/evacuations/{urllib.parse.quote(domain, safe="")}?{query}'
        method = 'POST' if evacuated else 'DELETE'
        return self._call(method, path).map(lambda _: messages.Done())

    def show_domains(
        self,
    ) -> result.Result[messages.DomainsShown, _gateways.Problem]:
        """Return the evacuated failure domains."""
        return self._call('GET', '/evacuations').bind(_parse_domains)

    def _call(
        self, method: str, path: str
    ) -> result.Result[bytes, _gateways.Problem]:
        """Return the body of the response; a status of 4xx ends the call."""
        deadline_s = time.monotonic() + ACK_MAX_MS / 1000
        problem = _gateways.Problem(
            _exit_code.ExitCode.UNREACHABLE, 'no controller is given'
        )
        while self._addresses:
            for address in self._addresses:
                url = f'http://{address}{path}'
                outcome = _http.call(
                    _http.Request(method, url, {}, timeout_ms=CALL_TIMEOUT_MS)
                )
                match outcome:
                    case result.Success(response) if response.status < 300:
                        return result.Success(response.body)
                    case result.Success(response) if response.status < 500:
                        return result.Failure(_refusal(response))
                    case _:
                        problem = _worse(problem, address, outcome)
                if time.monotonic() > deadline_s:
                    return result.Failure(problem)
            time.sleep(RETRY_DELAY_MS / 1000)
        return result.Failure(problem)


def _worse(
    problem: _gateways.Problem,
    address: str,
    outcome: result.Result[_http.Response, _http.Error],
) -> _gateways.Problem:
    """Return the problem to report; an order may have arrived at one."""
    match outcome:
        case result.Success(response):
            detail = f'{address}: status {response.status}'
        case failed:
            error = failed.failure()
            detail = f'{address}: {error.detail}'
            if error.failure is _http.Failure.NOT_SENT:
                if problem.code is _exit_code.ExitCode.IN_DOUBT:
                    return problem
                return _gateways.Problem(
                    _exit_code.ExitCode.UNREACHABLE,
                    f'no controller could be reached: {detail}',
                )
    return _gateways.Problem(
        _exit_code.ExitCode.IN_DOUBT,
        f'not acknowledged: {detail}; send it again, or use "domains list"',
    )


def _refusal(response: _http.Response) -> _gateways.Problem:
    text = response.body.decode(errors='replace').strip()
    try:
        text = str(json.loads(text)['detail'])
    except (ValueError, KeyError, TypeError):
        text = text[: _gateways.DETAIL_MAX_CHARS]
    return _gateways.Problem(
        _exit_code.ExitCode.REFUSED, f'{response.status}: {text}'
    )


def _parse_domains(
    body: bytes,
) -> result.Result[messages.DomainsShown, _gateways.Problem]:
    try:
        return result.Success(
            messages.DomainsShown(
                tuple(
                    messages.DomainView(
                        messages.FailureDomain(str(row['Zone'])),
                        True,
                        operator_id=messages.OperatorId(str(row['By'])),
                        reason=str(row['Reason']),
                        requested_unix_ms=int(row['SinceMs']),
                    )
                    for row in json.loads(body)['Evacuations']
                )
            )
        )
    except (ValueError, KeyError, TypeError) as error:
        return result.Failure(
            _gateways.Problem(
                _exit_code.ExitCode.UNREACHABLE,
                f'the answer cannot be decoded: {error!r}',
            )
        )
