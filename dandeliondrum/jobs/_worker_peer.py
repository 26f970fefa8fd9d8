"""Management of one worker by the leader: its lease, its lists, its orders.

One thread renews the lease and reads the lists; others send start and stop
orders.
"""

import dataclasses
import random
import threading

import structlog

from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _end_recorder
from dandeliondrum.jobs import _lease
from dandeliondrum.jobs import _order_sender
from dandeliondrum.jobs import _peer_state
from dandeliondrum.jobs import _port
from dandeliondrum.jobs import _specs
from dandeliondrum import messages

# The worker delays its reply until a run ends, at most for the duration of a
# lease divided by this. The rest is left for two more renewals if one fails.
RENEWALS_PER_LEASE = 3
# Maximum delay of a reply. A lost reply hides ends for this time plus the
# timeout of the call, and the latency objective of jobs leaves half a second
# beyond their run time.
LIST_WAIT_MAX_MS = 500
# Interval of the reads of a worker without runs and orders, less up to a
# quarter, so that the reads of many workers are spread. A worker that does
# not answer is noticed after this and the timeout of the call.
IDLE_READ_INTERVAL_MS = 1_000
IDLE_READ_SPREAD = 0.25
RETRY_DELAY_MS = 100
# A worker that announces its shutdown has ended after this: it waits no longer
# for the reply.
LEAVE_TIMEOUT_MS = 1_000
# A worker that has not answered for this long is given no new tasks.
SILENCE_MAX_MS = 2_200

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class PeerOptions:
    """Durations of a worker's leases, in milliseconds."""

    lease_ms: int
    lease_max_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Recording:
    """Ends that are being committed.

    ``number`` is the highest number of an end that the worker listed with
    them in its incarnation ``started_ms``.
    """

    commit: _end_recorder.Recording
    ends: tuple[_commands.RunEnd, ...]
    number: int
    started_ms: int


class WorkerPeer:
    """Manages one worker while this process leads.

    The leader plans, dispatches and stops runs through ``orders``. One thread
    runs :meth:`watch` and others run ``sender``. ``tokens_used_count`` is the
    number of fencing tokens of this term that an earlier peer of the same
    worker has used.
    """

    def __init__(
        self,
        facts: _commands.WorkerFacts,
        term: messages.Term,
        port: _port.WorkerPort,
        events: _peer_state.Events,
        options: PeerOptions,
        tokens_used_count: int = 0,
    ) -> None:
        self._options = options
        self._term = term
        self._state = _peer_state.PeerState(
            facts,
            term,
            port,
            events,
            _lease.Lease(options.lease_ms, options.lease_max_ms),
            tokens_used_count,
        )
        self._events = events
        self.orders = self._state.orders
        self.sender = _order_sender.OrderSender(self._state)
        self._lock = self._state.lock
        self._unassigned_count = 0
        # Highest number of a recorded end of the worker's current incarnation,
        # and the number to acknowledge with the next read, 0 for none.
        self._recorded_number = 0
        self._acknowledged = 0
        self._recording: _Recording | None = None
        # When the worker announced its shutdown, and whether the message told
        # that it is the current incarnation that shuts down.
        self._left_ms: int | None = None
        self._left_for_certain = False
        self._first_read = True
        # Whether nothing runs on the worker, is assigned to it, or ended there
        # without an acknowledgement.
        self._is_idle = False

    @property
    def facts(self) -> _commands.WorkerFacts:
        """The newest report of the worker."""
        return self._state.facts

    @facts.setter
    def facts(self, facts: _commands.WorkerFacts) -> None:
        with self._lock:
            if facts.started_ms != self._state.facts.started_ms:
                self._acknowledged = 0
            if facts.phase is not self._state.facts.phase:
                self._state.is_departing |= (
                    facts.phase is _commands.WorkerPhase.DRAINING
                )
            self._state.facts = facts

    @property
    def tokens_used_count(self) -> int:
        """The number of fencing tokens of this term used so far."""
        first_token = self._term * _peer_state.TOKENS_PER_TERM
        return self._state.token - first_token + 1

    def usable(self) -> bool:
        """Return whether new tasks may be placed on the worker now."""
        with self._lock:
            if self._state.ended or self._unassigned_count:
                return False
            if self._left_ms is not None:
                return False
            if self._state.last_reply_ms is None or self._first_read:
                return False
            if not self._state.is_responding or self.facts_are_former():
                return False
            silent_ms = _clock.elapsed_ms() - self._state.last_reply_ms
            return silent_ms <= SILENCE_MAX_MS

    def facts_are_former(self) -> bool:
        """Return whether the lists and the facts are of two incarnations.

        The capacity of an incarnation that has not reported is not known. 0
        stands for a start time that was not given.
        """
        return not self._state.is_incarnation(self._state.facts.started_ms)

    def list_age_ms(self) -> int:
        """Return the age of the newest lists, -1 if there are none."""
        if self._state.last_reply_ms is None:
            return -1
        return _clock.elapsed_ms() - self._state.last_reply_ms

    def leave(self, started_ms: int = 0) -> bool:
        """Give no new tasks to a worker that announced its shutdown.

        The announcement may arrive late, when the worker has started again.
        Return False if ``started_ms`` is that of another incarnation. If it
        is not given (0), the announcement has no effect any more once the
        worker answers a read that began ``LEAVE_TIMEOUT_MS`` after it.
        """
        with self._lock:
            if started_ms and not (
                started_ms == self._state.facts.started_ms
                and self._state.is_incarnation(started_ms)
            ):
                return False
            self._left_ms = _clock.elapsed_ms()
            self._left_for_certain = started_ms != 0
            self._state.is_departing = True
        return True

    def answers_as(self, started_ms: int) -> bool:
        """Return whether the last read was answered by this incarnation."""
        with self._lock:
            return (
                self._state.is_responding
                and self._state.listed_started_ms == started_ms
            )

    def _check_departure(self, read_begun_ms: int) -> None:
        """Discard an announcement of a shutdown that did not follow.

        The caller holds the lock.
        """
        if (
            self._left_ms is None
            or self._left_for_certain
            or read_begun_ms - self._left_ms < LEAVE_TIMEOUT_MS
        ):
            return
        _logger.info('worker has not left', worker=self.facts.worker_id)
        self._left_ms = None
        self._state.is_departing = (
            self._state.facts.phase is _commands.WorkerPhase.DRAINING
        )
        self._events.request_round()

    def close(self) -> None:
        """Stop all threads of this peer."""
        self._state.close()

    # The thread that reads the lists.

    def watch(self, stopping: threading.Event) -> None:
        """Renew the lease and read the lists until the worker has ended."""
        while not stopping.is_set() and not self._state.ended:
            if not self._events.may_act():
                stopping.wait(RETRY_DELAY_MS / 1000)
                continue
            if not self._read_once():
                stopping.wait(RETRY_DELAY_MS / 1000)
            elif self._is_idle:
                self._wait_for_order()

    def _wait_for_order(self) -> None:
        """Wait for an order, at most until the next read is due.

        A worker without runs needs no lease and has no ends to report; a
        start order grants a lease itself.
        """
        spread = 1 - IDLE_READ_SPREAD * random.random()
        with self._lock:
            if not self._state.ended:
                self._is_idle = not self.orders.wait_until_used(
                    IDLE_READ_INTERVAL_MS * spread / 1000
                )

    def _read_once(self) -> bool:
        with self._lock:
            self._state.reads_count += 1
            number = self._state.reads_count
            request = self._lease_request()
            self._acknowledged = 0
            begun_ms = _clock.elapsed_ms()
        self._is_idle = False
        outcome = self._state.port.renew(request)
        if self._state.ended:
            return True
        match outcome:
            case _port.WorkerListing():
                with self._lock:
                    self._check_departure(begun_ms)
                return self._handle_lists(number, begun_ms, request, outcome)
            case _port.WorkerReplaced():
                self._state.handle_replacement(request.worker)
            case _port.Refused(reason):
                _logger.warning(
                    'lease refused',
                    worker=self.facts.worker_id,
                    token=request.token,
                    why=reason.value,
                )
                self._handle_no_answer(reason.value)
            case _port.Unanswered(sent, detail):
                if sent and request.lease_until_ms is not None:
                    with self._lock:
                        self._state.lease.expect_arrival(
                            begun_ms + _lease.LATE_CALL_MAX_MS
                        )
                self._handle_no_answer(detail)
        return False

    def _lease_request(self) -> _port.LeaseRequest:
        """Return a request that renews the lease if the last read succeeded.

        A worker that does not answer gets no new lease: the grant might
        arrive, and its runs could not be reassigned before that lease had
        expired. Ends are acknowledged only right after a reply listed them:
        a worker that has started again numbers its ends anew, and would
        forget ends that nobody has read.
        """
        read_only = self._first_read or not self._state.is_responding
        at_once = read_only or self._is_idle or self._recording is not None
        return _port.LeaseRequest(
            self.facts,
            self._state.token,
            self._acknowledged,
            None if read_only else self._state.lease_until_ms(),
            0 if at_once else self._list_wait_ms(),
        )

    def _list_wait_ms(self) -> int:
        return min(
            LIST_WAIT_MAX_MS, self._options.lease_ms // RENEWALS_PER_LEASE
        )

    def _handle_lists(
        self,
        number: int,
        begun_ms: int,
        request: _port.LeaseRequest,
        lists: _port.WorkerListing,
    ) -> bool:
        restarted = lists.started_ms != self._state.listed_started_ms
        if not restarted:
            self._state.forget_lapse()
        elif self._state.listed_started_ms:
            self._state.handle_restart(lists.started_ms)
        with self._lock:
            self._state.last_reply_ms = _clock.elapsed_ms()
            if not self._state.is_responding:
                self._state.is_responding = True
                _logger.info('worker answers', worker=self.facts.worker_id)
            if restarted:
                self._handle_restart(lists)
                return True
            if request.token != self._state.token:
                return True
            self._state.lease.update_clock(lists.clock_ms)
            if self._first_read:
                # Until this read, the worker carried out calls with an
                # earlier token.
                self._state.lease.extend_to_max()
            self._state.used_read = number
            self._state.used_read_begun_ms = begun_ms
        self._reconcile(number, lists)
        with self._lock:
            # The runs of the worker, and so its free resources, are known
            # only now.
            first, self._first_read = self._first_read, False
        if first:
            self._events.request_round()
        is_recorded = self._await_recording()
        with self._lock:
            # A worker that has started again numbers its ends anew.
            if request.worker.started_ms == self._state.facts.started_ms:
                self._acknowledged = max(
                    (
                        item.sequence
                        for item in lists.ends
                        if item.sequence <= self._recorded_number
                    ),
                    default=0,
                )
                if self.orders.awaits_late_start():
                    # In the next incarnation that start and this read might
                    # be carried out, and the end of its run be forgotten.
                    self._acknowledged = 0
        return is_recorded

    def _await_recording(self) -> bool:
        """Wait for the log, at most until the next renewal of the lease.

        Return False if the log has refused the ends.
        """
        recording, self._recording = self._recording, None
        if recording is None:
            return True
        is_recorded = recording.commit.wait(self._list_wait_ms() / 1000)
        if is_recorded is None:
            self._recording = recording
        if not is_recorded:
            self._is_idle = False
            return is_recorded is None
        self._state.forget(recording.ends)
        if recording.started_ms == self._state.listed_started_ms:
            self._recorded_number = max(
                self._recorded_number, recording.number
            )
        return True

    def _handle_restart(self, lists: _port.WorkerListing) -> None:
        """Fence off orders from before a restart before using the lists.

        The next read carries a higher token. An order that was still in
        flight is then either in those lists or never carried out.
        """
        if self._state.listed_started_ms:
            _logger.warning(
                'worker started again',
                worker=self.facts.worker_id,
                started_ms=lists.started_ms,
            )
        self._state.listed_started_ms = lists.started_ms
        self._left_ms = None
        self._first_read = True
        self._state.token += 1
        self._recorded_number = 0
        self._state.lease.restart_clock(lists.clock_ms)

    def _reconcile(self, number: int, lists: _port.WorkerListing) -> None:
        """Compare the lists with the assigned runs and record the ends.

        While the log commits ends, further ones are left to later reads.
        """
        assigned = self._events.assigned(self.facts.worker_id)
        listed = {(item.task, item.run): item for item in lists.runs}
        ended = {(item.end.task, item.end.run) for item in lists.ends}
        self._events.started(
            {task.job_id for task, _ in listed.keys() | ended}
        )
        ends = [
            item.end
            for item in lists.ends
            if item.sequence > self._recorded_number
        ]
        with self._lock:
            for task, run in assigned.items():
                if (task, run) in listed:
                    self._state.crashed.pop((task, run), None)
                    checkpoint = listed[task, run].checkpoint
                    self.orders.mark_listed(task, run, checkpoint)
                elif (task, run) in ended or not lists.ends_complete:
                    continue
                elif self.orders.is_lost(task, run, number):
                    ends.append(self._lost(task, run))
            # Runs that had lapsed before the crash was found.
            ends += [
                end
                for (task, run), end in self._state.crashed.items()
                if assigned.get(task) != run
            ]
        # Before what needs locks that a planning round holds: callers wait for
        # the ends.
        if ends and self._recording is None:
            self._recording = _Recording(
                self._events.begin_record(tuple(ends)),
                tuple(ends),
                max((item.sequence for item in lists.ends), default=0),
                self._state.listed_started_ms,
            )
        self._events.confirm(
            (task, run)
            for task, run in assigned.items()
            if (task, run) in listed
            and not self._state.may_start_unread(task, run)
        )
        unassigned = [key for key in listed if assigned.get(key[0]) != key[1]]
        obsolete = self._events.obsolete(listed.keys() - set(unassigned))
        misplaced = self._events.misplaced(self.facts.worker_id, lists)
        for task, run in [*unassigned, *obsolete, *misplaced]:
            self.orders.stop(task, run)
        with self._lock:
            if bool(unassigned) != bool(self._unassigned_count):
                self._events.request_round()
            self._unassigned_count = len(unassigned)
        still_assigned = assigned.keys() - {end.task for end in ends}
        # Ends that were listed are acknowledged by the next read, at once.
        self._is_idle = not (still_assigned or listed or lists.ends)

    def _lost(self, task: _specs.TaskKey, run: int) -> _commands.RunEnd:
        crashed = self._state.crashed.get((task, run))
        if crashed is not None:
            return crashed
        checkpoint = self.orders.checkpoint(task)
        return _commands.RunEnd(
            task, run, _commands.RunOutcome.LOST, checkpoint
        )

    def _handle_no_answer(self, detail: str) -> None:
        state = self._state
        with self._lock:
            answered, state.is_responding = state.is_responding, False
        if answered:
            _logger.warning(
                'worker does not answer',
                worker=self.facts.worker_id,
                lapses_in_ms=state.lease.expiry_ms - _clock.elapsed_ms(),
                why=detail,
            )
        if state.lease.expired():
            state.record_lapse()
