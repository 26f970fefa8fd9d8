"""Timer service with one thread for all timers.

All callbacks run in the same thread and must not block. A callback typically
sets an event or passes work to another thread.

Example::

    timers = TimerService()
    timers.start()
    heartbeat = timers.every(250, send_heartbeat)
    ...
    heartbeat.cancel()
    timers.close()
"""

import collections.abc
import dataclasses
import heapq
import itertools
import threading

import structlog

from dandeliondrum.utils import _clock

_logger = structlog.get_logger()


@dataclasses.dataclass
class Subscription:
    """Handle of one timer."""

    callback: collections.abc.Callable[[], object]
    interval_ms: int | None
    cancelled: bool = False

    def cancel(self) -> None:
        """Cancel the timer; does nothing if it is cancelled already."""
        self.cancelled = True


class TimerService:
    """Runs callbacks once after a delay or at regular intervals."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._sequence = itertools.count()
        self._heap: list[tuple[int, int, Subscription]] = []
        self._closed = False
        self._thread = threading.Thread(
            target=self._run, name='timers', daemon=True
        )

    def start(self) -> None:
        """Start the thread that serves the timers."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread; pending callbacks are discarded."""
        with self._condition:
            self._closed = True
            self._condition.notify()
        if self._thread.is_alive():
            self._thread.join()

    def after(
        self, delay_ms: int, callback: collections.abc.Callable[[], object]
    ) -> Subscription:
        """Call ``callback`` once, after ``delay_ms``."""
        return self._subscribe(delay_ms, Subscription(callback, None))

    def every(
        self, interval_ms: int, callback: collections.abc.Callable[[], object]
    ) -> Subscription:
        """Call ``callback`` at each interval, first after one interval.

        The next interval is counted from the end of a callback, so that
        intervals that passed while the process was frozen are skipped.
        """
        return self._subscribe(
            interval_ms, Subscription(callback, interval_ms)
        )

    def _subscribe(
        self, delay_ms: int, subscription: Subscription
    ) -> Subscription:
        due_ms = _clock.monotonic_ms() + delay_ms
        with self._condition:
            heapq.heappush(
                self._heap, (due_ms, next(self._sequence), subscription)
            )
            self._condition.notify()
        return subscription

    def _run(self) -> None:
        while True:
            with self._condition:
                subscription = self._wait_for_due()
            if subscription is None:
                return
            self._call(subscription)

    def _wait_for_due(self) -> Subscription | None:
        while not self._closed:
            now_ms = _clock.monotonic_ms()
            if self._heap and self._heap[0][0] <= now_ms:
                return heapq.heappop(self._heap)[2]
            wait_s = None
            if self._heap:
                wait_s = (self._heap[0][0] - now_ms) / 1000
            self._condition.wait(wait_s)
        return None

    def _call(self, subscription: Subscription) -> None:
        if subscription.cancelled:
            return
        try:
            subscription.callback()
        except Exception:
            _logger.exception('timer callback failed')
        if subscription.interval_ms is not None and not subscription.cancelled:
            self._subscribe(subscription.interval_ms, subscription)
