"""Lease that limits how long a worker's runs continue without a leader."""

from dandeliondrum.jobs import _clock

# The worker protocol allows a clock that is 2% slow, and reading the clock
# takes time.
CLOCK_RATE_MARGIN = 1.03
LAPSE_MARGIN_MS = 250


class Lease:
    """The newest lease of a worker and the time at which it has expired.

    ``lease_max_ms`` is the longest lease that a worker accepts: one that an
    earlier leader granted may last that long.
    """

    def __init__(self, lease_ms: int, lease_max_ms: int) -> None:
        self._lease_ms = lease_ms
        self._lapse_ms = _clock.elapsed_ms() + _stretched(lease_max_ms)
        self._clock_offset_ms = 0
        self._granted_ms = 0

    @property
    def lapse_ms(self) -> int:
        """Time on this process's clock at which all runs have ended."""
        return self._lapse_ms

    def heard(self, clock_ms: int) -> None:
        """Update the offset between the worker's clock and ours."""
        self._clock_offset_ms = clock_ms - _clock.elapsed_ms()

    def grant(self) -> int:
        """Return the end of a new lease on the worker's clock.

        From then on the worker counts as running until that lease expires,
        whether or not the grant reaches it.
        """
        now_ms = _clock.elapsed_ms()
        lapse_ms = now_ms + _stretched(self._lease_ms)
        self._lapse_ms = max(self._lapse_ms, lapse_ms)
        self._granted_ms = now_ms + self._clock_offset_ms + self._lease_ms
        return self._granted_ms

    def granted_ms(self) -> int:
        """Return the end of the newest lease on the worker's clock."""
        return self._granted_ms

    def lapsed(self) -> bool:
        """Return whether the lease has expired and all runs have ended."""
        return _clock.elapsed_ms() > self._lapse_ms


def _stretched(lease_ms: int) -> int:
    """Return the longest real time that a lease can last."""
    return int(lease_ms * CLOCK_RATE_MARGIN) + LAPSE_MARGIN_MS
