"""A submission runs on after its cancelling was acknowledged."""

import json
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'kit-2'))

import cell as kit  # noqa: E402

WORKERS_COUNT = 8
# One front of ten is a share of 0.1, below the largest dose of 0.11.
FRONTS_COUNT = 10
LEADER_FREEZE_S = 0.4
LEADER_ROUNDS_COUNT = 6
FRONT_FREEZE_S = 3.5
# The client leaves after half of the latency target of 500 ms.
PATIENCE_S = 0.25
CANCEL_MS = 3_000
# From the end of a freeze on; longer than ContactMs, so that no disturbance is
# near, and than cancel_ms and StopTimeoutMs together.
WATCH_S = 5.0


def case(make_cell, with_trouble):
    cell = make_cell(gateways_count=FRONTS_COUNT)
    cell.workers = [
        kit.Worker(cell, f'i-{number}', lambda *_: (None, ''))
        for number in range(WORKERS_COUNT)
    ]
    cell.start(kit.config(1, [kit.route(TargetLatencyMs=500)]))
    time.sleep(6.0)
    found = []
    for _ in range(LEADER_ROUNDS_COUNT):
        frozen = f'core-{leader(cell)}'
        found += cancel_early(cell, frozen, LEADER_FREEZE_S, with_trouble)
        time.sleep(1.0)
    found += cancel_early(cell, 'front-0', FRONT_FREEZE_S, with_trouble)
    return '\n'.join(found)


def leader(cell):
    """Return the number of the controller that began to lead last."""
    newest = ('', 0)
    for number in range(len(cell.control)):
        for line in (cell.folder / f'core-{number}.log').open():
            if '"event": "leading"' in line:
                newest = max(newest, (json.loads(line)['time'], number))
    return newest[1]


def cancel_early(cell, frozen, freeze_s, with_trouble):
    """Hand in a service, leave and cancel it while a process is frozen.

    Returns how the rule was broken, if it was.
    """
    job_id = kit.job_id()
    body = {
        'Spec': 'service',
        'Steps': [
            {'Count': 1, 'Cpu': 1_000, 'MemMb': 512, 'LongRunning': True}
        ],
    }
    thaw = threading.Timer(freeze_s, cell.signal, (frozen, signal.SIGCONT))
    if with_trouble:
        cell.signal(frozen, signal.SIGSTOP)
        thaw.start()
    cell.ask(0, 'POST', job_id, body, patience_s=PATIENCE_S)
    status = None
    for _ in range(5):
        # As after any call without a clear response, at another front.
        status, _ = cell.ask(1, 'DELETE', job_id)
        if status in (200, 410):
            break
    else:
        raise kit.NotRun(f'the cancelling was not acknowledged: {status}')
    acked_s = cell.record.now_s()
    if with_trouble:
        thaw.join()
    time.sleep(WATCH_S)
    cell.ask(1, 'GET', job_id)
    for worker in cell.workers:
        running = worker.running()
        for at_s, task, run in worker.starts:
            if not task.startswith(job_id):
                continue
            after_s = at_s - acked_s
            if after_s > CANCEL_MS / 1000 or task in running:
                now_s = cell.record.now_s() - acked_s
                return [
                    f'UNASKED, {frozen} frozen: the cancelling of {job_id} was '
                    f'acknowledged with {status}; {task} run {run} was started '
                    f'{after_s:.3f} s after it; at work {now_s:.1f} s after '
                    f'it: {task in running}'
                ]
    return []


kit.run_case(case)
