"""A planned stop of a process interrupts no request."""

import itertools
import time

import pytest

from dandeliondrum import testing


@pytest.fixture
def recorder():
    recorder = testing.Recorder()
    recorder.limited('inspectors', running_max=2)
    return recorder


@pytest.mark.parametrize('role', ['leader', 'follower', 'g1', 'w1'])
def test_a_planned_stop_cuts_nothing_off(cell, keys, recorder, role):
    leader = cell.leader()
    follower = next(name for name in cell.controllers if name != leader)
    name = {'leader': leader, 'follower': follower}.get(role, role)
    work = testing.Workload(
        keys={team: key.text for team, key in keys.items()}, timeout_ms=8_000
    )
    with testing.Callers(cell, work, recorder) as callers:
        testing.wait_until(lambda: callers.answered_count() > 50)
        assert cell.processes.stop(name) == 0
        if name in cell.gateways:
            # A load balancer sends nothing to a gateway that is not ready.
            cell.gateways.remove(name)
        time.sleep(2)
        cell.processes.restart(name)
        time.sleep(1)
    recorded = recorder.history(cell.journals(), cell.processes.outages)
    assert testing.check(recorded) == ()
    in_doubt = [
        one
        for one in recorded.outcomes
        if one.kind is testing.OutcomeKind.IN_DOUBT
    ]
    assert in_doubt == []


def test_a_leaving_worker_gets_nothing_new(cell, keys, recorder):
    work = testing.Workload(keys={'harbour': keys['harbour'].text})
    with testing.Callers(cell, work, recorder) as callers:
        testing.wait_until(lambda: callers.answered_count() > 50)
        busy = next(
            name
            for name in itertools.cycle(cell.workers)
            if cell.journal(name)
        )
        drained = cell.operate('POST', f'/v1/workers/{busy}/drain')
        assert drained.status == 200
        time.sleep(2)
        count = len(cell.journal(busy))
        before = callers.answered_count()
        testing.wait_until(lambda: callers.answered_count() > before + 100)
        started = [
            event
            for event in cell.journal(busy)[count:]
            if event.kind.value == 'start'
        ]
        assert started == []
    recorded = recorder.history(cell.journals())
    assert testing.check(recorded) == ()
