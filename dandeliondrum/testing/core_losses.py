"""Losses of controllers as a command.

Example::

    python -m dandeliondrum.testing.core_losses --seed=1 --seeds=50
    python -m dandeliondrum.testing.core_losses --case=planned --seeds=3
    python -m dandeliondrum.testing.core_losses --power --seed=1 --seeds=50
"""

import pathlib
import sys
import tempfile

import fire

from dandeliondrum.testing import _core_losses
from dandeliondrum.testing import _losses_schedule

CASES = {
    'planned': _losses_schedule.PLANNED,
    'unplanned': _losses_schedule.UNPLANNED,
    'frozen': _losses_schedule.FROZEN,
    'power': _losses_schedule.POWER,
}
# The cells of different seeds have different addresses.
NETWORK = '127.{}'
FIRST_NETWORK = 16
NETWORKS_COUNT = 200


def main(
    seed: int = 1,
    seeds: int = 1,
    case: str = '',
    folder: str = '',
    power: bool = False,
) -> None:
    """Run schedules of consecutive seeds; exit with code 1 if one failed.

    With ``case``, run the schedule of that name, which does not depend on the
    seed. With ``power``, or in the case of this name, controllers also lose
    what they have not synced. For a failed run, print the folder with its
    logs, and its faults. The folders are made in ``folder``, by default that
    of temporary files.
    """
    if case and case not in CASES:
        sys.exit(f'unknown case {case}: expected {", ".join(CASES)}')
    failed = False
    for number in range(seed, seed + seeds):
        run_folder = pathlib.Path(
            tempfile.mkdtemp(prefix=f'losses-{number}-', dir=folder or None)
        )
        draw = _losses_schedule.draw_schedule
        if power:
            draw = _losses_schedule.draw_power_schedule
        schedule = CASES.get(case) or draw(number)
        network = NETWORK.format(FIRST_NETWORK + number % NETWORKS_COUNT)
        power_seed = number if power or case == 'power' else None
        outcome = _core_losses.run_core_losses(
            run_folder, schedule, network, power_seed
        )
        sys.stdout.write(_core_losses.describe(number, outcome) + '\n')
        if outcome.violations:
            failed = True
            sys.stdout.write(f'  logs: {run_folder}\n')
            sys.stdout.writelines(f'  {one}\n' for one in outcome.events)
        sys.stdout.flush()
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    fire.Fire(main)
