"""Losses of controllers up to the last one, with real processes."""

import pytest

from dandeliondrum.testing import _core_losses
from dandeliondrum.testing import _losses_admission
from dandeliondrum.testing import _losses_schedule

LAUNCHED_S = 1_000.0
IP = '127.0.0.8'
LAUNCH = _losses_admission.Launch(f'c{IP}', 'successor', LAUNCHED_S)


@pytest.mark.parametrize(
    ('schedule', 'network'),
    [
        (_losses_schedule.PLANNED, '127.12'),
        (_losses_schedule.UNPLANNED, '127.13'),
    ],
    ids=['planned', 'unplanned'],
)
def test_a_cell_leads_again_that_lost_two_disks_after_a_replacement(
    schedule, network, tmp_path
):
    """Guards against voters that are gone for good, so that none can lead.

    The replaced controller is one of five voters until its successor takes
    its place. Two others that lose their disks before are beyond what the
    rest can make up for.
    """
    outcome = _core_losses.run_core_losses(tmp_path, schedule, network)
    assert outcome.violations == (), _core_losses.describe(0, outcome)


def test_no_controller_refuses_its_log_after_a_loss_of_power(tmp_path):
    """Guards against a refused log when two disks are lost, too: issue 47."""
    outcome = _core_losses.run_core_losses(
        tmp_path, _losses_schedule.POWER, '127.14', power_seed=1
    )
    assert outcome.violations == (), _core_losses.describe(0, outcome)


@pytest.fixture
def slots():
    return _losses_schedule.Slots(range(5), 2)


def test_no_more_are_lost_at_a_time_than_are_to_be_borne(slots):
    first = slots.lose(2, 0.0)
    assert first == [0, 1] and slots.lost_s() == float('inf')
    for slot in first:
        slots.restore(slot, catch_up_s=0.2)
    assert 0.1 < slots.lost_s() <= 0.2
    assert slots.lose(1, 0.5) == [2]
    assert slots.lost_s() == float('inf')
    slots.restore(2, catch_up_s=0.05)
    assert 0 < slots.lost_s() <= 0.05
    slots.restore(2)
    assert 3.5 < slots.lost_s() <= _losses_schedule.CATCH_UP_S


def test_the_leader_is_lost_first_unless_it_is_lost_already(slots):
    assert slots.lose(1, 0.0, lambda: 3) == [3]
    assert slots.lose(1, 0.0, lambda: 3) == [0]


def test_a_successor_is_in_the_slot_of_the_controller_that_it_replaces(slots):
    (slot,) = slots.lose(1, 0.0)
    slots.restore(slot, 5)
    assert slots.numbers == [5, 1, 2, 3, 4]
    assert slots.add(6) == 5
    assert slots.numbers[5] == 6 and slots.lost_s() == float('inf')


def test_all_are_lost_once_none_is_lost(slots):
    (slot,) = slots.lose(1, 0.0)
    slots.restore(slot, catch_up_s=0.1)
    assert slots.lose_all() == [0, 1, 2, 3, 4]
    assert slots.lost_s() == float('inf')


@pytest.mark.parametrize(
    ('draw', 'other_kinds'),
    [
        (
            _losses_schedule.draw_schedule,
            {_losses_schedule.Kind.POWER_LOSS_ALL},
        ),
        (_losses_schedule.draw_power_schedule, set()),
    ],
)
def test_a_seed_draws_the_same_schedule_and_all_kinds_are_drawn(
    draw, other_kinds
):
    drawn = [draw(seed) for seed in range(40)]
    assert drawn == [draw(seed) for seed in range(40)]
    faults = [fault for schedule in drawn for fault in schedule.faults]
    kinds = {fault.kind for fault in faults}
    assert kinds == set(_losses_schedule.Kind) - other_kinds
    aimed = {fault.kind for fault in faults if fault.at_leader}
    assert len(aimed) >= 7


def test_a_seed_of_a_known_failure_still_draws_its_faults():
    """Seed 205 is in KNOWN-RED.txt."""
    schedule = _losses_schedule.draw_schedule(205)
    drawn = [
        f'{one.kind.name} {one.choice:.4f} {one.pause_s:.4f}'
        for one in schedule.faults
    ]
    assert drawn == [
        'NEW_SEEDS 0.5362 4.1434',
        'WIPE 0.7542 0.9844',
        'WIPE 0.6271 2.9194',
        'REPLACE 0.8940 1.6178',
        'WIPE_TWO 0.0860 1.4631',
        'REPLACE 0.6723 0.0000',
    ]
    assert schedule.last == _losses_schedule.LastFault(
        at_leader=True, choice=0.9541302227417395, back_s=0.8050285205123009
    )


def test_controllers_lose_power_before_and_after_their_next_start():
    drawn = [_losses_schedule.draw_power_schedule(seed) for seed in range(40)]
    kills = [
        fault
        for schedule in drawn
        for fault in schedule.faults
        if fault.kind is _losses_schedule.Kind.KILL
    ]
    assert all(one.is_cut or one.cuts_after_s for one in kills)
    assert any(one.is_cut for one in kills)
    assert any(not one.is_cut for one in kills)
    assert all(schedule.last.is_cut for schedule in drawn)
    bursts = [schedule.last.cuts_after_s for schedule in drawn]
    assert {len(burst) for burst in bursts} == {0, 1, 2, 3}


def _entry(passed_s, event, **fields):
    time = f'1970-01-01T00:16:{40 + passed_s:05.2f}Z'
    return {'event': event, 'time': time, **fields}


def _change(passed_s, index, voters, learners=()):
    return _entry(
        passed_s,
        'membership changed',
        index=index,
        voters=list(voters),
        learners=list(learners),
    )


OTHERS = ('127.0.0.2', '127.0.0.3')


@pytest.mark.parametrize('wiped', [False, True])
def test_an_admission_is_read_from_the_logs(wiped):
    """A controller that lost its disk replays a log in which it is a voter."""
    before = (*OTHERS, IP) if wiped else OTHERS
    logs = {
        LAUNCH.controller: [
            _entry(0.5, 'started'),
            _change(1.9, 3, before),
            _change(2.1, 7, OTHERS, [IP]),
        ],
        'c127.0.0.2': [
            _change(-10, 3, before),
            _entry(1, 'adding controller', controller=IP),
            _change(1.5, 7, OTHERS, [IP]),
            _change(2.5, 9, (*OTHERS, IP)),
        ],
    }
    (read,) = _losses_admission.read_admissions([LAUNCH], logs)
    times_s = (read.started_s, read.asked_s, read.voter_s)
    assert times_s == pytest.approx((0.5, 1.0, 2.5))
    assert 'voter after 2.50 s' in _losses_admission.describe(read)


def test_an_admission_that_is_not_in_the_logs_is_not_seen():
    logs = {LAUNCH.controller: [_entry(-1, 'started')]}
    (read,) = _losses_admission.read_admissions([LAUNCH], logs)
    assert read == _losses_admission.Admission(LAUNCH, None, None, None)
    assert 'voter not seen' in _losses_admission.describe(read)
