"""Bounded storage of the answers of ended attempts."""

import collections
import collections.abc

from dandeliondrum import messages
from dandeliondrum.worker import _attempt

# Durable answers up to this size are sent in heartbeats and stored in the
# replicated log; larger ones stay on the worker.
LOGGED_ANSWER_MAX_BYTES = 64 * 1024


class AnswerStore:
    """Holds ended attempts with their answers, oldest first.

    Not thread-safe; callers hold a lock.
    """

    def __init__(self, bytes_max: int, count_max: int) -> None:
        self._bytes_max = bytes_max
        self._count_max = count_max
        self._total_bytes = 0
        self._attempts: collections.OrderedDict[
            messages.AttemptId, _attempt.Attempt
        ] = collections.OrderedDict()

    def add(self, attempt: _attempt.Attempt) -> None:
        """Store the answer of an attempt that has just ended."""
        self._attempts[attempt.call.attempt_id] = attempt
        self._total_bytes += attempt.length_bytes

    def drop(self, attempt: _attempt.Attempt) -> None:
        """Discard an answer; does nothing if it was discarded before."""
        if self._attempts.pop(attempt.call.attempt_id, None) is not None:
            self._total_bytes -= attempt.length_bytes
            attempt.answer = None

    def has_large_durable(self) -> bool:
        """Return whether a durable answer is too large for the log."""
        return any(
            attempt.call.durable
            and attempt.length_bytes > LOGGED_ANSWER_MAX_BYTES
            for attempt in self._attempts.values()
        )

    def excess(self) -> collections.abc.Iterator[_attempt.Attempt]:
        """Yield the oldest attempt while a limit is exceeded.

        The caller has to drop each attempt before it takes the next one.
        """
        while self._attempts and self._exceeds_limits():
            yield next(iter(self._attempts.values()))

    def _exceeds_limits(self) -> bool:
        return (
            self._total_bytes > self._bytes_max
            or len(self._attempts) > self._count_max
        )
