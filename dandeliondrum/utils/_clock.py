"""Access to the monotonic clock."""

import time

import dandeliondrum


def process_age_ms() -> int:
    """Return the time since :mod:`dandeliondrum` was imported, in ms."""
    return (time.monotonic_ns() - dandeliondrum.IMPORTED_NS) // 1_000_000


def monotonic_ms() -> int:
    """Return monotonic time in milliseconds; wall clock jumps don't matter."""
    return time.monotonic_ns() // 1_000_000
