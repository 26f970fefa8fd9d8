"""Which runs are suspected of the crash of their worker."""

import threading

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _crashes
from dandeliondrum.jobs import _orders

NONE = jobs.Suspicion.NONE
SHARED = jobs.Suspicion.SHARED
STARTING = jobs.Suspicion.STARTING
SOLE = jobs.Suspicion.SOLE
ALONE = jobs.Suspicion.ALONE


def _run(text, started=True, starting=False, listed=True, suspect=False):
    return _crashes.AssignedRun(
        jobs.parse_task_key(text), 1, started, starting, listed, suspect
    )


def _suspicions(*runs):
    found = _crashes.suspicions(runs)
    return {str(task): suspicion for (task, _), suspicion in found.items()}


def test_no_run_is_suspected_on_an_empty_worker():
    assert _suspicions() == {}


def test_runs_of_one_job_are_alone():
    found = _suspicions(_run('a.0.0.0'), _run('a.0.1.0', starting=True))
    assert found == {'a.0.0.0': ALONE, 'a.0.1.0': ALONE}


def test_a_run_that_cannot_have_started_leaves_another_alone():
    found = _suspicions(_run('a.0.0.0'), _run('b.0.0.0', started=False))
    assert found == {'a.0.0.0': ALONE}


def test_runs_that_have_been_running_are_suspected_alike():
    found = _suspicions(_run('a.0.0.0'), _run('b.0.0.0', suspect=True))
    assert found == {'a.0.0.0': SHARED, 'b.0.0.0': SHARED}


def test_runs_that_are_starting_are_suspected_most():
    found = _suspicions(
        _run('a.0.0.0'),
        _run('b.0.0.0', starting=True),
        _run('c.0.0.0', starting=True),
    )
    assert found == {
        'a.0.0.0': SHARED,
        'b.0.0.0': STARTING,
        'c.0.0.0': STARTING,
    }


def test_runs_that_were_never_listed_are_suspected_before_listed_ones():
    found = _suspicions(
        _run('a.0.0.0'),
        _run('b.0.0.0', starting=True),
        _run('c.0.0.0', starting=True, listed=False),
        _run('d.0.0.0', starting=True, listed=False),
    )
    assert found == {
        'a.0.0.0': SHARED,
        'b.0.0.0': SHARED,
        'c.0.0.0': STARTING,
        'd.0.0.0': STARTING,
    }


def test_the_only_job_that_is_starting_is_told_from_several():
    found = _suspicions(
        _run('a.0.0.0'),
        _run('b.0.0.0', starting=True, listed=False),
        _run('b.0.0.1', starting=True, listed=False),
    )
    assert found == {'a.0.0.0': SHARED, 'b.0.0.0': SOLE, 'b.0.0.1': SOLE}


def test_a_suspect_is_not_sole_beside_another_start():
    found = _suspicions(
        _run('a.0.0.0', starting=True, listed=False),
        _run('b.0.0.0', starting=True, listed=False, suspect=True),
    )
    assert found == {'a.0.0.0': NONE, 'b.0.0.0': STARTING}


def test_a_listed_suspect_is_not_sole_beside_a_run_never_listed():
    """Regression test: it could be given up for the crash of another task."""
    found = _suspicions(
        _run('a.0.0.0', starting=True, listed=False),
        _run('b.0.0.0', starting=True, suspect=True),
        _run('c.0.0.0'),
    )
    assert found['b.0.0.0'] is STARTING


def test_a_starting_suspect_clears_the_other_runs():
    found = _suspicions(
        _run('a.0.0.0'),
        _run('b.0.0.0', starting=True),
        _run('c.0.0.0', starting=True, suspect=True),
    )
    assert found == {'a.0.0.0': NONE, 'b.0.0.0': NONE, 'c.0.0.0': STARTING}


@pytest.mark.parametrize(
    'listed_since_ms, answered_ms, is_starting',
    [(None, 9_000, True), (5_000, 5_999, True), (5_000, 6_000, False)],
)
def test_a_run_is_starting_until_it_has_been_listed_for_a_while(
    listed_since_ms, answered_ms, is_starting
):
    task = jobs.parse_task_key('a.0.0.0')
    book = _orders.OrderBook(threading.RLock())
    order = _orders.Order(1, '', '', '', sends_count=1)
    book.plan(task, order)
    if listed_since_ms is not None:
        book.mark_listed(task, 1, '')
        order.since_ms = listed_since_ms
    run = _crashes.read_run(task, 1, book, answered_ms, False)
    assert (run.may_have_started, run.is_starting) == (True, is_starting)
    assert run.is_listed is (listed_since_ms is not None)


def test_a_run_whose_order_was_never_sent_cannot_have_started():
    task = jobs.parse_task_key('a.0.0.0')
    book = _orders.OrderBook(threading.RLock())
    book.plan(task, _orders.Order(1, '', '', '', unsent_count=2))
    run = _crashes.read_run(task, 1, book, 0, False)
    assert not run.may_have_started


@pytest.mark.parametrize('is_listed', [False, True])
def test_a_run_of_an_earlier_leader_is_not_starting(is_listed):
    task = jobs.parse_task_key('a.0.0.0')
    book = _orders.OrderBook(threading.RLock())
    if is_listed:
        book.mark_listed(task, 1, '')
    run = _crashes.read_run(task, 1, book, 0, False)
    assert (run.may_have_started, run.is_starting) == (True, False)
