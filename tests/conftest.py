"""Fixtures for tests that run a whole cell of processes."""

import contextlib
import pathlib

import pytest

from dandeliondrum import rules
from dandeliondrum import testing

RULES = """
{"rule": "team", "team": "harbour", "share": 1}  // asked by S. Prasert
{"rule": "team", "team": "inspectors", "share": 3, "upper_limit": {"running": 2}}  // asked by S. Prasert
{"rule": "queue", "queue": "lens", "open": false, "class": "batch", "queued_max": 5000}  // asked by S. Prasert
{"rule": "queue", "queue": "walk-in", "open": true, "class": "urgent", "team": "harbour"}  // asked by S. Prasert
{"rule": "defaults", "retries_max": 3, "lease_ms": {"urgent": 1500, "batch": 1500, "gang": 1500, "service": 1500}}  // asked by the tests, to be quick
"""  # noqa: E501


@pytest.fixture
def keys():
    """Return a new API key for each team of the test rules."""
    return {team: rules.new_key(team) for team in ('harbour', 'inspectors')}


@pytest.fixture
def rules_text(keys):
    """Return the text of the test rules, with a line for each key."""
    lines = [key.rule_line for key in keys.values()]
    return RULES + '\n'.join(lines) + '\n'


@pytest.fixture
def make_cell(tmp_path, rules_text):
    """Return a function that starts a cell with rules and workers.

    The cells are stopped at the end of the test. ``mesh`` is a
    ``testing.ProxyMesh`` through which the processes reach each other.
    """
    with contextlib.ExitStack() as resources:

        def make(workers_count=3, mesh=None, **fields):
            cell = testing.Cell(pathlib.Path(tmp_path), mesh, **fields)
            resources.enter_context(cell)
            cell.add_controllers(3)
            cell.add_gateways(2)
            cell.wait_ready(0)
            assert cell.apply_rules(rules_text, 0).status == 200
            cell.add_workers(workers_count)
            cell.wait_ready()
            return cell

        yield make


@pytest.fixture
def make_meshed_cell(make_cell):
    """Return a function that starts cells whose links can be cut."""
    with testing.ProxyMesh(seed=1) as mesh:
        yield lambda **options: make_cell(mesh=mesh, **options)


@pytest.fixture
def cell(make_cell):
    """Start three controllers, two gateways and three workers with rules."""
    return make_cell()
