"""Early and truthful refusal of what can't be served in time."""

import collections

from returns import result

from dandeliondrum import messages

WINDOW_MS = 10_000
# Tasks start in bursts, so that fewer starts say little of the pace.
STARTED_COUNT_MIN = 20
# Part of its timeout that a task may be expected to wait at most.
TIMEOUT_PORTION = 0.9


class WaitEstimator:
    """Estimates waiting from the throughput while tasks were waiting.

    Only time during which something waited counts, so a quiet hour isn't
    taken for a slow fleet.

    Example::

        estimator.record(started_count, pending_count, now_ms)
        wait_ms = estimator.estimated_wait_ms(ahead_count)
    """

    def __init__(self) -> None:
        self._spans: collections.deque[tuple[int, int]] = collections.deque()
        self._busy_ms = 0
        self._started_count = 0
        self._last_ms: int | None = None
        self._was_waiting = False

    def record(
        self, started_count: int, pending_count: int, now_ms: int
    ) -> None:
        """Note how many tasks started since the last call.

        To be called after each plan; ``pending_count`` is what waits now.
        """
        if self._last_ms is not None and self._was_waiting:
            span_ms = max(0, now_ms - self._last_ms)
            self._spans.append((span_ms, started_count))
            self._busy_ms += span_ms
            self._started_count += started_count
        while self._spans and self._busy_ms - self._spans[0][0] >= WINDOW_MS:
            span_ms, count = self._spans.popleft()
            self._busy_ms -= span_ms
            self._started_count -= count
        self._last_ms = now_ms
        self._was_waiting = pending_count > 0

    def estimated_wait_ms(self, ahead_count: int) -> int:
        """Return how long a task waits behind so many others.

        0 while little has been measured: what isn't known is no reason to
        refuse.
        """
        if not self._busy_ms or ahead_count <= 0:
            return 0
        if self._started_count < STARTED_COUNT_MIN:
            return 0
        return ahead_count * self._busy_ms // self._started_count


class AdmissionPolicy:
    """Refuses a task at once if waiting for it would be in vain."""

    def decide(
        self,
        pending_count: int,
        estimated_wait_ms: int,
        timeout_ms: int,
        queued_max: int,
    ) -> result.Result[None, messages.RefusalReason]:
        """Admit a task, or say why not.

        ``timeout_ms`` is what is left for waiting: the caller's timeout less
        the run time, as a high quantile (``Estimate.run_ms``); with the mean
        instead, a good part of the longer tasks would end too late.
        ``queued_max`` bounds ``pending_count``, the
        tasks of the queue that wait already.
        """
        if timeout_ms <= 0:
            return result.Failure(messages.RefusalReason.DEADLINE_PASSED)
        if pending_count >= queued_max:
            return result.Failure(messages.RefusalReason.QUEUE_FULL)
        if estimated_wait_ms > timeout_ms * TIMEOUT_PORTION:
            return result.Failure(messages.RefusalReason.DEADLINE_UNREACHABLE)
        return result.Success(None)
