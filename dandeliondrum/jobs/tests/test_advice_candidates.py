"""Workers that are offered to the adviser for a waiting step."""

from dandeliondrum.jobs import _advice
from dandeliondrum.jobs import _advice_candidates
from dandeliondrum.jobs.tests import helpers


def test_a_worker_with_the_most_tasks_of_a_step_has_no_capacity_for_it():
    """Regression test: its valid ticket kept others from being asked for."""
    demand = helpers.demand(
        'j', helpers.step(4, per_worker_max=1), per_worker_counts={'w1': 1}
    )
    workers = [helpers.available_worker(name) for name in ('w1', 'w2')]
    candidates = _advice_candidates.CandidateWorkers(workers)
    assert candidates.select(demand, False) == [
        _advice.Candidate('w1', False),
        _advice.Candidate('w2', True),
    ]


def test_the_limit_per_worker_raises_the_number_of_workers_needed():
    workers = [helpers.available_worker('w1')]
    candidates = _advice_candidates.CandidateWorkers(workers)
    unlimited = helpers.demand('j', helpers.step(8))
    assert candidates.count_needed(unlimited) == 2
    limited = helpers.demand('j', helpers.step(8, per_worker_max=1))
    assert candidates.count_needed(limited) == 8
