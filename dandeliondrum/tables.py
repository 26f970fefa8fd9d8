"""Tables for terminals."""

import collections.abc
import typing

Row = collections.abc.Sequence[typing.Any]
GAP = '  '


def render(head: Row, rows: collections.abc.Iterable[Row]) -> str:
    """Return a table; columns that hold only numbers are aligned right.

    Example::

        render(('team', 'running'), [('harbour', 3)])
    """
    body = [[str(cell) for cell in row] for row in rows]
    lines = [[str(cell) for cell in head], *body]
    widths = [max(map(len, column)) for column in zip(*lines)]
    numeric = [
        bool(column) and all(map(_is_number, column)) for column in zip(*body)
    ] or [False] * len(widths)
    return '\n'.join(_line(line, widths, numeric) for line in lines)


def _line(cells: list[str], widths: list[int], numeric: list[bool]) -> str:
    aligned = [
        cell.rjust(width) if right else cell.ljust(width)
        for cell, width, right in zip(cells, widths, numeric)
    ]
    return GAP.join(aligned).rstrip()


def _is_number(cell: str) -> bool:
    return cell.lstrip('-').replace('.', '', 1).rstrip('%').isdigit()
