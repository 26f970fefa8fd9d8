"""The orders to one worker: what is to be sent, and how far each start is.

What an order that was not answered has come to is settled by the lists: a run
that is missing from a list that was read after the order was settled neither
runs nor ever will.
"""

import collections
import dataclasses
import enum
import threading

from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _specs

# A stop that had no effect yet is sent again after this.
STOP_AGAIN_MS = 700


class OrderPhase(enum.Enum):
    """How far the start of a run is."""

    PLANNED = 'planned'
    QUEUED = 'queued'
    SENT = 'sent'
    SETTLED = 'settled'
    LISTED = 'listed'


@dataclasses.dataclass(slots=True)
class Order:
    """The start of one run on this worker.

    ``settled_read`` is the number of the first read of the lists that began
    after the order was settled.
    """

    run: int
    payload: str
    checkpoint: str
    ticket: str
    phase: OrderPhase = OrderPhase.PLANNED
    sends_count: int = 0
    settled_read: int = 0
    checkpoint_seen: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A run that is to be stopped, or kept from ever starting."""

    task: _specs.TaskKey
    run: int


class OrderBook:
    """Starts by task, and what waits to be sent; safe for any thread."""

    def __init__(self, lock: threading.RLock) -> None:
        self._lock = lock
        self._wake = threading.Condition(lock)
        self._orders: dict[_specs.TaskKey, Order] = {}
        self._outbox: collections.deque[_specs.TaskKey | Stop] = (
            collections.deque()
        )
        self._stops_ms: dict[tuple[_specs.TaskKey, int], int] = {}

    def plan(self, task: _specs.TaskKey, order: Order) -> None:
        """Note a run that is about to be agreed on."""
        with self._lock:
            self._orders[task] = order

    def unplan(self, task: _specs.TaskKey) -> None:
        """Drop a run that was not agreed on."""
        with self._lock:
            self._orders.pop(task, None)

    def dispatch(self, task: _specs.TaskKey) -> None:
        """Queue the start of a run that was agreed on."""
        with self._wake:
            order = self._orders.get(task)
            if order is not None:
                order.phase = OrderPhase.QUEUED
                self._outbox.append(task)
                self._wake.notify()

    def stop(self, task: _specs.TaskKey, run: int) -> None:
        """Queue a stop, unless one was sent a moment ago."""
        now_ms = _clock.elapsed_ms()
        with self._wake:
            sent_ms = self._stops_ms.get((task, run))
            if sent_ms is not None and now_ms - sent_ms < STOP_AGAIN_MS:
                return
            self._stops_ms[task, run] = now_ms
            self._outbox.appendleft(Stop(task, run))
            self._wake.notify()

    def is_stopping(self, task: _specs.TaskKey, run: int) -> bool:
        """Return whether the stop of a run has been ordered."""
        with self._lock:
            return (task, run) in self._stops_ms

    def is_listed(self, task: _specs.TaskKey, run: int) -> bool:
        """Return whether the worker has listed a run, so it has begun."""
        order = self.get(task, run)
        return order is not None and order.phase is OrderPhase.LISTED

    def next(self, timeout_s: float) -> _specs.TaskKey | Stop | None:
        """Return what is to be sent next; None if that takes too long."""
        with self._wake:
            if not self._outbox:
                self._wake.wait(timeout_s)
            return self._outbox.popleft() if self._outbox else None

    def put_back(self, item: _specs.TaskKey | Stop) -> None:
        """Have something sent before all else, since it was not sent."""
        with self._lock:
            self._outbox.appendleft(item)

    def repeat(self, item: _specs.TaskKey | Stop) -> None:
        """Have something sent again, after what waits."""
        with self._wake:
            self._outbox.append(item)

    def wake_all(self) -> None:
        """Let all who wait for an order look again."""
        with self._wake:
            self._wake.notify_all()

    def drop_queued(self) -> None:
        """Send nothing of what waits."""
        with self._lock:
            self._outbox.clear()

    def get(self, task: _specs.TaskKey, run: int) -> Order | None:
        """Return the start of a run, if it was ordered by this leader."""
        order = self._orders.get(task)
        return order if order is not None and order.run == run else None

    def checkpoint(self, task: _specs.TaskKey) -> str:
        """Return the newest checkpoint of a run here, or an empty string."""
        with self._lock:
            order = self._orders.get(task)
            return order.checkpoint_seen if order is not None else ''

    def listed(self, task: _specs.TaskKey, run: int, checkpoint: str) -> None:
        """Note that the lists have a run."""
        with self._lock:
            order = self.get(task, run)
            if order is None:
                order = Order(run, '', '', '')
                self._orders[task] = order
            if order.phase is not OrderPhase.QUEUED:
                order.phase = OrderPhase.LISTED
            if checkpoint:
                order.checkpoint_seen = checkpoint

    def settle(self, order: Order, next_read: int) -> None:
        """Note that no answer is missing; reads from then on count."""
        with self._lock:
            if order.phase is not OrderPhase.LISTED:
                order.phase = OrderPhase.SETTLED
                order.settled_read = next_read

    def is_lost(self, task: _specs.TaskKey, run: int, read: int) -> bool:
        """Return whether a run that is not listed can't be running.

        A run without an order here was ordered by an earlier leader, whose
        token is shut out by the read itself.
        """
        order = self.get(task, run)
        if order is None or order.phase is OrderPhase.LISTED:
            return True
        settled = order.phase is OrderPhase.SETTLED
        return settled and read >= order.settled_read

    def forget(self, task: _specs.TaskKey, run: int) -> None:
        """Drop a run that has ended, and earlier ones."""
        with self._lock:
            order = self._orders.get(task)
            if order is not None and order.run <= run:
                del self._orders[task]
            self._stops_ms.pop((task, run), None)
