"""Finds each name of each object in JSON or JSON5 text, with its place.

The parsers of JSON give values without their places. This module only
locates names; whether the text is valid JSON is left to a parser.
"""

import dataclasses
import re

_TOKEN = re.compile(
    r"""
    (?P<comment>//[^\n]*|/\*.*?\*/)
    |(?P<string>"(?:[^"\\\n]|\\.)*"|'(?:[^'\\\n]|\\.)*')
    |(?P<word>[A-Za-z_$][\w$]*)
    |(?P<mark>[{}\[\],:])
    """,
    re.VERBOSE | re.DOTALL,
)


@dataclasses.dataclass(frozen=True, slots=True)
class FoundName:
    """A name, the path to it, and the line and column of it, from 1.

    The path of a name in a list of objects holds the position in the list,
    as in ``controllers[1].address``.
    """

    path: str
    line: int
    column: int


def find_names(text: str) -> tuple[FoundName, ...]:
    """Return all names of objects in the order of the text.

    Example::

        find_names('{"a": {"b": 1}}')
        # FoundName('a', 1, 2), FoundName('a.b', 1, 8)
    """
    scan = _Scan(text)
    for token in _TOKEN.finditer(text):
        if token.lastgroup != 'comment':
            scan.take(token)
    return tuple(scan.found)


def duplicates(names: tuple[FoundName, ...]) -> tuple[FoundName, ...]:
    """Return the names whose path occurred before."""
    seen = set()
    repeated = []
    for name in names:
        if name.path in seen:
            repeated.append(name)
        seen.add(name.path)
    return tuple(repeated)


def line_and_column(text: str, offset: int) -> tuple[int, int]:
    """Return the line and the column, both from 1, of an offset."""
    before = text[:offset]
    line = before.count('\n') + 1
    return line, offset - (before.rfind('\n') + 1) + 1


class _Scan:
    """Follows the nesting of objects and lists."""

    def __init__(self, text: str) -> None:
        self.found: list[FoundName] = []
        self._text = text
        self._prefixes = ['']
        self._positions: list[int | None] = []
        self._candidate: re.Match[str] | None = None
        self._value_path = ''

    def take(self, token: re.Match[str]) -> None:
        if token.lastgroup != 'mark':
            self._candidate = token
            return
        mark = token.group()
        if mark == ':':
            self._take_name()
        elif mark in '{[':
            self._open(mark)
        elif mark in '}]':
            self._close()
        else:
            self._next_value()
        self._candidate = None

    def _take_name(self) -> None:
        if self._candidate is None:
            return
        name = self._candidate.group().strip('"\'')
        path = f'{self._prefixes[-1]}{name}'
        place = line_and_column(self._text, self._candidate.start())
        self.found.append(FoundName(path, *place))
        self._value_path = path

    def _open(self, mark: str) -> None:
        path = self._value_path
        if mark == '[':
            self._positions.append(0)
            self._prefixes.append(path)
            self._value_path = f'{path}[0]'
        else:
            self._positions.append(None)
            self._prefixes.append(f'{path}.' if path else '')

    def _close(self) -> None:
        if self._positions:
            self._positions.pop()
            self._prefixes.pop()

    def _next_value(self) -> None:
        if not self._positions or self._positions[-1] is None:
            return
        self._positions[-1] += 1
        self._value_path = f'{self._prefixes[-1]}[{self._positions[-1]}]'
