"""Processor time of the scheduler's rounds in a simulated grown cell.

Example::

    python -m benchmarks.bench_rounds --seconds=10 --out=rounds.json
"""

import cProfile
import dataclasses
import gc
import json
import os
import platform
import pstats
import time

import fire
import structlog

from benchmarks import _round_simulation

from dandeliondrum import jobs

WORKERS_COUNT = 176
GATEWAYS_COUNT = 45
PROFILE_LINES_COUNT = 40
# Jobs a second, relative to a load that nearly fills the fleet.
LOADS = (0.6, 1.0, 3.0)

KINDS = (
    _round_simulation.JobKind(
        'bulk', 1, 2.0, 1.2, 20.0, 6_200.0, 9_000.0, 17_000.0, 1.0, 0.5,
        jobs.AdvicePolicy(540.0, 7.7, 1_500), 0.3,
    ),
    _round_simulation.JobKind(
        'normal', 2, 4.2, 1.5, 25.0, 3_400.0, 3_500.0, 3_600.0, 0.0, 0.8,
        jobs.AdvicePolicy(120.0, 1.8, 1_500), 0.45,
    ),
    _round_simulation.JobKind(
        'urgent', 0, 73.0, 1.0, 3.2, 640.0, 5_000.0, 5_100.0, 0.3, 0.0,
        jobs.AdvicePolicy(7.2, 0.1, 1_500), 0.7,
    ),
)  # fmt: skip


def run(
    seconds: float = 10.0,
    seed: int = 1,
    loads: tuple[float, ...] = LOADS,
    workers: int = WORKERS_COUNT,
    round_ms: float | None = None,
    repeats: int = 1,
    profile: bool = False,
    out: str = '',
) -> None:
    """Print a line for each load; write a JSON file if ``out`` is given.

    ``seconds`` is the simulated time. With ``round_ms`` a round takes this
    simulated time instead of its processor time, so that each run makes the
    same decisions. Of ``repeats`` runs, the one with the least processor time
    counts. With ``profile`` the functions that
    take the most processor time are printed; the profiler slows them down.
    """
    structlog.configure(
        processors=[], logger_factory=structlog.ReturnLoggerFactory()
    )
    results = []
    for factor in loads:
        found = min(
            (
                _measure(seconds, seed, factor, workers, round_ms, profile)
                for _ in range(repeats)
            ),
            key=lambda one: one['cores'],
        )
        results.append(found)
        print(
            '  '.join(f'{name}={value}' for name, value in found.items()),
            flush=True,
        )
    if out:
        report = {
            'started': time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime()),
            'python': platform.python_version(),
            'seed': seed,
            'seconds': seconds,
            'workers_count': workers,
            'results': results,
        }
        with open(out, 'w', encoding='utf-8') as file:
            json.dump(report, file, indent=1)


def _measure(
    seconds: float,
    seed: int,
    factor: float,
    workers: int,
    round_ms: float | None,
    profile: bool,
) -> dict[str, float]:
    kinds = tuple(
        dataclasses.replace(kind, jobs_per_s=kind.jobs_per_s * factor)
        for kind in KINDS
    )
    load = _round_simulation.Load(workers, GATEWAYS_COUNT, kinds, round_ms)
    simulation = _round_simulation.Simulation(load, seed)
    profiler = cProfile.Profile()
    gc.collect()
    if profile:
        profiler.enable()
    simulation.run(seconds * 1000)
    if profile:
        profiler.disable()
        stats = pstats.Stats(profiler)
        stats.sort_stats('tottime').print_stats(PROFILE_LINES_COUNT)
    totals = simulation.totals
    return {
        'load': factor,
        'cores': round(totals.round_cpu_s / totals.virtual_ms * 1000, 3),
        'round_ms': _per(totals.round_cpu_s * 1000, totals.rounds_count),
        'round_max_ms': round(totals.round_max_s * 1000, 1),
        'lock_held_ms': _per(
            simulation.lock_held_s() * 1000, totals.rounds_count
        ),
        'start_us': _per(totals.round_cpu_s * 1e6, totals.starts_count),
        'rounds': totals.rounds_count,
        'starts': totals.starts_count,
        'jobs': totals.jobs_count,
        'jobs_started': totals.jobs_started_count,
        'first_start_ms': _per(
            totals.first_start_ms, totals.jobs_started_count
        ),
        'advice_calls': totals.advice_calls_count,
        'stops': totals.preempted_count,
        'waiting_steps': simulation.waiting_steps_count(),
        'load_average': round(os.getloadavg()[0], 1),
    }


def _per(amount: float, count: int) -> float:
    return round(amount / count, 2) if count else 0.0


if __name__ == '__main__':
    fire.Fire(run)
