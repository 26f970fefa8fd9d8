"""Tasks that crash each worker that starts them."""

import contextlib
import threading
import time

import pytest

from dandeliondrum import testing
from dandeliondrum import worker

DEADLY = 'deadly'
WORKERS_COUNT = 3
BACK_AFTER_S = 0.5
CRASH_AT_START = f"""
import os
from dandeliondrum.worker import _runner

_execute = _runner.Runner._execute


def _execute_or_crash(self, attempt):
    if b'{DEADLY}' in attempt.call.body:
        os._exit(1)
    return _execute(self, attempt)


_runner.Runner._execute = _execute_or_crash
"""


@contextlib.contextmanager
def crashed_workers_restarted(cell):
    stopping = threading.Event()

    def run():
        while not stopping.wait(BACK_AFTER_S):
            for name in cell.workers:
                if not cell.processes.is_running(name):
                    cell.processes.restart(name)

    thread = threading.Thread(target=run)
    thread.start()
    try:
        yield
    finally:
        stopping.set()
        thread.join()


@pytest.fixture
def rules_text(rules_text):
    """Return rules with leases that outlast the restart of a worker."""
    return rules_text.replace('1500', '8000')


@pytest.fixture
def cell(make_cell):
    cell = make_cell(WORKERS_COUNT, broken_by={'worker': CRASH_AT_START})
    with crashed_workers_restarted(cell):
        yield cell


def deadly_starts_count(cell):
    return sum(
        event.kind is worker.EventKind.START
        and event.task_id == f'harbour/{DEADLY}'
        for event in cell.journals()
    )


def test_a_deadly_durable_task_ends_and_costs_the_others_no_answer(cell, keys):
    key = keys['harbour'].text
    tasks = [
        {
            'request_id': f'innocent{i}',
            'idempotent': True,
            'body': {'run_ms': 1_000},
        }
        for i in range(30)
    ]
    deadly = {
        'request_id': DEADLY,
        'idempotent': True,
        'body': {'echo': DEADLY},
    }
    assert cell.submit_job(key, [*tasks, deadly]).status == 202
    testing.wait_until(lambda: cell.state_of(key, DEADLY) == 'failed', 60_000)
    status = cell.ask(key, f'tasks/{DEADLY}').json()
    assert status['detail'] == 'worker crashed repeatedly'
    assert deadly_starts_count(cell) <= 4
    for i in range(30):
        testing.wait_until(
            lambda n=i: cell.state_of(key, f'innocent{n}') == 'done'
        )


def test_the_caller_of_a_deadly_task_is_told_before_its_deadline(cell, keys):
    key = keys['harbour'].text
    begun_s = time.monotonic()
    reply = cell.run_task(
        {'echo': DEADLY},
        key,
        timeout_ms=60_000,
        request_id=DEADLY,
        idempotent='true',
    )
    assert time.monotonic() - begun_s < 50
    assert reply.headers['dandeliondrum-outcome'] == 'in_doubt'
    assert b'worker crashed repeatedly' in reply.body
    assert deadly_starts_count(cell) == 3
