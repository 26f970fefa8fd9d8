"""Real controllers whose seeds change while they run."""

import contextlib
import signal
import time

import pytest

from dandeliondrum.jobs import _membership
from dandeliondrum import testing

# More than the time until a controller that may found a cell does so.
FOUNDED_MAX_S = (_membership.FOUNDER_TIMEOUT_MS + 3_000) / 1000


class Cell(testing.PlatformCell):
    """A cell of one controller, another one, and three that are gone."""

    def open(self):
        testing.wait_until(
            lambda: self.put_document(testing.document()) == 200
        )
        self.other = self.add_controller()
        self.gone = [self.add_controller() for _ in range(3)]

    def launch_other(self, first_start=False):
        """Start the other controller, whose seeds are gone."""
        self.set_seeds(self.gone)
        self.launch_controller(self.other, first_start=first_start)
        self.wait_for('started')

    @property
    def life(self):
        return self.processes.life(self.controller(self.other))

    def wait_for(self, event):
        testing.wait_until(lambda: self.life.has_logged(event))

    def is_member(self):
        return self.life.has_logged('membership changed')

    def serves_document(self):
        return self.read_document(self.other).status == 200

    def joins(self):
        testing.wait_until(self.is_member)
        testing.wait_until(self.serves_document)
        return not self.life.has_logged('cell founded')


@pytest.fixture
def cell(tmp_path):
    with contextlib.ExitStack() as resources:
        processes = resources.enter_context(testing.Processes(tmp_path))
        opened = Cell(
            tmp_path,
            processes,
            [],
            gateways_count=0,
            controllers_count=1,
            settings={'FaultTolerance.Machines': '1'},
        )
        resources.enter_context(opened).open()
        yield opened


@pytest.mark.parametrize('is_signalled', [False, True])
def test_a_controller_joins_through_seeds_corrected_while_it_runs(
    cell, is_signalled
):
    """Guards against a controller that stays out until it is restarted."""
    cell.launch_other()
    assert not cell.serves_document()
    cell.set_seeds([0])
    if is_signalled:
        cell.life.send(signal.SIGHUP)
    assert cell.joins()


def test_half_written_settings_change_no_seeds(cell):
    """Guards against seeds taken from a file that is being written."""
    cell.launch_other()
    cell.write_settings_slowly(
        cell.controller(cell.other), [0], [(0.3, 3.0), (0.6, 3.0)]
    )
    lines = cell.life.lines()
    assert any(line['event'] == 'settings not readable' for line in lines)
    assert cell.joins()
    changes = [
        one for one in cell.life.lines() if one['event'] == 'seeds changed'
    ]
    assert [one['seeds'] for one in changes] == [
        [cell.stream_address(0).partition(':')[0]]
    ]


def test_changed_seeds_found_no_second_cell(cell):
    """Guards against founders that are taken from changed seeds.

    The controller may found a cell, but is none of the founders of its start.
    """
    cell.launch_other(first_start=True)
    cell.set_seeds([cell.other])
    cell.life.send(signal.SIGHUP)
    cell.wait_for('seeds changed')
    time.sleep(FOUNDED_MAX_S)
    assert not cell.is_member()
    assert not cell.life.has_logged('cell founded')
    cell.set_seeds([0])
    assert cell.joins()
