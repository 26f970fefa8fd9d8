"""What must hold in a soak, judged by what workers and callers see."""

import collections
import json
import threading

from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.testing import _job_workers


def payload(cpu_millicores: int) -> str:
    """Return a payload that says what its tasks take from a worker."""
    return json.dumps({'cpu': cpu_millicores})


class Judge:
    """Collects what must never happen; safe for any thread."""

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self.violations: list[str] = []
        self._running: dict[jobs.TaskKey, str] = {}
        self._done: set[jobs.TaskKey] = set()
        self._cpu: collections.Counter[str] = collections.Counter()
        self._charged: dict[tuple[str, jobs.TaskKey], int] = {}
        self._submitted: dict[jobs.JobId, str] = {}
        self.starts_count = 0

    def submitted(self, job_id: jobs.JobId, text: str) -> None:
        """Note a job before it is sent for the first time."""
        with self.lock:
            self._submitted[job_id] = text

    def started(
        self, worker: jobs.WorkerFacts, order: jobs.StartOrder
    ) -> None:
        """Check a start that a worker is about to carry out."""
        with self.lock:
            self.starts_count += 1
            task, worker_id = order.task, worker.worker_id
            if task in self._running:
                self._add(f'{task} starts twice', worker_id)
            if task in self._done:
                self._add(f'{task} starts after its end was noted', worker_id)
            if self._submitted.get(task.job_id) != order.payload:
                self._add(f'{task} was not submitted so', worker_id)
            cpu = int(json.loads(order.payload)['cpu'])
            self._running[task] = worker_id
            self._charged[worker_id, task] = cpu
            self._cpu[worker_id] += cpu
            if self._cpu[worker_id] > worker.capacity.cpu_millicores:
                self._add(f'overloaded by {task}', worker_id)

    def ended(self, worker_id: str, task: jobs.TaskKey) -> None:
        """Note that a run is gone from a worker, however it ended."""
        with self.lock:
            if self._running.get(task) == worker_id:
                del self._running[task]
            self._cpu[worker_id] -= self._charged.pop((worker_id, task), 0)

    def noted(self, task: jobs.TaskKey) -> None:
        """Note that the end of a task as done was acknowledged."""
        with self.lock:
            self._done.add(task)

    def add(self, what: str) -> None:
        """Add something else that must never happen."""
        with self.lock:
            self.violations.append(what)

    def _add(self, what: str, worker_id: str) -> None:
        self.violations.append(f'{worker_id}: {what}')


class JudgedWorker(_job_workers.FakeWorker):
    """A worker in memory that reports to a judge."""

    def __init__(
        self,
        worker_id: str,
        capacity: messages.Resources,
        run_ms: int,
        judge: Judge,
    ) -> None:
        self._judge = judge
        super().__init__(worker_id, capacity, run_ms)

    def renew(self, request: jobs.LeaseRequest) -> jobs.ListsOutcome:
        """Note the ends that are acknowledged before they are forgotten."""
        with self.lock:
            valid = not self.silent and request.token >= self._token
            for one in self._ends if valid else ():
                done = one.end.outcome is jobs.RunOutcome.DONE
                if done and one.number <= request.acknowledged_number:
                    self._judge.noted(one.end.task)
        return super().renew(request)

    def start_again(self) -> None:
        """Lose what runs with the life that ends."""
        with self.lock:
            for task in list(self._runs):
                self._judge.ended(self.facts.worker_id, task)
            super().start_again()

    def _begin_run(self, order: jobs.StartOrder) -> None:
        self._judge.started(self.facts, order)
        super()._begin_run(order)

    def _end(self, task: jobs.TaskKey, outcome: jobs.RunOutcome) -> None:
        super()._end(task, outcome)
        self._judge.ended(self.facts.worker_id, task)
