"""In-memory fakes of the workers and adviser of :mod:`dandeliondrum.jobs`.

They implement the contract behind a :class:`jobs.WorkerPort`, with faults that
a test enables: no answers, start orders that are carried out late, a restart
under the same id, another incarnation at the same address, failing runs,
runs that crash their worker.
"""

import dataclasses
import math
import threading
import time

from dandeliondrum import jobs
from dandeliondrum import messages


@dataclasses.dataclass
class _Run:
    run: int
    starts_at_ms: float
    ends_at_ms: float

    def percent(self, now_ms: float) -> float:
        elapsed_ms = now_ms - self.starts_at_ms
        return int(100 * elapsed_ms / (self.ends_at_ms - self.starts_at_ms))


class FakeWorker:
    """An in-memory worker; its clock starts at 0 with each restart.

    Tests set these attributes: while ``silent``, nothing is answered; when
    ``replaced``, every call is answered with :class:`jobs.WorkerReplaced`;
    with ``fails``, runs end as failed. With ``delays_starts``, start
    orders are kept without an answer until :meth:`carry_out_late_starts`.
    Leases are shortened to ``lease_max_ms`` from the time of their arrival.
    Between :meth:`go_dark` and :meth:`come_back` the worker is down and calls
    to it wait; the next incarnation carries them out, although their callers
    may have given up.

    A run with one of the ``deadly_payloads`` crashes the worker
    ``crash_after_ms`` after its start. After a crash nothing is accepted for
    ``down_ms``. The worker is then back under the next id if
    ``returns_replaced`` is set, else under its id; ``ids`` has all of them.
    """

    def __init__(
        self,
        worker_id: str,
        capacity: messages.Resources,
        run_ms: int,
        lease_max_ms: float = math.inf,
    ) -> None:
        self.lock = threading.RLock()
        self._changed = threading.Condition(self.lock)
        self._lease_max_ms = lease_max_ms
        self.run_ms = run_ms
        self.silent = False
        self.replaced = False
        self.fails = False
        # New runs make no progress for this time, then run for ``run_ms``.
        self.stall_ms = 0
        self.late_starts: list[jobs.StartOrder] = []
        self.delays_starts = False
        self.deadly_payloads: set[str] = set()
        self.crash_after_ms = 10
        self.down_ms = 3_000
        self.returns_replaced = False
        self.is_dark = False
        self._outages_count = 0
        self.crashes_count = 0
        self.ids = [messages.WorkerId(worker_id)]
        self._crash_at_s = math.inf
        self._down_until_s = 0.0
        self.starts: list[tuple[str, int]] = []
        self.facts = jobs.WorkerFacts(
            messages.WorkerId(worker_id),
            f'{worker_id}:1',
            'pool',
            messages.FailureDomain('d1'),
            messages.Rack('r1'),
            ('a', 'r1'),
            capacity,
            started_ms=1,
        )
        self._started_s = 0.0
        self._token = 0
        self._lease_ms = 0.0
        self._runs: dict[jobs.TaskKey, _Run] = {}
        self._highest_run: dict[jobs.TaskKey, int] = {}
        self._ends: list[jobs.EndListing] = []
        self._last_end_number = 0
        self._reset()

    def restart(self) -> None:
        """Restart under the same id, without any state."""
        with self.lock:
            self.facts = dataclasses.replace(
                self.facts, started_ms=self.facts.started_ms + 1
            )
            self._reset()

    def crash(self) -> None:
        """Lose all state, and accept nothing for ``down_ms``."""
        with self.lock:
            self.crashes_count += 1
            self.restart()
            if self.returns_replaced:
                self.ids.append(
                    messages.WorkerId(f'{self.ids[0]}~{len(self.ids)}')
                )
                self.facts = dataclasses.replace(
                    self.facts, worker_id=self.ids[-1]
                )
            self._down_until_s = time.monotonic() + self.down_ms / 1000
            self._changed.notify_all()

    def go_dark(self) -> None:
        """Lose all state, and keep calls for the next incarnation."""
        with self.lock:
            self.restart()
            self._outages_count += 1
            self.is_dark = True
            self._changed.notify_all()

    def come_back(self) -> None:
        """Begin the next incarnation, which carries out the calls kept."""
        with self.lock:
            self.restart()
            self.is_dark = False
            self._changed.notify_all()

    def is_down(self) -> bool:
        """Return whether the worker has crashed and is not back yet."""
        with self.lock:
            if time.monotonic() >= self._crash_at_s:
                self.crash()
            return time.monotonic() < self._down_until_s

    def running(self) -> dict[str, int]:
        """Return the number of the current run of each running task."""
        with self.lock:
            self.is_down()
            self._end_due_runs()
            return {str(task): run.run for task, run in self._runs.items()}

    def carry_out_late_starts(self) -> None:
        """Carry out the start orders that were kept without an answer."""
        with self.lock:
            late, self.late_starts = self.late_starts, []
        for order in late:
            self.start(order, late=True)

    def renew(self, request: jobs.LeaseRequest) -> jobs.ListingOutcome:
        """Renew the lease; return at the next end or when the wait is over."""
        until_s = time.monotonic() + request.wait_ms / 1000
        with self.lock:
            refused = self._check_access(request.token)
            if refused is not None:
                return refused
            self._forget_ends(request.acknowledged_number)
            if request.lease_until_ms is not None:
                self._extend_lease(request.lease_until_ms)
            outages_count = self._outages_count
            while True:
                if self.is_down() or outages_count != self._outages_count:
                    return jobs.Unanswered(True, 'crashed')
                self._end_due_runs()
                wait_s = until_s - time.monotonic()
                if self._ends or wait_s <= 0:
                    return self._current_lists()
                self._changed.wait(min(wait_s, self._next_end_s()))

    def start(
        self, order: jobs.StartOrder, late: bool = False
    ) -> jobs.OrderOutcome:
        """Carry out a start order, or keep it for later without an answer."""
        if self.delays_starts and not late:
            self.late_starts.append(order)
            return jobs.Unanswered(True, 'no answer')
        with self.lock:
            refused = self._check_access(order.token)
            if refused is not None:
                return refused
            self._end_due_runs()
            self._extend_lease(order.lease_until_ms)
            if order.lease_until_ms <= self._clock_ms():
                return jobs.Refused(jobs.Refusal.LEASE_PASSED)
            current = self._runs.get(order.task)
            if current is not None and current.run == order.run:
                return jobs.Accepted(int(self._clock_ms()))
            if order.run <= self._highest_run.get(order.task, 0):
                return jobs.Refused(jobs.Refusal.OLD_RUN)
            self._begin_run(order)
            self._changed.notify_all()
            return jobs.Accepted(int(self._clock_ms()))

    def stop(self, order: jobs.StopOrder) -> jobs.OrderOutcome:
        """Stop a run and bar it and earlier runs of its task from starting."""
        with self.lock:
            refused = self._check_access(order.token)
            if refused is not None:
                return refused
            self._end_due_runs()
            current = self._runs.get(order.task)
            if current is not None and current.run <= order.run:
                self._end(order.task, jobs.RunOutcome.STOPPED)
            self._highest_run[order.task] = max(
                order.run, self._highest_run.get(order.task, 0)
            )
            return jobs.Accepted(int(self._clock_ms()))

    def _forget_ends(self, acknowledged_number: int) -> None:
        self._ends = [
            one for one in self._ends if one.sequence > acknowledged_number
        ]

    def _extend_lease(self, until_ms: float) -> None:
        longest_ms = self._clock_ms() + self._lease_max_ms
        self._lease_ms = max(self._lease_ms, min(until_ms, longest_ms))

    def _begin_run(self, order: jobs.StartOrder) -> None:
        self._highest_run[order.task] = order.run
        self._runs[order.task] = _Run(
            order.run,
            self._clock_ms() + self.stall_ms,
            self._clock_ms() + self.stall_ms + self.run_ms,
        )
        self.starts.append((str(order.task), order.run))
        if order.payload in self.deadly_payloads:
            crash_at_s = time.monotonic() + self.crash_after_ms / 1000
            self._crash_at_s = min(self._crash_at_s, crash_at_s)

    def _reset(self) -> None:
        self._crash_at_s = math.inf
        self._started_s = time.monotonic()
        self._token = 0
        self._lease_ms = 0.0
        self._runs = {}
        self._highest_run = {}
        self._ends = []
        self._last_end_number = 0

    def _check_access(
        self, token: int
    ) -> jobs.WorkerReplaced | jobs.Refused | jobs.Unanswered | None:
        while self.is_dark:
            self._changed.wait()
        if self.is_down():
            return jobs.Unanswered(False, 'connection refused')
        if self.silent:
            return jobs.Unanswered(True, 'silent')
        if self.replaced:
            return jobs.WorkerReplaced()
        if token < self._token:
            return jobs.Refused(jobs.Refusal.FENCED)
        self._token = token
        return None

    def _clock_ms(self) -> float:
        return (time.monotonic() - self._started_s) * 1000

    def _end_due_runs(self) -> None:
        now_ms = self._clock_ms()
        for task, run in list(self._runs.items()):
            if self._lease_ms and now_ms > self._lease_ms:
                self._end(task, jobs.RunOutcome.LAPSED)
            elif now_ms >= run.ends_at_ms:
                done = jobs.RunOutcome.DONE
                failed = jobs.RunOutcome.FAILED
                self._end(task, failed if self.fails else done)

    def _next_end_s(self) -> float:
        """Return the time until the next run ends or crashes the worker."""
        ends_at_ms = [run.ends_at_ms for run in self._runs.values()]
        if ends_at_ms and self._lease_ms:
            ends_at_ms.append(self._lease_ms)
        due_ms = min(ends_at_ms, default=math.inf) - self._clock_ms()
        crash_s = self._crash_at_s - time.monotonic()
        return max(0.001, min(due_ms / 1000, crash_s))

    def _end(self, task: jobs.TaskKey, outcome: jobs.RunOutcome) -> None:
        run = self._runs.pop(task)
        self._last_end_number += 1
        self._ends.append(
            jobs.EndListing(
                self._last_end_number, jobs.RunEnd(task, run.run, outcome)
            )
        )
        self._changed.notify_all()

    def _current_lists(self) -> jobs.WorkerListing:
        return jobs.WorkerListing(
            int(self._clock_ms()),
            self.facts.started_ms,
            tuple(
                jobs.RunListing(
                    task, run.run, '', max(0, run.percent(self._clock_ms()))
                )
                for task, run in self._runs.items()
            ),
            tuple(self._ends),
        )


class FakeFleet:
    """A :class:`jobs.WorkerPort` that dispatches to fake workers by id."""

    def __init__(self, workers: list[FakeWorker]) -> None:
        self._workers = list(workers)

    def add(self, worker: FakeWorker) -> None:
        """Add a worker."""
        self._workers.append(worker)

    def renew(self, request: jobs.LeaseRequest) -> jobs.ListingOutcome:
        """Renew the lease of a worker and return its lists."""
        worker = self._find(request.worker)
        return (
            jobs.WorkerReplaced() if worker is None else worker.renew(request)
        )

    def start(self, order: jobs.StartOrder) -> jobs.OrderOutcome:
        """Start a run."""
        worker = self._find(order.worker)
        return jobs.WorkerReplaced() if worker is None else worker.start(order)

    def stop(self, order: jobs.StopOrder) -> jobs.OrderOutcome:
        """Stop a run."""
        worker = self._find(order.worker)
        return jobs.WorkerReplaced() if worker is None else worker.stop(order)

    def close(self) -> None:
        """Do nothing, as there are no connections."""

    def _find(self, facts: jobs.WorkerFacts) -> FakeWorker | None:
        """Return the worker that has this id, None if it was replaced.

        The calls of a worker that is down are refused by itself.
        """
        worker = next(
            one for one in self._workers if facts.worker_id in one.ids
        )
        is_current = worker.facts.worker_id == facts.worker_id
        return worker if is_current or worker.is_down() else None


class FakeAdviser:
    """A placement adviser that grants all workers except ``refused_ids``.

    ``requests`` records the arguments of all calls of :meth:`ask`.
    """

    def __init__(self) -> None:
        self.refused_ids: set[messages.WorkerId] = set()
        self.requests: list[tuple[str, tuple[messages.WorkerId, ...]]] = []

    def ask(
        self, step: str, worker_ids: tuple[messages.WorkerId, ...]
    ) -> jobs.AdviceReply:
        """Grant the workers that are not refused."""
        self.requests.append((step, worker_ids))
        grants = tuple(
            jobs.Grant(worker_id, f'{step}/{worker_id}')
            for worker_id in worker_ids
            if worker_id not in self.refused_ids
        )
        return jobs.AdviceReply(grants, 1_500)
