"""Options of a gateway."""

import dataclasses

from dandeliondrum import messages

MIB_BYTES = 1024 * 1024
# Connections that one worker accepts from all gateways together.
WORKER_CONNECTIONS_COUNT = 64


@dataclasses.dataclass(frozen=True)
class Options:
    """Addresses, limits and timeouts of one gateway.

    Addresses are ``host:port`` with an IP address as the host; port 0 selects
    any free port. ``controllers`` pairs the id of each controller with its
    address. ``operator_key_digest`` is the SHA-256 digest of the operators'
    key in hexadecimal; without it, operator calls are accepted over loopback
    only.

    ``start_wait_ms`` is how long a worker may hold a start request or an
    answer request open before it replies. A connection on which nothing
    arrives is given up after that time plus ``silence_margin_ms``. On
    shutdown the gateway reports that it is not ready for ``drain_notice_ms``,
    then waits at most ``drain_max_ms`` for open calls to complete. A complete
    request has to arrive within ``arrival_ms``. All bodies and parsed requests
    together may occupy ``requests_max_bytes``, and each port has at most
    ``connections_max`` connections.
    """

    gateway_id: messages.GatewayId
    cell_id: messages.CellId
    region: messages.Region
    failure_domain: messages.FailureDomain
    callers_address: str
    workers_address: str
    operators_address: str
    controllers: tuple[tuple[messages.ControllerId, str], ...]
    callers_threads_count: int = 96
    workers_threads_count: int = 32
    operators_threads_count: int = 4
    durable_threads_count: int = 32
    gateways_max: int = 8
    body_max_bytes: int = 64 * MIB_BYTES
    requests_max_bytes: int = 1024 * MIB_BYTES
    connections_max: int = 2_048
    operator_key_digest: str = ''
    start_wait_ms: int = 2_000
    silence_margin_ms: int = 1_500
    arrival_ms: int = 10_000
    drain_notice_ms: int = 1_000
    drain_max_ms: int = 30_000

    @property
    def connections_per_worker(self) -> int:
        """Return how many connections this gateway may open to a worker."""
        return max(1, WORKER_CONNECTIONS_COUNT // self.gateways_max)
