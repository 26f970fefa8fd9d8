"""Workers start again, carry out calls of before, and are cut off at once.

Real controllers and a gateway with fake workers. While the workers are down,
calls to them are kept, and their next incarnations carry them out. These are
cut off soon after, and their runs go on for longer than the leases.
"""

import concurrent.futures
import contextlib
import json
import threading
import time

import pytest

from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum.testing import _platform_cell
from dandeliondrum.testing import _soak_checker
from dandeliondrum.testing import _soak_reports

WORKERS_COUNT = 8
CUT_OFF_COUNT = 4
CAPACITY = messages.Resources(4_000, 100_000)
TASK_CPU = 100
TASK_MS = 60_000
PAYLOAD = _soak_checker.payload(TASK_CPU)
DOWN_S = 0.6
CUT_S = 9.0
SUBMIT_EVERY_S = 0.02
OPEN_TIMEOUT_MS = 40_000


class _Cell:
    """A cell that serves, and a checker of its workers."""

    def __init__(self, folder, processes, resources):
        self.checker = _soak_checker.InvariantChecker()
        self.workers = [
            _soak_checker.CheckedWorker(
                f'i-{number}',
                CAPACITY,
                TASK_MS,
                self.checker,
                _platform_cell.LEASE_MAX_MS,
            )
            for number in range(WORKERS_COUNT)
        ]
        self.cell = resources.enter_context(
            testing.PlatformCell(folder, processes, list(self.workers))
        )
        resources.callback(processes.kill_all)
        self._stopping = threading.Event()
        reporter = _soak_reports.WorkerReporter(
            self.cell, self._stopping, self.checker.reported
        )
        executor = resources.enter_context(
            concurrent.futures.ThreadPoolExecutor(WORKERS_COUNT)
        )
        resources.callback(self._stopping.set)
        for number in range(WORKERS_COUNT):
            executor.submit(reporter.run, number)
        self._jobs_count = 0

    def open(self):
        """Wait until jobs are accepted and started."""
        testing.wait_until(
            lambda: (
                self.cell.put_document(testing.document()) == 200
                and self.cell.ready()
            ),
            OPEN_TIMEOUT_MS,
        )
        self.submit()
        testing.wait_until(lambda: self.checker.starts_count, OPEN_TIMEOUT_MS)

    def submit(self):
        self._jobs_count += 1
        job_id = jobs.JobId(f'{self._jobs_count:016x}')
        step = {
            'Count': 1,
            'Cpu': TASK_CPU,
            'MemMb': 1,
            'EstimateMs': TASK_MS,
        }
        self.checker.submitted(job_id, PAYLOAD)
        body = json.dumps({'Spec': PAYLOAD, 'Steps': [step]}).encode()
        self.cell.ask('POST', f'/r1/{job_id}', body)

    def submit_for(self, length_s):
        end_s = time.monotonic() + length_s
        while time.monotonic() < end_s:
            self.submit()
            time.sleep(SUBMIT_EVERY_S)

    def kill_leader(self):
        """Kill the controller that began to lead last, and restart it."""
        newest = (0, '')
        for number in range(len(self.cell.control)):
            name = self.cell.controller(number)
            for entry in self.cell.processes.log(name):
                if entry['event'] == 'leading':
                    newest = max(newest, (entry['term'], name))
        self.cell.processes.kill(newest[1])
        self.cell.processes.restart(newest[1])

    def advance(self):
        """End due runs also on workers that get no calls."""
        for worker in self.workers:
            worker.running()


@pytest.fixture
def cell(tmp_path):
    with contextlib.ExitStack() as resources:
        processes = resources.enter_context(testing.Processes(tmp_path))
        made = _Cell(tmp_path, processes, resources)
        made.open()
        yield made


@pytest.mark.parametrize('kills', [False, True], ids=['', 'leader-killed'])
@pytest.mark.parametrize('back_s', [0.1, 0.3])
def test_no_task_runs_twice_when_a_worker_is_cut_off_after_its_restart(
    back_s, kills, cell
):
    """Regression test: tasks ran on two workers (TWICE), also with kills."""
    lost = cell.workers[:CUT_OFF_COUNT]
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        submitted = executor.submit(cell.submit_for, DOWN_S + back_s)
        time.sleep(0.2)
        for worker in lost:
            worker.go_dark()
        time.sleep(DOWN_S)
        for worker in lost:
            worker.come_back()
        if kills:
            cell.kill_leader()
        time.sleep(back_s)
        for worker in lost:
            worker.silent = True
        submitted.result()
    end_s = time.monotonic() + CUT_S
    while time.monotonic() < end_s:
        cell.advance()
        time.sleep(0.02)
    assert cell.checker.violations == []
    assert cell.checker.starts_count > len(lost)
