"""Budget in bytes for the requests of a process."""

import threading

# Requests up to this size may use the whole budget; the others leave a part
# of it, so that reports and submissions pass while large bodies fill the rest.
SMALL_BYTES = 64 * 1024
SMALL_SHARE = 4


class ByteBudget:
    """Bytes that the bodies and parsed requests of a process may occupy.

    Example::

        budget = ByteBudget(64 * 1024 * 1024)
        reservation = budget.open()
        if reservation.grow(len_bytes):
            ...
        reservation.release()
    """

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self._used_bytes = 0
        self._lock = threading.Lock()

    @property
    def used_bytes(self) -> int:
        """Return how many bytes are reserved."""
        return self._used_bytes

    def open(self) -> 'Reservation':
        """Return an empty reservation for one request."""
        return Reservation(self)

    def take(self, held_bytes: int, more_bytes: int) -> bool:
        """Reserve more for a request that holds ``held_bytes`` already.

        A single request may use the whole budget while there is no other.
        """
        wanted_bytes = held_bytes + more_bytes
        with self._lock:
            limit_bytes = self.total_bytes
            is_alone = self._used_bytes == held_bytes
            if wanted_bytes > SMALL_BYTES and not is_alone:
                limit_bytes -= limit_bytes // SMALL_SHARE
            if self._used_bytes + more_bytes > limit_bytes:
                return False
            self._used_bytes += more_bytes
            return True

    def give_back(self, size_bytes: int) -> None:
        """Return bytes that were reserved."""
        with self._lock:
            self._used_bytes -= size_bytes


class Reservation:
    """The bytes that one request has reserved."""

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._held_bytes = 0

    def grow(self, more_bytes: int) -> bool:
        """Reserve more bytes; return whether they were available."""
        if not self._budget.take(self._held_bytes, more_bytes):
            return False
        self._held_bytes += more_bytes
        return True

    def grow_to(self, size_bytes: int) -> bool:
        """Reserve what is missing to a size."""
        return self.grow(max(0, size_bytes - self._held_bytes))

    def fits_ever(self, more_bytes: int) -> bool:
        """Return whether the budget would suffice without other requests."""
        return self._held_bytes + more_bytes <= self._budget.total_bytes

    def release(self) -> None:
        """Give back all that is reserved."""
        self._budget.give_back(self._held_bytes)
        self._held_bytes = 0
