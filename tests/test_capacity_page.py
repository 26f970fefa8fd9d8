"""The tables of the capacity page match the committed results."""

import copy
import pathlib
import re

import pytest

from benchmarks import _capacity_model
from benchmarks import capacity_tables

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / 'docs' / 'CAPACITY.md'
RESULTS = ROOT / 'benchmarks' / 'results'


def test_the_tables_are_up_to_date(tmp_path):
    regenerated = tmp_path / 'CAPACITY.md'
    regenerated.write_text(PAGE.read_text())
    capacity_tables.run(str(regenerated), str(RESULTS))
    assert regenerated.read_text() == PAGE.read_text()


def test_every_table_stands_on_the_page_once():
    named = re.findall(r'<!-- table: ([a-z_]+) -->', PAGE.read_text())
    assert sorted(named) == sorted(capacity_tables.TABLES)


def test_the_needs_follow_the_results():
    model = _capacity_model.load(RESULTS)
    changed = copy.deepcopy(model)
    for one in changed.heartbeats['runs']:
        for usage in one['roles'].values():
            usage['cpu_s_of_all'] *= 2
    before = model.heartbeats_cores('gateway', 500)
    assert changed.heartbeats_cores('gateway', 500) == pytest.approx(
        2 * before
    )
    text = PAGE.read_text()
    assert capacity_tables.filled(text, changed) != text


def test_a_table_that_nobody_makes_is_an_error():
    model = _capacity_model.load(RESULTS)
    with pytest.raises(KeyError):
        capacity_tables.filled('<!-- table: other -->\n<!-- end -->', model)
