"""The settings of a gateway."""

import dataclasses
import ipaddress

from dandeliondrum import messages
from dandeliondrum.settings import _common
from dandeliondrum.settings import _declare
from dandeliondrum import transport


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Settings of a gateway."""

    gateway_id: messages.GatewayId = _declare.parameter(
        _common.NAME, 'Id of this gateway.'
    )
    cell_id: messages.CellId = _declare.parameter(
        _common.NAME, 'The cell; processes of two cells refuse each other.'
    )
    region: messages.Region = _declare.parameter(
        _common.NAME, 'Region in which the VM stands.'
    )
    failure_domain: messages.FailureDomain = _declare.parameter(
        _common.NAME, 'Failure domain in which the VM stands.'
    )
    callers_address: str = _declare.parameter(
        _common.ADDRESS, 'Serves callers here, behind the balancer.'
    )
    workers_address: str = _declare.parameter(
        _common.ADDRESS, 'Serves workers here.'
    )
    operators_address: str = _declare.parameter(
        _common.ADDRESS, 'Serves operators and /metrics here.'
    )
    controllers: tuple[_common.ControllerAddress, ...] = _declare.parameter(
        _declare.Records(_common.ControllerAddress),
        'Where this gateway reaches the controllers.',
    )
    callers_threads_count: int = _declare.parameter(
        _declare.Whole('threads', 1, 2_000),
        'Calls of callers that are served at once.',
        96,
    )
    workers_threads_count: int = _declare.parameter(
        _declare.Whole('threads', 1, 500),
        'Calls of workers that are served at once.',
        32,
    )
    gateways_max: int = _declare.parameter(
        _declare.Whole('gateways', 1, 1_000),
        'Most gateways of the cell; each keeps to its part of the '
        'connections that a worker takes.',
        8,
    )
    body_max_bytes: int = _declare.parameter(
        _declare.Whole('bytes', 1_024, 1 << 30),
        'Longest body of a request.',
        64 * 1024 * 1024,
    )
    arrival_ms: int = _declare.parameter(
        _declare.Whole('ms', 100, 600_000),
        'Time within which a whole request has to arrive.',
        10_000,
    )
    drain_notice_ms: int = _declare.parameter(
        _declare.Whole('ms', 0, 600_000),
        'How long a planned stop reports itself as not ready '
        'before it closes its ports.',
        1_000,
    )
    drain_max_ms: int = _common.DRAIN_MAX
    operator_key_digest: str = _declare.parameter(
        _declare.Digest(),
        'SHA-256 of the key that operators show; needed unless '
        'operators_address is a loopback address.',
        '',
    )
    log_level: str = _common.LOG_LEVEL
    traces_per_thousand: int = _common.TRACES

    def clashes(self) -> _common.Clashes:
        """Return fields that do not go together."""
        yield from _common.distinct(
            self, 'callers_address', 'workers_address', 'operators_address'
        )
        host, _ = transport.parse_address(self.operators_address)
        is_loopback = ipaddress.ip_address(host).is_loopback
        if not self.operator_key_digest and not is_loopback:
            yield _common.Clash(
                'operator_key_digest',
                'none',
                'a digest, as operators_address is no loopback address',
            )
