"""The callers and operators of a soak, with checks of their replies."""

import collections.abc
import contextlib
import dataclasses
import json
import random
import threading
import time

from dandeliondrum import jobs
from dandeliondrum.testing import _http
from dandeliondrum.testing import _platform_cell
from dandeliondrum.testing import _soak_checker

SUBMIT_EVERY_S = 0.25
DOCUMENT_EVERY_S = 1.0
RETRY_PAUSE_S = 0.3
# A submission is retried for this time, as electing a leader takes seconds.
SUBMIT_TIMEOUT_S = 20
CANCELLED_FRACTION = 0.15
CANCEL_ATTEMPTS = 4
# The estimated run time of a task, close to the actual one in a soak.
TASK_ESTIMATE_MS = 700
TASK_CPU = (500, 1_500)
TASKS_MAX = 3
# A controller with an empty disk is a voter again within this time.
CATCH_UP_S = 5
END_STATES = ('completed', 'failed', 'cancelled')
# Operators try the next controller after this time without a reply.
DOCUMENT_TIMEOUT_MS = 1_000
DOCUMENT_RETRY_S = 0.1


@dataclasses.dataclass(frozen=True)
class SoakJob:
    """A job to submit; ``cancels`` tells whether it is then cancelled.

    The task of a deadly job crashes the workers that start it.
    """

    job_id: jobs.JobId
    payload: str
    body: bytes
    cancels: bool
    deadly: bool


def soak_jobs(
    seed: int, caller: int, deadly_share: float = 0
) -> collections.abc.Iterator[SoakJob]:
    """Return the jobs of a caller, which depend on nothing but the seed.

    The jobs that are not deadly are the same for each share of deadly ones.
    """
    rng = random.Random(f'{seed}/{caller}')
    deadly_rng = random.Random(f'{seed}/{caller}/deadly')
    for number in range(1, 1 << 24):
        cpu = rng.randint(*TASK_CPU)
        step = {
            'Count': rng.randint(1, TASKS_MAX),
            'Cpu': cpu,
            'MemMb': 1,
            'EstimateMs': TASK_ESTIMATE_MS,
        }
        second_step = {**step, 'After': [0]}
        steps = [step, second_step] if rng.random() < 0.3 else [step]
        deadly = deadly_rng.random() < deadly_share
        if deadly:
            steps = [{**step, 'Count': 1}]
        payload = _soak_checker.payload(cpu, deadly)
        yield SoakJob(
            jobs.JobId(f'{seed:08x}{caller:02x}{number:06x}'),
            payload,
            json.dumps({'Spec': payload, 'Steps': steps}).encode(),
            rng.random() < CANCELLED_FRACTION,
            deadly,
        )


class SoakCallers:
    """Submits jobs and changes documents until :meth:`stop` is called.

    ``stopping`` aborts pending submissions. ``deadly_share`` is the share of
    deadly jobs.
    """

    def __init__(
        self,
        cell: _platform_cell.PlatformCell,
        checker: _soak_checker.InvariantChecker,
        seed: int,
        stopping: threading.Event,
        deadly_share: float = 0,
    ) -> None:
        self._cell = cell
        self._checker = checker
        self._seed = seed
        self._deadly_share = deadly_share
        self._aborting = stopping
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._document_lock = threading.Lock()
        self._accepted_ids: list[jobs.JobId] = []
        self._cancelled_ids: set[jobs.JobId] = set()
        self._latest_version = 0
        self._acknowledged_version = 0

    def accepted_count(self) -> int:
        """Return the number of accepted jobs."""
        return len(self._accepted_ids)

    def stop(self) -> None:
        """Stop submitting jobs and changing documents."""
        self._stopping.set()

    def submit_jobs(self, caller: int) -> None:
        """Submit jobs one after another, and cancel some of them.

        The caller keeps its connections open until a gateway closes them.
        """
        with contextlib.closing(_http.HttpClient()) as client:
            for job in soak_jobs(self._seed, caller, self._deadly_share):
                if self._stopping.wait(SUBMIT_EVERY_S):
                    return
                self._checker.submitted(job.job_id, job.payload, job.deadly)
                if self._submit(job, client, caller):
                    self.add_accepted(job.job_id)
                    if job.cancels:
                        self._cancel(job.job_id, client, caller)

    def add_accepted(self, job_id: jobs.JobId) -> None:
        """Add a job that was accepted, so that it has to end."""
        with self._lock:
            self._accepted_ids.append(job_id)

    def change_documents(self) -> None:
        """Send a new version of the document at regular intervals."""
        while not self._stopping.wait(DOCUMENT_EVERY_S):
            self.send_document()

    def send_document(self) -> int:
        """Send the next version of the document to each controller in turn.

        Return the last status, 200 once a controller has accepted it.
        """
        with self._document_lock:
            self._latest_version += 1
            return self._put_document(self._latest_version)

    def acknowledged_after_s(self, timeout_s: float) -> float | None:
        """Send a new version until it is accepted; return how long it took.

        Return None if no controller accepts it within the timeout.
        """
        began_s = time.monotonic()
        with self._document_lock:
            self._latest_version += 1
            while time.monotonic() - began_s < timeout_s:
                if self._put_document(self._latest_version) == 200:
                    return time.monotonic() - began_s
                time.sleep(DOCUMENT_RETRY_S)
        return None

    def _put_document(self, version: int) -> int:
        body = _platform_cell.document(version)
        status = 0
        for number in range(len(self._cell.control)):
            status = self._cell.put_document(body, number, DOCUMENT_TIMEOUT_MS)
            if status == 200:
                self._acknowledged_version = version
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
        with contextlib.closing(_http.HttpClient()) as client:
            while waiting and time.monotonic() < end_s:
                waiting = [
                    one for one in waiting if not self._has_ended(one, client)
                ]
                time.sleep(RETRY_PAUSE_S)
        for job_id in waiting:
            self._checker.add_violation(
                f'{job_id} was accepted but did not end'
            )
        self._check_documents(end_s)

    def _has_ended(self, job_id: jobs.JobId, client: _http.HttpClient) -> bool:
        reply = self._cell.ask('GET', f'/r1/{job_id}', client=client)
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
        if state == 'failed':
            self._checker.shown_as_failed(job_id)
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

    def _submit(
        self, job: SoakJob, client: _http.HttpClient, first: int
    ) -> bool:
        """Retry a submission until it is accepted or the time is over.

        Each attempt is made at the next gateway, from number ``first`` on.
        Return whether it was accepted.
        """
        end_s = time.monotonic() + SUBMIT_TIMEOUT_S
        number = first
        while time.monotonic() < end_s and not self._aborting.is_set():
            reply = self._cell.ask(
                'POST',
                f'/r1/{job.job_id}',
                job.body,
                number=number % len(self._cell.callers),
                client=client,
            )
            if reply.status == 200:
                return True
            number += 1
            time.sleep(RETRY_PAUSE_S)
        return False

    def _cancel(
        self, job_id: jobs.JobId, client: _http.HttpClient, first: int
    ) -> None:
        self._cancelled_ids.add(job_id)
        for number in range(first, first + CANCEL_ATTEMPTS):
            reply = self._cell.ask(
                'DELETE',
                f'/r1/{job_id}',
                number=number % len(self._cell.callers),
                client=client,
            )
            if reply.status == 200:
                return
            if reply.status == 410:
                self._checker.add_violation(
                    f'{job_id} was accepted but is unknown'
                )
                return
            time.sleep(RETRY_PAUSE_S)
