"""How long attempts may run without being renewed.

A lease is counted from the moment at which the last answered heartbeat was
sent, or from the arrival of the start when that was later. An answer that
took long to come therefore renews only what the leader still grants.
"""

import collections.abc
import math
import threading

from dandeliondrum import utils
from dandeliondrum.worker import _journal

START_FRESHNESS_MS = 2_000


class Leases:
    """Knows when leases run out and calls back when the next one does."""

    def __init__(
        self,
        timers: utils.TimerService,
        on_due: collections.abc.Callable[[], object],
    ) -> None:
        self._timers = timers
        self._on_due = on_due
        self._lock = threading.Lock()
        self._answered_sent_ms = -math.inf
        self._armed_ms = math.inf
        self._armed: utils.Subscription | None = None

    def answered(self, sent_ms: float) -> None:
        """Renew by an answer to the heartbeat that was sent at this time."""
        with self._lock:
            self._answered_sent_ms = max(self._answered_sent_ms, sent_ms)

    def forget(self) -> None:
        """Renew nothing any more until the next answer."""
        with self._lock:
            self._answered_sent_ms = -math.inf

    def fresh(self) -> bool:
        """Return whether starts may still be taken."""
        silent_ms = _journal.now_ms() - self._answered_sent_ms
        return silent_ms <= START_FRESHNESS_MS

    def expires_ms(self, arrived_ms: float, lease_ms: int) -> float:
        """Return when the lease of an attempt runs out."""
        return max(arrived_ms, self._answered_sent_ms) + lease_ms

    def arm(self, due_ms: float) -> None:
        """Call back at this time, unless an earlier call is due anyway."""
        with self._lock:
            if due_ms >= self._armed_ms:
                return
            if self._armed is not None:
                self._armed.cancel()
            self._armed_ms = due_ms
            delay_ms = max(0, math.ceil(due_ms - _journal.now_ms()))
            self._armed = self._timers.after(delay_ms, self._due)

    def _due(self) -> None:
        with self._lock:
            self._armed_ms = math.inf
            self._armed = None
        self._on_due()
