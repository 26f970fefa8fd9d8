"""Numbers and rows of the capacity page."""

import collections.abc

Rows = list[tuple[str, ...]]


def number(value: float, digits: int = 0) -> str:
    """Return a number with commas, in so many decimal places."""
    return f'{value:,.{digits}f}'


def listed(values: collections.abc.Iterable[float], digits: int = 0) -> str:
    """Return numbers in rising order."""
    found = sorted(values)
    return ', '.join(number(one, digits) for one in found)
