"""Callers and operators of a soak, and what they may rely on."""

import json
import random
import threading
import time

from dandeliondrum import jobs
from dandeliondrum.testing import _platform_cell
from dandeliondrum.testing import _soak_judge

SUBMIT_EVERY_S = 0.25
DOCUMENT_EVERY_S = 1.0
RETRY_PAUSE_S = 0.3
# Sent again for so long; a cell without a leader needs a few seconds.
SUBMIT_TIMEOUT_S = 20
CANCELLED_PART = 0.15
# What a task is said to take; workers of a soak take about as long.
TASK_ESTIMATE_MS = 700
TASK_CPU = (500, 1_500)
TASKS_MAX = 3
# A controller with an empty disk votes again by then.
CATCH_UP_S = 5
ENDED = ('completed', 'failed', 'cancelled')


class SoakCallers:
    """Submit jobs and change documents until :meth:`stop` is called."""

    def __init__(
        self,
        cell: _platform_cell.PlatformCell,
        judge: _soak_judge.Judge,
        seed: int,
        stopping: threading.Event,
    ) -> None:
        self._cell = cell
        self._judge = judge
        self._seed = seed
        self._aborted = stopping
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._accepted: list[jobs.JobId] = []
        self._cancelled: set[jobs.JobId] = set()
        self._jobs_count = 0
        self._version = 0
        self._acknowledged = 0

    def jobs_count(self) -> int:
        """Return how many jobs were submitted."""
        return self._jobs_count

    def accepted_count(self) -> int:
        """Return how many jobs were accepted."""
        return len(self._accepted)

    def stop(self) -> None:
        """Submit nothing new."""
        self._stopping.set()

    def submit_jobs(self) -> None:
        """Submit jobs one after the other, and cancel some."""
        chance = random.Random(f'{self._seed}/{threading.get_ident()}')
        while not self._stopping.wait(SUBMIT_EVERY_S):
            with self._lock:
                self._jobs_count += 1
                job_id = jobs.JobId(f'{self._seed:08x}{self._jobs_count:08x}')
            cpu = chance.randint(*TASK_CPU)
            text = _soak_judge.payload(cpu)
            count = chance.randint(1, TASKS_MAX)
            step = {
                'Count': count,
                'Cpu': cpu,
                'MemMb': 1,
                'EstimateMs': TASK_ESTIMATE_MS,
            }
            later = {**step, 'After': [0]}
            body = {
                'Spec': text,
                'Steps': [step, later] if chance.random() < 0.3 else [step],
            }
            self._judge.submitted(job_id, text)
            if not self._submit(job_id, json.dumps(body).encode()):
                continue
            with self._lock:
                self._accepted.append(job_id)
            if chance.random() < CANCELLED_PART:
                self._cancel(job_id)

    def change_documents(self) -> None:
        """Put a new version in force now and then."""
        while not self._stopping.wait(DOCUMENT_EVERY_S):
            self.send_document()

    def send_document(self) -> int:
        """Send the next version to the controllers until one takes it."""
        self._version += 1
        body = _platform_cell.document(self._version)
        status = 0
        for number in range(len(self._cell.control)):
            status = self._cell.put_document(body, number)
            if status == 200:
                self._acknowledged = self._version
                break
            if status == 400:
                self._judge.add(f'a valid document was refused: {status}')
        return status

    def settle(self, timeout_s: float) -> None:
        """Wait until each accepted job has ended, and check how."""
        end_s = time.monotonic() + timeout_s
        waiting = list(self._accepted)
        while waiting and time.monotonic() < end_s:
            waiting = [one for one in waiting if not self._has_ended(one)]
            time.sleep(RETRY_PAUSE_S)
        for job_id in waiting:
            self._judge.add(f'{job_id} was accepted and has no end')
        self._check_documents(end_s)

    def _has_ended(self, job_id: jobs.JobId) -> bool:
        reply = self._cell.ask('GET', f'/r1/{job_id}')
        if reply.status == 410:
            self._judge.add(f'{job_id} was accepted and is not known')
            return True
        if reply.status != 200:
            return False
        state = reply.json()['State']
        if state == 'cancelled' and job_id not in self._cancelled:
            self._judge.add(f'{job_id} is cancelled and nobody asked for it')
        return state in ENDED

    def _check_documents(self, end_s: float) -> None:
        for number in range(len(self._cell.control)):
            reply = self._cell.read_document(number)
            while reply.status != 200 and time.monotonic() < end_s:
                time.sleep(RETRY_PAUSE_S)
                reply = self._cell.read_document(number)
            if reply.status != 200:
                self._judge.add(f'no document at controller {number}')
            elif reply.json()['Version'] < self._acknowledged:
                self._judge.add(f'an old document at controller {number}')

    def _submit(self, job_id: jobs.JobId, body: bytes) -> bool:
        """Send until the answer is final; return whether it was accepted."""
        end_s = time.monotonic() + SUBMIT_TIMEOUT_S
        number = 0
        while time.monotonic() < end_s and not self._aborted.is_set():
            reply = self._cell.ask(
                'POST', f'/r1/{job_id}', body, number=number
            )
            if reply.status == 200:
                return True
            number = 1 - number
            time.sleep(RETRY_PAUSE_S)
        return False

    def _cancel(self, job_id: jobs.JobId) -> None:
        self._cancelled.add(job_id)
        for number in (0, 1, 0, 1):
            reply = self._cell.ask('DELETE', f'/r1/{job_id}', number=number)
            if reply.status == 200:
                return
            if reply.status == 410:
                self._judge.add(f'{job_id} was accepted and is not known')
                return
            time.sleep(RETRY_PAUSE_S)
