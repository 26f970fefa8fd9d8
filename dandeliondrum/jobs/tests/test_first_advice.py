"""Advice for new jobs between two planning rounds.

The load: jobs with half a second of slack that arrive while the scheduler
waits for its commit or leaves the time to others after a long round.
"""

import threading

import pytest

from dandeliondrum.jobs import _advice_requester
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _scheduler
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import utils

PAUSE_MS = 100.0


class Port:
    """The adviser; keeps the steps that it is asked about."""

    def __init__(self):
        self.steps = []

    def ask(self, request):
        self.steps.append(request.step)
        reply = helpers.jobs.AdviceReply((), 1_500)
        return utils.completed_future(reply)


class Peer:
    """A worker that answers, without a connection."""

    def __init__(self, facts):
        self.facts = facts
        self.orders = helpers.order_book()

    def usable(self):
        return True

    def list_age_ms(self):
        return 0


@pytest.fixture
def node():
    machine = helpers.Machine(('w1', 'w2'))
    machine(_commands.PutPolicy(2, helpers.document(2, advised=True)))
    return helpers.LocalNode(machine)


@pytest.fixture
def term(node):
    term = helpers.new_term(node)
    term.adviser_client = Port()
    term.adviser_clients.add(term.options.controller_id)
    for worker_id, worker in term.state.workers.items():
        term.peers[worker_id] = Peer(worker.facts)
    return term


def _accept(node, term, name, *steps):
    """Accept a job as the leader does."""
    node.machine(_commands.SubmitJob(helpers.job(name, *steps)))
    term.new_jobs.put(name)


def _scheduler_after_round(node, term):
    """Return a scheduler that has just planned, and pauses for long."""
    scheduler = _scheduler.Scheduler(term)
    _accept(node, term, 'first', helpers.step())
    scheduler.run_round(threading.Event())
    _scheduler._take_all(term.new_jobs, 0.0)
    term.adviser_client.steps.clear()
    scheduler._round_ms = PAUSE_MS / _scheduler.PAUSE_PER_ROUND
    return scheduler


def test_advice_for_a_new_job_does_not_wait_for_the_next_round(node, term):
    scheduler = _scheduler_after_round(node, term)
    _accept(node, term, 'new', helpers.step())
    scheduler._pause(threading.Event())
    assert term.adviser_client.steps == ['new.0.0']


def test_advice_is_requested_while_a_commit_is_pending(node, term):
    scheduler = _scheduler_after_round(node, term)
    pending = helpers.pending_proposal()
    _accept(node, term, 'new', helpers.step())
    ending = threading.Timer(0.2, pending.set_result, (None,))
    ending.start()
    assert scheduler._wait_until_done(pending, threading.Event())
    ending.join()
    assert term.adviser_client.steps == ['new.0.0']


def test_a_job_that_a_round_has_read_is_left_to_the_rounds(node, term):
    """Otherwise a step might be asked about twice."""
    scheduler = _scheduler_after_round(node, term)
    term.new_jobs.put('first')
    scheduler._pause(threading.Event())
    assert term.adviser_client.steps == []


def test_no_advice_is_requested_about_what_can_not_run(node, term):
    """A call about it would take the place of another one."""
    scheduler = _scheduler_after_round(node, term)
    _accept(node, term, 'new', helpers.step(cpu=40_000))
    scheduler._pause(threading.Event())
    assert term.adviser_client.steps == []


def test_a_job_that_ended_in_the_meantime_is_ignored(node, term):
    scheduler = _scheduler_after_round(node, term)
    term.new_jobs.put('unknown')
    scheduler._pause(threading.Event())
    assert term.adviser_client.steps == []


def test_a_job_that_is_accepted_before_the_first_round_waits_for_it(
    node, term
):
    """Regression test: nothing is known of its time of submission then."""
    scheduler = _scheduler.Scheduler(term)
    _accept(node, term, 'new', helpers.step())
    scheduler._request_first_advice(0.0)
    assert term.adviser_client.steps == []


def test_nothing_is_requested_without_known_workers(term):
    """Before the first round, and while nothing waits, none are read."""
    requester = _advice_requester.AdviceRequester(term)
    demand = helpers.demand('new', helpers.step())
    queue = term.state.policy.queues[0]
    with term.lock:
        requester.request_first([(demand, queue)], ())
    assert term.adviser_client.steps == []


def test_the_time_of_a_commit_counts_as_pause(node, term):
    """Planning rests meanwhile, so it still takes a quarter at most."""
    scheduler = _scheduler_after_round(node, term)
    assert scheduler.pause_ms() == pytest.approx(PAUSE_MS)
    scheduler._commit_ms = PAUSE_MS * 0.6
    assert scheduler.pause_ms() == pytest.approx(PAUSE_MS * 0.4)
    scheduler._commit_ms = 2 * PAUSE_MS
    assert scheduler.pause_ms() == _scheduler.ROUND_MIN_MS


def test_an_answer_does_not_wait_for_a_round_that_holds_the_lock(node, term):
    """The thread that reads it also reads the calls of a gateway."""
    scheduler = _scheduler_after_round(node, term)
    pending = helpers.pending_proposal()
    term.adviser_client.ask = lambda _request: pending
    _accept(node, term, 'new', helpers.step())
    scheduler._pause(threading.Event())
    grants = (helpers.jobs.Grant('w1', 'ticket'),)
    answering = threading.Thread(
        target=pending.set_result,
        args=(helpers.jobs.AdviceReply(grants, 1_500),),
    )
    with term.lock:
        answering.start()
        answering.join(10)
        assert not answering.is_alive()
        assert not term.advice.granted('new.0.0')
        scheduler._advice_requester.record_answers()
        assert term.advice.granted('new.0.0') == {'w1'}
