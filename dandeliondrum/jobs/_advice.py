"""Cache of the adviser's grants and pool of the processes that call it.

The adviser serves one call at a time from each calling VM. A call takes up
to a second, and a grant is valid for a second or two. So that short urgent
steps do not wait behind long calls about other steps, all processes that may
call the adviser form a pool. Calls are made in scheduling order, each by the
process that is expected to reply first.
"""

import collections
import collections.abc
import dataclasses
import math
import threading

from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _policy
from dandeliondrum import messages

# Minimum number of workers in the first call about a step. The latency
# objective of a job allows for a call about 30 workers.
FIRST_CALL_WORKERS_MIN = 30
# The adviser accepts at most 100 workers per call.
CALL_WORKERS_MAX = 100
# Candidates per worker that a step needs. Advisers grant at least three in
# ten, and some of the granted workers are full.
CANDIDATES_PER_NEEDED_WORKER = 5
# Maximum number of workers in a later call about a step whose waiting tasks
# need few workers; it only adds or renews the tickets that are needed.
RENEWAL_WORKERS_MAX = 12
# A ticket must stay valid during planning, the commit to the log and the
# delivery to the worker.
TICKET_MARGIN_MS = 350
# A call is not queued at a process that is busy for longer than this.
BACKLOG_MAX_MS = 60
# A call is overdue this long after its expected reply.
OVERDUE_AFTER_MS = 100
# Concurrent calls about one step. A second one is made only when the first
# is overdue.
CALLS_PER_STEP_MAX = 2
# Delay before the next call about a step whose call failed.
RETRY_DELAY_MS = 150
# Weight of the newest call in the moving average of a process's overhead. It
# takes five calls to outweigh a single delayed one.
OVERHEAD_SMOOTHING_FACTOR = 0.2
# A process whose call failed gets no other one for this long; the pause
# doubles with each failure in a row.
FAILURE_PAUSE_MS = 100
FAILURE_PAUSE_DOUBLINGS_MAX = 3

StepName = str
ClientId = str


@dataclasses.dataclass(slots=True)
class _Ticket:
    text: str
    expires_ms: int


@dataclasses.dataclass(slots=True)
class _StepAdvice:
    tickets: dict[messages.WorkerId, _Ticket] = dataclasses.field(
        default_factory=dict
    )
    refused: set[messages.WorkerId] = dataclasses.field(default_factory=set)
    calls_count: int = 0
    overdue_from_ms: float = 0.0
    not_before_ms: int = 0
    # Workers that have started again during a call, whose reply holds tickets
    # of their former incarnations.
    restarted: set[messages.WorkerId] = dataclasses.field(default_factory=set)
    # Whether a round has been planned with the tickets of the last reply.
    planned: bool = False

    def may_call(self, now_ms: float) -> bool:
        if self.calls_count >= CALLS_PER_STEP_MAX:
            return False
        if self.calls_count and now_ms < self.overdue_from_ms:
            return False
        return now_ms >= self.not_before_ms


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker that can run a step.

    ``has_capacity`` tells whether its free resources are sufficient now.
    """

    worker_id: messages.WorkerId
    has_capacity: bool


class GrantCache:
    """Cache of the grants of each step.

    Not thread-safe: the caller holds the lock of the leader's term.
    """

    def __init__(self) -> None:
        self._steps: dict[StepName, _StepAdvice] = {}

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
            if ticket.expires_ms - TICKET_MARGIN_MS > now_ms
        }

    def record_planned(self, name: StepName) -> None:
        """Record that a round is planned with the tickets of a step.

        If tasks still wait after it, its tickets are not sufficient: workers
        with resources may be reserved for others.
        """
        step = self._steps.get(name)
        if step is not None:
            step.planned = True

    def granted(
        self, name: StepName
    ) -> collections.abc.Set[messages.WorkerId]:
        """Return the granted workers, with or without a valid ticket.

        The adviser never revokes a grant; only tickets expire.
        """
        step = self._steps.get(name)
        return step.tickets.keys() if step is not None else set()

    def answered_about(
        self, name: StepName
    ) -> collections.abc.Set[messages.WorkerId]:
        """Return the workers that were granted or refused for the step."""
        step = self._steps.get(name)
        if step is None:
            return frozenset()
        return step.tickets.keys() | step.refused

    def is_sufficient(
        self,
        name: StepName,
        with_capacity: collections.abc.Iterable[messages.WorkerId],
        now_ms: int,
    ) -> bool:
        """Return whether the step needs no further call now.

        That is so if a worker with capacity has a valid ticket that no round
        has been planned with.
        """
        step = self._steps.get(name)
        if step is None or step.planned:
            return False
        valid = self.tickets(name, now_ms)
        return any(
            worker_id in valid and worker_id not in step.refused
            for worker_id in with_capacity
        )

    def may_call(self, name: StepName, now_ms: int) -> bool:
        """Return whether a call about the step may be made now."""
        step = self._steps.get(name)
        return step is None or step.may_call(now_ms)

    def is_unknown(self, name: StepName) -> bool:
        """Return whether no call about the step was answered yet."""
        step = self._steps.get(name)
        return step is None or not (step.tickets or step.refused)

    def is_valid_for(
        self, name: StepName, now_ms: int, policy: _policy.AdvicePolicy
    ) -> bool:
        """Return whether all tickets outlast a call that renews them."""
        step = self._steps.get(name)
        if step is None:
            return False
        end_ms = now_ms + int(policy.call_ms(len(step.tickets)))
        return all(
            ticket.expires_ms - TICKET_MARGIN_MS > end_ms
            for ticket in step.tickets.values()
        )

    def select_workers(
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
        ticket has expired, or that were in no call yet. It is made if there
        is no valid ticket for a worker with free resources, or if a round has
        left tasks waiting in spite of such tickets. There is only one call at
        a time, unless it is overdue.

        The tasks of a gang start together, so the tickets of all its workers
        are renewed in one call. The renewal precedes the expiry by the
        duration of a call according to ``gang_policy``; otherwise the
        resources that are reserved for the gang would be given to other
        steps. ``gang_policy`` is None for steps that are not gangs.

        ``needed_count`` is the number of empty workers that would hold all
        waiting tasks.
        """
        step = self._steps.setdefault(name, _StepAdvice())
        if not step.may_call(now_ms):
            return ()
        not_refused = [
            c for c in candidates if c.worker_id not in step.refused
        ]
        if self.is_unknown(name):
            included = sorted(not_refused, key=lambda c: not c.has_capacity)
            return _ids(included, first_call_max(needed_count))
        if gang_policy is not None:
            renewed_at_ms = now_ms + int(
                gang_policy.call_ms(len(step.tickets))
            )
            valid = self.tickets(name, renewed_at_ms)
            return _select_for_gang(step, not_refused, valid)
        return _select_more(
            step,
            not_refused,
            self.tickets(name, now_ms),
            later_call_max(needed_count),
        )

    def record_call(self, name: StepName, due_ms: float) -> None:
        """Record that a call was sent and when its reply is expected."""
        step = self._steps[name]
        step.calls_count += 1
        step.overdue_from_ms = due_ms + OVERDUE_AFTER_MS

    def record_reply(
        self,
        name: StepName,
        included: tuple[messages.WorkerId, ...],
        reply: _calls.AdviceReply,
        now_ms: int,
        may_retry_now: bool = False,
    ) -> None:
        """Store the grants and refusals of a reply.

        After a reply with a problem the next call about the step waits for
        ``RETRY_DELAY_MS``, unless ``may_retry_now`` is set.
        """
        step = self._steps.get(name)
        if step is None:
            return
        step.calls_count -= 1
        restarted = step.restarted
        if not step.calls_count:
            step.restarted = set()
        if reply.problem:
            if not may_retry_now:
                step.not_before_ms = now_ms + RETRY_DELAY_MS
            return
        step.planned = False
        expires_ms = now_ms + reply.valid_ms
        granted = {grant.worker_id: grant.ticket for grant in reply.grants}
        for worker_id in included:
            if worker_id in restarted:
                continue
            if worker_id in granted:
                step.tickets[worker_id] = _Ticket(
                    granted[worker_id], expires_ms
                )
            else:
                step.refused.add(worker_id)

    def expire_ticket(
        self, name: StepName, worker_id: messages.WorkerId
    ) -> None:
        """Mark a ticket that a worker rejected as expired."""
        step = self._steps.get(name)
        if step is not None and worker_id in step.tickets:
            step.tickets[worker_id].expires_ms = 0

    def forget_worker(self, worker_id: messages.WorkerId) -> None:
        """Drop the grants of a worker that has restarted."""
        for step in self._steps.values():
            step.tickets.pop(worker_id, None)
            step.refused.discard(worker_id)
            if step.calls_count:
                step.restarted.add(worker_id)

    def retain(self, names: collections.abc.Set[StepName]) -> None:
        """Drop all other steps, except those with a call in progress."""
        for name in self._steps.keys() - names:
            if not self._steps[name].calls_count:
                del self._steps[name]


def _select_for_gang(
    step: _StepAdvice,
    candidates: collections.abc.Sequence[Candidate],
    valid: collections.abc.Collection[messages.WorkerId],
) -> tuple[messages.WorkerId, ...]:
    """Return all granted workers and further ones with free resources.

    No call is needed while all tickets in ``valid`` outlast a call and there
    are no further workers.
    """
    available = [c for c in candidates if c.has_capacity]
    new = [c for c in available if c.worker_id not in step.tickets]
    if len(valid) == len(step.tickets) and not new:
        return ()
    granted = [
        c for c in candidates if available and c.worker_id in step.tickets
    ]
    return _ids(granted + new, CALL_WORKERS_MAX)


def _select_more(
    step: _StepAdvice,
    candidates: collections.abc.Sequence[Candidate],
    valid: collections.abc.Collection[messages.WorkerId],
    limit: int,
) -> tuple[messages.WorkerId, ...]:
    """Return workers with free resources and without a valid ticket."""
    available = [c for c in candidates if c.has_capacity]
    if not step.planned and any(c.worker_id in valid for c in available):
        return ()
    expired = [
        c
        for c in available
        if c.worker_id in step.tickets and c.worker_id not in valid
    ]
    new = [c for c in available if c.worker_id not in step.tickets]
    # The granted workers may be kept free for other work.
    renewed_count = limit - min(len(new), limit // 2)
    return _ids(expired[:renewed_count] + new, limit)


@dataclasses.dataclass(slots=True)
class _ClientLoad:
    """The load of one process that calls the adviser.

    ``pending_ms`` holds the expected durations of its pending calls, oldest
    first. ``call_started_ms`` is when the oldest one began. ``overhead_ms``
    is the average time by which its calls exceed the expected duration.
    After ``failures_count`` failed calls in a row no call is given to it
    before ``not_before_ms``.
    """

    pending_ms: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    call_started_ms: float = 0.0
    overhead_ms: float | None = None
    failures_count: int = 0
    not_before_ms: float = 0.0

    def available_from_ms(self, now_ms: float) -> float:
        """Return when another call may be given to the process.

        Returns infinity if a call is queued already or the current one is
        overdue: its link or process may be down, so nothing is queued
        behind it.
        """
        if not self.pending_ms:
            return self.not_before_ms
        end_ms = self.call_started_ms + self.pending_ms[0]
        overdue_ms = now_ms - end_ms - (self.overhead_ms or 0.0)
        if len(self.pending_ms) > 1 or overdue_ms > OVERDUE_AFTER_MS:
            return math.inf
        return max(self.not_before_ms, end_ms - BACKLOG_MAX_MS)

    def answer_in_ms(self, now_ms: float) -> float:
        """Return the delay, beyond its duration, of the next call."""
        overhead_ms = self.overhead_ms or 0.0
        if not self.pending_ms:
            return overhead_ms
        left_ms = self.call_started_ms + self.pending_ms[0] - now_ms
        return max(0.0, left_ms) + overhead_ms

    def end_call(self, now_ms: float) -> float:
        """Remove the oldest call; return by how much it was too long."""
        took_ms = now_ms - self.call_started_ms
        self.call_started_ms = now_ms
        return max(0.0, took_ms - self.pending_ms.popleft())

    def update_overhead(self, overhead_ms: float) -> None:
        if self.overhead_ms is None:
            self.overhead_ms = overhead_ms
        self.overhead_ms += (
            overhead_ms - self.overhead_ms
        ) * OVERHEAD_SMOOTHING_FACTOR

    def pause(self, now_ms: float) -> None:
        """Start the pause after a failure, unless one is under way."""
        if now_ms < self.not_before_ms:
            return
        doublings = min(self.failures_count, FAILURE_PAUSE_DOUBLINGS_MAX)
        self.not_before_ms = now_ms + FAILURE_PAUSE_MS * 2**doublings
        self.failures_count += 1


class AdviserClientPool:
    """Pool of the processes that may call the adviser, with their load.

    Thread-safe.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._loads: dict[ClientId, _ClientLoad] = {}
        # No process is available before this time, unless a call ends or a
        # process is added. Waiting steps ask far more often than calls end.
        self._none_before_ms = 0.0

    def add(self, client_id: ClientId) -> None:
        """Add a process to the pool."""
        with self._lock:
            self._loads.setdefault(client_id, _ClientLoad())
            self._none_before_ms = 0.0

    def remove(self, client_id: ClientId) -> None:
        """Remove a process from the pool."""
        with self._lock:
            self._loads.pop(client_id, None)

    def clear(self) -> None:
        """Remove all processes from the pool."""
        with self._lock:
            self._loads.clear()

    def choose(
        self, policy: _policy.AdvicePolicy, workers_count: int, now_ms: float
    ) -> ClientId | None:
        """Reserve the process that will reply first for a call.

        Returns None while all processes are busy or paused after a failure.
        """
        with self._lock:
            client_id = self._choose(now_ms)
            if client_id is None:
                return None
            chosen = self._loads[client_id]
            if not chosen.pending_ms:
                chosen.call_started_ms = now_ms
            chosen.pending_ms.append(policy.call_ms(workers_count))
            return client_id

    def _choose(self, now_ms: float) -> ClientId | None:
        if now_ms < self._none_before_ms:
            return None
        best_id: ClientId | None = None
        best_ms = next_ms = math.inf
        for client_id, load in self._loads.items():
            available_ms = load.available_from_ms(now_ms)
            if available_ms > now_ms:
                next_ms = min(next_ms, available_ms)
                continue
            answer_in_ms = load.answer_in_ms(now_ms)
            if answer_in_ms < best_ms:
                best_id, best_ms = client_id, answer_in_ms
        if best_id is None:
            self._none_before_ms = next_ms
        return best_id

    def due_ms(self, client_id: ClientId) -> float:
        """Return when the last call of a process is expected to return.

        Returns 0 if the process has left the pool.
        """
        with self._lock:
            load = self._loads.get(client_id, _ClientLoad())
            return (
                load.call_started_ms
                + sum(load.pending_ms)
                + (load.overhead_ms or 0.0)
            )

    def record_finished(self, client_id: ClientId, now_ms: float) -> None:
        """Record that the oldest call of a process was answered."""
        with self._lock:
            self._none_before_ms = 0.0
            load = self._loads.get(client_id)
            if load is None or not load.pending_ms:
                return
            load.update_overhead(load.end_call(now_ms))
            load.failures_count = 0
            load.not_before_ms = 0.0

    def record_failed(self, client_id: ClientId, now_ms: float) -> None:
        """Record that the oldest call of a process has failed.

        The process is left out for a while. A failure may come faster than
        any reply, so it never lowers the average overhead.
        """
        with self._lock:
            self._none_before_ms = 0.0
            load = self._loads.get(client_id)
            if load is None or not load.pending_ms:
                return
            overhead_ms = load.end_call(now_ms)
            if overhead_ms > (load.overhead_ms or 0.0):
                load.update_overhead(overhead_ms)
            load.pause(now_ms)


def first_call_max(needed_count: int) -> int:
    """Return how many workers the first call about a step includes.

    ``needed_count`` empty workers would hold all of its tasks.
    """
    return max(FIRST_CALL_WORKERS_MIN, _needed_max(needed_count))


def later_call_max(needed_count: int) -> int:
    """Return how many workers a later call about a step includes at most."""
    return max(RENEWAL_WORKERS_MAX, _needed_max(needed_count))


def _needed_max(needed_count: int) -> int:
    return min(needed_count * CANDIDATES_PER_NEEDED_WORKER, CALL_WORKERS_MAX)


def _ids(
    candidates: collections.abc.Sequence[Candidate], limit: int
) -> tuple[messages.WorkerId, ...]:
    return tuple(c.worker_id for c in candidates[:limit])
