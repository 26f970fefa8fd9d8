"""Ends of leaderships of which a step fails."""

import pathlib
import threading
from unittest import mock

import pytest

from dandeliondrum.controller import _context
from dandeliondrum.controller import _leadership
from dandeliondrum.controller import _metrics
from dandeliondrum.controller import _options
from dandeliondrum.controller import _state
from dandeliondrum import messages
from dandeliondrum import utils


def test_the_threads_of_a_leadership_end_when_a_step_fails(monkeypatch):
    """They would go on acting for a term that is over."""
    options = _options.Options(
        messages.ControllerId('c1'),
        messages.CellId('cell'),
        messages.Region('gulf'),
        messages.FailureDomain('songkhla'),
        '127.0.0.1:0',
        pathlib.Path('unused'),
        {},
    )
    context = _context.Context(
        options,
        _state.CellState(),
        mock.Mock(),
        messages.Term(1),
        _metrics.Metrics(),
    )
    leadership = _leadership.Leadership(context, utils.TimerService())
    leadership.open()
    assert _threads_of_leaderships()
    with monkeypatch.context() as patch:
        patch.setattr(
            context.sessions, 'close', mock.Mock(side_effect=MemoryError)
        )
        with pytest.raises(MemoryError):
            leadership.close()
    try:
        assert not _threads_of_leaderships()
    finally:
        leadership.close()


def _threads_of_leaderships():
    return [
        thread.name
        for thread in threading.enumerate()
        if thread.name.startswith('leadership')
    ]
