"""Network faults between processes.

Links are cut in both directions or in one, or their open connections go
silent while new ones work.
"""

import concurrent.futures
import time

import pytest

from dandeliondrum import testing
from dandeliondrum import worker

CUT_S = 6


@pytest.fixture
def recorder():
    recorder = testing.Recorder()
    recorder.limited('inspectors', running_max=2)
    return recorder


def run_with_fault(cell, keys, recorder, inject, clear):
    """Run callers before, during and after a fault; check the history."""
    work = testing.Workload(
        keys={team: key.text for team, key in keys.items()},
        timeout_ms=8_000,
    )
    with testing.Callers(cell, work, recorder) as callers:
        testing.wait_until(lambda: callers.answered_count() > 50)
        inject()
        time.sleep(CUT_S)
        clear()
        before = callers.answered_count()
        testing.wait_until(lambda: callers.answered_count() > before + 20)
    recorded = recorder.history(cell.journals(), cell.processes.outages)
    assert testing.check(recorded) == ()


@pytest.mark.parametrize('one_way', [False, True])
def test_the_leader_is_cut_off_from_the_other_controllers(
    make_meshed_cell, keys, recorder, one_way
):
    cell = make_meshed_cell()
    leader = cell.leader()
    others = [name for name in cell.controllers if name != leader]

    def cut():
        for name in others:
            if one_way:
                cell.mesh.cut_one_way(name, leader)
            else:
                cell.mesh.blackhole(name, leader)

    run_with_fault(cell, keys, recorder, cut, cell.mesh.heal)


def test_a_controller_that_was_cut_off_for_long_comes_back(
    make_meshed_cell, keys, recorder
):
    cell = make_meshed_cell()
    leader = cell.leader()
    other = next(name for name in cell.controllers if name != leader)
    run_with_fault(
        cell,
        keys,
        recorder,
        lambda: cell.mesh.isolate(other),
        cell.mesh.heal,
    )


def test_a_worker_is_cut_off(make_meshed_cell, keys, recorder):
    cell = make_meshed_cell()
    run_with_fault(
        cell,
        keys,
        recorder,
        lambda: cell.mesh.isolate('w1'),
        cell.mesh.heal,
    )


def test_starts_reach_a_worker_but_no_answer_comes_back(
    make_meshed_cell, keys, recorder
):
    cell = make_meshed_cell()
    run_with_fault(
        cell,
        keys,
        recorder,
        lambda: cell.mesh.cut_one_way('w1', 'gateways'),
        cell.mesh.heal,
    )


def test_links_go_silent_while_new_ones_work(make_meshed_cell, keys, recorder):
    cell = make_meshed_cell()

    def silence():
        names = [*cell.controllers, *cell.gateways, *cell.workers, 'gateways']
        for i, one in enumerate(names):
            for other in names[i + 1 :]:
                cell.mesh.silence(one, other)

    run_with_fault(cell, keys, recorder, silence, lambda: None)


def test_a_task_is_retried_while_its_worker_stays_cut_off(
    make_meshed_cell, keys
):
    cell = make_meshed_cell()
    key = keys['harbour'].text
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        call = executor.submit(
            cell.run_task,
            {'echo': 'x', 'run_ms': 1_000},
            key,
            timeout_ms=15_000,
            idempotent='true',
            request_id='x',
        )

        def first_start():
            for event in cell.journals():
                if event.kind is worker.EventKind.START:
                    return event
            return None

        cell.mesh.isolate(testing.wait_until(first_start).worker_id)
        reply = call.result()
    assert reply.status == 200
    assert reply.headers['dandeliondrum-attempt'].endswith('#2')
