"""A service is shown as failed once workers have crashed under it."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'kit-2'))

import cell as kit  # noqa: E402

WORKERS_COUNT = 8
CRASHES_COUNT = 3
DOWN_S = 1.5
# Time at work before each crash, and the time in which to be at work again.
AT_WORK_S = 7.0
RESTART_LIMIT_S = 14.0
WATCH_S = 9.0


def case(make_cell, with_trouble):
    cell = make_cell()
    cell.workers = [
        kit.Worker(cell, f'i-{number}', lambda *_: (None, ''))
        for number in range(WORKERS_COUNT)
    ]
    cell.start()
    job_id = kit.job_id()
    body = {
        'Spec': 'service',
        'Steps': [
            {'Count': 1, 'Cpu': 1_000, 'MemMb': 512, 'LongRunning': True}
        ],
    }
    status, _ = cell.ask(0, 'POST', job_id, body)
    if status != 200:
        raise kit.NotRun(f'not accepted: {status}')
    for _ in range(CRASHES_COUNT):
        worker = wait_until_at_work(cell)
        if worker is None:
            break
        time.sleep(AT_WORK_S)
        if with_trouble:
            worker.crash()
            time.sleep(DOWN_S)
            worker.start()
    until_s = time.monotonic() + WATCH_S
    states = set()
    while time.monotonic() < until_s:
        status, fields = cell.ask(1, 'GET', job_id)
        states.add((status, fields.get('State')))
        time.sleep(1.0)
    if any(state == 'failed' for _, state in states):
        return f'LOST: the service {job_id} is shown as failed'
    if not at_work(cell):
        return f'LOST: no task of the service {job_id} is at work'
    return None


def at_work(cell):
    return [worker for worker in cell.workers if worker.running()]


def wait_until_at_work(cell):
    until_s = time.monotonic() + RESTART_LIMIT_S
    while time.monotonic() < until_s:
        found = at_work(cell)
        if found:
            return found[0]
        time.sleep(0.05)
    return None


kit.run_case(case)
