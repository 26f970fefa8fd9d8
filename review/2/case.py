"""A submission that can never be done keeps free workers from another one.

Traffic: 20 urgent submissions within 3 s, of which one (5%) is a gang that is
larger than the whole service; then one submission of a less urgent queue,
which needs a worker of kind b. The workers of kind b are idle all the time.
"""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'kit'))

import cell as kit  # noqa: E402

URGENT_COUNT = 20
HOPELESS_NUMBER = 10
URGENT_GAP_S = 0.12
FINISH_S = 14.0
NOTHING_RUNS_S = 3.0
CPU = 16_000


def job(count, cpu, work_ms, **fields):
    return {
        'Spec': '{"work_ms": %d}' % work_ms,
        'Steps': [{'Count': count, 'Cpu': cpu, 'MemMb': 256,
                   'EstimateMs': work_ms, **fields}],
    }


def in_use(workers):
    """Return the cores in use, by what the workers run (1,000 each)."""
    return sum(1_000 * len(worker.running()) for worker in workers)


def case(cell, workers, trouble):
    # One small task on each worker of kind a, which has 15 cores left.
    cell.submit('figure', job(6, 1_000, 90_000, AntiAffinity=1,
                              Requirements='a'))
    time.sleep(2.0)
    for number in range(URGENT_COUNT):
        if trouble and number == HOPELESS_NUMBER:
            hopeless = job(40, 4_000, 30_000, Gang=True)
            cell.submit('status', hopeless, front=number)
        else:
            cell.submit('status', job(1, 1_000, 500), front=number)
        time.sleep(URGENT_GAP_S)
    time.sleep(1.0)
    other = cell.submit('figure', job(1, 1_000, 2_000, Requirements='b'))
    last_s = time.monotonic()
    begun_s = None
    while time.monotonic() - last_s < FINISH_S + NOTHING_RUNS_S + 1.0:
        time.sleep(0.1)
        if begun_s is None and any(
            task.startswith(other)
            for worker in workers for task, *_ in worker.started
        ):
            begun_s = time.monotonic() - last_s
    idle = [worker.id for worker in workers if worker.kind == 'b'
            and not worker.running()]
    used = in_use(workers)
    cell.record.write(
        f'{other}: first start '
        f'{"never" if begun_s is None else f"{begun_s:.2f} s"} after it was '
        f'accepted; {len(idle)} workers of kind b run nothing; '
        f'{used / CPU / len(workers):.0%} of the cores are in use')
    cell.record.write(f'client: GET {other} -> {cell.state("figure", other)}')
    for line in cell.log_lines(('still waiting', 'task waits', 'waiting')):
        if other in line:
            cell.record.write(f'log: {line}')
    if begun_s is None and idle and used < CPU * len(workers) / 2:
        return (f'LOST: {other} has nothing running from {FINISH_S:.0f} s to '
                f'{FINISH_S + NOTHING_RUNS_S + 1:.0f} s after the end of the '
                f'traffic, with {len(idle)} workers of its kind idle')
    return ''


kit.main(
    case, FOLDER, ['b'] * 3 + ['a'] * 6,
    [kit.route('figure', Priority=1),
     kit.route('status', Priority=0, TargetLatencyMs=500, Stretch=2.2)],
)
