"""Controllers whose data folder is damaged, with real processes."""

import contextlib

import pytest

from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum.testing import _platform_cell

CAPACITY = messages.Resources(1_000, 100_000)
OPEN_TIMEOUT_MS = 40_000
REPLACED_TIMEOUT_MS = 20_000
DOCUMENTS_COUNT = 20


class _Cell:
    """Three controllers of which one has a damaged log."""

    def __init__(self, folder, resources):
        self.folder = folder
        self.processes = resources.enter_context(testing.Processes(folder))
        self.cell = resources.enter_context(
            testing.PlatformCell(
                folder,
                self.processes,
                _platform_cell.make_workers(1, CAPACITY, 100),
            )
        )
        resources.callback(self.processes.kill_all)
        self.version = 0
        testing.wait_until(self.put, OPEN_TIMEOUT_MS)
        testing.wait_until(
            lambda: all(self.votes(number) for number in range(3)),
            OPEN_TIMEOUT_MS,
        )
        for _ in range(DOCUMENTS_COUNT):
            testing.wait_until(self.put, OPEN_TIMEOUT_MS)

    def put(self, number=0):
        self.version += 1
        body = testing.document(self.version)
        return self.cell.put_document(body, number) == 200

    def name(self, number):
        return self.cell.controller(number)

    def events(self, number, event):
        log = self.processes.log(self.name(number))
        return [line for line in log if line.get('event') == event]

    def votes(self, number):
        changes = self.events(number, 'membership changed')
        return bool(changes) and changes[-1]['votes_here']

    def data_folder(self, number):
        return self.folder / self.name(number).removeprefix('c')

    def damage(self, number):
        path = max(self.data_folder(number).glob('**/log-*'))
        data = bytearray(path.read_bytes())
        data[len(data) // 3] ^= 0xFF
        path.write_bytes(data)
        return path

    def moved(self, number):
        return list(self.data_folder(number).glob('**/damaged-*'))


@pytest.fixture
def cell(tmp_path):
    with contextlib.ExitStack() as resources:
        yield _Cell(tmp_path, resources)


def test_a_controller_with_a_damaged_log_votes_again(cell):
    cell.processes.kill(cell.name(2))
    damaged = cell.damage(2)
    data = damaged.read_bytes()
    changes_count = len(cell.events(2, 'membership changed'))
    cell.cell.launch_controller(2)
    testing.wait_until(
        lambda: (
            len(cell.events(2, 'membership changed')) > changes_count
            and cell.votes(2)
        ),
        REPLACED_TIMEOUT_MS,
    )
    (moved,) = cell.moved(2)
    assert (moved / damaged.name).read_bytes() == data
    # Its vote is needed.
    cell.processes.kill(cell.name(1))
    testing.wait_until(cell.put, OPEN_TIMEOUT_MS)


def test_damaged_files_stay_while_no_quorum_leads_without_them(cell):
    cell.processes.kill_together(cell.name(number) for number in range(3))
    damaged = cell.damage(2)
    data = damaged.read_bytes()
    cell.cell.launch_controller(1)
    cell.cell.launch_controller(2)
    name = cell.name(2)
    testing.wait_until(
        lambda: cell.processes.exit_code(name) is not None,
        REPLACED_TIMEOUT_MS,
    )
    assert cell.processes.exit_code(name) == 1
    assert cell.events(2, 'damaged files not moved')
    assert damaged.read_bytes() == data
    assert cell.moved(2) == []
    cell.cell.launch_controller(0)
    testing.wait_until(cell.put, OPEN_TIMEOUT_MS)
    cell.cell.launch_controller(2)
    testing.wait_until(
        lambda: cell.events(2, 'damaged files moved'),
        REPLACED_TIMEOUT_MS,
    )
