"""Tests of a cell whose roles run as threads of this process."""

import psutil
import pytest

from dandeliondrum import embedded
from dandeliondrum.embedded import _fleets
from dandeliondrum import rules
from dandeliondrum import worker


@pytest.fixture
def cell(tmp_path):
    with embedded.EmbeddedCell(tmp_path) as cell:
        cell.add_controllers(3)
        cell.add_gateways(2)
        cell.wait_ready(0)
        yield cell


def run_echo_task(cell, key, gateway):
    return cell.run_task(
        {'echo': 'ring'},
        key,
        gateway,
        team='figuring',
        queue=_fleets.BATCH_QUEUE,
    )


def test_tasks_are_answered_after_the_leader_is_lost(cell):
    keys = [rules.new_key(team.team_id, 'a test') for team in _fleets.TEAMS]
    text = _fleets.rules_text(key.rule_line for key in keys)
    assert cell.apply_rules(text, 0).status == 200
    cell.add_workers(_fleets.workers()[:2])
    cell.wait_ready()
    first = run_echo_task(cell, keys[0].text, 'g1')
    assert (first.status, first.json()['echo']) == (200, 'ring')
    old_leader = cell.stop_leader()
    assert cell.leader() != old_leader
    second = run_echo_task(cell, keys[0].text, 'g2')
    assert (second.status, second.json()['echo']) == (200, 'ring')
    starts = [
        event
        for event in cell.journal_events()
        if event.kind is worker.EventKind.START
    ]
    assert len(starts) == 2


def test_an_embedded_cell_starts_no_process(cell):
    assert psutil.Process().children(recursive=True) == []
