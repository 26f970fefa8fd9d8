"""Lease that limits how long a worker's runs continue without a leader."""

from dandeliondrum.jobs import _clock

# The worker protocol allows a clock that is 2% slow, and reading the clock
# takes time.
CLOCK_RATE_FACTOR = 1.03
EXPIRY_MARGIN_MS = 250
# A call without an answer is carried out at most this long after it was sent,
# by the worker or by its next incarnation.
LATE_CALL_MAX_MS = 5_000


class Lease:
    """The newest lease of a worker and the time at which it has expired.

    ``lease_max_ms`` is the longest lease that a worker accepts. It may accept
    such a lease from any call for which its clock was not known: from an
    earlier leader, or from a call that was meant for a former incarnation.
    The calls of an earlier leader may still arrive.
    """

    def __init__(self, lease_ms: int, lease_max_ms: int) -> None:
        now_ms = _clock.elapsed_ms()
        self._lease_ms = lease_ms
        self._lease_max_ms = lease_max_ms
        self._expiry_ms = now_ms + _max_real_ms(lease_max_ms)
        self._arrival_ms = now_ms + LATE_CALL_MAX_MS
        self._clock_offset_ms = 0
        self._granted_ms = 0

    @property
    def expiry_ms(self) -> int:
        """Time on this process's clock at which all runs have ended.

        That excludes runs of an incarnation whose lists have not been read.
        """
        return self._expiry_ms

    def unread_expiry_ms(self, start_ms: int = 0) -> int:
        """Return when the runs of an incarnation that was not read have ended.

        ``start_ms`` is the latest time at which such a run may have started,
        0 if it is not known.
        """
        arrival_ms = max(self._arrival_ms, start_ms)
        expiry_ms = arrival_ms + _max_real_ms(self._lease_max_ms)
        return max(self._expiry_ms, expiry_ms)

    def expect_arrival(self, until_ms: int) -> None:
        """Note that a call with a lease may be carried out until a time.

        It may be carried out by an incarnation whose lists have not been
        read, for which the end of the lease may be far in the future.
        """
        self._arrival_ms = max(self._arrival_ms, until_ms)

    def extend_to_max(self) -> None:
        """Note that the longest lease may have been accepted until now."""
        expiry_ms = _clock.elapsed_ms() + _max_real_ms(self._lease_max_ms)
        self._expiry_ms = max(self._expiry_ms, expiry_ms)

    def update_clock(self, clock_ms: int) -> None:
        """Update the offset between the worker's clock and ours."""
        self._clock_offset_ms = clock_ms - _clock.elapsed_ms()

    def restart_clock(self, clock_ms: int) -> None:
        """Use the clock of a worker that has started again.

        The end of a lease on the former clock may be far in the future on the
        new one, so it must not be sent any more. Calls that carried it may
        have reached the new incarnation.
        """
        self.update_clock(clock_ms)
        self._granted_ms = 0
        self.extend_to_max()

    def is_same_clock(self, clock_ms: int, begun_ms: int) -> bool:
        """Return whether a reply is of the incarnation whose lists were read.

        ``clock_ms`` is the worker's clock in the reply to a call that began
        at ``begun_ms``. The clock of the next incarnation is behind.
        """
        expected_ms = begun_ms + self._clock_offset_ms
        return clock_ms >= expected_ms - EXPIRY_MARGIN_MS

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
        """Return whether :attr:`expiry_ms` has passed."""
        return _clock.elapsed_ms() > self._expiry_ms


def _max_real_ms(lease_ms: int) -> int:
    """Return the longest real time that a lease can last."""
    return int(lease_ms * CLOCK_RATE_FACTOR) + EXPIRY_MARGIN_MS
