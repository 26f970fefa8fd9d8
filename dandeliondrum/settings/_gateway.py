"""Settings of a gateway."""

import dataclasses
import ipaddress

from dandeliondrum import messages
from dandeliondrum.settings import _common
from dandeliondrum.settings import _parameters
from dandeliondrum import transport


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """The fields of a gateway's settings file."""

    gateway_id: messages.GatewayId = _parameters.parameter(
        _common.NAME, 'Id of this gateway.'
    )
    cell_id: messages.CellId = _parameters.parameter(
        _common.NAME,
        'The cell of this process; processes of other cells are rejected.',
    )
    region: messages.Region = _parameters.parameter(
        _common.NAME, 'Region of the VM.'
    )
    failure_domain: messages.FailureDomain = _parameters.parameter(
        _common.NAME, 'Failure domain of the VM.'
    )
    callers_address: str = _parameters.parameter(
        _common.ADDRESS,
        'Serves callers on this address, behind the load balancer.',
    )
    workers_address: str = _parameters.parameter(
        _common.ADDRESS, 'Serves workers on this address.'
    )
    operators_address: str = _parameters.parameter(
        _common.ADDRESS, 'Serves operators and /metrics on this address.'
    )
    controllers: tuple[_common.ControllerAddress, ...] = _parameters.parameter(
        _parameters.Objects(_common.ControllerAddress),
        'Where this gateway reaches the controllers: id and address of each '
        'one.',
    )
    callers_threads_count: int = _parameters.parameter(
        _parameters.Integer('threads', 1, 2_000),
        'Calls of callers that are served concurrently.',
        96,
    )
    workers_threads_count: int = _parameters.parameter(
        _parameters.Integer('threads', 1, 500),
        'Calls of workers that are served concurrently.',
        32,
    )
    gateways_max: int = _parameters.parameter(
        _parameters.Integer('gateways', 1, 1_000),
        'Maximum number of gateways in the cell; each uses its share of the '
        'connections of a worker.',
        8,
    )
    body_max_bytes: int = _parameters.parameter(
        _parameters.Integer('bytes', 1_024, 1 << 30),
        'Longest body of a request.',
        64 * 1024 * 1024,
    )
    requests_max_bytes: int = _parameters.parameter(
        _parameters.Integer('bytes', 1 << 22, 1 << 40),
        'Memory for the bodies and parsed requests of all calls together; '
        'at least twice `body_max_bytes` is used.',
        1024 * 1024 * 1024,
    )
    connections_max: int = _parameters.parameter(
        _parameters.Integer('connections', 16, 1_000_000),
        'Connections to each port.',
        2_048,
    )
    arrival_ms: int = _parameters.parameter(
        _parameters.Integer('ms', 100, 600_000),
        'Time within which a request has to arrive completely.',
        10_000,
    )
    drain_notice_ms: int = _parameters.parameter(
        _parameters.Integer('ms', 0, 600_000),
        'How long the gateway reports itself as not ready to the load '
        'balancer before a planned stop closes its ports.',
        1_000,
    )
    drain_max_ms: int = _common.DRAIN_MAX
    operator_key_digest: str = _parameters.parameter(
        _parameters.Digest(),
        'SHA-256 of the key that operators have to send; required unless '
        'operators_address is a loopback address.',
        '',
    )
    log_level: str = _common.LOG_LEVEL
    traces_per_thousand: int = _common.TRACES

    def conflicts(self) -> _common.Conflicts:
        """Return the fields whose values conflict with each other."""
        yield from _common.find_duplicate_addresses(
            self, 'callers_address', 'workers_address', 'operators_address'
        )
        host, _ = transport.parse_address(self.operators_address)
        is_loopback = ipaddress.ip_address(host).is_loopback
        if not self.operator_key_digest and not is_loopback:
            yield _common.Conflict(
                'operator_key_digest',
                'none',
                'a digest, because operators_address is not loopback',
            )
