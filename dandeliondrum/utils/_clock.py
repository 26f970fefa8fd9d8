"""Access to the monotonic clock."""

import time


def monotonic_ms() -> int:
    """Return monotonic time in milliseconds; wall clock jumps don't matter."""
    return time.monotonic_ns() // 1_000_000
