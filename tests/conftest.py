"""Fixtures of the tests that run whole cells."""

import contextlib

import pytest

from dandeliondrum import rules
from tests import cells


@pytest.fixture
def keys():
    """A key for each team that the rules of the tests name."""
    return {team: rules.new_key(team) for team in ('harbour', 'inspectors')}


@pytest.fixture
def rules_text(keys):
    """Rules with those keys."""
    lines = [key.rule_line for key in keys.values()]
    return cells.RULES + '\n'.join(lines) + '\n'


@pytest.fixture
def make_cell(tmp_path):
    """Make cells that end with the test."""
    with contextlib.ExitStack() as resources:
        yield lambda **options: cells.Cell(tmp_path, resources, **options)


@pytest.fixture
def cell(make_cell, rules_text):
    """Three controllers, two gateways, three workers, rules applied."""
    whole = make_cell()
    whole.controllers()
    whole.gateways()
    whole.ready()
    status, _ = whole.apply_rules(rules_text)
    assert status == 200
    whole.workers()
    whole.ready(workers_count=3)
    return whole
