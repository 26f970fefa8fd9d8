"""A controller that was frozen takes a restarted worker out of use for good.

The worker leaves as planned and starts again under its id. Its DELETE went
first to a controller that is frozen, then to another one, which acknowledged
it. The frozen controller delivers it after the worker has started again.
"""

import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'kit'))

import cell as kit  # noqa: E402

FREEZE_S = 4.0
# The worker serves for DrainMs after the acknowledgement and a little longer.
DRAIN_S = 2.7
RESTART_S = 0.5
FINISH_S = 14.0
NOTHING_RUNS_S = 3.0


def case(cell, workers, trouble):
    only = workers[0]
    frozen = (cell.leader() + 1) % len(cell.control)
    only.drain()
    time.sleep(DRAIN_S)
    frozen_at = time.monotonic()
    if trouble:
        cell.signal_controller(frozen, signal.SIGSTOP)
    only.sign_off(first=frozen)
    only.crash()
    time.sleep(RESTART_S)
    only.begin(same_id=True)
    time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    if trouble:
        cell.signal_controller(frozen, signal.SIGCONT)
    # ContactMs after the disruption all controllers are in touch again.
    time.sleep(4.0)
    job = cell.submit('figure', {
        'Spec': '{"work_ms": 1000}',
        'Steps': [{'Count': 1, 'Cpu': 1000, 'MemMb': 256, 'EstimateMs': 1000,
                   'Requirements': 'b'}],
    })
    accepted = time.monotonic()
    begun_s = None
    while time.monotonic() - accepted < FINISH_S + NOTHING_RUNS_S + 0.5:
        time.sleep(0.05)
        if begun_s is None and any(
            task.startswith(job) for task, *_ in only.started
        ):
            begun_s = time.monotonic() - accepted
    cell.record.write(
        f'{job}: first start '
        f'{"never" if begun_s is None else f"{begun_s:.2f} s"} after it was '
        f'accepted; {only.acknowledged_count} check-ins of worker {only.id} '
        f'were acknowledged since it began again')
    cell.record.write(f'client: GET {job} -> {cell.state("figure", job)}')
    if begun_s is None and only.acknowledged_count and not only.running():
        return (f'LOST: {job} has nothing running from {FINISH_S:.0f} s to '
                f'{FINISH_S + NOTHING_RUNS_S:.0f} s after the end of the '
                f'traffic, with an idle worker of its kind')
    return ''


kit.main(case, FOLDER, ['b'] + ['a'] * 7, [kit.route('figure')])
