"""The callers and operators of a soak, with checks of their replies."""

import json
import random
import threading
import time

from dandeliondrum import jobs
from dandeliondrum.testing import _platform_cell
from dandeliondrum.testing import _soak_checker

SUBMIT_EVERY_S = 0.25
DOCUMENT_EVERY_S = 1.0
RETRY_PAUSE_S = 0.3
# A submission is retried for this time, as electing a leader takes seconds.
SUBMIT_TIMEOUT_S = 20
CANCELLED_FRACTION = 0.15
# The estimated run time of a task, close to the actual one in a soak.
TASK_ESTIMATE_MS = 700
TASK_CPU = (500, 1_500)
TASKS_MAX = 3
# A controller with an empty disk is a voter again within this time.
CATCH_UP_S = 5
END_STATES = ('completed', 'failed', 'cancelled')


class SoakCallers:
    """Submits jobs and changes documents until :meth:`stop` is called.

    ``stopping`` aborts pending submissions.
    """

    def __init__(
        self,
        cell: _platform_cell.PlatformCell,
        checker: _soak_checker.InvariantChecker,
        seed: int,
        stopping: threading.Event,
    ) -> None:
        self._cell = cell
        self._checker = checker
        self._seed = seed
        self._aborting = stopping
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._accepted_ids: list[jobs.JobId] = []
        self._cancelled_ids: set[jobs.JobId] = set()
        self._jobs_count = 0
        self._latest_version = 0
        self._acknowledged_version = 0

    def jobs_count(self) -> int:
        """Return the number of submitted jobs."""
        return self._jobs_count

    def accepted_count(self) -> int:
        """Return the number of accepted jobs."""
        return len(self._accepted_ids)

    def stop(self) -> None:
        """Stop submitting jobs and changing documents."""
        self._stopping.set()

    def submit_jobs(self) -> None:
        """Submit jobs one after another, and cancel some of them."""
        rng = random.Random(f'{self._seed}/{threading.get_ident()}')
        while not self._stopping.wait(SUBMIT_EVERY_S):
            with self._lock:
                self._jobs_count += 1
                job_id = jobs.JobId(f'{self._seed:08x}{self._jobs_count:08x}')
            cpu = rng.randint(*TASK_CPU)
            payload = _soak_checker.payload(cpu)
            count = rng.randint(1, TASKS_MAX)
            step = {
                'Count': count,
                'Cpu': cpu,
                'MemMb': 1,
                'EstimateMs': TASK_ESTIMATE_MS,
            }
            second_step = {**step, 'After': [0]}
            body = {
                'Spec': payload,
                'Steps': [step, second_step] if rng.random() < 0.3 else [step],
            }
            self._checker.submitted(job_id, payload)
            if not self._submit(job_id, json.dumps(body).encode()):
                continue
            with self._lock:
                self._accepted_ids.append(job_id)
            if rng.random() < CANCELLED_FRACTION:
                self._cancel(job_id)

    def change_documents(self) -> None:
        """Send a new version of the document at regular intervals."""
        while not self._stopping.wait(DOCUMENT_EVERY_S):
            self.send_document()

    def send_document(self) -> int:
        """Send the next version of the document until a controller accepts it.

        Return the last status.
        """
        self._latest_version += 1
        body = _platform_cell.document(self._latest_version)
        status = 0
        for number in range(len(self._cell.control)):
            status = self._cell.put_document(body, number)
            if status == 200:
                self._acknowledged_version = self._latest_version
                break
            if status == 400:
                self._checker.add_violation(
                    f'a valid document was rejected: {status}'
                )
        return status

    def settle(self, timeout_s: float) -> None:
        """Wait until all accepted jobs have ended, and check their states."""
        end_s = time.monotonic() + timeout_s
        waiting = list(self._accepted_ids)
        while waiting and time.monotonic() < end_s:
            waiting = [one for one in waiting if not self._has_ended(one)]
            time.sleep(RETRY_PAUSE_S)
        for job_id in waiting:
            self._checker.add_violation(
                f'{job_id} was accepted but did not end'
            )
        self._check_documents(end_s)

    def _has_ended(self, job_id: jobs.JobId) -> bool:
        reply = self._cell.ask('GET', f'/r1/{job_id}')
        if reply.status == 410:
            self._checker.add_violation(
                f'{job_id} was accepted but is unknown'
            )
            return True
        if reply.status != 200:
            return False
        state = reply.json()['State']
        if state == 'cancelled' and job_id not in self._cancelled_ids:
            self._checker.add_violation(
                f'{job_id} is cancelled but no caller requested that'
            )
        return state in END_STATES

    def _check_documents(self, end_s: float) -> None:
        for number in range(len(self._cell.control)):
            reply = self._cell.read_document(number)
            while reply.status != 200 and time.monotonic() < end_s:
                time.sleep(RETRY_PAUSE_S)
                reply = self._cell.read_document(number)
            if reply.status != 200:
                self._checker.add_violation(
                    f'controller {number} has no document'
                )
            elif reply.json()['Version'] < self._acknowledged_version:
                self._checker.add_violation(
                    f'controller {number} has an outdated document'
                )

    def _submit(self, job_id: jobs.JobId, body: bytes) -> bool:
        """Retry a submission until it is accepted or the time is over.

        Return whether it was accepted.
        """
        end_s = time.monotonic() + SUBMIT_TIMEOUT_S
        number = 0
        while time.monotonic() < end_s and not self._aborting.is_set():
            reply = self._cell.ask(
                'POST', f'/r1/{job_id}', body, number=number
            )
            if reply.status == 200:
                return True
            number = 1 - number
            time.sleep(RETRY_PAUSE_S)
        return False

    def _cancel(self, job_id: jobs.JobId) -> None:
        self._cancelled_ids.add(job_id)
        for number in (0, 1, 0, 1):
            reply = self._cell.ask('DELETE', f'/r1/{job_id}', number=number)
            if reply.status == 200:
                return
            if reply.status == 410:
                self._checker.add_violation(
                    f'{job_id} was accepted but is unknown'
                )
                return
            time.sleep(RETRY_PAUSE_S)
