"""Which steps to ask the adviser about, and which process asks.

The adviser takes one call at a time from each calling VM, a call takes up to
a second, and what it grants holds for a second or two. Answers the load in
which short urgent steps would wait behind long calls for others: the
processes that may call form a pool, and the next call goes to the one that
is free first, in the order in which steps are to be placed.
"""

import collections
import collections.abc
import dataclasses

from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _policy
from dandeliondrum import messages

# Workers named in the first call about a step, at least: a job's latency
# objective allows for a call about 30. The adviser takes 100 at most.
WORKERS_FIRST_MIN = 30
WORKERS_MAX = 100
# Workers named for each one that a step needs; advisers grant three in ten
# and more, and some of those are full.
NAMED_PER_NEEDED = 5
# Workers named in a later call, which only renews tickets that are needed.
WORKERS_LATER_MAX = 12
# A ticket has to outlast planning, the log and the way to the worker.
TICKET_MARGIN_MS = 350
# A call is not queued behind others that keep its caller busy for longer.
BACKLOG_MAX_MS = 60
# A call that is so much later than its process's calls usually are is overdue.
OVERDUE_MS = 100
# Calls about one step at a time: a second one once the first is overdue.
CALLS_PER_STEP_MAX = 2
# A step whose call failed is asked about again after this pause.
FAILURE_PAUSE_MS = 150
# Weight of the newest call in what a process adds to a call; five calls
# outweigh one that was held up.
EXTRA_WEIGHT = 0.2

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
    calls_count: int = 0
    overdue_from_ms: float = 0.0
    not_before_ms: int = 0

    def may_be_asked(self, now_ms: float) -> bool:
        if self.calls_count >= CALLS_PER_STEP_MAX:
            return False
        if self.calls_count and now_ms < self.overdue_from_ms:
            return False
        return now_ms >= self.not_before_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A worker that fits a step; ``has_room`` says whether it does now."""

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

    def granted(
        self, name: StepName
    ) -> collections.abc.Set[messages.WorkerId]:
        """Return the workers that may run the step, with or without ticket.

        The adviser does not change its mind; only tickets run out.
        """
        step = self._steps.get(name)
        return step.tickets.keys() if step is not None else set()

    def to_ask(
        self,
        name: StepName,
        candidates: collections.abc.Sequence[Candidate],
        now_ms: int,
        needed_count: int = 1,
        gang_policy: _policy.AdvicePolicy | None = None,
    ) -> tuple[messages.WorkerId, ...]:
        """Return the workers to name in a call about the step, if any.

        The first call names many, with or without room. A later one is made
        only for workers that have room now and whose ticket has run out, or
        that were never named. The tasks of a gang start together, so the
        tickets of all its workers are renewed at the same time, and so long
        before they run out as a call takes by ``gang_policy``: without them
        the room that is kept for the gang would go to others. It is None for
        other steps.
        ``needed_count`` is how many empty workers would hold what waits.
        While a call is under way there is no other one, unless it is overdue.
        """
        step = self._steps.setdefault(name, _Step())
        if not step.may_be_asked(now_ms):
            return ()
        wanted = [c for c in candidates if c.worker_id not in step.refused]
        if not step.tickets and not step.refused:
            named = sorted(wanted, key=lambda c: not c.has_room)
            most = max(WORKERS_FIRST_MIN, needed_count * NAMED_PER_NEEDED)
            return _ids(named, min(most, WORKERS_MAX))
        together = gang_policy is not None
        call_ms = 0.0
        if gang_policy is not None:
            call_ms = gang_policy.call_ms(len(step.tickets))
        valid = self.tickets(name, now_ms + int(call_ms))
        open_now = [c for c in wanted if c.has_room]
        unnamed = any(c.worker_id not in step.tickets for c in open_now)
        if together and len(valid) == len(step.tickets) and not unnamed:
            return ()
        if not together and any(c.worker_id in valid for c in open_now):
            return ()
        granted = [
            c
            for c in (wanted if together and open_now else open_now)
            if c.worker_id in step.tickets
        ]
        unknown = [c for c in open_now if c.worker_id not in step.tickets]
        most = WORKERS_MAX if together else WORKERS_LATER_MAX
        return _ids(granted + unknown, most)

    def asked(self, name: StepName, due_ms: float) -> None:
        """Note that a call is on its way whose reply is due by then."""
        step = self._steps[name]
        step.calls_count += 1
        step.overdue_from_ms = due_ms + OVERDUE_MS

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
        step.calls_count -= 1
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
            if not self._steps[name].calls_count:
                del self._steps[name]


@dataclasses.dataclass(slots=True)
class _Asker:
    """One process: the times of its calls under way, the oldest first.

    ``extra_ms`` is what its calls took beyond the adviser's own time.
    """

    calls_ms: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    begun_ms: float = 0.0
    extra_ms: float | None = None

    def free_in_ms(self, now_ms: float) -> float | None:
        """Return when another call could begin; None if that is not known.

        A call that is overdue may have met a link or a process that is
        down, and nothing is queued behind it.
        """
        if not self.calls_ms:
            return 0.0
        left_ms = self.begun_ms + self.calls_ms[0] - now_ms
        overdue_ms = -left_ms - (self.extra_ms or 0.0)
        if len(self.calls_ms) > 1 or overdue_ms > OVERDUE_MS:
            return None
        return max(0.0, left_ms)


class Askers:
    """The processes that may call the adviser, and how busy each is."""

    def __init__(self) -> None:
        self._askers: dict[AskerId, _Asker] = {}

    def join(self, asker_id: AskerId) -> None:
        """Count on a process from now on."""
        self._askers.setdefault(asker_id, _Asker())

    def leave(self, asker_id: AskerId) -> None:
        """Count on a process no more."""
        self._askers.pop(asker_id, None)

    def choose(
        self, policy: _policy.AdvicePolicy, workers_count: int, now_ms: float
    ) -> AskerId | None:
        """Return who is to make a call next; None while all are busy."""
        best: tuple[float, AskerId] | None = None
        for asker_id, asker in self._askers.items():
            free_in_ms = asker.free_in_ms(now_ms)
            if free_in_ms is None or free_in_ms > BACKLOG_MAX_MS:
                continue
            answer_in_ms = free_in_ms + (asker.extra_ms or 0.0)
            if best is None or answer_in_ms < best[0]:
                best = (answer_in_ms, asker_id)
        if best is None:
            return None
        chosen = self._askers[best[1]]
        if not chosen.calls_ms:
            chosen.begun_ms = now_ms
        chosen.calls_ms.append(policy.call_ms(workers_count))
        return best[1]

    def due_ms(self, asker_id: AskerId) -> float:
        """Return when the last call of a process should be answered."""
        asker = self._askers[asker_id]
        return asker.begun_ms + sum(asker.calls_ms) + (asker.extra_ms or 0.0)

    def finished(self, asker_id: AskerId, now_ms: float) -> None:
        """Note that the oldest call of a process has ended."""
        asker = self._askers.get(asker_id)
        if asker is None or not asker.calls_ms:
            return
        took_ms = now_ms - asker.begun_ms
        extra_ms = max(0.0, took_ms - asker.calls_ms.popleft())
        if asker.extra_ms is None:
            asker.extra_ms = extra_ms
        asker.extra_ms += (extra_ms - asker.extra_ms) * EXTRA_WEIGHT
        asker.begun_ms = now_ms


def _ids(
    candidates: collections.abc.Sequence[Candidate], most: int
) -> tuple[messages.WorkerId, ...]:
    return tuple(c.worker_id for c in candidates[:most])
