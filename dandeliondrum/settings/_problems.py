"""What is wrong with a settings file."""

import dataclasses
import json
import typing

FOUND_SHOWN_LETTERS = 80


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsProblem:
    """One problem: where it is, what was found, and what is allowed.

    ``line`` counts from 1; it is 0 when the file could not be read.
    """

    file: str
    line: int
    field: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = f'{self.file}:{self.line}' if self.line else self.file
        field = f'{self.field}: ' if self.field else ''
        return f'{where}: {field}found {self.found}, allowed: {self.allowed}'


def shown(value: typing.Any) -> str:
    """Return a value as the file has it, cut when it is long."""
    text = json.dumps(value, default=str)
    if len(text) <= FOUND_SHOWN_LETTERS:
        return text
    return text[:FOUND_SHOWN_LETTERS] + '...'
