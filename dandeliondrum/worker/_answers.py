"""Answers that wait for their callers, within bounds."""

import collections
import collections.abc

from dandeliondrum import messages
from dandeliondrum.worker import _attempt

# Durable answers up to this size travel in heartbeats and into the log.
LOGGED_MAX_BYTES = 64 * 1024


class Answers:
    """Ended attempts with their answers, oldest first.

    The owner holds the lock.
    """

    def __init__(self, bytes_max: int, count_max: int) -> None:
        self._bytes_max = bytes_max
        self._count_max = count_max
        self._kept_bytes = 0
        self._kept: collections.OrderedDict[
            messages.AttemptId, _attempt.Attempt
        ] = collections.OrderedDict()

    def add(self, attempt: _attempt.Attempt) -> None:
        """Keep the answer of an attempt that has just ended."""
        self._kept[attempt.call.attempt_id] = attempt
        self._kept_bytes += attempt.length_bytes

    def drop(self, attempt: _attempt.Attempt) -> None:
        """Let go of an answer; twice does no harm."""
        if self._kept.pop(attempt.call.attempt_id, None) is not None:
            self._kept_bytes -= attempt.length_bytes
            attempt.answer = None

    def owed(self) -> bool:
        """Return whether there is a durable answer too large for the log."""
        return any(
            attempt.call.durable and attempt.length_bytes > LOGGED_MAX_BYTES
            for attempt in self._kept.values()
        )

    def surplus(self) -> collections.abc.Iterator[_attempt.Attempt]:
        """Yield the oldest while there are too many; drop what you get."""
        while self._kept and self._is_over():
            yield next(iter(self._kept.values()))

    def _is_over(self) -> bool:
        return (
            self._kept_bytes > self._bytes_max
            or len(self._kept) > self._count_max
        )
