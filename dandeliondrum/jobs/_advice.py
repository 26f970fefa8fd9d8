"""Cache of the adviser's grants and pool of the processes that call it.

The adviser serves one call at a time from each calling VM. A call takes up
to a second, and a grant is valid for a second or two. So that short urgent
steps do not wait behind long calls about other steps, all processes that may
call the adviser form a pool. Calls are made in scheduling order, each by the
process that is expected to become free first.
"""

import collections
import collections.abc
import dataclasses

from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _policy
from dandeliondrum import messages

# Minimum number of workers in the first call about a step. The latency
# objective of a job allows for a call about 30 workers.
WORKERS_FIRST_MIN = 30
# The adviser accepts at most 100 workers per call.
WORKERS_MAX = 100
# Candidates per worker that a step needs. Advisers grant at least three in
# ten, and some of the granted workers are full.
NAMED_PER_NEEDED = 5
# Maximum number of workers in a later call, which only renews the tickets
# that are needed.
WORKERS_LATER_MAX = 12
# A ticket must stay valid during planning, the commit to the log and the
# delivery to the worker.
TICKET_MARGIN_MS = 350
# A call is not queued at a process that is busy for longer than this.
BACKLOG_MAX_MS = 60
# A call is overdue this long after its expected reply.
OVERDUE_MS = 100
# Concurrent calls about one step. A second one is made only when the first
# is overdue.
CALLS_PER_STEP_MAX = 2
# Delay before the next call about a step whose call failed.
FAILURE_PAUSE_MS = 150
# Weight of the newest call in the moving average of a process's overhead. It
# takes five calls to outweigh a single delayed one.
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
    """A worker that can run a step.

    ``has_room`` tells whether its free resources are sufficient now.
    """

    worker_id: messages.WorkerId
    has_room: bool


class Advice:
    """Cache of the grants of each step.

    Not thread-safe: the caller holds the lock of the leader's term.
    """

    def __init__(self) -> None:
        self._steps: dict[StepName, _Step] = {}

    def tickets(
        self, name: StepName, now_ms: int
    ) -> dict[messages.WorkerId, str]:
        """Return the workers that may start the step now, with tickets."""
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
        """Return the granted workers, with or without a valid ticket.

        The adviser never revokes a grant; only tickets expire.
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
        """Return the workers to include in a call about the step, if any.

        The first call includes many workers, with or without free resources.
        A later call includes only workers that have free resources and whose
        ticket has expired, or that were in no call yet. There is only one
        call at a time, unless it is overdue.

        The tasks of a gang start together, so the tickets of all its workers
        are renewed in one call. The renewal precedes the expiry by the
        duration of a call according to ``gang_policy``; otherwise the
        resources that are reserved for the gang would be given to other
        steps. ``gang_policy`` is None for steps that are no gang.

        ``needed_count`` is the number of empty workers that would hold all
        waiting tasks.
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
        """Record that a call was sent and when its reply is expected."""
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
        """Store the grants and refusals of a reply."""
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
        """Mark a ticket that a worker rejected as expired."""
        step = self._steps.get(name)
        if step is not None and worker_id in step.tickets:
            step.tickets[worker_id].until_ms = 0

    def forget_worker(self, worker_id: messages.WorkerId) -> None:
        """Drop the grants of a worker that has restarted."""
        for step in self._steps.values():
            step.tickets.pop(worker_id, None)
            step.refused.discard(worker_id)

    def keep_only(self, names: collections.abc.Set[StepName]) -> None:
        """Drop all other steps, except those with a call in progress."""
        for name in self._steps.keys() - names:
            if not self._steps[name].calls_count:
                del self._steps[name]


@dataclasses.dataclass(slots=True)
class _Asker:
    """The load of one process that calls the adviser.

    ``calls_ms`` holds the expected durations of its pending calls, oldest
    first. ``begun_ms`` is when the oldest one began. ``extra_ms`` is the
    average time by which its calls exceed the expected duration.
    """

    calls_ms: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    begun_ms: float = 0.0
    extra_ms: float | None = None

    def free_in_ms(self, now_ms: float) -> float | None:
        """Return in how many milliseconds another call could begin.

        Returns None if a call is queued already or the current one is
        overdue: its link or process may be down, so nothing is queued
        behind it.
        """
        if not self.calls_ms:
            return 0.0
        left_ms = self.begun_ms + self.calls_ms[0] - now_ms
        overdue_ms = -left_ms - (self.extra_ms or 0.0)
        if len(self.calls_ms) > 1 or overdue_ms > OVERDUE_MS:
            return None
        return max(0.0, left_ms)


class Askers:
    """Pool of the processes that may call the adviser, with their load."""

    def __init__(self) -> None:
        self._askers: dict[AskerId, _Asker] = {}

    def join(self, asker_id: AskerId) -> None:
        """Add a process to the pool."""
        self._askers.setdefault(asker_id, _Asker())

    def leave(self, asker_id: AskerId) -> None:
        """Remove a process from the pool."""
        self._askers.pop(asker_id, None)

    def choose(
        self, policy: _policy.AdvicePolicy, workers_count: int, now_ms: float
    ) -> AskerId | None:
        """Reserve the process that will reply first for a call.

        Returns None while all processes are busy.
        """
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
        """Return when the last call of a process is expected to return."""
        asker = self._askers[asker_id]
        return asker.begun_ms + sum(asker.calls_ms) + (asker.extra_ms or 0.0)

    def finished(self, asker_id: AskerId, now_ms: float) -> None:
        """Record that the oldest call of a process has ended."""
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
