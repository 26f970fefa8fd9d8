"""The chaos test as a command: random faults drawn from a seed.

Example::

    python -m dandeliondrum.testing.chaos --seed=7 --seconds=60
"""

import dataclasses
import json
import sys
import tempfile

import fire

from dandeliondrum.testing import _chaos


def chaos(seed: int = 1, seconds: float = 30.0, folder: str = '') -> None:
    """Run a cell under random faults and check its history.

    Prints one JSON object. Ends with exit code 1 when an invariant was
    violated. Logs stay in FOLDER if one is given.
    """
    with tempfile.TemporaryDirectory() as temporary:
        outcome = _chaos.run_chaos(folder or temporary, seed, seconds)
    fields = dataclasses.asdict(outcome)
    fields['violations'] = [str(one) for one in outcome.violations]
    print(json.dumps(fields, indent=1))
    sys.exit(1 if outcome.violations else 0)


def main() -> None:
    """Run the command line."""
    fire.Fire(chaos)


if __name__ == '__main__':
    main()
