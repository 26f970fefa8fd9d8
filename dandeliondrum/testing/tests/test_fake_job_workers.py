"""The fake workers keep the contract of workers."""

import concurrent.futures
import threading

import pytest

from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum import testing

CAPACITY = messages.Resources(4_000, 100)
LEASE_MAX_MS = 200


def _start(worker, token, lease_until_ms):
    return worker.start(
        jobs.StartOrder(
            worker.facts,
            token,
            jobs.parse_task_key('j.0.0.0'),
            1,
            'payload',
            lease_until_ms,
            '',
            '',
        )
    )


def _renew(worker, token, lease_until_ms=None):
    return worker.renew(
        jobs.LeaseRequest(worker.facts, token, 0, lease_until_ms, 0)
    )


def test_a_lease_is_shortened_to_the_longest_one():
    """An order from before a restart names a time of the old clock."""
    worker = testing.FakeWorker('w', CAPACITY, 60_000, LEASE_MAX_MS)
    _start(worker, 1, 100_000)
    assert worker.running()
    testing.wait_until(lambda: not worker.running())
    (end,) = _renew(worker, 1).ends
    assert end.end.outcome is jobs.RunOutcome.LAPSED


def test_a_renewal_is_shortened_to_the_longest_lease():
    worker = testing.FakeWorker('w', CAPACITY, 60_000, LEASE_MAX_MS)
    _start(worker, 1, 100)
    _renew(worker, 1, 100_000)
    testing.wait_until(lambda: not worker.running())


class _SlowWorker(testing.FakeWorker):
    """A worker whose calls with token 1 pause after the check of it."""

    def __init__(self):
        super().__init__('w', CAPACITY, 60_000)
        self.checked = threading.Event()
        self.released = threading.Event()

    def _check_access(self, token):
        refused = super()._check_access(token)
        if token == 1:
            self.checked.set()
            self.released.wait(0.5)
        return refused


def test_no_run_starts_after_a_higher_token_was_seen_without_it():
    worker = _SlowWorker()
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        start = executor.submit(_start, worker, 1, 60_000)
        worker.checked.wait()
        listed = _renew(worker, 2).runs
        worker.released.set()
        started = isinstance(start.result(), jobs.Accepted)
    assert bool(listed) == started


def test_a_renewal_returns_when_a_run_ends():
    worker = testing.FakeWorker('w', CAPACITY, 100)
    _start(worker, 1, 60_000)
    (end,) = worker.renew(
        jobs.LeaseRequest(worker.facts, 1, 0, 60_000, 10_000)
    ).ends
    assert end.end.outcome is jobs.RunOutcome.DONE


@pytest.mark.parametrize('returns_replaced', [False, True])
def test_a_deadly_run_crashes_its_worker_which_is_back_later(returns_replaced):
    worker = testing.FakeWorker('w', CAPACITY, 60_000)
    worker.deadly_payloads = {'payload'}
    worker.down_ms = 200
    worker.returns_replaced = returns_replaced
    fleet = testing.FakeFleet([worker])
    before = worker.facts
    request = jobs.LeaseRequest(before, 1, 0, 60_000, 5_000)
    assert isinstance(_start(worker, 1, 60_000), jobs.Accepted)
    assert fleet.renew(request) == jobs.Unanswered(True, 'crashed')
    refused = jobs.Unanswered(False, 'connection refused')
    assert fleet.renew(request) == refused
    assert worker.crashes_count == 1 and not worker.running()
    testing.wait_until(lambda: not worker.is_down())
    assert worker.facts.started_ms > before.started_ms
    if returns_replaced:
        assert fleet.renew(request) == jobs.WorkerReplaced()
        request = jobs.LeaseRequest(worker.facts, 1, 0, None, 0)
    listing = fleet.renew(request)
    assert listing.started_ms == worker.facts.started_ms
    assert listing.runs == listing.ends == ()


def test_a_worker_survives_the_runs_of_other_payloads():
    worker = testing.FakeWorker('w', CAPACITY, 50)
    worker.deadly_payloads = {'other'}
    _start(worker, 1, 60_000)
    testing.wait_until(lambda: not worker.running())
    assert worker.crashes_count == 0
