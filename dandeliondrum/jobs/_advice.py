"""Which steps to ask the adviser about, and which process asks.

The adviser takes one call at a time from each calling VM, a call takes up to
a second, and what it grants holds for a second or two. Answers the load in
which short urgent steps would wait behind long calls for others: the
processes that may call form a pool, and the next call goes to the one that
is free first, in the order in which steps are to be placed.
"""

import collections.abc
import dataclasses

from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _policy
from dandeliondrum import messages

# Workers named in the first call about a step; the adviser refuses over 100,
# and a job's latency objective allows for a call about 30.
WORKERS_FIRST_MAX = 30
# Workers named in a later call, which only renews tickets that are needed.
WORKERS_LATER_MAX = 12
# A ticket has to outlast planning, the log and the way to the worker.
TICKET_MARGIN_MS = 350
# A call is not queued behind others that keep its caller busy for longer.
BACKLOG_MAX_MS = 60
# A step whose call failed is asked about again after this pause.
FAILURE_PAUSE_MS = 150

StepName = str
AskerId = str


@dataclasses.dataclass(slots=True)
class _Ticket:
    text: str
    until_ms: int


@dataclasses.dataclass(slots=True)
class _Step:
    tickets: dict[messages.WorkerId, _Ticket] = dataclasses.field(
        default_factory=dict
    )
    refused: set[messages.WorkerId] = dataclasses.field(default_factory=set)
    in_flight: bool = False
    not_before_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A worker that fits a step; ``has_room`` tells whether it does now."""

    worker_id: messages.WorkerId
    has_room: bool


class Advice:
    """What is known of each step's grants; used under the leader's lock."""

    def __init__(self) -> None:
        self._steps: dict[StepName, _Step] = {}

    def tickets(
        self, name: StepName, now_ms: int
    ) -> dict[messages.WorkerId, str]:
        """Return the workers that may start the step now."""
        step = self._steps.get(name)
        if step is None:
            return {}
        return {
            worker_id: ticket.text
            for worker_id, ticket in step.tickets.items()
            if ticket.until_ms - TICKET_MARGIN_MS > now_ms
        }

    def to_ask(
        self,
        name: StepName,
        candidates: collections.abc.Sequence[Candidate],
        now_ms: int,
    ) -> tuple[messages.WorkerId, ...]:
        """Return the workers to name in a call about the step, if any.

        The first call names many, with or without room. A later one is made
        only for workers that have room now and whose ticket has run out, or
        that were never named.
        """
        step = self._steps.setdefault(name, _Step())
        if step.in_flight or now_ms < step.not_before_ms:
            return ()
        wanted = [c for c in candidates if c.worker_id not in step.refused]
        if not step.tickets and not step.refused:
            named = sorted(wanted, key=lambda c: not c.has_room)
            return _ids(named, WORKERS_FIRST_MAX)
        valid = self.tickets(name, now_ms)
        open_now = [c for c in wanted if c.has_room]
        if any(c.worker_id in valid for c in open_now):
            return ()
        granted = [c for c in open_now if c.worker_id in step.tickets]
        unknown = [c for c in open_now if c.worker_id not in step.tickets]
        return _ids(granted + unknown, WORKERS_LATER_MAX)

    def asked(self, name: StepName) -> None:
        """Note that a call about the step is on its way."""
        self._steps[name].in_flight = True

    def answered(
        self,
        name: StepName,
        named: tuple[messages.WorkerId, ...],
        reply: _calls.AdviceReply,
        now_ms: int,
    ) -> None:
        """Take in the reply to a call."""
        step = self._steps.get(name)
        if step is None:
            return
        step.in_flight = False
        if reply.problem:
            step.not_before_ms = now_ms + FAILURE_PAUSE_MS
            return
        until_ms = now_ms + reply.valid_ms
        granted = {grant.worker_id: grant.ticket for grant in reply.grants}
        for worker_id in named:
            if worker_id in granted:
                step.tickets[worker_id] = _Ticket(granted[worker_id], until_ms)
            else:
                step.refused.add(worker_id)

    def ticket_refused(
        self, name: StepName, worker_id: messages.WorkerId
    ) -> None:
        """Note that a worker did not take a ticket; it has to be renewed."""
        step = self._steps.get(name)
        if step is not None and worker_id in step.tickets:
            step.tickets[worker_id].until_ms = 0

    def forget_worker(self, worker_id: messages.WorkerId) -> None:
        """Drop what was granted for a life of a worker that has ended."""
        for step in self._steps.values():
            step.tickets.pop(worker_id, None)
            step.refused.discard(worker_id)

    def keep_only(self, names: collections.abc.Set[StepName]) -> None:
        """Forget all other steps."""
        for name in self._steps.keys() - names:
            if not self._steps[name].in_flight:
                del self._steps[name]


class Askers:
    """The processes that may call the adviser, and until when each is busy."""

    def __init__(self) -> None:
        self._busy_until_ms: dict[AskerId, float] = {}

    def join(self, asker_id: AskerId) -> None:
        """Count on a process from now on."""
        self._busy_until_ms.setdefault(asker_id, 0)

    def leave(self, asker_id: AskerId) -> None:
        """Count on a process no more."""
        self._busy_until_ms.pop(asker_id, None)

    def choose(
        self, policy: _policy.AdvicePolicy, workers_count: int, now_ms: int
    ) -> AskerId | None:
        """Return who is to make a call next; None while all are busy."""
        if not self._busy_until_ms:
            return None
        asker_id = min(
            self._busy_until_ms, key=lambda one: self._busy_until_ms[one]
        )
        begins_ms = max(self._busy_until_ms[asker_id], now_ms)
        if begins_ms - now_ms > BACKLOG_MAX_MS:
            return None
        call_ms = policy.call_ms(workers_count)
        self._busy_until_ms[asker_id] = begins_ms + call_ms
        return asker_id

    def finished(self, asker_id: AskerId, now_ms: int) -> None:
        """Note that a process has no call under way."""
        if asker_id in self._busy_until_ms:
            self._busy_until_ms[asker_id] = min(
                self._busy_until_ms[asker_id], now_ms
            )


def _ids(
    candidates: collections.abc.Sequence[Candidate], most: int
) -> tuple[messages.WorkerId, ...]:
    return tuple(c.worker_id for c in candidates[:most])
