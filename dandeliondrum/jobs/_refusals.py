"""Refusals of the leader, remembered by a gateway."""

import threading

from dandeliondrum.jobs import _leader_calls
from dandeliondrum import messages

# Short beside the time after which a refused caller returns.
HOLD_MS = 500


class RecentRefusals:
    """The queues for which the leader has just refused a job; thread-safe.

    Until the leader decides anew, a gateway refuses further jobs of such a
    queue without a call, so that refusals cost the leader no time.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._refusals: dict[
            messages.QueueName, tuple[int, _leader_calls.Unavailable]
        ] = {}

    def record(
        self,
        queue: messages.QueueName,
        refusal: _leader_calls.Unavailable,
        now_ms: int,
    ) -> None:
        """Remember a refusal until the leader may decide otherwise."""
        with self._lock:
            self._refusals[queue] = (now_ms + HOLD_MS, refusal)

    def find(
        self, queue: messages.QueueName, now_ms: int
    ) -> _leader_calls.Unavailable | None:
        """Return the refusal that still applies to a queue, if any."""
        with self._lock:
            known = self._refusals.get(queue)
            if known is None:
                return None
            until_ms, refusal = known
            if now_ms < until_ms:
                return refusal
            del self._refusals[queue]
        return None
