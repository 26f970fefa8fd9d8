"""A clock that also counts the time in which the VM was suspended."""

import time

NS_PER_MS = 1_000_000
# A process that stood still for longer has to confirm that it still leads.
SUSPENSION_MIN_MS = 200


def elapsed_ms() -> int:
    """Return milliseconds since the VM was started, suspensions included."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


class SuspensionDetector:
    """Notices that the VM was suspended, which the monotonic clock hides."""

    def __init__(self) -> None:
        self._offset_ms = _offset_ms()

    def suspended_ms(self) -> int:
        """Return how long the VM stood still since the last reset."""
        return max(0, _offset_ms() - self._offset_ms)

    def suspended(self) -> bool:
        """Return whether it stood still for long enough to matter."""
        return self.suspended_ms() >= SUSPENSION_MIN_MS

    def reset(self) -> None:
        """Count from now on."""
        self._offset_ms = _offset_ms()


def _offset_ms() -> int:
    return elapsed_ms() - time.monotonic_ns() // NS_PER_MS
