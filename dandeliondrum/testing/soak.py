"""The soak test as a command.

Example::

    python -m dandeliondrum.testing.soak --seed=1 --seeds=50 --seconds=20
    python -m dandeliondrum.testing.soak --size=medium --overload=5
    python -m dandeliondrum.testing.soak --size=large --overload=5
"""

import dataclasses
import pathlib
import sys
import tempfile

import fire

from dandeliondrum.testing import _soak
from dandeliondrum.testing import _soak_size


def main(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20,
    size: str = 'small',
    gateways: int = 0,
    workers: int = 0,
    overload: float = 0,
    series: bool = True,
    shrinks: bool = False,
    recuts: bool = False,
    evacuations: bool = False,
    crowds: bool = False,
    deadly: float = 0,
    uneven: bool = False,
    power: bool = False,
    starts: bool = False,
    folder: str = '',
) -> None:
    """Run soaks with consecutive seeds; exit with code 1 if one failed.

    For a failed soak, print the folder with its logs and its faults. The
    folders are made in ``folder``, by default that of temporary files. The
    size is ``small``, ``medium`` or ``large``, with other numbers of gateways
    and workers if they are given. A soak that exceeds the limits of the
    machine is not started. With ``shrinks``, the capacity of workers shrinks
    at times; with ``recuts`` workers are cut off soon after they have started
    again, and meet calls of before; with ``evacuations`` failure domains are
    evacuated for a while; with ``crowds`` clients that nobody controls press
    at ports of gateways and controllers; ``deadly`` is the share of jobs that
    crash the workers that start them; with ``uneven`` every fourth worker
    takes more than twice as long; with ``power`` killed controllers lose what
    they have not synced; with ``starts`` starts of processes are disturbed by
    signals, ports and settings. Half-way, the cell is held over its capacity
    for ``overload`` seconds, for which ``small`` has too few gateways.
    """
    if size not in _soak_size.SIZES:
        sys.exit(
            f'unknown size {size}: expected {", ".join(_soak_size.SIZES)}'
        )
    chosen = _soak_size.SIZES[size]
    chosen = dataclasses.replace(
        chosen,
        gateways_count=gateways or chosen.gateways_count,
        workers_count=workers or chosen.workers_count,
    )
    problem = _soak_size.check_this_machine(chosen)
    if problem is not None:
        sys.exit(f'not started: {problem}')
    failed = False
    for number in range(seed, seed + seeds):
        options = _soak.SoakOptions(
            number,
            seconds,
            pathlib.Path(
                tempfile.mkdtemp(prefix=f'soak-{number}-', dir=folder or None)
            ),
            series=series,
            overload_s=overload,
            shrinks=shrinks,
            recuts=recuts,
            evacuations=evacuations,
            crowds=crowds,
            deadly_share=deadly,
            uneven=uneven,
            power=power,
            starts=starts,
            size=chosen,
        )
        outcome = _soak.run_soak(options)
        sys.stdout.write(_soak.describe(options, outcome) + '\n')
        if outcome.violations:
            failed = True
            sys.stdout.write(f'  logs: {options.folder}\n')
            sys.stdout.write(f'  faults: {", ".join(outcome.faults)}\n')
        sys.stdout.flush()
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    fire.Fire(main)
