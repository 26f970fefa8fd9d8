"""One attempt on a worker, while it runs and after."""

import hashlib
import threading

from dandeliondrum import messages
from dandeliondrum.worker import _calls
from dandeliondrum.worker import _journal

THROTTLED_PACE = 0.5
# Why an attempt was stopped that was not renewed; readers of journals know it.
LEASE_REASON = 'lease'
WAITING_MAX = 2
SURE_WAIT_MS = 1_000

_EMPTY_DIGEST = hashlib.sha256(b'').hexdigest()


class Attempt:
    """State of an attempt; its fields belong to the lock of its owner.

    ``ended`` is set once it runs no more. ``answer`` is None from the moment
    at which the answer was dropped. ``expired_ms`` is when its lease ran out,
    None while that is not the reason of its stop.
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
        self._pace = 1.0
        self._stop_reason = ''
        self._changed = threading.Condition()
        self._waiting: list[object] = []

    @property
    def running(self) -> bool:
        """Whether it runs still."""
        return self.state is messages.AttemptState.RUNNING

    @property
    def stop_reason(self) -> str:
        """Why it was asked to stop; empty when it was not."""
        return self._stop_reason

    def stop(self, reason: str) -> None:
        """Ask it to stop; the first reason counts."""
        with self._changed:
            self._stop_reason = self._stop_reason or reason
            self._changed.notify_all()

    def expire(self, expired_ms: float) -> None:
        """Stop it for its lease; a renewal from now on changes nothing."""
        with self._changed:
            if not self._stop_reason:
                self.expired_ms = expired_ms
            self.stop(LEASE_REASON)

    def throttle(self, throttled: bool) -> None:
        """Run at half the pace, or at the whole again."""
        with self._changed:
            self._pace = THROTTLED_PACE if throttled else 1.0
            self._changed.notify_all()

    def work(self, run_ms: float) -> None:
        """Pass the time of its work; return early when asked to stop."""
        left_ms = run_ms
        with self._changed:
            while left_ms > 0 and not self._stop_reason:
                pace = self._pace
                began_ms = _journal.now_ms()
                timeout_ms = min(left_ms / pace, threading.TIMEOUT_MAX)
                self._changed.wait(timeout_ms / 1000)
                left_ms -= (_journal.now_ms() - began_ms) * pace

    def wait(self, timeout_ms: int) -> None:
        """Wait for the end.

        Of many calls that wait, only the latest few go on for longer than
        ``SURE_WAIT_MS``; otherwise calls whose callers have gone would hold
        all threads.
        """
        ticket = object()
        with self._changed:
            self._waiting.append(ticket)
            self._waiting = self._waiting[-WAITING_MAX:]
            self._changed.notify_all()
            sure_ms = min(timeout_ms, SURE_WAIT_MS)
            self._changed.wait_for(self.ended.is_set, sure_ms / 1000)
            self._changed.wait_for(
                lambda: self.ended.is_set() or ticket not in self._waiting,
                (timeout_ms - sure_ms) / 1000,
            )
            if ticket in self._waiting:
                self._waiting.remove(ticket)

    def end(self) -> None:
        """Let those who wait for the end know of it."""
        with self._changed:
            self.ended.set()
            self._changed.notify_all()

    def keep(self, answer: bytes) -> None:
        """Take the answer that its caller is to have."""
        self.answer = answer
        self.length_bytes = len(answer)
        self.digest = hashlib.sha256(answer).hexdigest()
