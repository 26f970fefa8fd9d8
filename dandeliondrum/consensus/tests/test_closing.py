"""Tests that the threads of a node stop when they are asked to."""

import threading

import pytest

from dandeliondrum import consensus
from dandeliondrum.consensus import _applier
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _peer
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _recovery
from dandeliondrum.consensus.tests import harness
from dandeliondrum import messages

MEMBERS = tuple(
    _messages.Member(messages.ControllerId(name), 'unused:1', f'disk {name}')
    for name in ('c1', 'c2')
)


class StopAfterFirstCheck(threading.Event):
    """Event that is set right after it was checked for the first time."""

    def is_set(self):
        looked_before = super().is_set()
        self.set()
        return looked_before


def make_task(opened, name):
    if name == 'applier':
        return _applier.Applier(
            opened.state, harness.Machine(), opened.snapshots
        )
    return _peer.Peer(opened.state, opened.snapshots, MEMBERS[1].controller_id)


@pytest.mark.parametrize('name', ['applier', 'peer'])
def test_a_thread_that_checked_just_before_the_stop_still_ends(tmp_path, name):
    # Regression: closing a node sometimes hung. The task checked the stop
    # event before it was set, and started to wait after the last
    # notification.
    options = consensus.Options(
        messages.ControllerId('c1'), harness.CELL_ID, tmp_path
    )
    opened = _recovery.open_files(options, _files.Files())
    membership = messages.encode(_messages.Membership(MEMBERS))
    opened.state.history.add(
        [_records.make(1, 1, _records.EntryKind.MEMBERSHIP, membership)]
    )
    task = make_task(opened, name)
    thread = threading.Thread(
        target=task.run, args=(StopAfterFirstCheck(),), daemon=True
    )
    thread.start()
    thread.join(2)
    assert not thread.is_alive()
