"""Formats numbers for the tables of the capacity page."""

import collections.abc

Rows = list[tuple[str, ...]]


def format_number(value: float, digits: int = 0) -> str:
    """Format a number with thousands separators and ``digits`` decimals."""
    return f'{value:,.{digits}f}'


def format_sorted(
    values: collections.abc.Iterable[float], digits: int = 0
) -> str:
    """Format numbers in ascending order, separated by commas."""
    ordered = sorted(values)
    return ', '.join(format_number(one, digits) for one in ordered)
