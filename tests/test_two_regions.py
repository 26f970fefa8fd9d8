"""A cell across two regions with 20 ms round trip and little bandwidth."""

import time

import pytest

from dandeliondrum import testing

ONE_WAY_MS = 10
LINK_BYTES_PER_SECOND = 15_000_000 // 8


def inter_region_proxies(cell):
    """Return the proxies between the far region and all other processes."""
    far = {'c3', 'g2', 'w3'}
    near = {*cell.controllers, *cell.gateways, *cell.workers} - far
    return [
        proxy
        for one in far
        for other in (*near, 'gateways')
        for proxy in cell.mesh.between(one, other)
    ]


def slow_inter_region_links(cell):
    forward = testing.Pacer(LINK_BYTES_PER_SECOND)
    backward = testing.Pacer(LINK_BYTES_PER_SECOND)
    for proxy in inter_region_proxies(cell):
        proxy.change(
            delay_ms=ONE_WAY_MS, forward_pacer=forward, backward_pacer=backward
        )


@pytest.fixture
def recorder():
    recorder = testing.Recorder()
    recorder.limited('inspectors', running_max=2)
    return recorder


@pytest.mark.parametrize('fault', ['none', 'leader', 'cut'])
def test_two_regions(make_meshed_cell, keys, recorder, fault):
    cell = make_meshed_cell()
    slow_inter_region_links(cell)
    work = testing.Workload(
        keys={team: key.text for team, key in keys.items()},
        timeout_ms=8_000,
    )
    with testing.Callers(cell, work, recorder) as callers:
        testing.wait_until(lambda: callers.answered_count() > 50)
        if fault == 'leader':
            cell.processes.kill(cell.leader())
        elif fault == 'cut':
            for proxy in inter_region_proxies(cell):
                proxy.set(testing.BLACKHOLE)
            time.sleep(6)
            for proxy in inter_region_proxies(cell):
                proxy.heal()
            slow_inter_region_links(cell)
        before = callers.answered_count()
        testing.wait_until(lambda: callers.answered_count() > before + 50)
    history = recorder.history(cell.journals(), cell.processes.outages)
    assert testing.check(history) == ()
