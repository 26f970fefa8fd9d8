"""A task runs on two workers after one of them has started again."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'kit-2'))

import cell as kit  # noqa: E402

WORKERS_COUNT = 8
ROUNDS_COUNT = 6
TASKS_COUNT = 40
TASK_S = 9.0
# One way between two regions.
DISTANCE_MS = 20
# The worker crashes when it has begun this many runs of a round.
CRASH_AFTER_STARTS = 4
DOWN_S = 0.6
# Time between the start of its next life and the cut, and length of the cut.
CUT_AFTER_S = 0.15
CUT_S = 5.5


class Trouble:
    """Crashes one worker a round, and cuts it off soon after it is back."""

    def __init__(self):
        self.is_armed = False
        self._starts = {}
        self._lock = threading.Lock()

    def arm(self):
        with self._lock:
            self._starts = {}
            self.is_armed = True

    def note_start(self, worker):
        with self._lock:
            if not self.is_armed:
                return
            self._starts[worker] = self._starts.get(worker, 0) + 1
            if self._starts[worker] < CRASH_AFTER_STARTS:
                return
            self.is_armed = False
        threading.Thread(target=self._strike, args=(worker,)).start()

    def _strike(self, worker):
        worker.crash()
        time.sleep(DOWN_S)
        worker.start()
        time.sleep(CUT_AFTER_S)
        worker.cut()
        time.sleep(CUT_S)
        worker.join()


def case(make_cell, with_trouble):
    cell = make_cell()
    trouble = Trouble()
    found = []

    def add_worker(number):
        def work(task, run, _spec):
            for other in cell.workers:
                # Read without its lock, since this worker's lock is held.
                at_work = other._runs.get(task) if other.is_up else None
                if other is not worker and at_work is not None:
                    found.append(
                        f'TWICE: {task} run {run} was started on {worker.id} '
                        f'while run {at_work.run} was at work on {other.id}'
                    )
                    cell.record.write('case', 'two runs', text=found[-1])
            trouble.note_start(worker)
            return TASK_S, 'done'

        worker = kit.Worker(cell, f'i-{number}', work, distance_ms=DISTANCE_MS)
        cell.workers.append(worker)

    for number in range(WORKERS_COUNT):
        add_worker(number)
    cell.start()
    time.sleep(5.0)
    for _ in range(ROUNDS_COUNT):
        job_id = kit.job_id()
        body = {
            'Spec': 'batch',
            'Steps': [
                {
                    'Count': TASKS_COUNT,
                    'Cpu': 1_000,
                    'MemMb': 512,
                    'EstimateMs': int(TASK_S * 1000),
                }
            ],
        }
        if with_trouble:
            trouble.arm()
        if cell.ask(0, 'POST', job_id, body)[0] != 200:
            raise kit.NotRun('not accepted')
        time.sleep(CUT_S + 4.5)
        cell.ask(0, 'DELETE', job_id)
        if found:
            break
        time.sleep(3.0)
    return found[0] if found else None


kit.run_case(case)
