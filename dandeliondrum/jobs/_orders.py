"""Queue of the orders to one worker and the state of each start order.

The outcome of an order that was not answered is taken from the worker's
lists. A run that is missing from lists that were read after its order was
settled is not running and can never start.
"""

import collections
import collections.abc
import dataclasses
import enum
import threading

from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _specs

# A stop that had no effect yet is ordered again after this at the earliest. A
# stop that was not answered is sent again without this delay.
STOP_RETRY_MS = 700
# An order whose phase has not changed for this long is stuck, unless it is
# still in the queue. Calls to workers take at most a second.
STUCK_AFTER_MS = 5_000


class OrderPhase(enum.Enum):
    """Progress of a start order.

    ``SETTLED`` means that no reply is outstanding. ``LISTED`` means that the
    worker's lists contain the run.
    """

    PLANNED = 'planned'
    QUEUED = 'queued'
    SENT = 'sent'
    SETTLED = 'settled'
    LISTED = 'listed'


@dataclasses.dataclass(slots=True)
class Order:
    """The start order of one run on this worker.

    ``unsent_count`` is the number of attempts that did not reach the worker.
    ``settled_read`` is the number of the first read of the lists that began
    after the order was settled, ``resend_read`` that of the first one that
    began after a start was not answered. Until ``unanswered_until_ms`` a
    start that was not answered may be carried out, and until
    ``may_start_until_ms`` any start. ``checkpoint_seen`` is the newest
    checkpoint that the worker has listed. ``phase`` has not changed since
    ``since_ms``. ``worker`` is what the run was planned with; None if it is
    not known.
    """

    run: int
    payload: str
    checkpoint: str
    ticket: str
    phase: OrderPhase = OrderPhase.PLANNED
    since_ms: int = dataclasses.field(default_factory=_clock.elapsed_ms)
    sends_count: int = 0
    unsent_count: int = 0
    settled_read: int = 0
    resend_read: int = 0
    unanswered_until_ms: int = 0
    may_start_until_ms: int = 0
    checkpoint_seen: str = ''
    worker: _commands.WorkerFacts | None = None

    def enter(self, phase: OrderPhase) -> None:
        """Change the phase."""
        self.phase = phase
        self.since_ms = _clock.elapsed_ms()


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """An order to stop a run, or to prevent it from starting."""

    task: _specs.TaskKey
    run: int


class OrderBook:
    """The start orders by task and the outgoing queue; thread-safe.

    ``on_queued`` is called for each order that is queued, under ``lock``.
    Orders of an earlier leader may be carried out until ``former_until_ms``.
    """

    def __init__(
        self,
        lock: threading.RLock,
        on_queued: collections.abc.Callable[[], object] = lambda: None,
        former_until_ms: int = 0,
    ) -> None:
        self.on_queued = on_queued
        self._former_until_ms = former_until_ms
        self._lock = lock
        self._condition = threading.Condition(lock)
        self._used = threading.Condition(lock)
        self._orders: dict[_specs.TaskKey, Order] = {}
        self._queue: collections.deque[_specs.TaskKey | Stop] = (
            collections.deque()
        )
        self._stops_ms: dict[tuple[_specs.TaskKey, int], int] = {}

    def plan(self, task: _specs.TaskKey, order: Order) -> None:
        """Add the order of a run that is about to be proposed to the log."""
        with self._lock:
            self._orders[task] = order
            self._used.notify()

    def discard_plan(self, task: _specs.TaskKey, run: int) -> None:
        """Remove the order of a run that was not assigned."""
        with self._lock:
            if self.get(task, run) is not None:
                del self._orders[task]

    def dispatch(self, task: _specs.TaskKey) -> None:
        """Queue the start order of a run that was assigned."""
        with self._condition:
            order = self._orders.get(task)
            if order is not None:
                order.enter(OrderPhase.QUEUED)
                self._queue.append(task)
                self._notify_queued()

    def stop(self, task: _specs.TaskKey, run: int) -> None:
        """Queue a stop order, unless a recent one exists."""
        now_ms = _clock.elapsed_ms()
        with self._condition:
            sent_ms = self._stops_ms.get((task, run))
            if sent_ms is not None and now_ms - sent_ms < STOP_RETRY_MS:
                return
            self._stops_ms[task, run] = now_ms
            self._queue.appendleft(Stop(task, run))
            self._notify_queued()

    def is_stopping(self, task: _specs.TaskKey, run: int) -> bool:
        """Return whether a stop of the run has been ordered."""
        with self._lock:
            return (task, run) in self._stops_ms

    def is_listed(self, task: _specs.TaskKey, run: int) -> bool:
        """Return whether the worker has listed the run, so it has begun."""
        order = self.get(task, run)
        return order is not None and order.phase is OrderPhase.LISTED

    def listed_ms(
        self, task: _specs.TaskKey, run: int, now_ms: int
    ) -> int | None:
        """Return for how long a run has been listed, None if it is not."""
        with self._lock:
            order = self.get(task, run)
            if order is None or order.phase is not OrderPhase.LISTED:
                return None
            return now_ms - order.since_ms

    def next(self, timeout_s: float) -> _specs.TaskKey | Stop | None:
        """Return the next order to send; None after the timeout."""
        with self._condition:
            if not self._queue and timeout_s:
                self._condition.wait(timeout_s)
            return self._queue.popleft() if self._queue else None

    def put_back(self, item: _specs.TaskKey | Stop) -> None:
        """Return an order that was not sent to the head of the queue."""
        with self._lock:
            self._queue.appendleft(item)

    def requeue(self, item: _specs.TaskKey | Stop) -> None:
        """Append an order to the queue, to be sent again by this thread."""
        with self._lock:
            self._queue.append(item)

    def _notify_queued(self) -> None:
        self._condition.notify()
        self._used.notify()
        self.on_queued()

    def wait_until_used(self, timeout_s: float) -> bool:
        """Wait for a planned start or a queued order; return if one exists."""
        with self._used:
            if not self._orders and not self._queue:
                self._used.wait(timeout_s)
            return bool(self._orders or self._queue)

    def wake_all(self) -> None:
        """Wake all threads that wait for an order."""
        with self._lock:
            self._condition.notify_all()
            self._used.notify_all()

    def drop_queued(self) -> tuple[_specs.TaskKey | Stop, ...]:
        """Empty the queue; return the orders that were in it."""
        with self._lock:
            dropped = tuple(self._queue)
            self._queue.clear()
            return dropped

    def restore_queued(
        self, items: collections.abc.Iterable[_specs.TaskKey | Stop]
    ) -> None:
        """Return dropped orders to the tail of the queue."""
        with self._condition:
            for item in items:
                self._queue.append(item)
                self._notify_queued()

    def get(self, task: _specs.TaskKey, run: int) -> Order | None:
        """Return the start order of a run, None if this leader has none."""
        order = self._orders.get(task)
        return order if order is not None and order.run == run else None

    def checkpoint(self, task: _specs.TaskKey) -> str:
        """Return the newest checkpoint listed for a task, or ''."""
        with self._lock:
            order = self._orders.get(task)
            return order.checkpoint_seen if order is not None else ''

    def mark_listed(
        self, task: _specs.TaskKey, run: int, checkpoint: str
    ) -> None:
        """Record that the worker's lists contain a run."""
        with self._lock:
            order = self.get(task, run)
            if order is None:
                order = Order(
                    run,
                    '',
                    '',
                    '',
                    may_start_until_ms=self._former_until_ms,
                )
                self._orders[task] = order
            if order.phase is not OrderPhase.LISTED:
                order.enter(OrderPhase.LISTED)
            if checkpoint:
                order.checkpoint_seen = checkpoint

    def awaits_late_start(self) -> bool:
        """Return whether a start that was not answered may be carried out."""
        now_ms = _clock.elapsed_ms()
        with self._lock:
            return any(
                order.unanswered_until_ms > now_ms
                for order in self._orders.values()
            )

    def settle(self, order: Order, next_read: int) -> None:
        """Record that no reply is outstanding.

        Reads of the lists from ``next_read`` on show whether the run exists.
        """
        with self._lock:
            if order.phase is not OrderPhase.LISTED:
                order.enter(OrderPhase.SETTLED)
                order.settled_read = next_read

    def is_lost(self, task: _specs.TaskKey, run: int, read: int) -> bool:
        """Return whether a run that is not listed is certain not to run.

        A run without an order was started by an earlier leader, and the read
        of the lists has fenced off the token of that leader.
        """
        order = self.get(task, run)
        if order is None or order.phase is OrderPhase.LISTED:
            return True
        settled = order.phase is OrderPhase.SETTLED
        return settled and read >= order.settled_read

    def stuck_cause(self, task: _specs.TaskKey, run: int, now_ms: int) -> str:
        """Return why no thread would ever act on an assigned run, or ''."""
        with self._lock:
            stop_ms = self._stops_ms.get((task, run))
            if stop_ms is not None:
                is_late = now_ms - stop_ms > STUCK_AFTER_MS
                is_queued = Stop(task, run) in self._queue
                return 'stop' if is_late and not is_queued else ''
            order = self.get(task, run)
            if order is None or now_ms - order.since_ms <= STUCK_AFTER_MS:
                return ''
            match order.phase:
                case OrderPhase.QUEUED if task in self._queue:
                    return ''
                case OrderPhase.LISTED | OrderPhase.SETTLED:
                    return ''
            return order.phase.value

    def forget(self, task: _specs.TaskKey, run: int) -> None:
        """Remove the orders of a run that has ended and of earlier runs."""
        with self._lock:
            order = self._orders.get(task)
            if order is not None and order.run <= run:
                del self._orders[task]
            self._stops_ms.pop((task, run), None)
