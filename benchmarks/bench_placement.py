"""Placement: time of a decision, and comparison with the baseline policy.

Example::

    python -m benchmarks.bench_placement --out placement.json
"""

import dataclasses
import json
import platform
import time

import fire

from benchmarks import _placement_simulation
from benchmarks import _placement_speed

from dandeliondrum import placement

WORKERS_COUNTS = (24, 240, 2_400, 9_500)
TEAMS_COUNTS = (10, 100, 370)
# Offered load relative to the capacity, and whether all tasks are batch.
LOADS = ((0.7, False), (4.0, False), (4.0, True))


def run(
    out: str = 'bench_placement.json',
    seed: int = 1,
    decisions: int = 5_000,
    seconds: int = 120,
    part: str = 'all',
    workers: tuple[int, ...] = WORKERS_COUNTS,
    teams: tuple[int, ...] = TEAMS_COUNTS,
) -> None:
    """Run the benchmark, print tables and write one JSON file.

    ``part`` is ``speed``, ``compare`` or ``all``. ``decisions`` is the number
    of timed decisions, ``seconds`` the simulated time of the comparison.
    """
    report: dict[str, object] = {
        'seed': seed,
        'decisions': decisions,
        'virtual_seconds': seconds,
        'python': platform.python_version(),
        'started': time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime()),
    }
    if part in ('all', 'speed'):
        report['speed'] = _speed(seed, decisions, workers, teams)
    if part in ('all', 'compare'):
        report['compare'] = _compare(seed, seconds)
    with open(out, 'w', encoding='utf-8') as file:
        json.dump(report, file, indent=1)


def _speed(
    seed: int,
    decisions: int,
    workers: tuple[int, ...],
    teams: tuple[int, ...],
) -> list[dict[str, object]]:
    print(
        f'{"workers":>8}{"teams":>6}{"running":>8}{"waiting":>8}  regime'
        f'{"bulk/s":>9}'
        f'{"dec/s":>9}{"p50 us":>8}{"p99 us":>8}{"max us":>8}'
        f'{"gc us":>8}'
    )
    results = []
    for full in (False, True):
        for workers_count in workers:
            for teams_count in teams:
                result = _placement_speed.SpeedRun(
                    workers_count, teams_count, full, seed
                ).run(decisions)
                print(
                    f'{workers_count:>8}{teams_count:>6}'
                    f'{result.running_count:>8}{result.waiting_count:>8}'
                    f'  {result.regime:6}{result.bulk_decisions_per_s:>9.0f}'
                    f'{result.decisions_per_s:>9.0f}'
                    f'{result.p50_us:>8.0f}{result.p99_us:>8.0f}'
                    f'{result.max_us:>8.0f}{result.collector_max_us:>8.0f}',
                    flush=True,
                )
                results.append(dataclasses.asdict(result))
    return results


def _compare(seed: int, seconds: int) -> list[dict[str, object]]:
    results = []
    for load, batch_only in LOADS:
        outcomes = [
            _placement_simulation.Simulation(
                policy, load, seconds, seed, batch_only
            ).run()
            for policy in (
                placement.FirstComeFirstFit(),
                placement.FairSharePolicy(seed),
            )
        ]
        _print_outcomes(load, outcomes)
        results.extend(dataclasses.asdict(one) for one in outcomes)
    return results


def _print_outcomes(
    load: float, outcomes: list[_placement_simulation.Outcome]
) -> None:
    baseline, full = outcomes
    mix = 'batch' if full.batch_only else 'mixed'
    print(f'\nload {load} {mix}: {"baseline":>23}{"full":>12}{"ratio":>8}')
    rows = [
        (f'{name} wait {quantile}', *values)
        for name in sorted(set(baseline.waits) & set(full.waits))
        for quantile, values in (
            ('p50 ms', (baseline.waits[name].p50_ms, full.waits[name].p50_ms)),
            ('p99 ms', (baseline.waits[name].p99_ms, full.waits[name].p99_ms)),
            (
                'never started',
                (
                    baseline.waits[name].never_started_count,
                    full.waits[name].never_started_count,
                ),
            ),
        )
    ]
    for field in (
        'share_error_points',
        'packing',
        'empty_workers',
        'preemptions_count',
        'ended_count',
    ):
        rows.append((field, getattr(baseline, field), getattr(full, field)))
    for name, old, new in rows:
        ratio = f'{new / old:8.3f}' if old else f'{"-":>8}'
        print(f'{name:24}{old:>11.2f}{new:>12.2f}{ratio}')


if __name__ == '__main__':
    fire.Fire(run)
