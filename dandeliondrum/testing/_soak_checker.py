"""The invariants of a soak, checked on the events of fake workers."""

import collections
import collections.abc
import datetime
import json
import math
import random
import threading
import time

from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.testing import _fake_job_workers
from dandeliondrum.testing import _platform_cell

# A job may be given up once so many workers have crashed under a task of it.
CRASHES_MIN = 2
# After so many crashes, a task that causes them may be started so often.
CRASHES_MAX = 3
STARTS_AFTER_CRASHES_MAX = 2
# How long starts may still use the capacity of before a shrinkage.
CAPACITY_GRACE_S = 5.0
# How long tasks may still start in a domain after its evacuation was
# acknowledged.
EVACUATION_GRACE_S = 5.0
CRASH_DOWN_MS = (2_000, 3_000)


def payload(cpu_millicores: int, deadly: bool = False) -> str:
    """Return a payload that states the CPU request of its tasks."""
    fields: dict[str, int | bool] = {'cpu': cpu_millicores}
    if deadly:
        fields['deadly'] = True
    return json.dumps(fields)


class InvariantChecker:
    """Checks the invariants and collects violations; thread-safe.

    ``events`` holds lines with the time of each event of a worker, fault and
    violation, in the format of the times in the logs of the processes.
    """

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self.violations: list[str] = []
        self.events: list[str] = []
        # The worker of each running task, and whether its lease has lapsed.
        self._running_on: dict[
            jobs.TaskKey, tuple[str, collections.abc.Callable[[], bool]]
        ] = {}
        self._acknowledged: set[jobs.TaskKey] = set()
        self._cpu_by_worker: collections.Counter[str] = collections.Counter()
        self._cpu_by_run: dict[tuple[str, jobs.TaskKey], int] = {}
        self._submitted_payloads: dict[jobs.JobId, str] = {}
        self._refused_ids: set[jobs.JobId] = set()
        # When the first task of each job started.
        self.started_s: dict[jobs.JobId, float] = {}
        self.starts_count = 0
        # The payloads of tasks that crash the workers that start them.
        self.deadly_payloads: set[str] = set()
        self.crashes_count = 0
        self._crashes: collections.Counter[jobs.TaskKey] = (
            collections.Counter()
        )
        self._starts_after_crashes: collections.Counter[jobs.TaskKey] = (
            collections.Counter()
        )
        self._failed_ends: collections.Counter[jobs.TaskKey] = (
            collections.Counter()
        )
        # When each worker first reported its capacities, oldest first.
        self._reported_cpu: dict[str, list[tuple[float, int]]] = {}
        # When the evacuation of each domain was acknowledged.
        self._evacuated_s: dict[str, float] = {}

    def submitted(
        self, job_id: jobs.JobId, text: str, deadly: bool = False
    ) -> None:
        """Register the payload of a job before it is first sent."""
        with self.lock:
            self._submitted_payloads[job_id] = text
            if deadly:
                self.deadly_payloads.add(text)

    def jobs_count(self) -> int:
        """Return the number of submitted jobs."""
        return len(self._submitted_payloads)

    def refused(self, job_id: jobs.JobId) -> None:
        """Check that a refused job, which was sent only once, never runs."""
        with self.lock:
            self._refused_ids.add(job_id)
            if job_id in self.started_s:
                self.add_violation(f'{job_id} was refused but started')

    def started(
        self,
        worker: jobs.WorkerFacts,
        order: jobs.StartOrder,
        has_lapsed: collections.abc.Callable[[], bool],
        is_late: bool = False,
    ) -> None:
        """Check a start order that a worker is about to carry out.

        Once the worker's lease has lapsed on its own clock, its runs have
        ended, also if it has not listed their ends yet. ``is_late`` tells
        that the worker has kept the order for a while.
        """
        with self.lock:
            self.starts_count += 1
            task, worker_id = order.task, worker.worker_id
            self.log(
                f'{worker_id} incarnation {worker.started_ms} starts {task} '
                f'run {order.run} by token {order.token}'
            )
            self.started_s.setdefault(task.job_id, time.monotonic())
            if task.job_id in self._refused_ids:
                self._add_worker_violation(
                    f'{task} was refused but starts', worker_id
                )
            running = self._running_on.get(task)
            if running is not None and not running[1]():
                self._add_worker_violation(f'{task} starts twice', worker_id)
            if task in self._acknowledged:
                self._add_worker_violation(
                    f'{task} starts after its end was acknowledged', worker_id
                )
            if self._submitted_payloads.get(task.job_id) != order.payload:
                self._add_worker_violation(
                    f'{task} was not submitted with this payload', worker_id
                )
            self._check_crashes(task, worker_id)
            if not is_late:
                self._check_domain(worker, task)
            cpu = int(json.loads(order.payload)['cpu'])
            self._running_on[task] = (worker_id, has_lapsed)
            # A second start on the same worker replaces the first run.
            replaced_cpu = self._cpu_by_run.get((worker_id, task), 0)
            self._cpu_by_worker[worker_id] -= replaced_cpu
            self._cpu_by_run[worker_id, task] = cpu
            self._cpu_by_worker[worker_id] += cpu
            cpu_max = self._usable_cpu(worker, is_late)
            if self._cpu_by_worker[worker_id] > cpu_max:
                self._add_worker_violation(f'overloaded by {task}', worker_id)

    def _check_crashes(self, task: jobs.TaskKey, worker_id: str) -> None:
        if not self._is_deadly(task.job_id):
            return
        if self._crashes[task] >= CRASHES_MAX:
            self._starts_after_crashes[task] += 1
        if self._starts_after_crashes[task] == STARTS_AFTER_CRASHES_MAX + 1:
            self._add_worker_violation(
                f'{task} starts again after {self._crashes[task]} crashes',
                worker_id,
            )

    def _check_domain(
        self, worker: jobs.WorkerFacts, task: jobs.TaskKey
    ) -> None:
        since_s = self._evacuated_s.get(worker.failure_domain, math.inf)
        evacuated_s = time.monotonic() - since_s
        if evacuated_s > EVACUATION_GRACE_S:
            self._add_worker_violation(
                f'{task} starts in {worker.failure_domain} {evacuated_s:.1f} '
                's after its evacuation',
                worker.worker_id,
            )

    def evacuated(self, domain: str) -> None:
        """Register that the evacuation of a domain was acknowledged."""
        with self.lock:
            self.log(f'{domain} is evacuated')
            self._evacuated_s[domain] = time.monotonic()

    def restored(self, domain: str) -> None:
        """Register that the evacuation of a domain is about to be revoked."""
        with self.lock:
            self.log(f'{domain} is restored')
            self._evacuated_s.pop(domain, None)

    def _is_deadly(self, job_id: jobs.JobId) -> bool:
        return self._submitted_payloads.get(job_id) in self.deadly_payloads

    def _usable_cpu(self, worker: jobs.WorkerFacts, is_late: bool) -> int:
        """Return the CPU that the runs on a worker may use by now.

        Time limits do not apply to an order that was carried out late.
        """
        since_s = -math.inf if is_late else time.monotonic() - CAPACITY_GRACE_S
        reported = self._reported_cpu.get(worker.worker_id, [])
        replaced_s = [first_s for first_s, _ in reported[1:]]
        return max(
            worker.capacity.cpu_millicores,
            *(
                cpu
                for (_, cpu), end_s in zip(
                    reported, [*replaced_s, math.inf], strict=False
                )
                if end_s > since_s
            ),
            0,
        )

    def reported(self, worker: jobs.WorkerFacts) -> None:
        """Register the capacity that a worker has reported."""
        cpu = worker.capacity.cpu_millicores
        with self.lock:
            reported = self._reported_cpu.setdefault(worker.worker_id, [])
            if not reported or reported[-1][1] != cpu:
                reported.append((time.monotonic(), cpu))

    def crashed(
        self, worker_id: str, tasks: collections.abc.Iterable[jobs.TaskKey]
    ) -> None:
        """Register that a worker has crashed, or has been restarted.

        If deadly tasks ran on it, it was not for the sake of the others.
        """
        with self.lock:
            self.crashes_count += 1
            running = list(tasks)
            deadly = [one for one in running if self._is_deadly(one.job_id)]
            self._crashes.update(deadly or running)
            for task in running:
                self.ended(worker_id, task)

    def shown_as_failed(self, job_id: jobs.JobId) -> None:
        """Check that a job that is shown as failed has a task to blame."""
        with self.lock:
            blamed = [
                task
                for counter, count_min in (
                    (self._crashes, CRASHES_MIN),
                    (self._failed_ends, _platform_cell.ATTEMPTS_MAX),
                )
                for task, count in counter.items()
                if task.job_id == job_id and count >= count_min
            ]
            if not blamed:
                self.add_violation(f'{job_id} is failed for no fault of it')

    def ended(
        self,
        worker_id: str,
        task: jobs.TaskKey,
        outcome: jobs.RunOutcome = jobs.RunOutcome.LOST,
    ) -> None:
        """Register that a run on a worker has ended, with any outcome."""
        with self.lock:
            self.log(f'{worker_id} ends {task}')
            if outcome is jobs.RunOutcome.FAILED:
                self._failed_ends[task] += 1
            if task in self._running_on:
                if self._running_on[task][0] == worker_id:
                    del self._running_on[task]
            self._cpu_by_worker[worker_id] -= self._cpu_by_run.pop(
                (worker_id, task), 0
            )

    def end_acknowledged(self, task: jobs.TaskKey) -> None:
        """Register that the successful end of a task was acknowledged."""
        with self.lock:
            self._acknowledged.add(task)

    def add_violation(self, violation: str) -> None:
        """Add a violation that a caller detected."""
        with self.lock:
            self.violations.append(violation)
            self.log(f'violation: {violation}')

    def log(self, text: str) -> None:
        """Add an event with its time."""
        now = datetime.datetime.now(datetime.UTC)
        with self.lock:
            self.events.append(
                f'{now.isoformat(timespec="microseconds")} {text}'
            )

    def _add_worker_violation(self, violation: str, worker_id: str) -> None:
        self.add_violation(f'{worker_id}: {violation}')


class CheckedWorker(_fake_job_workers.FakeWorker):
    """A fake worker that reports its events to a checker."""

    def __init__(
        self,
        worker_id: str,
        capacity: messages.Resources,
        run_ms: int,
        checker: InvariantChecker,
        lease_max_ms: float = math.inf,
    ) -> None:
        self._checker = checker
        self._rng = random.Random(worker_id)
        self._carries_out_late = False
        super().__init__(worker_id, capacity, run_ms, lease_max_ms)
        self.deadly_payloads = checker.deadly_payloads

    def start(
        self, order: jobs.StartOrder, late: bool = False
    ) -> jobs.OrderOutcome:
        """Carry out a start order, or keep it for later without an answer."""
        with self.lock:
            self._carries_out_late = late
            return super().start(order, late)

    def crash(self) -> None:
        """Crash, and draw how long for and how the worker is back."""
        with self.lock:
            self._checker.log(f'{self.facts.worker_id} crashes')
            self.down_ms = self._rng.randint(*CRASH_DOWN_MS)
            self.returns_replaced = self._rng.random() < 0.5
            super().crash()

    def restart(self) -> None:
        """Report the ends of all runs to the checker, then restart.

        A worker that starts again holds nothing of before, so also the orders
        that it has received and not carried out are gone.
        """
        with self.lock:
            self._checker.log(f'{self.facts.worker_id} restarts')
            self._checker.crashed(self.facts.worker_id, self._runs)
            self.late_starts = []
            super().restart()

    def _reset(self) -> None:
        super()._reset()
        self._ended_ms: dict[int, float] = {}
        # When the lease was renewed for the last time after it had lapsed.
        self._lapsed_ms = 0.0

    def _has_lapsed(self) -> bool:
        return 0 < self._lease_ms < self._clock_ms()

    def _extend_lease(self, until_ms: float) -> None:
        if self._has_lapsed():
            self._lapsed_ms = self._clock_ms()
        super()._extend_lease(until_ms)

    def _forget_ends(self, acknowledged_number: int) -> None:
        """Report the ends that the leader has taken note of.

        By the protocol, an end whose worker's lease lapsed before it was
        acknowledged is not taken note of, as the leader may have given the
        run up.
        """
        for one in self._ends:
            done = one.end.outcome is jobs.RunOutcome.DONE
            ended_ms = self._ended_ms[one.sequence]
            lapsed = self._has_lapsed() or self._lapsed_ms > ended_ms
            if done and one.sequence <= acknowledged_number and not lapsed:
                self._checker.end_acknowledged(one.end.task)
        super()._forget_ends(acknowledged_number)

    def _begin_run(self, order: jobs.StartOrder) -> None:
        self._checker.started(
            self.facts, order, self._has_lapsed, self._carries_out_late
        )
        super()._begin_run(order)

    def _end(self, task: jobs.TaskKey, outcome: jobs.RunOutcome) -> None:
        super()._end(task, outcome)
        self._ended_ms[self._last_end_number] = self._clock_ms()
        self._checker.ended(self.facts.worker_id, task, outcome)
