"""What the parts that serve one worker share."""

import collections.abc
import threading
import typing

import structlog

from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _lease
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _port
from dandeliondrum.jobs import _specs
from dandeliondrum import messages

# Fencing tokens of one term; each life of a worker takes one.
TOKENS_PER_TERM = 1 << 16

_logger = structlog.get_logger()


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


class PeerState:
    """One worker as its leader knows it; ``lock`` protects the fields.

    ``answers`` says whether the last read of the lists was answered, and
    ``reads_count`` numbers the reads. Once ``ended`` is set, the tasks that
    serve the worker end.
    """

    def __init__(
        self,
        facts: _commands.WorkerFacts,
        term: messages.Term,
        port: _port.WorkerPort,
        events: Events,
        lease: _lease.Lease,
    ) -> None:
        self.lock = threading.RLock()
        self.facts = facts
        self.port = port
        self.events = events
        self.lease = lease
        self.orders = _orders.OrderBook(self.lock)
        self.token = term * TOKENS_PER_TERM
        self.reads_count = 0
        self.answers = False
        self.ended = False

    def lease_until_ms(self) -> int:
        """Return the end of the lease to send, on the worker's clock.

        A lease that is granted to a silent worker may arrive or not, and its
        runs could not be given to others before that one had run out.
        """
        with self.lock:
            if self.answers:
                return self.lease.grant()
            return self.lease.granted_ms()

    def end_life(self) -> None:
        """Another incarnation answers, so nothing of this one runs."""
        _logger.info('worker replaced', worker=self.facts.worker_id)
        if self.record_all(_commands.RunOutcome.LOST):
            self.close()
            self.events.gone(self.facts.worker_id)

    def record_all(self, outcome: _commands.RunOutcome) -> bool:
        """Record an end of all that is assigned; False when that failed."""
        assigned = self.events.assigned(self.facts.worker_id)
        self.orders.drop_queued()
        ends = tuple(
            _commands.RunEnd(task, run, outcome, self.orders.checkpoint(task))
            for task, run in assigned.items()
        )
        return self.record(ends)

    def record(self, ends: tuple[_commands.RunEnd, ...]) -> bool:
        """Record ends and drop their orders; False when that failed."""
        if ends and not self.events.record(ends):
            return False
        for end in ends:
            self.orders.forget(end.task, end.run)
        return True

    def close(self) -> None:
        """Let the tasks that serve the worker end."""
        self.ended = True
        self.orders.wake_all()
