"""Generates the tables of docs/CAPACITY.md from the benchmark results.

Each table is placed between ``<!-- table: NAME -->`` and ``<!-- end -->``::

    python -m benchmarks.capacity_tables
"""

import collections.abc
import pathlib
import re

from benchmarks import _capacity_format
from benchmarks import _capacity_measured
from benchmarks import _capacity_model as model_lib
from benchmarks import _capacity_needs

import fire

ROOT = pathlib.Path(__file__).parent.parent
MARK = re.compile(r'(<!-- table: ([a-z_]+) -->\n).*?(<!-- end -->)', re.DOTALL)

Rows = _capacity_format.Rows
Model = model_lib.Model


def run(
    page: str = str(ROOT / 'docs' / 'CAPACITY.md'),
    results: str = str(ROOT / 'benchmarks' / 'results'),
) -> None:
    """Rewrite the tables of the page in place."""
    path = pathlib.Path(page)
    model = model_lib.load(pathlib.Path(results))
    path.write_text(filled(path.read_text(), model))


def filled(text: str, model: Model) -> str:
    """Return the text of a page with its tables filled in.

    Raises KeyError if the page names an unknown table.
    """

    def table(match: re.Match[str]) -> str:
        rows = TABLES[match[2]](model)
        return f'{match[1]}{_markdown(rows)}{match[3]}'

    return MARK.sub(table, text)


def _markdown(rows: Rows) -> str:
    head, *body = rows
    lines = [head, tuple('---' for _ in head), *body]
    return ''.join(f'| {" | ".join(line)} |\n' for line in lines)


TABLES: dict[str, collections.abc.Callable[[Model], Rows]] = {
    'runs': _capacity_measured.runs,
    'state': _capacity_measured.state,
    'leader': _capacity_measured.leader,
    'rules': _capacity_measured.rules,
    'log': _capacity_measured.log,
    'starts': _capacity_measured.starts,
    'streams': _capacity_measured.streams,
    'failover': _capacity_measured.failover,
    'node': _capacity_measured.node,
    'heartbeats': _capacity_measured.heartbeats,
    'placement': _capacity_measured.placement,
    'needs': _capacity_needs.needs,
    'breaks': _capacity_needs.breaks,
    'vms': _capacity_needs.vms,
}


if __name__ == '__main__':
    fire.Fire(run)
