"""Suspension of workers on which runs fail repeatedly.

A worker that accepts every run and fails it always has free resources, so it
would use up the attempts of many tasks. One that refuses every start seems
free as well and would draw the same tasks in each round.
"""

import collections
import collections.abc

import structlog

from dandeliondrum.jobs import _commands
from dandeliondrum import messages

# Consecutive failures after which a worker is suspended.
CONSECUTIVE_FAILURES_MAX = 3
# Duration of the first suspension, doubled each time up to the maximum. A
# task takes seconds.
FIRST_SUSPENSION_MS = 3_000
SUSPENSION_MAX_MS = 24_000
# At most the number of workers divided by this is suspended at a time, and as
# many are paused, of all workers and of those of a kind. If more fail, the
# cause is not the workers, and the others are still needed.
LEFT_OUT_DIVISOR = 2

# Duration of the first pause after a refused start, doubled each time up to
# the maximum. The resources may be free again after a few calls.
FIRST_REFUSAL_PAUSE_MS = 100
REFUSAL_PAUSE_MAX_MS = 1_600

_logger = structlog.get_logger()


class Health:
    """Counts consecutive failures; one success resets a worker.

    A worker that fails is suspended for seconds, and one that refuses a start
    is paused for a part of a second. ``count_workers`` returns the size of
    the fleet, which limits how many workers are suspended at a time, and how
    many are paused. There is no limit without it. ``find_alike`` returns the
    workers that run the same steps as a worker, and limits these as well.
    """

    def __init__(
        self,
        count_workers: collections.abc.Callable[[], int] | None = None,
        find_alike: collections.abc.Callable[
            [messages.WorkerId], collections.abc.Collection[messages.WorkerId]
        ] = lambda _: (),
    ) -> None:
        self._count_workers = count_workers
        self._find_alike = find_alike
        self._failures: collections.Counter[messages.WorkerId] = (
            collections.Counter()
        )
        self._next_duration_ms: dict[messages.WorkerId, int] = {}
        self._suspended_until_ms: dict[messages.WorkerId, int] = {}
        self._paused_until_ms: dict[messages.WorkerId, int] = {}
        self._next_refusal_pause_ms: dict[messages.WorkerId, int] = {}

    def record_end(
        self,
        worker_id: messages.WorkerId,
        outcome: _commands.RunOutcome,
        now_ms: int,
    ) -> None:
        """Record the end of a run; only DONE and FAILED have an effect."""
        if outcome is _commands.RunOutcome.DONE:
            self.forget(worker_id)
        elif outcome is _commands.RunOutcome.FAILED:
            self._failures[worker_id] += 1
            if self._failures[worker_id] >= CONSECUTIVE_FAILURES_MAX:
                self.suspend(worker_id, now_ms)

    def suspend(self, worker_id: messages.WorkerId, now_ms: int) -> None:
        """Suspend the worker, each time for twice as long up to a maximum.

        It has no effect while too many other workers are suspended.
        """
        until_ms = self._suspended_until_ms
        if now_ms >= until_ms.get(worker_id, 0) and self._is_full(
            until_ms, worker_id, now_ms
        ):
            _logger.warning('worker not suspended', worker=worker_id)
            return
        duration_ms = self._next_duration_ms.get(
            worker_id, FIRST_SUSPENSION_MS
        )
        until_ms[worker_id] = now_ms + duration_ms
        self._next_duration_ms[worker_id] = min(
            2 * duration_ms, SUSPENSION_MAX_MS
        )

    def record_stall(self, worker_id: messages.WorkerId, now_ms: int) -> None:
        """Suspend a worker whose runs make no progress.

        It has no effect on a worker that is suspended already.
        """
        if now_ms >= self._suspended_until_ms.get(worker_id, 0):
            self.suspend(worker_id, now_ms)

    def _is_full(
        self,
        until_ms: dict[messages.WorkerId, int],
        worker_id: messages.WorkerId,
        now_ms: int,
    ) -> bool:
        if self._count_workers is None:
            return False
        left_out = {one for one, end_ms in until_ms.items() if end_ms > now_ms}
        if len(left_out) >= _left_out_max(self._count_workers()):
            return True
        alike = self._find_alike(worker_id)
        left_out_alike = left_out.intersection(alike)
        return bool(alike) and len(left_out_alike) >= _left_out_max(len(alike))

    def record_refusal(
        self, worker_id: messages.WorkerId, now_ms: int
    ) -> None:
        """Pause a worker that refused a start.

        Refusals of starts that were sent before have no further effect, and
        no refusal has one while too many other workers are paused.
        """
        if self.suspended(worker_id, now_ms):
            return
        if self._is_full(self._paused_until_ms, worker_id, now_ms):
            _logger.info('worker not paused', worker=worker_id)
            return
        pause_ms = self._next_refusal_pause_ms.get(
            worker_id, FIRST_REFUSAL_PAUSE_MS
        )
        self._paused_until_ms[worker_id] = now_ms + pause_ms
        self._next_refusal_pause_ms[worker_id] = min(
            2 * pause_ms, REFUSAL_PAUSE_MAX_MS
        )

    def suspended(self, worker_id: messages.WorkerId, now_ms: int) -> bool:
        """Return whether the worker is suspended or paused."""
        return now_ms < max(
            self._suspended_until_ms.get(worker_id, 0),
            self._paused_until_ms.get(worker_id, 0),
        )

    def consecutive_failures(self, worker_id: messages.WorkerId) -> int:
        """Return the number of consecutive failures on the worker."""
        return self._failures[worker_id]

    def forget(self, worker_id: messages.WorkerId) -> None:
        """Reset the failures and the suspension of a worker."""
        self._failures.pop(worker_id, None)
        self._next_duration_ms.pop(worker_id, None)
        self._suspended_until_ms.pop(worker_id, None)
        self._paused_until_ms.pop(worker_id, None)
        self._next_refusal_pause_ms.pop(worker_id, None)


def _left_out_max(workers_count: int) -> int:
    return max(1, workers_count // LEFT_OUT_DIVISOR)
