"""Delivery of start and stop orders to one worker."""

import threading

import structlog

from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _peer_state
from dandeliondrum.jobs import _port
from dandeliondrum.jobs import _specs

RETRY_DELAY_MS = 100
QUEUE_TIMEOUT_MS = 500
# Number of unanswered start orders after which a stop is sent instead.
START_ATTEMPTS_MAX = 3

_logger = structlog.get_logger()


class OrderSender:
    """Sends the orders of the order book; several threads may run it."""

    def __init__(self, state: _peer_state.PeerState) -> None:
        self._state = state
        self._orders = state.orders

    def run(self, stopping: threading.Event) -> None:
        """Send starts and stops until the worker has ended."""
        state = self._state
        while not stopping.is_set() and not state.ended:
            item = self._orders.next(QUEUE_TIMEOUT_MS / 1000)
            if item is None:
                continue
            if not state.events.may_act():
                self._orders.put_back(item)
                stopping.wait(RETRY_DELAY_MS / 1000)
                continue
            match item:
                case _orders.Stop(task, run):
                    if not self._send_stop(task, run):
                        stopping.wait(RETRY_DELAY_MS / 1000)
                case task:
                    self._send_start(task, stopping)

    def _send_start(
        self, task: _specs.TaskKey, stopping: threading.Event
    ) -> None:
        state = self._state
        run = state.events.assigned(state.facts.worker_id).get(task)
        if run is None:
            return
        draining = state.facts.phase is _commands.WorkerPhase.DRAINING
        obsolete = bool(state.events.obsolete([(task, run)]))
        with state.lock:
            stop_ordered = self._orders.is_stopping(task, run)
            order = self._orders.get(task, run)
            if order is None:
                return
            if order.sends_count == 0 and (
                draining or obsolete or stop_ordered
            ):
                request = None
            elif stop_ordered:
                # The stop also settles the starts that were sent before it.
                return
            else:
                order.sends_count += 1
                order.phase = _orders.OrderPhase.SENT
                request = self._start_order(task, order)
        if request is None:
            self._record_never_started(task, order)
            return
        outcome = state.port.start(request)
        match outcome:
            case _port.Accepted():
                self._settle(order)
            case _port.WorkerReplaced():
                state.handle_replacement()
            case _port.Refused(reason):
                self._handle_refusal(task, order, reason)
            case _port.Unanswered(sent, detail):
                self._handle_unanswered_start(task, order, sent, detail)
                stopping.wait(RETRY_DELAY_MS / 1000)

    def _start_order(
        self, task: _specs.TaskKey, order: _orders.Order
    ) -> _port.StartOrder:
        state = self._state
        return _port.StartOrder(
            state.facts,
            state.token,
            task,
            order.run,
            order.payload,
            state.lease_until_ms(),
            order.checkpoint,
            order.ticket,
        )

    def _settle(self, order: _orders.Order) -> None:
        with self._state.lock:
            self._orders.settle(order, self._state.reads_count + 1)

    def _handle_refusal(
        self,
        task: _specs.TaskKey,
        order: _orders.Order,
        reason: _port.Refusal,
    ) -> None:
        worker_id = self._state.facts.worker_id
        _logger.info(
            'start refused',
            worker=worker_id,
            task=str(task),
            run=order.run,
            why=reason.value,
            sends_count=order.sends_count,
        )
        self._state.events.refused(worker_id, task, reason)
        if order.sends_count == 1:
            # No other start order of this run is in flight, so it can never
            # start.
            self._record_never_started(task, order)
        else:
            self._settle_by_stop(task, order)

    def _record_never_started(
        self, task: _specs.TaskKey, order: _orders.Order
    ) -> None:
        # If the log does not record the end now, the next read of the lists
        # finds that the run is lost.
        self._settle(order)
        lost = _commands.RunEnd(task, order.run, _commands.RunOutcome.LOST)
        self._state.record((lost,))

    def _handle_unanswered_start(
        self,
        task: _specs.TaskKey,
        order: _orders.Order,
        sent: bool,
        detail: str,
    ) -> None:
        _logger.info(
            'start not answered',
            worker=self._state.facts.worker_id,
            task=str(task),
            run=order.run,
            sent=sent,
            why=detail,
        )
        with self._state.lock:
            if not sent:
                order.sends_count -= 1
            if order.phase is _orders.OrderPhase.LISTED:
                return
            if self._orders.is_stopping(task, order.run):
                return
            if order.sends_count < START_ATTEMPTS_MAX:
                order.phase = _orders.OrderPhase.QUEUED
                self._orders.requeue(task)
                return
        self._settle_by_stop(task, order)

    def _settle_by_stop(
        self, task: _specs.TaskKey, order: _orders.Order
    ) -> None:
        """Prevent a late start; the worker's lists tell what became of it."""
        self._orders.stop(task, order.run)

    def _send_stop(self, task: _specs.TaskKey, run: int) -> bool:
        """Send a stop order; return False if it has to be sent again."""
        state = self._state
        with state.lock:
            order = self._orders.get(task, run)
            request = _port.StopOrder(state.facts, state.token, task, run)
        outcome = state.port.stop(request)
        match outcome:
            case _port.Accepted() | _port.Refused():
                if order is not None:
                    self._settle(order)
            case _port.WorkerReplaced():
                state.handle_replacement()
            case _port.Unanswered(_, detail):
                _logger.info(
                    'stop not answered',
                    worker=state.facts.worker_id,
                    task=str(task),
                    run=run,
                    why=detail,
                )
                self._orders.requeue(_orders.Stop(task, run))
                return False
        return True
