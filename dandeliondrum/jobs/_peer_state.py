"""State shared by the components that manage one worker."""

import collections.abc
import dataclasses
import threading
import typing

import structlog

from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _crashes
from dandeliondrum.jobs import _end_recorder
from dandeliondrum.jobs import _lease
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _port
from dandeliondrum.jobs import _specs
from dandeliondrum import messages

# Number of fencing tokens per term. Each restart of a worker uses one.
TOKENS_PER_TERM = 1 << 16

_logger = structlog.get_logger()


class Events(typing.Protocol):
    """Callbacks of a peer to the leader; only ``record`` may take long."""

    def may_act(self) -> bool:
        """Return whether this process still leads."""

    def started(self, job_ids: collections.abc.Iterable[_specs.JobId]) -> None:
        """Note jobs of which a worker has started a run."""

    def record(self, ends: tuple[_commands.RunEnd, ...]) -> bool:
        """Commit ends of runs to the log; return whether that succeeded."""

    def begin_record(
        self, ends: tuple[_commands.RunEnd, ...]
    ) -> _end_recorder.Recording:
        """Begin to commit ends; the caller has to wait for the outcome."""

    def assigned(
        self, worker_id: messages.WorkerId
    ) -> dict[_specs.TaskKey, int]:
        """Return the runs that are assigned to a worker."""

    def fits(self, facts: _commands.WorkerFacts) -> bool:
        """Return whether the runs assigned to a worker fit in its capacity."""

    def is_evacuated(self, facts: _commands.WorkerFacts) -> bool:
        """Return whether the failure domain of a worker is evacuated."""

    def withheld(
        self, worker_id: messages.WorkerId, task: _specs.TaskKey, run: int
    ) -> None:
        """Note that a start is not sent, as the domain is evacuated."""

    def suspects(
        self, tasks: collections.abc.Iterable[_specs.TaskKey]
    ) -> set[_specs.TaskKey]:
        """Return the tasks among these that are suspected of crashes."""

    def confirm(
        self, runs: collections.abc.Iterable[tuple[_specs.TaskKey, int]]
    ) -> None:
        """Note runs of which no start may be carried out any more."""

    def confirmed(
        self, tasks: collections.abc.Iterable[_specs.TaskKey]
    ) -> set[_specs.TaskKey]:
        """Return the tasks among these whose run is recorded as such."""

    def obsolete(
        self, runs: collections.abc.Iterable[tuple[_specs.TaskKey, int]]
    ) -> list[tuple[_specs.TaskKey, int]]:
        """Return the runs among these that should be stopped."""

    def misplaced(
        self, worker_id: messages.WorkerId, lists: _port.WorkerListing
    ) -> list[tuple[_specs.TaskKey, int]]:
        """Check the progress of runs; return those to reschedule."""

    def refused(
        self,
        worker_id: messages.WorkerId,
        task: _specs.TaskKey,
        reason: _port.Refusal,
        was_late: bool,
    ) -> None:
        """Handle a start order that a worker refused.

        ``was_late`` tells that its lease had expired on the way.
        """

    def worker_crashed(
        self,
        worker_id: messages.WorkerId,
        ends: tuple[_commands.RunEnd, ...],
    ) -> None:
        """Report the crash of a worker, with the ends of its runs."""

    def worker_replaced(
        self, worker_id: messages.WorkerId, started_ms: int
    ) -> None:
        """Remove an incarnation that another worker has replaced."""

    def request_round(self) -> None:
        """Request a new scheduling round."""


class PeerState:
    """The leader's view of one worker; ``lock`` protects the fields.

    ``is_responding`` tells whether the last read of the lists was answered,
    and ``reads_count`` numbers the reads. ``used_read`` is the number of the
    newest read whose lists were used, and ``used_read_begun_ms`` its time.
    ``listed_started_ms`` is the start time of the incarnation that answered
    last, 0 if none has. ``is_departing`` is set if the current incarnation
    drains or has announced its shutdown. ``crashed`` holds the ends, not
    recorded yet, of the runs of an incarnation that crashed. Once ``ended`` is
    set, the threads that serve the worker exit.
    """

    def __init__(
        self,
        facts: _commands.WorkerFacts,
        term: messages.Term,
        port: _port.WorkerPort,
        events: Events,
        lease: _lease.Lease,
        tokens_used_count: int,
    ) -> None:
        self.lock = threading.RLock()
        self.facts = facts
        self.port = port
        self.events = events
        self.lease = lease
        self.orders = _orders.OrderBook(
            self.lock,
            former_until_ms=_clock.elapsed_ms() + _lease.LATE_CALL_MAX_MS,
        )
        self.token = term * TOKENS_PER_TERM + tokens_used_count
        self.reads_count = 0
        self.used_read = 0
        self.used_read_begun_ms = 0
        self.listed_started_ms = 0
        self.is_responding = False
        self.last_reply_ms: int | None = None
        self.is_departing = facts.phase is _commands.WorkerPhase.DRAINING
        self.crashed: dict[_crashes.Run, _commands.RunEnd] = {}
        # Ends to record if a worker whose lease expired turns out to have
        # crashed.
        self._lapsed: dict[_crashes.Run, _commands.RunEnd] = {}
        self.ended = False

    def lease_until_ms(self) -> int:
        """Return the end of the lease to send, on the worker's clock.

        A worker that does not answer gets no new lease: the grant might
        arrive, and its runs could not be reassigned before that lease had
        expired.
        """
        with self.lock:
            if self.is_responding:
                return self.lease.grant()
            return self.lease.granted_ms()

    def has_read(self, number: int) -> bool:
        """Return whether lists of this read, or of a later one, were used."""
        return self.is_responding and self.used_read >= number

    def begin_start(self, order: _orders.Order) -> int:
        """Note that a start is sent; return the time. Needs the lock."""
        now_ms = _clock.elapsed_ms()
        order.sends_count += 1
        order.enter(_orders.OrderPhase.SENT)
        order.may_start_until_ms = max(
            order.may_start_until_ms, now_ms + _lease.LATE_CALL_MAX_MS
        )
        return now_ms

    def end_start(
        self,
        order: _orders.Order,
        outcome: _port.OrderOutcome,
        begun_ms: int,
    ) -> None:
        """Note until when a start, and the lease in it, may take effect.

        An answer may be that of an incarnation that has not been read.
        """
        with self.lock:
            until_ms = 0
            match outcome:
                case _port.Accepted(clock_ms) if self.lease.is_same_clock(
                    clock_ms, begun_ms
                ):
                    pass
                case _port.Accepted() | _port.Refused():
                    until_ms = _clock.elapsed_ms()
                    self.lease.expect_arrival(until_ms)
                case _port.Unanswered(sent=True):
                    until_ms = begun_ms + _lease.LATE_CALL_MAX_MS
                    self.lease.expect_arrival(until_ms)
                    order.unanswered_until_ms = until_ms
            order.may_start_until_ms = max(order.unanswered_until_ms, until_ms)

    def may_start_unread(self, task: _specs.TaskKey, run: int) -> bool:
        """Return whether a run may start after the newest lists were read.

        Another incarnation may carry out a start that was sent to the former
        one. A run without an order was started by an earlier leader.
        """
        with self.lock:
            order = self.orders.get(task, run)
            if order is None:
                return True
            until_ms = order.may_start_until_ms
            return 0 < until_ms >= self.used_read_begun_ms

    def is_incarnation(self, started_ms: int) -> bool:
        """Return whether no other incarnation has answered.

        0 stands for a start time that was not given.
        """
        return len({started_ms, self.listed_started_ms} - {0}) <= 1

    def may_carry_out(self, order: _orders.Order) -> bool:
        """Return whether the worker is still what an order was planned for.

        A worker that has started again may be of another kind.
        """
        planned, facts = order.worker, self.facts
        return planned is None or (
            planned.started_ms == facts.started_ms
            and planned.pool == facts.pool
            and planned.labels == facts.labels
            and self.is_incarnation(planned.started_ms)
        )

    def handle_replacement(self, called: _commands.WorkerFacts) -> None:
        """Record that another incarnation answers, so no run is left.

        ``called`` is the worker to which the call was sent. It has no effect
        if the worker has started again since, possibly at another address.
        """
        facts = self.facts
        if (called.started_ms, called.address) != (
            facts.started_ms,
            facts.address,
        ):
            return
        _logger.info('worker replaced', worker=facts.worker_id)
        dropped = self.orders.drop_queued()
        with self.lock:
            lapsed = tuple(self._lapsed.values())
        ends = tuple(dict.fromkeys((*self._crash_ends(), *lapsed)))
        if not self._record_all(ends, dropped):
            return
        with self.lock:
            if self.ended:
                return
            self.close()
        self._report_crash(ends)
        self.events.worker_replaced(facts.worker_id, facts.started_ms)

    def handle_restart(self, started_ms: int) -> None:
        """Remember how the runs of the former incarnation ended.

        Called before the reply of the new incarnation is used. The runs that
        it does not list are then recorded with these ends.
        """
        ends = self._crash_ends()
        with self.lock:
            ends = tuple(dict.fromkeys((*ends, *self._lapsed.values())))
            self._lapsed.clear()
            self.crashed.update(
                {
                    (end.task, end.run): end
                    for end in ends
                    if end.outcome is _commands.RunOutcome.CRASHED
                }
            )
            self.is_departing = (
                self.facts.started_ms == started_ms
                and self.facts.phase is _commands.WorkerPhase.DRAINING
            )
        self._report_crash(ends)

    def record_lapse(self) -> bool:
        """Record the runs whose lease has expired; return whether it worked.

        A run that the next incarnation may start has lapsed once the longest
        lease of that one has expired.
        """
        dropped = self.orders.drop_queued()
        all_crashed = self._crash_ends()
        confirmed = self.events.confirmed(end.task for end in all_crashed)
        with self.lock:
            # Who is suspected depends on all runs, also on those that lapse
            # later.
            self._lapsed.update(
                {
                    (end.task, end.run): end
                    for end in all_crashed
                    if end.outcome is _commands.RunOutcome.CRASHED
                }
            )
        crashed = tuple(
            end for end in all_crashed if self._has_lapsed(end, confirmed)
        )
        ends = tuple(
            dataclasses.replace(
                end,
                outcome=_commands.RunOutcome.LAPSED,
                suspicion=_commands.Suspicion.NONE,
            )
            for end in crashed
        )
        if not self._record_all(ends, dropped):
            return False
        left = {end.task for end in all_crashed} - {end.task for end in ends}
        self.orders.restore_queued(
            item
            for item in dropped
            if (item.task if isinstance(item, _orders.Stop) else item) in left
        )
        return True

    def _has_lapsed(
        self, end: _commands.RunEnd, confirmed: set[_specs.TaskKey]
    ) -> bool:
        """Return whether a run has ended on a worker that does not answer."""
        with self.lock:
            order = self.orders.get(end.task, end.run)
            is_sent = order is not None and order.sends_count > 0
            if end.task in confirmed and not is_sent:
                return self.lease.expired()
            if not self.may_start_unread(end.task, end.run):
                return self.lease.expired()
            start_ms = order.may_start_until_ms if order is not None else 0
            expiry_ms = self.lease.unread_expiry_ms(start_ms)
        return _clock.elapsed_ms() > expiry_ms

    def forget_lapse(self) -> None:
        """Note that the worker has not crashed, as it answers again."""
        with self.lock:
            self._lapsed.clear()

    def _crash_ends(self) -> tuple[_commands.RunEnd, ...]:
        """Return the ends of the assigned runs if the worker has ended.

        A worker that drained or announced its shutdown has not crashed.
        """
        assigned = self.events.assigned(self.facts.worker_id)
        suspects = self.events.suspects(assigned)
        with self.lock:
            suspicions: dict[_crashes.Run, _commands.Suspicion] = {}
            if not self.is_departing:
                suspicions = _crashes.suspicions(
                    _crashes.read_run(
                        task,
                        run,
                        self.orders,
                        self.last_reply_ms or 0,
                        task in suspects,
                    )
                    for task, run in assigned.items()
                )
            lapsed = {} if self.is_departing else self._lapsed
            return tuple(
                lapsed.get((task, run))
                or _commands.RunEnd(
                    task,
                    run,
                    _commands.RunOutcome.CRASHED
                    if (task, run) in suspicions
                    else _commands.RunOutcome.LOST,
                    self.orders.checkpoint(task),
                    suspicions.get((task, run), _commands.Suspicion.NONE),
                )
                for task, run in assigned.items()
            )

    def _report_crash(self, ends: tuple[_commands.RunEnd, ...]) -> None:
        crashed = tuple(
            end for end in ends if end.outcome is _commands.RunOutcome.CRASHED
        )
        if crashed:
            self.events.worker_crashed(self.facts.worker_id, crashed)

    def _record_all(
        self,
        ends: tuple[_commands.RunEnd, ...],
        dropped: tuple[_specs.TaskKey | _orders.Stop, ...],
    ) -> bool:
        """Record ends of all assigned runs; return whether it succeeded.

        ``dropped`` are the queued orders, which are queued again if it did
        not succeed. The queue is emptied first, so that it then contains only
        orders of runs that are not in ``ends``.
        """
        if self.record(ends):
            return True
        self.orders.restore_queued(dropped)
        return False

    def record(self, ends: tuple[_commands.RunEnd, ...]) -> bool:
        """Record ends and remove their orders; return whether it succeeded."""
        if ends and not self.events.record(ends):
            return False
        self.forget(ends)
        return True

    def forget(self, ends: tuple[_commands.RunEnd, ...]) -> None:
        """Remove the orders of runs whose ends are recorded."""
        with self.lock:
            for end in ends:
                self.orders.forget(end.task, end.run)
                self.crashed.pop((end.task, end.run), None)

    def close(self) -> None:
        """Stop the threads that serve the worker."""
        with self.lock:
            self.ended = True
            self.orders.wake_all()
