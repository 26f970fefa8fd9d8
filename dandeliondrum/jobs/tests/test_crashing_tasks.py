"""Tasks that crash their workers, and crashes for no task's fault."""

import contextlib
import dataclasses
import threading

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import test_cell
from dandeliondrum import testing

WORKERS_COUNT = 6
RUN_MS = 250
DOWN_MS = 500
# Longer than a worker is down, so that a crash is not taken for a silence.
LEASE_MS = 4_000
REPORT_EVERY_S = 0.05
DEADLY = 'deadly'
# Three crashes, and fewer than three starts after them.
STARTS_MAX = 5
LOSSES_COUNT = 3
ROUNDS_COUNT = 4


class CrashingCell(test_cell.Cell):
    """A cell whose workers report themselves when they are back."""

    def __init__(self, folder, resources, lease_ms, returns_replaced):
        super().__init__(
            folder, resources, lease_ms=lease_ms, workers_count=WORKERS_COUNT
        )
        for worker in self.fleet:
            worker.run_ms = RUN_MS
            worker.down_ms = DOWN_MS
            worker.deadly_payloads = {DEADLY}
            worker.returns_replaced = returns_replaced

    def open_reporting(self):
        self.open()
        stopping = threading.Event()
        thread = threading.Thread(target=self._report_changes, args=[stopping])
        thread.start()
        self.resources.callback(thread.join)
        self.resources.callback(stopping.set)

    def _report_changes(self, stopping):
        reported = {worker.ids[0]: worker.facts for worker in self.fleet}
        sequence = WORKERS_COUNT
        while not stopping.wait(REPORT_EVERY_S):
            for worker in self.fleet:
                is_back = not worker.is_down() and not worker.silent
                if is_back and worker.facts != reported[worker.ids[0]]:
                    sequence += 1
                    reported[worker.ids[0]] = worker.facts
                    self.report(worker, sequence)

    def submit_deadly(self, name):
        spec = dataclasses.replace(
            helpers.job(name, helpers.step(), submitted_ms=1), payload=DEADLY
        )
        testing.wait_until(
            lambda: self.gateway.submit(spec, 2_000).value_or(None)
        )

    def starts_count(self, name):
        return [task for task, _ in self.starts()].count(f'{name}.0.0.0')

    def crashes_count(self):
        return sum(worker.crashes_count for worker in self.fleet)

    def busy_workers(self):
        """Return the workers that run tasks, fewest crashes first."""
        busy = [worker for worker in self.fleet if worker.running()]
        return sorted(busy, key=lambda worker: worker.crashes_count)

    def wait_given_up(self, name):
        """Wait until a job has failed or was started too often."""
        testing.wait_until(
            lambda: (
                self.phase(name) is jobs.JobPhase.FAILED
                or self.starts_count(name) > STARTS_MAX
            )
        )
        assert self.starts_count(name) <= STARTS_MAX
        assert self.phase(name) is jobs.JobPhase.FAILED

    def wait_worker_of(self, name):
        """Return the worker that runs the only task of a job."""
        return testing.wait_until(
            lambda: next(
                (
                    worker
                    for worker in self.fleet
                    if f'{name}.0.0.0' in worker.running()
                ),
                None,
            )
        )


@pytest.fixture
def make_cell(tmp_path):
    with contextlib.ExitStack() as resources:

        def make(returns_replaced=True, lease_ms=LEASE_MS):
            cell = CrashingCell(
                tmp_path, resources, lease_ms, returns_replaced
            )
            cell.open_reporting()
            return cell

        yield make


def _submit_innocent(cell, prefix, count):
    names = [f'{prefix}{number}' for number in range(count)]
    for name in names:
        cell.submit(name, helpers.step(2))
    return names


@pytest.mark.parametrize('returns_replaced', [False, True])
def test_a_task_that_crashes_its_workers_is_not_started_for_ever(
    returns_replaced, make_cell
):
    cell = make_cell(returns_replaced)
    innocent = _submit_innocent(cell, 'a', 6)
    cell.submit_deadly('d')
    innocent += _submit_innocent(cell, 'b', 6)
    cell.wait_given_up('d')
    innocent += _submit_innocent(cell, 'c', 3)
    for name in innocent:
        cell.wait_done(name)
    starts_count = cell.starts_count('d')
    assert cell.crashes_count() == starts_count <= STARTS_MAX


def test_several_tasks_that_crash_their_workers_are_not_started_for_ever(
    make_cell,
):
    cell = make_cell()
    innocent = _submit_innocent(cell, 'a', 3)
    deadly = [f'd{number}' for number in range(4)]
    for name in deadly:
        cell.submit_deadly(name)
    innocent += _submit_innocent(cell, 'b', 3)
    for name in deadly:
        cell.wait_given_up(name)
    for name in innocent:
        cell.wait_done(name)


@pytest.mark.parametrize('returns_replaced', [False, True])
def test_crashes_under_a_task_still_count_after_the_leader_is_lost(
    returns_replaced, make_cell
):
    cell = make_cell(returns_replaced)
    cell.submit_deadly('d')
    innocent = _submit_innocent(cell, 'a', 6)
    testing.wait_until(lambda: cell.crashes_count() == 2)
    cell.crash(cell.wait_leader())
    cell.wait_given_up('d')
    for name in innocent:
        cell.wait_done(name)


@pytest.mark.parametrize('returns_replaced', [False, True])
def test_workers_that_crash_for_no_fault_of_a_task_fail_no_job(
    returns_replaced, make_cell
):
    cell = make_cell(returns_replaced)
    for number in range(ROUNDS_COUNT):
        names = _submit_innocent(cell, f'{number}-', 6)
        for _ in range(2):
            testing.wait_until(cell.busy_workers)[0].crash()
        for name in names:
            cell.wait_done(name)
    assert cell.crashes_count() == 2 * ROUNDS_COUNT


def test_a_job_whose_workers_are_lost_one_after_the_other_is_not_failed(
    make_cell,
):
    cell = make_cell(lease_ms=1_000)
    for worker in cell.fleet:
        worker.run_ms = 2_000
    cell.submit('j', helpers.step())
    innocent = _submit_innocent(cell, 'a', 3)
    for _ in range(LOSSES_COUNT):
        worker = cell.wait_worker_of('j')
        worker.silent = True
        testing.wait_until(lambda lost=worker: 'j.0.0.0' not in lost.running())
    for name in ['j', *innocent]:
        cell.wait_done(name)
    assert cell.starts_count('j') == LOSSES_COUNT + 1


@pytest.mark.parametrize('drains', [False, True])
def test_a_job_whose_workers_drain_or_leave_is_not_failed(drains, make_cell):
    cell = make_cell()
    for worker in cell.fleet:
        worker.run_ms = 1_500
    cell.submit('j', helpers.step())
    for number in range(LOSSES_COUNT):
        worker = cell.wait_worker_of('j')
        ready = worker.facts
        if drains:
            worker.facts = dataclasses.replace(
                ready, phase=jobs.WorkerPhase.DRAINING
            )
            cell.report(worker, 1_000 + number)
        else:
            controller = cell.any_controller()
            testing.wait_until(
                lambda left=ready, via=controller: via.report_worker_shutdown(
                    left.worker_id, 1_000
                ).value_or(None)
            )
        worker.facts = ready
        worker.crash()
    cell.wait_done('j')
    assert cell.starts_count('j') == LOSSES_COUNT + 1
