"""Tests of how the leader tracks the distinct sizes of workers."""

import concurrent.futures
import pathlib

import pytest
from returns import result

from dandeliondrum.controller import _context
from dandeliondrum.controller import _leadership
from dandeliondrum.controller import _metrics
from dandeliondrum.controller import _options
from dandeliondrum.controller import _state
from dandeliondrum.controller.tests import builders
from dandeliondrum import messages
from dandeliondrum import utils

SMALL, BIG = 16_000, 64_000


class UniterableWorkers(dict):
    """A dict of workers that fails the test when it is iterated over."""

    def values(self):
        raise AssertionError('all workers were iterated over')

    items = __iter__ = values


class ImmediateLog:
    """Fake log that applies each proposal at once."""

    def __init__(self, state):
        self.state = state
        self.index = 0

    def is_leading(self):
        return True

    def propose(self, command):
        self.index += 1
        done = concurrent.futures.Future()
        outcome = self.state.apply(self.index, command)
        done.set_result(result.Success(outcome))
        return done


class Leader:
    """A leadership that was not opened, and the sizes it reported."""

    def __init__(self):
        self.state = _state.CellState()
        self.options = _options.Options(
            messages.ControllerId('c1'),
            messages.CellId('cell'),
            messages.Region('gulf'),
            messages.FailureDomain('songkhla'),
            '127.0.0.1:0',
            pathlib.Path('unused'),
            {},
        )
        self.reported = []
        self.begin_term()

    def begin_term(self):
        """Begin a term from the replicated state alone."""
        self.context = _context.Context(
            self.options,
            self.state,
            ImmediateLog(self.state),
            messages.Term(1),
            _metrics.Metrics(),
        )
        self.context.observations.set_worker_sizes = self.reported.append
        self.leadership = _leadership.Leadership(
            self.context, utils.TimerService()
        )

    def announce(self, name, incarnation, cpu):
        facts = builders.facts(name, incarnation, cpu=cpu)
        call = messages.AnnounceWorker(facts)
        assert (
            self.leadership._heartbeats.announce(call).result()
            == messages.Done()
        )

    def sizes(self):
        return {size.cpu_millicores for size in self.reported[-1]}


@pytest.fixture
def leader():
    """Return a leader with an empty fleet."""
    return Leader()


def test_an_announcement_does_not_look_through_the_fleet(leader):
    leader.state.workers = UniterableWorkers(leader.state.workers)
    leader.announce('lathe-1', 'a', SMALL)
    leader.announce('lathe-2', 'a', BIG)
    assert leader.sizes() == {SMALL, BIG}


def test_sizes_are_told_once_for_equal_workers(leader):
    for number in range(5):
        leader.announce(f'lathe-{number}', 'a', SMALL)
    assert len(leader.reported) == 1


def test_a_size_goes_when_its_last_worker_comes_back_smaller(leader):
    leader.announce('lathe-1', 'a', BIG)
    leader.announce('lathe-2', 'a', BIG)
    leader.announce('lathe-1', 'b', SMALL)
    assert leader.sizes() == {SMALL, BIG}
    leader.announce('lathe-2', 'b', SMALL)
    assert leader.sizes() == {SMALL}


def test_a_size_goes_when_its_last_worker_is_gone(leader):
    leader.announce('lathe-1', 'a', BIG)
    leader.announce('lathe-2', 'a', SMALL)
    worker = leader.state.workers['lathe-1']
    gone = messages.WorkerState.GONE
    leader.leadership._heartbeats.set_state(worker, gone, 'test').result()
    assert leader.sizes() == {SMALL}


def test_a_new_leader_knows_the_sizes_of_the_recorded_fleet(leader):
    leader.announce('lathe-1', 'a', BIG)
    leader.announce('lathe-2', 'a', SMALL)
    leader.reported.clear()
    leader.begin_term()
    leader.leadership._rebuild()
    assert leader.sizes() == {SMALL, BIG}
