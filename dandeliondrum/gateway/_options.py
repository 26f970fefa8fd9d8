"""What a gateway has to know before it starts."""

import dataclasses

from dandeliondrum import messages

MIB_BYTES = 1024 * 1024
# What one worker takes from all gateways together.
WORKER_CONNECTIONS_COUNT = 64


@dataclasses.dataclass(frozen=True)
class Options:
    """Addresses, limits and waiting times of one gateway.

    Addresses are ``host:port`` by IP number; port 0 takes any free one.
    ``controllers`` pairs the id of each controller with its address.
    ``operator_key_digest`` is the SHA-256 of the operators' key in
    hexadecimal; without it operators are served over loopback only.

    ``start_wait_ms`` is how long a worker may hold a start or a question for
    an answer; a link that went silent is noticed within that time plus
    ``silence_margin_ms``. A stop reports not ready for
    ``drain_notice_ms``, then lets open calls end for at most
    ``drain_max_ms``. A whole request has to arrive within ``arrival_ms``.
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
    operator_key_digest: str = ''
    start_wait_ms: int = 2_000
    silence_margin_ms: int = 1_500
    arrival_ms: int = 10_000
    drain_notice_ms: int = 1_000
    drain_max_ms: int = 30_000

    @property
    def connections_per_worker(self) -> int:
        """Return how many connections this gateway may hold to a worker."""
        return max(1, WORKER_CONNECTIONS_COUNT // self.gateways_max)
