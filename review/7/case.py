"""A submission runs after its cancelling was acknowledged."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'kit-2'))

import cell as kit  # noqa: E402

WORKERS_COUNT = 8
FREEZE_S = 3.5
# The client leaves after half of the latency target of 500 ms.
PATIENCE_S = 0.25
CANCEL_MS = 3_000
# From the thaw on; longer than ContactMs, so that no disturbance is near.
WATCH_S = 10.0


def case(make_cell, with_trouble):
    # One of ten is a share of 0.1, below the largest dose of 0.11.
    cell = make_cell(gateways_count=10)
    cell.workers = [
        kit.Worker(cell, f'i-{number}', lambda *_: (None, ''))
        for number in range(WORKERS_COUNT)
    ]
    cell.start(kit.config(1, [kit.route(TargetLatencyMs=500)]))
    # Longer than ContactMs after the start, so that all are in touch.
    time.sleep(6.0)
    job_id = kit.job_id()
    body = {
        'Spec': 'service',
        'Steps': [
            {'Count': 1, 'Cpu': 1_000, 'MemMb': 512, 'LongRunning': True}
        ],
    }
    thaw = None
    if with_trouble:
        cell.signal('front-0', signal.SIGSTOP)
        thaw = threading.Timer(
            FREEZE_S, cell.signal, ('front-0', signal.SIGCONT)
        )
        thaw.start()
    cell.ask(0, 'POST', job_id, body, patience_s=PATIENCE_S)
    status, _ = cell.ask(1, 'DELETE', job_id)
    acked_s = cell.record.now_s()
    if status not in (200, 410):
        raise kit.NotRun(f'the cancelling was not acknowledged: {status}')
    if thaw is not None:
        thaw.join()
    time.sleep(WATCH_S)
    cell.ask(1, 'GET', job_id)
    for worker in cell.workers:
        running = worker.running()
        for at_s, task, run in worker.starts:
            after_s = at_s - acked_s
            if after_s > CANCEL_MS / 1000 or task in running:
                return (
                    f'UNASKED: {task} run {run} was started {after_s:.3f} s '
                    f'after the cancelling of {job_id} was acknowledged with '
                    f'{status}; at work {WATCH_S} s after the thaw: '
                    f'{task in running}'
                )
    return None


kit.run_case(case)
