"""The soak test as a command.

Example::

    python -m dandeliondrum.testing.soak --seed=1 --seeds=50 --seconds=20
"""

import pathlib
import sys
import tempfile

import fire

from dandeliondrum.testing import _soak


def main(seed: int = 1, seeds: int = 1, seconds: float = 20) -> None:
    """Run soaks with consecutive seeds; exit with code 1 if one failed.

    For a failed soak, print the folder with its logs and its faults.
    """
    failed = False
    for number in range(seed, seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{number}-'))
        options = _soak.SoakOptions(number, seconds, folder)
        outcome = _soak.run_soak(options)
        sys.stdout.write(_soak.describe(options, outcome) + '\n')
        if outcome.violations:
            failed = True
            sys.stdout.write(f'  logs: {folder}\n')
            sys.stdout.write(f'  faults: {", ".join(outcome.faults)}\n')
        sys.stdout.flush()
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    fire.Fire(main)
