"""A worker goes down and up three times; its job is then shown as failed."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'kit'))

import cell as kit  # noqa: E402

CRASHES_COUNT = 3
UP_S = 1.5
DOWN_S = 3.0
WORK_MS = 5_000


def case(cell, workers, trouble):
    flaky = workers[0]
    job = cell.submit('figure', {
        'Spec': '{"work_ms": %d}' % WORK_MS,
        'Steps': [{'Count': 1, 'Cpu': 1000, 'MemMb': 500,
                   'EstimateMs': WORK_MS, 'Requirements': 'b'}],
    })
    if trouble:
        for _ in range(CRASHES_COUNT):
            end = time.monotonic() + 12
            while not flaky.running() and time.monotonic() < end:
                time.sleep(0.05)
            time.sleep(UP_S)
            flaky.crash()
            time.sleep(DOWN_S)
            flaky.begin()
    # From here on all workers stay up.
    seen = ''
    end = time.monotonic() + 25
    while time.monotonic() < end:
        status, seen = cell.state('figure', job)
        cell.record.write(f'client: GET {job} -> {status} {seen}')
        if seen in ('completed', 'failed', 'cancelled'):
            break
        time.sleep(0.5)
    for line in cell.log_lines(('given up', 'worker crashed')):
        cell.record.write(f'log: {line}')
    failures = [one for w in workers for one in w.ended if one[2] == 'failed']
    if seen == 'failed' and not failures:
        return (f'LOST: {job} is shown as failed; {len(failures)} runs ended '
                f'failed, MaxAttempts is 4')
    if seen != 'completed':
        return f'LOST: {job} is {seen!r} 25 s after the last disruption'
    return ''


kit.main(case, FOLDER, ['b'] + ['a'] * 7, [kit.route('figure')])
