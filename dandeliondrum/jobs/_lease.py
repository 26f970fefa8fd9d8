"""Lease that limits how long a worker's runs continue without a leader."""

from dandeliondrum.jobs import _clock

# The worker protocol allows a clock that is 2% slow, and reading the clock
# takes time.
CLOCK_RATE_FACTOR = 1.03
EXPIRY_MARGIN_MS = 250


class Lease:
    """The newest lease of a worker and the time at which it has expired.

    ``lease_max_ms`` is the longest lease that a worker accepts: one that an
    earlier leader granted may last that long.
    """

    def __init__(self, lease_ms: int, lease_max_ms: int) -> None:
        self._lease_ms = lease_ms
        self._expiry_ms = _clock.elapsed_ms() + _max_real_ms(lease_max_ms)
        self._clock_offset_ms = 0
        self._granted_ms = 0

    @property
    def expiry_ms(self) -> int:
        """Time on this process's clock at which all runs have ended."""
        return self._expiry_ms

    def update_clock(self, clock_ms: int) -> None:
        """Update the offset between the worker's clock and ours."""
        self._clock_offset_ms = clock_ms - _clock.elapsed_ms()

    def restart_clock(self, clock_ms: int) -> None:
        """Use the clock of a worker that has started again.

        The end of a lease on the former clock may be far in the future on the
        new one, so it must not be sent any more.
        """
        self.update_clock(clock_ms)
        self._granted_ms = 0

    def grant(self) -> int:
        """Return the end of a new lease on the worker's clock.

        From then on the worker counts as running until that lease expires,
        whether or not the grant reaches it.
        """
        now_ms = _clock.elapsed_ms()
        expiry_ms = now_ms + _max_real_ms(self._lease_ms)
        self._expiry_ms = max(self._expiry_ms, expiry_ms)
        self._granted_ms = now_ms + self._clock_offset_ms + self._lease_ms
        return self._granted_ms

    def left_ms(self, until_ms: int) -> int:
        """Return the time left until ``until_ms`` on the worker's clock."""
        return until_ms - _clock.elapsed_ms() - self._clock_offset_ms

    def granted_ms(self) -> int:
        """Return the end of the newest lease on the worker's clock.

        It is 0 if none has been granted since the worker started.
        """
        return self._granted_ms

    def expired(self) -> bool:
        """Return whether the lease has expired and all runs have ended."""
        return _clock.elapsed_ms() > self._expiry_ms


def _max_real_ms(lease_ms: int) -> int:
    """Return the longest real time that a lease can last."""
    return int(lease_ms * CLOCK_RATE_FACTOR) + EXPIRY_MARGIN_MS
