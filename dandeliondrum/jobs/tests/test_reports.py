"""Tests of workers' reports to a follower and to a busy leader."""

import concurrent.futures
import contextlib
import dataclasses
import itertools

import pytest
from returns import result

from dandeliondrum import jobs
from dandeliondrum.jobs import _follower_reports
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import test_cell
from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum import transport

# Time that a worker waits for an answer.
ANSWER_MAX_MS = 1_000
REPORT_TIMEOUT_MS = 900


class StubLink:
    """Link to a leader that last answered ``age_ms`` ago."""

    def __init__(self):
        self.age_ms = 0
        self.sent = []
        self.outcome = result.Success(None)

    def since_last_answer_ms(self):
        return self.age_ms

    def call_async(self, message):
        self.sent.append(message)
        future = transport.CallFuture()
        future.set_result(self.outcome)
        return future


@pytest.fixture
def link():
    return StubLink()


@pytest.fixture
def reports(link):
    machine = helpers.Machine(('w1', 'w2'))
    return _follower_reports.FollowerReports(machine.state, link)


def report(worker_id, sequence=1, leaves_in_ms=None, **changes):
    return jobs.WorkerReport(
        helpers.facts(worker_id, **changes), sequence, leaves_in_ms
    )


def test_an_unchanged_report_is_forwarded_once_in_a_while(reports, link):
    assert all(reports.acknowledges(report('w1', n)) for n in range(1, 9))
    assert reports.acknowledges(report('w2'))
    assert link.sent == [report('w1'), report('w2')]


def test_a_report_with_news_is_left_to_the_leader(reports):
    draining = jobs.WorkerPhase.DRAINING
    assert not reports.acknowledges(report('w3'))
    assert not reports.acknowledges(report('w1', phase=draining))
    assert not reports.acknowledges(report('w1', started_ms=2))


def test_each_report_of_a_worker_that_leaves_is_forwarded(reports, link):
    for sequence in (1, 2, 3):
        assert reports.acknowledges(report('w1', sequence, 5_000))
    assert len(link.sent) == 3


def test_a_follower_without_a_leader_acknowledges_nothing(reports, link):
    link.age_ms = None
    assert not reports.acknowledges(report('w1'))
    link.age_ms = _follower_reports.LEADER_AGE_MAX_MS + 1
    assert not reports.acknowledges(report('w1'))


@pytest.mark.parametrize(
    'outcome',
    [
        result.Failure(transport.CallError(transport.CallFailure.NOT_SENT)),
        result.Success(messages.CallFailed('broken', True)),
        result.Success(messages.NotLeader()),
    ],
)
def test_a_report_that_was_not_forwarded_is_followed_by_the_next(
    reports, link, outcome
):
    link.outcome = outcome
    assert reports.acknowledges(report('w1', 1))
    assert reports.acknowledges(report('w1', 2))
    assert len(link.sent) == 2


@pytest.fixture
def cell(tmp_path):
    with contextlib.ExitStack() as resources:
        cell = test_cell.Cell(tmp_path, resources)
        cell.open()
        yield cell


def test_unchanged_reports_are_answered_while_the_state_is_locked(cell):
    leader = cell.controllers[cell.wait_leader()]
    facts = cell.fleet[0].facts
    # A follower can't register while the state of the leader is locked.
    testing.wait_until(
        lambda: all(
            controller.is_leading() or controller.calls.link.is_answering()
            for controller in cell.controllers.values()
        )
    )
    with concurrent.futures.ThreadPoolExecutor() as threads:
        with leader.state.lock:
            answers = [
                threads.submit(
                    controller.report_worker,
                    jobs.WorkerReport(facts, 10 + number),
                    REPORT_TIMEOUT_MS,
                )
                for number, controller in enumerate(cell.controllers.values())
            ]
            done = concurrent.futures.wait(answers, ANSWER_MAX_MS / 1000).done
            assert len(done) == len(answers)
            assert all(
                isinstance(one.result(), result.Success) for one in done
            )


def test_a_worker_that_starts_to_drain_at_a_follower_gets_no_more_tasks(cell):
    """A follower must not acknowledge what the leader does not know."""
    leader = cell.wait_leader()
    followers = [
        controller
        for controller_id, controller in cell.controllers.items()
        if controller_id != leader
    ]
    for worker in cell.fleet[:2]:
        worker.facts = helpers.facts(
            worker.facts.worker_id, phase=jobs.WorkerPhase.DRAINING
        )
        for number, controller in enumerate(followers):
            cell.report(worker, 100 + number, controller=controller)
    cell.submit('j', helpers.step(4))
    cell.wait_done('j')
    assert [len(worker.starts) for worker in cell.fleet] == [0, 0, 4]


def _watch_load(worker):
    """Return a list that each start appends the tasks that run then to."""
    loads, start = [], worker.start

    def start_and_count(order, late=False):
        outcome = start(order, late)
        loads.append(len(worker.running()))
        return outcome

    worker.start = start_and_count
    return loads


def test_shrunken_workers_are_not_overloaded_after_a_change_of_leader(cell):
    """A report from before the shrink reaches the next leader late."""
    capacity = messages.Resources(1_000, 1_000)
    before = [worker.facts for worker in cell.fleet]
    loads = [_watch_load(worker) for worker in cell.fleet]
    for worker in cell.fleet:
        worker.facts = dataclasses.replace(worker.facts, capacity=capacity)
        cell.report(worker, 100)
    cell.crash(cell.wait_leader())
    cell.wait_leader()
    for worker, facts in zip(cell.fleet, before, strict=True):
        shrunk, worker.facts = worker.facts, facts
        for controller in cell.controllers.values():
            cell.report(worker, 50, controller=controller)
        worker.facts = shrunk
    cell.submit('small', helpers.step(12))
    cell.submit('large', helpers.step(cpu=3_000))
    cell.wait_done('small')
    assert max(itertools.chain(*loads)) == 1
    assert cell.phase('large') is jobs.JobPhase.QUEUED
    cell.fleet[0].facts = before[0]
    cell.report(cell.fleet[0], 101)
    cell.wait_done('large')
