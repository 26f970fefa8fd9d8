"""The scheduling order of rounds, as derived from the state of the leader."""

from dandeliondrum.jobs import _ordering
from dandeliondrum.jobs import queueing
from dandeliondrum.jobs.tests import helpers

NOW_MS = 1_000_000


def _gauges(term):
    registry = term.metrics.registry
    names = [cause.name.lower() for cause in queueing.Cause]
    waiting = {
        name: registry.get_sample_value(
            'dandeliondrum_jobs_waiting_steps', {'cause': name}
        )
        for name in names
    }
    contended = registry.get_sample_value('dandeliondrum_jobs_contended_pools')
    return contended, {name for name, count in waiting.items() if count}


def test_contention_is_found_and_reported_at_intervals():
    term = helpers.new_term(helpers.LocalNode(helpers.Machine()))
    ordering = _ordering.Ordering(term)
    old = helpers.demand(
        'old', helpers.step(9), waited_ms=queueing.WAIT_MAX_MS, submitted_ms=1
    )
    new = helpers.demand('new', helpers.step())
    workers = []
    assert ordering.order([old, new], workers, (), NOW_MS) == [new, old]
    assert _gauges(term) == (0, {'order'})
    workers.append(helpers.available_worker('w9'))
    term.peers['w9'] = _Peer()
    soon_ms = NOW_MS + _ordering.CONTENTION_INTERVAL_MS
    assert ordering.order([old, new], workers, (), soon_ms - 1) == [new, old]
    assert ordering.order([old, new], workers, (), soon_ms) == [old, new]
    assert _gauges(term) == (1, {'order', 'overdue'})
    # Demands that are made anew keep their standing until the next look.
    old.standing = queueing.NEUTRAL
    assert ordering.order([old, new], workers, (), soon_ms + 1) == [old, new]
    ordering.clear()
    assert _gauges(term) == (0, set())


def test_what_can_not_run_on_the_workers_causes_no_contention():
    term = helpers.new_term(helpers.LocalNode(helpers.Machine()))
    ordering = _ordering.Ordering(term)
    unfit = helpers.demand('unfit', helpers.step(cpu=99_000))
    workers = [helpers.available_worker('w9')]
    ordering.order([unfit], workers, {('unfit', 0)}, NOW_MS)
    assert _gauges(term) == (0, {'order'})


class _Peer:
    orders = None
