"""Delivery of start and stop orders to one worker."""

import collections.abc
import enum
import threading

import structlog

from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _lease
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _peer_state
from dandeliondrum.jobs import _port
from dandeliondrum.jobs import _specs
from dandeliondrum import utils

# Number of orders under way to one worker. An order without an answer takes
# its timeout; the others go on meanwhile.
ORDERS_MAX = 3
RETRY_DELAY_MS = 100
QUEUE_TIMEOUT_MS = 500
# Number of unanswered start orders after which a stop is sent instead.
START_ATTEMPTS_MAX = 3
# Number of attempts after which a start that never left this process is given
# up, so that the task can be placed elsewhere.
UNSENT_ATTEMPTS_MAX = 10

_logger = structlog.get_logger()

# Starts a named task in a thread.
Runner = collections.abc.Callable[[str, utils.Task], None]


class _StartAction(enum.Enum):
    """How a queued start order is handled.

    ``WAIT`` queues it again until the worker's lists were read, and
    ``GIVE_UP`` records that the run never started.
    """

    SEND = 'send'
    WAIT = 'wait'
    GIVE_UP = 'give_up'


class OrderSender:
    """Sends the orders of the order book; several threads may run it."""

    def __init__(self, state: _peer_state.PeerState) -> None:
        self._state = state
        self._orders = state.orders
        self._tasks_count = 0

    def run(self, stopping: threading.Event) -> None:
        """Send starts and stops until the worker has ended."""
        while not stopping.is_set() and not self._state.ended:
            item = self._orders.next(QUEUE_TIMEOUT_MS / 1000)
            if item is not None:
                self._send(item, stopping)

    def start_with(self, run: Runner) -> None:
        """Send queued orders in tasks that ``run`` is called to start.

        A task ends when no order is queued. There are as many tasks as
        orders under way, at most ``ORDERS_MAX``, and none once the worker
        has ended.
        """
        self._orders.on_queued = lambda: self._start_task(run)

    def _start_task(self, run: Runner) -> None:
        # The caller holds the lock of the state.
        if self._tasks_count < ORDERS_MAX and not self._state.ended:
            run(f'orders to {self._state.facts.worker_id}', self._send_queued)
            self._tasks_count += 1

    def _send_queued(self, stopping: threading.Event) -> None:
        while not stopping.is_set() and not self._state.ended:
            with self._state.lock:
                item = self._orders.next(0)
                if item is None:
                    self._tasks_count -= 1
                    return
            self._send(item, stopping)

    def _send(
        self, item: _specs.TaskKey | _orders.Stop, stopping: threading.Event
    ) -> None:
        if not self._state.events.may_act():
            self._orders.put_back(item)
            stopping.wait(RETRY_DELAY_MS / 1000)
            return
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
        has_shrunk = not state.events.fits(state.facts)
        evacuated = state.events.is_evacuated(state.facts)
        with state.lock:
            stop_ordered = self._orders.is_stopping(task, run)
            order = self._orders.get(task, run)
            if order is None or order.phase is _orders.OrderPhase.LISTED:
                return
            has_changed = has_shrunk or not state.may_carry_out(order)
            is_first = order.sends_count == 0
            if is_first and (
                draining
                or obsolete
                or stop_ordered
                or has_changed
                or evacuated
                or not state.is_responding
            ):
                action = _StartAction.GIVE_UP
            elif stop_ordered:
                # The stop also settles the starts that were sent before it.
                return
            elif has_changed:
                self._settle_by_stop(task, order)
                return
            elif not is_first and not state.has_read(order.resend_read):
                # The worker may have started again. Its next lists tell that,
                # or that the run has begun.
                self._orders.requeue(task)
                action = _StartAction.WAIT
            elif evacuated:
                # The lists read since then show that the run has not begun,
                # so the stop ends no work.
                state.events.withheld(state.facts.worker_id, task, order.run)
                self._settle_by_stop(task, order)
                return
            else:
                begun_ms = state.begin_start(order)
                request = self._start_order(task, order)
                action = _StartAction.SEND
        match action:
            case _StartAction.GIVE_UP:
                if evacuated:
                    state.events.withheld(
                        state.facts.worker_id, task, order.run
                    )
                self._record_never_started(task, order)
                return
            case _StartAction.WAIT:
                stopping.wait(RETRY_DELAY_MS / 1000)
                return
        outcome = state.port.start(request)
        state.end_start(order, outcome, begun_ms)
        match outcome:
            case _port.Accepted():
                self._settle(order)
                state.events.started((task.job_id,))
            case _port.WorkerReplaced():
                with state.lock:
                    # The order did not reach this incarnation.
                    order.sends_count -= 1
                self._settle(order)
                state.handle_replacement(request.worker)
            case _port.Refused(reason):
                self._handle_refusal(request, order, reason)
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
        request: _port.StartOrder,
        order: _orders.Order,
        reason: _port.Refusal,
    ) -> None:
        task, worker_id = request.task, self._state.facts.worker_id
        was_late = (
            reason is _port.Refusal.LEASE_PASSED
            and self._state.lease.left_ms(request.lease_until_ms)
            <= _lease.EXPIRY_MARGIN_MS
        )
        _logger.info(
            'start refused',
            worker=worker_id,
            task=str(task),
            run=order.run,
            why=reason.value,
            was_late=was_late,
            sends_count=order.sends_count,
        )
        if request.worker.started_ms == self._state.facts.started_ms:
            self._state.events.refused(worker_id, task, reason, was_late)
        if order.sends_count == 1:
            # No other start order of this run is in flight, so it can never
            # start.
            self._record_never_started(task, order)
        else:
            self._settle_by_stop(task, order)

    def _record_never_started(
        self, task: _specs.TaskKey, order: _orders.Order
    ) -> None:
        # If the log refuses the end now, the next lists settle the run.
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
                order.unsent_count += 1
            order.resend_read = self._state.reads_count + 1
            if order.phase is _orders.OrderPhase.LISTED:
                return
            if self._orders.is_stopping(task, order.run):
                return
            never_sent = (
                not order.sends_count
                and order.unsent_count >= UNSENT_ATTEMPTS_MAX
            )
            if not never_sent and order.sends_count < START_ATTEMPTS_MAX:
                order.enter(_orders.OrderPhase.QUEUED)
                self._orders.requeue(task)
                return
        if never_sent:
            self._record_never_started(task, order)
        else:
            self._settle_by_stop(task, order)

    def _settle_by_stop(
        self, task: _specs.TaskKey, order: _orders.Order
    ) -> None:
        """Prevent a late start; the worker's lists tell what became of it."""
        self._orders.stop(task, order.run)

    def _send_stop(self, task: _specs.TaskKey, run: int) -> bool:
        """Send a stop; return False if it has to be sent again."""
        state = self._state
        with state.lock:
            order = self._orders.get(task, run)
            request = _port.StopOrder(state.facts, state.token, task, run)
        outcome = state.port.stop(request)
        match outcome:
            case _port.Unanswered(_, why):
                pass
            case _port.Refused(_port.Refusal.UNHEALTHY as reason):
                why = reason.value
            case _port.WorkerReplaced():
                state.handle_replacement(request.worker)
                return True
            case _port.Accepted() | _port.Refused():
                if order is not None:
                    self._settle(order)
                return True
        _logger.info(
            'stop not carried out',
            worker=state.facts.worker_id,
            task=str(task),
            run=run,
            why=why,
        )
        self._orders.requeue(_orders.Stop(task, run))
        return False
