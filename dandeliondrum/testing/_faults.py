"""Faults that a proxy can apply to the bytes it forwards."""

import dataclasses
import enum
import threading
import time


class Flow(enum.Enum):
    """How the bytes of one direction are handled.

    ``STALL`` holds bytes back and delivers them once the flow is ``PASS``
    again, like TCP after a short network interruption. ``DISCARD`` drops
    them; since a stream cannot continue after a gap, a connection that lost
    bytes delivers nothing more in that direction, even once the flow is
    ``PASS`` again.
    """

    PASS = 'pass'
    STALL = 'stall'
    DISCARD = 'swallow'


class Pacer:
    """A bandwidth limit; proxies that share a pacer share the bandwidth."""

    def __init__(self, bytes_per_second: int) -> None:
        self._bytes_per_second = bytes_per_second
        self._lock = threading.Lock()
        self._available_at_s = 0.0

    def reserve(self, length_bytes: int) -> float:
        """Return when the bytes have been sent, by ``time.monotonic``."""
        with self._lock:
            start_s = max(self._available_at_s, time.monotonic())
            self._available_at_s = (
                start_s + length_bytes / self._bytes_per_second
            )
            return self._available_at_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """The faults of one link, on which the source connects to the target.

    Forward is the direction from the source to the target. Each chunk of
    bytes is delayed by ``delay_ms`` plus or minus up to ``jitter_ms``, in
    both directions and without reordering. With ``refuse``, new connections
    are refused and open ones are reset. A connection is reset once it has
    carried ``reset_..._after_bytes`` in that direction.
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
BLACKHOLE = Faults(forward=Flow.DISCARD, backward=Flow.DISCARD)
STALLED = Faults(forward=Flow.STALL, backward=Flow.STALL)
