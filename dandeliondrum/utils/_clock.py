"""Reading of the monotonic clock."""

import time


def monotonic_ms() -> int:
    """Return milliseconds of a clock that never goes back or jumps."""
    return time.monotonic_ns() // 1_000_000
