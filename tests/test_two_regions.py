"""A cell over two regions, 20 ms apart on a narrow link."""

import time

import pytest

from dandeliondrum import testing

ONE_WAY_MS = 10
LINK_BYTES_PER_SECOND = 15_000_000 // 8


def far_links(cell):
    """Return the links between the far processes and all others."""
    far = {'c3', 'g2', 'w3'}
    near = {*cell.controllers, *cell.gateways, *cell.workers} - far
    return [
        proxy
        for one in far
        for other in (*near, 'gateways')
        for proxy in cell.mesh.between(one, other)
    ]


def set_regions_apart(cell):
    there = testing.Pacer(LINK_BYTES_PER_SECOND)
    back = testing.Pacer(LINK_BYTES_PER_SECOND)
    for proxy in far_links(cell):
        proxy.change(
            delay_ms=ONE_WAY_MS, forward_pacer=there, backward_pacer=back
        )


@pytest.fixture
def recorder():
    recorder = testing.Recorder()
    recorder.limited('inspectors', running_max=2)
    return recorder


@pytest.mark.parametrize('fault', ['none', 'leader', 'cut'])
def test_two_regions(make_meshed_cell, keys, recorder, fault):
    cell = make_meshed_cell()
    set_regions_apart(cell)
    work = testing.Work(
        keys={team: key.text for team, key in keys.items()},
        timeout_ms=8_000,
    )
    with testing.Callers(cell, work, recorder) as callers:
        testing.wait_until(lambda: callers.answered_count() > 50)
        if fault == 'leader':
            cell.processes.kill(cell.leader())
        elif fault == 'cut':
            for proxy in far_links(cell):
                proxy.set(testing.BLACKHOLE)
            time.sleep(6)
            for proxy in far_links(cell):
                proxy.heal()
            set_regions_apart(cell)
        before = callers.answered_count()
        testing.wait_until(lambda: callers.answered_count() > before + 50)
    history = recorder.history(cell.journals(), cell.processes.outages)
    assert testing.check(history) == ()
