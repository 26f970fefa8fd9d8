"""A worker is lost; submissions that never began aren't counted as pending."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'kit'))

import cell as kit  # noqa: E402

JOBS_COUNT = 4
WORK_MS = 20_000
# visible_ms and 2 s, after which a submission has to be counted.
COUNTED_AFTER_S = 5.0


def case(cell, workers, trouble):
    only = workers[0]
    accepted = {}

    def submit(number):
        job = cell.submit('figure', {
            'Spec': '{"work_ms": %d}' % WORK_MS,
            'Steps': [{'Count': 1, 'Cpu': 1000, 'MemMb': 500,
                       'EstimateMs': WORK_MS, 'Requirements': 'b'}],
        }, front=number)
        accepted[job] = time.monotonic()

    if trouble:
        only.go_dark()
    threads = [
        threading.Thread(target=submit, args=(number,))
        for number in range(JOBS_COUNT)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if len(accepted) < JOBS_COUNT:
        raise kit.CannotRun('not all submissions were accepted')
    broken = ''
    end = time.monotonic() + 16
    while time.monotonic() < end:
        time.sleep(1.0)
        begun = {task.split('.')[0] for w in workers for task, *_ in w.started}
        old = [job for job, at in accepted.items()
               if time.monotonic() - at > COUNTED_AFTER_S + 0.5]
        waiting = [job for job in old if job not in begun]
        for front in range(len(cell.fronts)):
            status, reply = cell.ask('GET', '/figure/', None, front)
            pending = reply.get('Pending')
            cell.record.write(
                f'client: GET /figure/ at front {front} -> {status} Pending '
                f'{pending}; {len(waiting)} older than 5.5 s have not begun')
            if status == 200 and waiting and pending < len(waiting) / 2:
                broken = (f'MIXED: Pending is {pending}, and {len(waiting)} '
                          f'submissions have not begun')
    for job in accepted:
        cell.record.write(f'client: GET {job} -> {cell.state("figure", job)}')
    return broken


kit.main(case, FOLDER, ['b'] + ['a'] * 7, [kit.route('figure')])
