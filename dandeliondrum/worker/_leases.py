"""Leases that limit how long attempts run without contact to the leader.

A lease begins at the time at which the last answered heartbeat was sent, or
at the arrival of the start if that was later. It doesn't begin at the arrival
of the reply: a slow reply must not extend a lease beyond the time for which
the leader grants it.
"""

import collections.abc
import math
import threading

from dandeliondrum import utils
from dandeliondrum.worker import _journal

# Starts are refused if the last answered heartbeat is older than this.
START_FRESHNESS_MS = 2_000


class Leases:
    """Computes when leases expire and calls back at the next expiry."""

    def __init__(
        self,
        timers: utils.TimerService,
        on_due: collections.abc.Callable[[], object],
    ) -> None:
        self._timers = timers
        self._on_due = on_due
        self._lock = threading.Lock()
        self._answered_sent_ms = -math.inf
        self._timer_due_ms = math.inf
        self._timer: utils.Subscription | None = None

    def record_answered_heartbeat(self, sent_ms: float) -> None:
        """Renew all leases: the heartbeat sent at this time was answered."""
        with self._lock:
            self._answered_sent_ms = max(self._answered_sent_ms, sent_ms)

    def reset(self) -> None:
        """Discard the last renewal, until the next reply arrives."""
        with self._lock:
            self._answered_sent_ms = -math.inf

    def accepts_starts(self) -> bool:
        """Return whether the last renewal is recent enough for new starts."""
        age_ms = _journal.now_ms() - self._answered_sent_ms
        return age_ms <= START_FRESHNESS_MS

    def expires_ms(self, arrived_ms: float, lease_ms: int) -> float:
        """Return the monotonic time at which a lease expires."""
        return max(arrived_ms, self._answered_sent_ms) + lease_ms

    def schedule(self, due_ms: float) -> None:
        """Call back at this time, unless an earlier callback is scheduled."""
        with self._lock:
            if due_ms >= self._timer_due_ms:
                return
            if self._timer is not None:
                self._timer.cancel()
            self._timer_due_ms = due_ms
            delay_ms = max(0, math.ceil(due_ms - _journal.now_ms()))
            self._timer = self._timers.after(delay_ms, self._on_timer)

    def _on_timer(self) -> None:
        with self._lock:
            self._timer_due_ms = math.inf
            self._timer = None
        self._on_due()
