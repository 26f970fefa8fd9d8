"""Limits of a server, and how they follow from those of its process."""

import dataclasses

MIB_BYTES = 1024 * 1024
# Without a limit for the process.
DEFAULT_BUDGET_BYTES = 128 * MIB_BYTES
DEFAULT_CONNECTIONS_MAX = 1_024
# Memory of a process that serves no request: 56 MB measured, with room for
# the threads, the queues of connections and the replicated state.
PROCESS_MB = 80
BUDGET_MIN_BYTES = 4 * MIB_BYTES
# Of the memory that is left, the share that requests may use; the rest is for
# answers, calls to peers and what the allocator doesn't return.
BUDGET_SHARE = 2
# Descriptors of the limit that the platform reserves, and those for files,
# the connections to peers and the listeners.
RESERVED_DESCRIPTORS = 200
OWN_DESCRIPTORS = 64
CONNECTIONS_MIN = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits of one server.

    ``arrival_ms`` is how long a request may take to arrive, and ``idle_ms``
    how long a connection may be without one. An answer may take ``answer_ms``
    from its first byte to its last; 0 means that only a stalled answer is
    given up, after ``stall_ms`` without progress. At most
    ``connections_per_peer_max`` of the connections are those of one IP
    address.
    """

    header_bytes_max: int
    body_bytes_max: int
    arrival_ms: int
    idle_ms: int = 15_000
    stall_ms: int = 10_000
    answer_ms: int = 0
    connections_max: int = DEFAULT_CONNECTIONS_MAX
    connections_per_peer_max: int = DEFAULT_CONNECTIONS_MAX

    def __post_init__(self) -> None:
        for field in dataclasses.fields(self):
            if getattr(self, field.name) < 0:
                raise ValueError(f'{field.name} must not be negative')
        if self.connections_max < 1 or self.connections_per_peer_max < 1:
            raise ValueError('at least one connection must be allowed')


@dataclasses.dataclass(frozen=True)
class ProcessLimits:
    """Memory and descriptors of a process; 0 stands for no limit."""

    memory_mb: int = 0
    descriptors_max: int = 0

    @property
    def budget_bytes(self) -> int:
        """Return how much the requests of the process may occupy."""
        if not self.memory_mb:
            return DEFAULT_BUDGET_BYTES
        left_bytes = (self.memory_mb - PROCESS_MB) * MIB_BYTES
        return max(BUDGET_MIN_BYTES, left_bytes // BUDGET_SHARE)

    def connections_max(self, share: float) -> int:
        """Return how many connections a port with this share may have."""
        if not self.descriptors_max:
            return DEFAULT_CONNECTIONS_MAX
        usable = self.descriptors_max - RESERVED_DESCRIPTORS - OWN_DESCRIPTORS
        return max(CONNECTIONS_MIN, int(usable * share))
