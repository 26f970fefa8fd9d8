"""Admission control: refuses tasks that can't start in time."""

import collections

from returns import result

from dandeliondrum import messages

# Length of the window over which the throughput is measured.
WINDOW_MS = 10_000
# Tasks start in bursts, so fewer starts give no reliable throughput.
STARTED_COUNT_MIN = 20
# Largest expected wait of an admitted task, as a fraction of its timeout.
WAIT_FRACTION_MAX = 0.9


class WaitEstimator:
    """Estimates waiting times from the throughput.

    Only time during which tasks were waiting counts, so an idle hour isn't
    mistaken for low throughput.

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
        """Record the number of tasks started since the last call.

        To be called after each plan. ``pending_count`` is the number of
        tasks that wait now, and ``now_ms`` a clock reading in milliseconds.
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
        """Return the expected wait in milliseconds behind ``ahead_count``.

        0 while too few starts were recorded, so that no task is refused
        without evidence.
        """
        if not self._busy_ms or ahead_count <= 0:
            return 0
        if self._started_count < STARTED_COUNT_MIN:
            return 0
        return ahead_count * self._busy_ms // self._started_count


class AdmissionPolicy:
    """Refuses a task immediately if it could not start in time."""

    def decide(
        self,
        pending_count: int,
        estimated_wait_ms: int,
        timeout_ms: int,
        queued_max: int,
    ) -> result.Result[None, messages.RefusalReason]:
        """Admit a task, or return the reason for refusing it.

        ``timeout_ms`` is the time left for waiting: the caller's timeout
        minus a high quantile of the run time (``Estimate.run_ms``). With the
        mean instead, many of the longer tasks would end too late.
        ``pending_count`` is the number of tasks that already wait in the
        queue, and ``queued_max`` the limit for it.
        """
        if timeout_ms <= 0:
            return result.Failure(messages.RefusalReason.DEADLINE_PASSED)
        if pending_count >= queued_max:
            return result.Failure(messages.RefusalReason.QUEUE_FULL)
        if estimated_wait_ms > timeout_ms * WAIT_FRACTION_MAX:
            return result.Failure(messages.RefusalReason.DEADLINE_UNREACHABLE)
        return result.Success(None)
