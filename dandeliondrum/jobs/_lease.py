"""How long the runs of one worker may go on without its leader."""

from dandeliondrum.jobs import _clock

# A worker's clock may be 2% slow by its contract, and reading it takes time.
CLOCK_RATE_MARGIN = 1.03
LAPSE_MARGIN_MS = 250


class Lease:
    """The newest grant to a worker and when it has run out for certain.

    ``lease_max_ms`` is the longest lease that a worker takes: one that an
    earlier leader gave may last for that time.
    """

    def __init__(self, lease_ms: int, lease_max_ms: int) -> None:
        self._lease_ms = lease_ms
        self._lapse_ms = _clock.elapsed_ms() + _stretched(lease_max_ms)
        self._clock_offset_ms = 0
        self._granted_ms = 0

    @property
    def lapse_ms(self) -> int:
        """The time of ours at which nothing runs there any more."""
        return self._lapse_ms

    def heard(self, clock_ms: int) -> None:
        """Note the time on the worker's clock."""
        self._clock_offset_ms = clock_ms - _clock.elapsed_ms()

    def grant(self) -> int:
        """Return the end of a new lease on the worker's clock.

        From then on the worker counts as running until that lease has run
        out, whether the grant arrives or not.
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
        """Return whether all runs have ended for want of a renewal."""
        return _clock.elapsed_ms() > self._lapse_ms


def _stretched(lease_ms: int) -> int:
    """Return the longest real time in which a lease can run out."""
    return int(lease_ms * CLOCK_RATE_MARGIN) + LAPSE_MARGIN_MS
