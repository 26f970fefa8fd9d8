"""Ends of leaderships of which a step fails."""

import threading

import pytest
import structlog

from dandeliondrum import jobs
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages
from dandeliondrum import testing

CONTROLLER = messages.ControllerId('c0')


def fail():
    raise MemoryError


class FakeLeadership:
    """A leadership that may fail to resign or to close."""

    def __init__(self, resign=lambda: None, close=lambda: None):
        self.resign = resign
        self.closed = threading.Event()
        self._close = close

    def close(self):
        self.closed.set()
        self._close()


@pytest.fixture
def controller(tmp_path):
    address = testing.free_address()
    link = jobs.LinkOptions(
        messages.GatewayId('c0'),
        messages.CellId('test'),
        messages.Region('gulf'),
        messages.FailureDomain('d1'),
        ((CONTROLLER, address),),
    )
    return jobs.JobController(
        jobs.ControllerOptions(
            link,
            jobs.LeaderOptions(CONTROLLER, 1_000, 1_500, 60_000, 3),
            jobs.MembershipOptions(CONTROLLER, address, (), False),
            address,
            tmp_path,
        ),
        jobs.Ports(testing.FakeFleet([]), testing.FakeAdviser()),
        helpers.decode_policy,
    )


def test_a_leadership_that_can_not_be_closed_is_logged(controller):
    """Nobody reads the future of its closing."""
    controller._leadership = FakeLeadership(close=fail)
    with structlog.testing.capture_logs() as lines:
        controller.on_following()
        controller._closing.shutdown()
    (line,) = [line for line in lines if line['log_level'] == 'error']
    assert line['event'] == 'leadership not closed in order'
    assert isinstance(line['exc_info'], MemoryError)


def test_a_leadership_that_can_not_resign_is_closed(controller):
    """Its threads would go on acting for a term that is over."""
    leadership = FakeLeadership(resign=fail)
    controller._leadership = leadership
    with pytest.raises(MemoryError):
        controller.on_following()
    controller._closing.shutdown()
    assert leadership.closed.is_set()
    assert not controller.is_leading()


def test_a_leadership_is_closed_when_no_thread_can_be_started(
    controller, monkeypatch
):
    def refuse(_function):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(controller._closing, 'submit', refuse)
    leadership = FakeLeadership()
    controller._leadership = leadership
    with structlog.testing.capture_logs() as lines:
        controller.on_following()
    assert leadership.closed.is_set()
    assert 'leadership closed without a thread' in [
        line['event'] for line in lines
    ]


@pytest.mark.parametrize('part', ['_workers', '_voters'])
def test_the_threads_of_a_leadership_end_when_a_step_fails(monkeypatch, part):
    machine = helpers.Machine()
    leadership = helpers.new_leadership(machine, helpers.LocalNode(machine))
    leadership.open()
    assert _threads_of_leaderships()
    close = getattr(leadership, part).close
    monkeypatch.setattr(getattr(leadership, part), 'close', fail)
    try:
        with pytest.raises(MemoryError):
            leadership.close()
        assert not _threads_of_leaderships()
        # Registered processes must look for the next leader.
        assert leadership._term.sessions._closed
    finally:
        monkeypatch.setattr(getattr(leadership, part), 'close', close)
        leadership.close()


def _threads_of_leaderships():
    return [
        thread.name
        for thread in threading.enumerate()
        if thread.name.startswith('leadership')
    ]
