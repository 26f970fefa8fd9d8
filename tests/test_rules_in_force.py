"""Rule changes: conflicts, durability, and use by every gateway."""

import time

import pytest

from dandeliondrum import testing
from dandeliondrum import worker

IN_FORCE_MS = 5_000
NARROW_BYTES_PER_SECOND = 100_000
LARGE_RULES_LINES = 5_000


def versions_in_force(cell):
    shown = cell.operate('GET', '/v1/rules').json()
    return {version for _, version in shown['gateways']}


def without_key(text, key):
    return text.replace(key.rule_line, '').replace('\n\n', '\n')


def test_one_of_two_concurrent_rule_changes_is_rejected(cell, rules_text):
    first = cell.apply_rules(rules_text + '\n', 1, 'change-a', 'g1')
    second = cell.apply_rules(rules_text + '\n\n', 1, 'change-b', 'g2')
    assert (first.status, second.status) == (200, 412)
    assert second.json()['version'] == 2
    again = cell.apply_rules(rules_text + '\n', 1, 'change-a', 'g2')
    assert (again.status, again.json()['version']) == (200, 2)
    testing.wait_until(lambda: versions_in_force(cell) == {2}, IN_FORCE_MS)


def test_large_rules_reach_gateways_on_narrow_links(
    make_meshed_cell, rules_text
):
    cell = make_meshed_cell()
    pacer = testing.Pacer(NARROW_BYTES_PER_SECOND)
    for name in cell.controllers:
        for proxy in cell.mesh.between('g2', name):
            proxy.change(backward_pacer=pacer)
    comment = ''.join(
        f'// {number:_^80}\n' for number in range(LARGE_RULES_LINES)
    )
    assert cell.apply_rules(comment + rules_text, 1, 'large').status == 200
    testing.wait_until(lambda: versions_in_force(cell) == {2}, IN_FORCE_MS)
    assert cell.is_ready('g2')


@pytest.mark.parametrize('how', ['leader', 'all'])
def test_accepted_rules_survive(cell, rules_text, how):
    for version in range(1, 6):
        text = rules_text + '\n' * version
        assert cell.apply_rules(text, version).status == 200
    lost = cell.controllers if how == 'all' else [cell.leader()]
    for name in lost:
        cell.processes.kill(name)
    if how == 'all':
        for name in lost:
            cell.processes.restart(name)
    testing.wait_until(lambda: cell.operate('GET', '/v1/rules').status == 200)
    assert cell.operate('GET', '/v1/rules').json()['version'] == 6
    testing.wait_until(lambda: versions_in_force(cell) == {6})


def test_a_withdrawn_key_stops_working_also_where_the_gateway_is_cut_off(
    make_meshed_cell, keys, rules_text
):
    cell = make_meshed_cell()
    key = keys['harbour']
    assert cell.run_task({'echo': 'x'}, key.text, 'g2').status == 200
    for name in cell.controllers:
        cell.mesh.blackhole('g2', name)
    change = cell.apply_rules(without_key(rules_text, key), 1)
    assert change.status == 200
    time.sleep(3)
    events_before = len(cell.journals())
    cut_off = cell.run_task(
        {'echo': 'y'}, key.text, 'g2', timeout_ms=2_000, request_id='y'
    )
    connected = cell.run_task({'echo': 'z'}, key.text, 'g1')
    assert (connected.status, connected.outcome) == (403, 'refused_not_run')
    assert cut_off.outcome == 'in_doubt'
    cell.mesh.heal()
    testing.wait_until(lambda: cell.is_ready('g2'))
    healed = cell.run_task({'echo': 'y'}, key.text, 'g2', request_id='y')
    assert (healed.status, healed.outcome) == (403, 'refused_not_run')
    starts = [
        one
        for one in cell.journals()[events_before:]
        if one.kind is worker.EventKind.START
    ]
    assert starts == []
    open_queue = cell.run_task({'echo': 'w'}, queue='walk-in')
    assert open_queue.json()['echo'] == 'w'


def test_a_key_that_is_withdrawn_while_its_work_waits(cell, keys, rules_text):
    """Waiting tasks of a withdrawn key are never started."""
    key = keys['inspectors']
    recorder = testing.Recorder()
    work = testing.Workload(
        keys={'inspectors': key.text},
        callers_count=40,
        run_ms=(400, 800),
        timeout_ms=30_000,
    )
    with testing.Callers(cell, work, recorder) as callers:
        testing.wait_until(lambda: callers.answered_count() > 5)
        assert cell.apply_rules(without_key(rules_text, key), 1).status == 200
        recorder.withdrawn(key.key_id)
        time.sleep(6)
    recorded = recorder.history(cell.journals())
    assert testing.check(recorded) == ()


def test_bad_rules_are_refused_with_line_and_column(cell, rules_text):
    bad = rules_text + '{"rule": "team", "team": "x", "share": 0}\n'
    reply = cell.apply_rules(bad, 1)
    assert reply.status == 422
    line = bad.count('\n')
    assert f'line {line}' in reply.body.decode()
    assert cell.operate('GET', '/v1/rules').json()['version'] == 1
