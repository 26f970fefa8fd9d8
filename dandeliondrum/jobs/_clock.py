"""Clock that includes the time during which the VM was suspended."""

import time

NS_PER_MS = 1_000_000
# After a longer suspension a leader has to confirm that it still leads.
SUSPENSION_MIN_MS = 200


def elapsed_ms() -> int:
    """Return the milliseconds since the VM booted, including suspensions."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


def unix_ms() -> int:
    """Return the time of day in ms since 1970; it may jump."""
    return time.time_ns() // NS_PER_MS


class SuspensionDetector:
    """Detects suspensions of the VM, which the monotonic clock omits."""

    def __init__(self) -> None:
        self._offset_ms = _offset_ms()

    def suspended_ms(self) -> int:
        """Return how long the VM was suspended since the last reset."""
        return max(0, _offset_ms() - self._offset_ms)

    def suspended(self) -> bool:
        """Return whether the suspension reached ``SUSPENSION_MIN_MS``."""
        return self.suspended_ms() >= SUSPENSION_MIN_MS

    def reset(self) -> None:
        """Start counting anew."""
        self._offset_ms = _offset_ms()


def _offset_ms() -> int:
    return elapsed_ms() - time.monotonic_ns() // NS_PER_MS
