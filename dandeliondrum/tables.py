"""Plain-text tables for terminals."""

import collections.abc
import typing

Row = collections.abc.Sequence[typing.Any]
COLUMN_SEPARATOR = '  '


def render(header: Row, rows: collections.abc.Iterable[Row]) -> str:
    """Return a text table; columns with only numbers are right-aligned.

    Example::

        render(('team', 'running'), [('harbour', 3)])
    """
    body = [[str(cell) for cell in row] for row in rows]
    lines = [[str(cell) for cell in header], *body]
    widths = [max(map(len, column)) for column in zip(*lines)]
    numeric = [
        bool(column) and all(map(_is_number, column)) for column in zip(*body)
    ] or [False] * len(widths)
    return '\n'.join(_format_row(line, widths, numeric) for line in lines)


def _format_row(
    cells: list[str], widths: list[int], numeric: list[bool]
) -> str:
    padded = [
        cell.rjust(width) if is_numeric else cell.ljust(width)
        for cell, width, is_numeric in zip(cells, widths, numeric)
    ]
    return COLUMN_SEPARATOR.join(padded).rstrip()


def _is_number(cell: str) -> bool:
    return cell.lstrip('-').replace('.', '', 1).rstrip('%').isdigit()
