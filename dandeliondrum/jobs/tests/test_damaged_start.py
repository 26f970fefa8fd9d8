"""Start of a controller whose data folder is damaged."""

import contextlib

import pytest
from returns import result

from dandeliondrum import consensus
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
