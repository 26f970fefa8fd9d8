"""Start of a controller whose data folder or disk is damaged."""

import contextlib
import errno
import os

import pytest
from returns import result

from dandeliondrum import consensus
from dandeliondrum.consensus import _files
from dandeliondrum import jobs
from dandeliondrum.jobs import _damaged_folder
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages
from dandeliondrum import startup
from dandeliondrum import testing

CONTROLLER = messages.ControllerId('c0')
DAMAGE = consensus.StartError('checksum does not match', is_damage=True)
IN_USE = consensus.StartError('disk is busy', may_pass=True)


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
    controller = jobs.JobController(
        jobs.ControllerOptions(
            link,
            jobs.LeaderOptions(CONTROLLER, 1_000, 1_500, 60_000, 3),
            jobs.MembershipOptions(CONTROLLER, address, (), False),
            address,
            tmp_path / 'data',
        ),
        jobs.Ports(testing.FakeFleet([]), testing.FakeAdviser()),
        helpers.decode_policy,
    )
    with contextlib.closing(controller):
        yield controller


def retry(_resource, action):
    for _ in range(9):
        with contextlib.suppress(startup.NotReadyError):
            return action()
    raise startup.NotStartedError


@pytest.mark.parametrize(
    ('errors', 'confirmations'),
    [
        ([DAMAGE, DAMAGE], [False, True]),
        ([DAMAGE, IN_USE], [True]),
    ],
)
def test_a_damaged_controller_waits_for_a_leader_that_is_not_elected_yet(
    controller, monkeypatch, errors, confirmations
):
    start = controller.node.start
    left = list(errors)
    monkeypatch.setattr(
        controller.node,
        'start',
        lambda: result.Failure(left.pop(0)) if left else start(),
    )
    monkeypatch.setattr(
        _damaged_folder, 'recover', lambda *_: confirmations.pop(0)
    )
    assert controller.start(retry) == result.Success(None)


class Signals:
    """Signals of a process, without waiting for them."""

    stop_requested = False

    def __init__(self):
        self.waits_count = 0

    def wait(self, _timeout_ms):
        self.waits_count += 1


def write_torn_log(folder):
    folder.mkdir()
    (folder / 'log-00000000000000000001').write_bytes(b'torn')


def test_a_start_waits_for_a_disk_that_refuses_to_cut_a_torn_tail(
    controller, tmp_path, monkeypatch
):
    """The process would end at once, and again at each of its restarts."""
    write_torn_log(tmp_path / 'data')
    refusals = [OSError(errno.EIO, os.strerror(errno.EIO)) for _ in range(3)]
    truncate = _files.Files.truncate

    def refuse(files, descriptor, size_bytes):
        if refusals:
            raise refusals.pop()
        truncate(files, descriptor, size_bytes)

    monkeypatch.setattr(_files.Files, 'truncate', refuse)
    signals = Signals()
    started = controller.start(startup.Startup(signals).retry)
    assert started == result.Success(None)
    assert signals.waits_count == 3
