"""One attempt on a worker, while it runs and after."""

import hashlib
import threading

from dandeliondrum import messages
from dandeliondrum.worker import _calls
from dandeliondrum.worker import _journal

THROTTLED_PACE = 0.5

_EMPTY_DIGEST = hashlib.sha256(b'').hexdigest()


class Attempt:
    """State of an attempt; its fields belong to the lock of its owner.

    ``ended`` is set once it runs no more. ``answer`` is None from the moment
    at which the answer was dropped.
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
        self._pace = 1.0
        self._stop_reason = ''
        self._changed = threading.Condition()

    @property
    def running(self) -> bool:
        """Whether it runs still."""
        return self.state is messages.AttemptState.RUNNING

    @property
    def stop_reason(self) -> str:
        """Why it was told to stop; empty when it was not."""
        return self._stop_reason

    def stop(self, reason: str) -> None:
        """Tell it to stop; the first reason counts."""
        with self._changed:
            self._stop_reason = self._stop_reason or reason
            self._changed.notify()

    def throttle(self, throttled: bool) -> None:
        """Run at half the pace, or at the whole again."""
        with self._changed:
            self._pace = THROTTLED_PACE if throttled else 1.0
            self._changed.notify()

    def work(self, run_ms: float) -> None:
        """Pass the time of its work; return early when told to stop."""
        left_ms = run_ms
        with self._changed:
            while left_ms > 0 and not self._stop_reason:
                pace = self._pace
                began_ms = _journal.now_ms()
                timeout_ms = min(left_ms / pace, threading.TIMEOUT_MAX)
                self._changed.wait(timeout_ms / 1000)
                left_ms -= (_journal.now_ms() - began_ms) * pace

    def keep(self, answer: bytes) -> None:
        """Take the answer that its caller is to have."""
        self.answer = answer
        self.length_bytes = len(answer)
        self.digest = hashlib.sha256(answer).hexdigest()
