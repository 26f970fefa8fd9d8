"""The benchmark of the scheduler's rounds runs on the current code."""

from benchmarks import _round_simulation
from benchmarks import bench_rounds


def test_the_simulated_cell_starts_tasks():
    load = _round_simulation.Load(20, 5, bench_rounds.KINDS, round_ms=2)
    simulation = _round_simulation.Simulation(load, seed=1)
    simulation.run(300)
    assert simulation.totals.starts_count > 0
    assert simulation.totals.advice_calls_count > 0
