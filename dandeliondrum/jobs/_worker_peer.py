"""The leader's side of one worker: its lease, its lists, and its orders.

Two tasks serve a worker. One renews the lease and reads the lists, the other
sends starts and stops one after the other. What an order that was not
answered has come to is settled by the lists: a run that is missing from a
list that was read after the order was settled neither runs nor ever will.
"""

import collections
import collections.abc
import dataclasses
import enum
import threading
import typing

import structlog

from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _port
from dandeliondrum.jobs import _specs
from dandeliondrum import messages

# A list is held back until something ends, at most for this part of a lease.
# The rest is left for two more renewals when one goes wrong.
RENEWALS_PER_LEASE = 3
# A read that is lost hides the ends on its worker for this time and the
# timeout of the call; jobs allow half a second more than their work.
LIST_WAIT_MAX_MS = 500
PAUSE_MS = 100
# A worker's clock may be 2% slow by its contract, and reading it takes time.
CLOCK_RATE_MARGIN = 1.03
LAPSE_MARGIN_MS = 250
# A stop that had no effect yet is sent again after this.
STOP_AGAIN_MS = 700
# A start that was not answered so often is replaced by a stop.
STARTS_MAX = 3
# A worker that answered nothing for so long is given no new task.
SILENCE_MAX_MS = 2_200
# Fencing tokens of one term; each life of a worker takes one.
TOKENS_PER_TERM = 1 << 16

_logger = structlog.get_logger()


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
class _Stop:
    task: _specs.TaskKey
    run: int


class Events(typing.Protocol):
    """What a peer needs from the leader; calls are short but for record."""

    def may_act(self) -> bool:
        """Return whether this process still leads."""

    def record(self, ends: tuple[_commands.RunEnd, ...]) -> bool:
        """Have ends agreed; False when that failed."""

    def assigned(
        self, worker_id: messages.WorkerId
    ) -> dict[_specs.TaskKey, int]:
        """Return the runs that are assigned to a worker."""

    def unwanted(
        self, runs: collections.abc.Iterable[tuple[_specs.TaskKey, int]]
    ) -> list[tuple[_specs.TaskKey, int]]:
        """Return those of the assigned runs that should stop."""

    def misplaced(
        self, worker_id: messages.WorkerId, lists: _port.Lists
    ) -> list[tuple[_specs.TaskKey, int]]:
        """Judge the progress of runs; return those to place elsewhere."""

    def refused(
        self,
        worker_id: messages.WorkerId,
        task: _specs.TaskKey,
        reason: _port.Refusal,
    ) -> None:
        """Take note that a worker refused a start."""

    def gone(self, worker_id: messages.WorkerId) -> None:
        """Take note that a worker has ended for good."""

    def changed(self) -> None:
        """Plan again."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerOptions:
    """Leases of workers, in milliseconds."""

    lease_ms: int
    lease_max_ms: int


class WorkerPeer:
    """Serves one worker while this process leads."""

    def __init__(
        self,
        facts: _commands.WorkerFacts,
        term: messages.Term,
        port: _port.WorkerPort,
        events: Events,
        options: PeerOptions,
    ) -> None:
        self.facts = facts
        self._port = port
        self._events = events
        self._options = options
        self._lock = threading.RLock()
        self._wake = threading.Condition(self._lock)
        self._token = term * TOKENS_PER_TERM
        self._life_started_ms = 0
        self._orders: dict[_specs.TaskKey, Order] = {}
        self._outbox: collections.deque[_specs.TaskKey | _Stop] = (
            collections.deque()
        )
        self._stops_ms: dict[tuple[_specs.TaskKey, int], int] = {}
        self._strangers_count = 0
        self._reads_count = 0
        self._acknowledged = 0
        self._ended = False
        self._left = False
        now_ms = _clock.elapsed_ms()
        # A lease that an earlier leader gave may last for the longest time.
        self._lapse_ms = now_ms + _stretched(options.lease_max_ms)
        self._answered_ms: int | None = None
        self._clock_offset_ms = 0
        self._granted_ms = 0
        self._first_read = True
        self._answers = False

    # Called by the leader.

    def usable(self) -> bool:
        """Return whether new tasks may be placed on the worker now."""
        with self._lock:
            if self._ended or self._left or self._strangers_count:
                return False
            if self._answered_ms is None or self._first_read:
                return False
            if not self._answers:
                return False
            silent_ms = _clock.elapsed_ms() - self._answered_ms
            return silent_ms <= SILENCE_MAX_MS

    def list_age_ms(self) -> int:
        """Return the age of the newest list, -1 where there is none."""
        if self._answered_ms is None:
            return -1
        return _clock.elapsed_ms() - self._answered_ms

    def plan(self, task: _specs.TaskKey, order: Order) -> None:
        """Note a run that is about to be agreed on."""
        with self._lock:
            self._orders[task] = order

    def dispatch(self, task: _specs.TaskKey) -> None:
        """Send the start of a run that was agreed on."""
        with self._wake:
            order = self._orders.get(task)
            if order is not None:
                order.phase = OrderPhase.QUEUED
                self._outbox.append(task)
                self._wake.notify()

    def unplan(self, task: _specs.TaskKey) -> None:
        """Drop a run that was not agreed on."""
        with self._lock:
            self._orders.pop(task, None)

    def stop(self, task: _specs.TaskKey, run: int) -> None:
        """Stop a run, unless a stop was sent a moment ago."""
        now_ms = _clock.elapsed_ms()
        with self._wake:
            sent_ms = self._stops_ms.get((task, run))
            if sent_ms is not None and now_ms - sent_ms < STOP_AGAIN_MS:
                return
            self._stops_ms[task, run] = now_ms
            self._outbox.appendleft(_Stop(task, run))
            self._wake.notify()

    def checkpoint(self, task: _specs.TaskKey) -> str:
        """Return the newest checkpoint of a run here, or an empty string."""
        with self._lock:
            order = self._orders.get(task)
            return order.checkpoint_seen if order is not None else ''

    def leave(self) -> None:
        """Give nothing new to a worker that says it ends."""
        with self._lock:
            self._left = True

    def close(self) -> None:
        """Let both tasks end."""
        with self._wake:
            self._ended = True
            self._wake.notify_all()

    # The task that reads the lists.

    def watch(self, stopping: threading.Event) -> None:
        """Renew the lease and read the lists until the worker has ended."""
        while not stopping.is_set() and not self._ended:
            if not self._events.may_act():
                stopping.wait(PAUSE_MS / 1000)
                continue
            if not self._read_once():
                stopping.wait(PAUSE_MS / 1000)

    def _read_once(self) -> bool:
        with self._lock:
            self._reads_count += 1
            number = self._reads_count
            token = self._token
            request = self._lease_request()
        outcome = self._port.renew(request)
        if self._ended:
            return True
        match outcome:
            case _port.Lists():
                return self._take_lists(number, token, outcome)
            case _port.Gone():
                self._end_life()
            case _port.Refused(reason):
                _logger.warning(
                    'lease refused',
                    worker=self.facts.worker_id,
                    token=token,
                    why=reason.value,
                )
            case _port.Unanswered(_, detail):
                self._unanswered(detail)
        return False

    def _lease_request(self) -> _port.LeaseRequest:
        """Renew the lease only of a worker that answered the last read.

        A lease that is granted to a silent worker may arrive or not, and its
        runs could not be given to others before that one had run out.
        """
        reading = self._first_read or not self._answers
        wait_ms = min(
            LIST_WAIT_MAX_MS, self._options.lease_ms // RENEWALS_PER_LEASE
        )
        return _port.LeaseRequest(
            self.facts,
            self._token,
            self._acknowledged,
            None if reading else self._grant(),
            0 if reading else wait_ms,
        )

    def _grant(self) -> int:
        """Return the end of a new lease on the worker's clock.

        From then on the worker counts as running until that lease has run
        out, whether the grant arrives or not.
        """
        if self._answers:
            now_ms = _clock.elapsed_ms()
            lease_ms = self._options.lease_ms
            self._lapse_ms = max(self._lapse_ms, now_ms + _stretched(lease_ms))
            self._granted_ms = now_ms + self._clock_offset_ms + lease_ms
        return self._granted_ms

    def _take_lists(self, number: int, token: int, lists: _port.Lists) -> bool:
        with self._lock:
            now_ms = _clock.elapsed_ms()
            self._answered_ms = now_ms
            if not self._answers:
                self._answers = True
                _logger.info('worker answers', worker=self.facts.worker_id)
            if lists.started_ms != self._life_started_ms:
                self._begin_life(lists)
                return True
            if token != self._token:
                return True
            offset_ms = lists.clock_ms - now_ms
            self._clock_offset_ms = offset_ms
        if not self._settle(number, lists):
            return False
        with self._lock:
            # What the worker runs is known only now, and so is its room.
            first, self._first_read = self._first_read, False
        if first:
            self._events.changed()
        return True

    def _begin_life(self, lists: _port.Lists) -> None:
        """Shut out orders for an earlier life before the lists are believed.

        The next read carries the higher token, so an order that was still on
        its way is either in those lists or never carried out.
        """
        if self._life_started_ms:
            _logger.warning(
                'worker started again',
                worker=self.facts.worker_id,
                started_ms=lists.started_ms,
            )
        self._life_started_ms = lists.started_ms
        self._left = False
        self._first_read = True
        self._token += 1
        self._acknowledged = 0
        self._clock_offset_ms = lists.clock_ms - _clock.elapsed_ms()

    def _settle(self, number: int, lists: _port.Lists) -> bool:
        """Compare the lists with what was ordered; record the ends."""
        assigned = self._events.assigned(self.facts.worker_id)
        listed = {(one.task, one.run): one for one in lists.runs}
        ended = {(one.end.task, one.end.run) for one in lists.ends}
        ends = [one.end for one in lists.ends]
        with self._lock:
            for task, run in assigned.items():
                order = self._orders.get(task)
                if (task, run) in listed:
                    self._note_progress(task, run, listed[task, run])
                elif (task, run) in ended or not lists.ends_complete:
                    continue
                elif self._is_lost(order, run, number):
                    checkpoint = order.checkpoint_seen if order else ''
                    ends.append(
                        _commands.RunEnd(
                            task, run, _commands.RunOutcome.LOST, checkpoint
                        )
                    )
        strangers = [key for key in listed if assigned.get(key[0]) != key[1]]
        unwanted = self._events.unwanted(listed.keys() - set(strangers))
        misplaced = self._events.misplaced(self.facts.worker_id, lists)
        for task, run in [*strangers, *unwanted, *misplaced]:
            self.stop(task, run)
        if ends and not self._events.record(tuple(ends)):
            return False
        with self._lock:
            if bool(strangers) != bool(self._strangers_count):
                self._events.changed()
            self._strangers_count = len(strangers)
            for end in ends:
                self._forget(end.task, end.run)
            numbers = [one.number for one in lists.ends]
            self._acknowledged = max([self._acknowledged, *numbers])
        return True

    def _is_lost(self, order: Order | None, run: int, number: int) -> bool:
        """Return whether a run that is not listed can't be running.

        A run without an order here was ordered by an earlier leader, whose
        token is shut out by the read itself.
        """
        if order is None or order.run != run:
            return True
        if order.phase is OrderPhase.LISTED:
            return True
        settled = order.phase is OrderPhase.SETTLED
        return settled and number >= order.settled_read

    def _note_progress(
        self, task: _specs.TaskKey, run: int, listing: _port.RunListing
    ) -> None:
        order = self._orders.get(task)
        if order is None or order.run != run:
            order = Order(run, '', '', '')
            self._orders[task] = order
        if order.phase is not OrderPhase.QUEUED:
            order.phase = OrderPhase.LISTED
        if listing.checkpoint:
            order.checkpoint_seen = listing.checkpoint

    def _forget(self, task: _specs.TaskKey, run: int) -> None:
        order = self._orders.get(task)
        if order is not None and order.run <= run:
            del self._orders[task]
        self._stops_ms.pop((task, run), None)

    def _unanswered(self, detail: str) -> None:
        now_ms = _clock.elapsed_ms()
        with self._lock:
            answered, self._answers = self._answers, False
            lapsed = now_ms > self._lapse_ms
        if answered:
            _logger.warning(
                'worker does not answer',
                worker=self.facts.worker_id,
                lapses_in_ms=self._lapse_ms - now_ms,
                why=detail,
            )
        if lapsed:
            self._record_all(_commands.RunOutcome.LAPSED)

    def _end_life(self) -> None:
        """Another incarnation answers, so nothing of this one runs."""
        _logger.info('worker replaced', worker=self.facts.worker_id)
        if self._record_all(_commands.RunOutcome.LOST):
            self.close()
            self._events.gone(self.facts.worker_id)

    def _record_all(self, outcome: _commands.RunOutcome) -> bool:
        assigned = self._events.assigned(self.facts.worker_id)
        with self._lock:
            self._outbox.clear()
            ends = tuple(
                _commands.RunEnd(task, run, outcome, self.checkpoint(task))
                for task, run in assigned.items()
            )
        if ends and not self._events.record(ends):
            return False
        with self._lock:
            for end in ends:
                self._forget(end.task, end.run)
        return True

    # The task that sends orders.

    def send_orders(self, stopping: threading.Event) -> None:
        """Send starts and stops until the worker has ended."""
        while not stopping.is_set() and not self._ended:
            with self._wake:
                if not self._outbox:
                    self._wake.wait(PAUSE_MS * 5 / 1000)
                    continue
                item = self._outbox.popleft()
            if not self._events.may_act():
                with self._lock:
                    self._outbox.appendleft(item)
                stopping.wait(PAUSE_MS / 1000)
                continue
            match item:
                case _Stop(task, run):
                    self._send_stop(task, run)
                case task:
                    self._send_start(task, stopping)

    def _send_start(
        self, task: _specs.TaskKey, stopping: threading.Event
    ) -> None:
        run = self._events.assigned(self.facts.worker_id).get(task)
        if run is None:
            return
        draining = self.facts.phase is _commands.WorkerPhase.DRAINING
        unwanted = draining or bool(self._events.unwanted([(task, run)]))
        with self._lock:
            order = self._orders.get(task)
            if order is None or order.run != run:
                return
            if unwanted and order.sends_count == 0:
                request = None
            else:
                order.sends_count += 1
                order.phase = OrderPhase.SENT
                request = self._start_order(task, order)
        if request is None:
            self._never_started(task, order.run)
            return
        outcome = self._port.start(request)
        match outcome:
            case _port.Accepted():
                self._settled(order)
            case _port.Gone():
                self._end_life()
            case _port.Refused(reason):
                self._start_refused(task, order, reason)
            case _port.Unanswered(sent, detail):
                self._start_unanswered(task, order, sent, detail)
                stopping.wait(PAUSE_MS / 1000)

    def _start_order(
        self, task: _specs.TaskKey, order: Order
    ) -> _port.StartOrder:
        return _port.StartOrder(
            self.facts,
            self._token,
            task,
            order.run,
            order.payload,
            self._grant(),
            order.checkpoint,
            order.ticket,
        )

    def _settled(self, order: Order) -> None:
        with self._lock:
            if order.phase is not OrderPhase.LISTED:
                order.phase = OrderPhase.SETTLED
                order.settled_read = self._reads_count + 1

    def _start_refused(
        self, task: _specs.TaskKey, order: Order, reason: _port.Refusal
    ) -> None:
        _logger.info(
            'start refused',
            worker=self.facts.worker_id,
            task=str(task),
            run=order.run,
            why=reason.value,
            sends_count=order.sends_count,
        )
        self._events.refused(self.facts.worker_id, task, reason)
        if order.sends_count == 1:
            # Nothing of this run is under way, so it can never start.
            self._never_started(task, order.run)
        else:
            self._settle_by_stop(task, order)

    def _never_started(self, task: _specs.TaskKey, run: int) -> None:
        end = _commands.RunEnd(task, run, _commands.RunOutcome.LOST)
        if self._events.record((end,)):
            with self._lock:
                self._forget(task, run)

    def _start_unanswered(
        self, task: _specs.TaskKey, order: Order, sent: bool, detail: str
    ) -> None:
        _logger.info(
            'start not answered',
            worker=self.facts.worker_id,
            task=str(task),
            run=order.run,
            sent=sent,
            why=detail,
        )
        with self._wake:
            if not sent:
                order.sends_count -= 1
            if order.phase is OrderPhase.LISTED:
                return
            if order.sends_count < STARTS_MAX:
                order.phase = OrderPhase.QUEUED
                self._outbox.append(task)
                return
        self._settle_by_stop(task, order)

    def _settle_by_stop(self, task: _specs.TaskKey, order: Order) -> None:
        """Keep a run from starting late; the lists show what it came to."""
        self.stop(task, order.run)

    def _send_stop(self, task: _specs.TaskKey, run: int) -> None:
        with self._lock:
            order = self._orders.get(task)
            request = _port.StopOrder(self.facts, self._token, task, run)
        outcome = self._port.stop(request)
        match outcome:
            case _port.Accepted() | _port.Refused():
                if order is not None and order.run == run:
                    self._settled(order)
            case _port.Gone():
                self._end_life()
            case _port.Unanswered(_, detail):
                _logger.info(
                    'stop not answered',
                    worker=self.facts.worker_id,
                    task=str(task),
                    run=run,
                    why=detail,
                )
                with self._wake:
                    self._outbox.append(_Stop(task, run))


def _stretched(lease_ms: int) -> int:
    """Return the longest real time in which a lease can run out."""
    return int(lease_ms * CLOCK_RATE_MARGIN) + LAPSE_MARGIN_MS
