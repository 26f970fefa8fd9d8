"""What a proxy may do to the bytes that pass through it."""

import dataclasses
import enum
import threading
import time


class Flow(enum.Enum):
    """What happens to the bytes of one direction.

    ``STALL`` holds them back and delivers them once the flow passes again,
    as TCP does over a short cut. ``SWALLOW`` loses them; since a stream can't
    go on after a gap, a connection that lost bytes delivers nothing more in
    that direction, also when the flow passes again.
    """

    PASS = 'pass'
    STALL = 'stall'
    SWALLOW = 'swallow'


class Pacer:
    """A bandwidth limit; proxies that share a pacer share the bandwidth."""

    def __init__(self, bytes_per_second: int) -> None:
        self._bytes_per_second = bytes_per_second
        self._lock = threading.Lock()
        self._free_s = 0.0

    def reserve(self, length_bytes: int) -> float:
        """Return the time by ``time.monotonic`` when the bytes are through."""
        with self._lock:
            begin_s = max(self._free_s, time.monotonic())
            self._free_s = begin_s + length_bytes / self._bytes_per_second
            return self._free_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """The faults of one link, which is dialled by its source.

    Forward is from the source to the target. Each chunk of bytes waits for
    ``delay_ms`` give or take ``jitter_ms``, in both directions and without
    changing the order. With ``refuse`` the port turns new connections away
    and those that are open are reset. A connection is reset once it has
    carried ``..._after_bytes`` in that direction.
    """

    delay_ms: int = 0
    jitter_ms: int = 0
    forward_pacer: Pacer | None = None
    backward_pacer: Pacer | None = None
    forward: Flow = Flow.PASS
    backward: Flow = Flow.PASS
    refuse: bool = False
    reset_forward_after_bytes: int | None = None
    reset_backward_after_bytes: int | None = None


NO_FAULTS = Faults()
CUT = Faults(refuse=True)
BLACKHOLE = Faults(forward=Flow.SWALLOW, backward=Flow.SWALLOW)
STALLED = Faults(forward=Flow.STALL, backward=Flow.STALL)
