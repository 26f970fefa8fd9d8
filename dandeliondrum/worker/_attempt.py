"""State of one attempt on a worker, during the run and afterwards."""

import hashlib
import threading

from dandeliondrum import messages
from dandeliondrum.worker import _calls
from dandeliondrum.worker import _journal

THROTTLED_SPEED = 0.5
# Stop reason of an attempt whose lease expired. Checks that read the journal
# match this text.
LEASE_REASON = 'lease'
LONG_WAITERS_MAX = 2
GUARANTEED_WAIT_MS = 1_000

_EMPTY_DIGEST = hashlib.sha256(b'').hexdigest()


class Attempt:
    """State of an attempt; its public fields are guarded by the owner's lock.

    ``ended`` is set once the attempt no longer runs. ``answer`` becomes None
    when the answer is dropped. ``expired_ms`` is the time at which the lease
    expired, or None if the attempt was not stopped for that reason.
    """

    def __init__(self, call: _calls.StartCall) -> None:
        self.call = call
        self.used = call.resources
        self.state = messages.AttemptState.RUNNING
        self.ended = threading.Event()
        self.answer: bytes | None = b''
        self.length_bytes = 0
        self.digest = _EMPTY_DIGEST
        self.detail = ''
        self.run_ms = 0
        self.expired_ms: float | None = None
        self._speed = 1.0
        self._stop_reason = ''
        self._changed = threading.Condition()
        self._long_waiters: list[object] = []

    @property
    def running(self) -> bool:
        """Whether the attempt is still running."""
        return self.state is messages.AttemptState.RUNNING

    @property
    def stop_reason(self) -> str:
        """The reason of the stop request; empty if there was none."""
        return self._stop_reason

    def stop(self, reason: str) -> None:
        """Request a stop; the reason of the first request is kept."""
        with self._changed:
            self._stop_reason = self._stop_reason or reason
            self._changed.notify_all()

    def expire(self, expired_ms: float) -> None:
        """Stop the attempt because its lease expired.

        A later renewal of the lease does not revoke this.
        """
        with self._changed:
            if not self._stop_reason:
                self.expired_ms = expired_ms
            self.stop(LEASE_REASON)

    def throttle(self, throttled: bool) -> None:
        """Run at half speed, or at full speed again."""
        with self._changed:
            self._speed = THROTTLED_SPEED if throttled else 1.0
            self._changed.notify_all()

    def simulate_work(self, run_ms: float) -> None:
        """Simulate ``run_ms`` of work; return early on a stop request."""
        left_ms = run_ms
        with self._changed:
            while left_ms > 0 and not self._stop_reason:
                speed = self._speed
                began_ms = _journal.now_ms()
                timeout_ms = min(left_ms / speed, threading.TIMEOUT_MAX)
                self._changed.wait(timeout_ms / 1000)
                left_ms -= (_journal.now_ms() - began_ms) * speed

    def wait(self, timeout_ms: int) -> None:
        """Wait until the attempt has ended.

        Only the latest ``LONG_WAITERS_MAX`` callers wait for longer than
        ``GUARANTEED_WAIT_MS``; otherwise requests whose clients have
        disconnected would occupy all server threads.
        """
        waiter = object()
        with self._changed:
            self._long_waiters.append(waiter)
            self._long_waiters = self._long_waiters[-LONG_WAITERS_MAX:]
            self._changed.notify_all()
            guaranteed_ms = min(timeout_ms, GUARANTEED_WAIT_MS)
            self._changed.wait_for(self.ended.is_set, guaranteed_ms / 1000)
            self._changed.wait_for(
                lambda: (
                    self.ended.is_set() or waiter not in self._long_waiters
                ),
                (timeout_ms - guaranteed_ms) / 1000,
            )
            if waiter in self._long_waiters:
                self._long_waiters.remove(waiter)

    def mark_ended(self) -> None:
        """Set ``ended`` and wake up all callers of :meth:`wait`."""
        with self._changed:
            self.ended.set()
            self._changed.notify_all()

    def set_answer(self, answer: bytes) -> None:
        """Set the answer with its length and digest."""
        self.answer = answer
        self.length_bytes = len(answer)
        self.digest = hashlib.sha256(answer).hexdigest()
