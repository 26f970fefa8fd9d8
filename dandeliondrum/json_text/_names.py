"""Finds the line and column of each object name in JSON or JSON5 text.

JSON parsers do not report the positions of values. This module only locates
names; it does not check whether the text is valid JSON.
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
    """The path of a name, and its line and column, which count from 1.

    For an object in a list, the path contains the index in the list, as in
    ``controllers[1].address``.
    """

    path: str
    line: int
    column: int


def find_names(text: str) -> tuple[FoundName, ...]:
    """Return the names of all objects, in the order of the text.

    Example::

        find_names('{"a": {"b": 1}}')
        # FoundName('a', 1, 2), FoundName('a.b', 1, 8)
    """
    scan = _NameScanner(text)
    for token in _TOKEN.finditer(text):
        if token.lastgroup != 'comment':
            scan.feed(token)
    return tuple(scan.found)


def duplicate_names(names: tuple[FoundName, ...]) -> tuple[FoundName, ...]:
    """Return the names whose path occurs earlier in the sequence."""
    seen = set()
    repeated = []
    for name in names:
        if name.path in seen:
            repeated.append(name)
        seen.add(name.path)
    return tuple(repeated)


def line_and_column(text: str, offset: int) -> tuple[int, int]:
    """Return the line and column of an offset; both count from 1."""
    before = text[:offset]
    line = before.count('\n') + 1
    return line, offset - (before.rfind('\n') + 1) + 1


class _NameScanner:
    """Collects names while tracking the nesting of objects and lists."""

    def __init__(self, text: str) -> None:
        self.found: list[FoundName] = []
        self._text = text
        self._prefixes = ['']
        self._positions: list[int | None] = []
        self._candidate: re.Match[str] | None = None
        self._value_path = ''
        self._line = 1
        self._line_start = 0
        self._counted = 0

    def feed(self, token: re.Match[str]) -> None:
        if token.lastgroup != 'mark':
            self._candidate = token
            return
        mark = token.group()
        if mark == ':':
            self._record_name()
        elif mark in '{[':
            self._open(mark)
        elif mark in '}]':
            self._close()
        else:
            self._next_item()
        self._candidate = None

    def _record_name(self) -> None:
        if self._candidate is None:
            return
        name = self._candidate.group().strip('"\'')
        path = f'{self._prefixes[-1]}{name}'
        position = self._position_of(self._candidate.start())
        self.found.append(FoundName(path, *position))
        self._value_path = path

    def _position_of(self, offset: int) -> tuple[int, int]:
        """Return the position of an offset behind all earlier ones.

        To count lines from the start each time would be quadratic.
        """
        line_breaks = self._text.count('\n', self._counted, offset)
        if line_breaks:
            self._line += line_breaks
            self._line_start = self._text.rindex('\n', 0, offset) + 1
        self._counted = offset
        return self._line, offset - self._line_start + 1

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

    def _next_item(self) -> None:
        if not self._positions or self._positions[-1] is None:
            return
        self._positions[-1] += 1
        self._value_path = f'{self._prefixes[-1]}[{self._positions[-1]}]'
