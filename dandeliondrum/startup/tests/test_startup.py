"""Tests of waits during a start."""

import errno

import pytest

from dandeliondrum import startup


class Signals:
    """Signals of a process, without waiting for them."""

    def __init__(self):
        self.stop_requested = False
        self.waits_count = 0
        self.stops_at_wait = None

    def wait(self, _timeout_ms):
        self.waits_count += 1
        self.stop_requested = self.waits_count == self.stops_at_wait


def failing(*errors):
    """Return a function that raises the errors in turn, then returns 7."""
    left = list(errors)

    def action():
        if left:
            raise left.pop(0)
        return 7

    return action


def test_a_resource_in_use_is_tried_again():
    signals = Signals()
    start = startup.Startup(signals)
    in_use = OSError(errno.EADDRINUSE, 'in use')
    not_ready = startup.NotReadyError('half written')
    assert start.retry('port', failing(in_use, not_ready)) == 7
    assert signals.waits_count == 2


def test_a_cause_that_does_not_pass_ends_a_start_at_once():
    signals = Signals()
    start = startup.Startup(signals)
    refused = PermissionError(errno.EACCES, 'not allowed')
    with pytest.raises(startup.NotStartedError, match='port: .*not allowed'):
        start.retry('port', failing(refused))
    assert signals.waits_count == 0


def test_a_wait_is_bounded():
    start = startup.Startup(Signals(), wait_max_ms=0)
    with pytest.raises(startup.NotStartedError, match='in use'):
        start.retry('port', failing(OSError(errno.EADDRINUSE, 'in use')))


def test_a_stop_ends_a_wait():
    signals = Signals()
    signals.stops_at_wait = 2
    start = startup.Startup(signals)
    in_use = [OSError(errno.EADDRINUSE, 'in use') for _ in range(9)]
    with pytest.raises(startup.StopRequestedError):
        start.retry('port', failing(*in_use))
    assert signals.waits_count == 2


def test_no_phase_begins_after_a_request_to_stop():
    signals = Signals()
    start = startup.Startup(signals)
    with start.phase('settings'):
        signals.stop_requested = True
    with pytest.raises(startup.StopRequestedError):
        with start.phase('ports'):
            raise AssertionError('it began')
    assert start.phase_name == 'settings'
