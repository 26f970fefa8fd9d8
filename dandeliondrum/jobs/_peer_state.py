"""State shared by the components that manage one worker."""

import collections.abc
import threading
import typing

import structlog

from dandeliondrum.jobs import _commands
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

    def worker_replaced(self, worker_id: messages.WorkerId) -> None:
        """Remove a worker that another incarnation has replaced."""

    def request_round(self) -> None:
        """Request a new scheduling round."""


class PeerState:
    """The leader's view of one worker; ``lock`` protects the fields.

    ``is_responding`` tells whether the last read of the lists was answered,
    and ``reads_count`` numbers the reads. Once ``ended`` is set, the threads
    that serve the worker exit.
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
        self.orders = _orders.OrderBook(self.lock)
        self.token = term * TOKENS_PER_TERM + tokens_used_count
        self.reads_count = 0
        self.is_responding = False
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
        if not self.record_all(_commands.RunOutcome.LOST):
            return
        with self.lock:
            if self.ended:
                return
            self.close()
        self.events.worker_replaced(facts.worker_id)

    def record_all(self, outcome: _commands.RunOutcome) -> bool:
        """Record an end of all assigned runs; return whether it succeeded.

        Their queued orders are dropped, or kept if it did not succeed. The
        queue is emptied first, so that it then contains only orders of runs
        that are not in ``ends``.
        """
        dropped = self.orders.drop_queued()
        assigned = self.events.assigned(self.facts.worker_id)
        ends = tuple(
            _commands.RunEnd(task, run, outcome, self.orders.checkpoint(task))
            for task, run in assigned.items()
        )
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
        for end in ends:
            self.orders.forget(end.task, end.run)

    def close(self) -> None:
        """Stop the threads that serve the worker."""
        with self.lock:
            self.ended = True
            self.orders.wake_all()
