"""Suggests a known name in place of an unknown one."""

import collections.abc
import difflib


def suggest_name(name: str, known: collections.abc.Collection[str]) -> str:
    """Return a hint with the closest known name, or with all of them.

    Example::

        suggest_name('memory_gb', ['share', 'memory_mb'])
        # 'did you mean "memory_mb"?'
    """
    nearest = find_nearest_name(name, known)
    if nearest:
        return f'did you mean "{nearest}"?'
    return 'known are ' + ', '.join(sorted(known))


def find_nearest_name(
    name: str, known: collections.abc.Collection[str]
) -> str | None:
    """Return the known name that is most like the given one, if any is."""
    return next(iter(difflib.get_close_matches(name, known, n=1)), None)
