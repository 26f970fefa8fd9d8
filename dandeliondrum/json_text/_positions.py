"""Finds where in a JSON text the field with a given path is."""

import re

from dandeliondrum.json_text import _names

_LAST_PART = re.compile(r'(?:^|\.)[^.\[\]]+$|\[\d+\]$')


class Positions:
    """The lines and columns of the fields of a JSON text.

    Example::

        Positions('{"a": [{"b": 1}]}').of('a[0].b')
        # (1, 9)
    """

    def __init__(self, text: str) -> None:
        self._positions: dict[str, tuple[int, int]] = {}
        first_names: dict[str, tuple[int, int]] = {}
        for name in _names.find_names(text):
            position = name.line, name.column
            self._positions[name.path] = position
            first_names.setdefault(_parent(name.path), position)
        for path, position in first_names.items():
            self._positions.setdefault(path, position)

    def of(self, path: str) -> tuple[int, int]:
        """Return the line and column of a field; both count from 1.

        An object in a list is found at its first name. A field that is not
        in the text is looked for at the object that it would be in.
        """
        while path and path not in self._positions:
            path = _parent(path)
        return self._positions[path] if path else (1, 1)


def _parent(path: str) -> str:
    return _LAST_PART.sub('', path)
